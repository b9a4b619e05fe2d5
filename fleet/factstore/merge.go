package factstore

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// piece is the encoding of a part of a store's content.
type piece struct {
	Facts     []Fact            `json:"f,omitempty"`
	Counts    []Count           `json:"c,omitempty"`
	MinEpochs map[string]uint64 `json:"l,omitempty"`
}

const (
	maxPieceSize = 64 << 10 // bytes accepted by Merge
	maxAge       = 24 * time.Hour
)

// EncodePiece encodes a piece of at most the given number of bytes. This instance's own entries come first, then those of other
// owners, continuing where the previous piece stopped. This way all entries are sent in turn, and the data of a dead
// instance still spreads.
func (s *Store) EncodePiece(maxSize int) []byte {
	var p piece
	size := 64
	add := func(v any, include func()) bool {
		b, err := json.Marshal(v)
		if err != nil {
			panic(err) // facts and counters always encode
		}
		if size += len(b) + 1; size > maxSize {
			return false
		}
		include()
		return true
	}
	addMinEpoch := func(topic string) {
		add(map[string]uint64{topic: s.minEpochs[topic]}, func() {
			if p.MinEpochs == nil {
				p.MinEpochs = map[string]uint64{}
			}
			p.MinEpochs[topic] = s.minEpochs[topic]
		})
	}
	var own, others []func() bool
	for _, k := range slices.SortedFunc(maps.Keys(s.facts), factKey.cmp) {
		f := s.facts[k]
		x := Fact{k.owner, k.topic, f.incarnation, f.seq, s.now - f.writtenAt, []byte(f.body)}
		put := func() bool { return add(x, func() { p.Facts = append(p.Facts, x) }) }
		if k.owner == s.settings.Name {
			own = append(own, put)
		} else {
			others = append(others, put)
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(s.counts), countKey.cmp) {
		x := Count{k.topic, k.epoch, k.owner, k.incarnation, s.counts[k]}
		put := func() bool { return add(x, func() { p.Counts = append(p.Counts, x) }) }
		if k.owner == s.settings.Name {
			own = append(own, put)
		} else {
			others = append(others, put)
		}
	}
	for _, topic := range slices.Sorted(maps.Keys(s.minEpochs)) {
		addMinEpoch(topic)
	}
	for _, put := range own {
		if !put() {
			break
		}
	}
	for range others {
		s.nextOther %= len(others)
		if !others[s.nextOther]() {
			break
		}
		s.nextOther++
	}
	b, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	return b
}

// Merge merges a piece from another store. A piece that cannot be decoded or is impossible changes nothing and returns an
// error: one that reports more of this instance's own incarnation than it has written, a negative age, an empty name, or
// a name or body that is too long.
func (s *Store) Merge(b []byte) error {
	var p piece
	if len(b) > maxPieceSize {
		return fmt.Errorf("factstore: piece of %d bytes exceeds the limit of %d", len(b), maxPieceSize)
	}
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("factstore: %w", err)
	}
	for _, f := range p.Facts {
		unwritten := f.Owner == s.settings.Name && (f.Inc > s.settings.Inc || f.Inc == s.settings.Inc && f.Seq > s.seq)
		if f.Owner == "" || f.Topic == "" || len(f.Owner)+len(f.Topic) > maxBody || len(f.Body) > s.settings.MaxBodySize ||
			f.Age < 0 || unwritten {
			return fmt.Errorf("factstore: invalid fact %.40q of %.40q", f.Topic, f.Owner)
		}
	}
	for _, c := range p.Counts {
		k := countKey{c.Topic, c.Epoch, c.Owner, c.Inc}
		unwritten := c.Owner == s.settings.Name && (c.Inc > s.settings.Inc ||
			c.Inc == s.settings.Inc && c.N > s.counts[k] && c.Epoch >= s.minEpochs[c.Topic])
		if c.Owner == "" || c.Topic == "" || len(c.Owner)+len(c.Topic) > maxBody || unwritten {
			return fmt.Errorf("factstore: invalid counter %.40q of %.40q", c.Topic, c.Owner)
		}
	}
	for topic, epoch := range p.MinEpochs {
		s.CloseEpochsBelow(topic, epoch)
	}
	for _, f := range p.Facts {
		s.put(factKey{f.Topic, f.Owner}, fact{f.Inc, f.Seq, s.now - min(f.Age, maxAge), string(f.Body)})
	}
	for _, c := range p.Counts {
		s.raise(countKey{c.Topic, c.Epoch, c.Owner, c.Inc}, c.N)
	}
	return nil
}
