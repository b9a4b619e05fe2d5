package dutysim

import (
	"fmt"
	"slices"
	"time"
)

// Scenarios are the available scenarios, in the order in which reports list them.
var Scenarios = []string{"calm", "kill", "pause", "split", "oneway", "flap", "drift", "roll", "rejoin", "new", "blind", "mixed"}

// usesQuorumBound reports whether gaps are judged by the quorum bound, because a majority always runs and communicates.
func usesQuorumBound(scenario string) bool {
	return slices.Contains([]string{"calm", "kill", "pause", "drift", "roll", "new"}, scenario)
}

// scheduleEvents schedules the events of the scenario.
func (sim *simulation) scheduleEvents() error {
	n, interval, start := sim.setup.Instances, sim.setup.Interval, sim.settings.QuorumBound(0)*2
	randomInstance := func() *instance { return sim.instances[sim.rng.IntN(n)] }
	between := func(from, to time.Duration) time.Duration {
		return from + time.Duration(sim.rng.Int64N(int64(max(1, to-from))))
	}
	switch sim.setup.Scenario {
	case "calm":
	case "kill":
		// A minority fails permanently, each instance long enough after the last for its shares to be taken over.
		dead := sim.rng.Perm(n)[:max(1, min((n-1)/2, 3))]
		for k, i := range dead {
			if at := start + time.Duration(k)*2*sim.settings.QuorumBound(0); n > 1 {
				sim.schedule(between(at, at+interval), sim.instances[i].stop)
			}
		}
	case "pause":
		i, at := randomInstance(), between(start, start+4*interval)
		if n > 2 {
			sim.schedule(at, func() { i.pause(between(200*time.Millisecond, 20*time.Second)) })
		}
	case "split":
		sim.schedule(between(start, start+4*interval), func() { sim.partition(2 + sim.rng.IntN(2)) })
		sim.schedule(between(sim.end*2/3, sim.end*3/4), sim.heal)
	case "oneway":
		sim.lossRate, sim.delayRate = 0.05, 0.05
		for range 1 + n/2 {
			sim.schedule(between(start, sim.end/2), func() {
				i, j := sim.rng.IntN(n), sim.rng.IntN(n)
				sim.blocked[i][j] = i != j
			})
		}
	case "flap":
		sim.lossRate = 0.02
		for at := start; at < sim.end; at += between(interval/4, 2*interval) {
			sim.schedule(at, func() {
				i, j := sim.rng.IntN(n), sim.rng.IntN(n)
				sim.blocked[i][j] = i != j && !sim.blocked[i][j]
				sim.blocked[j][i] = sim.blocked[i][j]
			})
		}
	case "drift":
		for k, i := range sim.instances {
			i.clock.rate = 1 + 0.001*(2*float64(k)/float64(max(1, n-1))-1)
			i.clock.offset = between(0, time.Hour)
		}
	case "roll":
		// The instances leave gracefully and restart under their names one after another, two rounds of all.
		period := max(sim.settings.QuorumBound(0), 2*time.Second)
		for k := range 2 * n {
			i := sim.instances[k%n]
			if at := start + time.Duration(k)*period; at < sim.end && n > 2 {
				sim.schedule(at, func() { sim.restart(i, true, between(50*time.Millisecond, time.Second)) })
			}
		}
	case "rejoin":
		// All others restart while one instance is isolated: they forget their promises to it, and it doesn't notice.
		i, at := randomInstance(), between(start, start+4*interval)
		sim.stable = i.id
		sim.schedule(at, func() {
			for j := range sim.instances {
				sim.blocked[i.id][j], sim.blocked[j][i.id] = true, true
			}
			for _, j := range sim.instances {
				if j != i {
					sim.restart(j, false, between(10*time.Millisecond, 100*time.Millisecond))
				}
			}
		})
		sim.schedule(at+6*interval, sim.heal)
	case "new":
		// All readers start at once long after the instances, and get the reduced rate of the startup period.
		sim.schedule(start, sim.restartReaders)
	case "blind":
		sim.blockReaders()
	case "mixed":
		sim.scheduleMixed()
	default:
		return fmt.Errorf("scenario %q: not one of %v", sim.setup.Scenario, Scenarios)
	}
	return nil
}

// blockReaders makes some readers unreachable from some instances. The stable instance reaches all of them.
func (sim *simulation) blockReaders() {
	sim.stable = sim.rng.IntN(sim.setup.Instances)
	for i := range sim.instances {
		for r := range sim.readers {
			sim.unreachable[i][r] = i != sim.stable && sim.rng.IntN(3) == 0
		}
	}
}

// restartReaders starts all readers. Each instance learns of it after a random delay.
func (sim *simulation) restartReaders() {
	sim.readersStart = sim.now
	for _, i := range sim.instances {
		i.schedule(time.Duration(sim.rng.Int64N(int64(sim.setup.Interval))), func() {
			i.handle(func() { i.scheduler.SetTargets(0, i.targets()) })
		})
	}
}

// scheduleMixed schedules random events of all kinds. The stable instance is not paused, restarted or given clock jumps.
func (sim *simulation) scheduleMixed() {
	n, interval := sim.setup.Instances, sim.setup.Interval
	sim.stable = sim.rng.IntN(n)
	sim.lossRate, sim.delayRate = sim.rng.Float64()*0.1, sim.rng.Float64()*0.1
	if sim.rng.IntN(4) == 0 {
		sim.blockReaders()
	}
	for _, i := range sim.instances {
		i.clock.rate = 1 + 0.001*(2*sim.rng.Float64()-1)
	}
	for at := time.Duration(0); at < sim.end; at += time.Duration(sim.rng.Int64N(int64(3 * interval))) {
		sim.schedule(at, func() {
			i := sim.instances[sim.rng.IntN(n)]
			switch event := sim.rng.IntN(9); {
			case event == 0:
				sim.partition(1 + sim.rng.IntN(3))
			case event == 1:
				sim.heal()
			case event == 2:
				a, b := sim.rng.IntN(n), sim.rng.IntN(n)
				sim.blocked[a][b] = a != b && !sim.blocked[a][b]
			case event <= 3 && i.id != sim.stable:
				i.pause(200*time.Millisecond + time.Duration(sim.rng.Int64N(int64(20*time.Second))))
			case event <= 5 && i.id != sim.stable && i.up:
				sim.restart(i, sim.rng.IntN(2) == 0, time.Duration(sim.rng.Int64N(int64(4*interval))))
			case event == 6 && i.id != sim.stable:
				i.clock.offset += time.Duration(sim.rng.Int64N(int64(20*time.Second))) - 5*time.Second
			case event == 7:
				sim.lossRate = sim.rng.Float64() * 0.3
			}
		})
	}
}

// partition divides the instances into groups that cannot communicate.
func (sim *simulation) partition(groups int) {
	group := make([]int, len(sim.instances))
	for k, i := range sim.rng.Perm(len(sim.instances)) {
		if group[i] = k; k >= groups {
			group[i] = sim.rng.IntN(groups)
		}
	}
	for i := range sim.blocked {
		for j := range sim.blocked[i] {
			sim.blocked[i][j] = group[i] != group[j]
		}
	}
}

// heal removes all network faults between instances.
func (sim *simulation) heal() {
	for i := range sim.blocked {
		clear(sim.blocked[i])
	}
}

// restart stops a process, gracefully or not, and starts a new incarnation under the same name.
func (sim *simulation) restart(i *instance, graceful bool, downtime time.Duration) {
	if graceful && sim.now >= i.pausedUntil {
		i.handle(i.scheduler.Leave)
	}
	i.stop()
	sim.schedule(downtime, func() {
		if !i.up {
			if err := i.start(); err != nil {
				panic(err) // the same settings were accepted before
			}
		}
	})
}
