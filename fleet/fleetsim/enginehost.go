package fleetsim

import (
	"math"
	"time"

	"peathollow/fleet/overload"
	"peathollow/lab/reader"
	"peathollow/policy"
)

// engineHost runs the policy engine of one incarnation of a mixer, carries out its actions and holds the scans in flight.
type engineHost struct {
	n          *Node
	generation int
	engine     *policy.Engine
	lastID     uint64
	scans      map[uint64]*scan
	parts      map[uint64]*part
	meter      *overload.Meter
	capacity   float64 // by the fleet's latest advice, in parts per second
}

type scan struct {
	id        uint64
	class     int
	arrivedAt time.Duration
	done      func(ok bool, retryAfter time.Duration)
	parts     []uint64
}

type part struct {
	scan     *scan
	shard    int
	attempts []*attempt
}

type attempt struct {
	searcher int
	sentAt   time.Duration
	id       uint64 // of the part at the searcher
	inFlight bool
	deadline time.Duration
}

func newEngineHost(n *Node) *engineHost {
	l := n.sim.workload
	h := &engineHost{n: n, generation: n.generation, scans: map[uint64]*scan{}, parts: map[uint64]*part{},
		capacity: math.Inf(1), meter: overload.NewMeter(l.layout)}
	settings := policy.Settings{Seed: n.sim.settings.Seed*1000 + n.Inc, Instance: n.index, Mixers: n.sim.settings.Mixers,
		Shards: l.config.Searchers, ShardSpan: 2, PartsPerCall: 1, MaxAttempts: 3, MayHedge: true,
		RetryAdvice: true, MaxRetryAfter: 5 * time.Second, MayCancel: true,
		Granularity: 5 * time.Millisecond, ListInterval: 10 * time.Second, WarmUp: l.config.ColdStart.WarmUp,
		OverloadSpan: l.config.ColdStart.Span, ColdShare: l.config.ColdStart.Share, OverloadMultiple: l.config.ColdStart.Multiple}
	if l.config.ColdStart.UnknownToMixers {
		settings.WarmUp, settings.OverloadSpan = 0, 0
	}
	for _, b := range scanValue {
		settings.Types = append(settings.Types, policy.TableType{Target: target, Timeout: timeout, Benefit: b, Need: 1, Floor: 1})
	}
	for _, t := range l.config.Tenants {
		settings.Quotas = append(settings.Quotas, t.Quota)
	}
	h.engine = policy.New(settings, h, 0)
	h.engine.ListBegin(policy.Full)
	for i := range l.searchers {
		startedAt := l.starts[i].startedAt
		if startedAt != policy.LongAgo {
			startedAt -= n.startedAt
		}
		h.engine.ListEntry(i, policy.Ready, 1, startedAt, i)
	}
	h.engine.ListEnd(policy.Full)
	return h
}

// searcherStarted updates the engine's searcher list after a searcher was replaced.
func (h *engineHost) searcherStarted(i int, startedAt time.Duration) {
	h.engine.ListBegin(policy.Changes)
	h.engine.ListEntry(i, policy.Ready, 1, startedAt-h.n.startedAt, i)
	h.engine.ListEnd(policy.Changes)
}

// process passes an event to the engine, now or at the end of its process's pause. It drops the event if that incarnation
// has ended.
func (h *engineHost) process(f func()) {
	if h.n.up && h.n.generation == h.generation {
		h.n.process(func() {
			h.engine.Advance(h.now())
			f()
		})
	}
}

func (h *engineHost) now() time.Duration { return h.n.sim.now - h.n.startedAt }

func (h *engineHost) startScan(c *client, retry bool, done func(bool, time.Duration)) {
	h.engine.Advance(h.now())
	h.lastID++
	s := &scan{id: h.lastID, class: c.class, arrivedAt: h.n.sim.now, done: done}
	h.scans[s.id] = s
	h.meter.ScanArrived(c.class, c.tenant, partsPerScan, retry)
	h.engine.Scan(s.id, s.id, c.class, c.tenant, timeout, 0, partsPerScan, retry)
	for range partsPerScan {
		if h.scans[s.id] == nil {
			return
		}
		h.lastID++
		p := &part{scan: s, shard: h.n.sim.workload.rng.IntN(h.n.sim.workload.config.Searchers)}
		h.parts[h.lastID], s.parts = p, append(s.parts, h.lastID)
		h.engine.Part(h.lastID, s.id, p.shard, 1.0/partsPerScan)
	}
	h.n.sim.schedule(timeout+50*time.Millisecond, func() {
		if h.scans[s.id] == s && h.n.up && h.n.generation == h.generation && h.n.sim.now >= h.n.pausedUntil+timeout {
			h.n.sim.violation("scans: %s sent no final answer in time", h.n.Name)
		}
	})
}

// endScan sends the final answer of a scan. There must be exactly one.
func (h *engineHost) endScan(id uint64, outcome overload.ScanOutcome, retryAfter time.Duration) {
	s := h.scans[id]
	if s == nil {
		h.n.sim.violation("scans: %s answered a scan twice", h.n.Name)
		return
	}
	delete(h.scans, id)
	took := h.n.sim.now - s.arrivedAt
	h.meter.ScanEnded(outcome, took, target)
	h.n.sim.schedule(0, func() { s.done(outcome == overload.Completed && took <= target, retryAfter) })
}

// Dispatch sends a part to a searcher. This method and the exported ones below implement policy.Actions.
func (h *engineHost) Dispatch(id uint64, searcher int, until time.Duration) {
	p := h.parts[id]
	if h.scans[p.scan.id] != p.scan {
		h.n.sim.violation("scans: %s sent a part after its scan's final answer", h.n.Name)
	}
	a := &attempt{searcher: searcher, sentAt: h.n.sim.now, inFlight: true, deadline: until + h.n.startedAt}
	number := len(p.attempts)
	p.attempts = append(p.attempts, a)
	l := h.n.sim.workload
	h.n.sim.schedule(oneWayDelay/2, func() {
		var ok bool
		a.id, ok = l.sendPart(searcher, a.deadline, func(outcome reader.Outcome) {
			h.attemptEnded(id, number, map[reader.Outcome]policy.Outcome{reader.Served: policy.Succeeded, reader.Rejected: policy.Overloaded,
				reader.Expired: policy.TimedOut, reader.Lost: policy.ConnectionLost}[outcome])
		})
		if !ok {
			h.n.sim.schedule(oneWayDelay/2, func() { h.attemptEnded(id, number, policy.Unreachable) })
		}
	})
	h.n.sim.schedule(max(0, a.deadline-h.n.sim.now), func() { h.attemptEnded(id, number, policy.TimedOut) })
}

// attemptEnded reports the end of an attempt to the engine. Only the first report counts.
func (h *engineHost) attemptEnded(id uint64, number int, outcome policy.Outcome) {
	h.process(func() {
		p := h.parts[id]
		if p == nil || !p.attempts[number].inFlight {
			return
		}
		a := p.attempts[number]
		a.inFlight = false
		if outcome == policy.Succeeded {
			h.meter.PartServed()
		}
		h.engine.Returned(id, number, outcome, h.n.sim.now-a.sentAt)
	})
}

// Cancel cancels an attempt at its searcher.
func (h *engineHost) Cancel(id uint64, number int) {
	a := h.parts[id].attempts[number]
	h.n.sim.schedule(oneWayDelay/2, func() {
		if l := h.n.sim.workload; l.inFlight[a.id] != nil && l.searchers[a.searcher].Cancel(h.n.sim.now, a.id) {
			delete(l.inFlight, a.id)
			l.scheduleStep(a.searcher)
			h.n.sim.schedule(oneWayDelay/2, func() { h.attemptEnded(id, number, policy.Cancelled) })
		}
	})
}

// Complete ends a scan as completed.
func (h *engineHost) Complete(id uint64, _ bool) { h.endScan(id, overload.Completed, 0) }

// Throttle ends a scan as throttled.
func (h *engineHost) Throttle(id uint64, retryAfter time.Duration) {
	if h.n.hasFault(faultSilence) && id%10 == 0 {
		return
	}
	h.endScan(id, overload.Throttled, retryAfter)
	if h.n.hasFault(faultAnswer) {
		h.endScan(id, overload.Throttled, retryAfter)
	}
	if h.n.hasFault(faultAfter) {
		for partID, p := range h.parts {
			if p.scan.id == id {
				h.Dispatch(partID, 0, h.now())
				return
			}
		}
	}
}

// Abandon ends a scan as abandoned.
func (h *engineHost) Abandon(id uint64) { h.endScan(id, overload.Failed, 0) }

// Renew does nothing: simulated connections are never renewed.
func (h *engineHost) Renew(int) {}

// Subscribe does nothing: the simulation itself updates the searcher list.
func (h *engineHost) Subscribe() {}

// Gossip does nothing: the mixers' engines exchange no gossip here.
func (h *engineHost) Gossip([]byte) {}

// Wake schedules a wake-up of the engine.
func (h *engineHost) Wake(at time.Duration, token uint64) {
	h.n.sim.schedule(max(0, at+h.n.startedAt-h.n.sim.now), func() { h.process(func() { h.engine.Woke(token) }) })
}

// dropScans drops all scans when the process ends. Searchers may still serve their parts, but no answer is sent.
func (h *engineHost) dropScans() { h.scans = map[uint64]*scan{} }

// publishReport publishes the load since the last report, as rates, when a report is due.
func (n *Node) publishReport() {
	span, ok := n.ReportDue()
	if !ok {
		return
	}
	if err := n.SetReport(n.host.meter.TakeReport(span)); err != nil {
		n.sim.violation("%s cannot publish its load report: %v", n.Name, err)
	}
}

// applyAdvice passes the admitted shares of the fleet's advice to the engine.
func (h *engineHost) applyAdvice() {
	if h.n.sim.settings.Shared {
		var admitted []float64
		admitted, h.n.Condition, h.capacity = h.n.Advice()
		h.engine.SetAdmission(admitted)
	}
}
