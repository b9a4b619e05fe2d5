package request

import (
	"peathollow/policy"
)

// neverRan reports whether an outcome proves that the searcher has not run the part and will not.
func neverRan(outcome policy.Outcome) bool {
	return outcome == policy.Overloaded || outcome == policy.Unreachable || outcome == policy.Expired
}

// mayHaveRun reports whether a searcher may have run the part, or may still run it.
func (p *part) mayHaveRun() bool {
	for _, d := range p.dispatches {
		if d.inFlight || !neverRan(d.outcome) {
			return true
		}
	}
	return false
}

// attempts describes all dispatches of a request.
func (c *Coordinator) attempts(r *Request) (attempts []Attempt) {
	for _, p := range r.parts {
		for _, d := range p.dispatches {
			attempt := Attempt{Searcher: d.Searcher.ID, InFlight: d.inFlight, Outcome: d.outcome, Elapsed: d.elapsed}
			if d.inFlight {
				attempt.Elapsed = c.now - d.sentAt
			}
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

// lacksSearcher reports whether one of the services of the request has no ready searcher.
func (r *Request) lacksSearcher() bool {
	for _, service := range r.services {
		listed := false
		for _, m := range r.group.members {
			listed = listed || m.Service == service && m.State == policy.Ready
		}
		if !listed {
			return true
		}
	}
	return false
}

// hasDeniedPart reports whether the retry budget alone prevents a retry of one of the parts.
func (r *Request) hasDeniedPart() bool {
	for _, p := range r.parts {
		if p.isDenied(r.group.coordinator) {
			return true
		}
	}
	return false
}

// isDenied reports whether the part was dispatched without success and the retry budget alone prevents a retry.
func (p *part) isDenied(c *Coordinator) bool {
	route := p.request.Route
	left := len(p.dispatches) < max(1, route.Retries) && (route.Idempotent || !p.mayHaveRun())
	return p.reply == nil && len(p.dispatches) > 0 && left && !c.budget.Allows(c.now, p.service, p.request.Deadline)
}

// deadlineReached reports whether the deadline of a request has passed, or is so close that the request ends because of
// it.
func (c *Coordinator) deadlineReached(r *Request) bool { return c.now >= r.Deadline-4*granularity }

// refusalReason returns why a request was refused.
func (c *Coordinator) refusalReason(r *Request) Reason {
	tried := false
	for _, p := range r.parts {
		tried = tried || len(p.dispatches) > 0
	}
	switch {
	case r.lacksSearcher():
		return NoSearcher
	case tried && c.deadlineReached(r):
		return DeadlinePassed
	case r.hasDeniedPart():
		return BudgetExhausted
	case tried:
		return Rejected
	}
	return NotAdmitted
}

// failureReason returns why a request failed.
func (c *Coordinator) failureReason(r *Request, late bool) Reason {
	switch {
	case late:
		return DeadlinePassed
	case r.lacksSearcher():
		return NoSearcher
	case !r.Route.Idempotent && len(r.parts) > 0 && r.parts[0].mayHaveRun():
		return MayHaveRun
	}
	return NoAttemptLeft
}
