package request

import (
	"fmt"

	"peathollow/policy"
)

// Check returns what is wrong with the book, or nil. It costs a walk over everything.
func (l *Life) Check() error {
	busy := map[*group]int{}
	for id, r := range l.reqs {
		if r.id != id || r.ended {
			return fmt.Errorf("request %d is in hand as %d, ended: %v", r.id, id, r.ended)
		}
		if len(r.parts) != len(r.shards) || len(r.shards) == 0 {
			return fmt.Errorf("request %d has %d parts of %d services", id, len(r.parts), len(r.shards))
		}
		for i, p := range r.parts {
			if l.parts[p.id] != p || p.service != r.shards[i] {
				return fmt.Errorf("request %d: part %d of %s is not in the book", id, p.id, p.service)
			}
		}
		busy[r.group]++
	}
	out := map[*host]int{}
	for id, p := range l.parts {
		if err := p.check(id); err != nil {
			return err
		}
		for _, d := range p.tries {
			if d.out {
				out[d.host]++
			}
		}
	}
	for key, g := range l.groups {
		if g.busy != busy[g] {
			return fmt.Errorf("group %s counts %d in hand, there are %d", key, g.busy, busy[g])
		}
		if err := l.checkHosts(g, out); err != nil {
			return fmt.Errorf("group %s: %w", key, err)
		}
	}
	return nil
}

func (p *part) check(id uint64) error {
	open := 0
	for i, d := range p.tries {
		if d.part != p || d.no != i || d.Request != p.req || d.Host.Service != p.service {
			return fmt.Errorf("part %d: dispatch %d belongs elsewhere", id, i)
		}
		if d.out {
			open++
		}
	}
	switch {
	case p.id != id:
		return fmt.Errorf("part %d is kept as %d", p.id, id)
	case p.req.ended && open == 0:
		return fmt.Errorf("part %d is kept though nothing comes for it", id)
	case !p.req.Route.Idempotent && open > 1:
		return fmt.Errorf("part %d may run once and is out %d times", id, open)
	case len(p.tries) > max(1, p.req.Route.Retries):
		return fmt.Errorf("part %d went out %d times of %d", id, len(p.tries), p.req.Route.Retries)
	}
	return nil
}

// checkHosts looks at a group's places, and whether it knows every searcher of its services as the list does.
func (l *Life) checkHosts(g *group, out map[*host]int) error {
	placed := 0
	for i, h := range g.byIndex {
		if h == nil {
			continue
		}
		placed++
		if h.index != i || g.hosts[h.ID] != h || h.gone {
			return fmt.Errorf("searcher %s at place %d", h.ID, i)
		}
		if h.out != out[h] {
			return fmt.Errorf("searcher %s counts %d out, there are %d", h.ID, h.out, out[h])
		}
		if h.State == policy.Gone && h.out == 0 {
			return fmt.Errorf("searcher %s is gone and keeps its place", h.ID)
		}
	}
	if placed != len(g.hosts) || placed+len(g.free) != len(g.byIndex) {
		return fmt.Errorf("%d places, %d taken by %d searchers, %d free", len(g.byIndex), placed, len(g.hosts), len(g.free))
	}
	for id, h := range l.hosts {
		for _, s := range g.cells {
			if k := g.hosts[id]; s == h.Service && h.State != policy.Gone && (k == nil || k.Host != h) {
				return fmt.Errorf("searcher %s is listed as %v and not known so", id, h.State)
			}
		}
	}
	return nil
}
