package fleetsim

import (
	"context"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cucumber/godog"

	"peathollow/fleet/view"
	"peathollow/lab/reader"
)

// scenarioRunner runs one scenario. The first steps describe the fleet; the simulation is made at the first step that
// needs it.
type scenarioRunner struct {
	settings   Settings
	sim        *Simulation
	countsFrom time.Duration // when the present counts began
	probes     map[*Node]float64
	spent      float64
	results    map[string]TenantResult
}

func (r *scenarioRunner) simulation() (*Simulation, error) {
	if r.sim == nil {
		sim, err := New(r.settings)
		if err != nil {
			return nil, err
		}
		r.sim = sim
		r.startCounts()
	}
	return r.sim, nil
}

// startCounts begins new counts of probes and scans.
func (r *scenarioRunner) startCounts() {
	r.countsFrom, r.spent, r.probes = r.sim.Now(), r.sim.truth.spent, map[*Node]float64{}
	for _, n := range r.sim.Nodes {
		r.probes[n] = n.Probes
	}
	if r.sim.workload != nil {
		r.sim.TakeResults()
	}
	r.results = nil
}

// advance simulates a span of time and fails the scenario if an invariant was violated.
func (r *scenarioRunner) advance(text string) error {
	d, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	sim, err := r.simulation()
	if err != nil {
		return err
	}
	sim.Run(d)
	return r.checkInvariants()
}

func (r *scenarioRunner) checkInvariants() error {
	if r.sim != nil && len(r.sim.Violations) > 0 {
		return fmt.Errorf("violations: %s", strings.Join(r.sim.Violations, "; "))
	}
	return nil
}

// mixers returns the mixers of a list of names, or all of them for an empty list.
func (r *scenarioRunner) mixers(list string) ([]*Node, error) {
	sim, err := r.simulation()
	if err != nil || list == "" {
		return sim.Nodes, err
	}
	var nodes []*Node
	for _, name := range strings.Split(list, ", ") {
		n, err := sim.Find(name)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// each calls a function for every mixer of a list, or for all of them if the list is empty.
func (r *scenarioRunner) each(list string, f func(n *Node) error) error {
	nodes, err := r.mixers(list)
	for _, n := range nodes {
		if err == nil {
			err = f(n)
		}
	}
	return err
}

func (r *scenarioRunner) expectConnectivity(list, connectivity string) error {
	return r.each(list, func(n *Node) error {
		if got := n.View.Connectivity().String(); got != connectivity {
			return fmt.Errorf("the connectivity of %s is %s, want %s", n.Name, got, connectivity)
		}
		return nil
	})
}

func (r *scenarioRunner) expectPermission(list, name string, want bool) error {
	permission, ok := map[string]view.Permission{"keep": view.UseOwnShare, "lower": view.Lower, "count": view.UseReports,
		"grant": view.Grant, "raise": view.Raise}[name]
	if !ok {
		return fmt.Errorf("no permission %q", name)
	}
	return r.each(list, func(n *Node) error {
		if n.View.Allows(permission) != want {
			return fmt.Errorf("the connectivity of %s is %v: its permission to %s is %v", n.Name, n.View.Connectivity(), name, !want)
		}
		return nil
	})
}

func (r *scenarioRunner) partition(lists ...string) error {
	var groups [][]*Node
	for _, l := range lists {
		g, err := r.mixers(l)
		if err != nil {
			return err
		}
		groups = append(groups, g)
	}
	r.sim.Partition(groups...)
	return nil
}

// isolate blocks one direction between the listed mixers and all others: what they receive, or what they send.
func (r *scenarioRunner) isolate(list string, incoming bool) error {
	return r.each(list, func(n *Node) error {
		for _, o := range r.sim.Nodes {
			if o != n && incoming {
				r.sim.SetBlocked(o, n, true)
			} else if o != n {
				r.sim.SetBlocked(n, o, true)
			}
		}
		return nil
	})
}

// flap partitions the fleet and heals it in turn, until the total time has passed.
func (r *scenarioRunner) flap(every, total string) error {
	step, err := time.ParseDuration(every)
	if err != nil {
		return err
	}
	all, err := time.ParseDuration(total)
	if err != nil {
		return err
	}
	for i := 0; time.Duration(i)*step < all; i++ {
		if i%2 == 0 {
			r.sim.Partition(r.sim.Nodes[:2], r.sim.Nodes[2:])
		} else {
			r.sim.Partition()
		}
		if err := r.advance(every); err != nil {
			return err
		}
	}
	return nil
}

func (r *scenarioRunner) expectRate(spent, low, high float64) error {
	if rate := spent / (r.sim.Now() - r.countsFrom).Seconds(); rate < low || rate > high+1e-9 {
		return fmt.Errorf("%.2f probes a second, want %g to %g", rate, low, high)
	}
	return nil
}

// tenantResults returns the results since the present counts began.
func (r *scenarioRunner) tenantResults() map[string]TenantResult {
	if r.results == nil {
		r.results = r.sim.TakeResults()
	}
	return r.results
}

func (r *scenarioRunner) expectCondition(list, condition string, want bool) error {
	return r.each(list, func(n *Node) error {
		if (n.Condition.String() == condition) != want {
			return fmt.Errorf("the load condition of %s is %v", n.Name, n.Condition)
		}
		return nil
	})
}

func initializeScenario(sc *godog.ScenarioContext) {
	r := &scenarioRunner{}
	seconds := `(-?\d+m?s)`
	names := `"([^"]*)"`
	sc.Step(`^a fleet of (\d+) mixers$`, func(n int) { r.settings = Default(n, 7) })
	sc.Step(`^(\d+) searchers that do (\d+) parts a second each$`, func(n int, partsPerSecond float64) {
		r.settings.Load = Load{Searchers: n, PartsPerSecond: partsPerSecond, ObeyShare: 0.5, Retries: 3}
	})
	sc.Step(`^the tenant `+names+` with a share of (\d+) asks for (\d+) scans a second$`, func(name string, quota, demand float64) {
		r.settings.Load.Tenants = append(r.settings.Load.Tenants, Tenant{name, quota, demand})
	})
	sc.Step(`^half of the clients meet "m1"$`, func() { r.sim.workload.config.Uneven = true })
	sc.Step(`^`+seconds+` pass$`, r.advance)
	sc.Step(`^a new count begins$`, r.startCounts)

	sc.Step(`^`+names+` (?:is|are) cut off from `+names+`$`, func(a, b string) error { return r.partition(a, b) })
	sc.Step(`^the fleet is cut into `+names+` and `+names+` and `+names+`$`, func(a, b, c string) error { return r.partition(a, b, c) })
	sc.Step(`^all ways are whole again$`, func() error { return r.partition() })
	sc.Step(`^nobody hears `+names+` any more$`, func(a string) error { return r.isolate(a, false) })
	sc.Step(`^`+names+` hears nobody any more$`, func(a string) error { return r.isolate(a, true) })
	sc.Step(`^`+names+` no longer hears `+names+`$`, func(a, b string) error {
		from, err := r.sim.Find(b)
		if err != nil {
			return err
		}
		return r.each(a, func(n *Node) error { r.sim.SetBlocked(from, n, true); return nil })
	})
	sc.Step(`^(\d+) percent of the words are lost, (\d+) come twice and (\d+) are late by up to `+seconds+`$`,
		func(loss, duplicate, delay float64, maxDelay string) error {
			d, err := time.ParseDuration(maxDelay)
			r.sim.SetNetworkFaults(loss/100, duplicate/100, delay/100, d)
			return err
		})
	sc.Step(`^the fleet is cut in two and healed every `+seconds+` for `+seconds+`$`, r.flap)
	sc.Step(`^`+names+` is killed$`, func(a string) error { return r.each(a, func(n *Node) error { n.Kill(); return nil }) })
	sc.Step(`^`+names+` is restarted$`, func(a string) error { return r.each(a, func(n *Node) error { n.Restart(); return nil }) })
	sc.Step(`^`+names+` leaves$`, func(a string) error { return r.each(a, func(n *Node) error { n.Leave(); return nil }) })
	sc.Step(`^`+names+` sleeps for `+seconds+`$`, func(a, text string) error {
		d, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		return r.each(a, func(n *Node) error { n.Pause(d); return nil })
	})
	sc.Step(`^the clock of `+names+` jumps by `+seconds+`$`, func(a, text string) error {
		d, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		return r.each(a, func(n *Node) error { n.JumpClock(d); return nil })
	})

	sc.Step(`^`+names+` stands? `+names+`$`, r.expectConnectivity)
	sc.Step(`^every mixer stands `+names+`$`, func(x string) error { return r.expectConnectivity("", x) })
	sc.Step(`^`+names+` may `+names+`$`, func(a, x string) error { return r.expectPermission(a, x, true) })
	sc.Step(`^`+names+` may not `+names+`$`, func(a, x string) error { return r.expectPermission(a, x, false) })
	sc.Step(`^every mixer may `+names+`$`, func(x string) error { return r.expectPermission("", x, true) })
	sc.Step(`^no mixer may `+names+`$`, func(x string) error { return r.expectPermission("", x, false) })
	sc.Step(`^`+names+` believes `+names+` `+names+`$`, func(a, b, state string) error {
		return r.each(a, func(n *Node) error {
			if got := n.View.State(b).String(); got != state {
				return fmt.Errorf("%s sees %s as %s", a, b, got)
			}
			return nil
		})
	})

	sc.Step(`^`+names+` counts (\d+) under `+names+`$`, func(a string, n int, topic string) error {
		return r.each(a, func(x *Node) error { x.Count(topic, uint64(n)); return nil })
	})
	expectSum := func(a, topic string, want int) error {
		return r.each(a, func(n *Node) error {
			if got := n.Store.Sum(topic, 0); got != uint64(want) {
				return fmt.Errorf("%s sums %q to %d", n.Name, topic, got)
			}
			return nil
		})
	}
	sc.Step(`^`+names+` sums? `+names+` up to (\d+)$`, expectSum)
	sc.Step(`^every mixer sums `+names+` up to (\d+)$`, func(topic string, n int) error { return expectSum("", topic, n) })

	setProbeDemand := func(a string, rate float64) error {
		return r.each(a, func(n *Node) error { n.SetProbeDemand(rate); return nil })
	}
	sc.Step(`^`+names+` wants? (\d+) probes a second$`, setProbeDemand)
	sc.Step(`^every mixer wants (\d+) probes a second$`, func(rate float64) error { return setProbeDemand("", rate) })
	sc.Step(`^`+names+` made ([\d.]+) to ([\d.]+) probes a second$`, func(a string, low, high float64) error {
		return r.each(a, func(n *Node) error { return r.expectRate(n.Probes-r.probes[n], low, high) })
	})
	sc.Step(`^all together made ([\d.]+) to ([\d.]+) probes a second$`, func(low, high float64) error {
		return r.expectRate(r.sim.truth.spent-r.spent, low, high)
	})

	sc.Step(`^`+names+` asks for (\d+) scans a second$`, func(t string, rate float64) error { return r.sim.SetDemand(t, rate) })
	sc.Step(`^the fleet's mood is `+names+`$`, func(m string) error { return r.expectCondition("", m, true) })
	sc.Step(`^the fleet's mood is not `+names+`$`, func(m string) error { return r.expectCondition("", m, false) })
	sc.Step(`^the mood of `+names+` is `+names+`$`, func(a, m string) error { return r.expectCondition(a, m, true) })
	sc.Step(`^`+names+` got at least (\d+) percent$`, func(t string, percent float64) error {
		if result := r.tenantResults()[t]; result.Requested == 0 || result.Completed < percent/100*result.Requested {
			return fmt.Errorf("%s: %.0f of %.0f scans completed", t, result.Completed, result.Requested)
		}
		return nil
	})
	sc.Step(`^all together got at least (\d+) scans a second$`, func(rate float64) error {
		completed := 0.0
		for _, result := range r.tenantResults() {
			completed += result.Completed
		}
		if completed < rate*(r.sim.Now()-r.countsFrom).Seconds() {
			return fmt.Errorf("%.1f scans a second completed", completed/(r.sim.Now()-r.countsFrom).Seconds())
		}
		return nil
	})
	sc.Step(`^all mixers let in the same to (\d+) percent$`, func(percent float64) error {
		low, high := math.Inf(1), 0.0
		for _, n := range r.sim.Nodes {
			low, high = min(low, n.host.capacity), max(high, n.host.capacity)
		}
		if math.IsInf(high, 1) || high-low > percent/100*high {
			return fmt.Errorf("the mixers' estimates of the capacity are from %.0f to %.0f", low, high)
		}
		return nil
	})
	sc.Step(`^all searchers crash$`, func() {
		for i := range r.sim.workload.searchers {
			r.sim.CrashSearcher(i)
		}
	})
	sc.Step(`^all searchers take twice as long$`, func() {
		r.sim.EachSearcher(func(_ int, searcher *reader.Reader) { searcher.SetSlowdown(2) })
	})

	// The invariants are checked at the end of each scenario, whatever its steps.
	sc.After(func(ctx context.Context, _ *godog.Scenario, err error) (context.Context, error) {
		if err == nil {
			err = r.checkInvariants()
		}
		return ctx, err
	})
}

// Runs the scenarios under stories/, which are written as plain text for operators.
func TestScenarios(t *testing.T) {
	suite := godog.TestSuite{ScenarioInitializer: initializeScenario,
		Options: &godog.Options{Format: "progress", Paths: []string{"stories"}, Strict: true, NoColors: true, TestingT: t}}
	if suite.Run() != 0 {
		t.Error("a scenario failed")
	}
}
