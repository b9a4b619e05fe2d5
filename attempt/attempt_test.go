package attempt

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"peathollow/internal/config"
	"peathollow/internal/proto"
	"peathollow/internal/standin"
	"peathollow/policy"
)

// wires is the outside as a test plays it: connections whose events come when the test says so.
type wires struct {
	o     *Life
	conns []*wire
	lost  int
	doubt int
}

type wire struct {
	l       *Lane
	last    uint64
	written uint64
	queue   []queued
	why     error
}

type queued struct {
	seq uint64
	ids []string
}

func (w *wires) Open(_ string, l *Lane) Conn {
	c := &wire{l: l}
	w.conns = append(w.conns, c)
	return c
}

func (w *wires) Ask()                              {}
func (w *wires) Lost(_ string, parts int, _ error) { w.lost += parts }
func (w *wires) InDoubt(_ string, parts int)       { w.doubt += parts }
func (w *wires) Listed(proto.List)                 {}
func (w *wires) Silent()                           {}
func (w *wires) Tally(Tally)                       {}

func (c *wire) Send(calls []proto.Call) (uint64, bool) {
	ids := []string{}
	for _, k := range calls {
		ids = append(ids, k.ID)
	}
	return c.put(ids)
}

func (c *wire) GiveUp(id string, _ bool) (uint64, bool) { return c.put([]string{"K " + id}) }

func (c *wire) put(ids []string) (uint64, bool) {
	if c.why != nil {
		return 0, false
	}
	c.last++
	c.queue = append(c.queue, queued{c.last, ids})
	return c.last, true
}

func (c *wire) Recall(seq uint64, id string) bool {
	for i, q := range c.queue {
		if q.seq == seq && len(q.ids) == 1 && q.ids[0] == id {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (c *wire) Ran(seq uint64) bool { return seq <= c.written }
func (c *wire) Begun(seq uint64) bool {
	return !slices.ContainsFunc(c.queue, func(q queued) bool { return q.seq == seq })
}

func (c *wire) Shut() bool { return c.why != nil }
func (c *wire) Close()     { c.Fail(fmt.Errorf("closed by this mixer")) }

func (c *wire) Fail(why error) {
	if c.why == nil {
		c.why = why
	}
}

// write has all that is queued written.
func (w *wires) write() {
	for _, c := range w.conns {
		c.queue, c.written = nil, c.last
	}
}

// closing and closed tell the end of connections that were ended.
func (w *wires) closing() {
	for _, c := range w.conns {
		if c.why != nil && !c.l.ended {
			w.o.Closing(c.l, c.why)
		}
	}
}

func (w *wires) closed(heard bool) {
	left := w.conns[:0]
	for _, c := range w.conns {
		if c.why == nil {
			left = append(left, c)
			continue
		}
		w.o.Closed(c.l, heard)
	}
	w.conns = left
}

func (w *wires) end(heard bool) { w.closing(); w.closed(heard) }

func begin(t *testing.T, edit func(*config.Settings)) (*Life, *wires) {
	t.Helper()
	f, err := standin.NewFleet(4, func(int, proto.Call) standin.Reply { return standin.Reply{} }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	c, err := config.Load(func(k string) string { return map[string]string{"ROUTER_CONFIG": "x"}[k] },
		func(string) ([]byte, error) { return f.Config(nil), nil })
	if err != nil {
		t.Fatal(err)
	}
	if edit != nil {
		edit(&c.Settings)
	}
	w := &wires{}
	w.o = New(&c.Settings, Limits{Open: 200, PerSearcher: 25, Lanes: 500, Parts: 8, Past: 16, LaneIdle: 12 * time.Second, LogEvery: 10 * time.Second},
		w, time.Unix(1e9, 0))
	return w.o, w
}

// onePart is a scan of shard 1 alone.
func onePart(id string) *Scan {
	return &Scan{Query: proto.Query{ID: id, Class: "narrow", Wait: time.Second, Parts: []proto.Part{{Shard: 1, Weight: 1}}},
		Reply: func(Answer) {}}
}

// Only parts still waited for count as held. Against turning away, in a burst, scans there was room for: those in
// hand had most of their parts, and the second step took the place of the first.
func TestWhatIsInIsNotHeld(t *testing.T) {
	o, _ := begin(t, nil)
	q := proto.Query{ID: "x", Class: "wide", Wait: time.Second}
	for s := range 4 {
		q.Parts = append(q.Parts, proto.Part{Shard: s, Weight: 0.25})
	}
	var hosts []proto.Host
	for i := range 4 {
		hosts = append(hosts, proto.Host{Name: fmt.Sprint(i), Addr: "nowhere", Cell: i, Weight: 1})
	}
	o.List(policy.Full, proto.List{Hosts: hosts})
	s := &Scan{Query: q, Reply: func(Answer) {}}
	o.Admit(s, 0)
	o.flush()
	pass := func(wire string) {
		p := o.book.byWire[wire]
		o.Answered(p.tries[0].lane, proto.Answer{ID: wire, End: policy.Succeeded}, false)
	}
	for i, want := range []int{4, 3, 2} {
		if pass(fmt.Sprintf("x.%d", i)); o.book.open != want {
			t.Errorf("%d held with %d parts in", o.book.open, i+1)
		}
	}
	pass("x.3")
	for _, f := range o.later {
		o.do(f)
	}
	if o.book.open != 3 {
		t.Errorf("%d held in the second step", o.book.open)
	}
	o.Left(s)
	if o.book.open != 0 {
		t.Errorf("%d held after the end", o.book.open)
	}
}

// What waits to leave, in the batch or on a connection that does not come up, must not leave after its scan's end.
func TestNothingLeavesAfterTheEnd(t *testing.T) {
	for _, sent := range []bool{false, true} {
		o, _ := begin(t, nil)
		s := onePart("x")
		o.List(policy.Full, proto.List{Hosts: []proto.Host{{Name: "a", Addr: "nowhere", Cell: 1, Weight: 1}}})
		o.Admit(s, 0)
		if len(o.out) != 1 {
			t.Fatalf("%d parts sent", len(o.out))
		}
		if sent {
			o.flush()
		}
		p := o.book.byWire["x.1"]
		o.Left(s)
		o.flush()
		if l := p.tries[0].lane; sent != (l != nil) || sent && l.conn.Recall(p.tries[0].seq, "x.1") {
			t.Error("a part waits to leave after the end")
		}
		for _, f := range o.later {
			o.do(f)
		}
		if len(o.book.parts) > 0 || len(o.book.byWire) > 0 || o.book.open > 0 {
			t.Errorf("still held: %v", o.book)
		}
	}
}

// Searchers that are replaced all day under new names: places are used again, and the module starts them as new.
func TestPlacesOfSearchersThatAreGone(t *testing.T) {
	o, w := begin(t, nil)
	dice := rand.New(rand.NewSource(4))
	addr := "nowhere"
	for i := range 300 {
		o.now += time.Second
		o.m.Advance(o.now)
		l := proto.List{Whole: dice.Intn(2) == 0}
		for j := range 4 {
			l.Hosts = append(l.Hosts, proto.Host{Name: fmt.Sprint(i+1, ".", j), Addr: addr, Cell: j, Weight: 1})
			if !l.Whole {
				l.Hosts = append(l.Hosts, proto.Host{Name: fmt.Sprint(i, ".", j), State: policy.Gone})
			}
		}
		o.List(map[bool]policy.ListMode{false: policy.Changes, true: policy.Full}[l.Whole], l)
		s := onePart(fmt.Sprint(i))
		o.Admit(s, 0)
		if o.flush(); len(o.fleet.srvs) > 16 || len(o.fleet.byName) > 12 {
			t.Fatalf("%d places, %d names after %d rounds", len(o.fleet.srvs), len(o.fleet.byName), i)
		}
		if o.fleet.lanes > 8 {
			t.Fatalf("%d connections", o.fleet.lanes)
		}
		o.Left(s)
		for _, f := range o.later {
			o.do(f)
		}
		o.later = nil
		if dice.Intn(3) == 0 {
			continue
		}
		for _, srv := range o.fleet.srvs {
			for _, l := range srv.lanes {
				l.conn.Close()
			}
		}
		w.end(true)
		if o.fleet.lanes > 0 {
			t.Fatalf("%d connections are left", o.fleet.lanes)
		}
	}
}

// An answer that was never asked for on its connection ends that; late ones and second copies end nothing, and bytes
// behind the last answer let it take nothing new.
func TestAnswersOutOfStep(t *testing.T) {
	o, w := begin(t, nil)
	o.List(policy.Full, proto.List{Hosts: []proto.Host{{Name: "a", Addr: "nowhere", Cell: 0, Weight: 1}, {Name: "b", Addr: "nowhere", Cell: 1, Weight: 1}}})
	ask := func(id string) (*Scan, *Lane) {
		s := onePart(id)
		o.Admit(s, 0)
		o.flush()
		return s, s.parts[0].tries[0].lane
	}
	_, l := ask("x")
	pass := proto.Answer{ID: "x.1", End: policy.Succeeded, Value: "v"}
	o.Answered(l, pass, false)
	o.Answered(l, pass, false)
	if l.retired || len(l.out) > 0 {
		t.Error("a second copy counts against the connection")
	}
	_, l = ask("y")
	_, l2 := ask("z")
	if l != l2 {
		t.Fatal("two connections")
	}
	pass.ID = "y.1"
	if o.Answered(l, pass, true); l.retired {
		t.Error("bytes behind an answer while another is due")
	}
	pass.ID = "z.1"
	if o.Answered(l, pass, true); !l.retired {
		t.Error("bytes behind the last answer")
	}
	w.end(true)
	s, l := ask("w")
	pass.ID = "nobody.1"
	o.Answered(l, pass, false)
	w.end(true)
	if len(l.out) > 0 || o.fleet.lanes > 0 {
		t.Errorf("still out: %v", s.parts)
	}
}

// A quick searcher's answer is read before the write of its part has returned. It counts, whatever it says; against
// dropping it, so that its scan waits for an answer that was given. Only where an earlier dispatch of the part is
// still to be answered on the connection is it taken for the answer to that.
func TestAnAnswerOvertakesItsWrite(t *testing.T) {
	for _, end := range []policy.Outcome{policy.Succeeded, policy.Failed, policy.Overloaded} {
		o, w := begin(t, nil)
		o.List(policy.Full, proto.List{Hosts: []proto.Host{{Name: "a", Addr: "there", Cell: 1, Weight: 1}}})
		s := onePart("x")
		var got *Answer
		s.Reply = func(a Answer) { got = &a }
		o.Admit(s, 0)
		o.flush()
		p := s.parts[0]
		w.conns[0].queue = nil // taken up; the write has not returned
		o.Answered(p.tries[0].lane, proto.Answer{ID: "x.1", End: end, Value: "v"}, false)
		if p.tries[0].out || end == policy.Succeeded && (got == nil || got.Kind != Completed) {
			t.Errorf("outcome %d: still out %v, answered %+v", end, p.tries[0].out, got)
		}
	}
}

// What ends without its searcher's word stays out till its scan has ended, and is then let go; with that word it
// ends at once. What is left with copies allowed, or once its scan is over, waits for nobody.
func TestInDoubtTillTheScanEnds(t *testing.T) {
	for _, c := range []struct {
		name                  string
		heard, copies, isOver bool
		outAfter              [2]bool // after this mixer's end of the connection, and after the connection is gone
	}{
		{"no word", false, false, false, [2]bool{true, true}},
		{"word", true, false, false, [2]bool{true, false}},
		{"copies", false, true, false, [2]bool{}},
		{"over", false, false, true, [2]bool{}},
	} {
		o, w := begin(t, func(set *config.Settings) { set.Brain.MayHedge = c.copies })
		o.List(policy.Full, proto.List{Hosts: []proto.Host{{Name: "a", Addr: "there", Cell: 1, Weight: 1}}})
		s := onePart("x")
		o.Admit(s, 0)
		o.flush()
		w.write()
		p := s.parts[0]
		if c.isOver {
			o.Left(s)
		}
		p.tries[0].lane.conn.Fail(errNeverAsked)
		var out [2]bool
		w.closing()
		out[0] = p.tries[0].out
		w.closed(c.heard)
		out[1] = p.tries[0].out
		if out != c.outAfter || o.fleet.lanes != 0 {
			t.Errorf("%s: out %v, %d connections", c.name, out, o.fleet.lanes)
		}
		if !c.isOver {
			o.Left(s)
		}
		for _, f := range o.later {
			o.do(f)
		}
		if len(o.book.parts) > 0 || p.tries[0].out || p.live != 0 {
			t.Errorf("%s: parts are left", c.name)
		}
	}
}

func TestTimersAreOrdered(t *testing.T) {
	dice := rand.New(rand.NewSource(3))
	var q timers
	last, n := time.Duration(-1), 0
	for range 500 {
		at := time.Duration(dice.Intn(50))
		q.add(at, task{token: uint64(at)})
	}
	for f, ok := q.due(50); ok; f, ok = q.due(50) {
		if at := time.Duration(f.token); at < last {
			t.Errorf("%d after %d", at, last)
		} else {
			last = at
		}
		n++
	}
	if n != 500 || q.next(0) != time.Hour {
		t.Errorf("%d ran", n)
	}
}
