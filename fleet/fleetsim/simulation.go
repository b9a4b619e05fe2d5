package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"peathollow/fleet"
	"peathollow/fleet/overload"
	"peathollow/lab/queue"
)

// Settings configures a simulated fleet.
type Settings struct {
	Mixers            int
	Seed              uint64
	HeartbeatInterval time.Duration // time between rounds of heartbeats to all other mixers
	Lease             time.Duration
	ProbeRate         float64 // the fleet's budget of probes per second, from which the scenarios spend
	Load              Load    // clients and searchers; none if Searchers is 0
	NoMessages        bool    // mixers send each other nothing
	Shared            bool    // mixers handle overload together; if not, each by itself, as without a fleet
	Fault             string  // name of an injected fault; empty for none
}

// Default returns the settings of a healthy fleet of a given number of mixers.
func Default(mixers int, seed uint64) Settings {
	return Settings{Mixers: mixers, Seed: seed, HeartbeatInterval: 250 * time.Millisecond, Lease: 6 * time.Second,
		ProbeRate: 10 * float64(mixers), Shared: true}
}

const (
	oneWayDelay = 5 * time.Millisecond // between mixers; half of it between a mixer and a searcher
	burst       = time.Second
)

// Simulation is one run of a simulated fleet.
type Simulation struct {
	settings     Settings
	now          time.Duration
	events       queue.Queue[func()]
	rng          *rand.Rand
	Nodes        []*Node
	network      network
	workload     *workload
	staleAfter   time.Duration
	maxClockStep time.Duration
	truth        groundTruth
	// Violations are the first few violations of the invariants, in order of time.
	Violations []string
	Events     int // number of events processed
}

// network holds the state of the network between mixers and its faults.
type network struct {
	blocked                               map[[2]int]bool // by indices of sender and receiver
	lossShare, duplicateShare, delayShare float64         // shares of the messages
	maxDelay                              time.Duration   // the maximum extra delay of delayed messages
	messages, bytes                       int
}

// New makes a fleet whose mixers start at different moments within the first heartbeat interval.
func New(settings Settings) (*Simulation, error) {
	if settings.Mixers < 1 || settings.HeartbeatInterval <= 0 {
		return nil, fmt.Errorf("fleet: %d mixers, heartbeat interval %v; must be at least 1 and above 0",
			settings.Mixers, settings.HeartbeatInterval)
	}
	sim := &Simulation{settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, 17)), network: network{blocked: map[[2]int]bool{}}}
	if _, ok := faults[settings.Fault]; !ok && settings.Fault != "" {
		return nil, fmt.Errorf("fleet: unknown fault %q", settings.Fault)
	}
	for i := range settings.Mixers {
		n := &Node{sim: sim, index: i, Name: fmt.Sprint("m", i+1), probeDemand: map[string]float64{}}
		sim.Nodes = append(sim.Nodes, n)
	}
	if settings.Load.Searchers > 0 {
		sim.workload = newWorkload(sim)
	}
	f := sim.fleetSettings()
	sim.staleAfter, sim.maxClockStep = f.StaleAfter(), f.MaxClockStep()
	sim.truth.budget = sim.budgetConfig()
	for _, n := range sim.Nodes {
		sim.schedule(time.Duration(sim.rng.Float64()*float64(settings.HeartbeatInterval)), n.start)
	}
	return sim, nil
}

// fleetSettings returns the settings that all mixers have in common.
func (sim *Simulation) fleetSettings() fleet.Settings {
	settings := fleet.Settings{Instances: sim.settings.Mixers, HeartbeatInterval: sim.settings.HeartbeatInterval}
	if sim.workload != nil {
		settings.Layout = sim.workload.layout
	}
	return settings
}

func (sim *Simulation) budgetConfig() overload.BudgetConfig {
	return overload.BudgetConfig{Rate: sim.settings.ProbeRate, Burst: burst, Instances: sim.settings.Mixers,
		ReservedShare: 0.25, Lease: sim.settings.Lease, MaxClockStep: sim.maxClockStep}
}

func (sim *Simulation) schedule(d time.Duration, f func()) { sim.events.Put(sim.now+d, f) }

// Now returns the simulated time.
func (sim *Simulation) Now() time.Duration { return sim.now }

// Run simulates a span of time. It returns early once an invariant is violated.
func (sim *Simulation) Run(d time.Duration) {
	end := sim.now + d
	sim.events.Put(end, nil)
	for {
		at, f, ok := sim.events.Next()
		if !ok {
			return
		}
		sim.now = max(sim.now, at)
		if f == nil {
			if at == end {
				return
			}
			continue
		}
		sim.Events++
		if f(); len(sim.Violations) > 0 {
			return
		}
	}
}

func (sim *Simulation) violation(format string, args ...any) {
	if len(sim.Violations) < 10 {
		sim.Violations = append(sim.Violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
	}
}

// Find returns the mixer with a name.
func (sim *Simulation) Find(name string) (*Node, error) {
	for _, n := range sim.Nodes {
		if n.Name == name {
			return n, nil
		}
	}
	return nil, fmt.Errorf("no mixer %q", name)
}

// SetBlocked blocks or unblocks the connection in one direction between two mixers.
func (sim *Simulation) SetBlocked(from, to *Node, blocked bool) {
	sim.network.blocked[[2]int{from.index, to.index}] = blocked
	sim.updateContact()
}

// Partition separates groups of mixers from each other. Without groups it heals the network.
func (sim *Simulation) Partition(groups ...[]*Node) {
	clear(sim.network.blocked)
	side := map[*Node]int{}
	for g, nodes := range groups {
		for _, n := range nodes {
			side[n] = g + 1
		}
	}
	for _, a := range sim.Nodes {
		for _, b := range sim.Nodes {
			if side[a] != side[b] && len(groups) > 0 {
				sim.network.blocked[[2]int{a.index, b.index}] = true
			}
		}
	}
	sim.updateContact()
}

// SetNetworkFaults sets the shares of messages that are lost, duplicated and delayed, and the maximum delay.
func (sim *Simulation) SetNetworkFaults(loss, duplicate, delay float64, maxDelay time.Duration) {
	sim.network.lossShare, sim.network.duplicateShare, sim.network.delayShare, sim.network.maxDelay = loss, duplicate, delay, maxDelay
}

// NetworkCost returns the numbers of messages and bytes sent between mixers so far.
func (sim *Simulation) NetworkCost() (messages, bytes int) {
	return sim.network.messages, sim.network.bytes
}

// send delivers a message from one mixer to another. Messages for a paused mixer are queued, as they are for a stopped
// process; if it is restarted, the queued messages are dropped.
func (sim *Simulation) send(from, to *Node, bytes int, deliver func()) {
	sim.network.messages++
	sim.network.bytes += bytes
	copies := 1
	if sim.rng.Float64() < sim.network.lossShare {
		copies = 0
	}
	if sim.rng.Float64() < sim.network.duplicateShare {
		copies++
	}
	for range copies {
		d := oneWayDelay
		if sim.rng.Float64() < sim.network.delayShare {
			d += time.Duration(sim.rng.Float64() * float64(sim.network.maxDelay))
		}
		// A connection that is blocked at the time of arrival delivers nothing.
		sim.schedule(d, func() {
			if !sim.network.blocked[[2]int{from.index, to.index}] && to.up {
				to.process(deliver)
			}
		})
	}
}

// connected reports whether two mixers are up, not paused, and can reach each other in both directions.
func (sim *Simulation) connected(a, b *Node) bool {
	running := sim.now >= a.pausedUntil && sim.now >= b.pausedUntil
	return a.up && b.up && running &&
		!sim.network.blocked[[2]int{a.index, b.index}] && !sim.network.blocked[[2]int{b.index, a.index}]
}
