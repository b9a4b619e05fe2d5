package request

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/retrybudget"
)

// newTrustFixture returns a Life with four searchers of one service.
func newTrustFixture() (c *Life, searchers []Host) {
	c = New(Terms{Seed: 1, Budget: retrybudget.Config{Window: 10 * time.Second}}, 0)
	c.Mixers(1)
	for _, id := range []string{"i1", "i2", "i3", "i4"} {
		searchers = append(searchers, Host{ID: id, Address: "at " + id, Service: "s", State: policy.Ready})
	}
	c.List(searchers)
	return c, searchers
}

// trustedSearchers sends requests and returns, for each searcher that got a dispatch, whether its address was trusted.
func trustedSearchers(t *testing.T, c *Life) map[string]bool {
	t.Helper()
	route := &manifest.Route{Plant: "s", Idempotent: true, Horizon: time.Second, Setpoint: 200 * ms, Retries: 1}
	got := map[string]bool{}
	for range 5 {
		c.At(c.now + ms)
		for range 8 { // at the same time, so that each searcher gets some
			c.Begin(&Request{Route: route, Until: c.now + route.Horizon, Done: func(Final) {}})
		}
		actions := c.Take(nil)
		c.At(c.now + ms)
		for _, a := range actions {
			got[a.Dispatch.Host.ID] = a.Dispatch.Vouched
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
		do   func(c *Life, searchers []Host)
		want map[string]bool
	}{
		"nothing":             {func(*Life, []Host) {}, all},
		"it could not be met": {func(c *Life, searchers []Host) { c.Unreachable(&searchers[1]) }, except("i2")},
		"it is silent":        {func(c *Life, searchers []Host) { searchers[2].Silent = true; c.List(searchers) }, except("i3")},
		"another has its place": {func(c *Life, searchers []Host) {
			c.List(append(searchers, Host{ID: "i5", Address: "at i4", Service: "t"}))
		}, except("i4")},
		"it was silent just now": {func(c *Life, searchers []Host) {
			searchers[0].Silent = true
			c.List(searchers)
			searchers[0].Silent = false
			c.List(searchers)
		}, except("i1")},
		"many have gone": {func(c *Life, searchers []Host) {
			for _, id := range []string{"j1", "j2", "j3"} {
				c.Unreachable(&Host{ID: id})
			}
		}, except("i1", "i2", "i3", "i4")},
		"the process stood still": {func(c *Life, searchers []Host) { c.At(c.now + 4*time.Second) }, except("i1", "i2", "i3", "i4")},
		"that was before a while": {func(c *Life, searchers []Host) {
			c.At(c.now + 4*time.Second)
			for range distrustAfterPause / Pulse {
				c.At(c.now + Pulse)
			}
			c.At(c.now + Pulse)
		}, all},
		"that was long ago": {func(c *Life, searchers []Host) {
			for i := range searchers {
				c.Unreachable(&searchers[i])
			}
			for range suspectFor/Pulse + 1 {
				c.At(c.now + Pulse)
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
	for name, restore := range map[string]func(c *Life, searchers []Host){
		"it has reported": func(c *Life, searchers []Host) { searchers[0].Calls++ },
		"after some while": func(c *Life, searchers []Host) {
			for range misdirectedFor/Pulse + 1 {
				c.At(c.now + Pulse)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, searchers := newTrustFixture()
			c.Misdirected(&searchers[0], false)
			c.List(searchers)
			must.MapNotContainsKey(t, trustedSearchers(t, c), "i1")
			restore(c, searchers)
			c.List(searchers)
			must.MapContainsKey(t, trustedSearchers(t, c), "i1")
		})
	}
}

// TestRestartKeepsMisdirections checks that a Life that replaces one after a fault takes over the misdirected and the
// suspect searchers.
func TestRestartKeepsMisdirections(t *testing.T) {
	previous, searchers := newTrustFixture()
	previous.Misdirected(&searchers[0], true)
	previous.Unreachable(&searchers[1])
	c := New(Terms{Seed: 1, Before: previous}, previous.now)
	c.List(searchers)
	must.Eq(t, map[string]bool{"i2": false, "i3": true, "i4": true}, trustedSearchers(t, c))
}

// TestExpiredRequestGetsRetryAfter guards against refusing a request that arrives after its deadline without a time to
// retry after (eleven such refusals in soak seed 54).
func TestExpiredRequestGetsRetryAfter(t *testing.T) {
	c, _ := newTrustFixture()
	c.At(time.Second)
	var final Final
	c.Begin(&Request{Route: &manifest.Route{Plant: "s", Horizon: time.Second, Setpoint: time.Second, Retries: 1}, Until: time.Second, Done: func(f Final) { final = f }})
	must.Eq(t, Refused, final.Kind)
	must.Eq(t, TimeOver, final.Reason)
	must.Positive(t, final.In)
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
	c.At(10 * ms)
	trustedSearchers(t, c)
	must.Eq(t, 40, requests())
	c.At(c.now + 5*time.Second)
	c.Begin(&Request{Route: &manifest.Route{Plant: "s", Idempotent: true, Horizon: time.Second, Setpoint: time.Second, Retries: 1}, Until: c.now + time.Second, Done: func(Final) {}})
	must.Eq(t, 40, requests())
	c.At(c.now + catchUpPeriod)
	trustedSearchers(t, c)
	must.Eq(t, 80, requests())
}
