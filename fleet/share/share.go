package share

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Settings are what a store is told at its start; all stores of a fleet need the same bounds.
type Settings struct {
	Me    string
	Inc   uint64 // this start's incarnation, higher than the one before
	Facts int    // entries held, at most; beyond it the last in the order of their keys go
	Tally int    // the same for counts
	Body  int    // bytes of one fact
}

// Check says what no store could work with.
func (s *Settings) Check() error {
	if s.Me == "" || s.Facts < 1 || s.Tally < 1 || s.Body < 0 || s.Body > bodyMost {
		return fmt.Errorf("share: a name, 1 or more facts and counts, bodies of 0 to %d bytes: %+v", bodyMost, *s)
	}
	return nil
}

const bodyMost = 4 << 10

// Fact is what its owner says under a topic. Each one has a later version than the one before, over restarts too.
type Fact struct {
	Owner string        `json:"o"`
	Topic string        `json:"t"`
	Inc   uint64        `json:"i"`
	Seq   uint64        `json:"s"`
	Age   time.Duration `json:"a"` // since it was written, by the clocks of all who passed it on
	Body  []byte        `json:"b,omitempty"`
}

// Count is how much an owner's incarnation has counted under a topic, in one epoch of it.
type Count struct {
	Topic string `json:"t"`
	Epoch uint64 `json:"e"`
	Owner string `json:"o"`
	Inc   uint64 `json:"i"`
	N     uint64 `json:"n"`
}

// factKey and countKey order what is held: what goes when there is too much must be the same at every store, so it
// hangs on keys alone, never on which piece came first.
type factKey struct{ topic, owner string }

func (a factKey) cmp(b factKey) int {
	return cmp.Or(cmp.Compare(a.topic, b.topic), cmp.Compare(a.owner, b.owner))
}

type countKey struct {
	topic string
	epoch uint64
	owner string
	inc   uint64
}

// The newest epochs and incarnations come first: they are the last to go.
func (a countKey) cmp(b countKey) int {
	return cmp.Or(cmp.Compare(a.topic, b.topic), cmp.Compare(b.epoch, a.epoch), cmp.Compare(a.owner, b.owner), cmp.Compare(b.inc, a.inc))
}

type fact struct {
	inc, seq uint64
	wrote    time.Duration // by this store's clock: when it came less its age then
	body     string
}

// newer tells which of two versions counts. Of one version there is one body; should a faulty owner write two, all
// stores keep the same.
func (f fact) newer(g fact) bool {
	return cmp.Or(cmp.Compare(f.inc, g.inc), cmp.Compare(f.seq, g.seq), cmp.Compare(f.body, g.body)) > 0
}

// Store is one instance's.
type Store struct {
	set    Settings
	now    time.Duration
	facts  map[factKey]fact
	counts map[countKey]uint64
	floors map[string]uint64 // epochs below which a topic's counts are over
	seq    uint64
	next   int // where telling goes on among what is others'
	full   int // entries that there was no room for
}

// New makes an empty store.
func New(set Settings, now time.Duration) (*Store, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	return &Store{set: set, now: now, facts: map[factKey]fact{}, counts: map[countKey]uint64{}, floors: map[string]uint64{}}, nil
}

// At sets the clock; it never goes back.
func (s *Store) At(now time.Duration) { s.now = max(s.now, now) }

// Say writes a fact of this instance's; an error if it is too long.
func (s *Store) Say(topic string, body []byte) error {
	if topic == "" || len(body) > s.set.Body {
		return fmt.Errorf("share: fact %q of %d bytes; a topic and at most %d", topic, len(body), s.set.Body)
	}
	s.seq++
	s.put(factKey{topic, s.set.Me}, fact{s.set.Inc, s.seq, s.now, string(body)})
	return nil
}

// Read walks the facts under a topic in the order of their owners, with their ages.
func (s *Store) Read(topic string, yield func(Fact)) {
	for _, k := range slices.SortedFunc(maps.Keys(s.facts), factKey.cmp) {
		if f := s.facts[k]; k.topic == topic {
			yield(Fact{Owner: k.owner, Topic: topic, Inc: f.inc, Seq: f.seq, Age: s.now - f.wrote, Body: []byte(f.body)})
		}
	}
}

// Add counts under a topic and epoch; false if that epoch is over.
func (s *Store) Add(topic string, epoch, n uint64) bool {
	if epoch < s.floors[topic] {
		return false
	}
	k := countKey{topic, epoch, s.set.Me, s.set.Inc}
	s.raise(k, s.counts[k]+n)
	return true
}

// Sum is what all have counted under a topic in one epoch, those that died or started anew among them.
func (s *Store) Sum(topic string, epoch uint64) (n uint64) {
	for k, c := range s.counts {
		if k.topic == topic && k.epoch == epoch {
			n += c
		}
	}
	return n
}

// Over lets go of a topic's counts of all epochs below one, here and, once told, everywhere.
func (s *Store) Over(topic string, epoch uint64) {
	if epoch <= s.floors[topic] {
		return
	}
	if _, ok := s.floors[topic]; !ok && len(s.floors) >= s.set.Tally {
		s.full++
		return
	}
	s.floors[topic] = epoch
	maps.DeleteFunc(s.counts, func(k countKey, _ uint64) bool { return k.topic == topic && k.epoch < epoch })
}

// put keeps the newer version, and the lesser age of one version.
func (s *Store) put(k factKey, f fact) {
	if old, ok := s.facts[k]; ok && !f.newer(old) {
		if old.inc == f.inc && old.seq == f.seq && old.body == f.body {
			old.wrote = max(old.wrote, f.wrote)
			s.facts[k] = old
		}
		return
	}
	s.facts[k] = f
	if len(s.facts) > s.set.Facts {
		delete(s.facts, slices.MaxFunc(slices.Collect(maps.Keys(s.facts)), factKey.cmp))
		s.full++
	}
}

// raise keeps the greater count: what is told again, or late, adds nothing.
func (s *Store) raise(k countKey, n uint64) {
	if k.epoch < s.floors[k.topic] || n <= s.counts[k] {
		return
	}
	s.counts[k] = n
	if len(s.counts) > s.set.Tally {
		delete(s.counts, slices.MaxFunc(slices.Collect(maps.Keys(s.counts)), countKey.cmp))
		s.full++
	}
}

// Held are the entries held, and those that there was no room for.
func (s *Store) Held() (facts, counts, full int) { return len(s.facts), len(s.counts), s.full }
