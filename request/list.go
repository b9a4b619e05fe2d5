package request

import (
	"maps"
	"slices"
	"time"

	"peathollow/policy"
)

// SetSearchers replaces the list of known searchers. Searchers that are missing from it are removed.
func (c *Coordinator) SetSearchers(searchers []Searcher) {
	seen := make(map[string]bool, len(searchers))
	var changed []*Searcher
	for i := range searchers {
		searcher := searchers[i]
		seen[searcher.ID] = true
		if c.isMisdirected(&searcher) {
			searcher.State = policy.Gone
		}
		if previous := c.searchers[searcher.ID]; previous == nil {
			c.searchers[searcher.ID] = &searcher
			changed = append(changed, &searcher)
		} else if *previous != searcher {
			if searcher.Silent && !previous.Silent {
				c.suspects.add(c.now, searcher.ID)
			}
			*previous = searcher
			changed = append(changed, previous)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.searchers)) {
		if searcher := c.searchers[id]; !seen[id] {
			searcher.State = policy.Gone
			changed = append(changed, searcher)
			delete(c.searchers, id)
		}
	}
	c.countAddresses()
	maps.DeleteFunc(c.misdirected, func(id string, _ misdirection) bool { return !seen[id] })
	if len(changed) > 0 {
		c.updateGroups(changed)
	}
}

// misdirection records that a searcher's address turned out to belong to another searcher.
type misdirection struct {
	calls uint64        // call count of the searcher's last report at that time
	until time.Duration // expiry, so that a wrong response from its address does not remove a searcher for good
}

// misdirectedFor is how long a misdirected searcher is treated as removed if no newer report of it arrives.
const misdirectedFor = 30 * time.Second

// isMisdirected reports whether a searcher is still treated as misdirected, and deletes an outdated record.
func (c *Coordinator) isMisdirected(searcher *Searcher) bool {
	m, known := c.misdirected[searcher.ID]
	if known && searcher.Calls <= m.calls && c.now < m.until {
		return true
	}
	delete(c.misdirected, searcher.ID)
	return false
}

// ReportMisdirected handles a response that states that the searcher's address belongs to another searcher; read
// reports whether that one has read a dispatch. No more dispatches are sent to the searcher until a newer report of it
// arrives or misdirectedFor has passed.
func (c *Coordinator) ReportMisdirected(searcher *Searcher, read bool) {
	c.budget.AttemptMisdirected(c.now, searcher.Service)
	if read {
		c.budget.Misrouted(c.now)
	}
	c.suspects.add(c.now, searcher.ID)
	listed := c.searchers[searcher.ID]
	if listed == nil {
		return
	}
	c.misdirected[searcher.ID] = misdirection{calls: listed.Calls, until: c.now + misdirectedFor}
	if listed.State != policy.Gone {
		listed.State = policy.Gone
		c.updateGroups([]*Searcher{listed})
	}
}

// updateGroups passes changed searchers to the engines of the groups that contain them.
func (c *Coordinator) updateGroups(changed []*Searcher) {
	for _, key := range slices.Sorted(maps.Keys(c.groups)) {
		g := c.groups[key]
		var updated []*member
		for _, searcher := range changed {
			if m := g.addMember(searcher); m != nil {
				updated = append(updated, m)
			}
		}
		if len(updated) == 0 {
			continue
		}
		g.engine.Advance(c.now)
		g.engine.ListBegin(policy.Changes)
		for _, m := range updated {
			g.sendListEntry(m)
		}
		g.engine.ListEnd(policy.Changes)
		for _, m := range updated {
			g.releaseMember(m)
		}
	}
}

// addMember assigns an index to a searcher of one of the group's services. It returns nil for other and removed
// searchers.
func (g *group) addMember(searcher *Searcher) *member {
	if m := g.members[searcher.ID]; m != nil {
		m.Searcher = searcher // it was removed and listed again while a dispatch was in flight to it
		return m
	}
	if searcher.State == policy.Gone || !slices.Contains(g.services, searcher.Service) {
		return nil
	}
	m := &member{Searcher: searcher}
	if n := len(g.freeIndexes); n > 0 {
		m.index = g.freeIndexes[n-1]
		g.freeIndexes = g.freeIndexes[:n-1]
		g.byIndex[m.index] = m
	} else {
		m.index = len(g.byIndex)
		g.byIndex = append(g.byIndex, m)
	}
	g.members[searcher.ID] = m
	return m
}

// sendListEntry passes the state and distance of a searcher to the engine. It ignores nil.
func (g *group) sendListEntry(m *member) {
	if m != nil {
		g.engine.ListEntry(m.index, m.State, 1, policy.LongAgo, slices.Index(g.services, m.Service))
		g.engine.SetDistance(m.index, m.Distance)
	}
}

// releaseMember frees the index of a removed searcher once no dispatch is in flight to it.
func (g *group) releaseMember(m *member) {
	if m.State != policy.Gone || m.inFlight > 0 || m.released {
		return
	}
	m.released = true
	delete(g.members, m.ID)
	g.byIndex[m.index] = nil
	g.engine.Forget(m.index)
	g.freeIndexes = append(g.freeIndexes, m.index)
}
