package simulation

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"peathollow/controlplane"
	"peathollow/internal/settings"
	"peathollow/internal/simnet"
)

// The bounds of the requirements, as configured in production.
const (
	contactBound    = 5 * time.Second
	ackBound        = 6 * time.Second
	syncBound       = 4 * time.Second
	drainBound      = 3 * time.Second
	applyBound      = 3 * time.Second
	heartbeatPeriod = 1200 * time.Millisecond

	portControl = 8047
	portFirst   = 7080
)

// Options are the parameters of a run.
type Options struct {
	Seed                           uint64
	Controllers, Fronts, Searchers int
	Duration                       time.Duration // during which faults are injected
	NoFaults                       bool          // injects no faults
	Faults                         []Fault       // kinds to draw from; nil: all
	Step                           time.Duration // average time between two faults; 0: three seconds
	Logs                           *log.Logger   // logger of the controllers; nil: none
	Inject                         controlplane.InjectedFaults
	SyncTime                       time.Duration // duration of a disk sync; 0: five milliseconds
	AtAcknowledgement              bool          // injects each fault at an acknowledgement, and loses all that was not synced
	Trigger                        Trigger       // the kind of acknowledgement
}

// Result counts what happened in a run.
type Result struct {
	Orders, Acknowledged, Refused, Drains, Faults int
}

// Simulation is one run.
type Simulation struct {
	options   Options
	net       *simnet.Network
	start     time.Time
	processes sync.WaitGroup // goroutines of machines
	clients   sync.WaitGroup // goroutines of clients and checks
	done      chan struct{}  // closed when clients must end

	mu             sync.Mutex
	rng            *rand.Rand
	machines       []*machine // all machines so far, including the removed ones
	fronts         []*front
	operator       operator
	searchers      map[string]*searcher // all searchers so far, by id
	disturbedAt    time.Time            // time of the last event that affects the controllers
	trace          []string
	err            error
	result         Result
	lossUntil      time.Time // no further loss is injected before this time
	pendingFault   Fault     // injected at the next acknowledgement
	pendingTrigger Trigger   // the kind of acknowledgement
	logs           *log.Logger
}

// Simulate executes one run and returns its result and a trace of its events.
func Simulate(o Options) (r Result, trace []string, err error) {
	sim := newSimulation(o)
	for i := range 2 {
		sim.clients.Go(func() { sim.runOperator(i) })
	}
	time.Sleep(contactBound)
	if !o.NoFaults {
		sim.injectFaults(o.Duration)
	} else {
		time.Sleep(o.Duration)
	}
	sim.checkFinalState()
	return sim.finish()
}

// newSimulation starts machines, fronts, searchers and checks.
func newSimulation(o Options) *Simulation {
	sim := &Simulation{options: o, net: simnet.New(o.Seed, 500*time.Microsecond, 3*time.Millisecond), start: time.Now(),
		done: make(chan struct{}), rng: rand.New(rand.NewPCG(o.Seed, 3)), searchers: map[string]*searcher{}, logs: o.Logs}
	if sim.logs == nil {
		sim.logs = &log.Logger{Level: log.PanicLevel}
	}
	sim.operator.init()
	sim.disturbedAt = sim.start
	sim.lossUntil = sim.start.Add(contactBound + syncBound)
	for i := range o.Controllers {
		sim.addMachine(i, true)
	}
	for i := range o.Fronts {
		sim.addFront(i)
	}
	for i := range o.Searchers {
		sim.clients.Go(func() { sim.runSearcherSlot(i) })
	}
	sim.clients.Go(sim.checkPeriodically)
	return sim
}

// finish ends everything and returns the result.
func (sim *Simulation) finish() (Result, []string, error) {
	close(sim.done)
	sim.clients.Wait()
	sim.stopAll()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.result, sim.trace, sim.err
}

// record adds a line to the trace. The lock is held.
func (sim *Simulation) record(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf("%7.3f ", time.Since(sim.start).Seconds())+fmt.Sprintf(format, args...))
}

// fail records the first violation. The lock is held.
func (sim *Simulation) fail(format string, args ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf("%v: "+format, append([]any{time.Since(sim.start)}, args...)...)
		sim.record("VIOLATION "+format, args...)
	}
}

func (sim *Simulation) failed() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.err != nil
}

func (sim *Simulation) chance(p float64) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rng.Float64() < p
}

func (sim *Simulation) randomDuration(shortest, longest time.Duration) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return shortest + time.Duration(sim.rng.Int64N(int64(longest-shortest)+1))
}

func (sim *Simulation) pick(n int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rng.IntN(n)
}

// pause waits for a duration. It returns false when the clients must end.
func (sim *Simulation) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return !sim.failed()
	case <-sim.done:
		return false
	}
}

func zone(i int) string { return fmt.Sprint("z", i%3) }

func (sim *Simulation) settings(node, ip string, i int) *settings.Settings {
	s := &settings.Settings{Node: node, IP: ip, Zone: zone(i), Region: "r", Zones: map[string]string{"z0": "r", "z1": "r", "z2": "r"},
		PortFirst: portFirst, PortLast: portFirst + 15, BeatPeriod: heartbeatPeriod, MachineLosses: 1, RetryWindow: 10 * time.Second,
		Grace: 6 * time.Second, Contact: contactBound, Ack: ackBound, Sync: syncBound, Drain: drainBound, Apply: applyBound}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	s.Seeds = sim.seeds()
	return s
}

// seeds returns the addresses of the first controllers as long as at most one of them is removed, otherwise those of present
// controllers.
func (sim *Simulation) seeds() (addrs []string) {
	removed := 0
	for i := range min(3, sim.options.Controllers) {
		addrs = append(addrs, controlAddr(controllerIP(i)))
		if i < len(sim.machines) && sim.machines[i].removed {
			removed++
		}
	}
	if removed <= 1 {
		return addrs
	}
	addrs = nil
	for _, m := range sim.machines {
		if !m.removed && len(addrs) < 3 {
			addrs = append(addrs, controlAddr(m.ip))
		}
	}
	return addrs
}

func controllerIP(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

func controlAddr(ip string) string { return fmt.Sprintf("%s:%d", ip, portControl) }
