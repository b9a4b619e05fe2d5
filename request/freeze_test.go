package request

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/brain"
	"peathollow/internal/invariant"
	"peathollow/manifest"
	"peathollow/retrybudget"
)

// TestFreezeIsNoOverdueDispatch: a process that did not run could end no dispatch; the first look after it is no proof that nothing
// will. One that runs and still has it out is caught (soak seed 5031: a proxy ended by this invariant on being thawed).
func TestFreezeIsNoOverdueDispatch(t *testing.T) {
	l := New(Terms{Budget: retrybudget.Terms{Window: 10 * time.Second}}, 0)
	l.Mixers(1)
	l.List([]Host{{ID: "i1", Address: "a", Service: "s", State: brain.Ready}})
	var final *Final
	l.Begin(&Request{Route: &manifest.Route{Plant: "s", Idempotent: true, Horizon: time.Second, Setpoint: time.Second, Retries: 1}, Until: time.Second,
		Done: func(f Final) { final = &f }})
	out := l.Take(nil)
	must.Len(t, 1, out)
	const frozen = 7 * time.Second
	l.At(frozen)
	l.CheckBalance()
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
