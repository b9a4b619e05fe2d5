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

// fakeTransport is a Transport whose connections report events only when the test calls for them.
type fakeTransport struct {
	coordinator *Coordinator
	conns       []*fakeConn
	lost        int
	unconfirmed int
}

// fakeConn is a TransportConn that queues frames until writeAll.
type fakeConn struct {
	conn    *Connection
	last    uint64
	written uint64
	queue   []queuedFrame
	cause   error
}

// queuedFrame is a frame that is not written yet, with the wire ids of its parts.
type queuedFrame struct {
	seq uint64
	ids []string
}

func (w *fakeTransport) Open(_ string, conn *Connection) TransportConn {
	c := &fakeConn{conn: conn}
	w.conns = append(w.conns, c)
	return c
}

func (w *fakeTransport) RequestList()                           {}
func (w *fakeTransport) PartsLost(_ string, parts int, _ error) { w.lost += parts }
func (w *fakeTransport) PartsUnconfirmed(_ string, parts int)   { w.unconfirmed += parts }
func (w *fakeTransport) ListApplied(proto.List)                 {}
func (w *fakeTransport) ListUnavailable()                       {}
func (w *fakeTransport) LogCounters(Counters)                   {}

func (c *fakeConn) Send(calls []proto.Call) (uint64, bool) {
	ids := []string{}
	for _, k := range calls {
		ids = append(ids, k.ID)
	}
	return c.enqueue(ids)
}

func (c *fakeConn) Cancel(id string, _ bool) (uint64, bool) { return c.enqueue([]string{"K " + id}) }

func (c *fakeConn) enqueue(wireIDs []string) (uint64, bool) {
	if c.cause != nil {
		return 0, false
	}
	c.last++
	c.queue = append(c.queue, queuedFrame{c.last, wireIDs})
	return c.last, true
}

func (c *fakeConn) Withdraw(seq uint64, id string) bool {
	for i, q := range c.queue {
		if q.seq == seq && len(q.ids) == 1 && q.ids[0] == id {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (c *fakeConn) Written(seq uint64) bool { return seq <= c.written }
func (c *fakeConn) WriteStarted(seq uint64) bool {
	return !slices.ContainsFunc(c.queue, func(q queuedFrame) bool { return q.seq == seq })
}

func (c *fakeConn) Closing() bool { return c.cause != nil }
func (c *fakeConn) Close()        { c.Fail(fmt.Errorf("closed by this mixer")) }

func (c *fakeConn) Fail(cause error) {
	if c.cause == nil {
		c.cause = cause
	}
}

// writeAll marks all queued frames as written.
func (w *fakeTransport) writeAll() {
	for _, c := range w.conns {
		c.queue, c.written = nil, c.last
	}
}

// reportClosing and reportClosed deliver the closing events of the connections that were closed or failed.
func (w *fakeTransport) reportClosing() {
	for _, c := range w.conns {
		if c.cause != nil && !c.conn.closing {
			w.coordinator.ConnectionClosing(c.conn, c.cause)
		}
	}
}

func (w *fakeTransport) reportClosed(confirmed bool) {
	left := w.conns[:0]
	for _, c := range w.conns {
		if c.cause == nil {
			left = append(left, c)
			continue
		}
		w.coordinator.ConnectionClosed(c.conn, confirmed)
	}
	w.conns = left
}

func (w *fakeTransport) reportEnd(confirmed bool) { w.reportClosing(); w.reportClosed(confirmed) }

// newCoordinator returns a Coordinator for a fleet of four searchers, with its transport. edit may change the settings.
func newCoordinator(t *testing.T, edit func(*config.Settings)) (*Coordinator, *fakeTransport) {
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
	w := &fakeTransport{}
	w.coordinator = New(&c.Settings, Limits{Open: 200, ConnectionsPerSearcher: 25, Connections: 500,
		PartsPerConnection: 8, AnswerHistory: 16, IdleTimeout: 12 * time.Second, LogInterval: 10 * time.Second},
		w, time.Unix(1e9, 0))
	return w.coordinator, w
}

// onePartScan returns a scan of shard 1 alone.
func onePartScan(id string) *Scan {
	return &Scan{Query: proto.Query{ID: id, Class: "narrow", Wait: time.Second, Parts: []proto.Part{{Shard: 1, Weight: 1}}},
		Reply: func(Answer) {}}
}

// Only parts without a value count as open. Otherwise a burst of scans is rejected although there is room: most parts of
// the scans in flight had returned, and the second step had replaced the first.
func TestAnsweredPartsDoNotCountAsOpen(t *testing.T) {
	c, _ := newCoordinator(t, nil)
	q := proto.Query{ID: "x", Class: "wide", Wait: time.Second}
	for s := range 4 {
		q.Parts = append(q.Parts, proto.Part{Shard: s, Weight: 0.25})
	}
	var hosts []proto.Host
	for i := range 4 {
		hosts = append(hosts, proto.Host{Name: fmt.Sprint(i), Addr: "nowhere", Shard: i, Weight: 1})
	}
	c.ApplyList(policy.Full, proto.List{Hosts: hosts})
	s := &Scan{Query: q, Reply: func(Answer) {}}
	c.Admit(s, 0)
	c.flush()
	succeed := func(wireID string) {
		p := c.pending.byWireID[wireID]
		c.AnswerReceived(p.attempts[0].conn, proto.Answer{ID: wireID, Outcome: policy.Succeeded}, false)
	}
	for i, want := range []int{4, 3, 2} {
		if succeed(fmt.Sprintf("x.%d", i)); c.pending.open != want {
			t.Errorf("%d open with %d parts answered", c.pending.open, i+1)
		}
	}
	succeed("x.3")
	for _, f := range c.deferred {
		c.do(f)
	}
	if c.pending.open != 3 {
		t.Errorf("%d open in the second step", c.pending.open)
	}
	c.ClientLeft(s)
	if c.pending.open != 0 {
		t.Errorf("%d open after the end", c.pending.open)
	}
}

// An attempt that is not written yet, in the batch or on a connection that does not open, must not be sent after its scan
// has ended.
func TestNothingIsSentAfterTheScanEnds(t *testing.T) {
	for _, sent := range []bool{false, true} {
		c, _ := newCoordinator(t, nil)
		s := onePartScan("x")
		c.ApplyList(policy.Full, proto.List{Hosts: []proto.Host{{Name: "a", Addr: "nowhere", Shard: 1, Weight: 1}}})
		c.Admit(s, 0)
		if len(c.unsent) != 1 {
			t.Fatalf("%d parts sent", len(c.unsent))
		}
		if sent {
			c.flush()
		}
		p := c.pending.byWireID["x.1"]
		c.ClientLeft(s)
		c.flush()
		if conn := p.attempts[0].conn; sent != (conn != nil) || sent && conn.transport.Withdraw(p.attempts[0].seq, "x.1") {
			t.Error("a part is still queued after the end of its scan")
		}
		for _, f := range c.deferred {
			c.do(f)
		}
		if len(c.pending.parts) > 0 || len(c.pending.byWireID) > 0 || c.pending.open > 0 {
			t.Errorf("still pending: %v", c.pending)
		}
	}
}

// Searchers are replaced continuously under new names. Indexes of removed searchers must be reused, and the policy must
// treat their new owners as new.
func TestIndexesOfRemovedSearchersAreReused(t *testing.T) {
	c, w := newCoordinator(t, nil)
	rng := rand.New(rand.NewSource(4))
	addr := "nowhere"
	for i := range 300 {
		c.now += time.Second
		c.policy.Advance(c.now)
		l := proto.List{Full: rng.Intn(2) == 0}
		for j := range 4 {
			l.Hosts = append(l.Hosts, proto.Host{Name: fmt.Sprint(i+1, ".", j), Addr: addr, Shard: j, Weight: 1})
			if !l.Full {
				l.Hosts = append(l.Hosts, proto.Host{Name: fmt.Sprint(i, ".", j), State: policy.Gone})
			}
		}
		c.ApplyList(map[bool]policy.ListMode{false: policy.Changes, true: policy.Full}[l.Full], l)
		s := onePartScan(fmt.Sprint(i))
		c.Admit(s, 0)
		if c.flush(); len(c.searchers.entries) > 16 || len(c.searchers.byName) > 12 {
			t.Fatalf("%d indexes, %d names after %d rounds", len(c.searchers.entries), len(c.searchers.byName), i)
		}
		if c.searchers.connections > 8 {
			t.Fatalf("%d connections", c.searchers.connections)
		}
		c.ClientLeft(s)
		for _, f := range c.deferred {
			c.do(f)
		}
		c.deferred = nil
		if rng.Intn(3) == 0 {
			continue
		}
		for _, srv := range c.searchers.entries {
			for _, conn := range srv.connections {
				conn.transport.Close()
			}
		}
		w.reportEnd(true)
		if c.searchers.connections > 0 {
			t.Fatalf("%d connections are left after they were closed", c.searchers.connections)
		}
	}
}

// An answer to a part that was never sent on its connection closes the connection. Late and duplicate answers do not.
// Extra bytes behind the last answer due stop the connection from accepting new attempts.
func TestUnsolicitedAnswers(t *testing.T) {
	c, w := newCoordinator(t, nil)
	c.ApplyList(policy.Full, proto.List{Hosts: []proto.Host{{Name: "a", Addr: "nowhere", Shard: 0, Weight: 1},
		{Name: "b", Addr: "nowhere", Shard: 1, Weight: 1}}})
	admit := func(id string) (*Scan, *Connection) {
		s := onePartScan(id)
		c.Admit(s, 0)
		c.flush()
		return s, s.parts[0].attempts[0].conn
	}
	_, conn := admit("x")
	answer := proto.Answer{ID: "x.1", Outcome: policy.Succeeded, Value: "v"}
	c.AnswerReceived(conn, answer, false)
	c.AnswerReceived(conn, answer, false)
	if conn.retired || len(conn.inFlight) > 0 {
		t.Error("a duplicate answer retired the connection")
	}
	_, conn = admit("y")
	_, conn2 := admit("z")
	if conn != conn2 {
		t.Fatal("two connections")
	}
	answer.ID = "y.1"
	if c.AnswerReceived(conn, answer, true); conn.retired {
		t.Error("extra bytes retired the connection while another answer was due")
	}
	answer.ID = "z.1"
	if c.AnswerReceived(conn, answer, true); !conn.retired {
		t.Error("extra bytes behind the last answer did not retire the connection")
	}
	w.reportEnd(true)
	s, conn := admit("w")
	answer.ID = "nobody.1"
	c.AnswerReceived(conn, answer, false)
	w.reportEnd(true)
	if len(conn.inFlight) > 0 || c.searchers.connections > 0 {
		t.Errorf("still in flight: %v", s.parts)
	}
}

// The answer of a fast searcher is read before the write of its part returns. It counts, whatever its outcome. If it were
// dropped, the scan would wait for an answer that was already given. Only if an earlier attempt of the part is still to be
// answered on the connection is it taken for that attempt's answer.
func TestAnswerBeforeWriteReturns(t *testing.T) {
	for _, outcome := range []policy.Outcome{policy.Succeeded, policy.Failed, policy.Overloaded} {
		c, w := newCoordinator(t, nil)
		c.ApplyList(policy.Full, proto.List{Hosts: []proto.Host{{Name: "a", Addr: "there", Shard: 1, Weight: 1}}})
		s := onePartScan("x")
		var got *Answer
		s.Reply = func(a Answer) { got = &a }
		c.Admit(s, 0)
		c.flush()
		p := s.parts[0]
		w.conns[0].queue = nil // the write has begun and has not returned
		c.AnswerReceived(p.attempts[0].conn, proto.Answer{ID: "x.1", Outcome: outcome, Value: "v"}, false)
		if p.attempts[0].inFlight || outcome == policy.Succeeded && (got == nil || got.Kind != Completed) {
			t.Errorf("outcome %d: still in flight %v, answered %+v", outcome, p.attempts[0].inFlight, got)
		}
	}
}

// An attempt whose searcher does not confirm its end stays in flight until its scan ends, and is then released; with a
// confirmation it ends at once. If hedging is allowed, or the scan is over, it does not wait for a confirmation.
func TestUnconfirmedAttemptsStayInFlightUntilTheScanEnds(t *testing.T) {
	for _, tc := range []struct {
		name                      string
		confirmed, hedging, ended bool
		inFlightAfter             [2]bool // once this mixer closes the connection, and once the connection is closed
	}{
		{"no word", false, false, false, [2]bool{true, true}},
		{"word", true, false, false, [2]bool{true, false}},
		{"copies", false, true, false, [2]bool{}},
		{"over", false, false, true, [2]bool{}},
	} {
		c, w := newCoordinator(t, func(set *config.Settings) { set.Policy.MayHedge = tc.hedging })
		c.ApplyList(policy.Full, proto.List{Hosts: []proto.Host{{Name: "a", Addr: "there", Shard: 1, Weight: 1}}})
		s := onePartScan("x")
		c.Admit(s, 0)
		c.flush()
		w.writeAll()
		p := s.parts[0]
		if tc.ended {
			c.ClientLeft(s)
		}
		p.attempts[0].conn.transport.Fail(errUnsolicited)
		var inFlight [2]bool
		w.reportClosing()
		inFlight[0] = p.attempts[0].inFlight
		w.reportClosed(tc.confirmed)
		inFlight[1] = p.attempts[0].inFlight
		if inFlight != tc.inFlightAfter || c.searchers.connections != 0 {
			t.Errorf("%s: in flight %v, %d connections", tc.name, inFlight, c.searchers.connections)
		}
		if !tc.ended {
			c.ClientLeft(s)
		}
		for _, f := range c.deferred {
			c.do(f)
		}
		if len(c.pending.parts) > 0 || p.attempts[0].inFlight || p.inFlight != 0 {
			t.Errorf("%s: parts are left after the scan", tc.name)
		}
	}
}

func TestTimersAreOrdered(t *testing.T) {
	rng := rand.New(rand.NewSource(3))
	var q timers
	last, n := time.Duration(-1), 0
	for range 500 {
		at := time.Duration(rng.Intn(50))
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
