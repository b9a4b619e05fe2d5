package factstore

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Settings configures a store. All stores of a fleet need the same limits.
type Settings struct {
	Name        string
	Inc         uint64 // incarnation of this process, higher than that of the process before
	MaxFacts    int    // the maximum number of facts; beyond it the last in key order are evicted
	MaxCounts   int    // the same for counters
	MaxBodySize int    // the maximum size of a fact, in bytes
}

// Check returns an error if no store can work with the settings.
func (s *Settings) Check() error {
	if s.Name == "" || s.MaxFacts < 1 || s.MaxCounts < 1 || s.MaxBodySize < 0 || s.MaxBodySize > maxBody {
		return fmt.Errorf("factstore: need a name, at least 1 fact and counter, and a body size from 0 to %d bytes: %+v", maxBody, *s)
	}
	return nil
}

const maxBody = 4 << 10

// Fact is what its owner states under a topic. Each new version is later than the one before, over restarts too.
type Fact struct {
	Owner string        `json:"o"`
	Topic string        `json:"t"`
	Inc   uint64        `json:"i"`
	Seq   uint64        `json:"s"`
	Age   time.Duration `json:"a"` // since it was written, by the clocks of all instances that held it on the way
	Body  []byte        `json:"b,omitempty"`
}

// Count is how much one incarnation of an owner has counted under a topic, in one epoch of the topic.
type Count struct {
	Topic string `json:"t"`
	Epoch uint64 `json:"e"`
	Owner string `json:"o"`
	Inc   uint64 `json:"i"`
	N     uint64 `json:"n"`
}

// factKey and countKey define the eviction order. Every store must evict the same entries, so the order depends on the
// keys alone and never on the order of arrival.
type factKey struct{ topic, owner string }

func (a factKey) cmp(b factKey) int {
	return cmp.Or(cmp.Compare(a.topic, b.topic), cmp.Compare(a.owner, b.owner))
}

type countKey struct {
	topic       string
	epoch       uint64
	owner       string
	incarnation uint64
}

// cmp orders the newest epochs and incarnations first, so that they are evicted last.
func (a countKey) cmp(b countKey) int {
	return cmp.Or(cmp.Compare(a.topic, b.topic), cmp.Compare(b.epoch, a.epoch), cmp.Compare(a.owner, b.owner),
		cmp.Compare(b.incarnation, a.incarnation))
}

type fact struct {
	incarnation, seq uint64
	writtenAt        time.Duration // by this store's clock: its arrival minus its age then
	body             string
}

// newer reports whether f replaces g. A version has one body; if a faulty owner writes two, all stores keep the same one.
func (f fact) newer(g fact) bool {
	return cmp.Or(cmp.Compare(f.incarnation, g.incarnation), cmp.Compare(f.seq, g.seq), cmp.Compare(f.body, g.body)) > 0
}

// Store is one instance's replica of the facts and counters.
type Store struct {
	settings  Settings
	now       time.Duration
	facts     map[factKey]fact
	counts    map[countKey]uint64
	minEpochs map[string]uint64 // by topic: counters of lower epochs are closed
	seq       uint64
	nextOther int // index in the other owners' entries at which the next piece continues
	evicted   int // entries dropped for want of space
}

// New makes an empty store.
func New(settings Settings, now time.Duration) (*Store, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &Store{settings: settings, now: now, facts: map[factKey]fact{}, counts: map[countKey]uint64{},
		minEpochs: map[string]uint64{}}, nil
}

// Advance advances the clock, which never goes back.
func (s *Store) Advance(now time.Duration) { s.now = max(s.now, now) }

// SetFact writes a fact of this instance. It returns an error if the topic is empty or the body too long.
func (s *Store) SetFact(topic string, body []byte) error {
	if topic == "" || len(body) > s.settings.MaxBodySize {
		return fmt.Errorf("factstore: fact %q of %d bytes: need a topic and at most %d bytes", topic, len(body), s.settings.MaxBodySize)
	}
	s.seq++
	s.put(factKey{topic, s.settings.Name}, fact{s.settings.Inc, s.seq, s.now, string(body)})
	return nil
}

// EachFact calls yield for each fact under a topic, with its age, in the order of the owners.
func (s *Store) EachFact(topic string, yield func(Fact)) {
	for _, k := range slices.SortedFunc(maps.Keys(s.facts), factKey.cmp) {
		if f := s.facts[k]; k.topic == topic {
			yield(Fact{Owner: k.owner, Topic: topic, Inc: f.incarnation, Seq: f.seq, Age: s.now - f.writtenAt, Body: []byte(f.body)})
		}
	}
}

// Add adds n to this instance's counter under a topic and epoch. It returns false if that epoch is closed.
func (s *Store) Add(topic string, epoch, n uint64) bool {
	if epoch < s.minEpochs[topic] {
		return false
	}
	k := countKey{topic, epoch, s.settings.Name, s.settings.Inc}
	s.raise(k, s.counts[k]+n)
	return true
}

// Sum returns what all instances have counted under a topic in one epoch, including those that died and earlier
// incarnations.
func (s *Store) Sum(topic string, epoch uint64) (n uint64) {
	for k, c := range s.counts {
		if k.topic == topic && k.epoch == epoch {
			n += c
		}
	}
	return n
}

// CloseEpochsBelow closes all epochs of a topic below the given one and drops their counters, here and, as the minimum spreads, in
// every store.
func (s *Store) CloseEpochsBelow(topic string, epoch uint64) {
	if epoch <= s.minEpochs[topic] {
		return
	}
	if _, ok := s.minEpochs[topic]; !ok && len(s.minEpochs) >= s.settings.MaxCounts {
		s.evicted++
		return
	}
	s.minEpochs[topic] = epoch
	maps.DeleteFunc(s.counts, func(k countKey, _ uint64) bool { return k.topic == topic && k.epoch < epoch })
}

// put keeps the newer version of a fact, or the lower age of the same version.
func (s *Store) put(k factKey, f fact) {
	if old, ok := s.facts[k]; ok && !f.newer(old) {
		if old.incarnation == f.incarnation && old.seq == f.seq && old.body == f.body {
			old.writtenAt = max(old.writtenAt, f.writtenAt)
			s.facts[k] = old
		}
		return
	}
	s.facts[k] = f
	if len(s.facts) > s.settings.MaxFacts {
		delete(s.facts, slices.MaxFunc(slices.Collect(maps.Keys(s.facts)), factKey.cmp))
		s.evicted++
	}
}

// raise keeps the higher value of a counter, so that duplicate or late pieces add nothing.
func (s *Store) raise(k countKey, n uint64) {
	if k.epoch < s.minEpochs[k.topic] || n <= s.counts[k] {
		return
	}
	s.counts[k] = n
	if len(s.counts) > s.settings.MaxCounts {
		delete(s.counts, slices.MaxFunc(slices.Collect(maps.Keys(s.counts)), countKey.cmp))
		s.evicted++
	}
}

// Stats returns the number of facts and counters in the store, and of entries dropped for want of space.
func (s *Store) Stats() (facts, counts, evicted int) { return len(s.facts), len(s.counts), s.evicted }
