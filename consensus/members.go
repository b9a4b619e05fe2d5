package consensus

import (
	"slices"
	"time"
)

const (
	replaceTimeout = 3 * time.Second        // a member silent for this long is replaced by a node that wants to join
	removeTimeout  = 8 * time.Second        // a member silent for this long is removed if enough members remain
	urgentTimeout  = 700 * time.Millisecond // replaces both while one more loss within the tolerance would cost the majority
)

// tickJoin announces this node to all known addresses while it is not a member or receives no heartbeats from a primary.
func (n *Node) tickJoin() {
	member := memberIndex(n.known.Members, n.id) >= 0
	if n.primary != nil || n.now < n.nextJoinAt || member && n.now-n.primaryHeardAt < primaryTimeout {
		return
	}
	n.nextJoinAt = n.now + n.jitter(joinInterval, joinInterval/4)
	for _, addr := range n.joinAddresses() {
		n.send(Member{Addr: addr}, Message{Kind: Join, Knows: n.known.N, Member: n.self()})
	}
}

func (n *Node) joinAddresses() []string {
	out := slices.Clone(n.config.Seeds)
	for _, m := range n.known.allMembers() {
		out = append(out, m.Addr)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(a string) bool { return a == n.config.Addr })
}

func (n *Node) onJoin(m Message) {
	if e := n.newerEpoch(m.Knows); e != nil && n.primary == nil {
		n.reply(m, Message{Kind: Hint, Epoch: e})
	}
	if n.primary == nil || m.From == n.id {
		return
	}
	p := n.primary.peers[m.From]
	if p == nil {
		if len(n.primary.peers) >= maxPeers {
			return
		}
		p = &peer{Member: m.Member, lastHeard: never, behindSince: never, lastSent: never}
		n.primary.peers[m.From] = p
	}
	p.lastJoin, p.knownEpoch = n.now, m.Knows
	n.sendHeartbeat(p)
}

// desiredMembers returns the next set of members, one change away from the present one, or nil if no change is wanted.
func (n *Node) desiredMembers(ms []Member) []Member {
	if n.faults.keepLost {
		return nil
	}
	joiners := n.joinCandidates(ms)
	for _, j := range joiners {
		if i := slices.IndexFunc(ms, func(m Member) bool { return m.Addr == j.Addr }); i >= 0 {
			return replaceMember(ms, i, j) // this machine lost the disk that was a member
		}
	}
	urgent := !n.keepsMajority(ms, n.responsiveMembers(ms))
	silent := n.longestSilent(ms, chooseTimeout(urgent, urgentTimeout, replaceTimeout))
	for _, j := range joiners {
		if silent >= 0 {
			if changed := replaceMember(ms, silent, j); n.preservesTolerance(ms, changed) {
				return changed
			}
		}
		if larger := replaceMember(ms, len(ms), j); len(larger) <= maxMembers && n.mayAdd(ms, larger) {
			return larger
		}
	}
	if i := n.removable(ms, silent, chooseTimeout(urgent, urgentTimeout, removeTimeout)); i >= 0 {
		if smaller := slices.Delete(slices.Clone(ms), i, i+1); n.preservesTolerance(ms, smaller) {
			return smaller
		}
	}
	return nil
}

// preservesTolerance reports whether a change of members keeps the property that a majority survives any tolerated loss.
func (n *Node) preservesTolerance(ms, changed []Member) bool {
	return n.survivesLoss(changed) || !n.survivesLoss(ms)
}

func replaceMember(ms []Member, i int, j Member) []Member {
	out := slices.Clone(ms)
	if i < len(out) {
		out = slices.Delete(out, i, i+1)
	}
	out = append(out, j)
	slices.SortFunc(out, byID)
	return out
}

// joinCandidates returns the nodes that may become members. They must have replied to a heartbeat just now, since a Join
// alone may be a late message from a lost disk.
func (n *Node) joinCandidates(ms []Member) []Member {
	counts := slices.ContainsFunc(ms, func(m Member) bool { return m.Counts })
	var out []Member
	for _, id := range n.peerIDs() {
		p := n.primary.peers[id]
		if memberIndex(ms, id) < 0 && p.Addr != n.config.Addr && n.now-p.lastHeard < dropTimeout && !p.stalled &&
			(p.Counts || !counts) {
			out = append(out, p.Member)
		}
	}
	return out
}

// mayAdd reports whether a member may be added. The larger set must not lose the property that a majority survives any
// tolerated loss. While the members are still too few the property may be missing; later the addition is allowed only if
// the members do not become more concentrated in one place.
func (n *Node) mayAdd(ms, larger []Member) bool {
	switch {
	case n.survivesLoss(larger) || len(ms) < 2*n.config.Losses+1:
		return true
	case n.survivesLoss(ms):
		return false
	}
	return n.majorityMargin(larger) >= n.majorityMargin(ms)
}

// majorityMargin returns by how many members a majority survives the worst loss of zones or regions; it is negative if it
// does not survive.
func (n *Node) majorityMargin(ms []Member) int {
	zones := largestPlaces(ms, n.config.Zones, func(m Member) string { return m.Zone })
	regions := largestPlaces(ms, n.config.Regions, func(m Member) string { return m.Region })
	return len(ms) - max(zones, regions) - len(ms)/2 - 1
}

func (n *Node) silentFor(m Member) time.Duration {
	p := n.primary.peers[m.ID]
	if m.ID == n.id || p == nil {
		return 0
	}
	return n.now - p.lastHeard
}

func chooseTimeout(urgent bool, soon, late time.Duration) time.Duration {
	if urgent {
		return soon
	}
	return late
}

func (n *Node) responsiveMembers(ms []Member) []Member {
	return slices.DeleteFunc(slices.Clone(ms), func(m Member) bool { return n.silentFor(m) >= dropTimeout })
}

func (n *Node) longestSilent(ms []Member, after time.Duration) int {
	worst := -1
	for i, m := range ms {
		if s := n.silentFor(m); s > after && (worst < 0 || s > n.silentFor(ms[worst])) {
			worst = i
		}
	}
	return worst
}

// removable returns a member to remove without replacement: one that has been silent for long, or one that the tolerance
// does not cover. It returns -1 if there is none.
func (n *Node) removable(ms []Member, silent int, after time.Duration) int {
	if len(ms) <= max(3, 2*n.config.Losses+1) {
		return -1
	}
	if silent >= 0 {
		if n.silentFor(ms[silent]) > after {
			return silent
		}
		return -1
	}
	if !slices.ContainsFunc(ms, func(m Member) bool { return m.Counts }) {
		return -1
	}
	return slices.IndexFunc(ms, func(m Member) bool { return !m.Counts && m.ID != n.id })
}
