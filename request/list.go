package request

import (
	"maps"
	"slices"
	"time"

	"peathollow/policy"
)

// List tells of all searchers that are known; those told before and not now are gone.
func (l *Life) List(hosts []Host) {
	seen := make(map[string]bool, len(hosts))
	var changed []*Host
	for i := range hosts {
		h := hosts[i]
		seen[h.ID] = true
		if l.isAstray(&h) {
			h.State = policy.Gone
		}
		if was := l.hosts[h.ID]; was == nil {
			l.hosts[h.ID] = &h
			changed = append(changed, &h)
		} else if *was != h {
			if h.Silent && !was.Silent {
				l.doubts.note(l.now, h.ID)
			}
			*was = h
			changed = append(changed, was)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(l.hosts)) {
		if h := l.hosts[id]; !seen[id] {
			h.State = policy.Gone
			changed = append(changed, h)
			delete(l.hosts, id)
		}
	}
	l.countAddresses()
	maps.DeleteFunc(l.astray, func(id string, _ misdirection) bool { return !seen[id] })
	if len(changed) > 0 {
		l.tell(changed)
	}
}

// misdirection is what is remembered of a searcher whose address turned out to be another's.
type misdirection struct {
	calls uint64        // of the searcher's reports, as known then
	until time.Duration // when that is forgotten: a wrong word of somebody at its address is not to take a searcher out for good
}

// astrayFor is how long a searcher is held to be gone whose address is another's, if no newer report of it is heard.
const astrayFor = 30 * time.Second

// isAstray tells whether a searcher's address is another's, as far as is known.
func (l *Life) isAstray(h *Host) bool {
	m, known := l.astray[h.ID]
	if known && h.Calls <= m.calls && l.now < m.until {
		return true
	}
	delete(l.astray, h.ID)
	return false
}

// Misdirected tells that a searcher's address is another's, by its own word, and whether that one has read a dispatch. The searcher gets
// nothing more until it is heard of again.
func (l *Life) Misdirected(h *Host, read bool) {
	l.book.AttemptMisdirected(l.now, h.Service)
	if read {
		l.book.Misrouted(l.now)
	}
	l.doubts.note(l.now, h.ID)
	listed := l.hosts[h.ID]
	if listed == nil {
		return
	}
	l.astray[h.ID] = misdirection{calls: listed.Calls, until: l.now + astrayFor}
	if listed.State != policy.Gone {
		listed.State = policy.Gone
		l.tell([]*Host{listed})
	}
}

func (l *Life) tell(changed []*Host) {
	for _, key := range slices.Sorted(maps.Keys(l.groups)) {
		g := l.groups[key]
		var of []*host
		for _, h := range changed {
			if k := g.note(h); k != nil {
				of = append(of, k)
			}
		}
		if len(of) == 0 {
			continue
		}
		g.m.Advance(l.now)
		g.m.ListBegin(policy.Changes)
		for _, k := range of {
			g.entry(k)
		}
		g.m.ListEnd(policy.Changes)
		for _, k := range of {
			g.release(k)
		}
	}
}

// note gives a searcher of one of the group's services its place; nil if it is none of them.
func (g *group) note(h *Host) *host {
	if k := g.hosts[h.ID]; k != nil {
		k.Host = h // one that vanished and is back while something was out there
		return k
	}
	if h.State == policy.Gone || !slices.Contains(g.cells, h.Service) {
		return nil
	}
	k := &host{Host: h}
	if n := len(g.free); n > 0 {
		k.index = g.free[n-1]
		g.free = g.free[:n-1]
		g.byIndex[k.index] = k
	} else {
		k.index = len(g.byIndex)
		g.byIndex = append(g.byIndex, k)
	}
	g.hosts[h.ID] = k
	return k
}

func (g *group) entry(k *host) {
	if k != nil {
		g.m.ListEntry(k.index, k.State, 1, policy.LongAgo, slices.Index(g.cells, k.Service))
		g.m.SetDistance(k.index, k.Far)
	}
}

// release gives back the place of a searcher that is gone once nothing is out there.
func (g *group) release(k *host) {
	if k.State != policy.Gone || k.out > 0 || k.gone {
		return
	}
	k.gone = true
	delete(g.hosts, k.ID)
	g.byIndex[k.index] = nil
	g.m.Forget(k.index)
	g.free = append(g.free, k.index)
}
