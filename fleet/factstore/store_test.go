package factstore

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newTestStore(t interface{ Fatal(...any) }, name string, incarnation uint64, bound int) *Store {
	s, err := New(Settings{Name: name, Inc: incarnation, MaxFacts: bound, MaxCounts: bound, MaxBodySize: 64}, 0)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// equal reports whether two stores hold the same data, whatever the ages of their facts.
func (s *Store) equal(o *Store) bool {
	withoutAges := func(s *Store) map[factKey]fact {
		m := map[factKey]fact{}
		for k, f := range s.facts {
			f.writtenAt = 0
			m[k] = f
		}
		return m
	}
	return reflect.DeepEqual(withoutAges(s), withoutAges(o)) && reflect.DeepEqual(s.counts, o.counts) && reflect.DeepEqual(s.minEpochs, o.minEpochs)
}

// Stores converge when pieces are lost, duplicated, delayed or reordered and owners restart. With ample bounds, all stores
// end up equal, and the sum of an open epoch neither decreases nor exceeds what was counted; small bounds are never
// exceeded.
func TestStoresConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n, bound := rapid.IntRange(2, 4).Draw(r, "stores"), rapid.SampledFrom([]int{3, 8, 1000}).Draw(r, "bound")
		var all []*Store
		incarnations := make([]uint64, n)
		for i := range n {
			incarnations[i] = 1
			all = append(all, newTestStore(r, fmt.Sprint("m", i), 1, bound))
		}
		var inFlight [][]byte
		counted, seen := uint64(0), make([]uint64, n)
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			i := rapid.IntRange(0, n-1).Draw(r, "who")
			s := all[i]
			switch rapid.IntRange(0, 5).Draw(r, "what") {
			case 0:
				s.SetFact(fmt.Sprint("f", rapid.IntRange(0, 2).Draw(r, "topic")), []byte(rapid.StringN(0, 4, 8).Draw(r, "body")))
			case 1:
				k := uint64(rapid.IntRange(1, 9).Draw(r, "n"))
				if s.Add("c", 1, k) {
					counted += k
				}
			case 2:
				inFlight = append(inFlight, s.EncodePiece(rapid.IntRange(100, 2000).Draw(r, "most")))
			case 3, 4:
				if len(inFlight) > 0 { // the piece stays in flight, so that it may be delivered again
					if err := s.Merge(inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(r, "piece")]); err != nil && bound > 100 {
						r.Fatal(err)
					}
				}
			case 5:
				incarnations[i]++
				all[i] = newTestStore(r, fmt.Sprint("m", i), incarnations[i], bound)
				seen[i] = 0
			}
			sum := all[i].Sum("c", 1)
			if bound > 100 && (sum < seen[i] || sum > counted) {
				r.Fatalf("store %d has the sum %d after %d; %d were counted", i, sum, seen[i], counted)
			}
			seen[i] = sum
		}
		for range 3 {
			for _, s := range all {
				for range 4 {
					b := s.EncodePiece(1 << 16)
					for _, o := range all {
						if err := o.Merge(b); err != nil && bound > 100 {
							r.Fatal(err)
						}
					}
				}
			}
		}
		for i, s := range all {
			if bound > 100 && !s.equal(all[0]) {
				r.Fatalf("store %d holds\n%v %v, and the first\n%v %v", i, s.facts, s.counts, all[0].facts, all[0].counts)
			}
			if f, c, _ := s.Stats(); f > bound || c > bound {
				r.Fatalf("%d facts, %d counters held; %d allowed", f, c, bound)
			}
		}
	})
}

// Full stores evict the same entries, whatever the order in which pieces arrive.
func TestEvictionIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var bs [][]byte
		for i := range 6 {
			s := newTestStore(r, fmt.Sprint("m", i), uint64(1+i%2), 100)
			for k := range 3 {
				s.SetFact(fmt.Sprint("f", k), []byte{byte(i)})
				s.Add(fmt.Sprint("c", k), uint64(k), uint64(i+1))
			}
			bs = append(bs, s.EncodePiece(1<<16))
		}
		a, b := newTestStore(r, "a", 1, 7), newTestStore(r, "b", 1, 7)
		for _, x := range bs {
			a.Merge(x)
		}
		for _, x := range rapid.Permutation(bs).Draw(r, "order") {
			b.Merge(x)
			b.Merge(x)
		}
		if !a.equal(b) {
			r.Fatalf("%v %v, and %v %v", a.facts, a.counts, b.facts, b.counts)
		}
	})
}

// A restart neither removes data nor brings old data back: a late fact of an earlier incarnation is superseded, and its
// counter still adds to the sum.
func TestRestartKeepsCounters(t *testing.T) {
	first, other := newTestStore(t, "a", 1, 100), newTestStore(t, "b", 1, 100)
	first.SetFact("load", []byte("old"))
	first.Add("seen", 0, 5)
	late := first.EncodePiece(1 << 10)
	restarted := newTestStore(t, "a", 2, 100)
	restarted.SetFact("load", []byte("new"))
	restarted.Add("seen", 0, 2)
	for _, b := range [][]byte{late, restarted.EncodePiece(1 << 10), late} {
		if err := other.Merge(b); err != nil {
			t.Fatal(err)
		}
	}
	other.EachFact("load", func(f Fact) {
		if string(f.Body) != "new" {
			t.Errorf("%q", f.Body)
		}
	})
	if n := other.Sum("seen", 0); n != 7 {
		t.Errorf("sum %d, want 7", n)
	}
	other.CloseEpochsBelow("seen", 1)
	other.Merge(late)
	if n := other.Sum("seen", 0); n != 0 || other.Add("seen", 0, 1) {
		t.Errorf("a closed epoch has %d", n)
	}
}

// The age of a fact grows at every store that passes it on and while it is stored; a duplicate does not lower it.
func TestAges(t *testing.T) {
	a, b, c := newTestStore(t, "a", 1, 9), newTestStore(t, "b", 1, 9), newTestStore(t, "c", 1, 9)
	a.SetFact("x", nil)
	a.Advance(2 * time.Second)
	b.Merge(a.EncodePiece(1 << 10))
	b.Advance(3 * time.Second)
	c.Merge(b.EncodePiece(1 << 10))
	c.Advance(time.Second)
	c.Merge(b.EncodePiece(1 << 10))
	c.EachFact("x", func(f Fact) {
		if f.Age != 5*time.Second {
			t.Errorf("%v old", f.Age)
		}
	})
}

func TestInvalidPiecesAreRejected(t *testing.T) {
	s := newTestStore(t, "a", 1, 9)
	s.SetFact("x", []byte("mine"))
	before := s.EncodePiece(1 << 10)
	for _, text := range []string{"", "[]", `{"f":[{"o":"a","t":"x","i":1,"s":9}]}`, `{"f":[{"o":"a","t":"x","i":2,"s":1}]}`,
		`{"f":[{"o":"b","t":"","i":2}]}`, `{"f":[{"o":"b","t":"x","a":-1}]}`, `{"c":[{"t":"n","o":"a","i":1,"n":1}]}`,
		`{"f":[{"o":"b","t":"x","b":"` + strings.Repeat("QUFB", 40) + `"}]}`, strings.Repeat(" ", maxPieceSize+1)} {
		if err := s.Merge([]byte(text)); err == nil {
			t.Errorf("%.60q is accepted", text)
		}
	}
	if !bytes.Equal(before, s.EncodePiece(1<<10)) {
		t.Error("an invalid piece changed the store")
	}
	if s.SetFact("x", make([]byte, 65)) == nil {
		t.Error("a fact that is too long is accepted")
	}
}

// All entries are sent in turn, in pieces of a bounded size.
func TestAllEntriesAreSentInTurn(t *testing.T) {
	s, o := newTestStore(t, "a", 1, 500), newTestStore(t, "b", 1, 500)
	for i := range 60 {
		x := newTestStore(t, fmt.Sprint("x", i), 1, 500)
		x.SetFact("load", []byte("some"))
		s.Merge(x.EncodePiece(1 << 10))
	}
	for range 30 {
		b := s.EncodePiece(400)
		if len(b) > 400 {
			t.Fatalf("%d bytes", len(b))
		}
		o.Merge(b)
	}
	if facts, _, _ := o.Stats(); facts != 60 {
		t.Errorf("%d of 60 facts arrived", facts)
	}
}

func FuzzMerge(f *testing.F) {
	s := newTestStore(f, "a", 1, 9)
	s.SetFact("x", []byte("mine"))
	f.Add(s.EncodePiece(1 << 10))
	f.Add([]byte(`{"l":{"c":3},"c":[{"t":"c","e":4,"o":"z","i":1,"n":2}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := newTestStore(t, "a", 1, 9)
		s.SetFact("x", []byte("mine"))
		s.Merge(b)
		if facts, counts, _ := s.Stats(); facts > 9 || counts > 9 {
			t.Errorf("%d facts, %d counters", facts, counts)
		}
	})
}
