package queue

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// itemHeap is a container/heap, the reference that the queue is compared with.
type itemHeap []item[uint64]

func (p itemHeap) Len() int           { return len(p) }
func (p itemHeap) Less(i, j int) bool { return p[i].before(&p[j]) }
func (p itemHeap) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }
func (p *itemHeap) Push(x any)        { *p = append(*p, x.(item[uint64])) }
func (p *itemHeap) Pop() any {
	x := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return x
}

// The queue must return items in the same order as a binary heap: near, distant, past and simultaneous ones, also after the
// ring is used up.
func TestReturnsItemsInOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var q Queue[uint64]
		var p itemHeap
		now, n := time.Duration(0), uint64(0)
		spans := []time.Duration{1, time.Microsecond, 5 * time.Millisecond, time.Second, time.Hour}
		for range rapid.IntRange(1, 300).Draw(r, "rounds") {
			for range rapid.IntRange(0, 12).Draw(r, "put") {
				span := rapid.SampledFrom(spans).Draw(r, "span")
				at := now + time.Duration(rapid.Int64Range(-int64(span)/4, int64(span)).Draw(r, "in"))
				n++
				q.Put(at, n)
				heap.Push(&p, item[uint64]{at, n, n})
			}
			for range rapid.IntRange(0, 14).Draw(r, "taken") {
				at, v, ok := q.Next()
				if ok != (len(p) > 0) {
					r.Fatalf("Next found an item: %t, want one of %d", ok, len(p))
				}
				if !ok {
					break
				}
				if x := heap.Pop(&p).(item[uint64]); x.at != at || x.value != v {
					r.Fatalf("got %d at %v, want %d at %v", v, at, x.value, x.at)
				}
				now = max(now, at)
			}
			if q.Len() != len(p) {
				r.Fatalf("length %d, want %d", q.Len(), len(p))
			}
		}
	})
}

// randomDelay draws from the laboratory's mix: nine in ten are due within milliseconds, the rest are deadlines.
func randomDelay(rng *rand.Rand) time.Duration {
	if rng.IntN(10) == 0 {
		return time.Second + time.Duration(rng.IntN(int(4*time.Second)))
	}
	return time.Duration(rng.ExpFloat64() * float64(5*time.Millisecond))
}

// BenchmarkHold measures removing an item and adding another while the length stays the same.
func BenchmarkHold(b *testing.B) {
	for _, length := range []int{1_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint("own/", length), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			var q Queue[uint64]
			for range length {
				q.Put(randomDelay(rng), 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				at, _, _ := q.Next()
				q.Put(at+randomDelay(rng), 0)
			}
		})
		b.Run(fmt.Sprint("heap/", length), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			var p itemHeap
			for range length {
				heap.Push(&p, item[uint64]{randomDelay(rng), 0, 0})
			}
			b.ReportAllocs()
			for n := uint64(0); b.Loop(); n++ {
				x := heap.Pop(&p).(item[uint64])
				heap.Push(&p, item[uint64]{x.at + randomDelay(rng), n, 0})
			}
		})
	}
}
