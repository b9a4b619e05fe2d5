package dutysim

import (
	"fmt"
	"slices"
	"time"

	"peathollow/duty"
)

// newScheduler creates the scheduler of an instance: the real one, one with an injected fault, or a baseline.
func (sim *simulation) newScheduler(i *instance, settings duty.Settings) (scheduler, error) {
	switch sim.setup.Policy {
	case "all", "view":
		return &baseline{settings: settings, actions: i, probeAll: sim.setup.Policy == "all", view: []string{settings.Name}}, nil
	case "":
	default:
		return nil, fmt.Errorf("policy %q: not core, all or view", sim.setup.Policy)
	}
	callerTime := i.clock.at(sim.now)
	switch sim.setup.Fault {
	case "lease":
		// Instances with odd numbers assume leases that outlast the promises of the voters.
		if i.id%2 == 1 {
			settings.Lease *= 20
		}
	case "majority":
		settings.Instances = 1
	}
	if sim.setup.Fault == "amnesia" {
		// A starting voter grants at once instead of waiting until promises from before its restart have expired.
		s, err := duty.New(settings, i, callerTime-time.Hour)
		if err != nil {
			return nil, err
		}
		for t := callerTime - time.Hour; t < callerTime; t += s.MaxAdvanceInterval() {
			s.Advance(t)
		}
		s.Advance(callerTime)
		return s, nil
	}
	s, err := duty.New(settings, i, callerTime)
	if err != nil {
		return nil, err
	}
	if sim.setup.Fault == "" {
		return s, nil
	}
	for _, fault := range Faults {
		if fault == sim.setup.Fault {
			return &faultyScheduler{Scheduler: s, instance: i, fault: fault}, nil
		}
	}
	return nil, fmt.Errorf("plant %q: not one of %v", sim.setup.Fault, Faults)
}

// Faults are the faults that can be injected: errors of a careless caller, peer or operator.
var Faults = []string{"early check", "twice", "lease", "majority", "amnesia", "forged", "fresh", "deaf"}

// faultyScheduler wraps a scheduler and injects a fault.
type faultyScheduler struct {
	*duty.Scheduler
	instance *instance
	fault    string
}

func (s *faultyScheduler) Permit(token uint64, raw time.Duration) bool {
	switch s.fault {
	case "early check":
		// A planned run is sent whatever has happened since.
		s.Scheduler.Permit(token, raw)
		return true
	case "twice":
		if s.Scheduler.Permit(token, raw) {
			s.instance.duplicateNext = true // a late answer is taken for lost, and the probe is sent again at once
			return true
		}
		return false
	}
	return s.Scheduler.Permit(token, raw)
}

func (s *faultyScheduler) Receive(m duty.Message) {
	switch s.fault {
	case "forged":
		// One grant counts as a grant from every instance.
		if m.Kind == duty.Grant {
			for _, j := range s.instance.sim.instances {
				if n := m; j != s.instance {
					n.From = j.name
					s.Scheduler.Receive(n)
				}
			}
		}
	case "fresh":
		// Old results are received again as if they were new.
		if m.Kind == duty.Results {
			m.Results = slices.Clone(m.Results)
			for k := range m.Results {
				m.Results[k].Age = 0
			}
			n := m
			for k := 1; k < 60; k++ {
				s.instance.schedule(time.Duration(k)*s.instance.sim.setup.Interval, func() {
					s.instance.handle(func() { s.Scheduler.Receive(n) })
				})
			}
		}
	case "deaf":
		if m.Kind == duty.Results || m.Kind == duty.Release {
			return // harmless: it only makes runs rarer
		}
	}
	s.Scheduler.Receive(m)
}

// baseline is a simple policy to compare with: every instance probes all readers, or those that rendezvous hashing
// over its own view assigns to it.
type baseline struct {
	settings  duty.Settings
	actions   duty.Actions
	probeAll  bool
	now       time.Duration
	view      []string
	targets   []string
	lastProbe []time.Duration
	lastToken uint64
	inFlight  map[uint64]int
	stopped   bool
}

func (b *baseline) Advance(now time.Duration) { b.now = now }

func (b *baseline) SetMembers(view map[string]uint64) {
	b.view = append(b.view[:0], b.settings.Name)
	for name := range view {
		b.view = append(b.view, name)
	}
}

func (b *baseline) SetTargets(_ int, targets []duty.Target) {
	b.inFlight = map[uint64]int{}
	for _, target := range targets {
		b.targets = append(b.targets, target.Name)
		// Start with different phases, as separate processes would have.
		b.lastProbe = append(b.lastProbe,
			b.now-time.Duration(duty.ID(1, target.Name+b.settings.Name)%uint64(b.settings.Kinds[0].Interval)))
	}
}

// owns reports whether this instance probes a reader.
func (b *baseline) owns(reader int) bool {
	if b.probeAll {
		return true
	}
	best, bestWeight := "", uint64(0)
	for _, member := range b.view {
		if weight := duty.ID(2, member+" "+b.targets[reader]); best == "" || weight > bestWeight {
			best, bestWeight = member, weight
		}
	}
	return best == b.settings.Name
}

func (b *baseline) Wake() time.Duration {
	next := b.now + b.settings.Kinds[0].Interval/20
	for reader := range b.targets {
		if b.stopped || b.now-b.lastProbe[reader] < b.settings.Kinds[0].Interval || !b.owns(reader) {
			continue
		}
		b.lastProbe[reader] = b.now
		b.lastToken++
		b.inFlight[b.lastToken] = reader
		b.actions.Run(b.lastToken, 0, b.targets[reader])
	}
	return next
}

func (b *baseline) Receive(duty.Message)              {}
func (b *baseline) Permit(uint64, time.Duration) bool { return !b.stopped }
func (b *baseline) Done(token uint64, _ duty.Outcome, _ time.Duration, _ string) {
	delete(b.inFlight, token)
}
func (b *baseline) Leave() { b.stopped = true }
