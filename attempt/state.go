package attempt

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"peathollow/policy"
)

// What is in hand, told from outside: for the explorer, which must know two states that behave alike as one, and for
// checks of what is believed against what passed on the wires. Nothing here changes anything.

// Names order what a state names. Two states that differ only in which searcher or shard is which have the same form
// under some order.
type Names struct {
	Searchers []string // in the order in which they are told
	Addr      func(addr string) byte
	Shard     func(shard int) int
	Scan      func(s *Scan) int
	Conn      func(b []byte, c Conn) []byte                        // what a connection adds of its own
	Past      func(c Conn, wire string, out uint64, due bool) bool // whether an answer may yet be told by it; out: the frame now out, or 0
	Value     func(p string, shard int, s *Scan, step int) bool    // whether a value came for a part
	Took      bool                                                 // the decider looks at how long a dispatch took
}

// State appends all that what happens later depends on, and nothing else: times count from the present one, what has no
// effect any more is left out, and so is the order of what is held as a set. Two things are not told: since when a
// connection lies idle, and how often it was tallied; who relies on those must add them.
func (o *Life) State(b []byte, now time.Duration, n *Names) []byte {
	e := &encoder{b: b, now: now, o: o, n: n}
	for _, name := range n.Searchers {
		i, ok := o.fleet.byName[name]
		if e.flag(ok); !ok {
			continue
		}
		s := o.fleet.srvs[i]
		e.byte(byte(s.host.State))
		e.byte(e.n.Addr(s.host.Addr))
		e.int(s.live)
		e.byte(byte(len(s.lanes)))
		for _, l := range s.lanes {
			e.lane(l)
		}
	}
	scans := slices.SortedFunc(maps.Values(o.book.scans), func(x, y *Scan) int { return cmp.Compare(n.Scan(x), n.Scan(y)) })
	e.byte(byte(len(scans)))
	for _, s := range scans {
		e.byte(byte(n.Scan(s)))
		e.byte(byte(s.step))
		e.flag(s.whole)
		var from uint64
		for _, shard := range s.from {
			from |= 1 << n.Shard(shard)
		}
		e.int(int(from))
	}
	parts := slices.SortedFunc(maps.Values(o.book.parts), e.order)
	e.byte(byte(len(parts)))
	for _, p := range parts {
		e.part(p)
	}
	e.byte(byte(len(o.out)))
	for _, s := range o.out {
		e.ref(s.p)
		e.byte(byte(s.no))
	}
	e.byte(byte(len(o.later)))
	for _, t := range o.later {
		e.task(t)
	}
	e.timers()
	e.int(o.book.open)
	if e.flag(o.stopAt > 0); o.stopAt > 0 {
		e.time(o.stopAt)
	}
	return e.b
}

type encoder struct {
	b   []byte
	now time.Duration // the last batch may have been earlier
	o   *Life
	n   *Names
}

func (e *encoder) byte(x byte)          { e.b = append(e.b, x) }
func (e *encoder) int(x int)            { e.b = binary.AppendVarint(e.b, int64(x)) }
func (e *encoder) time(t time.Duration) { e.b = binary.AppendVarint(e.b, int64(t-e.now)) }

func (e *encoder) flag(x bool) {
	if x {
		e.byte(1)
	} else {
		e.byte(0)
	}
}

// order and ref tell a part by its scan, its step and its shard.
func (e *encoder) order(a, b *part) int {
	return cmp.Or(cmp.Compare(e.n.Scan(a.scan), e.n.Scan(b.scan)), cmp.Compare(len(a.wire), len(b.wire)),
		cmp.Compare(e.n.Shard(a.shard), e.n.Shard(b.shard)))
}

func (e *encoder) ref(p *part) {
	e.byte(byte(e.n.Scan(p.scan)))
	e.byte(byte(len(p.wire)))
	e.byte(byte(e.n.Shard(p.shard)))
}

func (e *encoder) lane(l *Lane) {
	var bits byte
	for i, f := range []bool{l.retired, l.ended, l.gone} {
		if f {
			bits |= 1 << i
		}
	}
	e.byte(bits)
	e.byte(byte(l.lost))
	out := slices.SortedFunc(maps.Keys(l.out), e.order)
	e.byte(byte(len(out)))
	for _, p := range out {
		e.ref(p)
		e.byte(byte(l.out[p]))
	}
	// Its last word counts against those out; what goes out from now on is later, or at the same instant.
	for _, p := range out {
		e.flag(l.heard < p.tries[l.out[p]].at)
	}
	e.flag(l.heard == e.now)
	kills := slices.Sorted(maps.Keys(l.kills))
	e.byte(byte(len(kills)))
	for _, seq := range kills {
		k := l.kills[seq]
		t := &k.p.tries[k.no]
		e.ref(k.p)
		e.byte(byte(k.no))
		e.flag(t.out)
		e.byte(byte(t.end))
	}
	// Till the ring is full it is a set: what leaves it first does not matter.
	last := slices.Clone(l.past.last)
	last = slices.DeleteFunc(last, func(d dispatched) bool {
		var seq uint64
		if p, no, ok := l.namesake(d.id); ok {
			seq = p.tries[no].seq
		}
		return !e.n.Past(l.conn, d.id, seq, d.due)
	})
	if len(l.past.last) < e.o.lim.Past {
		slices.SortFunc(last, func(x, y dispatched) int {
			return cmp.Or(cmp.Compare(e.wire(x.id), e.wire(y.id)), cmp.Compare(b2i(x.due), b2i(y.due)))
		})
	}
	e.byte(byte(len(last)))
	for _, d := range last {
		e.int(e.wire(d.id))
		e.flag(d.due)
		e.flag(e.o.book.scans[d.scan] != nil)
	}
	e.b = e.n.Conn(e.b, l.conn)
}

// wire is a number for a part's id on the wire that follows its shard: "scan.shard", with ".fetch" in a second step.
func (e *encoder) wire(id string) int {
	scan, shard, dots := 0, 0, 0
	for _, c := range []byte(id) {
		switch {
		case c == '.':
			dots++
		case dots == 0:
			scan = scan*31 + int(c)
		case dots == 1:
			shard = shard*10 + int(c-'0')
		}
	}
	return (scan%10007*4+dots)*64 + e.n.Shard(shard)
}

func b2i(x bool) int {
	if x {
		return 1
	}
	return 0
}

func (e *encoder) part(p *part) {
	e.ref(p)
	e.flag(p.in)
	e.flag(p.over)
	e.flag(p.in && !p.over && e.n.Value(p.value, p.shard, p.scan, p.scan.step))
	e.flag(e.o.book.byWire[p.wire] == p)
	e.byte(byte(len(p.tries)))
	for i := range p.tries {
		e.try(p, &p.tries[i])
	}
}

func (e *encoder) try(p *part, t *try) {
	e.flag(t.out)
	if e.flag(t.never); !t.out {
		if e.o.set.Brain.Types[p.scan.class].Effect == policy.IdempotentByKey {
			e.time(t.at)
		}
		return // it is back, and nobody looks at anything else of it
	}
	e.byte(byte(t.end))
	e.byte(byte(slices.Index(e.n.Searchers, t.srv.host.Name)))
	i, ok := e.o.fleet.byName[t.srv.host.Name]
	e.flag(ok && e.o.fleet.srvs[i] == t.srv)
	if e.n.Took || e.o.set.Brain.Types[p.scan.class].Effect == policy.IdempotentByKey {
		e.time(t.at)
	}
	switch {
	case t.lane == nil:
		e.byte(255)
	case t.lane.gone:
		e.byte(254)
		e.byte(byte(t.lane.lost))
	default:
		e.byte(byte(slices.Index(t.srv.lanes, t.lane)))
	}
}

func (e *encoder) task(t task) {
	e.byte(byte(t.what))
	switch t.what {
	case wake:
		e.int(int(t.token))
	case tooSlow, tooLate, back:
		e.ref(t.p)
		e.byte(byte(t.no))
		e.byte(byte(t.end))
		e.flag(t.p.tries[t.no].out)
	case goOn:
		e.byte(byte(e.n.Scan(t.s)))
		e.flag(e.o.book.scans[t.s.id] == t.s)
		var in uint64
		for _, p := range t.s.chosen {
			in |= 1 << e.n.Shard(p.shard)
		}
		e.int(int(in))
	}
}

// idle tells that a timer has nothing to do any more, or nothing that a state tells.
func (t task) idle() bool {
	switch t.what {
	case tooSlow:
		y := &t.p.tries[t.no]
		return !y.out || y.end != policy.Expired
	case tooLate:
		y := &t.p.tries[t.no]
		return !y.out || y.lane == nil || y.lane.ended || y.lane.conn.Ran(y.seq)
	case sweep, report:
		return true
	}
	return false
}

func (e *encoder) timers() {
	var left []timer
	for _, t := range e.o.timers.heap {
		if !t.idle() {
			left = append(left, t)
		}
	}
	slices.SortFunc(left, func(a, b timer) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.n, b.n)) })
	e.byte(byte(len(left)))
	for _, t := range left {
		e.time(t.at)
		e.task(t.task)
	}
}

// Boundary is the next time at which something is due that has an effect; wakes: those of the module count.
func (o *Life) Boundary(wakes bool) (at time.Duration, ok bool) {
	for _, t := range o.timers.heap {
		if !t.idle() && (wakes || t.what != wake) && (!ok || t.at < at) {
			at, ok = t.at, true
		}
	}
	return at, ok
}

// Waiting tells that results wait for the next batch, or dispatches for the end of this one.
func (o *Life) Waiting() (results, dispatches bool) { return len(o.later) > 0, len(o.out) > 0 }

// Held counts what is held. Least is the least count of dispatches out at any searcher: none may go below zero.
type Held struct{ Scans, Parts, Wires, Open, Lanes, Live, Least, Places int }

// Held counts.
func (o *Life) Held() Held {
	h := Held{Scans: len(o.book.scans), Parts: len(o.book.parts), Wires: len(o.book.byWire), Open: o.book.open,
		Lanes: o.fleet.lanes, Places: len(o.fleet.byName)}
	for _, s := range o.fleet.srvs {
		h.Live += s.live
		h.Least = min(h.Least, s.live)
	}
	return h
}

// Outs walks the dispatches believed to be out on connections.
func (o *Life) Outs(yield func(c Conn, seq uint64, wire string)) {
	for _, s := range o.fleet.srvs {
		for _, l := range s.lanes {
			for p, no := range l.out {
				yield(l.conn, p.tries[no].seq, p.wire)
			}
		}
	}
}

// Sent is where a dispatch went: the frame, and the part's id on its wire. None if it is not known or never left.
func (o *Life) Sent(id uint64, no int) (c Conn, seq uint64, wire string, ok bool) {
	p := o.book.parts[id]
	if p == nil || no >= len(p.tries) || p.tries[no].lane == nil {
		return nil, 0, "", false
	}
	return p.tries[no].lane.conn, p.tries[no].seq, p.wire, true
}

// Place names the searcher with an index.
func (o *Life) Place(i int) string { return o.fleet.srvs[i].host.Name }
