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

func init() { invariant.SetFatal(true) }

// TestInvariantsDetectInjectedFaults checks that each invariant detects the fault that it guards against.
func TestInvariantsDetectInjectedFaults(t *testing.T) {
	for name, inject := range map[invariant.Name]func(c *Coordinator, p *part, m *member){
		invariant.NoRetryAfterExecution: func(c *Coordinator, p *part, m *member) {
			p.dispatches = []*Dispatch{{Request: p.request, Searcher: m.Searcher, part: p, member: m, outcome: policy.ConnectionLost}}
			c.checkDispatch(p, m)
		},
		invariant.AttemptsWithinRetries: func(c *Coordinator, p *part, m *member) {
			p.request.Route.Idempotent, p.request.Route.Retries = true, 1
			p.dispatches = []*Dispatch{{Request: p.request, Searcher: m.Searcher, part: p, member: m, outcome: policy.Overloaded}}
			c.checkDispatch(p, m)
		},
		invariant.AttemptsWithinBudget: func(c *Coordinator, p *part, m *member) {
			p.request.Route.Idempotent = true
			p.dispatches = []*Dispatch{{Request: p.request, Searcher: m.Searcher, part: p, member: m, outcome: policy.Overloaded}}
			c.checkDispatch(p, m)
		},
		invariant.ReadySearcherChosen: func(c *Coordinator, p *part, m *member) {
			p.dispatches, m.State = nil, policy.Draining
			c.checkDispatch(p, m)
		},
		invariant.DispatchWithinService: func(c *Coordinator, p *part, m *member) {
			p.dispatches, m.Service = nil, "another"
			c.checkDispatch(p, m)
		},
		invariant.InFlightBalance: func(c *Coordinator, _ *part, _ *member) {
			c.Counts.Taken++
			c.CheckBalance()
		},
		invariant.DispatchEnds: func(c *Coordinator, p *part, _ *member) {
			c.now = p.dispatches[0].Deadline + overdueAfter + 1
			c.CheckBalance()
		},
		invariant.OneFinalAnswer: func(c *Coordinator, p *part, _ *member) {
			actionPort{p.request.group}.Complete(p.request.id, true)
			actionPort{p.request.group}.Complete(p.request.id, true)
		},
	} {
		t.Run(string(name), func(t *testing.T) {
			c := New(Config{Budget: retrybudget.Config{Ratio: 0.1, Slack: 0, Window: 10 * time.Second}}, 0)
			c.SetMixerCount(1)
			c.SetSearchers([]Searcher{{ID: "i1", Address: "a", Service: "s", State: policy.Ready}})
			r := &Request{Route: &manifest.Route{Name: "r", Plant: "s", Horizon: time.Second, Setpoint: time.Second, Retries: 3},
				Deadline: time.Second, Done: func(Final) {}}
			c.Begin(r)
			must.Len(t, 1, c.TakeActions(nil))
			p := r.parts[0]
			defer func() {
				caught, ok := recover().(invariant.Panic)
				must.True(t, ok, must.Sprint("no violation was reported"))
				must.Eq(t, name, caught.Name)
			}()
			inject(c, p, p.dispatches[0].member)
		})
	}
}
