package explore

import (
	"errors"
	"slices"

	"peathollow/attempt"
	"peathollow/internal/proto"
	"peathollow/policy"
)

// label says what happens: at a connection, to a dispatch. It is put into words only when somebody reads it.
type label struct {
	c    *conn
	text string
	x    *sent
	more string
}

func (l label) String() string {
	s := l.text
	if l.c != nil {
		s = l.c.name() + " " + s
	}
	if l.x != nil {
		s += " " + l.x.name()
	}
	return s + l.more
}

// event is one thing the outside may do next.
type event struct {
	label
	do func()
}

var (
	errBroken = errors.New("the reader ended the connection")
	errSpoilt = errors.New("unreadable answer")
)

// Step lets one thing happen; false if nothing can any more.
func (w *World) Step() bool {
	evs := w.enabled()
	if len(evs) == 0 {
		return false
	}
	evs[w.pick(len(evs), func(i int) string { return evs[i].String() })].do()
	// What ends a batch that has nothing to send and nothing due changes nothing: there is no need to leave it open.
	if w.reduced && w.inBatch && w.nothingDue() {
		w.close()
	}
	return true
}

func (w *World) nothingDue() bool {
	_, dispatches := w.life.Pending()
	at, ok := w.life.NextTimer(true)
	return !dispatches && !(ok && at <= w.now)
}

// enabled are all things that may happen next.
func (w *World) enabled() (evs []event) {
	add := func(l label, do func()) { evs = append(evs, event{l, do}) }
	in := func(l label, do func()) {
		add(l, func() { w.open(); w.guard(do) })
	}
	// With no scan in hand, none to come, no time to pass and only faults of connections left, what happens on one
	// connection is seen on no other: one after the other will do.
	alone := w.reduced && !w.inBatch && w.answeredAll() && !w.mayBesides()
	if alone {
		at, ok := w.life.NextTimer(false)
		results, dispatches := w.life.Pending()
		alone = !ok && at <= w.now && !results && !dispatches
	}
	for _, c := range w.conns {
		if c.closed {
			continue
		}
		if alone && len(evs) > 0 {
			return evs
		}
		// What is left of a connection on which nothing is out is seen by nobody, and stands in nobody's way.
		if w.reduced && c.closing && !w.outOn(c) && !w.inBatch {
			return []event{{label{c: c, text: "is gone"}, func() { w.open(); w.guard(func() { c.gone(true) }) }}}
		}
		if w.reduced && w.free != nil && !w.inBatch {
			if e, ok := c.clears(); ok {
				return []event{e}
			}
		}
		c.events(add, in)
	}
	w.clientEvents(in)
	if w.may(fList) {
		w.listEvents(in)
	}
	results, dispatches := w.life.Pending()
	at, ok := w.life.NextTimer(true)
	due := results || dispatches || ok && at <= w.now
	if !due {
		// With no scan in hand the module's beat goes on for ever, and nothing that is looked at comes of it.
		at, ok = w.life.NextTimer(w.life.Usage().Scans > 0)
	}
	if w.inBatch {
		add(label{text: "the batch ends"}, w.close)
	} else if due {
		add(label{text: "the mixer does what is due"}, func() { w.open(); w.close() })
	}
	// Who ends a connection stops its writing side at that instant.
	ending := slices.ContainsFunc(w.conns, func(c *conn) bool { return c.shut && !c.closing })
	if !w.inBatch && ok && at > w.now && !ending && (!due || w.may(fSlow)) {
		add(label{text: "time passes", more: " to " + at.String()}, func() {
			if due {
				w.spend()
			}
			w.now = at
		})
	}
	return evs
}

// clears finds a step of a connection that only tidies up after what is over: to write, or to hear of, frames that give
// up dispatches whose step has ended. Neither the decider nor any other connection sees whether that is sooner or later.
func (c *conn) clears() (event, bool) {
	w := c.w
	over := func(f *frame) bool { return f.stop != "" && f.behind != nil && f.behind.over() }
	waits, told, receipts := 0, 0, 0
	for _, f := range c.frames {
		switch {
		case f.stop == "" && f.whole:
		case !over(f):
			return event{}, false
		case !f.whole:
			waits++
		case f.proof:
			receipts++
		default:
			told++
		}
	}
	switch {
	case waits > 0 && !c.shut && !c.closing && !c.broken && !c.taken && !w.may(fStall):
		return event{label{c: c, text: "writes what waits"}, func() { c.take(); c.finish(len(c.frames)) }}, true
	case told > 0:
		return event{label{c: c, text: "has given up what it was to"}, func() { w.open(); w.guard(c.told) }}, true
	case receipts > 0 && !c.broken && !c.closing:
		return event{label{c: c, text: "has its reader's receipt"}, func() { w.open(); w.guard(c.receipted) }}, true
	}
	return event{}, false
}

// over: its step has ended.
func (x *sent) over() bool { return x.scan.replies > 0 || x.step < x.scan.step }

// mayBesides tells that something may yet go wrong that is not a connection's own.
func (w *World) mayBesides() bool {
	return w.may(fList) || w.may(fLeft) || w.may(fStop) || w.may(fReuse) || w.may(fPanic) || w.may(fRenew) || w.may(fSlow)
}

// outOn tells that something is out on a connection, in truth or as believed.
func (w *World) outOn(c *conn) bool {
	for _, x := range w.sents {
		if x.c == c && (x.state == begun || x.state == onWire) {
			return true
		}
	}
	found := false
	w.life.EachInFlight(func(k attempt.TransportConn, _ uint64, _ string) { found = found || k == attempt.TransportConn(c) })
	return found
}

func (w *World) clientEvents(in func(label, func())) {
	last := w.scans[len(w.scans)-1]
	if w.may(fLeft) && last.replies == 0 {
		in(label{text: "the client of the last scan goes away"}, func() {
			w.spend()
			w.life.ClientLeft(last.s)
		})
	}
	if w.may(fReuse) && last.replies > 0 && len(w.scans) == 1 {
		in(label{text: "the client asks again under the same id"}, func() { w.spend(); w.submit("x") })
	}
	if w.may(fStop) && !w.stopped {
		in(label{text: "SIGTERM"}, func() { w.spend(); w.stopped = true; w.life.Stop(stopIn) })
	}
}

func (w *World) listEvents(in func(label, func())) {
	change := func(i int, what string, edit func(r *reader)) {
		in(label{text: "the list says that reader " + readerName(i) + " ", more: what}, func() {
			w.spend()
			edit(&w.readers[i])
			w.list(policy.Changes)
		})
	}
	for i, r := range w.readers {
		if r.state == policy.Ready {
			change(i, "drains", func(r *reader) { r.state, r.toldAt = policy.Draining, w.now })
		}
		if r.state != policy.Gone {
			change(i, "is gone", func(r *reader) { r.state, r.gone, r.toldAt = policy.Gone, true, w.now })
		}
		if r.gone && r.state == policy.Gone {
			change(i, "is back at another address", func(r *reader) { r.state, r.moved = policy.Ready, true })
		}
	}
}

// events are what may happen on a connection.
func (c *conn) events(add, in func(label, func())) {
	w := c.w
	waiting := slices.ContainsFunc(c.frames, func(f *frame) bool { return !f.whole })
	if !c.closing && !c.broken && waiting {
		if !c.taken && !c.shut {
			add(label{c: c, text: "writes what waits"}, func() { c.take(); c.finish(len(c.frames)) })
			if w.may(fStall) {
				add(label{c: c, text: "begins to write, and stays unfinished"}, func() { w.spend(); c.take() })
			}
		} else if c.taken {
			add(label{c: c, text: "finishes a frame"}, func() { c.finish(1) })
		}
	}
	if c.tell() >= 0 {
		in(label{c: c, text: "has given up what it was to"}, func() { c.told() })
	}
	if !c.broken && (!c.closing || w.may(fAfter)) {
		c.words(in)
	}
	if !c.closing {
		if w.may(fBreak) {
			in(label{c: c, text: "is ended by its reader"}, func() { w.spend(); c.broken = true; c.endAll(); c.end(errBroken) })
		}
		if w.may(fMute) {
			in(label{c: c, text: "is found silent and ended"}, func() { w.spend(); c.end(proto.ErrMute) })
		}
		if c.shut {
			in(label{c: c, text: "ends"}, func() { c.end(c.why) })
		}
	} else {
		in(label{c: c, text: "is gone"}, func() { c.gone(true) })
		if !c.broken && w.may(fMute) && c.writ > 0 {
			in(label{c: c, text: "is gone without its reader's end"}, func() { w.spend(); c.gone(false) })
		}
	}
}

// Quiet ends a run without anything more from the outside: time passes, then connections end. It checks that each scan
// is answered all the same, and that all is given back.
func (w *World) Quiet() {
	w.quiet = true
	for range 200 {
		w.open()
		w.close()
		if results, dispatches := w.life.Pending(); results || dispatches {
			continue
		}
		at, ok := w.life.NextTimer(true)
		if w.bad != nil || !ok || w.answeredAll() {
			break
		}
		w.now = max(w.now, at)
	}
	for _, s := range w.scans {
		if s.replies == 0 {
			w.broke(ends, "%s gets no answer from a silent outside", s.name())
		}
	}
	// A look at a connection may end another, never open one.
	for range 2 {
		for _, c := range w.conns {
			if c.closed {
				continue
			}
			w.open()
			if !c.closing {
				w.guard(func() { c.broken = true; c.endAll(); c.end(errBroken) })
			}
			w.guard(func() { c.gone(true) })
			w.close()
		}
		w.open()
		w.close()
	}
	w.left()
}

func (w *World) answeredAll() bool {
	return !slices.ContainsFunc(w.scans, func(s *scan) bool { return s.replies == 0 })
}
