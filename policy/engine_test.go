package policy

import (
	"math/rand"
	"slices"
	"strings"
	"testing"
	"testing/quick"
	"time"
)

// randomSettings draws combinations of settings that no single deployment has.
func randomSettings(r *rand.Rand) Settings {
	var ts []TableType
	for range 3 {
		t := wholeTable()
		t.Effect = Effect(r.Intn(3))
		t.Need = []float64{1, 1, 0.7}[r.Intn(3)]
		t.Floor = []float64{t.Need, 0.4}[r.Intn(2)]
		t.SecondStep = []int{0, 0, 4}[r.Intn(3)]
		t.LateShare = []float64{0, 0.3, 1}[r.Intn(3)]
		t.Timeout = time.Second * time.Duration(1+r.Intn(3))
		ts = append(ts, t)
	}
	s := settings(ts...)
	s.Shards = 3 + r.Intn(3)
	s.MayHedge, s.RetryAdvice, s.Subscribe = r.Intn(2) > 0, r.Intn(2) > 0, r.Intn(2) > 0
	s.PartsPerCall = 1 + 3*r.Intn(2)
	s.MaxAttempts = 1 + r.Intn(4)
	if r.Intn(2) > 0 {
		s.Budgeted, s.BudgetFree, s.BudgetShare, s.BudgetSpan = true, float64(r.Intn(3)), 0.05, time.Second
	}
	return s
}

// injectFault changes one searcher or the list.
func injectFault(sim *simulation) {
	i := sim.random.Intn(len(sim.searchers))
	s := &sim.searchers[i]
	switch sim.random.Intn(7) {
	case 0:
		s.outcome = Outcome(sim.random.Intn(int(Cancelled)))
	case 1:
		s.outcome, s.speed = Succeeded, 1
	case 2:
		s.speed = 1 + 20*sim.random.Float64()
	case 3:
		sim.listSearcher(i, Draining, s.started)
	case 4:
		sim.listSearcher(i, Ready, sim.now)
	case 5:
		sim.listSearcher(i, Gone, s.started)
	case 6:
		sim.sendList(Full)
		sim.engine.ListBegin(Unavailable)
	}
}

func TestInvariantsUnderRandomFaults(t *testing.T) {
	f := func(seed int64) bool {
		r := rand.New(rand.NewSource(seed))
		sim := newSimulation(randomSettings(r), seed, 2)
		sim.randomOutcomes = true
		for sim.now < 20*time.Second && sim.violation == "" {
			sim.run(time.Duration(5+r.Intn(60)) * ms)
			n := 1 + r.Intn(8)
			shards, weights := evenParts(n, 2*sim.config.Shards)
			if n > 1 && r.Intn(2) > 0 { // one heavy part
				weights = append([]float64{0.5}, slices.Repeat([]float64{0.5 / float64(n-1)}, n-1)...)
			}
			class := r.Intn(3)
			id := sim.scan(class, time.Duration(float64(sim.config.Types[class].Timeout)*(0.1+0.9*r.Float64())), shards, weights)
			if r.Intn(20) == 0 {
				injectFault(sim)
			}
			if sc := sim.scans[id]; r.Intn(40) == 0 && !sc.ended {
				sim.endScanParts(sc)
				sim.engine.ClientLeft(id)
			}
		}
		sim.run(4 * time.Second)
		if sim.violation == "" && (sim.engine.inFlight != 0 || len(sim.engine.byID)+len(sim.engine.byNumber) != 0) {
			sim.violate("%d parts in flight, %d records left after the end", sim.engine.inFlight,
				len(sim.engine.byID)+len(sim.engine.byNumber))
		}
		if sim.violation != "" {
			t.Logf("seed %d: %s", seed, sim.violation)
		}
		return sim.violation == ""
	}
	if err := quick.Check(f, &quick.Config{MaxCount: 60, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() string {
		sim := newSimulation(randomSettings(rand.New(rand.NewSource(5))), 5, 2)
		sim.randomOutcomes = true
		for range 200 {
			sendLoad(sim, 0, 5, 30*ms, 30*ms)
			injectFault(sim)
		}
		if sim.violation != "" {
			t.Error(sim.violation)
		}
		return strings.Join(sim.log, "\n") + sim.violation
	}
	if a, b := run(), run(); a != b || a == "" {
		t.Error("two runs of the same events differ")
	}
}

// sendLoad sends scans of n parts at a steady rate.
func sendLoad(sim *simulation, class, n int, every, during time.Duration) {
	for end := sim.now + during; sim.now < end && sim.violation == ""; sim.run(every) {
		shards, weights := evenParts(n, 2*sim.config.Shards)
		sim.scan(class, sim.config.Types[class].Timeout, shards, weights)
	}
}

// warmSimulation returns a simulation in which the policy has seen all searchers and no parts are in flight.
func warmSimulation() *simulation {
	sim := newSimulation(settings(wholeTable()), 1, 2)
	sendLoad(sim, 0, 4, 50*ms, time.Second)
	sim.run(time.Second)
	return sim
}

func partialTable() TableType {
	t := wholeTable()
	t.Floor = 0.4
	return t
}

func TestHeaviestPartsAreSentAndShareFollowsLatency(t *testing.T) {
	sim := newSimulation(settings(partialTable()), 1, 2)
	sendLoad(sim, 0, 8, 50*ms, 3*time.Second)
	if sim.engine.classes[0].share != 1 {
		t.Fatalf("share %v without load", sim.engine.classes[0].share)
	}
	sim.setSpeeds(40)
	sendLoad(sim, 0, 8, 50*ms, 3*time.Second)
	if narrow := sim.engine.classes[0].share; narrow > 0.9 || narrow < 0.4 {
		t.Fatalf("share %v under load", narrow)
	}
	sim.setSpeeds(1)
	sim.run(5 * time.Second)
	sim.engine.classes[0].share = 0.6
	id := sim.scan(0, time.Second, []int{0, 1, 2, 3}, []float64{0.1, 0.5, 0.15, 0.25})
	sent := []int{}
	for i, p := range sim.scans[id].parts {
		if len(sim.parts[p].attempts) > 0 {
			sent = append(sent, i)
		}
	}
	if !slices.Equal(sent, []int{1, 3}) {
		t.Errorf("sent %v of the parts, not the heaviest 0.6", sent)
	}
	sim.run(15 * time.Second)
	if sim.engine.classes[0].share < 0.99 {
		t.Errorf("share %v long after the load ended", sim.engine.classes[0].share)
	}
}

func TestReplicaWithLeastLatencyTimesPartsInFlight(t *testing.T) {
	sim := newSimulation(settings(wholeTable()), 1, 1)
	for i, latency := range []float64{0.1, 0.25} { // searchers of shards 0 and 1 hold shard 0
		sim.engine.searchers[i].latency = ewma{value: latency, valid: true}
	}
	sim.engine.ListEnd(Changes)
	for i, want := range []int32{0, 0, 1, 0} {
		id := sim.scan(0, 2*time.Second, []int{0}, []float64{1})
		if got := sim.engine.parts.at[sim.engine.byID[sim.scans[id].parts[0]]].attempts[0].searcher; got != want {
			t.Errorf("part %d went to %d, not %d", i, got, want)
		}
	}
	if x := sim.engine.expectedLatency(&sim.engine.searchers[2]); x != sim.engine.averageLatency {
		t.Errorf("expected latency of an untested replica is %v, not the average", x)
	}
}

// Clients that suddenly waited less were mistaken for repeats and throttled permanently (docs/incidents).
func TestShortFirstAttemptsAreServed(t *testing.T) {
	sim := newSimulation(settings(wholeTable()), 1, 2)
	sendLoad(sim, 0, 3, 50*ms, time.Second)
	sim.log, sim.config.Types[0].Timeout = nil, 400*ms // of the clients, not of the policy's settings
	sendLoad(sim, 0, 3, 50*ms, time.Second)
	if sim.logged("throttle") > 0 {
		t.Error("a short first attempt was throttled")
	}
}

// After a slow period no scan was ever admitted again, since the remembered latency was never updated (docs/incidents).
func TestServiceRecoversAfterSlowPeriod(t *testing.T) {
	sim := newSimulation(settings(wholeTable()), 1, 2)
	sendLoad(sim, 0, 4, 50*ms, time.Second)
	sim.setSpeeds(60)
	sendLoad(sim, 0, 4, 50*ms, 5*time.Second)
	sim.setSpeeds(1)
	sim.run(3 * time.Second)
	sim.log = nil
	sendLoad(sim, 0, 4, 50*ms, time.Second)
	sim.run(time.Second)
	if n := sim.logged("complete true"); n < 18 {
		t.Errorf("%d of 20 scans completed after the slow period", n)
	}
}

func TestFailingSearcherIsAvoided(t *testing.T) {
	for _, outcome := range []Outcome{Failed, TimedOut, Unreachable, ConnectionLost} {
		sim := newSimulation(settings(wholeTable()), 1, 2)
		sendLoad(sim, 0, 4, 50*ms, 2*time.Second)
		sim.searchers[0].outcome = outcome
		sendLoad(sim, 0, 4, 50*ms, time.Second)
		sim.log = nil
		sendLoad(sim, 0, 4, 50*ms, 2*time.Second)
		sim.run(2 * time.Second)
		text := strings.Join(sim.log, "\n") + "\n"
		if n := strings.Count(text, " 0\n"); n > 4 {
			t.Errorf("outcome %d: %d parts sent to the failing searcher", outcome, n)
		}
		if n := strings.Count(text, "complete true"); n < 38 {
			t.Errorf("outcome %d: %d of 40 completed", outcome, n)
		}
	}
}

func TestListIsAskedAgainAfterAnError(t *testing.T) {
	s := settings(wholeTable())
	s.Subscribe = true
	sim := newSimulation(s, 1, 1)
	sim.engine.ListBegin(Unavailable)
	sim.run(100 * ms)
	early := sim.subscribed
	if sim.run(2 * time.Second); early != 1 || sim.subscribed != 2 {
		t.Errorf("subscribed %d, then %d times", early, sim.subscribed)
	}
}

func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	s := settings(partialTable())
	actions := &countingActions{}
	e := New(s, actions, 0)
	e.ListBegin(Full)
	for i := range 8 {
		e.ListEntry(i, Ready, 1, LongAgo, i%4)
	}
	e.ListEnd(Full)
	id, now := uint64(0), time.Duration(0)
	runScan := func() {
		now += 100 * ms
		e.Advance(now)
		id += 10
		e.Scan(id, id, 0, -1, time.Second, 0, 5, false)
		for k := range uint64(5) {
			e.Part(id+1+k, id, int(k), 0.2)
		}
		e.Advance(now + 30*ms)
		for k := range uint64(5) {
			e.Returned(id+1+k, 0, Succeeded, 30*ms)
		}
		e.Woke(0)
	}
	for range 200 {
		runScan()
	}
	if n := testing.AllocsPerRun(500, runScan); n != 0 {
		t.Errorf("%v allocations per scan", n)
	}
	if actions.completed < 700 {
		t.Errorf("%d scans completed", actions.completed)
	}
}

type countingActions struct{ completed int }

func (s *countingActions) Dispatch(uint64, int, time.Duration) {}

func (s *countingActions) Cancel(uint64, int) {}

func (s *countingActions) Complete(uint64, bool) { s.completed++ }

func (s *countingActions) Throttle(uint64, time.Duration) {}

func (s *countingActions) Abandon(uint64) {}

func (s *countingActions) Renew(int) {}

func (s *countingActions) Gossip([]byte) {}

func (s *countingActions) Wake(time.Duration, uint64) {}

func (s *countingActions) Subscribe() {}

// A flood of one tenant used up the capacity of the others.
func TestFloodingTenantIsThrottledFirst(t *testing.T) {
	s := settings(wholeTable())
	s.Quotas = []float64{20, 5}
	sim := newSimulation(s, 1, 2)
	sendLoad(sim, 0, 4, 50*ms, 2*time.Second)
	sim.setSpeeds(12)
	kept := [2]int{}
	for i := range 600 {
		tenant := min(1, i%20) ^ 1 // tenant 0 sends nineteen of twenty scans
		id := sim.scanOf(0, tenant, 2*time.Second, []int{i % 8, (i + 1) % 8}, []float64{0.5, 0.5}, false)
		if !sim.scans[id].ended {
			kept[tenant]++
		}
		sim.run(10 * ms)
	}
	if many, few := float64(kept[0])/570, float64(kept[1])/30; few < many+0.1 || many > 0.9 {
		t.Errorf("admitted %.2f of the flood and %.2f of the small tenant", many, few)
	}
}

// Holders that were full or down for a moment used up a part's attempts at once, which lost the scan.
func TestLastAttemptWaits(t *testing.T) {
	for _, outcome := range []Outcome{Overloaded, Failed} {
		sim := warmSimulation()
		sim.setOutcomes(outcome)
		sim.log = nil
		sendLoad(sim, 0, 4, 20*ms, 60*ms)
		id := sim.scan(0, 2*time.Second, []int{0}, []float64{1})
		sim.run(60 * ms)
		sim.setOutcomes(Succeeded)
		sim.run(time.Second)
		if sim.scans[id].answered != 1 {
			t.Errorf("outcome %d, not completed: %v", outcome, sim.log)
		}
	}
}

// Under congestion, hedges of late parts went to holders that were just as late.
func TestHedgesGoOnlyToFasterHolders(t *testing.T) {
	for other, want := range map[float64]int{0.1: 0, 0.02: 1} {
		sim := newSimulation(settings(wholeTable()), 1, 2)
		for i := range sim.searchers {
			sim.searchers[i].speed = 100
			sim.engine.searchers[i].latency = ewma{value: 0.1, valid: true}
		}
		sim.engine.latency = ewma{value: 0.1, valid: true}
		sim.engine.ListEnd(Changes)
		id := sim.scan(0, 2*time.Second, []int{0}, []float64{1})
		used := sim.engine.parts.at[sim.engine.byID[sim.scans[id].parts[0]]].attempts[0].searcher
		for range 100 { // meanwhile every searcher answers other parts
			for i := range sim.engine.searchers {
				s := &sim.engine.searchers[i]
				s.quietSince, s.lastAnswer = sim.now, sim.now
				if int32(i) != used {
					s.latency.value = other
				}
			}
			sim.run(5 * ms)
		}
		if n := len(sim.retries); n != want {
			t.Errorf("%d hedges where others take %v", n, other)
		}
	}
}
