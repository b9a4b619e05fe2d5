package share

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// piece is a part of what one store holds, as it is told.
type piece struct {
	Facts  []Fact            `json:"f,omitempty"`
	Counts []Count           `json:"c,omitempty"`
	Floors map[string]uint64 `json:"l,omitempty"`
}

const (
	pieceMost = 64 << 10 // bytes read of one
	ageMost   = 24 * time.Hour
)

// Tell gives a piece of at most so many bytes: what is this instance's own first, then what it knows of others, going on
// each time where it stopped, so that all it holds is told in turn and what a dead one said still spreads.
func (s *Store) Tell(most int) []byte {
	var p piece
	size := 64
	add := func(v any, take func()) bool {
		b, err := json.Marshal(v)
		if err != nil {
			panic(err) // facts and counts always encode
		}
		if size += len(b) + 1; size > most {
			return false
		}
		take()
		return true
	}
	floor := func(topic string) {
		add(map[string]uint64{topic: s.floors[topic]}, func() {
			if p.Floors == nil {
				p.Floors = map[string]uint64{}
			}
			p.Floors[topic] = s.floors[topic]
		})
	}
	var own, others []func() bool
	for _, k := range slices.SortedFunc(maps.Keys(s.facts), factKey.cmp) {
		f := s.facts[k]
		x := Fact{k.owner, k.topic, f.inc, f.seq, s.now - f.wrote, []byte(f.body)}
		put := func() bool { return add(x, func() { p.Facts = append(p.Facts, x) }) }
		if k.owner == s.set.Me {
			own = append(own, put)
		} else {
			others = append(others, put)
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(s.counts), countKey.cmp) {
		x := Count{k.topic, k.epoch, k.owner, k.inc, s.counts[k]}
		put := func() bool { return add(x, func() { p.Counts = append(p.Counts, x) }) }
		if k.owner == s.set.Me {
			own = append(own, put)
		} else {
			others = append(others, put)
		}
	}
	for _, topic := range slices.Sorted(maps.Keys(s.floors)) {
		floor(topic)
	}
	for _, put := range own {
		if !put() {
			break
		}
	}
	for range others {
		s.next %= len(others)
		if !others[s.next]() {
			break
		}
		s.next++
	}
	b, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	return b
}

// Merge takes a piece that another told. One that can't be read, or claims the impossible, changes nothing: what it says
// of this instance's own incarnation beyond what that wrote, ages below zero, bodies and names too long.
func (s *Store) Merge(b []byte) error {
	var p piece
	if len(b) > pieceMost {
		return fmt.Errorf("share: a piece of %d bytes; at most %d", len(b), pieceMost)
	}
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("share: %w", err)
	}
	for _, f := range p.Facts {
		mine := f.Owner == s.set.Me && (f.Inc > s.set.Inc || f.Inc == s.set.Inc && f.Seq > s.seq)
		if f.Owner == "" || f.Topic == "" || len(f.Owner)+len(f.Topic) > bodyMost || len(f.Body) > s.set.Body || f.Age < 0 || mine {
			return fmt.Errorf("share: fact %.40q of %.40q can't be", f.Topic, f.Owner)
		}
	}
	for _, c := range p.Counts {
		k := countKey{c.Topic, c.Epoch, c.Owner, c.Inc}
		mine := c.Owner == s.set.Me && (c.Inc > s.set.Inc || c.Inc == s.set.Inc && c.N > s.counts[k] && c.Epoch >= s.floors[c.Topic])
		if c.Owner == "" || c.Topic == "" || len(c.Owner)+len(c.Topic) > bodyMost || mine {
			return fmt.Errorf("share: count %.40q of %.40q can't be", c.Topic, c.Owner)
		}
	}
	for topic, epoch := range p.Floors {
		s.Over(topic, epoch)
	}
	for _, f := range p.Facts {
		s.put(factKey{f.Topic, f.Owner}, fact{f.Inc, f.Seq, s.now - min(f.Age, ageMost), string(f.Body)})
	}
	for _, c := range p.Counts {
		s.raise(countKey{c.Topic, c.Epoch, c.Owner, c.Inc}, c.N)
	}
	return nil
}
