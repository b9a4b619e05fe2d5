package attempt

import (
	"slices"
	"time"

	"peathollow/policy"
)

// task is something that is to be done later. It is data and no closure, so that what is in hand can be told.
type task struct {
	what  work
	end   policy.Outcome
	no    int32
	p     *part
	s     *Scan
	token uint64
}

type work uint8

const (
	wake     work = iota // the module, with its token
	tooSlow              // give up a dispatch whose time is over
	tooLate              // keep a keyed part from leaving outside its window
	back                 // a dispatch that ended within the batch before
	goOn                 // to the second step
	sweep                // connections that lie idle
	report               // what ended of late
	leaveAll             // the process ends
)

func (o *Life) do(t task) {
	switch t.what {
	case wake:
		o.m.Woke(t.token)
	case tooSlow:
		o.giveUp(t.p, int(t.no), policy.TimedOut)
	case tooLate:
		o.overWindow(t.p, int(t.no))
	case back:
		o.returned(t.p, int(t.no), t.end)
	case goOn:
		o.goOn(t.s)
	case sweep:
		o.sweep()
	case report:
		o.report()
	case leaveAll:
		for _, s := range o.book.inOrder() {
			o.Left(s)
		}
	}
}

// timers is a heap of what is due, earliest first, in the order of setting where times are equal.
type timers struct {
	heap []timer
	n    uint64
}

type timer struct {
	at time.Duration
	n  uint64
	task
}

func (t timer) before(u timer) bool { return t.at < u.at || t.at == u.at && t.n < u.n }

func (t *timers) add(at time.Duration, f task) {
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
func (t *timers) due(now time.Duration) (f task, ok bool) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return task{}, false
	}
	f, end := t.heap[0].task, len(t.heap)-1
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
			return f, true
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
