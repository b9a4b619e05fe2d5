package request

import (
	"fmt"

	"peathollow/policy"
)

// Check verifies the consistency of the whole state and returns the first violation found, or nil. Its cost is
// proportional to the size of the state.
func (c *Coordinator) Check() error {
	inFlight := map[*group]int{}
	for id, r := range c.requests {
		if r.id != id || r.ended {
			return fmt.Errorf("request %d is recorded as %d, ended: %v", r.id, id, r.ended)
		}
		if len(r.parts) != len(r.services) || len(r.services) == 0 {
			return fmt.Errorf("request %d has %d parts of %d services", id, len(r.parts), len(r.services))
		}
		for i, p := range r.parts {
			if c.parts[p.id] != p || p.service != r.services[i] {
				return fmt.Errorf("request %d: part %d of %s is not recorded", id, p.id, p.service)
			}
		}
		inFlight[r.group]++
	}
	outstanding := map[*member]int{}
	for id, p := range c.parts {
		if err := p.check(id); err != nil {
			return err
		}
		for _, d := range p.dispatches {
			if d.inFlight {
				outstanding[d.member]++
			}
		}
	}
	for _, g := range c.groups {
		if g.inFlight != inFlight[g] {
			return fmt.Errorf("group %q counts %d requests in flight, there are %d", g.services, g.inFlight, inFlight[g])
		}
		if err := c.checkMembers(g, outstanding); err != nil {
			return fmt.Errorf("group %q: %w", g.services, err)
		}
	}
	return nil
}

func (p *part) check(id uint64) error {
	inFlight := 0
	for i, d := range p.dispatches {
		if d.part != p || d.attempt != i || d.Request != p.request || d.Searcher.Service != p.service {
			return fmt.Errorf("part %d: dispatch %d belongs to another part", id, i)
		}
		if d.inFlight {
			inFlight++
		}
	}
	switch {
	case p.id != id:
		return fmt.Errorf("part %d is recorded as %d", p.id, id)
	case p.request.ended && inFlight == 0:
		return fmt.Errorf("part %d is kept but has ended and has no dispatch in flight", id)
	case !p.request.Route.Idempotent && inFlight > 1:
		return fmt.Errorf("part %d may run only once and has %d dispatches in flight", id, inFlight)
	case len(p.dispatches) > max(1, p.request.Route.Retries):
		return fmt.Errorf("part %d was dispatched %d times, allowed are %d", id, len(p.dispatches), p.request.Route.Retries)
	}
	return nil
}

// checkMembers verifies a group's indexes, and that the group contains every listed searcher of its services.
func (c *Coordinator) checkMembers(g *group, outstanding map[*member]int) error {
	occupied := 0
	for i, m := range g.byIndex {
		if m == nil {
			continue
		}
		occupied++
		if m.index != i || g.members[m.ID] != m || m.released {
			return fmt.Errorf("searcher %s has the wrong index or is not recorded at %d", m.ID, i)
		}
		if m.inFlight != outstanding[m] {
			return fmt.Errorf("searcher %s counts %d dispatches in flight, there are %d", m.ID, m.inFlight, outstanding[m])
		}
		if m.State == policy.Gone && m.inFlight == 0 {
			return fmt.Errorf("searcher %s is removed but keeps its index", m.ID)
		}
	}
	if occupied != len(g.members) || occupied+len(g.freeIndexes) != len(g.byIndex) {
		return fmt.Errorf("%d indexes, %d used by %d searchers, %d free", len(g.byIndex), occupied, len(g.members), len(g.freeIndexes))
	}
	for id, searcher := range c.searchers {
		for _, service := range g.services {
			if m := g.members[id]; service == searcher.Service && searcher.State != policy.Gone && (m == nil || m.Searcher != searcher) {
				return fmt.Errorf("searcher %s is listed as %v but the group does not have it", id, searcher.State)
			}
		}
	}
	return nil
}
