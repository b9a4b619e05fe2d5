package attempt

import (
	"maps"
	"slices"
	"time"

	"peathollow/policy"
)

// CopyBindings replaces what the original is bound to.
type CopyBindings struct {
	Transport Transport
	NewPolicy func(policy.Actions, time.Duration) Policy              // makes a policy after a panic
	Conn      func(was TransportConn, conn *Connection) TransportConn // returns the copy's counterpart of a connection
	Reply     func(was, is *Scan) func(Answer)                        // returns the Reply of the copied scan
}

// Copy returns an independent copy of the state, which shares only the settings with the original. newPolicy makes its
// policy, which acts on the copy. Package explore continues from copies with every possible next event, and checks that a
// copy behaves like the original by replaying the whole run.
func (c *Coordinator) Copy(bindings CopyBindings, newPolicy func(act policy.Actions) Policy) *Coordinator {
	clone := &Coordinator{limits: c.limits, settings: c.settings, transport: bindings.Transport, start: c.start, now: c.now,
		newPolicy: bindings.NewPolicy, stopAt: c.stopAt, listVersion: c.listVersion}
	clone.flushUnsent = clone.flush
	clone.runNext = func() { clone.do(clone.nextTask) }
	cp := &copier{clone: clone, bindings: bindings, parts: map[*part]*part{},
		connections: map[*Connection]*Connection{}, searchers: map[*searcher]*searcher{}, scans: map[*Scan]*Scan{}}
	clone.searchers = searcherTable{byName: maps.Clone(c.searchers.byName),
		freeIndexes: slices.Clone(c.searchers.freeIndexes), connections: c.searchers.connections}
	for _, s := range c.searchers.entries {
		clone.searchers.entries = append(clone.searchers.entries, cp.searcher(s))
	}
	clone.pending = newPending()
	clone.pending.lastID, clone.pending.lastScanNumber, clone.pending.open, clone.pending.counters =
		c.pending.lastID, c.pending.lastScanNumber, c.pending.open, c.pending.counters
	for id, s := range c.pending.scans {
		clone.pending.scans[id] = cp.scan(s)
	}
	for id, s := range c.pending.byRequestID {
		clone.pending.byRequestID[id] = cp.scan(s)
	}
	for id, p := range c.pending.parts {
		clone.pending.parts[id] = cp.part(p)
	}
	for id, p := range c.pending.byWireID {
		clone.pending.byWireID[id] = cp.part(p)
	}
	for _, t := range c.deferred {
		clone.deferred = append(clone.deferred, cp.task(t))
	}
	clone.timers.lastNumber = c.timers.lastNumber
	for _, t := range c.timers.heap {
		clone.timers.heap = append(clone.timers.heap, timer{t.at, t.number, cp.task(t.task)})
	}
	for _, q := range c.unsent {
		clone.unsent = append(clone.unsent, queuedAttempt{cp.part(q.part), q.index})
	}
	clone.policy = newPolicy(clone)
	return clone
}

// copier maps the objects of the original to their copies, so that each is copied once.
type copier struct {
	clone       *Coordinator
	bindings    CopyBindings
	parts       map[*part]*part
	connections map[*Connection]*Connection
	searchers   map[*searcher]*searcher
	scans       map[*Scan]*Scan
}

func (cp *copier) task(t task) task {
	t.part, t.scan = cp.part(t.part), cp.scan(t.scan)
	return t
}

func (cp *copier) partList(parts []*part) (copied []*part) {
	for _, p := range parts {
		copied = append(copied, cp.part(p))
	}
	return copied
}

func (cp *copier) scan(s *Scan) *Scan {
	if s == nil {
		return nil
	}
	if copied := cp.scans[s]; copied != nil {
		return copied
	}
	copied := new(Scan)
	*copied = *s
	cp.scans[s] = copied
	copied.Reply = cp.bindings.Reply(s, copied)
	copied.parts, copied.secondStepParts, copied.firstStepShards =
		cp.partList(s.parts), cp.partList(s.secondStepParts), slices.Clone(s.firstStepShards)
	return copied
}

func (cp *copier) part(p *part) *part {
	if p == nil {
		return nil
	}
	if copied := cp.parts[p]; copied != nil {
		return copied
	}
	copied := new(part)
	*copied = *p
	cp.parts[p] = copied
	copied.scan = cp.scan(p.scan)
	copied.attempts = slices.Clone(p.attempts)
	for i := range copied.attempts {
		a := &copied.attempts[i]
		a.searcher, a.conn = cp.searcher(a.searcher), cp.connection(a.conn)
	}
	return copied
}

func (cp *copier) searcher(s *searcher) *searcher {
	if copied := cp.searchers[s]; copied != nil {
		return copied
	}
	copied := &searcher{host: s.host, inFlight: s.inFlight}
	cp.searchers[s] = copied
	for _, conn := range s.connections {
		copied.connections = append(copied.connections, cp.connection(conn))
	}
	return copied
}

func (cp *copier) connection(conn *Connection) *Connection {
	if conn == nil {
		return nil
	}
	if copied := cp.connections[conn]; copied != nil {
		return copied
	}
	copied := new(Connection)
	*copied = *conn
	cp.connections[conn] = copied
	copied.coordinator, copied.searcher = cp.clone, cp.searcher(conn.searcher)
	copied.transport = cp.bindings.Conn(conn.transport, copied)
	copied.inFlight, copied.cancels = make(map[*part]int, len(conn.inFlight)), make(map[uint64]cancelledAttempt, len(conn.cancels))
	for p, index := range conn.inFlight {
		copied.inFlight[cp.part(p)] = index
	}
	for seq, cancelled := range conn.cancels {
		copied.cancels[seq] = cancelledAttempt{cp.part(cancelled.part), cancelled.index}
	}
	copied.history.recent = slices.Clone(conn.history.recent)
	return copied
}
