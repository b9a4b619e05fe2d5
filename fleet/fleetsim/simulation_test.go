package fleetsim

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

const s = time.Second

// runScript runs a scripted fleet, with the events that each injected fault needs to have an effect.
func runScript(fault string, seed uint64) *Simulation {
	settings := Default(5, seed)
	settings.Fault = fault
	settings.Load = Load{Searchers: 6, PartsPerSecond: 20, ObeyShare: 0.5, Retries: 2,
		Tenants: []Tenant{{Name: "acme", Quota: 30, Demand: 25}, {Name: "bolt", Quota: 20, Demand: 10}}}
	sim, err := New(settings)
	if err != nil {
		panic(err)
	}
	a, b := sim.Nodes[0], sim.Nodes[1]
	for _, n := range sim.Nodes {
		n.SetProbeDemand(20)
	}
	sim.Run(9 * s)
	b.SetProbeDemand(0)
	a.SetProbeDemand(100)
	a.Count("seen", 3)
	sim.Run(8 * s)
	for _, n := range sim.Nodes[1:] {
		sim.SetBlocked(a, n, true)
	}
	a.Count("seen", 2)
	sim.Run(5 * s)
	sim.Partition()
	sim.Run(3 * s)
	b.Pause(4 * s)
	sim.Run(s)
	sim.Partition([]*Node{b, a}, sim.Nodes[2:])
	sim.SetDemand("acme", 200)
	sim.Run(8 * s)
	sim.Partition()
	a.Restart()
	sim.Run(5 * s)
	a.SetProbeDemand(20)
	a.Count("seen", 1)
	sim.Run(6 * s)
	sim.CheckConverged()
	return sim
}

func TestHealthyFleetKeepsInvariants(t *testing.T) {
	var all sync.WaitGroup
	for seed := range uint64(3) {
		all.Go(func() {
			if sim := runScript("", seed); len(sim.Violations) > 0 {
				t.Errorf("seed %d: %q", seed, sim.Violations)
			}
		})
	}
	all.Wait()
}

func TestInjectedFaultsAreDetected(t *testing.T) {
	var all sync.WaitGroup
	for _, name := range Faults() {
		all.Go(func() {
			for seed := range uint64(3) {
				if len(runScript(name, seed).Violations) > 0 {
					return
				}
			}
			t.Errorf("not detected: %s (%s)", name, faults[name])
		})
	}
	all.Wait()
}

// The same settings and script must give the same run.
func TestSameSeedGivesSameRun(t *testing.T) {
	a, b := runScript("", 3), runScript("", 3)
	if fmt.Sprint(a.Events, a.network.messages, a.TakeResults(), a.truth.spent) !=
		fmt.Sprint(b.Events, b.network.messages, b.TakeResults(), b.truth.spent) {
		t.Errorf("%d events and %d messages, then %d and %d", a.Events, a.network.messages, b.Events, b.network.messages)
	}
}
