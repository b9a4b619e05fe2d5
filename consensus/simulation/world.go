package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"peathollow/consensus"
)

const ms = time.Millisecond

// Options are the parameters of a run.
type Options struct {
	Seed                   uint64
	Nodes, Places          int // machines, and the zones that they are spread over, each in a region of its own
	Losses, Zones, Regions int
	Span                   time.Duration // of the period with faults, before the quiet period at the end
	NoFaults               bool          // no faults at all
	ExceedTolerance        bool          // losses may exceed the tolerance: service may stop then, but no result may be wrong
	Scenario               Scenario      // replaces random faults
	Unsatisfiable          bool          // the tolerance cannot be satisfied: nothing may be acknowledged
	OnNew                  func(*consensus.Node)
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// host is a machine: what survives its processes, and its current process.
type host struct {
	addr, zone, region        string
	coldStart                 bool
	removed                   bool // for good
	node                      *consensus.Node
	incarnation               int           // changes when a process starts and when it ends
	processID                 uint64        // identifies the current process among those of all machines
	offset                    time.Duration // start of the monotonic clock, random for each process
	disk                      *consensus.Saved
	pending                   *consensus.Write
	frozenUntil, stalledUntil time.Duration
	slowUntil                 time.Duration // until then disk writes take 30 times as long
	lostUntil                 time.Duration // until then the machine counts as lost under the tolerance rules
	diskLostAt                time.Duration
	committed                 uint64
}

// World is the state of one simulation run.
type World struct {
	options              Options
	rng                  *rand.Rand
	now                  time.Duration
	seq                  uint64
	queue                events
	hosts                []*host
	cuts                 map[[2]string]time.Duration // sender and receiver to the end of the cut
	lossRate             float64
	slowRate             float64
	drawnDisks           int
	processCount         uint64
	maxSync              time.Duration // longest duration of a sync
	wipes, replaced      int
	lossesInjected       int // by the scenario SuccessiveLosses
	candidateFaults      []fault
	armedFault           fault
	triggerKind          consensus.Kind
	keepWriteProbability float64 // that a write in progress reaches the disk when its process ends
	clients              clients
	observed             observed
	err                  error
	faultsUntil          time.Duration
	Log                  func(string, ...any)
}

// New creates the machines, all with a cold start.
func New(o Options) *World {
	w := &World{options: o, rng: rand.New(rand.NewPCG(o.Seed, 7)), cuts: map[[2]string]time.Duration{}, lossRate: 0.01,
		slowRate: 0.02, faultsUntil: o.Span, Log: func(string, ...any) {}}
	w.clients.answers = map[uint64]*op{}
	w.observed.init()
	w.maxSync = 8 * ms
	if w.chance(0.2) {
		w.maxSync = 60 * ms
	}
	for range o.Nodes {
		w.markLost(w.addHost(true), 0) // a new machine counts as lost at first
	}
	return w
}

func (w *World) addHost(coldStart bool) *host {
	i := len(w.hosts)
	place := i % max(1, w.options.Places)
	h := &host{addr: fmt.Sprintf("a%02d", i), zone: fmt.Sprintf("z%d", place), region: fmt.Sprintf("r%d", place),
		coldStart: coldStart, diskLostAt: -time.Hour}
	w.hosts = append(w.hosts, h)
	w.after(w.randomDuration(0, 100*ms), func() { w.start(h) })
	return h
}

// seeds returns the seed addresses from the operator's list at the time the settings were written. A machine from the first
// start has, with equal probability, the original list or a newer one. All listed machines may be gone.
func (w *World) seeds(h *host) []string {
	var out []string
	old := h.coldStart && w.chance(0.5)
	for i, h := range w.hosts {
		if (!h.removed || old && i < 3) && len(out) < 3 {
			out = append(out, h.addr)
		}
	}
	return out
}

func (w *World) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rng.Int64N(max(0, int64(most-least))+1))
}

func (w *World) chance(p float64) bool { return w.rng.Float64() < p }

func (w *World) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, do})
}

// run processes all events up to a time, or until the first check fails.
func (w *World) run(to time.Duration) {
	for w.err == nil && len(w.queue) > 0 && w.queue[0].at <= to {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = max(w.now, to)
}

func (w *World) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("%v: %s", w.now, fmt.Sprintf(format, args...))
	}
}

func (w *World) start(h *host) {
	if h.removed || h.node != nil {
		return
	}
	h.incarnation++
	h.offset = w.randomDuration(0, time.Hour)
	h.committed = 0
	w.processCount++
	h.processID = w.processCount
	h.frozenUntil = 0
	w.drawnDisks++
	id := consensus.ID(fmt.Sprintf("d%03d", w.drawnDisks))
	h.node = consensus.New(consensus.Config{ID: id, Addr: h.addr, Zone: h.zone, Region: h.region, Counts: true,
		Losses: w.options.Losses, Zones: w.options.Zones, Regions: w.options.Regions, ColdStart: h.coldStart && h.disk == nil,
		Seeds: w.seeds(h), Seed: w.rng.Uint64()}, h.disk, h.offset+w.now)
	if w.options.OnNew != nil {
		w.options.OnNew(h.node)
	}
	w.Log("%v %s starts as %s", w.now, h.addr, h.node.ID())
	w.performActions(h)
	w.tick(h, h.incarnation)
}

func (w *World) tick(h *host, incarnation int) {
	w.after(w.randomDuration(45*ms, 60*ms), func() {
		if h.incarnation == incarnation && h.node != nil {
			w.runOn(h, incarnation, func(n *consensus.Node, now time.Duration) { n.Tick(now) })
			w.tick(h, incarnation)
		}
	})
}

// runOn executes an event on a process as soon as it is not frozen, provided that the process still exists.
func (w *World) runOn(h *host, incarnation int, do func(*consensus.Node, time.Duration)) {
	if h.node == nil || h.incarnation != incarnation {
		return
	}
	if w.now < h.frozenUntil {
		// Delayed events arrive in any order, since they waited at different sockets.
		w.after(h.frozenUntil-w.now+w.randomDuration(0, 30*ms)*time.Duration(w.rng.IntN(2)), func() { w.runOn(h, incarnation, do) })
		return
	}
	do(h.node, h.offset+w.now)
	w.performActions(h)
}

func (w *World) performActions(h *host) {
	a := h.node.Take()
	for _, wr := range a.Writes {
		w.sync(h, wr)
	}
	for _, m := range a.Sends {
		w.checkSent(h, m)
		w.deliver(m)
	}
	for _, an := range a.Answers {
		w.clients.onAnswer(w, h, an)
	}
	w.check(h, a.Committed)
}

func (w *World) sync(h *host, wr consensus.Write) {
	if h.pending != nil {
		w.fail("%s: two writes in progress", h.addr)
	}
	incarnation := h.incarnation
	h.pending = &wr
	d := w.randomDuration(2*ms, w.maxSync)
	if w.now < h.slowUntil {
		d *= 30
	}
	var done func()
	done = func() {
		if h.incarnation != incarnation || h.pending == nil {
			return
		}
		if w.now < h.stalledUntil {
			w.after(h.stalledUntil-w.now+ms, done)
			return
		}
		h.flush()
		w.runOn(h, incarnation, func(n *consensus.Node, now time.Duration) { n.Saved(now, wr.Token) })
	}
	w.after(d, done)
}

// flush moves the pending write to the disk.
func (h *host) flush() {
	if h.disk == nil {
		h.disk = &consensus.Saved{}
	}
	s := *h.disk
	s.ID = h.pending.ID
	if h.pending.Vote != nil {
		s.Vote = *h.pending.Vote
	}
	if h.pending.Copy != nil {
		s.Copy = *h.pending.Copy
	}
	h.disk, h.pending = &s, nil
}

// stop ends a process. A write in progress may or may not have reached the disk.
func (w *World) stop(h *host) {
	if h.node == nil {
		return
	}
	if h.pending != nil && w.chance(w.keepWriteProbability) {
		h.flush()
	}
	h.node, h.pending = nil, nil
	h.incarnation++
}

func (w *World) deliver(m consensus.Message) {
	w.triggerArmedFault(m)
	if w.now < w.cuts[[2]string{m.FromAddr, m.ToAddr}] || w.chance(w.lossRate) {
		return
	}
	for range 1 + w.rng.IntN(1+w.rng.IntN(2)) {
		d := w.randomDuration(100*time.Microsecond, 3*ms)
		if w.chance(w.slowRate) {
			d = w.randomDuration(10*ms, 600*ms)
		}
		if w.chance(w.slowRate / 20) {
			d = w.randomDuration(500*ms, 5000*ms)
		}
		w.after(d, func() {
			if h := w.hostAt(m.ToAddr); h != nil && w.now >= w.cuts[[2]string{m.FromAddr, m.ToAddr}] {
				w.runOn(h, h.incarnation, func(n *consensus.Node, now time.Duration) { n.Receive(now, m) })
			}
		})
	}
}

func (w *World) hostAt(addr string) *host {
	for _, h := range w.hosts {
		if h.addr == addr && h.node != nil {
			return h
		}
	}
	return nil
}
