// Package queue provides the event queue of the simulations: a priority queue ordered by simulated time. Events due at the
// same time are returned in the order in which they were added, so that equal input gives equal output. It is optimized
// for the laboratory's mix, in which most events are due within milliseconds and the rest, mainly deadlines, are far off
// and often never needed. It doesn't read a clock and is not safe for concurrent use.
package queue

import (
	"slices"
	"time"
)

const (
	bucketCount = 1024 // buckets of the ring
	sampleSize  = 64   // items beyond the ring that are sampled to choose a new bucket width
)

// Queue is a ladder queue of three parts: a small heap of the items due before edge, a ring of unsorted buckets after it,
// and an unsorted list of the items beyond the ring. Items are sorted only shortly before they are due; a distant item
// is moved twice. The bucket width is adapted to the queued items whenever the ring is used up.
type Queue[T any] struct {
	near   []item[T] // a heap
	edge   time.Duration
	ring   [bucketCount][]item[T]
	bucket int           // index of the next bucket, which begins at edge
	width  time.Duration // of a bucket
	end    time.Duration // of the ring
	far    []item[T]
	seq    uint64
	length int
}

type item[T any] struct {
	at    time.Duration
	seq   uint64
	value T
}

func (a *item[T]) before(b *item[T]) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.length }

// Put adds an item that is due at a time, which may be in the past.
func (q *Queue[T]) Put(at time.Duration, v T) {
	q.seq++
	q.length++
	x := item[T]{at, q.seq, v}
	switch {
	case at < q.edge:
		q.push(x)
	case at < q.end:
		i := q.bucket + int((at-q.edge)/q.width)
		q.ring[i] = append(q.ring[i], x)
	default:
		q.far = append(q.far, x)
	}
}

// Next removes the item that is due first and returns it, or false if the queue is empty.
func (q *Queue[T]) Next() (at time.Duration, v T, ok bool) {
	if q.length == 0 {
		return 0, v, false
	}
	for len(q.near) == 0 {
		q.loadBucket()
	}
	q.length--
	x := q.pop()
	return x.at, x.value, true
}

// loadBucket turns the next non-empty bucket into the heap. If the ring is used up, it rebuilds the ring instead.
func (q *Queue[T]) loadBucket() {
	for ; q.bucket < bucketCount && q.width > 0; q.bucket++ {
		q.edge += q.width
		if b := q.ring[q.bucket]; len(b) > 0 {
			// Swapping the slices avoids a new allocation for either.
			q.near, q.ring[q.bucket] = b, q.near[:0]
			q.bucket++
			for i := len(q.near)/2 - 1; i >= 0; i-- {
				q.down(i)
			}
			return
		}
	}
	q.rebuildRing()
}

// rebuildRing moves the earlier three quarters of the items beyond the ring into a new ring.
func (q *Queue[T]) rebuildRing() {
	low, high := q.far[0].at, q.far[0].at
	for i := range q.far {
		low, high = min(low, q.far[i].at), max(high, q.far[i].at)
	}
	if len(q.far) <= sampleSize { // walking a ring for so few items costs more than heap operations
		for _, x := range q.far {
			q.push(x)
		}
		clear(q.far)
		q.far, q.bucket, q.edge, q.end = q.far[:0], bucketCount, high+1, high+1
		return
	}
	var sample [sampleSize]time.Duration
	for i := range sample {
		sample[i] = q.far[i*len(q.far)/sampleSize].at
	}
	slices.Sort(sample[:])
	q.width = max((sample[sampleSize*3/4]-low)/bucketCount+1, 1)
	q.bucket, q.edge, q.end = 0, low, low+bucketCount*q.width
	rest := q.far[:0]
	for _, x := range q.far {
		if x.at >= q.end {
			rest = append(rest, x)
			continue
		}
		i := int((x.at - low) / q.width)
		q.ring[i] = append(q.ring[i], x)
	}
	clear(q.far[len(rest):]) // releases the references to values that are in the ring now
	q.far = rest
}

func (q *Queue[T]) push(x item[T]) {
	q.near = append(q.near, x)
	for i := len(q.near) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.near[i].before(&q.near[parent]) {
			return
		}
		q.near[i], q.near[parent] = q.near[parent], q.near[i]
		i = parent
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
		first := i
		for k := 2*i + 1; k <= 2*i+2 && k < len(q.near); k++ {
			if q.near[k].before(&q.near[first]) {
				first = k
			}
		}
		if first == i {
			return
		}
		q.near[i], q.near[first] = q.near[first], q.near[i]
		i = first
	}
}
