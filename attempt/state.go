package attempt

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"peathollow/policy"
)

// state.go exposes the state in flight to package explore, which must recognize two states that behave alike as the same,
// and to checks that compare the state with what passed on the connections. Nothing in this file changes the state.

// StateLabels gives the searchers, shards, scans and connections of a state canonical labels. Two states that differ only in
// which searcher or shard is which have the same encoding under some labelling.
type StateLabels struct {
	Searchers      []string                                                        // in the order in which they are encoded
	Addr           func(addr string) byte                                          // label of an address
	Shard          func(shard int) int                                             // label of a shard
	Scan           func(s *Scan) int                                               // label of a scan
	AppendConn     func(b []byte, c TransportConn) []byte                          // appends the state of the connection itself
	AnswerPossible func(c TransportConn, wireID string, seq uint64, due bool) bool // an answer may come; seq: frame in flight, or 0
	ValueReceived  func(value string, shard int, s *Scan, step int) bool           // whether the value was received for the part
	LatencyMatters bool                                                            // whether the policy uses the latency of attempts
}

// EncodeState appends an encoding of everything that affects later behaviour, and nothing else. Times are relative to now; what
// no longer has an effect is left out, and so is the order of elements kept as a set. Two things are not encoded: since when a
// connection is idle, and the counters for the log. Callers that depend on those must add them.
func (c *Coordinator) EncodeState(b []byte, now time.Duration, labels *StateLabels) []byte {
	e := &encoder{buf: b, now: now, coordinator: c, labels: labels}
	for _, name := range labels.Searchers {
		i, ok := c.searchers.byName[name]
		if e.flag(ok); !ok {
			continue
		}
		s := c.searchers.entries[i]
		e.byte(byte(s.host.State))
		e.byte(e.labels.Addr(s.host.Addr))
		e.int(s.inFlight)
		e.byte(byte(len(s.connections)))
		for _, conn := range s.connections {
			e.connection(conn)
		}
	}
	scans := slices.SortedFunc(maps.Values(c.pending.scans), func(x, y *Scan) int {
		return cmp.Compare(labels.Scan(x), labels.Scan(y))
	})
	e.byte(byte(len(scans)))
	for _, s := range scans {
		e.byte(byte(labels.Scan(s)))
		e.byte(byte(s.step))
		e.flag(s.firstStepComplete)
		var firstStep uint64
		for _, shard := range s.firstStepShards {
			firstStep |= 1 << labels.Shard(shard)
		}
		e.int(int(firstStep))
	}
	parts := slices.SortedFunc(maps.Values(c.pending.parts), e.comparePartsByLabel)
	e.byte(byte(len(parts)))
	for _, p := range parts {
		e.part(p)
	}
	e.byte(byte(len(c.unsent)))
	for _, q := range c.unsent {
		e.ref(q.part)
		e.byte(byte(q.index))
	}
	e.byte(byte(len(c.deferred)))
	for _, t := range c.deferred {
		e.task(t)
	}
	e.timers()
	e.int(c.pending.open)
	if e.flag(c.stopAt > 0); c.stopAt > 0 {
		e.time(c.stopAt)
	}
	return e.buf
}

// encoder writes the canonical encoding of a state.
type encoder struct {
	buf         []byte
	now         time.Duration // may be later than the last batch
	coordinator *Coordinator
	labels      *StateLabels
}

func (e *encoder) byte(x byte)          { e.buf = append(e.buf, x) }
func (e *encoder) int(x int)            { e.buf = binary.AppendVarint(e.buf, int64(x)) }
func (e *encoder) time(t time.Duration) { e.buf = binary.AppendVarint(e.buf, int64(t-e.now)) }

func (e *encoder) flag(x bool) {
	if x {
		e.byte(1)
	} else {
		e.byte(0)
	}
}

// comparePartsByLabel and ref identify a part by its scan, its step and its shard.
func (e *encoder) comparePartsByLabel(a, b *part) int {
	return cmp.Or(cmp.Compare(e.labels.Scan(a.scan), e.labels.Scan(b.scan)), cmp.Compare(len(a.wireID), len(b.wireID)),
		cmp.Compare(e.labels.Shard(a.shard), e.labels.Shard(b.shard)))
}

func (e *encoder) ref(p *part) {
	e.byte(byte(e.labels.Scan(p.scan)))
	e.byte(byte(len(p.wireID)))
	e.byte(byte(e.labels.Shard(p.shard)))
}

func (e *encoder) connection(conn *Connection) {
	var bits byte
	for i, set := range []bool{conn.retired, conn.closing, conn.closed} {
		if set {
			bits |= 1 << i
		}
	}
	e.byte(bits)
	e.byte(byte(conn.lossOutcome))
	inFlight := slices.SortedFunc(maps.Keys(conn.inFlight), e.comparePartsByLabel)
	e.byte(byte(len(inFlight)))
	for _, p := range inFlight {
		e.ref(p)
		e.byte(byte(conn.inFlight[p]))
	}
	// The time of the last data received matters only compared with the start of attempts in flight; later attempts start
	// after it or at the same instant.
	for _, p := range inFlight {
		e.flag(conn.lastReceived < p.attempts[conn.inFlight[p]].startedAt)
	}
	e.flag(conn.lastReceived == e.now)
	cancels := slices.Sorted(maps.Keys(conn.cancels))
	e.byte(byte(len(cancels)))
	for _, seq := range cancels {
		cancelled := conn.cancels[seq]
		a := &cancelled.part.attempts[cancelled.index]
		e.ref(cancelled.part)
		e.byte(byte(cancelled.index))
		e.flag(a.inFlight)
		e.byte(byte(a.outcome))
	}
	// Until the ring is full it is a set: the order in which entries are replaced does not matter yet.
	recent := slices.Clone(conn.history.recent)
	recent = slices.DeleteFunc(recent, func(past pastPart) bool {
		var seq uint64
		if p, index, ok := conn.findByWireID(past.wireID); ok {
			seq = p.attempts[index].seq
		}
		return !e.labels.AnswerPossible(conn.transport, past.wireID, seq, past.answerDue)
	})
	if len(conn.history.recent) < e.coordinator.limits.AnswerHistory {
		slices.SortFunc(recent, func(x, y pastPart) int {
			return cmp.Or(cmp.Compare(e.wireNumber(x.wireID), e.wireNumber(y.wireID)),
				cmp.Compare(boolToInt(x.answerDue), boolToInt(y.answerDue)))
		})
	}
	e.byte(byte(len(recent)))
	for _, past := range recent {
		e.int(e.wireNumber(past.wireID))
		e.flag(past.answerDue)
		e.flag(e.coordinator.pending.scans[past.scanID] != nil)
	}
	e.buf = e.labels.AppendConn(e.buf, conn.transport)
}

// wireNumber returns a number for a wire id that follows the label of its shard. A wire id is "scan.shard", with ".fetch"
// appended in a second step.
func (e *encoder) wireNumber(wireID string) int {
	scan, shard, dots := 0, 0, 0
	for _, c := range []byte(wireID) {
		switch {
		case c == '.':
			dots++
		case dots == 0:
			scan = scan*31 + int(c)
		case dots == 1:
			shard = shard*10 + int(c-'0')
		}
	}
	return (scan%10007*4+dots)*64 + e.labels.Shard(shard)
}

func boolToInt(x bool) int {
	if x {
		return 1
	}
	return 0
}

func (e *encoder) part(p *part) {
	e.ref(p)
	e.flag(p.hasValue)
	e.flag(p.ended)
	e.flag(p.hasValue && !p.ended && e.labels.ValueReceived(p.value, p.shard, p.scan, p.scan.step))
	e.flag(e.coordinator.pending.byWireID[p.wireID] == p)
	e.byte(byte(len(p.attempts)))
	for i := range p.attempts {
		e.attempt(p, &p.attempts[i])
	}
}

func (e *encoder) attempt(p *part, a *attempt) {
	e.flag(a.inFlight)
	if e.flag(a.neverRan); !a.inFlight {
		if e.coordinator.settings.Policy.Types[p.scan.class].Effect == policy.IdempotentByKey {
			e.time(a.startedAt)
		}
		if !e.coordinator.repeatable(p) { // its connection carries the part no more
			e.byte(byte(slices.Index(e.labels.Searchers, a.searcher.host.Name)))
			e.byte(byte(slices.Index(a.searcher.connections, a.conn)))
		}
		return // nothing else of an attempt that returned is used any more
	}
	e.byte(byte(a.outcome))
	e.byte(byte(slices.Index(e.labels.Searchers, a.searcher.host.Name)))
	i, ok := e.coordinator.searchers.byName[a.searcher.host.Name]
	e.flag(ok && e.coordinator.searchers.entries[i] == a.searcher)
	if e.labels.LatencyMatters || e.coordinator.settings.Policy.Types[p.scan.class].Effect == policy.IdempotentByKey {
		e.time(a.startedAt)
	}
	switch {
	case a.conn == nil:
		e.byte(255)
	case a.conn.closed:
		e.byte(254)
		e.byte(byte(a.conn.lossOutcome))
	default:
		e.byte(byte(slices.Index(a.searcher.connections, a.conn)))
	}
}

func (e *encoder) task(t task) {
	e.byte(byte(t.kind))
	switch t.kind {
	case policyWake:
		e.int(int(t.token))
	case attemptTimeout, keyWindowEnd, attemptDone:
		e.ref(t.part)
		e.byte(byte(t.index))
		e.byte(byte(t.outcome))
		e.flag(t.part.attempts[t.index].inFlight)
	case secondStep:
		e.byte(byte(e.labels.Scan(t.scan)))
		e.flag(e.coordinator.pending.scans[t.scan.id] == t.scan)
		var chosen uint64
		for _, p := range t.scan.secondStepParts {
			chosen |= 1 << e.labels.Shard(p.shard)
		}
		e.int(int(chosen))
	}
}

// noEffect reports whether a timer no longer does anything, or nothing that is part of the encoded state.
func (t task) noEffect() bool {
	switch t.kind {
	case attemptTimeout:
		a := &t.part.attempts[t.index]
		return !a.inFlight || a.outcome != policy.Expired
	case keyWindowEnd:
		a := &t.part.attempts[t.index]
		return !a.inFlight || a.conn == nil || a.conn.closing || a.conn.transport.Written(a.seq)
	case idleSweep, counterLog:
		return true
	}
	return false
}

func (e *encoder) timers() {
	var remaining []timer
	for _, t := range e.coordinator.timers.heap {
		if !t.noEffect() {
			remaining = append(remaining, t)
		}
	}
	slices.SortFunc(remaining, func(a, b timer) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.number, b.number)) })
	e.byte(byte(len(remaining)))
	for _, t := range remaining {
		e.time(t.at)
		e.task(t.task)
	}
}

// NextTimer returns the time of the next timer that has an effect. includeWakes: wakes of the policy count.
func (c *Coordinator) NextTimer(includeWakes bool) (at time.Duration, ok bool) {
	for _, t := range c.timers.heap {
		if !t.noEffect() && (includeWakes || t.kind != policyWake) && (!ok || t.at < at) {
			at, ok = t.at, true
		}
	}
	return at, ok
}

// Pending reports whether results are deferred to the next batch, and whether attempts wait for the end of this one.
func (c *Coordinator) Pending() (results, dispatches bool) {
	return len(c.deferred) > 0, len(c.unsent) > 0
}

// Usage counts what is in flight. Its fields appear in violation reports. Wires counts wire ids in use, Open scans and parts
// without a value, Lanes connections, Live attempts in flight, and Places known searchers. Least is the lowest number of
// attempts in flight at any searcher, and must not be negative.
type Usage struct{ Scans, Parts, Wires, Open, Lanes, Live, Least, Places int }

// Usage returns the current counts.
func (c *Coordinator) Usage() Usage {
	usage := Usage{Scans: len(c.pending.scans), Parts: len(c.pending.parts), Wires: len(c.pending.byWireID), Open: c.pending.open,
		Lanes: c.searchers.connections, Places: len(c.searchers.byName)}
	for _, s := range c.searchers.entries {
		usage.Live += s.inFlight
		usage.Least = min(usage.Least, s.inFlight)
	}
	return usage
}

// EachInFlight calls yield for each attempt in flight on a connection.
func (conn *Coordinator) EachInFlight(yield func(conn TransportConn, seq uint64, wireID string)) {
	for _, s := range conn.searchers.entries {
		for _, conn := range s.connections {
			for p, index := range conn.inFlight {
				yield(conn.transport, p.attempts[index].seq, p.wireID)
			}
		}
	}
}

// AttemptFrame returns the connection and frame of an attempt, and the part's wire id. ok is false if the attempt is not known
// or was never sent.
func (c *Coordinator) AttemptFrame(id uint64, index int) (conn TransportConn, seq uint64, wireID string, ok bool) {
	p := c.pending.parts[id]
	if p == nil || index >= len(p.attempts) || p.attempts[index].conn == nil {
		return nil, 0, "", false
	}
	return p.attempts[index].conn.transport, p.attempts[index].seq, p.wireID, true
}

// SearcherName returns the name of the searcher with the given index.
func (c *Coordinator) SearcherName(i int) string { return c.searchers.entries[i].host.Name }
