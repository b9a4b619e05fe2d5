package duty

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// plainHeap is what the wheel is measured and checked against.
type plainHeap struct {
	at    []time.Duration // by index
	place []int           // in the heap, -1 when it is not
	order []int32
}

func (h *plainHeap) Len() int           { return len(h.order) }
func (h *plainHeap) Less(i, j int) bool { return h.at[h.order[i]] < h.at[h.order[j]] }
func (h *plainHeap) Swap(i, j int) {
	h.order[i], h.order[j] = h.order[j], h.order[i]
	h.place[h.order[i]], h.place[h.order[j]] = i, j
}
func (h *plainHeap) Push(x any) {
	h.place[x.(int32)] = len(h.order)
	h.order = append(h.order, x.(int32))
}
func (h *plainHeap) Pop() any {
	x := h.order[len(h.order)-1]
	h.order = h.order[:len(h.order)-1]
	h.place[x] = -1
	return x
}

func (h *plainHeap) set(i int32, at time.Duration) {
	for int(i) >= len(h.at) {
		h.at, h.place = append(h.at, 0), append(h.place, -1)
	}
	if h.at[i] = at; h.place[i] >= 0 {
		heap.Fix(h, h.place[i])
	} else {
		heap.Push(h, i)
	}
}

// Nothing early, nothing late by a tick, nothing lost, Next never past what is due: against a plain map, in any order.
func TestWheelAgainstPlain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tick := time.Duration(rapid.IntRange(1, 1000).Draw(t, "tick"))
		now := time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "start"))
		w, due := NewWheel(tick, now), map[int32]time.Duration{}
		set := map[int32]time.Duration{} // when it was set
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				i := int32(rapid.IntRange(0, 20).Draw(t, "index"))
				far := tick * time.Duration(1<<rapid.IntRange(0, 26).Draw(t, "scale"))
				at := now + time.Duration(rapid.Int64Range(-int64(tick), int64(far)).Draw(t, "due"))
				w.Set(i, at)
				due[i], set[i] = at, now
			case 2:
				i := int32(rapid.IntRange(0, 20).Draw(t, "index"))
				w.Drop(i)
				delete(due, i)
			case 3:
				if next := w.Next(); len(due) > 0 {
					for i, at := range due {
						if out := max(at, set[i]) + 2*tick; next > out {
							t.Fatalf("%d is due at %v, next %v", i, at, next)
						}
					}
				}
				now += time.Duration(rapid.Int64Range(0, int64(tick)<<rapid.IntRange(0, 26).Draw(t, "step")).Draw(t, "by"))
				w.Due(now, func(i int32) {
					at, ok := due[i]
					if !ok || at > now {
						t.Fatalf("%d came out at %v, due %v (%v)", i, now, at, ok)
					}
					delete(due, i)
				})
				for i, at := range due {
					if max(at, set[i])+2*tick <= now {
						t.Fatalf("%d due %v did not come out by %v", i, at, now)
					}
				}
			}
			if w.Len() != len(due) {
				t.Fatalf("%d in it, %d expected", w.Len(), len(due))
			}
		}
	})
}

// The mix a core makes: most entries are moved on by a result before they are due, few come out.
func BenchmarkDue(b *testing.B) {
	for _, n := range []int{10, 100_000} {
		const interval = time.Second
		b.Run(fmt.Sprintf("wheel/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			dice, w, now := rand.New(rand.NewPCG(1, 2)), NewWheel(2*time.Millisecond, 0), time.Duration(0)
			for i := range n {
				w.Set(int32(i), time.Duration(dice.Int64N(int64(interval))))
			}
			for b.Loop() {
				now += interval / time.Duration(n)
				w.Set(int32(dice.IntN(n)), now+interval)
				w.Due(now, func(i int32) { w.Set(i, now+interval) })
			}
		})
		b.Run(fmt.Sprintf("heap/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			dice, h, now := rand.New(rand.NewPCG(1, 2)), &plainHeap{}, time.Duration(0)
			for i := range n {
				h.set(int32(i), time.Duration(dice.Int64N(int64(interval))))
			}
			for b.Loop() {
				now += interval / time.Duration(n)
				h.set(int32(dice.IntN(n)), now+interval)
				for len(h.order) > 0 && h.at[h.order[0]] <= now {
					h.set(h.order[0], now+interval)
				}
			}
		})
	}
}
