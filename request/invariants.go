package request

import (
	"time"

	"peathollow/internal/invariant"
	"peathollow/policy"
)

// overdueAfter is how long after its deadline a dispatch may still be in flight. Its connection must be abandoned by
// then.
const overdueAfter = 5 * time.Second

// checkDispatch verifies the invariants of a dispatch that is about to be created.
func (c *Coordinator) checkDispatch(p *part, m *member) {
	route := p.request.Route
	if !route.Idempotent && p.mayHaveRun() {
		invariant.Violated(invariant.NoRetryAfterExecution, "route %s: attempt %d of request %d, which may have run",
			route.Name, len(p.dispatches)+1, p.request.id)
	}
	if len(p.dispatches) >= max(1, route.Retries) {
		invariant.Violated(invariant.AttemptsWithinRetries, "route %s: attempt %d of %d", route.Name, len(p.dispatches)+1, route.Retries)
	}
	if len(p.dispatches) > 0 && !c.budget.Allows(c.now, p.service, c.budgetUntil) {
		invariant.Violated(invariant.AttemptsWithinBudget, "service %s: attempt %d", p.service, len(p.dispatches)+1)
	}
	if m.Service != p.service {
		invariant.Violated(invariant.DispatchWithinService, "searcher %s is of service %q, the request is for %q", m.ID, m.Service, p.service)
	}
	if m.State != policy.Ready {
		invariant.Violated(invariant.ReadySearcherChosen, "searcher %s is %v", m.ID, m.State)
	}
}

// CheckBalance verifies that the counts match the requests in flight and that no dispatch is overdue. Its cost is
// proportional to the number of parts.
func (c *Coordinator) CheckBalance() {
	counts := &c.Counts
	ended := counts.Relayed + counts.Gathered + counts.Refused + counts.Failed + counts.ClientsLeft
	invariant.Check(invariant.InFlightBalance, counts.Taken-ended == len(c.requests), "%d taken, %d ended, %d in flight",
		counts.Taken, ended, len(c.requests))
	for _, p := range c.parts {
		for _, d := range p.dispatches {
			endBy := max(d.Deadline, c.resumedAt) // a paused process cannot end its dispatches
			if d.inFlight && c.now > endBy+overdueAfter {
				invariant.Violated(invariant.DispatchEnds, "searcher %s: dispatch in flight %v after its deadline",
					d.Searcher.ID, c.now-d.Deadline)
			}
		}
	}
}
