package request

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/retrybudget"
)

// starved plays one request whose first part fails at once while the retry budget has no room, and others pass; it gives the
// answer and when it came.
func starved(t *testing.T, route *manifest.Route, out policy.Outcome) (final Final, at time.Duration) {
	t.Helper()
	l := New(Terms{Seed: 1, Budget: retrybudget.Config{Window: 10 * time.Second}}, 0)
	l.Mixers(1)
	var hosts []Host
	for _, s := range append([]string{"a"}, route.FanOut...) {
		for _, id := range []string{"1", "2", "3"} {
			hosts = append(hosts, Host{ID: s + id, Address: s + id, Service: s, State: policy.Ready})
		}
	}
	l.List(hosts)
	ended, now := false, time.Duration(0)
	l.Begin(&Request{Route: route, Until: route.Horizon, Done: func(f Final) { final, at, ended = f, now, true }})
	for !ended {
		for _, a := range l.Take(nil) {
			now += time.Millisecond
			l.At(now)
			if reply := (&Reply{Status: 200, Seal: a.Dispatch.Host.ID}); a.Dispatch.Host.Service == "a" {
				l.Returned(a.Dispatch, out, MayRead, nil)
			} else if !a.Cancel {
				l.Returned(a.Dispatch, policy.Succeeded, WasRead, reply)
			}
		}
		next, ok := l.Next()
		must.True(t, ok || ended)
		if !ended {
			now = max(now, next)
			l.At(now)
		}
	}
	must.NoError(t, l.Check())
	return final, at
}

// TestGoneSearchersAreNotWaitedFor: a request whose last searcher turned out to be gone (421) is answered while its client has time
// to come back; the code before held it to its end.
func TestGoneSearchersAreNotWaitedFor(t *testing.T) {
	route := &manifest.Route{Plant: "a", Horizon: 4 * time.Second, Setpoint: 800 * ms, Retries: 3}
	l := New(Terms{Seed: 1, Budget: retrybudget.Config{Window: 10 * time.Second, Slack: 100}}, 0)
	l.Mixers(1)
	l.List([]Host{{ID: "a1", Address: "a1", Service: "a", State: policy.Ready}})
	var final *Final
	now, at := time.Duration(0), time.Duration(0)
	l.Begin(&Request{Route: route, Until: route.Horizon, Done: func(f Final) { final, at = &f, now }})
	for final == nil {
		for _, a := range l.Take(nil) {
			l.Misdirected(a.Dispatch.Host, true)
			l.Returned(a.Dispatch, policy.Unreachable, WasRead, nil)
		}
		now, _ = l.Next()
		l.At(now)
	}
	must.Eq(t, Refused, final.Kind)
	must.Eq(t, NoSearcher, final.Reason)
	must.Positive(t, final.In)
	must.Less(t, route.Setpoint/4, at)
}

// TestSpentBudgetIsNotWaitedFor: a request that can't go again for want of budget is answered while its client has time to
// come back, or has the parts that are in; the code before held it to its end.
func TestSpentBudgetIsNotWaitedFor(t *testing.T) {
	single := manifest.Route{Plant: "a", Idempotent: true, Horizon: 4 * time.Second, Setpoint: 800 * ms, Retries: 3}
	once := single
	once.Idempotent = false
	gathered := manifest.Route{FanOut: []string{"a", "b", "c"}, Idempotent: true, Horizon: 4 * time.Second, Setpoint: 800 * ms, Retries: 3, TopK: 4, MinCoverage: 0.6}
	whole := gathered
	whole.MinCoverage = 1
	for name, c := range map[string]struct {
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
			final, at := starved(t, c.route, c.out)
			must.Eq(t, c.kind, final.Kind)
			must.Less(t, c.route.Setpoint/4, at)
			if c.kind == Refused {
				must.Positive(t, final.In)
				must.Eq(t, BudgetSpent, final.Reason)
			}
		})
	}
}

// TestBudgetIsCheckedAsItWasAsked: a dispatch is held against the budget by the same end that the module asked with; by the request's own
// end, some milliseconds later, a window more may come into view (soak seeds 9001 to 9004 at the incident's size).
func TestBudgetIsCheckedAsItWasAsked(t *testing.T) {
	hosts := []Host{{ID: "i1", Address: "a", Service: "a", State: policy.Ready}, {ID: "i2", Address: "b", Service: "a", State: policy.Ready}}
	for horizon := 500 * ms; horizon < 1200*ms; horizon += 3 * ms {
		l := New(Terms{Seed: 1, Budget: retrybudget.Config{Ratio: 0.2, Window: 10 * time.Second}}, 0)
		l.Mixers(1)
		l.List(hosts)
		route := &manifest.Route{Plant: "a", Idempotent: true, Horizon: horizon, Setpoint: 300 * ms, Retries: 2}
		for n := range 400 {
			l.At(l.now + 50*ms)
			l.Begin(&Request{Route: route, Until: l.now + horizon, Done: func(Final) {}})
			for i, a := range l.Take(nil) {
				out := []policy.Outcome{policy.ConnectionLost, policy.Succeeded}[(n+i)%2]
				l.Returned(a.Dispatch, out, MayRead, &Reply{Status: 200, Seal: "seal"})
			}
		}
		must.Positive(t, l.Counts.Further)
	}
}
