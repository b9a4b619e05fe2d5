package consensus

import (
	"fmt"
	"slices"
)

func union(a, b []ID) []ID {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}

// countPlaces counts the machines that the tolerance covers, their zones and their regions among the given members. If the
// tolerance covers no member at all, every member counts.
func countPlaces(members []Member, ids []ID) (machines, zones, regions int) {
	noneCounts := !slices.ContainsFunc(members, func(m Member) bool { return m.Counts })
	zoneSet, regionSet := map[string]bool{}, map[string]bool{}
	for _, m := range members {
		if !slices.Contains(ids, m.ID) || !m.Counts && !noneCounts {
			continue
		}
		machines++
		zoneSet[m.Zone], regionSet[m.Region] = true, true
	}
	delete(zoneSet, "") // not reported yet
	delete(regionSet, "")
	return machines, len(zoneSet), len(regionSet)
}

// meetsTolerance reports whether copies on these members survive any tolerated loss.
func (n *Node) meetsTolerance(members []Member, ids []ID) bool {
	machines, zones, regions := countPlaces(members, ids)
	return machines > n.config.Losses && (n.config.Zones == 0 || zones > n.config.Zones) &&
		(n.config.Regions == 0 || regions > n.config.Regions)
}

// survivesLoss reports whether a majority of these members remains after any tolerated loss. Without a majority the copies
// would still exist, but no node could determine which of them are the latest.
func (n *Node) survivesLoss(ms []Member) bool { return n.keepsMajority(ms, ms) }

// keepsMajority is survivesLoss for the case that only some of the members are available now.
func (n *Node) keepsMajority(ms, available []Member) bool {
	needed := len(ms)/2 + 1
	machines, _, _ := countPlaces(ms, memberIDs(available))
	return machines-n.config.Losses >= needed &&
		len(available)-largestPlaces(available, n.config.Zones, func(m Member) string { return m.Zone }) >= needed &&
		len(available)-largestPlaces(available, n.config.Regions, func(m Member) string { return m.Region }) >= needed
}

// largestPlaces counts the members in the k largest places.
func largestPlaces(ms []Member, k int, place func(Member) string) int {
	count := map[string]int{}
	for _, m := range ms {
		count[place(m)]++
	}
	var sizes []int
	for _, c := range count {
		sizes = append(sizes, c)
	}
	slices.Sort(sizes)
	slices.Reverse(sizes)
	sum := 0
	for _, c := range sizes[:min(k, len(sizes))] {
		sum += c
	}
	return sum
}

// canAcknowledge reports whether anything committed now would survive the losses that the tolerance names.
func (n *Node) canAcknowledge() bool {
	if n.faults.dropBelow {
		return true
	}
	return n.meetsTolerance(n.known.Members, n.known.InSync) && n.survivesLoss(n.known.Members) && n.survivesLoss(n.known.Prev)
}

// BlockedReason explains in one line why nothing can be acknowledged at present. It is empty if changes can be acknowledged
// or this node is not the primary.
func (n *Node) BlockedReason() string {
	if n.primary == nil || n.canAcknowledge() {
		return ""
	}
	machines, zones, regions := countPlaces(n.known.Members, n.known.InSync)
	return fmt.Sprintf("no change is acknowledged: tolerance of %d machines, %d zones, %d regions; in sync are %d machines "+
		"in %d zones and %d regions, of %d members", n.config.Losses, n.config.Zones, n.config.Regions, machines, zones, regions,
		len(n.known.Members))
}

// chooseInSync keeps the healthy in-sync members, adds recruits up to one more than required and drops the rest. If that
// would leave too few copies, all current members stay until recruits have joined.
func (n *Node) chooseInSync(members []Member) []ID {
	chosen := []ID{n.id}
	for _, id := range n.known.InSync {
		if id != n.id && memberIndex(members, id) >= 0 && n.healthy(id) {
			chosen = append(chosen, id)
		}
	}
	for {
		id, ok := n.recruit(members, chosen)
		if !ok {
			break
		}
		chosen = append(chosen, id)
	}
	slices.Sort(chosen)
	if n.meetsTolerance(members, chosen) || n.faults.dropBelow {
		return chosen
	}
	return union(n.known.InSync, chosen)
}

// recruit picks the next member to add to the in-sync set: first one in a missing region or zone, then any other.
func (n *Node) recruit(members []Member, chosen []ID) (ID, bool) {
	machines, zones, regions := countPlaces(members, chosen)
	if machines > n.config.Losses+1 && n.meetsTolerance(members, chosen) {
		return "", false
	}
	best, bestGain := ID(""), 0
	for _, m := range members {
		if slices.Contains(chosen, m.ID) || !n.recruitable(m.ID) {
			continue
		}
		newMachines, newZones, newRegions := countPlaces(members, append(slices.Clone(chosen), m.ID))
		gain := newMachines - machines + 4*(newZones-zones) + 8*(newRegions-regions)
		if gain > bestGain {
			best, bestGain = m.ID, gain
		}
	}
	return best, bestGain > 0
}

// healthy reports whether an in-sync backup replies and keeps up.
func (n *Node) healthy(id ID) bool {
	p := n.primary.peers[id]
	return p != nil && n.now-p.lastHeard < dropTimeout && !p.stalled && !p.leaving &&
		(p.behindSince == never || n.now-p.behindSince < dropTimeout)
}

// recruitable reports whether a member could join the in-sync set: it is available and holds everything committed. Until
// the copy that this primary started with is committed, the member must hold that copy, because no other node may know
// what a former primary committed.
func (n *Node) recruitable(id ID) bool {
	base := n.copy.Stamp
	if n.primary.ready {
		base = n.committed.Stamp
	}
	p := n.primary.peers[id]
	return p != nil && n.now-p.lastHeard < 2*dropTimeout/3 && n.healthy(id) && (n.holds(id, base) || n.faults.recruitEarly)
}
