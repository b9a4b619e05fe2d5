package proxy_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/internal/standin/faulty"
	"peathollow/internal/standin/rig"
)

// TestLeavingFinishesInAShortGrace: whatever the grace period is, requests that end in its first five sixths are answered. An
// earlier version reserved 800 ms of any grace period (soak seed 5003: 4 attempts lost 1.2 s after SIGTERM, with a grace period
// of 2 s).
func TestLeavingFinishesInAShortGrace(t *testing.T) {
	t.Parallel()
	const grace = 2 * time.Second
	r := rig.Start(t, grace)
	arrived := make(chan bool, 1)
	r.Searcher("s", faulty.Options{Script: func(c faulty.Call) faulty.Reply {
		arrived <- true
		return faulty.Reply{Work: grace * 3 / 4}
	}})
	r.Put(rig.Route{Prefix: "/", Service: "s", Mode: "non_idempotent"})
	c := r.Dial()
	defer c.Close()
	c.Send(rig.Request{Path: "/"})
	<-arrived
	r.Terminate()
	must.NoError(t, r.Wait())
	must.False(t, r.Ledger.Entries()[0].Ended.IsZero(), must.Sprint("the proxy ended with a request in flight"))
	must.Eq(t, 200, c.Read().Status)
	r.Check()
}

// TestStoppedProxyAnswersWhatWaits guards against requests that are cut off without an answer because they wait in a searcher's
// queue when their proxy is stopped (review/4). All that was sent on or read in time gets a complete answer, a gathered request
// the parts that are in, and a client that does not read its answer does not delay the end.
func TestStoppedProxyAnswersWhatWaits(t *testing.T) {
	t.Parallel()
	const grace = 2 * time.Second
	r := rig.Start(t, grace)
	working := make(chan bool, 8)
	busy := faulty.Options{Capacity: 1, Queue: 8, Script: func(faulty.Call) faulty.Reply {
		working <- true
		return faulty.Reply{Work: 10 * grace}
	}}
	slow := r.Searcher("busy", busy)
	r.Searcher("quick", faulty.Options{})
	r.Searcher("large", faulty.Options{Script: func(faulty.Call) faulty.Reply {
		working <- true
		return faulty.Reply{Body: make([]byte, 1<<20)}
	}})
	half := 0.5
	r.Put(rig.Route{Prefix: "/once/", Service: "busy", Mode: "non_idempotent"}, rig.Route{Prefix: "/again/", Service: "busy"},
		rig.Route{Prefix: "/gathered/", FanOut: []string{"quick", "busy"}, HorizonMs: 9000, SetpointMs: 9000, MinCoverage: &half, TopK: 4},
		rig.Route{Prefix: "/large/", Service: "large"})
	unread := r.Dial()
	defer unread.Close()
	for range 8 {
		unread.Send(rig.Request{Path: "/large/"})
	}
	var waiting []*rig.Conn
	for _, path := range []string{"/once/", "/once/", "/again/", "/gathered/"} {
		c := r.Dial()
		defer c.Close()
		c.Send(rig.Request{Path: path})
		waiting = append(waiting, c)
	}
	arriving := r.Dial()
	defer arriving.Close()
	io.WriteString(arriving, "POST /once/ HTTP/1.1\r\nHost: "+rig.Host+"\r\nAttempt-Id: a\r\nContent-Length: 9\r\n\r\npart")
	atBusy := func() (n int) {
		for _, entry := range r.Ledger.Entries() {
			if !strings.HasPrefix(entry.Path, "/large/") && entry.Searcher == slow.ID() {
				n++
			}
		}
		return n
	}
	rig.Eventually(t, func() bool { return atBusy() == len(waiting) && len(working) > 1 })
	stopped := time.Now()
	r.Terminate()
	for i, want := range []int{502, 502, 502, 200} {
		response := waiting[i].Read()
		must.NoError(t, response.Err)
		must.Eq(t, want, response.Status)
		must.True(t, response.Close)
		if want == 200 {
			must.Eq(t, "1", response.Header.Get("Missing-Parts"))
		}
	}
	must.NoError(t, r.Wait())
	must.Less(t, grace, time.Since(stopped))
	r.Check()
}
