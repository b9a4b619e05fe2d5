package explore

import (
	"errors"
	"slices"

	"peathollow/attempt"
	"peathollow/internal/proto"
	"peathollow/policy"
)

// label describes an event, on a connection or for a dispatch. Its text is formatted only when it is read.
type label struct {
	conn     *conn
	text     string
	dispatch *dispatch
	suffix   string
}

func (l label) String() string {
	s := l.text
	if l.conn != nil {
		s = l.conn.name() + " " + s
	}
	if l.dispatch != nil {
		s += " " + l.dispatch.name()
	}
	return s + l.suffix
}

// event is one possible next action of the outside.
type event struct {
	label
	apply func()
}

var (
	errEndedBySearcher = errors.New("the searcher ended the connection")
	errUnreadable      = errors.New("unreadable answer")
)

// Step runs one possible event. It returns false if none is possible.
func (sim *Simulation) Step() bool {
	events := sim.enabled()
	if len(events) == 0 {
		return false
	}
	events[sim.choose(len(events), func(i int) string { return events[i].String() })].apply()
	// Ending a batch that has nothing to send and nothing due has no effect, so the batch need not stay open.
	if sim.reduceOrder && sim.inBatch && sim.nothingDue() {
		sim.closeBatch()
	}
	return true
}

func (sim *Simulation) nothingDue() bool {
	_, dispatches := sim.coordinator.Pending()
	nextTimer, ok := sim.coordinator.NextTimer(true)
	return !dispatches && !(ok && nextTimer <= sim.now)
}

// enabled returns all events that may happen next.
func (sim *Simulation) enabled() (events []event) {
	add := func(l label, do func()) { events = append(events, event{l, do}) }
	addInBatch := func(l label, do func()) {
		add(l, func() { sim.openBatch(); sim.guard(do) })
	}
	// With no scan in flight or to come, no timer pending and only faults of connections left, events on one connection
	// are independent of all others, so that the connections are handled one after the other.
	independent := sim.reduceOrder && !sim.inBatch && sim.allAnswered() && !sim.otherFaultsPossible()
	if independent {
		nextTimer, ok := sim.coordinator.NextTimer(false)
		results, dispatches := sim.coordinator.Pending()
		independent = !ok && nextTimer <= sim.now && !results && !dispatches
	}
	for _, c := range sim.conns {
		if c.closed {
			continue
		}
		if independent && len(events) > 0 {
			return events
		}
		// The end of a connection with nothing in flight affects nothing else.
		if sim.reduceOrder && c.writeSideEnded && !sim.inFlightOn(c) && !sim.inBatch {
			return []event{{label{conn: c, text: "is gone"}, func() { sim.openBatch(); sim.guard(func() { c.reportClosed(true) }) }}}
		}
		if sim.reduceOrder && sim.free != nil && !sim.inBatch {
			if e, ok := c.cleanupEvent(); ok {
				return []event{e}
			}
		}
		c.events(add, addInBatch)
	}
	sim.clientEvents(addInBatch)
	if sim.faultAllowed(faultList) {
		sim.listEvents(addInBatch)
	}
	results, dispatches := sim.coordinator.Pending()
	nextTimer, ok := sim.coordinator.NextTimer(true)
	due := results || dispatches || ok && nextTimer <= sim.now
	if !due {
		// With no scan in flight the policy engine's tick repeats for ever, without an effect that is checked.
		nextTimer, ok = sim.coordinator.NextTimer(sim.coordinator.Usage().Scans > 0)
	}
	if sim.inBatch {
		add(label{text: "the batch ends"}, sim.closeBatch)
	} else if due {
		add(label{text: "the mixer does what is due"}, func() { sim.openBatch(); sim.closeBatch() })
	}
	// A close request ends the writing side of its connection before time passes.
	ending := slices.ContainsFunc(sim.conns, func(c *conn) bool { return c.closeRequested && !c.writeSideEnded })
	if !sim.inBatch && ok && nextTimer > sim.now && !ending && (!due || sim.faultAllowed(faultSlow)) {
		add(label{text: "time passes", suffix: " to " + nextTimer.String()}, func() {
			if due {
				sim.spendFault()
			}
			sim.now = nextTimer
		})
	}
	return events
}

// cleanupEvent returns an event of a connection whose only frames to write or to confirm cancel dispatches of steps that
// have ended. Neither the policy nor another connection can observe when it happens.
func (c *conn) cleanupEvent() (event, bool) {
	sim := c.sim
	obsolete := func(f *frame) bool { return f.cancelID != "" && f.cancels != nil && f.cancels.stepEnded() }
	unwritten, written, awaitingReceipt := 0, 0, 0
	for _, f := range c.frames {
		switch {
		case f.cancelID == "" && f.written:
		case !obsolete(f):
			return event{}, false
		case !f.written:
			unwritten++
		case f.needsReceipt:
			awaitingReceipt++
		default:
			written++
		}
	}
	switch {
	case unwritten > 0 && !c.closeRequested && !c.writeSideEnded && !c.endedBySearcher && !c.writing &&
		!sim.faultAllowed(faultStall):
		return event{label{conn: c, text: "writes what waits"}, func() { c.startWriting(); c.completeFrames(len(c.frames)) }}, true
	case written > 0:
		return event{label{conn: c, text: "has given up what it was to"},
			func() { sim.openBatch(); sim.guard(c.confirmWrittenCancels) }}, true
	case awaitingReceipt > 0 && !c.endedBySearcher && !c.writeSideEnded:
		return event{label{conn: c, text: "has its reader's receipt"}, func() { sim.openBatch(); sim.guard(c.confirmReceipts) }}, true
	}
	return event{}, false
}

// stepEnded reports whether the dispatch's step has ended.
func (x *dispatch) stepEnded() bool { return x.scan.replies > 0 || x.step < x.scan.step }

// otherFaultsPossible reports whether a fault may still happen that concerns more than one connection.
func (sim *Simulation) otherFaultsPossible() bool {
	return sim.faultAllowed(faultList) || sim.faultAllowed(faultLeft) || sim.faultAllowed(faultStop) ||
		sim.faultAllowed(faultReuse) || sim.faultAllowed(faultPanic) || sim.faultAllowed(faultRenew) || sim.faultAllowed(faultSlow)
}

// inFlightOn reports whether a dispatch is in flight on a connection, really or as the coordinator records it.
func (sim *Simulation) inFlightOn(c *conn) bool {
	for _, x := range sim.dispatches {
		if x.conn == c && (x.state == writing || x.state == onWire) {
			return true
		}
	}
	found := false
	sim.coordinator.EachInFlight(func(k attempt.TransportConn, _ uint64, _ string) {
		found = found || k == attempt.TransportConn(c)
	})
	return found
}

func (sim *Simulation) clientEvents(addInBatch func(label, func())) {
	last := sim.scans[len(sim.scans)-1]
	if sim.faultAllowed(faultLeft) && last.replies == 0 {
		addInBatch(label{text: "the client of the last scan goes away"}, func() {
			sim.spendFault()
			sim.coordinator.ClientLeft(last.request)
		})
	}
	if sim.faultAllowed(faultReuse) && last.replies > 0 && len(sim.scans) == 1 {
		addInBatch(label{text: "the client asks again under the same id"}, func() { sim.spendFault(); sim.submit("x") })
	}
	if sim.faultAllowed(faultStop) && !sim.stopped {
		addInBatch(label{text: "SIGTERM"}, func() { sim.spendFault(); sim.stopped = true; sim.coordinator.Stop(shutdownTimeout) })
	}
}

func (sim *Simulation) listEvents(addInBatch func(label, func())) {
	change := func(i int, what string, edit func(r *listedSearcher)) {
		addInBatch(label{text: "the list says that reader " + searcherName(i) + " ", suffix: what}, func() {
			sim.spendFault()
			edit(&sim.searchers[i])
			sim.sendList(policy.Changes)
		})
	}
	for i, r := range sim.searchers {
		if r.state == policy.Ready {
			change(i, "drains", func(r *listedSearcher) { r.state, r.changedAt = policy.Draining, sim.now })
		}
		if r.state != policy.Gone {
			change(i, "is gone", func(r *listedSearcher) { r.state, r.removed, r.changedAt = policy.Gone, true, sim.now })
		}
		if r.removed && r.state == policy.Gone {
			change(i, "is back at another address", func(r *listedSearcher) { r.state, r.moved = policy.Ready, true })
		}
	}
}

// events adds what may happen on a connection.
func (c *conn) events(add, addInBatch func(label, func())) {
	sim := c.sim
	waiting := slices.ContainsFunc(c.frames, func(f *frame) bool { return !f.written })
	if !c.writeSideEnded && !c.endedBySearcher && waiting {
		if !c.writing && !c.closeRequested {
			add(label{conn: c, text: "writes what waits"}, func() { c.startWriting(); c.completeFrames(len(c.frames)) })
			if sim.faultAllowed(faultStall) {
				add(label{conn: c, text: "begins to write, and stays unfinished"}, func() { sim.spendFault(); c.startWriting() })
			}
		} else if c.writing {
			add(label{conn: c, text: "finishes a frame"}, func() { c.completeFrames(1) })
		}
	}
	if c.writtenCancel() >= 0 {
		addInBatch(label{conn: c, text: "has given up what it was to"}, func() { c.confirmWrittenCancels() })
	}
	if !c.endedBySearcher && (!c.writeSideEnded || sim.faultAllowed(faultAfter)) {
		c.answerEvents(addInBatch)
	}
	if !c.writeSideEnded {
		if sim.faultAllowed(faultBreak) {
			addInBatch(label{conn: c, text: "is ended by its reader"}, func() {
				sim.spendFault()
				c.endedBySearcher = true
				c.endInFlight()
				c.endWriteSide(errEndedBySearcher)
			})
		}
		if sim.faultAllowed(faultMute) {
			addInBatch(label{conn: c, text: "is found silent and ended"}, func() { sim.spendFault(); c.endWriteSide(proto.ErrUnresponsive) })
		}
		if c.closeRequested {
			addInBatch(label{conn: c, text: "ends"}, func() { c.endWriteSide(c.closeReason) })
		}
	} else {
		addInBatch(label{conn: c, text: "is gone"}, func() { c.reportClosed(true) })
		if !c.endedBySearcher && sim.faultAllowed(faultMute) && c.writtenSeq > 0 {
			addInBatch(label{conn: c, text: "is gone without its reader's end"}, func() { sim.spendFault(); c.reportClosed(false) })
		}
	}
}

// FinishQuietly ends a run without further outside events: time passes, then all connections end. It checks that each scan
// is answered nevertheless, and that everything is released.
func (sim *Simulation) FinishQuietly() {
	sim.quiet = true
	for range 200 {
		sim.openBatch()
		sim.closeBatch()
		if results, dispatches := sim.coordinator.Pending(); results || dispatches {
			continue
		}
		at, ok := sim.coordinator.NextTimer(true)
		if sim.violation != nil || !ok || sim.allAnswered() {
			break
		}
		sim.now = max(sim.now, at)
	}
	for _, s := range sim.scans {
		if s.replies == 0 {
			sim.violate(propEnds, "%s gets no answer from a silent outside", s.name())
		}
	}
	// The end of a connection may end another one, but never opens one: two rounds are enough.
	for range 2 {
		for _, c := range sim.conns {
			if c.closed {
				continue
			}
			sim.openBatch()
			if !c.writeSideEnded {
				sim.guard(func() { c.endedBySearcher = true; c.endInFlight(); c.endWriteSide(errEndedBySearcher) })
			}
			sim.guard(func() { c.reportClosed(true) })
			sim.closeBatch()
		}
		sim.openBatch()
		sim.closeBatch()
	}
	sim.checkReleased()
}

func (sim *Simulation) allAnswered() bool {
	return !slices.ContainsFunc(sim.scans, func(s *scan) bool { return s.replies == 0 })
}
