package explore

import (
	"fmt"
	"slices"

	"peathollow/internal/proto"
	"peathollow/policy"
)

// answerEvents adds the answers and receipts that a searcher may send on the connection.
func (c *conn) answerEvents(addInBatch func(label, func())) {
	sim := c.sim
	addAnswer := func(l label, do func()) {
		addInBatch(l, func() {
			if c.writeSideEnded {
				sim.spendFault()
			}
			do()
		})
	}
	for _, x := range sim.dispatches {
		if x.conn != c {
			continue
		}
		if x.state == onWire {
			addAnswer(label{c, "answers", x, ""}, func() { c.answer(x, policy.Succeeded, false) })
			if sim.faultAllowed(faultBehind) {
				addAnswer(label{c, "answers", x, ", with bytes right behind"},
					func() { sim.spendFault(); c.answer(x, policy.Succeeded, true) })
			}
			if sim.faultAllowed(faultRefuse) && !x.cancelWritten {
				addAnswer(label{c, "turns", x, " away"}, func() { sim.spendFault(); c.answer(x, policy.Overloaded, false) })
			}
			if sim.faultAllowed(faultError) {
				addAnswer(label{c, "answers", x, " with an error"}, func() { sim.spendFault(); c.answer(x, policy.Failed, false) })
			}
			if sim.faultAllowed(faultSpoilt) && !c.writeSideEnded {
				addAnswer(label{c, "answers", x, " unreadably"}, func() { sim.spendFault(); c.endWriteSide(errUnreadable) })
			}
		}
		if (x.state == writing || x.state == queued && !c.writing && !c.closeRequested) && sim.faultAllowed(faultEarly) {
			addAnswer(label{c, "answers", x, " before its write has returned"}, func() { sim.spendFault(); c.answerEarly(x) })
		}
		if x.state == answered && !x.answeredTwice && sim.faultAllowed(faultTwice) {
			addAnswer(label{c, "answers", x, " again"},
				func() { sim.spendFault(); x.answeredTwice = true; c.deliver(x, x.outcome, false) })
		}
	}
	if i := c.writtenCancelAwaitingReceipt(); i >= 0 {
		addAnswer(label{conn: c, text: "has its reader's receipt"}, func() { c.confirmReceipts() })
	}
	if sim.faultAllowed(faultStranger) && c.writtenSeq > 0 {
		addAnswer(label{conn: c, text: "answers what was never asked there"}, func() {
			sim.spendFault()
			sim.coordinator.AnswerReceived(c.connection, proto.Answer{ID: "nobody.0", Outcome: policy.Succeeded}, false)
		})
	}
}

// startWriting has the connection's writer take all queued frames.
func (c *conn) startWriting() {
	c.writing = true
	for _, f := range c.frames {
		if f.written || f.writeStarted {
			continue
		}
		f.writeStarted = true
		for _, x := range f.calls {
			x.state = writing
			c.sim.checkWriteStart(x)
		}
	}
}

// completeFrames completes the write of the first n frames that were started.
func (c *conn) completeFrames(count int) {
	for _, f := range c.frames {
		if f.written || !f.writeStarted {
			continue
		}
		if count--; count < 0 {
			return
		}
		f.written = true
		c.writtenSeq = f.seq
		for _, x := range f.calls {
			x.state, x.writtenAt, x.written = onWire, c.sim.now, true
			c.sim.checkWritten(x)
		}
		if f.cancels != nil {
			f.cancels.cancelWritten = true
		}
	}
	c.writing = slices.ContainsFunc(c.frames, func(f *frame) bool { return f.writeStarted && !f.written })
	c.dropFinishedFrames()
}

// dropFinishedFrames removes frames that no further event can concern.
func (c *conn) dropFinishedFrames() {
	c.frames = slices.DeleteFunc(c.frames, func(f *frame) bool {
		if !f.written || f.cancelID != "" {
			return false
		}
		return !slices.ContainsFunc(f.calls, func(x *dispatch) bool { return x.state == onWire })
	})
}

// writtenCancel returns the index of a written cancel frame that needs no receipt, or -1.
func (c *conn) writtenCancel() int {
	return slices.IndexFunc(c.frames, func(f *frame) bool { return f.written && f.cancelID != "" && !f.needsReceipt })
}

func (c *conn) confirmWrittenCancels() {
	c.confirmCancels(func(f *frame) bool { return !f.needsReceipt })
}

// writtenCancelAwaitingReceipt returns the index of a written cancel frame that needs the searcher's receipt, or -1.
func (c *conn) writtenCancelAwaitingReceipt() int {
	return slices.IndexFunc(c.frames, func(f *frame) bool { return f.written && f.cancelID != "" && f.needsReceipt })
}

func (c *conn) confirmReceipts() {
	c.markRead(c.lastSeq)
	c.confirmCancels(func(f *frame) bool { return f.needsReceipt })
}

// confirmCancels confirms to the coordinator the written cancel frames that match.
func (c *conn) confirmCancels(match func(*frame) bool) {
	var seqs []uint64
	c.frames = slices.DeleteFunc(c.frames, func(f *frame) bool {
		if !f.written || f.cancelID == "" || !match(f) {
			return false
		}
		seqs = append(seqs, f.seq)
		return true
	})
	c.dropFinishedFrames()
	c.sim.coordinator.CancelsConfirmed(c.connection, seqs)
}

// markRead records that the searcher has read all frames up to seq.
func (c *conn) markRead(seq uint64) {
	for _, f := range c.frames {
		if f.written && f.cancelID != "" && f.seq <= seq && f.cancels != nil && f.cancels.state == onWire {
			f.cancels.state = cancelRead
		}
	}
}

func (c *conn) answer(x *dispatch, outcome policy.Outcome, moreBytes bool) {
	// The searcher has read all earlier frames.
	c.markRead(x.seq)
	x.state, x.outcome = answered, outcome
	c.dropFinishedFrames()
	c.deliver(x, outcome, moreBytes)
}

// answerEarly delivers an answer to a frame whose last byte was sent, before the connection learns that its write returned.
func (c *conn) answerEarly(x *dispatch) {
	if !c.writing {
		c.startWriting()
		defer func() { c.completeFrames(len(c.frames)) }()
	}
	count := 0
	for _, f := range c.frames {
		count += b2i(f.writeStarted && !f.written && f.seq <= x.seq)
	}
	writtenBefore := c.writtenSeq
	c.completeFrames(count)
	writtenAfter := c.writtenSeq
	c.writtenSeq = writtenBefore
	c.answer(x, policy.Succeeded, false)
	c.writtenSeq = max(c.writtenSeq, writtenAfter)
}

// deliver passes an answer to the coordinator and records its value.
func (c *conn) deliver(x *dispatch, outcome policy.Outcome, moreBytes bool) {
	value := fmt.Sprintf("%d.%d.%d.%d", x.scan.index, x.step, x.shard, x.index)
	if outcome == policy.Succeeded {
		x.scan.received = append(x.scan.received, receivedValue{x.step, x.shard, value})
	}
	c.sim.coordinator.AnswerReceived(c.connection, proto.Answer{ID: x.wireID, Outcome: outcome, Value: value, Score: 1}, moreBytes)
}

// endWriteSide ends the writing side of the connection, and drops frames that were not fully written.
func (c *conn) endWriteSide(reason error) {
	c.closeRequested, c.writeSideEnded = true, true
	c.writing = false
	c.frames = slices.DeleteFunc(c.frames, func(f *frame) bool {
		if f.written {
			return false
		}
		for _, x := range f.calls {
			x.state = ended // never fully written, and never will be
		}
		return true
	})
	c.sim.coordinator.ConnectionClosing(c.connection, reason)
}

// endInFlight records that the dispatches in flight on this connection ended with it at the searcher.
func (c *conn) endInFlight() {
	for _, x := range c.sim.dispatches {
		if x.conn == c && x.state == onWire {
			x.state = ended
		}
	}
}

// reportClosed reports the end of the connection to the coordinator; confirmed tells whether the searcher's end was seen.
func (c *conn) reportClosed(confirmed bool) {
	if confirmed {
		c.endInFlight()
	}
	c.closed, c.frames = true, nil
	c.sim.coordinator.ConnectionClosed(c.connection, confirmed)
}
