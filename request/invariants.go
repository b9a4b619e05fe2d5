package request

import (
	"time"

	"peathollow/internal/invariant"
	"peathollow/policy"
)

// overdueAfter is how long after its deadline a dispatch may still be out: its connection has to be given up meanwhile.
const overdueAfter = 5 * time.Second

// checkDispatch looks at a dispatch that is about to be made.
func (l *Life) checkDispatch(p *part, h *host) {
	route := p.req.Route
	if !route.Idempotent && p.mayHaveRun() {
		invariant.Violated(invariant.NoRepeatAfterRun, "route %s: try %d of request %d, which may have run", route.Name, len(p.tries)+1, p.req.id)
	}
	if len(p.tries) >= max(1, route.Retries) {
		invariant.Violated(invariant.TriesWithinRetries, "route %s: try %d of %d", route.Name, len(p.tries)+1, route.Retries)
	}
	if len(p.tries) > 0 && !l.book.Allows(l.now, p.service, l.roomUntil) {
		invariant.Violated(invariant.TriesWithinBudget, "service %s: try %d", p.service, len(p.tries)+1)
	}
	if h.State != policy.Ready {
		invariant.Violated(invariant.ReadySearcherChosen, "searcher %s is %v", h.ID, h.State)
	}
}

// CheckBalance looks at the counts and at what is out. It costs a walk over what is in hand.
func (l *Life) CheckBalance() {
	c := &l.Counts
	ended := c.Relayed + c.Gathered + c.Refused + c.Failed + c.Left
	invariant.Check(invariant.InHandBalance, c.Taken-ended == len(l.reqs), "%d taken, %d ended, %d in hand", c.Taken, ended, len(l.reqs))
	for _, p := range l.parts {
		for _, d := range p.tries {
			due := max(d.Until, l.ranOn) // a process that did not run could end nothing
			if d.out && l.now > due+overdueAfter {
				invariant.Violated(invariant.DispatchEnds, "searcher %s: out %v after its deadline", d.Host.ID, l.now-d.Until)
			}
		}
	}
}
