// Package queue holds what is to happen in simulated time, earliest first, and at one instant in the order of putting in:
// the same events come out the same way. It is made for the laboratory's mix, in which most of what is put in is due
// within milliseconds and the rest, deadlines above all, far off and often for nothing. It never reads a clock, and is for
// one goroutine.
package queue

import (
	"slices"
	"time"
)

const (
	rungs  = 1024 // buckets of the ring
	sample = 64   // of what lies beyond it, by which its width is chosen anew
)

// Queue is a ladder of three parts: a small heap of what is due before edge, a ring of unsorted buckets behind it, and an
// unsorted rest beyond the ring. What is due soon is sorted only once it is near; what is far costs two moves. The width
// of the buckets follows what is held, whenever the ring has run out.
type Queue[T any] struct {
	near  []item[T] // a heap
	edge  time.Duration
	ring  [rungs][]item[T]
	at    int           // the next bucket; it begins at edge
	width time.Duration // of a bucket
	end   time.Duration // of the ring
	far   []item[T]
	n     uint64
	held  int
}

type item[T any] struct {
	at time.Duration
	n  uint64
	v  T
}

func (a *item[T]) before(b *item[T]) bool { return a.at < b.at || a.at == b.at && a.n < b.n }

// Len is how many are held.
func (q *Queue[T]) Len() int { return q.held }

// Put adds what is due at a time, which may be past.
func (q *Queue[T]) Put(at time.Duration, v T) {
	q.n++
	q.held++
	x := item[T]{at, q.n, v}
	switch {
	case at < q.edge:
		q.push(x)
	case at < q.end:
		i := q.at + int((at-q.edge)/q.width)
		q.ring[i] = append(q.ring[i], x)
	default:
		q.far = append(q.far, x)
	}
}

// Next takes out what is due first; false if nothing is held.
func (q *Queue[T]) Next() (at time.Duration, v T, ok bool) {
	if q.held == 0 {
		return 0, v, false
	}
	for len(q.near) == 0 {
		q.climb()
	}
	q.held--
	x := q.pop()
	return x.at, x.v, true
}

// climb brings the next bucket near.
func (q *Queue[T]) climb() {
	for ; q.at < rungs && q.width > 0; q.at++ {
		q.edge += q.width
		if b := q.ring[q.at]; len(b) > 0 {
			// The two change places, so that neither is allocated again.
			q.near, q.ring[q.at] = b, q.near[:0]
			q.at++
			for i := len(q.near)/2 - 1; i >= 0; i-- {
				q.down(i)
			}
			return
		}
	}
	q.spread()
}

// spread lays the ring over the nearer three quarters of what lies beyond it.
func (q *Queue[T]) spread() {
	low, high := q.far[0].at, q.far[0].at
	for i := range q.far {
		low, high = min(low, q.far[i].at), max(high, q.far[i].at)
	}
	if len(q.far) <= sample { // a ring would be walked for next to nothing
		for _, x := range q.far {
			q.push(x)
		}
		clear(q.far)
		q.far, q.at, q.edge, q.end = q.far[:0], rungs, high+1, high+1
		return
	}
	var some [sample]time.Duration
	for i := range some {
		some[i] = q.far[i*len(q.far)/sample].at
	}
	slices.Sort(some[:])
	q.width = max((some[sample*3/4]-low)/rungs+1, 1)
	q.at, q.edge, q.end = 0, low, low+rungs*q.width
	rest := q.far[:0]
	for _, x := range q.far {
		if x.at >= q.end {
			rest = append(rest, x)
			continue
		}
		i := int((x.at - low) / q.width)
		q.ring[i] = append(q.ring[i], x)
	}
	clear(q.far[len(rest):]) // what they hold is held elsewhere now
	q.far = rest
}

func (q *Queue[T]) push(x item[T]) {
	q.near = append(q.near, x)
	for i := len(q.near) - 1; i > 0; {
		up := (i - 1) / 2
		if !q.near[i].before(&q.near[up]) {
			return
		}
		q.near[i], q.near[up] = q.near[up], q.near[i]
		i = up
	}
}

func (q *Queue[T]) pop() item[T] {
	x, last := q.near[0], len(q.near)-1
	q.near[0] = q.near[last]
	q.near[last] = item[T]{}
	q.near = q.near[:last]
	q.down(0)
	return x
}

func (q *Queue[T]) down(i int) {
	for {
		low := i
		for k := 2*i + 1; k <= 2*i+2 && k < len(q.near); k++ {
			if q.near[k].before(&q.near[low]) {
				low = k
			}
		}
		if low == i {
			return
		}
		q.near[i], q.near[low] = q.near[low], q.near[i]
		i = low
	}
}
