package request

import (
	"peathollow/policy"
)

// neverRan tells of the outcomes after which the searcher has surely not run the part and never will.
func neverRan(out policy.Outcome) bool {
	return out == policy.Overloaded || out == policy.Unreachable || out == policy.Expired
}

// mayHaveRun tells whether a searcher may have run the part, or may still.
func (p *part) mayHaveRun() bool {
	for _, d := range p.tries {
		if d.out || !neverRan(d.outcome) {
			return true
		}
	}
	return false
}

// tries lists what was sent for a request.
func (l *Life) tries(r *Request) (tries []Try) {
	for _, p := range r.parts {
		for _, d := range p.tries {
			t := Try{Searcher: d.Host.ID, Out: d.out, Outcome: d.outcome, Took: d.took}
			if d.out {
				t.Took = l.now - d.at
			}
			tries = append(tries, t)
		}
	}
	return tries
}

// unlisted tells whether a service that the request needs has no searcher that may be chosen.
func (r *Request) unlisted() bool {
	for _, service := range r.shards {
		listed := false
		for _, h := range r.group.hosts {
			listed = listed || h.Service == service && h.State == policy.Ready
		}
		if !listed {
			return true
		}
	}
	return false
}

// starved tells whether a part of it may have gone again but for the retry budget.
func (r *Request) starved() bool {
	for _, p := range r.parts {
		if p.isStarved(r.group.l) {
			return true
		}
	}
	return false
}

// isStarved tells whether the part has no answer and may have gone again but for the retry budget.
func (p *part) isStarved(l *Life) bool {
	route := p.req.Route
	left := len(p.tries) < max(1, route.Retries) && (route.Idempotent || !p.mayHaveRun())
	return p.reply == nil && len(p.tries) > 0 && left && !l.book.Allows(l.now, p.service, p.req.Until)
}

// isOver tells whether the time of a request is over, or so nearly that it ends for that.
func (l *Life) isOver(r *Request) bool { return l.now >= r.Until-4*granularity }

// refusal says why a request was refused.
func (l *Life) refusal(r *Request) Reason {
	tried := false
	for _, p := range r.parts {
		tried = tried || len(p.tries) > 0
	}
	switch {
	case r.unlisted():
		return NoSearcher
	case tried && l.isOver(r):
		return TimeOver
	case r.starved():
		return BudgetSpent
	case tried:
		return TurnedAway
	}
	return NotAdmitted
}

// failure says why a request failed.
func (l *Life) failure(r *Request, late bool) Reason {
	switch {
	case late:
		return TimeOver
	case r.unlisted():
		return NoSearcher
	case !r.Route.Idempotent && len(r.parts) > 0 && r.parts[0].mayHaveRun():
		return MayHaveRun
	}
	return NoTryLeft
}
