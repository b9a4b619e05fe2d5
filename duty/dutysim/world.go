// Package dutysim plays the duties of many instances in simulated time: their clocks, pauses, deaths and restarts,
// what is lost between them, and what each believes of the others. A history is drawn from a seed and told again
// from it. The checker sees only what went out, by true time. It measures decisions, not machines.
package dutysim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"peathollow/duty"
)

// Setup is what a history is drawn from.
type Setup struct {
	Instances int
	Readers   int
	Interval  time.Duration
	Lease     time.Duration // 0: half an interval
	Scenario  string
	Policy    string        // "" is the core; "all" and "view" are the baselines
	Plant     string        // a fault planted, to show that the checker tells
	Length    time.Duration // 0: by the scenario
}

// clock is an instance's own time, as a rate and steps over the true one.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c *clock) at(t time.Duration) time.Duration { return time.Duration(float64(t)*c.rate) + c.offset }

// machine is what decides for an instance: the core or a baseline.
type machine interface {
	At(raw time.Duration)
	Wake() time.Duration
	Members(map[string]uint64)
	Targets(int, []duty.Target)
	Heard(duty.Message)
	Permit(token uint64, raw time.Duration) bool
	Done(token uint64, out duty.Outcome, took time.Duration, load string)
	Leave()
}

// instance is one process, or what is left of it.
type instance struct {
	w     *world
	id    int
	name  string
	inc   uint64
	up    bool
	till  time.Duration // paused till then
	clock clock
	m     machine
	heard []time.Duration // by instance: when its last sign of life came here
	view  string
	wake  uint64
	held  []*event      // what came while it was paused
	again bool          // a planted fault: what is written is written twice
	turn  bool          // the permit last asked was for a turn
	froze time.Duration // when it was last paused so long that no lease can have outlived it
}

// event is something at a true time. What is meant for a process dies with it.
type event struct {
	at   time.Duration
	n    uint64
	to   *instance // nil: the world
	inc  uint64
	wait bool // kept while its instance is paused
	f    func()
}

type queue []*event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

type world struct {
	set   Setup
	duty  duty.Settings
	dice  *rand.Rand
	now   time.Duration
	end   time.Duration
	n     uint64
	queue queue
	all   []*instance
	names []string
	cut   [][]bool      // from, to: nothing gets through
	loss  float64       // of all messages
	late  float64       // share of messages that take much longer
	blind [][]bool      // instance, reader: it can't be reached from there
	seen  [][]sighted   // by reader: what went out
	anch  int           // runs throughout, if 0 or more
	born  time.Duration // when all readers started, if they did
	tally Tally
}

// sighted is one probe on its way to a reader.
type sighted struct {
	at      time.Duration
	by      int
	reached bool
	turn    bool // taken without the lease
	stale   bool // planned before a long pause
}

// Tally is what a history cost.
type Tally struct {
	Messages, Bytes, Probes uint64
}

const (
	aliveEvery = 100 * time.Millisecond // signs of life
	aliveFor   = 500 * time.Millisecond // without one, an instance counts as dead
	probeWait  = 250 * time.Millisecond
	youngFor   = 20 // intervals for which a reader that has just started is spared
	gentle     = 4  // so many times the interval, then
)

func newWorld(s Setup, seed uint64) (*world, error) {
	if s.Lease == 0 {
		s.Lease = max(200*time.Millisecond, s.Interval/2)
	}
	w := &world{set: s, dice: rand.New(rand.NewPCG(seed, 0x64757479)), anch: -1}
	w.duty = duty.Settings{Instances: s.Instances, Shares: min(1<<14, 8*s.Instances), Lease: s.Lease, Running: 64,
		Kinds: []duty.Kind{{Name: "probe", Interval: s.Interval, Gentle: 1}}}
	if s.Scenario == "new" {
		w.duty.Kinds[0].Young, w.duty.Kinds[0].Gentle = youngFor*s.Interval, gentle
	}
	if s.Length == 0 {
		w.set.Length = max(20*s.Interval, 3*w.duty.RateWindow(0)) + 4*w.duty.QuorumBound(0)
	}
	w.end = w.set.Length
	for r := range s.Readers {
		w.names = append(w.names, fmt.Sprintf("reader-%d", r))
	}
	w.seen = make([][]sighted, s.Readers)
	for i := range s.Instances {
		w.all = append(w.all, &instance{w: w, id: i, name: fmt.Sprintf("mixer-%d", i), clock: clock{rate: 1},
			heard: make([]time.Duration, s.Instances)})
		w.cut = append(w.cut, make([]bool, s.Instances))
		w.blind = append(w.blind, make([]bool, s.Readers))
	}
	for _, i := range w.all {
		if err := i.start(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) after(d time.Duration, f func()) { w.push(&event{at: w.now + d, f: f}) }

func (w *world) push(e *event) {
	w.n++
	e.n = w.n
	heap.Push(&w.queue, e)
}

// post has something happen at an instance, if that process still runs then; what needs its processor waits while it
// is paused.
func (i *instance) post(d time.Duration, f func()) {
	i.w.push(&event{at: i.w.now + d, to: i, inc: i.inc, wait: true, f: f})
}

func (w *world) run() {
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(*event)
		if e.at > w.end {
			return
		}
		w.now = e.at
		if e.to != nil {
			if !e.to.up || e.to.inc != e.inc {
				continue
			}
			if e.wait && w.now < e.to.till {
				e.to.held = append(e.to.held, e)
				continue
			}
		}
		e.f()
	}
}

// start begins a process that knows nothing.
func (i *instance) start() error {
	w := i.w
	i.inc++
	i.up, i.till, i.view, i.held = true, 0, "", nil
	for k := range i.heard {
		i.heard[k] = -time.Hour
	}
	s := w.duty
	s.Me, s.Inc = i.name, i.inc
	m, err := w.machine(i, s)
	if err != nil {
		return err
	}
	i.m = m
	i.m.Targets(0, i.targets())
	i.awake(0)
	i.alive()
	return nil
}

// targets are the readers as the list has them.
func (i *instance) targets() (ts []duty.Target) {
	for _, n := range i.w.names {
		ts = append(ts, duty.Target{Name: n, Age: i.w.now - i.w.born, Since: i.w.born > 0})
	}
	return ts
}

// awake calls the machine now, and again when it wants to be.
func (i *instance) awake(d time.Duration) {
	i.wake++
	n := i.wake
	i.post(d, func() {
		if n == i.wake {
			i.act(func() {})
		}
	})
}

// act hands an event over and then does what is due.
func (i *instance) act(f func()) {
	raw := i.clock.at(i.w.now)
	i.m.At(raw)
	f()
	next := i.m.Wake()
	i.awake(max(time.Microsecond, time.Duration(float64(next-raw)/i.clock.rate)))
}

// alive sends signs of life and looks who else sent some.
func (i *instance) alive() {
	w := i.w
	for _, j := range w.all {
		if j != i && !w.cut[i.id][j.id] && w.dice.Float64() >= w.loss {
			j.heard[i.id] = w.now
		}
	}
	view, text := map[string]uint64{}, ""
	for _, j := range w.all {
		if j != i && w.now-i.heard[j.id] < aliveFor {
			view[j.name] = j.inc
			text += fmt.Sprint(j.id, ".", j.inc, " ")
		}
	}
	if text != i.view {
		i.view = text
		i.act(func() { i.m.Members(view) })
	}
	i.post(aliveEvery, i.alive)
}

func (i *instance) stop() { i.up = false }

func (i *instance) pause(d time.Duration) {
	i.till = i.w.now + d
	if d >= i.w.long() {
		i.froze = i.w.now
	}
	i.w.after(d, func() {
		if i.w.now < i.till {
			return
		}
		held := i.held
		i.held = nil
		for _, e := range held { // in the order they came
			i.w.push(&event{at: i.w.now, to: i, inc: e.inc, wait: true, f: e.f})
		}
	})
}

// Run, Send and Note are the machine's actions.
func (i *instance) Run(token uint64, _ int, target string) {
	w := i.w
	r := slices.Index(w.names, target)
	if r < 0 {
		panic("a duty at a reader nobody listed")
	}
	// It waits for its connection; meanwhile anything may happen to the process.
	wait := time.Duration(w.dice.Int64N(int64(5 * time.Millisecond)))
	if w.dice.IntN(20) == 0 {
		wait = time.Duration(w.dice.Int64N(int64(probeWait)))
	}
	planned := w.now
	i.post(wait, func() {
		i.turn = false
		if !i.m.Permit(token, i.clock.at(w.now)) {
			i.act(func() { i.m.Done(token, duty.NotBegun, 0, "") })
			return
		}
		i.wrote(r, planned)
		if i.again {
			i.again = false
			i.wrote(r, planned)
		}
		took, out := time.Duration(500+w.dice.Int64N(2000))*time.Microsecond, duty.Reached
		if w.blind[i.id][r] {
			took, out = probeWait, duty.Failed
		}
		i.post(took, func() { i.act(func() { i.m.Done(token, out, took, "") }) })
	})
}

// wrote books a probe that went out.
func (i *instance) wrote(r int, planned time.Duration) {
	w := i.w
	w.tally.Probes++
	w.seen[r] = append(w.seen[r], sighted{at: w.now, by: i.id, reached: !w.blind[i.id][r], turn: i.turn,
		stale: i.froze > planned})
}

// long is a pause that no lease outlives.
func (w *world) long() time.Duration { return 2 * w.duty.Lease }

func (i *instance) Send(to string, m duty.Message) {
	w := i.w
	bytes := uint64(len(m.Append(nil)))
	for _, j := range w.all {
		if j == i || to != "" && j.name != to {
			continue
		}
		w.tally.Messages++
		w.tally.Bytes += bytes
		if !j.up || w.cut[i.id][j.id] || w.dice.Float64() < w.loss {
			continue
		}
		d := time.Duration(200+w.dice.Int64N(2000)) * time.Microsecond
		if w.dice.Float64() < w.late {
			d = time.Duration(w.dice.Int64N(int64(w.set.Interval)))
		}
		j.post(d, func() { j.act(func() { j.m.Heard(m) }) })
	}
}

// Learned and Note are of no use here.
func (i *instance) Learned(string, duty.Result, string) {}
func (i *instance) Note(n duty.Note)                    { i.turn = i.turn || n.Event == duty.TurnTaken }
