package request

import (
	"slices"

	"peathollow/policy"
)

// Contain ends what a fault has struck, after a panic out of this life: the requests on the set of services whose module was
// deciding, as if they may have run. Their dispatches are called off by what it gives, and the set's next request starts with
// a new module. It is false if the fault is none of one set's alone: then nothing here is to be relied on; see Abandon.
func (l *Life) Contain() (acts []Act, contained bool) {
	g := l.inside
	if g == nil || l.over {
		return nil, false
	}
	l.inside = nil
	g.over = true
	if l.groups[g.key] == g {
		delete(l.groups, g.key)
	}
	acts = l.abandonParts(func(p *part) bool { return p.req.group == g })
	l.acts = slices.DeleteFunc(l.acts, func(a Act) bool { return a.Dispatch.Request.group == g && !a.Cancel })
	l.abandonRequests(func(r *Request) bool { return r.group == g })
	return acts, true
}

// Abandon ends all that is in hand as if it may have run, calls off what is out, and takes nothing more: after a fault in
// here nothing that this life believes is to be relied on. It gives what is to be done.
func (l *Life) Abandon() (acts []Act) {
	l.over = true
	acts = l.abandonParts(func(*part) bool { return true })
	l.abandonRequests(func(*Request) bool { return true })
	l.reqs, l.parts, l.timers = nil, nil, timers{}
	return acts
}

// abandonParts forgets parts, and calls off what is out for them.
func (l *Life) abandonParts(struck func(*part) bool) (acts []Act) {
	for id, p := range l.parts {
		if !struck(p) {
			continue
		}
		for _, d := range p.tries {
			if !d.out {
				continue
			}
			d.out, d.outcome, d.took = false, policy.Cancelled, l.now-d.at
			l.noteReading(d, MayRead)
			if d.Call != nil {
				acts = append(acts, Act{Dispatch: d, Cancel: true})
			}
		}
		delete(l.parts, id)
	}
	return acts
}

// abandonRequests gives requests their last answer.
func (l *Life) abandonRequests(struck func(*Request) bool) {
	for id, r := range l.reqs {
		if !struck(r) {
			continue
		}
		delete(l.reqs, id)
		if !r.ended {
			r.ended = true
			l.Counts.Failed++
			r.Done(Final{Kind: Failed, Reason: ProcessFailed, Tries: l.tries(r)})
		}
	}
}
