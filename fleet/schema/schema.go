package schema

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Lowest is the version that everybody understands who says nothing.
const Lowest = 1

// Range is the versions that somebody understands; the zero value is the lowest alone.
type Range struct {
	Low  int `json:"l,omitempty"`
	High int `json:"h,omitempty"`
}

func (r Range) low() int  { return max(r.Low, Lowest) }
func (r Range) high() int { return max(r.High, r.low()) }

// Has tells whether a version is understood.
func (r Range) Has(v int) bool { return v >= r.low() && v <= r.high() }

// Settings are what an instance is told at its start. All but Own must be the same for all.
type Settings struct {
	Own     Range
	Reserve int           // sound holders of each shard that must understand a version, so that a part may go elsewhere
	Hold    time.Duration // so long all must understand a version before the fleet is raised to it
	Rest    time.Duration // so long it is not raised after it was lowered
}

// Check says what no instance could work with.
func (s *Settings) Check() error {
	if s.Reserve < 1 || s.Hold < 0 || s.Rest < 0 {
		return fmt.Errorf("schema: reserve %d, hold %v, rest %v; 1 or more, none below 0", s.Reserve, s.Hold, s.Rest)
	}
	return nil
}

// Said is what each instance tells the others: which versions it understands, and which one it believes the fleet to speak.
type Said struct {
	Own     Range  `json:"own"`
	Epoch   uint64 `json:"epoch"`
	Version int    `json:"version"`
}

// newer tells which of two beliefs counts: the later epoch; of one epoch, in which two moved at once, the lower version, as
// that one is understood by whoever understands the other.
func (s Said) newer(o Said) bool {
	return cmp.Or(cmp.Compare(s.Epoch, o.Epoch), cmp.Compare(o.Version, s.Version)) > 0
}

// Searcher is what is known of one: its range as the list tells it, the shards it holds, and whether it can be sent anything.
type Searcher struct {
	Name   string
	Start  uint64 // differs at each start
	Range  Range
	Shards []int
	Sound  bool
}

// believed is what a searcher has shown of the range it claims.
type believed struct {
	start uint64
	wrong map[int]int // failures in a row, by version
}

const wrongMost = 3 // in a row: then a version is not understood, whatever the list says

// Core is one instance's.
type Core struct {
	set     Settings
	now     time.Duration
	epoch   uint64
	version int
	lowered time.Duration // when the fleet was last lowered, as far as known here; never below its start
	could   map[int]time.Duration
	found   map[string]*believed
	holders []Searcher
	others  map[string]Said
	strange bool // some are believed alive whose range is not known
}

// New makes one that speaks the lowest version that it understands, till it hears of more.
func New(set Settings, now time.Duration) (*Core, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	return &Core{set: set, now: now, version: set.Own.low(), lowered: now - set.Rest, could: map[int]time.Duration{},
		found: map[string]*believed{}, others: map[string]Said{}}, nil
}

// At sets the clock; it never goes back.
func (c *Core) At(now time.Duration) { c.now = max(c.now, now) }

// Say is what to tell the others.
func (c *Core) Say() Said { return Said{c.set.Own, c.epoch, c.version} }

// Version is what the fleet speaks, as this instance knows, and Epoch the number of the move that led there.
func (c *Core) Version() int  { return c.version }
func (c *Core) Epoch() uint64 { return c.epoch }

// Others takes what all others say whose words may be used, and how many more are believed to live: those may meet the same
// clients, and nobody knows what they understand. What they say of the fleet's version is taken over; a later epoch that
// this one does not understand it lowers at once.
func (c *Core) Others(said map[string]Said, strange int) {
	c.others, c.strange = maps.Clone(said), strange > 0
	for _, n := range slices.Sorted(maps.Keys(said)) {
		if s := said[n]; s.newer(c.Say()) {
			if s.Version < c.version {
				c.lowered = c.now
			}
			c.epoch, c.version = s.Epoch, s.Version
		}
	}
	c.look()
}

// Searchers takes the list.
func (c *Core) Searchers(list []Searcher) {
	c.holders = slices.Clone(list)
	names := map[string]bool{}
	for _, s := range list {
		names[s.Name] = true
		if b := c.found[s.Name]; b == nil || b.start != s.Start {
			c.found[s.Name] = &believed{s.Start, map[int]int{}} // what an earlier process showed says nothing of this one
		}
	}
	maps.DeleteFunc(c.found, func(n string, _ *believed) bool { return !names[n] })
	c.look()
}

// Answered tells how a searcher answered a part in a version. One that fails again and again in a version that it claims
// is not believed to understand it; one answer shows that it does.
func (c *Core) Answered(name string, v int, ok bool) {
	b := c.found[name]
	if b == nil || v <= Lowest {
		return
	}
	if ok {
		delete(b.wrong, v)
	} else if len(b.wrong) < 16 || b.wrong[v] > 0 {
		b.wrong[v]++
	}
	c.look()
}

// Understands tells whether a searcher is believed to understand a version.
func (c *Core) Understands(s *Searcher, v int) bool {
	b := c.found[s.Name]
	return s.Range.Has(v) && (b == nil || b.wrong[v] < wrongMost)
}

// enough tells whether every shard has its reserve in a version. One with fewer sound holders than the reserve needs all of
// them.
func (c *Core) enough(v int) bool {
	sound, understand := map[int]int{}, map[int]int{}
	for i := range c.holders {
		s := &c.holders[i]
		for _, shard := range s.Shards {
			if s.Sound {
				sound[shard]++
			}
			if s.Sound && c.Understands(s, v) {
				understand[shard]++
			}
		}
	}
	for shard, n := range sound {
		if understand[shard] < min(c.set.Reserve, n) {
			return false
		}
	}
	return true
}

// all tells whether this instance and all others that are heard understand a version.
func (c *Core) all(v int) bool {
	if !c.set.Own.Has(v) {
		return false
	}
	for _, s := range c.others {
		if !s.Own.Has(v) {
			return false
		}
	}
	return true
}

// look lowers the version at once where it is not understood by all any more, and notes since when others could be
// spoken. Whoever sees it may lower it: in a version that is not understood scans fail, or worse.
func (c *Core) look() {
	if !c.all(c.version) || !c.enough(c.version) {
		if v, ok := c.below(); ok {
			c.epoch, c.version, c.lowered = c.epoch+1, v, c.now
		}
	}
	for v := c.version + 1; v <= c.set.Own.high(); v++ {
		if !c.all(v) || !c.enough(v) {
			delete(c.could, v)
		} else if _, ok := c.could[v]; !ok {
			c.could[v] = c.now
		}
	}
	maps.DeleteFunc(c.could, func(v int, _ time.Duration) bool { return v <= c.version })
}

// below is the highest lower version that all understand and that has its reserve; else the highest that all understand,
// as with no reserve at all scans are refused one by one.
func (c *Core) below() (int, bool) {
	best, ok := 0, false
	for v := c.version - 1; v >= c.set.Own.low(); v-- {
		if !c.all(v) {
			continue
		}
		if c.enough(v) {
			return v, true
		}
		if !ok {
			best, ok = v, true
		}
	}
	return best, ok && !c.all(c.version)
}

// Raise moves the fleet on, if this instance may (fleet/view's Raise, which takes a settled majority), every other is heard
// and understands, every shard has its reserve, and both have held; and not soon after a lowering.
func (c *Core) Raise(may bool) bool {
	if !may || c.strange || c.now-c.lowered < c.set.Rest {
		return false
	}
	best := 0
	for v, since := range c.could {
		if c.now-since >= c.set.Hold {
			best = max(best, v)
		}
	}
	if best == 0 {
		return false
	}
	c.epoch, c.version = c.epoch+1, best
	c.look()
	return true
}

// Choose is the version of a new scan: the highest of what the fleet speaks that its client understands. A scan that its
// client sends again inside its window keeps the version of its first try (pinned, 0 for none). False: it is refused at
// once, to come again, as nobody here may speak what the client needs.
func (c *Core) Choose(client Range, pinned int) (v int, ok bool) {
	if pinned > 0 {
		return pinned, c.set.Own.Has(pinned) && client.Has(pinned)
	}
	v = min(c.version, client.high())
	return v, client.Has(v) && c.set.Own.Has(v)
}

// May tells whether a part of a scan in a version may be sent to a searcher. All parts of a scan, both steps, and every
// further dispatch ask with the scan's one version.
func (c *Core) May(name string, v int) bool {
	i := slices.IndexFunc(c.holders, func(s Searcher) bool { return s.Name == name })
	return i >= 0 && c.holders[i].Sound && c.Understands(&c.holders[i], v)
}

// Reaches tells whether each of some shards has a sound holder that understands a version; else a scan of them is refused
// at once, never sent in a version that could be misread.
func (c *Core) Reaches(shards []int, v int) bool {
	return !slices.ContainsFunc(shards, func(shard int) bool {
		return !slices.ContainsFunc(c.holders, func(s Searcher) bool {
			return s.Sound && slices.Contains(s.Shards, shard) && c.Understands(&s, v)
		})
	})
}
