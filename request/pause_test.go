package request

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/internal/invariant"
	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/retrybudget"
)

// TestPauseIsNoOverdueDispatch guards against reporting an overdue dispatch right after a pause: a paused process
// cannot end its dispatches. A dispatch still in flight later must be reported. In soak seed 5031 this invariant ended
// a proxy when it resumed.
func TestPauseIsNoOverdueDispatch(t *testing.T) {
	c := New(Config{Budget: retrybudget.Config{Window: 10 * time.Second}}, 0)
	c.SetMixerCount(1)
	c.SetSearchers([]Searcher{{ID: "i1", Address: "a", Service: "s", State: policy.Ready}})
	var final *Final
	c.Begin(&Request{Route: &manifest.Route{Plant: "s", Idempotent: true, Horizon: time.Second, Setpoint: time.Second, Retries: 1}, Deadline: time.Second,
		Done: func(f Final) { final = &f }})
	sent := c.TakeActions(nil)
	must.Len(t, 1, sent)
	const pause = 7 * time.Second
	c.Advance(pause)
	c.CheckBalance()
	c.Advance(pause + catchUpPeriod)
	must.Eq(t, Refused, final.Kind)
	must.Eq(t, DeadlinePassed, final.Reason) // a dispatch in flight has not rejected the request
	must.True(t, final.Attempts[0].InFlight)

	detected := func() (caught bool) {
		defer func() {
			panicked, ok := recover().(invariant.Panic)
			caught = ok && panicked.Name == invariant.DispatchEnds
		}()
		for now := pause; now < pause+overdueAfter+time.Second; now += 50 * ms {
			c.Advance(now)
			c.CheckBalance()
		}
		return false
	}
	must.True(t, detected())
}

// TestPauseCausesNoRetry guards against timers firing right after a pause, before the responses that arrived during the
// pause are passed in: a retry would be sent although the response is already there.
func TestPauseCausesNoRetry(t *testing.T) {
	c := New(Config{Budget: retrybudget.Config{Window: 10 * time.Second, Slack: 1000, Ratio: 1}}, 0)
	c.SetMixerCount(1)
	c.SetSearchers([]Searcher{{ID: "i1", Address: "a", Service: "s", State: policy.Ready}, {ID: "i2", Address: "b", Service: "s", State: policy.Ready}})
	route := &manifest.Route{Plant: "s", Idempotent: true, Horizon: 8 * time.Second, Setpoint: time.Second, Retries: 3}
	now := time.Duration(0)
	begin := func() (d *Dispatch, final *Final) {
		final = &Final{Kind: Failed}
		c.Begin(&Request{Route: route, Deadline: now + route.Horizon, Done: func(f Final) { *final = f }})
		sent := c.TakeActions(nil)
		must.Len(t, 1, sent)
		return sent[0].Dispatch, final
	}
	answer := func(d *Dispatch) { c.Returned(d, policy.Succeeded, WasRead, &Reply{Status: 200, Seal: d.Searcher.ID}) }
	for range 50 { // the policy learns the latency of both
		d, _ := begin()
		now += 10 * ms
		c.Advance(now)
		answer(d)
	}
	d, final := begin()
	now += 5 * time.Second
	c.Advance(now) // the timer may be handled before the response
	must.SliceEmpty(t, c.TakeActions(nil), must.Sprint("a retry"))
	next, ok := c.NextTimer()
	must.True(t, ok)
	must.Greater(t, now, next)
	answer(d)
	must.Eq(t, Relayed, final.Kind)
	must.SliceEmpty(t, c.TakeActions(nil))
	must.Less(t, time.Second, d.elapsed) // the pause does not count towards the searcher's latency
}
