package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/internal/standin/faulty"
	"peathollow/internal/standin/rig"
	"peathollow/registry"
)

// TestDrain: once the list says that a searcher is leaving, nothing more goes there; what it has in hand is answered.
func TestDrain(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	hold, at := make(chan struct{}), make(chan bool, 99)
	leaving := r.Searcher("s", faulty.Options{Script: func(faulty.Call) faulty.Reply { at <- true; return faulty.Reply{Hold: hold} }})
	r.Put(rig.Route{Prefix: "/", Plant: "s", Mode: "non_idempotent"}, rig.Route{Name: "g", Prefix: "/g/", FanOut: []string{"s"}, TopK: 3})
	for _, path := range []string{"/", "/g/"} { // two sets of services: both must know
		c := r.Dial()
		defer c.Close()
		c.Send(rig.Request{Path: path})
		<-at
		defer func() { must.Eq(t, 200, c.Read().Status) }()
	}
	defer close(hold)
	r.Searcher("s", faulty.Options{})
	r.Tell("s", leaving.ID(), leaving.Addr(), registry.Draining)
	r.Sync()
	for range 20 {
		must.Eq(t, 200, r.Do(rig.Request{Path: "/"}).Status)
		must.Eq(t, 200, r.Do(rig.Request{Path: "/g/"}).Status)
	}
	for _, e := range r.Ledger.Entries()[2:] {
		must.NotEq(t, leaving.ID(), e.Searcher)
	}
	r.Judge()
}

// TestListChangesUnderADispatch: what the list says of a searcher changes while a dispatch is out there, which then ends
// by its time. Under the race detector it shows whether the end is told without the lock.
func TestListChangesUnderADispatch(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	hold, at := make(chan struct{}), make(chan bool, 9)
	s := r.Searcher("s", faulty.Options{Script: func(faulty.Call) faulty.Reply { at <- true; return faulty.Reply{Hold: hold} }})
	defer close(hold)
	r.Put(rig.Route{Prefix: "/", Plant: "s", Mode: "non_idempotent"})
	c := r.Dial()
	defer c.Close()
	c.Send(rig.Request{Path: "/", DeadlineMs: 700})
	<-at
	r.Tell("s", s.ID(), s.Addr(), registry.Draining)
	r.Sync()
	must.Eq(t, 504, c.Read().Status)
	r.Judge()
}

// TestConfig: a version is in force for all requests that come after it, the version never goes back, and what is in
// hand ends as its own version has it.
func TestConfig(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	must.False(t, r.IsReady()) // clients would get nothing here yet
	hold, at := make(chan struct{}), make(chan bool, 9)
	r.Searcher("old", faulty.Options{Script: func(c faulty.Call) faulty.Reply {
		if c.Path == "/moves/held" {
			at <- true
			return faulty.Reply{Hold: hold}
		}
		return faulty.Reply{}
	}})
	r.Searcher("new", faulty.Options{})
	before := []rig.Route{{Name: "moves", Prefix: "/moves/", Plant: "old"}, {Name: "goes", Prefix: "/goes/", Plant: "old"}}
	r.Put(before...)
	must.True(t, r.IsReady())
	c := r.Dial()
	defer c.Close()
	c.Send(rig.Request{Path: "/moves/held"})
	<-at
	must.Eq(t, 200, r.Do(rig.Request{Path: "/goes/"}).Status)
	must.Eq(t, 404, r.Do(rig.Request{Path: "/comes/"}).Status)
	r.Put(rig.Route{Name: "moves", Prefix: "/moves/", Plant: "new"}, rig.Route{Name: "comes", Prefix: "/comes/", Plant: "new"})
	for i := range 4 {
		must.Eq(t, 200, r.Do(rig.Request{Path: "/comes/"}).Status)
		a := r.Do(rig.Request{Path: "/moves/"})
		must.StrHasPrefix(t, "seal.i-new", a.Header.Get("Answer-Seal"))
		gone := r.Do(rig.Request{Path: "/goes/"})
		must.Eq(t, 404, gone.Status)
		if i == 1 {
			r.Stale(before...)
			r.Searcher("new", faulty.Options{}) // news, so that Sync sees the proxy take it over
			r.Sync()
		}
	}
	close(hold)
	a := c.Read()
	must.Eq(t, 200, a.Status)
	must.StrHasPrefix(t, "seal.i-old", a.Header.Get("Answer-Seal"))
}

// TestLost: from SIGTERM on the platform is told, the door stays open, clients are asked to go elsewhere after their
// answer, and whatever was taken is finished.
func TestLost(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, 6*time.Second)
	hold, at := make(chan struct{}), make(chan bool, 9)
	r.Searcher("s", faulty.Options{Script: func(c faulty.Call) faulty.Reply {
		if c.Path == "/held" {
			at <- true
			return faulty.Reply{Hold: hold}
		}
		return faulty.Reply{}
	}})
	r.Put(rig.Route{Prefix: "/", Plant: "s", Mode: "non_idempotent"})
	must.True(t, r.IsReady())
	early, kept := r.Dial(), r.Dial()
	defer early.Close()
	defer kept.Close()
	early.Send(rig.Request{Path: "/held"})
	<-at
	kept.Send(rig.Request{Path: "/"})
	must.False(t, kept.Read().Close)
	r.Terminate()
	rig.Eventually(t, func() bool { return !r.IsReady() })
	for range 3 {
		a := r.Do(rig.Request{Path: "/"})
		must.Eq(t, 200, a.Status)
		must.True(t, a.Close)
	}
	kept.Send(rig.Request{Path: "/"})
	must.Eq(t, 200, kept.Read().Status)
	late := r.Dial()
	defer late.Close()
	late.Send(rig.Request{Path: "/held"})
	<-at
	close(hold)
	must.Eq(t, 200, early.Read().Status)
	must.Eq(t, 200, late.Read().Status)
	must.NoError(t, r.Ended())
	_, err := net.Dial("tcp", r.Front)
	must.Error(t, err)
	r.Judge()
}

// TestRoll: while searchers and versions are replaced under load, what an orderly change allows to be served is served.
func TestRoll(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	half := 1.0
	route := func(v int) []rig.Route {
		return []rig.Route{{Prefix: "/", Plant: fmt.Sprint("s", v%2), Mode: "non_idempotent"},
			{Name: "g", Prefix: "/g/", FanOut: []string{fmt.Sprint("s", v%2), "t"}, TopK: 4, Coverage: &half, Retries: 2}}
	}
	for _, s := range []string{"s0", "s1", "t"} {
		r.Searcher(s, faulty.Options{})
	}
	r.Put(route(0)...)
	var stop atomic.Bool
	var clients sync.WaitGroup
	bad := make(chan rig.Answer, 1000)
	for range 4 {
		clients.Go(func() {
			for i := 0; !stop.Load() && i < 400; i++ {
				if a := r.Do(rig.Request{Path: []string{"/", "/g/"}[i%2]}); a.Err != nil || a.Status != 200 {
					bad <- a
				}
			}
		})
	}
	for v := range 8 {
		was := r.Searcher("t", faulty.Options{})
		r.Put(route(v)...)
		r.Tell("t", was.ID(), was.Addr(), registry.Draining)
		r.Sync()
	}
	stop.Store(true)
	clients.Wait()
	if len(bad) > 0 {
		a := <-bad
		t.Errorf("%d not served, first: %s %s: %d %v", len(bad)+1, a.Of.ID, a.Of.Path, a.Status, a.Err)
	}
	r.Judge()
}

// TestRequestsReachNobodyElse: a request for a searcher whose address has gone to another service's is not sent there, so that it is no
// arrival beyond what that service's requests allow; the code before found out by sending it, one request or more from each proxy.
func TestRequestsReachNobodyElse(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	first := r.Searcher("s", faulty.Options{})
	r.Put(rig.Route{Prefix: "/", Plant: "s", Mode: "idempotent", Retries: 2}, rig.Route{Name: "g", Prefix: "/g/", FanOut: []string{"s", "other"}, TopK: 3})
	must.Eq(t, 200, r.Do(rig.Request{Path: "/"}).Status)
	first.Close()
	other := r.Searcher("other", faulty.Options{Addr: first.Addr()})
	r.Sync()
	for range 3 {
		must.Eq(t, http.StatusServiceUnavailable, r.Do(rig.Request{Path: "/", DeadlineMs: 500}).Status)
	}
	for _, e := range r.Ledger.Entries() {
		must.True(t, e.ID == "" || e.Searcher != other.ID(), must.Sprintf("%+v", e))
	}
	gathered := r.Do(rig.Request{Path: "/g/", DeadlineMs: 500}) // its own part is all that reaches the other service
	must.LessEq(t, 1, r.Ledger.Arrived(gathered.Of.ID))
	r.Searcher("s", faulty.Options{})
	r.Sync()
	must.Eq(t, 200, r.Do(rig.Request{Path: "/"}).Status)
	r.Judge()
}
