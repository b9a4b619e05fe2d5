package policy

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
	"time"
)

// slab stores records in reusable slots, so that it doesn't allocate in the steady state. The package attempt/explore finds
// the type and its fields at and used by name through reflection.
type slab[T any] struct {
	at          []T
	generations []uint32
	used        []bool
	free        []int32
}

func (s *slab[T]) alloc() int32 {
	if n := len(s.free); n > 0 {
		i := s.free[n-1]
		s.free = s.free[:n-1]
		s.used[i] = true
		return i
	}
	var zero T
	s.at, s.generations, s.used = append(s.at, zero), append(s.generations, 0), append(s.used, true)
	return int32(len(s.at) - 1)
}

func (s *slab[T]) release(i int32) {
	s.generations[i]++
	s.used[i] = false
	s.free = append(s.free, i)
}

// isCurrent reports whether a slot is in use and still in the given generation.
func (s *slab[T]) isCurrent(i int32, gen uint32) bool {
	return i >= 0 && int(i) < len(s.at) && s.used[i] && s.generations[i] == gen
}

// ewma is an exponentially weighted moving average that starts at its first sample.
type ewma struct {
	value float64
	valid bool
}

func (s *ewma) add(x, gain float64) {
	if !s.valid {
		s.value, s.valid = x, true
		return
	}
	s.value += gain * (x - s.value)
}

// bucket is a token bucket.
type bucket struct {
	level float64
	at    time.Duration
}

func (b *bucket) refill(now time.Duration, perSecond, burst float64) float64 {
	b.level = min(burst, b.level+perSecond*max(0, (now-b.at).Seconds()))
	b.at = now
	return b.level
}

// rng draws pseudo-random numbers from a hash of seed, instance, id and a counter.
type rng struct {
	hash  hash.Hash64
	buf   [32]byte
	draws uint64
}

func newRNG(seed uint64, me int) rng {
	d := rng{hash: fnv.New64a()}
	binary.LittleEndian.PutUint64(d.buf[0:], seed)
	binary.LittleEndian.PutUint64(d.buf[8:], uint64(me))
	return d
}

// uniform returns a number uniformly distributed over [0,1).
func (d *rng) uniform(id uint64) float64 {
	d.draws++
	binary.LittleEndian.PutUint64(d.buf[16:], id)
	binary.LittleEndian.PutUint64(d.buf[24:], d.draws)
	d.hash.Reset()
	d.hash.Write(d.buf[:])
	x := d.hash.Sum64()
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	x ^= x >> 29
	return float64(x>>11) / (1 << 53)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
