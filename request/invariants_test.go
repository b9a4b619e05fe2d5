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

// TestPlantedViolations: each invariant of the book catches the fault that it is there for.
func TestPlantedViolations(t *testing.T) {
	for name, plant := range map[invariant.Name]func(l *Life, p *part, h *host){
		invariant.NoRepeatAfterRun: func(l *Life, p *part, h *host) {
			p.tries = []*Dispatch{{Request: p.req, Host: h.Host, part: p, host: h, outcome: policy.ConnectionLost}}
			l.checkDispatch(p, h)
		},
		invariant.TriesWithinRetries: func(l *Life, p *part, h *host) {
			p.req.Route.Idempotent, p.req.Route.Retries = true, 1
			p.tries = []*Dispatch{{Request: p.req, Host: h.Host, part: p, host: h, outcome: policy.Overloaded}}
			l.checkDispatch(p, h)
		},
		invariant.TriesWithinBudget: func(l *Life, p *part, h *host) {
			p.req.Route.Idempotent = true
			p.tries = []*Dispatch{{Request: p.req, Host: h.Host, part: p, host: h, outcome: policy.Overloaded}}
			l.checkDispatch(p, h)
		},
		invariant.ReadySearcherChosen: func(l *Life, p *part, h *host) {
			p.tries, h.State = nil, policy.Draining
			l.checkDispatch(p, h)
		},
		invariant.InHandBalance: func(l *Life, _ *part, _ *host) {
			l.Counts.Taken++
			l.CheckBalance()
		},
		invariant.DispatchEnds: func(l *Life, p *part, _ *host) {
			l.now = p.tries[0].Until + overdueAfter + 1
			l.CheckBalance()
		},
		invariant.OneFinalAnswer: func(l *Life, p *part, _ *host) {
			port{p.req.group}.Complete(p.req.id, true)
			port{p.req.group}.Complete(p.req.id, true)
		},
	} {
		t.Run(string(name), func(t *testing.T) {
			l := New(Terms{Budget: retrybudget.Config{Ratio: 0.1, Slack: 0, Window: 10 * time.Second}}, 0)
			l.Mixers(1)
			l.List([]Host{{ID: "i1", Address: "a", Service: "s", State: policy.Ready}})
			r := &Request{Route: &manifest.Route{Name: "r", Plant: "s", Horizon: time.Second, Setpoint: time.Second, Retries: 3},
				Until: time.Second, Done: func(Final) {}}
			l.Begin(r)
			must.Len(t, 1, l.Take(nil))
			p := r.parts[0]
			defer func() {
				caught, ok := recover().(invariant.Panic)
				must.True(t, ok, must.Sprint("nothing was violated"))
				must.Eq(t, name, caught.Name)
			}()
			plant(l, p, p.tries[0].host)
		})
	}
}
