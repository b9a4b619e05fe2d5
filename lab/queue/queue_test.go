package queue

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// plain is what the queue is measured against.
type plain []item[uint64]

func (p plain) Len() int           { return len(p) }
func (p plain) Less(i, j int) bool { return p[i].before(&p[j]) }
func (p plain) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }
func (p *plain) Push(x any)        { *p = append(*p, x.(item[uint64])) }
func (p *plain) Pop() any {
	x := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return x
}

// Whatever is put in and whenever, it comes out as of a plain heap: near and far, past, tied, after the ring ran out.
func TestComesOutInOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var q Queue[uint64]
		var p plain
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
					r.Fatalf("something held: %t, %d are", ok, len(p))
				}
				if !ok {
					break
				}
				if x := heap.Pop(&p).(item[uint64]); x.at != at || x.v != v {
					r.Fatalf("%d at %v, not %d at %v", v, at, x.v, x.at)
				}
				now = max(now, at)
			}
			if q.Len() != len(p) {
				r.Fatalf("%d held, not %d", q.Len(), len(p))
			}
		}
	})
}

// mix is the laboratory's: nine in ten within milliseconds, the rest deadlines.
func mix(dice *rand.Rand) time.Duration {
	if dice.IntN(10) == 0 {
		return time.Second + time.Duration(dice.IntN(int(4*time.Second)))
	}
	return time.Duration(dice.ExpFloat64() * float64(5*time.Millisecond))
}

// BenchmarkHold takes one out and puts one in, at so many held.
func BenchmarkHold(b *testing.B) {
	for _, held := range []int{1_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint("own/", held), func(b *testing.B) {
			dice := rand.New(rand.NewPCG(1, 1))
			var q Queue[uint64]
			for range held {
				q.Put(mix(dice), 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				at, _, _ := q.Next()
				q.Put(at+mix(dice), 0)
			}
		})
		b.Run(fmt.Sprint("heap/", held), func(b *testing.B) {
			dice := rand.New(rand.NewPCG(1, 1))
			var p plain
			for range held {
				heap.Push(&p, item[uint64]{mix(dice), 0, 0})
			}
			b.ReportAllocs()
			for n := uint64(0); b.Loop(); n++ {
				x := heap.Pop(&p).(item[uint64])
				heap.Push(&p, item[uint64]{x.at + mix(dice), n, 0})
			}
		})
	}
}
