package request

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/retrybudget"
)

// simulateDeniedRetry runs one request while the retry budget allows no retry: its dispatches to service a end with
// outcome at once, those to other services succeed. It returns the answer and its time.
func simulateDeniedRetry(t *testing.T, route *manifest.Route, outcome policy.Outcome) (final Final, at time.Duration) {
	t.Helper()
	c := New(Config{Seed: 1, Budget: retrybudget.Config{Window: 10 * time.Second}}, 0)
	c.SetMixerCount(1)
	var searchers []Searcher
	for _, s := range append([]string{"a"}, route.FanOut...) {
		for _, id := range []string{"1", "2", "3"} {
			searchers = append(searchers, Searcher{ID: s + id, Address: s + id, Service: s, State: policy.Ready})
		}
	}
	c.SetSearchers(searchers)
	ended, now := false, time.Duration(0)
	c.Begin(&Request{Route: route, Deadline: route.Horizon, Done: func(f Final) { final, at, ended = f, now, true }})
	for !ended {
		for _, a := range c.TakeActions(nil) {
			now += time.Millisecond
			c.Advance(now)
			if reply := (&Reply{Status: 200, Seal: a.Dispatch.Searcher.ID}); a.Dispatch.Searcher.Service == "a" {
				c.Returned(a.Dispatch, outcome, MaybeRead, nil)
			} else if !a.Cancel {
				c.Returned(a.Dispatch, policy.Succeeded, WasRead, reply)
			}
		}
		next, ok := c.NextTimer()
		must.True(t, ok || ended)
		if !ended {
			now = max(now, next)
			c.Advance(now)
		}
	}
	must.NoError(t, c.Check())
	return final, at
}

// TestNoWaitForRemovedSearchers checks that a request whose last searcher proved removed (421) is answered early, while
// its client still has time to retry. Earlier code held it until its deadline.
func TestNoWaitForRemovedSearchers(t *testing.T) {
	route := &manifest.Route{Plant: "a", Horizon: 4 * time.Second, Setpoint: 800 * ms, Retries: 3}
	c := New(Config{Seed: 1, Budget: retrybudget.Config{Window: 10 * time.Second, Slack: 100}}, 0)
	c.SetMixerCount(1)
	c.SetSearchers([]Searcher{{ID: "a1", Address: "a1", Service: "a", State: policy.Ready}})
	var final *Final
	now, at := time.Duration(0), time.Duration(0)
	c.Begin(&Request{Route: route, Deadline: route.Horizon, Done: func(f Final) { final, at = &f, now }})
	for final == nil {
		for _, a := range c.TakeActions(nil) {
			c.ReportMisdirected(a.Dispatch.Searcher, true)
			c.Returned(a.Dispatch, policy.Unreachable, WasRead, nil)
		}
		now, _ = c.NextTimer()
		c.Advance(now)
	}
	must.Eq(t, Refused, final.Kind)
	must.Eq(t, NoSearcher, final.Reason)
	must.Positive(t, final.RetryAfter)
	must.Less(t, route.Setpoint/4, at)
}

// TestNoWaitWhenBudgetIsExhausted checks that a request that the retry budget allows no retry is answered early, with
// the parts received so far or while its client still has time to retry. Earlier code held it until its deadline.
func TestNoWaitWhenBudgetIsExhausted(t *testing.T) {
	single := manifest.Route{Plant: "a", Idempotent: true, Horizon: 4 * time.Second, Setpoint: 800 * ms, Retries: 3}
	once := single
	once.Idempotent = false
	gathered := manifest.Route{FanOut: []string{"a", "b", "c"}, Idempotent: true, Horizon: 4 * time.Second, Setpoint: 800 * ms, Retries: 3, TopK: 4, MinCoverage: 0.6}
	whole := gathered
	whole.MinCoverage = 1
	for name, tc := range map[string]struct {
		route *manifest.Route
		out   policy.Outcome
		kind  Kind
	}{
		"may be repeated":                 {&single, policy.ConnectionLost, Refused},
		"may run once, and has not run":   {&once, policy.Expired, Refused},
		"gathered, enough parts are in":   {&gathered, policy.ConnectionLost, Gathered},
		"gathered, all parts are wanted":  {&whole, policy.ConnectionLost, Refused},
		"gathered, refused by a searcher": {&gathered, policy.Expired, Gathered},
	} {
		t.Run(name, func(t *testing.T) {
			final, at := simulateDeniedRetry(t, tc.route, tc.out)
			must.Eq(t, tc.kind, final.Kind)
			must.Less(t, tc.route.Setpoint/4, at)
			if tc.kind == Refused {
				must.Positive(t, final.RetryAfter)
				must.Eq(t, BudgetExhausted, final.Reason)
			}
		})
	}
}

// TestBudgetInvariantUsesDeadlineOfPolicy guards against checking a dispatch against the retry budget with the
// request's deadline instead of the one that the policy queried with. The request's is some milliseconds later and may
// include one more budget window (soak seeds 9001 to 9004 at the incident's size).
func TestBudgetInvariantUsesDeadlineOfPolicy(t *testing.T) {
	searchers := []Searcher{{ID: "i1", Address: "a", Service: "a", State: policy.Ready}, {ID: "i2", Address: "b", Service: "a", State: policy.Ready}}
	for horizon := 500 * ms; horizon < 1200*ms; horizon += 3 * ms {
		c := New(Config{Seed: 1, Budget: retrybudget.Config{Ratio: 0.2, Window: 10 * time.Second}}, 0)
		c.SetMixerCount(1)
		c.SetSearchers(searchers)
		route := &manifest.Route{Plant: "a", Idempotent: true, Horizon: horizon, Setpoint: 300 * ms, Retries: 2}
		for n := range 400 {
			c.Advance(c.now + 50*ms)
			c.Begin(&Request{Route: route, Deadline: c.now + horizon, Done: func(Final) {}})
			for i, a := range c.TakeActions(nil) {
				outcome := []policy.Outcome{policy.ConnectionLost, policy.Succeeded}[(n+i)%2]
				c.Returned(a.Dispatch, outcome, MaybeRead, &Reply{Status: 200, Seal: "seal"})
			}
		}
		must.Positive(t, c.Counts.Retries)
	}
}
