package explore

import (
	"sync"
)

// stateSet is the set of visited states by their 64-bit hash, in open-addressed tables of eight bytes per entry, sharded by
// lock. A Go map takes more than twice the memory (see BenchmarkStateSet). Two states with the same hash are treated as one;
// with ten million states a collision is expected once in 370,000 searches.
type stateSet struct {
	shards [64]stateShard
}

// stateShard is one independently locked part of a stateSet; a slot that is 0 is empty.
type stateShard struct {
	mu      sync.Mutex
	slots   []uint64
	count   int
	hasZero bool // the hash 0 is in the set
}

// add inserts a hash and reports whether it was absent.
func (s *stateSet) add(h uint64) bool {
	x := &s.shards[h>>58]
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.add(h)
}

func (x *stateShard) add(h uint64) bool {
	if h == 0 {
		present := x.hasZero
		x.hasZero = true
		return !present
	}
	if x.count*4 >= len(x.slots)*3 {
		old := x.slots
		x.slots, x.count = make([]uint64, max(256, 2*len(old))), 0
		for _, o := range old {
			if o != 0 {
				x.insert(o)
			}
		}
	}
	return x.insert(h)
}

func (x *stateShard) insert(h uint64) bool {
	mask := uint64(len(x.slots) - 1)
	for i := h & mask; ; i = (i + 1) & mask {
		switch x.slots[i] {
		case h:
			return false
		case 0:
			x.slots[i] = h
			x.count++
			return true
		}
	}
}

// each calls yield for every hash. The set must not change meanwhile.
func (s *stateSet) each(yield func(h uint64)) {
	for i := range s.shards {
		x := &s.shards[i]
		if x.hasZero {
			yield(0)
		}
		for _, h := range x.slots {
			if h != 0 {
				yield(h)
			}
		}
	}
}

func (s *stateSet) len() (n int) {
	for i := range s.shards {
		n += s.shards[i].count + b2i(s.shards[i].hasZero)
	}
	return n
}
