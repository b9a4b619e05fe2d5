package attempt

import (
	"errors"
	"slices"
	"time"

	"peathollow/internal/proto"
	"peathollow/policy"
)

// send.go sends attempts in frames and cancels them.

// queuedAttempt is an attempt that waits for the end of the batch to be sent.
type queuedAttempt struct {
	part  *part
	index int
}

func (q queuedAttempt) searcher() *searcher { return q.part.attempts[q.index].searcher }

// Dispatch implements policy.Actions. The attempt is sent at the end of the batch, in one frame with others to the searcher.
func (c *Coordinator) Dispatch(id uint64, searcherIndex int, deadline time.Duration) {
	p := c.pending.parts[id]
	if p == nil {
		return
	}
	s := c.searchers.entries[searcherIndex]
	p.attempts = append(p.attempts, attempt{searcher: s, startedAt: c.now, deadline: deadline, inFlight: true,
		outcome: policy.Expired})
	p.inFlight++
	s.inFlight++
	c.unsent = append(c.unsent, queuedAttempt{p, len(p.attempts) - 1})
}

// flush sends the attempts of the batch, grouped by searcher into frames of at most PartsPerCall parts.
func (c *Coordinator) flush() {
	for len(c.unsent) > 0 {
		target := c.unsent[0].searcher()
		var batch []queuedAttempt
		c.unsent = slices.DeleteFunc(c.unsent, func(q queuedAttempt) bool {
			if q.searcher() != target || len(batch) >= max(1, c.settings.Policy.PartsPerCall) {
				return false
			}
			batch = append(batch, q)
			return true
		})
		c.send(target, slices.DeleteFunc(batch, func(q queuedAttempt) bool { return q.part.obsolete(q.index) }))
	}
}

// obsolete reports whether an attempt was cancelled, or its step ended, within the batch that dispatched it.
func (p *part) obsolete(index int) bool {
	a := &p.attempts[index]
	return !a.inFlight || a.outcome != policy.Expired || p.ended
}

// send hands a group of attempts at one searcher to a connection, in one frame.
func (c *Coordinator) send(target *searcher, batch []queuedAttempt) {
	if len(batch) == 0 {
		return
	}
	conn := c.connectionFor(target, len(batch))
	for conn != nil && slices.ContainsFunc(batch, func(q queuedAttempt) bool { return conn.mayMisattribute(q.part) }) {
		conn.retire()
		conn = c.connectionFor(target, len(batch))
	}
	calls := make([]proto.Call, len(batch))
	for i, q := range batch {
		query := &q.part.scan.Query
		calls[i] = proto.Call{ID: q.part.wireID, Shard: q.part.shard, Text: query.Text,
			Deadline: c.start.Add(q.part.attempts[q.index].deadline)}
		if c.settings.Policy.Types[q.part.scan.class].Effect == policy.IdempotentByKey {
			calls[i].Key = query.Key
		}
		if q.part.scan.step > 0 {
			calls[i].From, calls[i].Whole = q.part.scan.firstStepShards, q.part.scan.firstStepComplete
		}
	}
	var seq uint64
	ok := false
	if conn != nil {
		seq, ok = conn.transport.Send(calls)
	}
	for _, q := range batch {
		if !ok { // no connection is available, or this one accepts no more frames: never sent
			c.deferReturned(q.part, q.index, policy.Unreachable)
			continue
		}
		a := &q.part.attempts[q.index]
		a.conn, a.seq = conn, seq
		conn.inFlight[q.part], conn.lastUsed = q.index, c.now
		c.timers.add(a.deadline, task{kind: attemptTimeout, part: q.part, index: int32(q.index)})
		if windowEnd, ok := c.windowEnd(q.part, q.index); ok {
			c.timers.add(windowEnd, task{kind: keyWindowEnd, part: q.part, index: int32(q.index)})
		}
	}
}

// Cancel implements policy.Actions.
func (c *Coordinator) Cancel(id uint64, index int) {
	if p := c.pending.parts[id]; p != nil && index < len(p.attempts) {
		c.cancel(p, index, policy.Cancelled)
	}
}

// cancel stops waiting for an attempt. Where the part may be sent again and hedging is off, the attempt ends only once the
// searcher is known to have read the cancel: writes on two connections are not ordered, so that an attempt sent elsewhere
// before that could run as a second copy.
func (c *Coordinator) cancel(p *part, index int, outcome policy.Outcome) {
	a := &p.attempts[index]
	if !a.inFlight || a.outcome != policy.Expired {
		return
	}
	a.outcome = outcome
	switch {
	case a.withdraw(p):
		c.deferReturned(p, index, policy.Expired)
	case !c.settings.Policy.MayCancel:
		c.deferReturned(p, index, outcome)
	case a.conn.closing:
		// The attempt ends when the connection does.
	default:
		// If nothing was received since the part was sent, the connection itself is suspect. It is asked for a confirmation
		// for the sake of the attempts that follow.
		proof := c.exclusive(p) || a.conn.lastReceived < a.startedAt
		if seq, ok := a.conn.transport.Cancel(p.wireID, proof); ok {
			a.conn.cancels[seq] = cancelledAttempt{p, index}
		} else {
			a.conn.transport.Close()
		}
	}
}

// windowEnd returns the time by which a retry of an idempotent-by-key part must be sent, if an earlier attempt may have run.
func (c *Coordinator) windowEnd(p *part, index int) (deadline time.Duration, ok bool) {
	tableType := &c.settings.Policy.Types[p.scan.class]
	if tableType.Effect != policy.IdempotentByKey {
		return 0, false
	}
	for i := range index {
		if a := &p.attempts[i]; !a.neverRan {
			return a.startedAt + tableType.RepeatWindow, true
		}
	}
	return 0, false
}

// enforceWindow stops an unsent attempt from being sent after its repeat window. The policy, when it decided, could not know
// that the connection would be slow to open or to write. If the write has begun, the connection is closed before the frame
// is complete.
func (c *Coordinator) enforceWindow(p *part, index int) {
	a := &p.attempts[index]
	if !a.inFlight || a.conn == nil || a.conn.closing || a.conn.transport.Written(a.seq) {
		return
	}
	if !a.withdraw(p) {
		a.conn.transport.Fail(errKeyWindow)
		return
	}
	if a.outcome == policy.Expired {
		a.outcome = policy.Cancelled
		c.deferReturned(p, index, policy.Expired)
	}
}

var errKeyWindow = errors.New("a keyed part would be sent outside its repeat window")

// repeatable reports whether the part may run any number of times.
func (c *Coordinator) repeatable(p *part) bool {
	return c.settings.Policy.Types[p.scan.class].Effect == policy.Idempotent
}

// exclusive reports whether the part may be sent again, but only while none of its attempts is in flight.
func (c *Coordinator) exclusive(p *part) bool { return !p.ended && !c.settings.Policy.MayHedge }

// withdrawUnsent withdraws unsent attempts when a step ends, so that nothing of a scan is sent after its final answer.
func (c *Coordinator) withdrawUnsent(p *part) {
	for index := range p.attempts {
		if a := &p.attempts[index]; a.inFlight && a.withdraw(p) {
			c.deferReturned(p, index, policy.Expired)
		}
	}
}

// withdraw reports whether the write of an attempt has not begun and now never will: either it is not queued yet and the end
// of its batch skips it, or it was removed from its connection's queue.
func (a *attempt) withdraw(p *part) bool {
	return a.conn == nil || a.conn.transport.Withdraw(a.seq, p.wireID)
}

// CancelsConfirmed ends the attempts whose cancel frames were written or confirmed. Cancels of one write share one clock
// reading, since parts cancelled together must count as one failure of their searcher. Otherwise it would be ejected for far
// too long.
func (c *Coordinator) CancelsConfirmed(conn *Connection, seqs []uint64) {
	for _, seq := range seqs {
		cancelled, ok := conn.cancels[seq]
		delete(conn.cancels, seq)
		if ok && cancelled.part.attempts[cancelled.index].inFlight {
			c.returned(cancelled.part, cancelled.index, cancelled.part.attempts[cancelled.index].outcome)
		}
	}
}
