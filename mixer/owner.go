package mixer

import (
	"context"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"peathollow/attempt"
	"peathollow/internal/config"
	"peathollow/internal/link"
	"peathollow/internal/proto"
	"peathollow/policy"
)

// owner is the one goroutine that drives the life of all that is in hand, and the module with it. Others hand it
// closures through post; what is wanted done on sockets is queued and never waited for.
type owner struct {
	*attempt.Coordinator
	lim   Limits
	log   *zap.Logger
	ctx   context.Context // its end closes all connections to searchers
	start time.Time
	ask   func()
	step  func(func()) // guard, made into a value once

	events  chan func()
	gone    chan struct{}      // closed when the owner has ended
	targets func([]proto.Host) // nil where no duties are shared
}

func newOwner(ctx context.Context, c *config.Config, lim Limits, log *zap.Logger, ask func()) *owner {
	o := &owner{lim: lim, log: log, ctx: ctx, start: time.Now(), ask: ask,
		events: make(chan func(), lim.Events), gone: make(chan struct{})}
	o.step = o.guard
	o.Coordinator = attempt.New(&c.Settings, lim.Attempt, outside{o}, o.start)
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
		if wait := o.NextDelay(time.Since(o.start)); wait > 0 {
			clock.Reset(wait)
			select {
			case first = <-o.events:
			case <-clock.C:
			case <-done:
				return
			}
		}
		if o.lim.Gather > 0 {
			clock.Reset(max(0, o.Now()+o.lim.Gather-time.Since(o.start)))
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
	o.BeginBatch(time.Since(o.start), o.step)
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
	o.EndBatch(o.step)
}

// guard keeps a panic from ending the process: every scan in hand is answered, and the module starts anew.
func (o *owner) guard(f func()) {
	defer func() {
		e := recover()
		if e == nil {
			return
		}
		o.log.Error("panic in a step", zap.Any("panic", e), zap.ByteString("stack", debug.Stack()))
		o.Restart()
	}()
	f()
}

// outside is the port of what is in hand: sockets and the log.
type outside struct{ o *owner }

func (p outside) Open(addr string, l *attempt.Connection) attempt.TransportConn {
	return link.Open(p.o.ctx, addr, p.o.lim.Link, lane{p.o, l})
}

func (p outside) RequestList() {
	if p.o.ask != nil {
		p.o.ask()
	}
}

func (p outside) PartsLost(searcher string, parts int, why error) {
	p.o.log.Warn("connection lost", zap.String("searcher", searcher), zap.Int("parts", parts), zap.Error(why))
}

func (p outside) PartsUnconfirmed(searcher string, parts int) {
	p.o.log.Warn("no word of what was out", zap.String("searcher", searcher), zap.Int("parts", parts))
}

func (p outside) ListApplied(l proto.List) {
	p.o.log.Info("list", zap.Int64("version", l.Version), zap.Bool("whole", l.Whole), zap.Int("entries", len(l.Hosts)))
	if p.o.targets != nil {
		p.o.targets(p.o.Hosts())
	}
}

func (p outside) ListUnavailable() { p.o.log.Warn("discovery does not answer") }

// LogCounters writes one line however much ended: the log counts as memory.
func (p outside) LogCounters(t attempt.Counters) {
	ends := map[string]int{}
	for i, name := range []string{"pass", "fault", "no room", "too slow", "no route", "cut", "undone", "stale"} {
		if n := t.Parts[policy.Outcome(i)]; n > 0 {
			ends[name] = n
		}
	}
	p.o.log.Info("tally", zap.Int("completed", t.Scans[attempt.Completed]), zap.Int("throttled", t.Scans[attempt.Throttled]),
		zap.Int("abandoned", t.Scans[attempt.Abandoned]), zap.Int("left", t.ClientsLeft), zap.Int("full", t.Rejected),
		zap.Int("unfit", t.Scans[attempt.Invalid]), zap.Int("doubt", t.Unconfirmed), zap.Int("open", t.Open),
		zap.Int("connections", t.Connections), zap.Any("dispatches", ends))
}

// lane hands the owner what comes from a connection's goroutines.
type lane struct {
	o *owner
	l *attempt.Connection
}

func (l lane) Answered(_ *link.Conn, a proto.Answer, more bool) {
	l.o.post(func() { l.o.Coordinator.AnswerReceived(l.l, a, more) })
}
func (l lane) Told(_ *link.Conn, seqs []uint64) {
	l.o.post(func() { l.o.Coordinator.CancelsConfirmed(l.l, seqs) })
}
func (l lane) Closing(_ *link.Conn, why error) {
	l.o.post(func() { l.o.Coordinator.ConnectionClosing(l.l, why) })
}
func (l lane) Closed(_ *link.Conn, heard bool) {
	l.o.post(func() { l.o.Coordinator.ConnectionClosed(l.l, heard) })
}
