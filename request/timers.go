package request

import (
	"container/heap"
	"time"
)

// timer is a wake-up that a group's engine has requested.
type timer struct {
	at    time.Duration
	seq   uint64 // keeps the order of timers with the same time
	group *group
	token uint64
}

// timers is a heap of timers, ordered by time.
type timers struct {
	heap []timer
	seq  uint64
}

func (t *timers) Len() int { return len(t.heap) }
func (t *timers) Less(i, j int) bool {
	a, b := &t.heap[i], &t.heap[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (t *timers) Swap(i, j int) { t.heap[i], t.heap[j] = t.heap[j], t.heap[i] }
func (t *timers) Push(x any)    { t.heap = append(t.heap, x.(timer)) }
func (t *timers) Pop() any {
	n := len(t.heap) - 1
	x := t.heap[n]
	t.heap[n] = timer{}
	t.heap = t.heap[:n]
	return x
}

func (t *timers) add(at time.Duration, g *group, token uint64) {
	t.seq++
	heap.Push(t, timer{at: at, seq: t.seq, group: g, token: token})
}

func (t *timers) next() (time.Duration, bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

func (t *timers) pop(now time.Duration) (timer, bool) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}
