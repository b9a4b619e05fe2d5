package proxy_test

import (
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
