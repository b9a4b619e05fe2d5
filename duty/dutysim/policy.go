package dutysim

import (
	"fmt"
	"slices"
	"time"

	"peathollow/duty"
)

// machine makes what decides for an instance.
func (w *world) machine(i *instance, s duty.Settings) (machine, error) {
	switch w.set.Policy {
	case "all", "view":
		return &plain{set: s, act: i, all: w.set.Policy == "all", view: []string{s.Me}}, nil
	case "":
	default:
		return nil, fmt.Errorf("policy %q: not core, all or view", w.set.Policy)
	}
	raw := i.clock.at(w.now)
	switch w.set.Plant {
	case "lease":
		// The odd ones believe their leases to last longer than the voters' promises.
		if i.id%2 == 1 {
			s.Lease *= 20
		}
	case "majority":
		s.Instances = 1
	}
	if w.set.Plant == "amnesia" {
		// A voter that starts forgets what it promised, and does not wait till that is over.
		c, err := duty.New(s, i, raw-time.Hour)
		if err != nil {
			return nil, err
		}
		for t := raw - time.Hour; t < raw; t += c.Tick() {
			c.At(t)
		}
		c.At(raw)
		return c, nil
	}
	c, err := duty.New(s, i, raw)
	if err != nil {
		return nil, err
	}
	if w.set.Plant == "" {
		return c, nil
	}
	for _, p := range Plants {
		if p == w.set.Plant {
			return &planted{Core: c, i: i, plant: p}, nil
		}
	}
	return nil, fmt.Errorf("plant %q: not one of %v", w.set.Plant, Plants)
}

// Plants are the faults that can be planted: what a careless caller, peer or operator would do.
var Plants = []string{"early check", "twice", "lease", "majority", "amnesia", "forged", "fresh", "deaf"}

// planted is the core with a fault around it.
type planted struct {
	*duty.Core
	i     *instance
	plant string
}

func (p *planted) Permit(token uint64, raw time.Duration) bool {
	switch p.plant {
	case "early check":
		// What was planned goes out, whatever has happened since.
		p.Core.Permit(token, raw)
		return true
	case "twice":
		if p.Core.Permit(token, raw) {
			p.i.again = true // an answer that is late is taken for lost, and the probe sent again at once
			return true
		}
		return false
	}
	return p.Core.Permit(token, raw)
}

func (p *planted) Heard(m duty.Message) {
	switch p.plant {
	case "forged":
		// One vote is counted for everybody.
		if m.Kind == duty.Grant {
			for _, j := range p.i.w.all {
				if n := m; j != p.i {
					n.From = j.name
					p.Core.Heard(n)
				}
			}
		}
	case "fresh":
		// Old word is told again as if it were new.
		if m.Kind == duty.Results {
			m.Results = slices.Clone(m.Results)
			for k := range m.Results {
				m.Results[k].Age = 0
			}
			n := m
			for k := 1; k < 60; k++ {
				p.i.post(time.Duration(k)*p.i.w.set.Interval, func() { p.i.act(func() { p.Core.Heard(n) }) })
			}
		}
	case "deaf":
		if m.Kind == duty.Results || m.Kind == duty.Release {
			return // and would still not be wrong: only rarer
		}
	}
	p.Core.Heard(m)
}

// plain is either baseline: everyone looks after all, or after what falls to it by its view alone.
type plain struct {
	set     duty.Settings
	act     duty.Actions
	all     bool
	now     time.Duration
	view    []string
	targets []string
	last    []time.Duration
	token   uint64
	out     map[uint64]int
	left    bool
}

func (p *plain) At(raw time.Duration) { p.now = raw }

func (p *plain) Members(view map[string]uint64) {
	p.view = append(p.view[:0], p.set.Me)
	for n := range view {
		p.view = append(p.view, n)
	}
}

func (p *plain) Targets(_ int, ts []duty.Target) {
	p.out = map[uint64]int{}
	for _, t := range ts {
		p.targets = append(p.targets, t.Name)
		// Phases differ, as they would between processes.
		p.last = append(p.last, p.now-time.Duration(duty.ID(1, t.Name+p.set.Me)%uint64(p.set.Kinds[0].Interval)))
	}
}

func (p *plain) mine(r int) bool {
	if p.all {
		return true
	}
	best, most := "", uint64(0)
	for _, n := range p.view {
		if w := duty.ID(2, n+" "+p.targets[r]); best == "" || w > most {
			best, most = n, w
		}
	}
	return best == p.set.Me
}

func (p *plain) Wake() time.Duration {
	next := p.now + p.set.Kinds[0].Interval/20
	for r := range p.targets {
		if p.left || p.now-p.last[r] < p.set.Kinds[0].Interval || !p.mine(r) {
			continue
		}
		p.last[r] = p.now
		p.token++
		p.out[p.token] = r
		p.act.Run(p.token, 0, p.targets[r])
	}
	return next
}

func (p *plain) Heard(duty.Message)                                       {}
func (p *plain) Permit(uint64, time.Duration) bool                        { return !p.left }
func (p *plain) Done(t uint64, _ duty.Outcome, _ time.Duration, _ string) { delete(p.out, t) }
func (p *plain) Leave()                                                   { p.left = true }
