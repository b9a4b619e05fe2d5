package request

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/manifest"
	"peathollow/policy"
)

// configure puts the next configuration version into force: services are added and removed, and routes change their
// timeouts and required coverage.
func (sim *simulation) configure() {
	sim.version++
	sim.services = nil
	for i := range 6 {
		sim.services = append(sim.services, fmt.Sprint("s", sim.version/3+i))
	}
	// The name of one service is a join of the names of others.
	separators := []string{",", ", ", "/", "\x00", " ", "\n"}
	sim.services[0] = strings.Join(sim.services[3:6], separators[sim.version/3%len(separators)])
	services, rng := sim.services, sim.rng
	times := func() (time.Duration, time.Duration) {
		return time.Duration(300+rng.IntN(500)) * ms, time.Duration(80+rng.IntN(100)) * ms
	}
	sim.routes = nil
	for i := range 5 {
		route := &manifest.Route{Name: fmt.Sprint(i), Idempotent: i != 1, Retries: 1 + rng.IntN(3), TopK: 1 + rng.IntN(8), MinCoverage: 1, Rank: i % 3}
		route.Horizon, route.Setpoint = times()
		switch i {
		case 0, 1:
			route.Plant = services[i]
		case 2:
			route.Split = []manifest.WeightedService{{Service: services[0], Gain: 0}, {Service: services[2], Gain: 1}, {Service: services[3], Gain: 2}}
		case 3:
			route.FanOut, route.MinCoverage = services[3:6], 0.6667 // more than two of three
		case 4:
			route.FanOut, route.MinCoverage = services[rng.IntN(2):5], []float64{0, 0.5, 0.6, 1}[rng.IntN(4)]
		}
		sim.routes = append(sim.routes, route)
	}
}

func (sim *simulation) startSearcher(service, address string) {
	sim.startedSearchers++
	searcher := &Searcher{ID: fmt.Sprint("i", sim.startedSearchers), Address: address, Service: service, Distance: sim.startedSearchers % 3}
	sim.listed[searcher.ID] = searcher
	if sim.rng.IntN(3) == 0 {
		sim.behaviors[searcher.ID] = policy.Outcome(sim.rng.IntN(int(policy.Expired) + 1))
	}
}

// publishList passes in the list.
func (sim *simulation) publishList() {
	var searchers []Searcher
	for _, id := range sim.listedIDs() {
		if searcher := *sim.listed[id]; sim.fault != "outdated states" || searcher.State == policy.Ready {
			searchers = append(searchers, searcher)
		} else {
			searcher.State = policy.Ready
			searchers = append(searchers, searcher)
		}
	}
	maps.DeleteFunc(sim.misdirected, func(id string, until time.Duration) bool { return sim.listed[id] == nil || sim.now >= until })
	sim.coordinator.SetSearchers(searchers)
}

func (sim *simulation) listedIDs() (ids []string) {
	for id := range sim.listed {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// churn lets searchers start, drain, end, disappear from the list and return, and reassigns addresses.
func (sim *simulation) churn() {
	for _, id := range sim.listedIDs() {
		switch searcher := sim.listed[id]; sim.rng.IntN(40) {
		case 0:
			searcher.State = policy.Draining
		case 1:
			delete(sim.listed, id)
			sim.startSearcher(sim.services[sim.rng.IntN(6)], searcher.Address)
		case 2: // missing from the list for a moment
			delete(sim.listed, id)
			if searcher.State == policy.Ready {
				sim.schedule(30*ms, func() { sim.listed[id] = searcher; sim.publishList() })
			}
		case 3:
			sim.behaviors[id] = policy.Outcome(sim.rng.IntN(int(policy.Expired) + 1))
		case 4, 5:
			sim.behaviors[id] = policy.Succeeded
			searcher.Calls++ // it has reported again
			delete(sim.misdirected, id)
		}
	}
	for _, s := range sim.services {
		n := 0
		for _, searcher := range sim.listed {
			if searcher.Service == s && searcher.State == policy.Ready {
				n++
			}
		}
		for ; n < 3 && sim.rng.IntN(5) > 0; n++ {
			sim.startSearcher(s, fmt.Sprint("a", sim.startedSearchers))
		}
	}
	sim.publishList()
}

func (sim *simulation) every(d time.Duration, until time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		if sim.now < until {
			sim.schedule(time.Duration(float64(d)*(0.5+sim.rng.Float64())), again)
		}
	}
	sim.schedule(0, again)
}

// simulate runs load and faults for span, then waits until all requests have ended.
func simulate(seed uint64, fault string, span time.Duration) *simulation {
	sim := newSimulation(seed, fault)
	sim.configure()
	sim.every(1500*ms, span, sim.configure)
	sim.every(100*ms, span, sim.churn)
	sim.every(8*ms, span, sim.beginRequest)
	sim.run(span + 5*time.Second)
	for _, req := range sim.requests {
		if req.answers != 1 && !req.clientLeft && sim.violations == nil {
			sim.recordViolation("request %d got %d answers", req.no, req.answers)
		}
	}
	return sim
}

// TestEachRequestGetsOneAnswer checks that each request gets exactly one correct answer under changes of searchers,
// list and configuration.
func TestEachRequestGetsOneAnswer(t *testing.T) {
	var kinds [Failed + 1]int
	for seed := range uint64(8) {
		sim := simulate(seed, "", 5*time.Second)
		must.Eq(t, "", strings.Join(sim.violations, "; "), must.Sprint("seed ", seed))
		must.Eq(t, 0, sim.coordinator.InFlight())
		must.Eq(t, 0, len(sim.coordinator.parts), must.Sprint("parts kept, seed ", seed))
		for k, n := range sim.finalKinds {
			kinds[k] += n
		}
		counts := sim.coordinator.Counts
		must.Positive(t, counts.Retries)
		must.Positive(t, counts.ClientsLeft)
		must.Positive(t, counts.Partial)
	}
	for k, n := range kinds { // otherwise the load does not exercise this kind
		must.Greater(t, 30, n, must.Sprint("kind ", k, " of ", kinds))
	}
}

// TestSimulationDetectsInjectedFaults checks that the simulation reports each injected fault.
func TestSimulationDetectsInjectedFaults(t *testing.T) {
	for fault, message := range map[string]string{
		"send twice":      "in flight twice",
		"false proof":     "sent again",
		"no answer":       "got 0 answers",
		"two answers":     "answer 2",
		"refuse what ran": "refused and may have run",
		"miscount":        "missing of",
		"one record less": "body",
		"outdated states": "listed",
	} {
		seen := ""
		for seed := range uint64(8) {
			seen += strings.Join(simulate(seed, fault, 3*time.Second).violations, "; ")
		}
		must.StrContains(t, seen, message, must.Sprint(fault))
	}
}

// TestCheckDetectsCorruptState checks that Check reports inconsistent state.
func TestCheckDetectsCorruptState(t *testing.T) {
	for name, corrupt := range map[string]func(c *Coordinator, p *part){
		"request count too high":    func(c *Coordinator, p *part) { p.request.group.inFlight++ },
		"dispatch marked as ended":  func(c *Coordinator, p *part) { p.dispatches[0].inFlight = false },
		"part deleted":              func(c *Coordinator, p *part) { delete(c.parts, p.id) },
		"too many dispatches":       func(c *Coordinator, p *part) { p.dispatches = slices.Repeat(p.dispatches, 5) },
		"searcher missing in group": func(c *Coordinator, p *part) { c.searchers["new"] = &Searcher{ID: "new", Service: p.service} },
		"request marked as ended":   func(c *Coordinator, p *part) { p.request.ended = true },
	} {
		sim := newSimulation(1, "")
		sim.configure()
		sim.startSearcher("s1", "a")
		sim.publishList()
		sim.coordinator.Begin(&Request{Route: sim.routes[1], Deadline: sim.now + time.Second, Done: func(Final) {}})
		must.NoError(t, sim.coordinator.Check())
		must.MapLen(t, 1, sim.coordinator.parts)
		for _, p := range sim.coordinator.parts {
			must.Len(t, 1, p.dispatches)
			corrupt(sim.coordinator, p)
		}
		must.Error(t, sim.coordinator.Check(), must.Sprint(name))
	}
}

// TestSameEventsGiveSameActions guards against actions that depend on Go's map order.
func TestSameEventsGiveSameActions(t *testing.T) {
	for seed := range uint64(3) {
		a, b := simulate(seed, "", 2*time.Second), simulate(seed, "", 2*time.Second)
		must.Eq(t, a.log.Sum64(), b.log.Sum64(), must.Sprint("seed ", seed))
		must.NotEq(t, a.log.Sum64(), simulate(seed+100, "", 2*time.Second).log.Sum64())
	}
}

// TestReleasesState checks that parts, searchers, timers and groups are released over many configuration versions.
func TestReleasesState(t *testing.T) {
	sim := newSimulation(5, "")
	sim.configure()
	for day := range 30 {
		sim.version += 30 // services not used before
		sim.every(300*ms, sim.now+time.Second, func() { sim.configure(); sim.churn() })
		sim.every(20*ms, sim.now+time.Second, sim.beginRequest)
		sim.run(sim.now + 10*time.Second)
		must.Eq(t, "", strings.Join(sim.violations, "; "), must.Sprint("day ", day))
		must.Eq(t, 0, len(sim.coordinator.parts))
		_, pending := sim.coordinator.NextTimer()
		must.False(t, pending, must.Sprint("timers without requests"))
		clear(sim.listed)
		sim.publishList()
		members := 0
		for _, g := range sim.coordinator.groups {
			members += len(g.members)
		}
		must.Eq(t, 0, members)
		must.Eq(t, 0, len(sim.coordinator.searchers))
	}
	must.LessEq(t, maxGroups, len(sim.coordinator.groups), must.Sprint("groups kept"))
}
