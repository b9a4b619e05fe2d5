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

// TestFreezeIsNoOverdueDispatch: a process that did not run could end no dispatch; the first look after it is no proof that nothing
// will. One that runs and still has it out is caught (soak seed 5031: a proxy ended by this invariant on being thawed).
func TestFreezeIsNoOverdueDispatch(t *testing.T) {
	l := New(Terms{Budget: retrybudget.Config{Window: 10 * time.Second}}, 0)
	l.Mixers(1)
	l.List([]Host{{ID: "i1", Address: "a", Service: "s", State: policy.Ready}})
	var final *Final
	l.Begin(&Request{Route: &manifest.Route{Plant: "s", Idempotent: true, Horizon: time.Second, Setpoint: time.Second, Retries: 1}, Until: time.Second,
		Done: func(f Final) { final = &f }})
	out := l.Take(nil)
	must.Len(t, 1, out)
	const frozen = 7 * time.Second
	l.At(frozen)
	l.CheckBalance()
	l.At(frozen + catchUp)
	must.Eq(t, Refused, final.Kind)
	must.Eq(t, TimeOver, final.Reason) // what is out has turned nothing away
	must.True(t, final.Tries[0].Out)

	late := func() (caught bool) {
		defer func() {
			p, ok := recover().(invariant.Panic)
			caught = ok && p.Name == invariant.DispatchEnds
		}()
		for now := frozen; now < frozen+overdueAfter+time.Second; now += 50 * ms {
			l.At(now)
			l.CheckBalance()
		}
		return false
	}
	must.True(t, late())
}

// TestFreezeIsNoSilence: what came while the process did not run is looked at before anybody is held to be silent: no further try
// goes out for an answer that is there already.
func TestFreezeIsNoSilence(t *testing.T) {
	l := New(Terms{Budget: retrybudget.Config{Window: 10 * time.Second, Slack: 1000, Ratio: 1}}, 0)
	l.Mixers(1)
	l.List([]Host{{ID: "i1", Address: "a", Service: "s", State: policy.Ready}, {ID: "i2", Address: "b", Service: "s", State: policy.Ready}})
	route := &manifest.Route{Plant: "s", Idempotent: true, Horizon: 8 * time.Second, Setpoint: time.Second, Retries: 3}
	now := time.Duration(0)
	begin := func() (d *Dispatch, final *Final) {
		final = &Final{Kind: Failed}
		l.Begin(&Request{Route: route, Until: now + route.Horizon, Done: func(f Final) { *final = f }})
		out := l.Take(nil)
		must.Len(t, 1, out)
		return out[0].Dispatch, final
	}
	answer := func(d *Dispatch) { l.Returned(d, policy.Succeeded, WasRead, &Reply{Status: 200, Seal: d.Host.ID}) }
	for range 50 { // it knows the pace of both
		d, _ := begin()
		now += 10 * ms
		l.At(now)
		answer(d)
	}
	d, final := begin()
	now += 5 * time.Second
	l.At(now) // the timer may come first
	must.SliceEmpty(t, l.Take(nil), must.Sprint("a further try"))
	next, ok := l.Next()
	must.True(t, ok)
	must.Greater(t, now, next)
	answer(d)
	must.Eq(t, Relayed, final.Kind)
	must.SliceEmpty(t, l.Take(nil))
	must.Less(t, time.Second, d.took) // nor is the searcher held to be slow
}
