package request

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/retrybudget"
)

// newTrustFixture returns a Coordinator with four searchers of one service.
func newTrustFixture() (c *Coordinator, searchers []Searcher) {
	c = New(Config{Seed: 1, Budget: retrybudget.Config{Window: 10 * time.Second}}, 0)
	c.SetMixerCount(1)
	for _, id := range []string{"i1", "i2", "i3", "i4"} {
		searchers = append(searchers, Searcher{ID: id, Address: "at " + id, Service: "s", State: policy.Ready})
	}
	c.SetSearchers(searchers)
	return c, searchers
}

// trustedSearchers sends requests and returns, for each searcher that got a dispatch, whether its address was trusted.
func trustedSearchers(t *testing.T, c *Coordinator) map[string]bool {
	t.Helper()
	route := &manifest.Route{Plant: "s", Idempotent: true, Horizon: time.Second, Setpoint: 200 * ms, Retries: 1}
	got := map[string]bool{}
	for range 5 {
		c.Advance(c.now + ms)
		for range 8 { // at the same time, so that each searcher gets some
			c.Begin(&Request{Route: route, Deadline: c.now + route.Horizon, Done: func(Final) {}})
		}
		actions := c.TakeActions(nil)
		c.Advance(c.now + ms)
		for _, a := range actions {
			got[a.Dispatch.Searcher.ID] = a.Dispatch.AddressTrusted
			c.Returned(a.Dispatch, policy.Succeeded, WasRead, &Reply{Status: 200, Seal: "seal"})
		}
	}
	return got
}

// TestAddressTrust checks that a searcher's address is trusted until there is evidence against it, and that none is
// trusted while many searchers have ended or after a pause.
func TestAddressTrust(t *testing.T) {
	all := map[string]bool{"i1": true, "i2": true, "i3": true, "i4": true}
	except := func(ids ...string) map[string]bool {
		got := map[string]bool{}
		for id := range all {
			got[id] = true
		}
		for _, id := range ids {
			got[id] = false
		}
		return got
	}
	for name, tc := range map[string]struct {
		do   func(c *Coordinator, searchers []Searcher)
		want map[string]bool
	}{
		"nothing":             {func(*Coordinator, []Searcher) {}, all},
		"it could not be met": {func(c *Coordinator, searchers []Searcher) { c.ReportUnreachable(&searchers[1]) }, except("i2")},
		"it is silent":        {func(c *Coordinator, searchers []Searcher) { searchers[2].Silent = true; c.SetSearchers(searchers) }, except("i3")},
		"another has its place": {func(c *Coordinator, searchers []Searcher) {
			c.SetSearchers(append(searchers, Searcher{ID: "i5", Address: "at i4", Service: "t"}))
		}, except("i4")},
		"it was silent just now": {func(c *Coordinator, searchers []Searcher) {
			searchers[0].Silent = true
			c.SetSearchers(searchers)
			searchers[0].Silent = false
			c.SetSearchers(searchers)
		}, except("i1")},
		"many have gone": {func(c *Coordinator, searchers []Searcher) {
			for _, id := range []string{"j1", "j2", "j3"} {
				c.ReportUnreachable(&Searcher{ID: id})
			}
		}, except("i1", "i2", "i3", "i4")},
		"the process stood still": {func(c *Coordinator, searchers []Searcher) { c.Advance(c.now + 4*time.Second) }, except("i1", "i2", "i3", "i4")},
		"that was before a while": {func(c *Coordinator, searchers []Searcher) {
			c.Advance(c.now + 4*time.Second)
			for range distrustAfterPause / MaxAdvanceInterval {
				c.Advance(c.now + MaxAdvanceInterval)
			}
			c.Advance(c.now + MaxAdvanceInterval)
		}, all},
		"that was long ago": {func(c *Coordinator, searchers []Searcher) {
			for i := range searchers {
				c.ReportUnreachable(&searchers[i])
			}
			for range suspectFor/MaxAdvanceInterval + 1 {
				c.Advance(c.now + MaxAdvanceInterval)
			}
		}, all},
	} {
		t.Run(name, func(t *testing.T) {
			c, searchers := newTrustFixture()
			tc.do(c, searchers)
			must.Eq(t, tc.want, trustedSearchers(t, c))
		})
	}
}

// TestMisdirectedSearcherIsRestored checks that a misdirected searcher is used again after a newer report of it, or
// after misdirectedFor.
func TestMisdirectedSearcherIsRestored(t *testing.T) {
	for name, restore := range map[string]func(c *Coordinator, searchers []Searcher){
		"it has reported": func(c *Coordinator, searchers []Searcher) { searchers[0].Calls++ },
		"after some while": func(c *Coordinator, searchers []Searcher) {
			for range misdirectedFor/MaxAdvanceInterval + 1 {
				c.Advance(c.now + MaxAdvanceInterval)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, searchers := newTrustFixture()
			c.ReportMisdirected(&searchers[0], false)
			c.SetSearchers(searchers)
			must.MapNotContainsKey(t, trustedSearchers(t, c), "i1")
			restore(c, searchers)
			c.SetSearchers(searchers)
			must.MapContainsKey(t, trustedSearchers(t, c), "i1")
		})
	}
}

// TestRestartKeepsMisdirections checks that a Coordinator that replaces one after a fault takes over the misdirected
// and the suspect searchers.
func TestRestartKeepsMisdirections(t *testing.T) {
	previous, searchers := newTrustFixture()
	previous.ReportMisdirected(&searchers[0], true)
	previous.ReportUnreachable(&searchers[1])
	c := New(Config{Seed: 1, Previous: previous}, previous.now)
	c.SetSearchers(searchers)
	must.Eq(t, map[string]bool{"i2": false, "i3": true, "i4": true}, trustedSearchers(t, c))
}

// TestExpiredRequestGetsRetryAfter guards against refusing a request that arrives after its deadline without a time to
// retry after (eleven such refusals in soak seed 54).
func TestExpiredRequestGetsRetryAfter(t *testing.T) {
	c, _ := newTrustFixture()
	c.Advance(time.Second)
	var final Final
	c.Begin(&Request{Route: &manifest.Route{Plant: "s", Horizon: time.Second, Setpoint: time.Second, Retries: 1}, Deadline: time.Second, Done: func(f Final) { final = f }})
	must.Eq(t, Refused, final.Kind)
	must.Eq(t, DeadlinePassed, final.Reason)
	must.Positive(t, final.RetryAfter)
}

// TestPausedRequestsAddNoBudget checks that requests read right after a pause add nothing to the retry budget: they
// were sent at an unknown time during the pause.
func TestPausedRequestsAddNoBudget(t *testing.T) {
	c, _ := newTrustFixture()
	requests := func() uint64 {
		for _, f := range c.budget.Stats(c.now) {
			if f.Service == "s" {
				return f.Requests
			}
		}
		return 0
	}
	c.Advance(10 * ms)
	trustedSearchers(t, c)
	must.Eq(t, 40, requests())
	c.Advance(c.now + 5*time.Second)
	c.Begin(&Request{Route: &manifest.Route{Plant: "s", Idempotent: true, Horizon: time.Second, Setpoint: time.Second, Retries: 1}, Deadline: c.now + time.Second, Done: func(Final) {}})
	must.Eq(t, 40, requests())
	c.Advance(c.now + catchUpPeriod)
	trustedSearchers(t, c)
	must.Eq(t, 80, requests())
}
