package attempt

import (
	"slices"
	"time"

	"peathollow/policy"
)

// task is an action to be done later. It is data rather than a closure so that EncodeState can encode it.
type task struct {
	kind    taskKind
	outcome policy.Outcome
	index   int32
	part    *part
	scan    *Scan
	token   uint64
}

// taskKind is what a task does.
type taskKind uint8

const (
	policyWake     taskKind = iota // wake the policy with its token
	attemptTimeout                 // cancel an attempt at its deadline
	keyWindowEnd                   // stop an unsent attempt at the end of its repeat window
	attemptDone                    // report an attempt that ended within the previous batch
	secondStep                     // start the second step of a scan
	idleSweep                      // close idle connections
	counterLog                     // log the counters
	abandonAll                     // abandon all scans when the process stops
)

func (c *Coordinator) do(t task) {
	switch t.kind {
	case policyWake:
		c.policy.Woke(t.token)
	case attemptTimeout:
		c.cancel(t.part, int(t.index), policy.TimedOut)
	case keyWindowEnd:
		c.enforceWindow(t.part, int(t.index))
	case attemptDone:
		c.returned(t.part, int(t.index), t.outcome)
	case secondStep:
		c.startSecondStep(t.scan)
	case idleSweep:
		c.closeIdle()
	case counterLog:
		c.logCounters()
	case abandonAll:
		for _, s := range c.pending.scansInOrder() {
			c.ClientLeft(s)
		}
	}
}

// timers is a heap of tasks, earliest first; tasks due at the same time run in the order in which they were added.
type timers struct {
	heap       []timer
	lastNumber uint64
}

type timer struct {
	at     time.Duration
	number uint64
	task
}

func (t timer) before(u timer) bool { return t.at < u.at || t.at == u.at && t.number < u.number }

func (t *timers) add(at time.Duration, added task) {
	t.lastNumber++
	t.heap = append(t.heap, timer{at, t.lastNumber, added})
	for i := len(t.heap) - 1; i > 0; {
		up := (i - 1) / 2
		if !t.heap[i].before(t.heap[up]) {
			break
		}
		t.heap[i], t.heap[up] = t.heap[up], t.heap[i]
		i = up
	}
}

// due removes and returns the first task whose time has come.
func (t *timers) due(now time.Duration) (first task, ok bool) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return task{}, false
	}
	first, end := t.heap[0].task, len(t.heap)-1
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
			return first, true
		}
		t.heap[i], t.heap[low] = t.heap[low], t.heap[i]
		i = low
	}
}

// next returns the time until the first timer, or an hour if there is none.
func (t *timers) next(now time.Duration) time.Duration {
	if len(t.heap) == 0 {
		return time.Hour
	}
	return max(0, t.heap[0].at-now)
}
