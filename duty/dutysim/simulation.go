// Package dutysim simulates the duties of many instances: their clocks, pauses, crashes and restarts, message loss and
// delay between them, and their views of each other. A history is generated from a seed and can be reproduced from it.
// The checker sees only the probes that were sent, by true time. The simulation tests decisions, not performance.
package dutysim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"peathollow/duty"
)

// Setup holds the parameters of a history.
type Setup struct {
	Instances int
	Readers   int
	Interval  time.Duration
	Lease     time.Duration // 0 for half an interval
	Scenario  string
	Policy    string        // "" for package duty; "all" and "view" are the baselines
	Fault     string        // fault to inject, to show that the checker detects it
	Length    time.Duration // 0 for the default of the scenario
}

// clock is the local clock of an instance, with a rate and an offset relative to true time.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c *clock) at(t time.Duration) time.Duration { return time.Duration(float64(t)*c.rate) + c.offset }

// scheduler makes the decisions of an instance: a duty.Scheduler or a baseline.
type scheduler interface {
	Advance(callerTime time.Duration)
	Wake() time.Duration
	SetMembers(map[string]uint64)
	SetTargets(int, []duty.Target)
	Receive(duty.Message)
	Permit(token uint64, callerTime time.Duration) bool
	Done(token uint64, outcome duty.Outcome, took time.Duration, load string)
	Leave()
}

// instance is a simulated mixer. It stays the same over restarts, with a new incarnation each time.
type instance struct {
	sim           *simulation
	id            int
	name          string
	incarnation   uint64
	up            bool
	pausedUntil   time.Duration
	clock         clock
	scheduler     scheduler
	lastHeartbeat []time.Duration // by instance: when its last heartbeat arrived here
	viewKey       string          // the current view as text, to detect changes
	lastWake      uint64          // number of the latest scheduled wake; earlier ones are void
	deferred      []*event        // events that arrived during a pause
	duplicateNext bool            // injected fault: the next probe is sent twice
	outOfLease    bool            // the latest permit was for an out-of-lease run
	longPauseAt   time.Duration   // start of the latest pause that no lease outlives
}

// event happens at a true time. An event of an instance is void when the process has ended.
type event struct {
	at          time.Duration
	seq         uint64
	instance    *instance // nil for an event of the whole simulation
	incarnation uint64
	deferrable  bool // deferred while the instance is paused
	run         func()
}

// queue is a heap of events, ordered by time and then by number.
type queue []*event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// simulation is the state of one history.
type simulation struct {
	setup        Setup
	settings     duty.Settings
	rng          *rand.Rand
	now          time.Duration
	end          time.Duration
	lastSeq      uint64
	events       queue
	instances    []*instance
	readers      []string
	blocked      [][]bool      // from, to: no message gets through
	lossRate     float64       // fraction of messages that are lost
	delayRate    float64       // fraction of messages with a long delay
	unreachable  [][]bool      // instance, reader: the instance can't reach the reader
	probes       [][]probe     // probes sent, by reader
	stable       int           // instance that runs throughout, -1 for none
	readersStart time.Duration // when all readers started, 0 if they didn't start within the history
	counters     Counters
}

// probe is a probe that was sent to a reader.
type probe struct {
	at         time.Duration
	instance   int
	reached    bool
	outOfLease bool // sent without the lease
	stale      bool // planned before a long pause
}

// Counters counts the costs of a history.
type Counters struct {
	Messages, Bytes, Probes uint64
}

const (
	heartbeatInterval = 100 * time.Millisecond // period of heartbeats between instances
	heartbeatTimeout  = 500 * time.Millisecond // an instance without a heartbeat for this long is not in the view
	probeTimeout      = 250 * time.Millisecond
	startupIntervals  = 20 // startup period of a reader, in intervals
	startupFactor     = 4  // factor on the interval in the startup period
)

func newSimulation(setup Setup, seed uint64) (*simulation, error) {
	if setup.Lease == 0 {
		setup.Lease = max(200*time.Millisecond, setup.Interval/2)
	}
	sim := &simulation{setup: setup, rng: rand.New(rand.NewPCG(seed, 0x64757479)), stable: -1}
	sim.settings = duty.Settings{Instances: setup.Instances, Shares: min(1<<14, 8*setup.Instances), Lease: setup.Lease,
		MaxConcurrent: 64,
		Kinds:         []duty.Kind{{Name: "probe", Interval: setup.Interval, StartupFactor: 1}}}
	if setup.Scenario == "new" {
		sim.settings.Kinds[0].StartupPeriod, sim.settings.Kinds[0].StartupFactor = startupIntervals*setup.Interval, startupFactor
	}
	if setup.Length == 0 {
		sim.setup.Length = max(20*setup.Interval, 3*sim.settings.RateWindow(0)) + 4*sim.settings.QuorumBound(0)
	}
	sim.end = sim.setup.Length
	for r := range setup.Readers {
		sim.readers = append(sim.readers, fmt.Sprintf("reader-%d", r))
	}
	sim.probes = make([][]probe, setup.Readers)
	for i := range setup.Instances {
		sim.instances = append(sim.instances, &instance{sim: sim, id: i, name: fmt.Sprintf("mixer-%d", i), clock: clock{rate: 1},
			lastHeartbeat: make([]time.Duration, setup.Instances)})
		sim.blocked = append(sim.blocked, make([]bool, setup.Instances))
		sim.unreachable = append(sim.unreachable, make([]bool, setup.Readers))
	}
	for _, i := range sim.instances {
		if err := i.start(); err != nil {
			return nil, err
		}
	}
	return sim, nil
}

func (sim *simulation) schedule(d time.Duration, f func()) { sim.push(&event{at: sim.now + d, run: f}) }

func (sim *simulation) push(e *event) {
	sim.lastSeq++
	e.seq = sim.lastSeq
	heap.Push(&sim.events, e)
}

// schedule schedules an event of the current process of an instance. It is void if the process has ended by then, and
// deferred while the process is paused.
func (i *instance) schedule(d time.Duration, f func()) {
	i.sim.push(&event{at: i.sim.now + d, instance: i, incarnation: i.incarnation, deferrable: true, run: f})
}

// run executes the events in order until the end of the history.
func (sim *simulation) run() {
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(*event)
		if e.at > sim.end {
			return
		}
		sim.now = e.at
		if e.instance != nil {
			if !e.instance.up || e.instance.incarnation != e.incarnation {
				continue
			}
			if e.deferrable && sim.now < e.instance.pausedUntil {
				e.instance.deferred = append(e.instance.deferred, e)
				continue
			}
		}
		e.run()
	}
}

// start starts a process without any state from earlier incarnations.
func (i *instance) start() error {
	sim := i.sim
	i.incarnation++
	i.up, i.pausedUntil, i.viewKey, i.deferred = true, 0, "", nil
	for k := range i.lastHeartbeat {
		i.lastHeartbeat[k] = -time.Hour
	}
	settings := sim.settings
	settings.Name, settings.Incarnation = i.name, i.incarnation
	scheduler, err := sim.newScheduler(i, settings)
	if err != nil {
		return err
	}
	i.scheduler = scheduler
	i.scheduler.SetTargets(0, i.targets())
	i.scheduleWake(0)
	i.heartbeat()
	return nil
}

// targets returns the readers in the current list.
func (i *instance) targets() (targets []duty.Target) {
	for _, n := range i.sim.readers {
		targets = append(targets, duty.Target{Name: n, Age: i.sim.now - i.sim.readersStart, AgeKnown: i.sim.readersStart > 0})
	}
	return targets
}

// scheduleWake replaces the scheduled wake of the instance.
func (i *instance) scheduleWake(d time.Duration) {
	i.lastWake++
	n := i.lastWake
	i.schedule(d, func() {
		if n == i.lastWake {
			i.handle(func() {})
		}
	})
}

// handle passes an event to the scheduler, then runs all that is due.
func (i *instance) handle(f func()) {
	callerTime := i.clock.at(i.sim.now)
	i.scheduler.Advance(callerTime)
	f()
	next := i.scheduler.Wake()
	i.scheduleWake(max(time.Microsecond, time.Duration(float64(next-callerTime)/i.clock.rate)))
}

// heartbeat sends heartbeats to the other instances and updates the view from those received.
func (i *instance) heartbeat() {
	sim := i.sim
	for _, j := range sim.instances {
		if j != i && !sim.blocked[i.id][j.id] && sim.rng.Float64() >= sim.lossRate {
			j.lastHeartbeat[i.id] = sim.now
		}
	}
	view, key := map[string]uint64{}, ""
	for _, j := range sim.instances {
		if j != i && sim.now-i.lastHeartbeat[j.id] < heartbeatTimeout {
			view[j.name] = j.incarnation
			key += fmt.Sprint(j.id, ".", j.incarnation, " ")
		}
	}
	if key != i.viewKey {
		i.viewKey = key
		i.handle(func() { i.scheduler.SetMembers(view) })
	}
	i.schedule(heartbeatInterval, i.heartbeat)
}

func (i *instance) stop() { i.up = false }

// pause stops the execution of the process for a time. Its events are deferred until then.
func (i *instance) pause(d time.Duration) {
	i.pausedUntil = i.sim.now + d
	if d >= i.sim.longPause() {
		i.longPauseAt = i.sim.now
	}
	i.sim.schedule(d, func() {
		if i.sim.now < i.pausedUntil {
			return
		}
		deferred := i.deferred
		i.deferred = nil
		for _, e := range deferred { // in order of arrival
			i.sim.push(&event{at: i.sim.now, instance: i, incarnation: e.incarnation, deferrable: true, run: e.run})
		}
	})
}

// Run sends a probe after a delay, if the scheduler permits it then.
func (i *instance) Run(token uint64, _ int, target string) {
	sim := i.sim
	r := slices.Index(sim.readers, target)
	if r < 0 {
		panic("duty for an unlisted reader")
	}
	// The probe waits for its connection. The process may be paused or its lease may end in the meantime.
	delay := time.Duration(sim.rng.Int64N(int64(5 * time.Millisecond)))
	if sim.rng.IntN(20) == 0 {
		delay = time.Duration(sim.rng.Int64N(int64(probeTimeout)))
	}
	planned := sim.now
	i.schedule(delay, func() {
		i.outOfLease = false
		if !i.scheduler.Permit(token, i.clock.at(sim.now)) {
			i.handle(func() { i.scheduler.Done(token, duty.NotSent, 0, "") })
			return
		}
		i.recordProbe(r, planned)
		if i.duplicateNext {
			i.duplicateNext = false
			i.recordProbe(r, planned)
		}
		took, outcome := time.Duration(500+sim.rng.Int64N(2000))*time.Microsecond, duty.Reached
		if sim.unreachable[i.id][r] {
			took, outcome = probeTimeout, duty.Failed
		}
		i.schedule(took, func() { i.handle(func() { i.scheduler.Done(token, outcome, took, "") }) })
	})
}

// recordProbe records a probe that was sent.
func (i *instance) recordProbe(r int, planned time.Duration) {
	sim := i.sim
	sim.counters.Probes++
	sim.probes[r] = append(sim.probes[r], probe{at: sim.now, instance: i.id, reached: !sim.unreachable[i.id][r],
		outOfLease: i.outOfLease, stale: i.longPauseAt > planned})
}

// longPause is the length of a pause that no lease outlives.
func (sim *simulation) longPause() time.Duration { return 2 * sim.settings.Lease }

// Send delivers a message to one instance or to all others, subject to loss and delay.
func (i *instance) Send(to string, m duty.Message) {
	sim := i.sim
	bytes := uint64(len(m.Append(nil)))
	for _, j := range sim.instances {
		if j == i || to != "" && j.name != to {
			continue
		}
		sim.counters.Messages++
		sim.counters.Bytes += bytes
		if !j.up || sim.blocked[i.id][j.id] || sim.rng.Float64() < sim.lossRate {
			continue
		}
		delay := time.Duration(200+sim.rng.Int64N(2000)) * time.Microsecond
		if sim.rng.Float64() < sim.delayRate {
			delay = time.Duration(sim.rng.Int64N(int64(sim.setup.Interval)))
		}
		j.schedule(delay, func() { j.handle(func() { j.scheduler.Receive(m) }) })
	}
}

// ObserveResult does nothing: the checker needs only the probes that were sent.
func (i *instance) ObserveResult(string, duty.Result, string) {}

// Record records whether the permitted run was out of lease.
func (i *instance) Record(n duty.EventRecord) {
	i.outOfLease = i.outOfLease || n.Event == duty.RanOutOfLease
}
