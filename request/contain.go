package request

import (
	"slices"

	"peathollow/policy"
)

// Contain limits the effect of a panic in this Coordinator to the group whose engine was running. The group's requests
// fail as if they may have run, the returned actions cancel its dispatches, and the next request for its services
// creates a new group. Contain returns false if no engine was running: then no state can be relied on, and the caller
// has to use Abandon.
func (c *Coordinator) Contain() (actions []Action, contained bool) {
	g := c.deciding
	if g == nil || c.abandoned {
		return nil, false
	}
	c.deciding = nil
	g.failed = true
	if c.groups[g.key] == g {
		delete(c.groups, g.key)
	}
	actions = c.abandonParts(func(p *part) bool { return p.request.group == g })
	c.actions = slices.DeleteFunc(c.actions, func(a Action) bool { return a.Dispatch.Request.group == g && !a.Cancel })
	c.abandonRequests(func(r *Request) bool { return r.group == g })
	return actions, true
}

// Abandon fails all requests as if they may have run and returns the actions that cancel their dispatches. The
// Coordinator accepts no events afterwards: after a fault outside the engines its state cannot be relied on.
func (c *Coordinator) Abandon() (actions []Action) {
	c.abandoned = true
	actions = c.abandonParts(func(*part) bool { return true })
	c.abandonRequests(func(*Request) bool { return true })
	c.requests, c.parts, c.timers = nil, nil, timers{}
	return actions
}

// abandonParts deletes the affected parts and returns the actions that cancel their dispatches in flight.
func (c *Coordinator) abandonParts(affected func(*part) bool) (actions []Action) {
	for id, p := range c.parts {
		if !affected(p) {
			continue
		}
		for _, d := range p.dispatches {
			if !d.inFlight {
				continue
			}
			d.inFlight, d.outcome, d.elapsed = false, policy.Cancelled, c.now-d.sentAt
			c.recordReadStatus(d, MaybeRead)
			if d.Data != nil {
				actions = append(actions, Action{Dispatch: d, Cancel: true})
			}
		}
		delete(c.parts, id)
	}
	return actions
}

// abandonRequests fails the affected requests.
func (c *Coordinator) abandonRequests(affected func(*Request) bool) {
	for id, r := range c.requests {
		if !affected(r) {
			continue
		}
		delete(c.requests, id)
		if !r.ended {
			r.ended = true
			c.Counts.Failed++
			r.Done(Final{Kind: Failed, Reason: InternalFault, Attempts: c.attempts(r)})
		}
	}
}
