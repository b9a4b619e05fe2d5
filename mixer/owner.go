package mixer

import (
	"context"
	"runtime/debug"
	"slices"
	"time"

	"go.uber.org/zap"

	"peathollow/brain"
	"peathollow/duty"
	"peathollow/internal/config"
	"peathollow/internal/link"
	"peathollow/internal/proto"
)

// owner is the one goroutine that calls the module, and all that only this goroutine may touch. Others hand it
// closures through post; what it wants done on sockets is queued and never waited for.
type owner struct {
	lim   Limits
	set   *config.Settings
	log   *zap.Logger
	ctx   context.Context // its end closes all connections to searchers
	start time.Time
	now   time.Duration
	m     *brain.Mixer
	ask   func()

	events chan func()
	gone   chan struct{} // closed when the owner has ended
	later  []func()      // results known at once; they wait for the next batch, as if they came from outside
	timers timers
	book   book
	fleet  fleet
	out    []sending // what the module sent in this batch
	stopAt time.Duration

	version int64               // of the list held
	targets func([]duty.Target) // nil where no duties are shared
}

func newOwner(ctx context.Context, c *config.Config, lim Limits, log *zap.Logger, ask func()) *owner {
	o := &owner{lim: lim, set: &c.Settings, log: log, ctx: ctx, start: time.Now(), ask: ask,
		events: make(chan func(), lim.Events), gone: make(chan struct{}), book: newBook(), fleet: newFleet()}
	o.m = brain.New(o.set.Brain, o, 0)
	return o
}

// post hands an event to the owner; it waits while the owner is behind, and gives up once that has ended.
func (o *owner) post(f func()) bool {
	select {
	case o.events <- f:
		return true
	case <-o.gone:
		return false
	}
}

func (o *owner) run(done <-chan struct{}) {
	defer close(o.gone)
	clock := time.NewTimer(0)
	defer clock.Stop()
	for {
		var first func()
		if len(o.later) == 0 {
			clock.Reset(o.timers.next(time.Since(o.start)))
			select {
			case first = <-o.events:
			case <-clock.C:
			case <-done:
				return
			}
		}
		if o.lim.Gather > 0 {
			clock.Reset(max(0, o.now+o.lim.Gather-time.Since(o.start)))
			select {
			case <-clock.C:
			case <-done:
				return
			}
		}
		o.batch(first)
	}
}

// batch handles what has come in under one reading of the clock, then sends what the module wants sent.
func (o *owner) batch(first func()) {
	o.now = time.Since(o.start)
	o.m.At(o.now)
	ready := o.later
	o.later = nil
	for _, f := range ready {
		o.guard(f)
	}
	if first != nil {
		o.guard(first)
	}
	for range o.lim.Batch {
		select {
		case f := <-o.events:
			o.guard(f)
			continue
		default:
		}
		break
	}
	for f := o.timers.due(o.now); f != nil; f = o.timers.due(o.now) {
		o.guard(f)
	}
	o.guard(o.flush)
}

// guard keeps a panic from ending the process: every scan in hand is answered, and the module starts anew.
func (o *owner) guard(f func()) {
	defer func() {
		e := recover()
		if e == nil {
			return
		}
		o.log.Error("panic in a step", zap.Any("panic", e), zap.ByteString("stack", debug.Stack()))
		o.restart()
	}()
	f()
}

func (o *owner) restart() {
	o.later, o.out, o.timers = nil, nil, timers{}
	for _, s := range o.book.scans {
		s.reply <- answer{kind: abandoned}
	}
	last := o.book.lastID // old ids may still be heard of
	o.book = newBook()
	o.book.lastID = last
	for _, s := range o.fleet.srvs {
		s.live = 0
		for _, l := range s.lanes {
			clear(l.out)
			l.retire()
		}
	}
	o.m = brain.New(o.set.Brain, o, o.now)
	o.m.At(o.now)
	o.relist()
	o.sweep()
	o.report()
	if o.stopAt > 0 {
		o.stop(o.stopAt - o.now)
	}
}

// Wake and Subscribe are actions of the module.
func (o *owner) Wake(at time.Duration, token uint64) {
	o.timers.add(at, func() { o.m.Woke(token) })
}

func (o *owner) Subscribe() {
	if o.ask != nil {
		o.ask()
	}
}

// Answered, Told, Closing and Closed come from the connections' goroutines.
func (l *lane) Answered(_ *link.Conn, a proto.Answer, more bool) {
	l.o.post(func() { l.o.answered(l, a, more) })
}
func (l *lane) Told(_ *link.Conn, seqs []uint64) { l.o.post(func() { l.o.givenUp(l, seqs) }) }
func (l *lane) Closing(_ *link.Conn, why error)  { l.o.post(func() { l.o.closing(l, why) }) }
func (l *lane) Closed(_ *link.Conn, heard bool)  { l.o.post(func() { l.o.closed(l, heard) }) }

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
