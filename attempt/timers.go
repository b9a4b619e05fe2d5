package attempt

import (
	"slices"
	"time"
)

// timers is a heap of what is due, earliest first, in the order of setting where times are equal.
type timers struct {
	heap []timer
	n    uint64
}

type timer struct {
	at time.Duration
	n  uint64
	f  func()
}

func (t timer) before(u timer) bool { return t.at < u.at || t.at == u.at && t.n < u.n }

func (t *timers) add(at time.Duration, f func()) {
	t.n++
	t.heap = append(t.heap, timer{at, t.n, f})
	for i := len(t.heap) - 1; i > 0; {
		up := (i - 1) / 2
		if !t.heap[i].before(t.heap[up]) {
			break
		}
		t.heap[i], t.heap[up] = t.heap[up], t.heap[i]
		i = up
	}
}

// due takes out the first timer whose time has come.
func (t *timers) due(now time.Duration) func() {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return nil
	}
	f, end := t.heap[0].f, len(t.heap)-1
	t.heap[0] = t.heap[end]
	t.heap = slices.Delete(t.heap, end, end+1)
	for i := 0; ; {
		low := i
		for k := 2*i + 1; k <= 2*i+2 && k < end; k++ {
			if t.heap[k].before(t.heap[low]) {
				low = k
			}
		}
		if low == i {
			return f
		}
		t.heap[i], t.heap[low] = t.heap[low], t.heap[i]
		i = low
	}
}

func (t *timers) next(now time.Duration) time.Duration {
	if len(t.heap) == 0 {
		return time.Hour
	}
	return max(0, t.heap[0].at-now)
}
