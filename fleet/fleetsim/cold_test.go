package fleetsim

import (
	"sync"
	"testing"
	"time"
)

// coldCase is a fleet whose mixers exchange no messages, and in which searchers are replaced.
type coldCase struct {
	name         string
	mixers       int
	demand       float64 // scans per second; the warm searchers together serve 480
	uneven       bool
	maxListDelay time.Duration // until the last mixer learns of a start
	replaced     int           // number of searchers replaced, of 24
	restart      bool          // all mixers restart when the searchers are up again, and know nothing but the list
	multiple     float64
}

// All mixers together must not send a cold searcher more than it withstands, whatever each mixer knows: with the list
// up to date or late, half of the load at one mixer, restarted mixers, in an overload, with 20 to 300 mixers. The
// delays of the list are distributed uniformly up to the maximum. The maximum load, as a share of what overloads a searcher,
// is logged.
func TestMixersTogetherDoNotOverloadColdSearchers(t *testing.T) {
	cases := []coldCase{
		{"calm, all told at once", 60, 240, false, 0, 2, false, 3},
		{"calm, 300 mixers", 300, 240, false, 0, 2, false, 3},
		{"told over 6 s", 60, 240, false, 6 * s, 4, false, 3},
		{"half of the load at one mixer", 60, 240, true, s, 4, false, 3},
		{"half of the load at one mixer, told late", 20, 240, true, 6 * s, 4, false, 3},
		{"half of the searchers at once", 60, 240, false, 2 * s, 12, false, 3},
		{"half of the searchers at once, 300 mixers, told late", 300, 240, false, 6 * s, 12, false, 3},
		{"more than can be done", 60, 700, false, 2 * s, 6, false, 3},
		{"all mixers start anew", 60, 240, false, 0, 4, true, 3},
		{"a fall at twice what can be done", 60, 240, false, 2 * s, 6, false, 2},
		{"a fall at 1.2 times, more asked than can be done, half of the searchers", 60, 700, false, 2 * s, 12, false, 1.2},
		{"the same with 300 mixers", 300, 700, false, 2 * s, 12, false, 1.2},
	}
	var all sync.WaitGroup
	for _, c := range cases {
		all.Go(func() {
			sim := c.run(t, false)
			t.Logf("| %s | %d | %.2f |", c.name, c.mixers, sim.workload.worstColdLoad)
			if len(sim.Violations) > 0 {
				t.Errorf("%s: %q", c.name, sim.Violations[0])
			}
		})
	}
	all.Wait()
	// The check must also detect a violation: mixers that know nothing of cold starts overload searchers.
	if sim := cases[10].run(t, true); len(sim.Violations) == 0 {
		t.Errorf("mixers that know nothing of cold starts send at most %.2f of what overloads a searcher", sim.workload.worstColdLoad)
	}
}

func (c *coldCase) run(t *testing.T, unknownToMixers bool) *Simulation {
	settings := Default(c.mixers, 5)
	settings.NoMessages, settings.Shared = true, false
	settings.Load = Load{Searchers: 24, PartsPerSecond: 40, ObeyShare: 0.5, Retries: 2, Uneven: c.uneven,
		Tenants: []Tenant{{Name: "acme", Quota: 400, Demand: c.demand}},
		ColdStart: ColdStart{WarmUp: 10 * s, Share: 0.3, Multiple: c.multiple, Span: 1500 * time.Millisecond,
			UnknownToMixers: unknownToMixers}}
	sim, err := New(settings)
	if err != nil {
		t.Error(err)
	}
	sim.Run(8 * s)
	for i := range c.replaced {
		sim.ReplaceSearcher(i*2, func() time.Duration { return time.Duration(sim.rng.Float64() * float64(c.maxListDelay)) })
	}
	sim.Run(restartDelay + s/10)
	if c.restart {
		for _, n := range sim.Nodes {
			n.Restart()
		}
	}
	sim.Run(12 * s)
	return sim
}
