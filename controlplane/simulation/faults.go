package simulation

import (
	"fmt"
	"time"
)

// Fault is a kind of fault.
type Fault string

// The kinds of faults. One that takes a core machine away waits until the machine of the fault before counts as back. Those
// that affect all machines keep the disks.
const (
	Kill                Fault = "kill"            // kills a controller's process
	Power               Fault = "power"           // takes a core machine's power
	PowerAll            Fault = "power-all"       // takes the power of all core machines
	KillAll             Fault = "kill-all"        // kills all controllers
	BlackOut            Fault = "black-out"       // takes the power of all machines, fronts included
	Wipe                Fault = "wipe"            // restarts a core machine with an empty disk
	WipeDuringPowerLoss Fault = "wipe-dark"       // the same, while all other core machines lose power
	WipeDuringBlackOut  Fault = "wipe-black"      // the same, and all fronts lose power as well
	Replace             Fault = "replace"         // removes a core machine for good, and an empty one joins at another address
	ReplacePlanned      Fault = "replace-planned" // adds the new machine first and then asks the old one to shut down
	Leave               Fault = "leave"           // asks a controller to shut down, and starts it again
	Partition           Fault = "cut"             // partitions a core machine from the other core machines
	PartitionOneWay     Fault = "cut-one-way"     // the same in one direction
	Isolate             Fault = "cut-all"         // partitions a core machine from everything
	DiskFull            Fault = "disk-full"
	DiskStall           Fault = "disk-stall"
	RestartFronts       Fault = "fronts" // restarts fronts: agent, proxy or both
)

// Faults lists all kinds of faults.
func Faults() []Fault {
	return []Fault{Kill, Power, PowerAll, KillAll, BlackOut, Wipe, WipeDuringPowerLoss, WipeDuringBlackOut, Replace, ReplacePlanned, Leave,
		Partition, PartitionOneWay, Isolate, DiskFull, DiskStall, RestartFronts}
}

// injectFaults draws and injects one fault after the other.
func (sim *Simulation) injectFaults(duration time.Duration) {
	kinds := sim.options.Faults
	if kinds == nil {
		kinds = Faults()
	}
	step := sim.options.Step
	if step == 0 {
		step = 3 * time.Second
	}
	for end := time.Now().Add(duration); time.Now().Before(end) && !sim.failed(); {
		time.Sleep(sim.randomDuration(step/10, 2*step))
		kind := kinds[sim.pick(len(kinds))]
		sim.mu.Lock()
		if sim.options.AtAcknowledgement {
			sim.pendingFault, sim.pendingTrigger = kind, sim.options.Trigger
		} else if sim.rng.Float64() < 0.4 {
			sim.pendingFault, sim.pendingTrigger = kind, []Trigger{ChangeAcknowledged, DrainAcknowledged}[sim.rng.IntN(2)]
		} else {
			sim.inject(kind)
		}
		sim.mu.Unlock()
	}
}

// Trigger is the kind of acknowledgement that a pending fault waits for.
type Trigger uint8

// The kinds of acknowledgement.
const (
	ChangeAcknowledged Trigger = iota
	DrainAcknowledged
)

// triggerFault injects the pending fault if it waits for this kind of acknowledgement. The lock is held.
func (sim *Simulation) triggerFault(at Trigger) {
	if kind := sim.pendingFault; kind != "" && sim.pendingTrigger == at {
		sim.pendingFault = ""
		sim.inject(kind)
	}
}

// randomDurationLocked is randomDuration for a caller that holds the lock.
func (sim *Simulation) randomDurationLocked(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(sim.rng.Int64N(int64(longest-shortest)+1))
}

// randomMachine returns a running core machine, or nil if there is none. The lock is held.
func (sim *Simulation) randomMachine() *machine {
	var running []*machine
	for _, m := range sim.activeMachines() {
		if m.process != nil {
			running = append(running, m)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return running[sim.rng.IntN(len(running))]
}

// reserveLoss reserves the one loss within the tolerance for a duration. It returns false if another loss holds it. The lock
// is held.
func (sim *Simulation) reserveLoss(d time.Duration) bool {
	if time.Now().Before(sim.lossUntil) {
		return false
	}
	sim.lossUntil = time.Now().Add(d + syncBound)
	return true
}

// inject injects one fault. The lock is held.
func (sim *Simulation) inject(kind Fault) {
	m := sim.randomMachine()
	if m == nil {
		return
	}
	short, long := sim.randomDurationLocked(300*time.Millisecond, 2*time.Second),
		sim.randomDurationLocked(500*time.Millisecond, 8*time.Second)
	if sim.rng.Float64() < 0.4 {
		long = sim.randomDurationLocked(18*time.Second, 24*time.Second)
	}
	switch kind {
	case PowerAll, KillAll, BlackOut:
		sim.injectAll(kind)
		return
	case RestartFronts:
		sim.restartRandomFronts()
		return
	}
	outage := long
	switch kind {
	case Kill, Power, Wipe, WipeDuringPowerLoss, WipeDuringBlackOut, Replace, ReplacePlanned:
		outage = short
	case Leave:
		outage = short + 3*time.Second
	}
	if !sim.reserveLoss(outage) {
		return
	}
	sim.result.Faults++
	sim.record("%s: %s for %v", m.node, kind, outage)
	switch kind {
	case Kill, Power:
		sim.kill(m, kind == Power)
		sim.restartLater(m, short)
	case Wipe:
		sim.wipe(m)
		sim.restartLater(m, short)
	case WipeDuringPowerLoss, WipeDuringBlackOut:
		for _, other := range sim.activeMachines() {
			if other != m {
				sim.kill(other, true)
				sim.restartLater(other, sim.randomDurationLocked(200*time.Millisecond, time.Second))
			}
		}
		sim.wipe(m)
		sim.restartLater(m, short)
		if kind == WipeDuringBlackOut {
			sim.restartAllFronts()
		}
	case Replace:
		sim.replace(m, short, false)
	case ReplacePlanned:
		sim.replace(m, short, true)
	case Leave:
		sim.leave(m, func() { sim.restartLater(m, short) })
	case Partition, PartitionOneWay, Isolate:
		sim.partition(m, kind, long)
	case DiskFull:
		m.process.disk.fullTo.Store(int64(time.Since(sim.start) + long))
		sim.markDisturbed(long)
	case DiskStall:
		m.process.disk.stallTo.Store(int64(time.Since(sim.start) + long))
		sim.markDisturbed(long)
	}
}

// markDisturbed marks the controllers as disturbed now and again after the duration. The lock is held.
func (sim *Simulation) markDisturbed(d time.Duration) {
	sim.disturbedAt = time.Now()
	sim.processes.Go(func() {
		time.Sleep(d)
		sim.mu.Lock()
		sim.disturbedAt = time.Now()
		sim.mu.Unlock()
	})
}

func (sim *Simulation) injectAll(kind Fault) {
	sim.result.Faults++
	sim.record("%s", kind)
	for _, m := range sim.activeMachines() {
		if m.process != nil {
			sim.kill(m, kind != KillAll)
			sim.restartLater(m, sim.randomDurationLocked(100*time.Millisecond, time.Second))
		}
	}
	if t := time.Now().Add(time.Second + syncBound); t.After(sim.lossUntil) {
		sim.lossUntil = t
	}
	if kind == BlackOut {
		sim.restartAllFronts()
	}
}

// restartAllFronts makes all fronts lose power. The lock is held.
func (sim *Simulation) restartAllFronts() {
	for _, f := range sim.fronts {
		sim.restartFront(f, true, true)
	}
}

func (sim *Simulation) restartRandomFronts() {
	sim.record("fronts restart")
	for _, f := range sim.fronts {
		switch sim.rng.IntN(4) {
		case 0:
			sim.restartFront(f, true, false)
		case 1:
			sim.restartFront(f, false, true)
		case 2:
			sim.restartFront(f, true, true)
		}
	}
}

// restartFront ends processes of a front and starts them again soon. The lock is held.
func (sim *Simulation) restartFront(f *front, withAgent, withProxy bool) {
	f.disturbedAt = time.Now()
	after := sim.randomDurationLocked(100*time.Millisecond, 800*time.Millisecond)
	if withAgent {
		f.agent.kill()
	}
	if withProxy {
		f.proxy.kill()
	}
	sim.processes.Go(func() {
		time.Sleep(after)
		if withAgent {
			sim.startAgent(f)
		}
		if withProxy {
			sim.startProxy(f)
		}
	})
}

func (sim *Simulation) replace(m *machine, after time.Duration, planned bool) {
	retire := func() {
		sim.kill(m, true)
		m.removed = true
	}
	if !planned {
		retire()
	}
	n := len(sim.machines)
	sim.processes.Go(func() {
		if !planned {
			time.Sleep(after)
		}
		sim.addMachine(n, false)
		if planned {
			time.Sleep(after)
			sim.mu.Lock()
			if m.process != nil {
				sim.leave(m, func() { m.removed = true })
			}
			sim.mu.Unlock()
		}
	})
}

// leave asks a controller to shut down. Once it has ended, or at the end of its grace period, then runs with the lock held.
func (sim *Simulation) leave(m *machine, then func()) {
	p := m.process
	sim.disturbedAt = time.Now()
	p.stop()
	sim.processes.Go(func() {
		select {
		case <-p.ended:
		case <-time.After(3 * time.Second):
		}
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if m.process != p {
			return // another fault has ended this process
		}
		sim.kill(m, false)
		then()
	})
}

// partition cuts a machine's links for a duration. The lock is held.
func (sim *Simulation) partition(m *machine, kind Fault, d time.Duration) {
	var peers []string
	for _, other := range sim.machines {
		if other != m {
			peers = append(peers, other.ip)
		}
	}
	if kind == Isolate {
		for _, f := range sim.fronts {
			peers = append(peers, frontIP(f.index))
		}
		for i := range sim.options.Searchers {
			peers = append(peers, fmt.Sprintf("10.8.0.%d", i+1))
		}
		peers = append(peers, "10.9.0.1", "10.9.0.2", "10.9.0.99")
	}
	out, in := true, true
	if kind == PartitionOneWay {
		out = sim.rng.Float64() < 0.5
		in = !out
	}
	for _, p := range peers {
		sim.net.SetPartition(m.ip, p, out)
		sim.net.SetPartition(p, m.ip, in)
	}
	sim.disturbedAt = time.Now()
	sim.processes.Go(func() {
		time.Sleep(d)
		for _, p := range peers {
			sim.net.SetPartition(m.ip, p, false)
			sim.net.SetPartition(p, m.ip, false)
		}
		sim.mu.Lock()
		sim.disturbedAt = time.Now()
		sim.mu.Unlock()
	})
}

// healAll ends all faults.
func (sim *Simulation) healAll() {
	sim.net.Heal()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.record("calm")
	sim.pendingFault = ""
	sim.disturbedAt = time.Now()
	for _, m := range sim.activeMachines() {
		if m.process != nil {
			m.process.disk.fullTo.Store(0)
			m.process.disk.stallTo.Store(0)
		}
	}
}
