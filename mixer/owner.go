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

// owner is the event loop: the one goroutine that drives the coordinator of all scans in flight, and with it the policy.
// Other goroutines pass it closures through post. Work on sockets is queued and never waited for.
type owner struct {
	*attempt.Coordinator
	limits      Limits
	log         *zap.Logger
	ctx         context.Context // all connections to searchers close when it ends
	start       time.Time
	requestList func()
	guardFunc   func(func()) // o.guard as a func value, allocated once

	events  chan func()
	ended   chan struct{}      // closed when run has returned
	onHosts func([]proto.Host) // receives the hosts of each list; nil if no duties are shared
}

func newOwner(ctx context.Context, c *config.Config, limits Limits, log *zap.Logger, requestList func()) *owner {
	o := &owner{limits: limits, log: log, ctx: ctx, start: time.Now(), requestList: requestList,
		events: make(chan func(), limits.EventQueue), ended: make(chan struct{})}
	o.guardFunc = o.guard
	o.Coordinator = attempt.New(&c.Settings, limits.Attempt, transport{o}, o.start)
	return o
}

// post queues an event for the owner. It blocks while the queue is full, and returns false once the owner has ended.
func (o *owner) post(f func()) bool {
	select {
	case o.events <- f:
		return true
	case <-o.ended:
		return false
	}
}

func (o *owner) run(done <-chan struct{}) {
	defer close(o.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var first func()
		if wait := o.NextDelay(time.Since(o.start)); wait > 0 {
			timer.Reset(wait)
			select {
			case first = <-o.events:
			case <-timer.C:
			case <-done:
				return
			}
		}
		if o.limits.GatherInterval > 0 {
			timer.Reset(max(0, o.Now()+o.limits.GatherInterval-time.Since(o.start)))
			select {
			case <-timer.C:
			case <-done:
				return
			}
		}
		o.runBatch(first)
	}
}

// runBatch handles the queued events under one clock reading, then sends the messages that the policy decided on.
func (o *owner) runBatch(first func()) {
	o.BeginBatch(time.Since(o.start), o.guardFunc)
	if first != nil {
		o.guard(first)
	}
	for range o.limits.MaxBatch {
		select {
		case f := <-o.events:
			o.guard(f)
			continue
		default:
		}
		break
	}
	o.EndBatch(o.guardFunc)
}

// guard recovers from a panic in f: every scan in flight is answered, and the policy restarts with empty state.
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

// transport implements attempt.Transport with sockets and the log.
type transport struct{ owner *owner }

func (t transport) Open(addr string, conn *attempt.Connection) attempt.TransportConn {
	return link.Open(t.owner.ctx, addr, t.owner.limits.Link, connEvents{t.owner, conn})
}

func (t transport) RequestList() {
	if t.owner.requestList != nil {
		t.owner.requestList()
	}
}

func (t transport) PartsLost(searcher string, parts int, why error) {
	t.owner.log.Warn("connection lost", zap.String("searcher", searcher), zap.Int("parts", parts), zap.Error(why))
}

func (t transport) PartsUnconfirmed(searcher string, parts int) {
	t.owner.log.Warn("no word of what was out", zap.String("searcher", searcher), zap.Int("parts", parts))
}

func (t transport) ListApplied(l proto.List) {
	t.owner.log.Info("list", zap.Int64("version", l.Version), zap.Bool("whole", l.Full), zap.Int("entries", len(l.Hosts)))
	if t.owner.onHosts != nil {
		t.owner.onHosts(t.owner.Hosts())
	}
}

func (t transport) ListUnavailable() { t.owner.log.Warn("discovery does not answer") }

// LogCounters writes one line for any number of ended scans, since the log counts towards the memory limit.
func (t transport) LogCounters(counters attempt.Counters) {
	outcomes := map[string]int{}
	for i, name := range []string{"pass", "fault", "no room", "too slow", "no route", "cut", "undone", "stale"} {
		if n := counters.Parts[policy.Outcome(i)]; n > 0 {
			outcomes[name] = n
		}
	}
	t.owner.log.Info("tally", zap.Int("completed", counters.Scans[attempt.Completed]),
		zap.Int("throttled", counters.Scans[attempt.Throttled]), zap.Int("abandoned", counters.Scans[attempt.Abandoned]),
		zap.Int("left", counters.ClientsLeft),
		zap.Int("full", counters.Rejected), zap.Int("unfit", counters.Scans[attempt.Invalid]), zap.Int("doubt", counters.Unconfirmed),
		zap.Int("open", counters.Open), zap.Int("connections", counters.Connections), zap.Any("dispatches", outcomes))
}

// connEvents passes the events from a connection's goroutines to the owner.
type connEvents struct {
	owner *owner
	conn  *attempt.Connection
}

func (e connEvents) AnswerReceived(_ *link.Conn, a proto.Answer, more bool) {
	e.owner.post(func() { e.owner.Coordinator.AnswerReceived(e.conn, a, more) })
}
func (e connEvents) CancelsConfirmed(_ *link.Conn, seqs []uint64) {
	e.owner.post(func() { e.owner.Coordinator.CancelsConfirmed(e.conn, seqs) })
}
func (e connEvents) Closing(_ *link.Conn, why error) {
	e.owner.post(func() { e.owner.Coordinator.ConnectionClosing(e.conn, why) })
}
func (e connEvents) Closed(_ *link.Conn, heard bool) {
	e.owner.post(func() { e.owner.Coordinator.ConnectionClosed(e.conn, heard) })
}
