package attempt

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"peathollow/internal/proto"
	"peathollow/policy"
)

// answers.go passes what searchers answer to the policy, and the policy's decisions to the clients.

// AnswerReceived handles an answer from a searcher. more reports whether further bytes have already arrived behind it.
func (c *Coordinator) AnswerReceived(conn *Connection, answer proto.Answer, more bool) {
	conn.lastReceived = c.now
	p := c.pending.byWireID[answer.ID]
	index, ok := conn.inFlight[p]
	if !ok {
		p, index, ok = conn.findByWireID(answer.ID)
	}
	if !ok {
		// A late or duplicate answer is ignored. An answer to a part that was never sent here means that nothing on this
		// connection can be trusted.
		if !conn.history.answerReceived(answer.ID) {
			conn.transport.Fail(errUnsolicited)
		}
		return
	}
	// A fast searcher's answer may be read before the write of its frame returns; it counts. It belongs to an earlier
	// attempt instead if the write has not begun, or if it is an error, the write has not returned, and the answer to an
	// earlier attempt that was cancelled without confirmation is still due here.
	if a := &p.attempts[index]; !conn.transport.Written(a.seq) && (!conn.transport.WriteStarted(a.seq) ||
		answer.Outcome != policy.Succeeded && conn.history.answerDue(answer.ID)) {
		// A value counts even then, and the unsent attempt is withdrawn.
		conn.history.answerReceived(answer.ID)
		if answer.Outcome != policy.Succeeded || !a.withdraw(p) {
			return
		}
	}
	// More bytes have arrived than the answers that are due account for, so a part sent here next would be lost. This answer
	// still counts.
	if more && len(conn.inFlight) == 1 && !conn.history.anyAnswerDue() {
		conn.retire()
	}
	// A searcher reads a connection in order, so it has read all earlier frames once it answers a part.
	if seq := p.attempts[index].seq; len(conn.cancels) > 0 {
		confirmed := slices.Collect(maps.Keys(conn.cancels))
		confirmed = slices.DeleteFunc(confirmed, func(k uint64) bool { return k > seq })
		slices.Sort(confirmed)
		c.CancelsConfirmed(conn, confirmed)
	}
	if answer.Outcome == policy.Succeeded && !p.hasValue && !p.ended {
		p.hasValue, p.value, p.score = true, answer.Value, answer.Score
		c.pending.open--
	}
	c.returned(p, index, answer.Outcome)
}

var errUnsolicited = errors.New("answer to a part never asked on this connection")

// ConnectionClosing handles a connection that will no longer send or accept anything. Attempts that were not written
// completely never ran. Those that were are known to have ended only when the searcher confirms it. They stay in flight until
// then if the part may be sent again and hedging is off.
func (c *Coordinator) ConnectionClosing(conn *Connection, cause error) {
	conn.retired, conn.closing, conn.lossOutcome = true, true, policy.ConnectionLost
	if errors.Is(cause, proto.ErrUnresponsive) {
		conn.lossOutcome = policy.Cancelled // ended by this mixer
	}
	if len(conn.inFlight) > 0 {
		c.transport.PartsLost(conn.searcher.host.Name, len(conn.inFlight), cause)
	}
	for _, p := range conn.partsInOrder() {
		if index := conn.inFlight[p]; !conn.transport.Written(p.attempts[index].seq) {
			c.returned(p, index, policy.Unreachable)
		} else if !c.exclusive(p) {
			c.returned(p, index, p.attempts[index].lossOutcome())
		}
	}
}

// ConnectionClosed handles a connection that is closed. confirmed reports that the searcher has ended its side as well, or that
// the connection was never established. Otherwise the remaining attempts may still run at any time: they stay in flight until
// their scan ends, and are not retried.
func (c *Coordinator) ConnectionClosed(conn *Connection, confirmed bool) {
	c.searchers.connections--
	conn.searcher.connections = slices.DeleteFunc(conn.searcher.connections, func(other *Connection) bool { return other == conn })
	conn.closed = true
	for _, p := range conn.partsInOrder() {
		if index := conn.inFlight[p]; confirmed || !c.exclusive(p) {
			c.returned(p, index, p.attempts[index].lossOutcome())
		}
	}
	if n := len(conn.inFlight); n > 0 {
		c.pending.counters.Unconfirmed += n
		c.transport.PartsUnconfirmed(conn.searcher.host.Name, n)
	}
}

// partsInOrder returns the parts in flight on a connection, oldest first.
func (conn *Connection) partsInOrder() []*part {
	return slices.SortedFunc(maps.Keys(conn.inFlight), func(a, b *part) int { return cmp.Compare(a.id, b.id) })
}

// lossOutcome returns how an attempt ends that was in flight on a connection when that was lost.
func (a *attempt) lossOutcome() policy.Outcome {
	if a.outcome != policy.Expired {
		return a.outcome
	}
	return a.conn.lossOutcome
}

// Complete implements policy.Actions. In a table type with a second step, the first call chooses the shards that take part
// in the second step, by score; their parts are passed to the policy in the next batch.
func (c *Coordinator) Complete(id uint64, complete bool) {
	s := c.pending.scans[id]
	if s == nil {
		return
	}
	answered := make([]*part, 0, len(s.parts))
	for _, p := range s.parts {
		if p.hasValue {
			answered = append(answered, p)
		}
	}
	if n := c.settings.Policy.Types[s.class].SecondStep; n > 0 && s.step == 0 {
		c.chooseSecondStep(s, answered, min(n, len(answered)), complete)
		return
	}
	rows := make([]proto.Row, len(answered))
	for i, p := range answered {
		rows[i] = proto.Row{Shard: p.shard, Value: p.value}
	}
	c.end(s, Answer{Kind: Completed, Body: proto.WriteAnswer(complete, rows)})
}

// chooseSecondStep ends the first step and keeps the n answered parts with the highest scores for the second.
func (c *Coordinator) chooseSecondStep(s *Scan, answered []*part, n int, complete bool) {
	s.step, s.firstStepComplete = 1, complete
	for _, p := range answered {
		s.firstStepShards = append(s.firstStepShards, p.shard)
	}
	slices.Sort(s.firstStepShards)
	slices.SortFunc(answered, func(a, b *part) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.shard, b.shard))
	})
	c.closeStep(s)
	s.secondStepParts = answered[:n]
	c.deferred = append(c.deferred, task{kind: secondStep, scan: s})
}

// startSecondStep passes the parts of the second step to the policy.
func (c *Coordinator) startSecondStep(s *Scan) {
	if c.pending.scans[s.id] != s {
		return
	}
	for _, p := range s.secondStepParts {
		next := c.pending.addPart(s, p.shard, p.wireID+".fetch")
		c.policy.Part(next.id, s.number, next.shard, 1/float64(len(s.secondStepParts)))
	}
	s.secondStepParts = nil
}

// Throttle implements policy.Actions. The client may safely retry.
func (c *Coordinator) Throttle(id uint64, retryAfter time.Duration) {
	if s := c.pending.scans[id]; s != nil {
		c.end(s, Answer{Kind: Throttled, RetryAfter: retryAfter})
	}
}

// Abandon implements policy.Actions. The client is not told whether any part has run.
func (c *Coordinator) Abandon(id uint64) {
	if s := c.pending.scans[id]; s != nil {
		c.end(s, Answer{Kind: Abandoned})
	}
}
