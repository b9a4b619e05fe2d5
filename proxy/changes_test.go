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

// TestDrain: once the list marks a searcher as draining, it gets no new dispatches, and its dispatches in flight are answered.
func TestDrain(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	hold, arrived := make(chan struct{}), make(chan bool, 99)
	draining := r.Searcher("s", faulty.Options{Script: func(faulty.Call) faulty.Reply { arrived <- true; return faulty.Reply{Hold: hold} }})
	r.Put(rig.Route{Prefix: "/", Service: "s", Mode: "non_idempotent"}, rig.Route{Name: "g", Prefix: "/g/", FanOut: []string{"s"}, TopK: 3})
	for _, path := range []string{"/", "/g/"} { // two sets of services: both must learn of it
		c := r.Dial()
		defer c.Close()
		c.Send(rig.Request{Path: path})
		<-arrived
		defer func() { must.Eq(t, 200, c.Read().Status) }()
	}
	defer close(hold)
	r.Searcher("s", faulty.Options{})
	r.UpdateSearcher("s", draining.ID(), draining.Addr(), registry.Draining)
	r.Sync()
	for range 20 {
		must.Eq(t, 200, r.Do(rig.Request{Path: "/"}).Status)
		must.Eq(t, 200, r.Do(rig.Request{Path: "/g/"}).Status)
	}
	for _, e := range r.Ledger.Entries()[2:] {
		must.NotEq(t, draining.ID(), e.Searcher)
	}
	r.Check()
}

// TestListChangesDuringDispatch: the list entry of a searcher changes while a dispatch to it is in flight, which then times out.
// Under the race detector the test shows whether the end of the dispatch is reported without the lock.
func TestListChangesDuringDispatch(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	hold, arrived := make(chan struct{}), make(chan bool, 9)
	s := r.Searcher("s", faulty.Options{Script: func(faulty.Call) faulty.Reply { arrived <- true; return faulty.Reply{Hold: hold} }})
	defer close(hold)
	r.Put(rig.Route{Prefix: "/", Service: "s", Mode: "non_idempotent"})
	c := r.Dial()
	defer c.Close()
	c.Send(rig.Request{Path: "/", DeadlineMs: 700})
	<-arrived
	r.UpdateSearcher("s", s.ID(), s.Addr(), registry.Draining)
	r.Sync()
	must.Eq(t, 504, c.Read().Status)
	r.Check()
}

// TestConfig: a configuration version applies to all requests that arrive after it, the version never goes back, and requests in
// flight end under the version that they started with.
func TestConfig(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	must.False(t, r.IsReady()) // clients could not be served yet
	hold, arrived := make(chan struct{}), make(chan bool, 9)
	r.Searcher("old", faulty.Options{Script: func(c faulty.Call) faulty.Reply {
		if c.Path == "/moves/held" {
			arrived <- true
			return faulty.Reply{Hold: hold}
		}
		return faulty.Reply{}
	}})
	r.Searcher("new", faulty.Options{})
	before := []rig.Route{{Name: "moves", Prefix: "/moves/", Service: "old"}, {Name: "goes", Prefix: "/goes/", Service: "old"}}
	r.Put(before...)
	must.True(t, r.IsReady())
	c := r.Dial()
	defer c.Close()
	c.Send(rig.Request{Path: "/moves/held"})
	<-arrived
	must.Eq(t, 200, r.Do(rig.Request{Path: "/goes/"}).Status)
	must.Eq(t, 404, r.Do(rig.Request{Path: "/comes/"}).Status)
	r.Put(rig.Route{Name: "moves", Prefix: "/moves/", Service: "new"}, rig.Route{Name: "comes", Prefix: "/comes/", Service: "new"})
	for i := range 4 {
		must.Eq(t, 200, r.Do(rig.Request{Path: "/comes/"}).Status)
		a := r.Do(rig.Request{Path: "/moves/"})
		must.StrHasPrefix(t, "seal.i-new", a.Header.Get("Answer-Seal"))
		gone := r.Do(rig.Request{Path: "/goes/"})
		must.Eq(t, 404, gone.Status)
		if i == 1 {
			r.PutStale(before...)
			r.Searcher("new", faulty.Options{}) // a list update, so that Sync waits for the proxy to apply it
			r.Sync()
		}
	}
	close(hold)
	a := c.Read()
	must.Eq(t, 200, a.Status)
	must.StrHasPrefix(t, "seal.i-old", a.Header.Get("Answer-Seal"))
}

// TestShutdownAnswersEverything: from SIGTERM on the proxy reports that it is not ready, still accepts connections, asks clients
// to close their connection after the answer, and finishes all accepted requests.
func TestShutdownAnswersEverything(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, 6*time.Second)
	hold, arrived := make(chan struct{}), make(chan bool, 9)
	r.Searcher("s", faulty.Options{Script: func(c faulty.Call) faulty.Reply {
		if c.Path == "/held" {
			arrived <- true
			return faulty.Reply{Hold: hold}
		}
		return faulty.Reply{}
	}})
	r.Put(rig.Route{Prefix: "/", Service: "s", Mode: "non_idempotent"})
	must.True(t, r.IsReady())
	early, kept := r.Dial(), r.Dial()
	defer early.Close()
	defer kept.Close()
	early.Send(rig.Request{Path: "/held"})
	<-arrived
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
	<-arrived
	close(hold)
	must.Eq(t, 200, early.Read().Status)
	must.Eq(t, 200, late.Read().Status)
	must.NoError(t, r.Wait())
	_, err := net.Dial("tcp", r.Front)
	must.Error(t, err)
	r.Check()
}

// TestRollingReplacement: searchers and configuration versions are replaced under load. No request fails when the change is
// orderly.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	coverage := 1.0
	routes := func(version int) []rig.Route {
		return []rig.Route{{Prefix: "/", Service: fmt.Sprint("s", version%2), Mode: "non_idempotent"},
			{Name: "g", Prefix: "/g/", FanOut: []string{fmt.Sprint("s", version%2), "t"}, TopK: 4, MinCoverage: &coverage, Retries: 2}}
	}
	for _, s := range []string{"s0", "s1", "t"} {
		r.Searcher(s, faulty.Options{})
	}
	r.Put(routes(0)...)
	var stop atomic.Bool
	var clients sync.WaitGroup
	failed := make(chan rig.Response, 1000)
	for range 4 {
		clients.Go(func() {
			for i := 0; !stop.Load() && i < 400; i++ {
				if a := r.Do(rig.Request{Path: []string{"/", "/g/"}[i%2]}); a.Err != nil || a.Status != 200 {
					failed <- a
				}
			}
		})
	}
	for version := range 8 {
		replaced := r.Searcher("t", faulty.Options{})
		r.Put(routes(version)...)
		r.UpdateSearcher("t", replaced.ID(), replaced.Addr(), registry.Draining)
		r.Sync()
	}
	stop.Store(true)
	clients.Wait()
	if len(failed) > 0 {
		a := <-failed
		t.Errorf("%d requests failed, first: %s %s: %d %v", len(failed)+1, a.Request.ID, a.Request.Path, a.Status, a.Err)
	}
	r.Check()
}

// TestRequestsReachNobodyElse: a request is not sent to a searcher whose address now belongs to a searcher of another
// service, so the other service gets no more arrivals than its own requests allow. An earlier version detected the change only by
// sending a request, at least one from each proxy.
func TestRequestsReachNobodyElse(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	first := r.Searcher("s", faulty.Options{})
	r.Put(rig.Route{Prefix: "/", Service: "s", Mode: "idempotent", Retries: 2},
		rig.Route{Name: "g", Prefix: "/g/", FanOut: []string{"s", "other"}, TopK: 3})
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
	gathered := r.Do(rig.Request{Path: "/g/", DeadlineMs: 500}) // only its own part may reach the other service
	must.LessEq(t, 1, r.Ledger.Arrived(gathered.Request.ID))
	r.Searcher("s", faulty.Options{})
	r.Sync()
	must.Eq(t, 200, r.Do(rig.Request{Path: "/"}).Status)
	r.Check()
}
