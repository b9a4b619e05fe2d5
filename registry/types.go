package registry

import (
	"cmp"
	"maps"
	"strings"
	"time"
)

// State is what a searcher says of itself.
type State uint8

// The states rise: at the same call count the higher one holds.
const (
	Ready State = iota
	Draining
	Gone
)

func (s State) String() string {
	return [...]string{"ready", "draining", "gone"}[min(s, Gone)]
}

// Searcher is what a beat tells.
type Searcher struct {
	ID, Plant, Address, Zone, ConfigVersion string

	Capacity   int
	State      State
	WarmupLeft time.Duration
	// Calls rises with each call of the searcher, so that a late one shows.
	Calls uint64
}

// Entry is one piece of news: the state of a searcher as one source told it. Source and No name
// it for good: no source ever tells two entries under one number.
type Entry struct {
	Searcher
	Source string
	No     uint64
	// Silent says that the source stopped hearing the searcher. It stays listed, to be tried
	// last: a stale entry costs a try, a missing one costs the service.
	Silent bool
	// Age is how long ago the entry was told, given where it matters (Silent, Gone, warming up),
	// so that all registries forget it at about the same time without one clock.
	Age time.Duration
}

// compare is the merge order of two entries of one id. It is total over entries that were ever
// told, which makes joining commutative, associative and idempotent.
func compare(a, b *Entry) int {
	if g := (a.State == Gone); g != (b.State == Gone) {
		if g {
			return 1
		}
		return -1
	}
	c := cmp.Or(cmp.Compare(a.Calls, b.Calls), cmp.Compare(a.State, b.State))
	if c == 0 && a.Silent != b.Silent {
		// A mark of silence is set on the last call heard, so it must beat the entry of that
		// very call; any later call beats the mark.
		if a.Silent {
			return 1
		}
		return -1
	}
	return cmp.Or(c, strings.Compare(a.Source, b.Source), cmp.Compare(a.No, b.No))
}

// alike tells whether a reader of the list would see the same in both. Warm-up is left out: it
// runs down by itself.
func alike(a, b *Entry) bool {
	return a.Plant == b.Plant && a.Address == b.Address && a.Zone == b.Zone && a.ConfigVersion == b.ConfigVersion &&
		a.Capacity == b.Capacity && a.State == b.State && a.Silent == b.Silent
}

// Vector holds for each source the number up to which its news is held.
type Vector map[string]uint64

// Covers tells whether v is at least o in each component of o.
func (v Vector) Covers(o Vector) bool {
	for s, n := range o {
		if v[s] < n {
			return false
		}
	}
	return true
}

// Clone returns a copy.
func (v Vector) Clone() Vector { return maps.Clone(v) }

// Want asks a peer for what the asker lacks.
type Want struct {
	Name string // the asker's name, of this life
	Have Vector
	// By and Cursor say how far the asker read the peer's log: what came before is not sent
	// again. They hold only within one life of the peer; after that, Have spares what is held.
	By     string
	Cursor uint64
}

// Delta answers a Want: a stretch of the sender's log, without what the asker has.
//
// A part (More) claims nothing but its stretch. Only the last part carries Upto: an entry may be
// missing in a part because another source's entry, which is still to come, took its place.
type Delta struct {
	For, By     string
	Start, Next uint64 // the stretch of By's log
	Entries     []Entry
	Upto        Vector                   // components that rise above Have; last part only
	Idle        map[string]time.Duration // of sources in Upto that have no entries left
	More        bool
	Whole       bool // the sender's list may be taken for the whole
}

// Empty tells that the delta has nothing to say, so that a long poll may go on waiting.
func (d *Delta) Empty() bool { return len(d.Entries) == 0 && len(d.Upto) == 0 && !d.More }

// Beaten says what a beat came to.
type Beaten struct {
	News    bool // it was published under a new number
	Late    bool // it is older than what is held, or a copy
	Gone    bool // the id has left and never comes back
	Refused bool // no room, or this registry is no source
	// State is that of the entry now held for the id; Ready after a refusal.
	State State
	// Source and No name the entry now held for the id: a peer whose vector covers them has it.
	Source string
	No     uint64
}

// Vector is what a peer must hold to know the entry.
func (b Beaten) Vector() Vector {
	if b.Source == "" {
		return nil
	}
	return Vector{b.Source: b.No}
}
