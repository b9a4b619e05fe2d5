package explore

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"peathollow/attempt"
	"peathollow/internal/proto"
	"peathollow/policy"
)

// World is one run: the life that is explored, its decider, and the outside with all that truly happened there. Every
// choice in it is asked of ask, so that a run is told by its choices alone.
type World struct {
	set  *Setup
	life *attempt.Coordinator
	ask  func(n int, label func(int) string) int
	free *free // nil with the real module
	real *policy.Engine

	now     time.Duration
	inBatch bool
	reduced bool // by the order of steps that are independent
	alike   bool // only one of several readers that are alike is offered
	scans   []*scan
	sents   []*sent
	conns   []*conn
	readers []reader
	spent   int
	listed  int64
	stopped bool
	quiet   bool     // no more choices: the outside does nothing
	every   bool     // steps with one way alone are asked for as well, that they can be told
	inside  int      // calls of the decider
	ends    []string // what the scans came to

	dispatched map[[2]uint64]bool // part and number of the try, as the decider asked
	told       map[[2]uint64]bool
	bad        *Violation
	only       string // the property that is looked at; empty: all
}

// scan is a client's request, and what truly came for it.
type scan struct {
	nr      int
	s       *attempt.Scan
	at      time.Duration
	step    int // the one in hand
	replies int
	in      []came
}

type came struct {
	step, shard int
	value       string
}

func (s *scan) name() string { return fmt.Sprintf("scan %d", s.nr+1) }

func (s *scan) came(step, shard int, value string) bool {
	return slices.Contains(s.in, came{step, shard, value})
}

func (s *scan) passed(step int) int {
	var shards uint64
	for _, c := range s.in {
		if c.step == step {
			shards |= 1 << c.shard
		}
	}
	n := 0
	for ; shards > 0; shards &= shards - 1 {
		n++
	}
	return n
}

func (s *scan) passedBy(x *sent) bool {
	return slices.ContainsFunc(s.in, func(c came) bool { return c.step == x.step && c.shard == x.shard })
}

// reader is a searcher as the list has it.
type reader struct {
	state  policy.SearcherState
	moved  bool          // it came back at another address
	gone   bool          // once
	toldAt time.Duration // that it drains or is gone
}

// state is what truly became of a dispatch.
type state uint8

const (
	queued   state = iota // not begun to be written
	begun                 // its frame is in the hands of the connection, unfinished
	onWire                // written whole, and no end of it is known
	answered              // its answer was handed over
	recalled              // taken back out of the queue
	heardOf               // the reader is known to have read that it was given up
	ended                 // the reader ended the connection; or its frame was never finished and never will be
)

type sent struct {
	c         *conn
	scan      *scan
	seq       uint64
	wire      string
	shard     int
	step      int
	nr        int // of the dispatches of its part that left the mixer's hands
	state     state
	end       policy.Outcome // of the answer
	at        time.Duration  // when it was written whole
	wrote     bool
	killed    bool // a frame that gives it up is written behind it
	twice     bool
	believed  bool
	forgotten bool // all in hand was given up in a restart
}

func (x *sent) name() string {
	step := ""
	if x.step > 0 {
		step = " of the second step"
	}
	return fmt.Sprintf("part %d%s of %s (dispatch %d)", x.shard+1, step, x.scan.name(), x.nr+1)
}

// running tells that it may be running, now or later.
func (x *sent) running() bool { return x.state == begun || x.state == onWire }

// mayHaveRun: it was written whole, and not turned away.
func (x *sent) mayHaveRun() bool {
	return x.wrote && (x.state != answered || x.end != policy.Overloaded)
}

// mayHaveRun tells that any part of a scan may have run.
func (w *World) mayHaveRun(s *scan) bool {
	return slices.ContainsFunc(w.sents, func(x *sent) bool { return x.scan == s && x.mayHaveRun() })
}

var errShut = errors.New("closed by this mixer")

// NewWorld begins a run: a mixer that knows the list, and has one scan in hand.
func NewWorld(set *Setup, ask func(n int, label func(int) string) int) *World {
	w := &World{set: set, ask: ask, dispatched: map[[2]uint64]bool{}, told: map[[2]uint64]bool{}}
	w.readers = make([]reader, set.Readers)
	w.life = attempt.NewWith(set.cfg, limits(), w, time.Unix(1e9, 0), w.decider)
	return w
}

// begin hands over the list and the scan; its choices are the first of a run.
func (w *World) begin() {
	w.open()
	w.guard(func() { w.list(policy.Full) })
	w.life.Start()
	w.submit("x")
	w.close()
}

func (w *World) decider(act policy.Actions, now time.Duration) attempt.Policy {
	w.free, w.real = nil, nil
	if w.set.Decider == "free" {
		w.free = newFree(w, act, now)
		return watch{w, w.free}
	}
	w.real = policy.New(w.set.cfg.Brain, asked{act, w}, now)
	return watch{w, w.real}
}

// open and close are the two ends of a batch.
func (w *World) open() {
	if !w.inBatch {
		w.inBatch = true
		w.life.BeginBatch(w.now, w.guard)
	}
}

func (w *World) close() {
	w.inBatch = false
	w.life.EndBatch(w.guard)
	w.settled()
}

// errDecider is what a decider panics with on purpose.
var errDecider = errors.New("a panic of the decider")

// guard does what the owner's does.
func (w *World) guard(f func()) {
	defer func() {
		if e := recover(); e != nil {
			if e != errDecider {
				w.broke(noPanic, "%v", e)
				return
			}
			for _, x := range w.sents {
				x.forgotten = true
			}
			w.dispatched = map[[2]uint64]bool{}
			w.life.Restart()
		}
	}()
	f()
}

func (w *World) submit(id string) {
	q := proto.Query{ID: id, Class: "t", Tenant: "one", Key: "k", Wait: wait}
	for i := range w.set.Parts {
		q.Parts = append(q.Parts, proto.Part{Shard: i, Weight: 1 / float64(w.set.Parts)})
	}
	s := &scan{nr: len(w.scans), at: w.now}
	s.s = &attempt.Scan{Query: q, Reply: func(a attempt.Answer) { w.reply(s, a) }}
	w.scans = append(w.scans, s)
	w.guard(func() { w.life.Admit(s.s, 0) })
}

func (w *World) reply(s *scan, a attempt.Answer) {
	var body struct {
		Exact bool
		Rows  []proto.Row
	}
	kind := [...]string{"completed", "throttled", "abandoned", "unfit"}[a.Kind]
	rows, twice := map[int]string{}, 0
	if a.Kind == attempt.Completed {
		if err := json.Unmarshal(a.Body, &body); err != nil {
			w.broke(values, "%s: unreadable answer: %v", s.name(), err)
		}
		for _, r := range body.Rows {
			if _, ok := rows[r.Shard]; ok {
				twice = r.Shard + 1
			}
			rows[r.Shard] = r.Value
		}
	}
	w.ends = append(w.ends, fmt.Sprintf("%s %s %d %t after %v", s.name(), kind, len(rows), body.Exact, w.now-s.at))
	w.replied(s, body.Exact, rows, twice, kind)
}

// list tells the life what the readers are.
func (w *World) list(mode policy.ListMode) {
	w.listed++
	l := proto.List{Version: w.listed, Whole: mode == policy.Full}
	for i, r := range w.readers {
		addr := readerName(i)
		if r.moved {
			addr += "'"
		}
		l.Hosts = append(l.Hosts, proto.Host{Name: readerName(i), Addr: addr, State: r.state, Weight: 1})
	}
	w.life.ApplyList(mode, l)
}

func readerName(i int) string { return string(rune('a' + i)) }

// Open and what follows are the port.
func (w *World) Open(addr string, l *attempt.Connection) attempt.TransportConn {
	c := &conn{w: w, l: l, nr: len(w.conns), reader: int(addr[0] - 'a'), addr: addr}
	w.conns = append(w.conns, c)
	return c
}

func (w *World) RequestList()                 {}
func (w *World) PartsLost(string, int, error) {}
func (w *World) PartsUnconfirmed(string, int) {}
func (w *World) ListApplied(proto.List)       {}
func (w *World) ListUnavailable()             {}
func (w *World) LogCounters(attempt.Counters) {}

func (w *World) believed(c attempt.TransportConn, seq uint64, wire string) {
	w.believes(c.(*conn), seq, wire)
}

// secondStep checks what a part of the second step says of the first.
func (w *World) secondStep(s *scan, k proto.Call) {
	for _, shard := range k.From {
		if !slices.ContainsFunc(s.in, func(c came) bool { return c.step == 0 && c.shard == shard }) {
			w.broke(secondOf, "%s says that shard %d was in, and it was not", k.ID, shard+1)
		}
	}
	if !slices.Contains(k.From, k.Shard) || k.Whole && len(k.From) < w.set.Parts || !slices.IsSorted(k.From) {
		w.broke(secondOf, "%s, of shard %d, says that shards %v were in, whole: %t", k.ID, k.Shard+1, k.From, k.Whole)
	}
}

// watch stands between the life and its decider, and checks what that is told.
type watch struct {
	w *World
	attempt.Policy
}

func (d watch) Returned(id uint64, no int, out policy.Outcome, took time.Duration) {
	d.w.returned(id, no, out == policy.Overloaded || out == policy.Unreachable || out == policy.Expired)
	d.Policy.Returned(id, no, out, took)
}

// asked notes what the real module wants sent.
type asked struct {
	policy.Actions
	w *World
}

func (a asked) Dispatch(part uint64, srv int, until time.Duration) {
	a.w.dispatch(part)
	a.Actions.Dispatch(part, srv, until)
}

// Complete of a first step opens the second, if there is one.
func (a asked) Complete(id uint64, whole bool) {
	a.w.stepOver()
	a.Actions.Complete(id, whole)
}

// stepOver: the decider has had enough of the first step.
func (w *World) stepOver() { w.scans[len(w.scans)-1].step = w.set.Steps - 1 }

// dispatch notes that the decider had a part sent.
func (w *World) dispatch(part uint64) {
	for no := uint64(0); ; no++ {
		if k := [2]uint64{part, no}; !w.dispatched[k] {
			w.dispatched[k] = true
			return
		}
	}
}

// may tells that a fault may yet happen in this run.
func (w *World) may(f Fault) bool {
	return !w.quiet && w.spent < w.set.Most && w.set.kinds[f]
}

func (w *World) spend() bool {
	w.spent++
	return true
}

// deciding tells that a choice is the decider's, or a connection's within a call.
func (w *World) deciding() bool { return w.inside > 0 }

// pick asks for one of n ways to go on; a quiet outside takes the first.
func (w *World) pick(n int, label func(int) string) int {
	if n == 0 || w.quiet || n == 1 && !w.every {
		return 0
	}
	return w.ask(n, label)
}
