package failuredetector

import (
	"cmp"
	"net/netip"
	"slices"
	"sort"

	"github.com/zeebo/xxh3"
)

// WatchersPerNode is the number of watchers of a mixer, if there are that many other mixers.
const WatchersPerNode = 3

// Node is one incarnation of a mixer, as the list of mixers describes it.
type Node struct {
	Incarnation  string
	Addr         netip.AddrPort // where it receives heartbeats; a mixer without one is not on the ring
	Zone, Region string
	// Silent and Leaving nodes are known, but not on the ring.
	Silent, Leaving bool
}

// Key returns the position of an incarnation on the ring.
func Key(life string) uint64 { return xxh3.HashString(life) }

func (n *Node) onRing() bool { return !n.Silent && !n.Leaving && n.Addr.IsValid() }

// distance is 0 for a watcher in the mixer's zone, 1 in its region, 2 elsewhere.
func (n *Node) distance(w *Node) int {
	switch {
	case n.Zone == w.Zone:
		return 0
	case n.Region != "" && n.Region == w.Region:
		return 1
	}
	return 2
}

type position struct {
	key uint64
	Node
}

// Ring assigns watchers to each mixer. All processes that hold the same list assign the same ones.
type Ring struct {
	zones [][]position // each sorted by key
	size  int
}

// NewRing returns the ring of those nodes that belong on it.
func NewRing(nodes []Node) *Ring {
	r := &Ring{}
	byZone := map[string][]position{}
	for i := range nodes {
		if n := &nodes[i]; n.onRing() {
			byZone[n.Zone] = append(byZone[n.Zone], position{Key(n.Incarnation), *n})
			r.size++
		}
	}
	zones := make([]string, 0, len(byZone))
	for z := range byZone {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	for _, z := range zones {
		slices.SortFunc(byZone[z], func(a, b position) int {
			return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.Incarnation, b.Incarnation))
		})
		r.zones = append(r.zones, byZone[z])
	}
	return r
}

// Size returns the number of mixers on the ring.
func (r *Ring) Size() int { return r.size }

type candidate struct {
	*position
	distance int
	offset   uint64
}

// Watchers returns the watchers of a mixer, which need not be on the ring itself. The first is in another zone, as near as
// possible, so that an outside watcher misses a zone that is cut off; the others are as near as possible, since heartbeats
// between zones and regions cost money. Among equally near ones the next on the ring are taken, so that a mixer that joins or
// leaves changes the watchers of few others.
func (r *Ring) Watchers(n *Node) []Node {
	key := Key(n.Incarnation)
	var buf [8 * WatchersPerNode]candidate
	all := buf[:0]
	for _, zone := range r.zones {
		distance := n.distance(&zone[0].Node)
		from := sort.Search(len(zone), func(i int) bool { return zone[i].key > key })
		taken := 0
		for i := 0; i < len(zone) && taken < WatchersPerNode; i++ {
			if p := &zone[(from+i)%len(zone)]; p.Incarnation != n.Incarnation {
				all = append(all, candidate{p, distance, p.key - key})
				taken++
			}
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.offset, b.offset), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	if i := slices.IndexFunc(all, func(c candidate) bool { return c.distance > 0 }); i > 0 {
		other := all[i]
		copy(all[1:i+1], all[:i])
		all[0] = other
	}
	list := make([]Node, 0, WatchersPerNode)
	for _, c := range all[:min(len(all), WatchersPerNode)] {
		list = append(list, c.Node)
	}
	return list
}
