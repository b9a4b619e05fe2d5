package duty

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// referenceHeap is the priority queue that the wheel is benchmarked against.
type referenceHeap struct {
	due      []time.Duration // by index
	position []int           // in the heap, -1 if absent
	order    []int32
}

func (h *referenceHeap) Len() int           { return len(h.order) }
func (h *referenceHeap) Less(i, j int) bool { return h.due[h.order[i]] < h.due[h.order[j]] }
func (h *referenceHeap) Swap(i, j int) {
	h.order[i], h.order[j] = h.order[j], h.order[i]
	h.position[h.order[i]], h.position[h.order[j]] = i, j
}
func (h *referenceHeap) Push(x any) {
	h.position[x.(int32)] = len(h.order)
	h.order = append(h.order, x.(int32))
}
func (h *referenceHeap) Pop() any {
	x := h.order[len(h.order)-1]
	h.order = h.order[:len(h.order)-1]
	h.position[x] = -1
	return x
}

func (h *referenceHeap) set(i int32, at time.Duration) {
	for int(i) >= len(h.due) {
		h.due, h.position = append(h.due, 0), append(h.position, -1)
	}
	if h.due[i] = at; h.position[i] >= 0 {
		heap.Fix(h, h.position[i])
	} else {
		heap.Push(h, i)
	}
}

// Compares the wheel with a plain map: no entry may expire early, late by a tick, or never, and Next may not be later
// than an entry that is due. Entries are set, dropped and expired in random order.
func TestTimerWheelMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tick := time.Duration(rapid.IntRange(1, 1000).Draw(t, "tick"))
		now := time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "start"))
		wheel, due := NewTimerWheel(tick, now), map[int32]time.Duration{}
		setAt := map[int32]time.Duration{} // time of the call of Set
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				i := int32(rapid.IntRange(0, 20).Draw(t, "index"))
				span := tick * time.Duration(1<<rapid.IntRange(0, 26).Draw(t, "scale"))
				at := now + time.Duration(rapid.Int64Range(-int64(tick), int64(span)).Draw(t, "due"))
				wheel.Set(i, at)
				due[i], setAt[i] = at, now
			case 2:
				i := int32(rapid.IntRange(0, 20).Draw(t, "index"))
				wheel.Remove(i)
				delete(due, i)
			case 3:
				if next := wheel.Next(); len(due) > 0 {
					for i, at := range due {
						if latest := max(at, setAt[i]) + 2*tick; next > latest {
							t.Fatalf("%d is due at %v, next %v", i, at, next)
						}
					}
				}
				now += time.Duration(rapid.Int64Range(0, int64(tick)<<rapid.IntRange(0, 26).Draw(t, "step")).Draw(t, "by"))
				wheel.Expire(now, func(i int32) {
					at, ok := due[i]
					if !ok || at > now {
						t.Fatalf("%d expired at %v, due %v (%v)", i, now, at, ok)
					}
					delete(due, i)
				})
				for i, at := range due {
					if max(at, setAt[i])+2*tick <= now {
						t.Fatalf("%d due %v did not expire by %v", i, at, now)
					}
				}
			}
			if wheel.Len() != len(due) {
				t.Fatalf("%d entries, want %d", wheel.Len(), len(due))
			}
		}
	})
}

// The access pattern of a scheduler: results move most entries before they are due, and few entries expire.
func BenchmarkDue(b *testing.B) {
	for _, n := range []int{10, 100_000} {
		const interval = time.Second
		b.Run(fmt.Sprintf("wheel/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			rng, wheel, now := rand.New(rand.NewPCG(1, 2)), NewTimerWheel(2*time.Millisecond, 0), time.Duration(0)
			for i := range n {
				wheel.Set(int32(i), time.Duration(rng.Int64N(int64(interval))))
			}
			for b.Loop() {
				now += interval / time.Duration(n)
				wheel.Set(int32(rng.IntN(n)), now+interval)
				wheel.Expire(now, func(i int32) { wheel.Set(i, now+interval) })
			}
		})
		b.Run(fmt.Sprintf("heap/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			rng, reference, now := rand.New(rand.NewPCG(1, 2)), &referenceHeap{}, time.Duration(0)
			for i := range n {
				reference.set(int32(i), time.Duration(rng.Int64N(int64(interval))))
			}
			for b.Loop() {
				now += interval / time.Duration(n)
				reference.set(int32(rng.IntN(n)), now+interval)
				for len(reference.order) > 0 && reference.due[reference.order[0]] <= now {
					reference.set(reference.order[0], now+interval)
				}
			}
		})
	}
}
