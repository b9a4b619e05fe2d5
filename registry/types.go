package registry

import (
	"cmp"
	"maps"
	"strings"
	"time"
)

// State is the state that a searcher reports of itself.
type State uint8

// The order matters: at the same call count the higher state wins.
const (
	Ready State = iota
	Draining
	Gone
)

// String returns the lower-case name of the state.
func (s State) String() string {
	return [...]string{"ready", "draining", "gone"}[min(s, Gone)]
}

// Searcher is the content of a searcher's heartbeat.
type Searcher struct {
	ID, Plant, Address, Zone, ConfigVersion string

	Capacity   int
	State      State
	WarmupLeft time.Duration
	// Calls rises with each call of the searcher, so that a late heartbeat is recognized.
	Calls uint64
}

// Entry is one update: the state of a searcher as one source published it. Source and No identify
// it for good: no source ever publishes two entries under one number.
type Entry struct {
	Searcher
	Source string
	No     uint64
	// Silent says that the source no longer receives heartbeats of the searcher. It stays listed, to
	// be tried last: a stale entry costs an attempt, a missing one costs the service.
	Silent bool
	// Age is how long ago the entry was published. It is set where it matters (Silent, Gone, warming
	// up), so that all registries forget it at about the same time without a common clock.
	Age time.Duration
}

// compare is the merge order of two entries of one id. It is total over published entries, which
// makes joining commutative, associative and idempotent.
func compare(a, b *Entry) int {
	if g := (a.State == Gone); g != (b.State == Gone) {
		if g {
			return 1
		}
		return -1
	}
	c := cmp.Or(cmp.Compare(a.Calls, b.Calls), cmp.Compare(a.State, b.State))
	if c == 0 && a.Silent != b.Silent {
		// A silence mark is set on the last call received, so it must win over the entry of that
		// very call; any later call wins over the mark.
		if a.Silent {
			return 1
		}
		return -1
	}
	return cmp.Or(c, strings.Compare(a.Source, b.Source), cmp.Compare(a.No, b.No))
}

// sameListing reports whether a reader of the list would see the same in both. The warm-up is left
// out: it runs down by itself.
func sameListing(a, b *Entry) bool {
	return a.Plant == b.Plant && a.Address == b.Address && a.Zone == b.Zone && a.ConfigVersion == b.ConfigVersion &&
		a.Capacity == b.Capacity && a.State == b.State && a.Silent == b.Silent
}

// Vector is a version vector: for each source the number up to which its entries are held.
type Vector map[string]uint64

// Covers reports whether v is at least o in each component of o.
func (v Vector) Covers(o Vector) bool {
	for s, n := range o {
		if v[s] < n {
			return false
		}
	}
	return true
}

// Clone returns a copy of v.
func (v Vector) Clone() Vector { return maps.Clone(v) }

// PullQuery asks a peer for the entries that the requester lacks.
type PullQuery struct {
	Name string // the requester's name, of this incarnation
	Have Vector
	// By and Cursor say how far the requester has read the peer's log: what stands before the cursor
	// is not sent again. They hold only within one incarnation of the peer; after that, Have keeps
	// the peer from sending what is already held.
	By     string
	Cursor uint64
}

// Delta answers a PullQuery: a section of the sender's log, without the entries that the requester has.
//
// A partial delta (More) makes no claim beyond its section. Only the last one carries Upto: an entry
// may be missing in a partial one because another source's entry, which is still to come, replaced it.
type Delta struct {
	For, By     string
	Start, Next uint64 // the section of By's log
	Entries     []Entry
	Upto        Vector                   // components that rise above Have; only in the last delta
	Idle        map[string]time.Duration // of sources in Upto that have no entries left
	More        bool
	Whole       bool // the sender's list is complete
}

// Empty reports whether the delta carries no updates, so that a long poll may go on waiting.
func (d *Delta) Empty() bool { return len(d.Entries) == 0 && len(d.Upto) == 0 && !d.More }

// HeartbeatResult is the result of a heartbeat.
type HeartbeatResult struct {
	Published bool // it was published under a new number
	Late      bool // it is older than what is held, or a duplicate
	Gone      bool // the id has left and never comes back
	Refused   bool // the registry is full, or is a relay
	// State is that of the entry now held for the id; Ready after a refusal.
	State State
	// Source and No identify the entry now held for the id: a peer whose vector covers them has it.
	Source string
	No     uint64
}

// Vector returns the vector that a peer must cover to know the entry.
func (b HeartbeatResult) Vector() Vector {
	if b.Source == "" {
		return nil
	}
	return Vector{b.Source: b.No}
}
