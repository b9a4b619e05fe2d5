package policy

import (
	"strings"
	"testing"
	"time"
)

// A scan sent with exactly its floor was lost with any one of its parts.
func TestNarrowScanSurvivesLostPart(t *testing.T) {
	sim := newSimulation(settings(partialTable()), 1, 2)
	sim.engine.classes[0].share = 0
	sim.run(100 * ms) // a tick raises the share to its minimum
	shards, weights := evenParts(8, 8)
	id := sim.scan(0, time.Second, shards, weights)
	last := sim.scans[id].parts[0]
	for _, p := range sim.scans[id].parts {
		if len(sim.parts[p].attempts) > 0 {
			last = p
		}
	}
	sim.engine.parts.at[sim.engine.byID[last]].lost = true
	sim.run(2 * time.Second)
	if sim.scans[id].answered != 1 {
		t.Error("not answered")
	}
}

// A scan that cannot reach its floor was held until its target, and one that can was held for shards without a holder.
func TestShardWithoutHolderIsNotWaitedFor(t *testing.T) {
	sim := newSimulation(settings(wholeTable(), partialTable()), 1, 1)
	sim.listSearcher(0, Gone, LongAgo)
	sim.listSearcher(1, Gone, LongAgo) // shards 0 and 4 have no holder left
	shards, weights := evenParts(8, 8)
	wholeScan, partialScan := sim.scan(0, 2*time.Second, shards, weights), sim.scan(1, 2*time.Second, shards, weights)
	sim.run(200 * ms)
	if a, b := sim.scans[wholeScan], sim.scans[partialScan]; !a.ended || a.answered != 0 || b.answered != 1 {
		t.Error(sim.log)
	}
}

// Every scan used a hot, heavy shard while light ones were omitted.
func TestUnlikelyHeavyPartIsOmitted(t *testing.T) {
	sim := newSimulation(settings(partialTable()), 1, 1)
	for i := range sim.engine.searchers {
		sim.engine.searchers[i].latency = ewma{value: []float64{3, 3, 0.1, 0.1}[i], valid: true}
	}
	id := sim.scan(0, 2*time.Second, []int{0, 1, 2, 3}, []float64{0.4, 0.2, 0.2, 0.2})
	for i, p := range sim.scans[id].parts {
		if sent := len(sim.parts[p].attempts) > 0; sent != (i > 0) {
			t.Errorf("part %d sent: %v", i, sent)
		}
	}
}

// With resets at all searchers, ejecting one for each reset left no searcher to send to. The test sums ten seeds: a single one
// varies from 100 to 155 ejections with any change of an order.
func TestSingleResetsAreExcused(t *testing.T) {
	ejections, completed := 0, 0
	for seed := range int64(10) {
		sim := newSimulation(settings(wholeTable()), seed, 2)
		sendLoad(sim, 0, 4, 50*ms, time.Second)
		sim.run(time.Second)
		sim.log = nil
		for k := range 80 {
			for i := range sim.searchers {
				sim.searchers[i].outcome = []Outcome{ConnectionLost, Succeeded, Succeeded, Succeeded, Succeeded}[(k+i)%5]
			}
			sendLoad(sim, 0, 4, 50*ms, 50*ms)
			for i := range sim.engine.searchers {
				ejections += boolToInt(sim.engine.searchers[i].ejectedUntil > sim.now)
			}
		}
		sim.run(time.Second)
		completed += sim.logged("complete true")
	}
	if completed < 720 || ejections > 1500 {
		t.Errorf("%d of 800 completed, %d ejections", completed, ejections)
	}
}

// Without second copies a keyed part stayed at an unresponsive searcher until it was too late to send it again.
func TestKeyedPartLeavesUnresponsiveSearcher(t *testing.T) {
	for window, want := range map[time.Duration]int{time.Second: 1, 50 * ms: 0} {
		s := settings(wholeTable())
		s.MayHedge, s.Types[0].Effect, s.Types[0].RepeatWindow = false, IdempotentByKey, window
		sim := newSimulation(s, 1, 2)
		sendLoad(sim, 0, 4, 50*ms, time.Second)
		sim.setOutcomes(TimedOut)
		id := sim.scan(0, 2*time.Second, []int{0}, []float64{1})
		sim.setOutcomes(Succeeded)
		sim.run(time.Second)
		if sim.scans[id].answered != want || sim.violation != "" {
			t.Errorf("window %v: answered %d times %s", window, sim.scans[id].answered, sim.violation)
		}
	}
}

// Searchers that had recovered from a crash not yet in the list got all waiting parts at once and were overloaded.
func TestRecoveredSearchersAreNotOverloaded(t *testing.T) {
	sim := newSimulation(settings(wholeTable()), 1, 2)
	sendLoad(sim, 0, 4, 20*ms, time.Second)
	sim.setOutcomes(Unreachable)
	for k := range 150 {
		sendLoad(sim, 0, 4, 20*ms, 20*ms)
		for i := range sim.engine.searchers {
			if n := sim.engine.searchers[i].partsInFlight; n > 1 && k > 100 {
				t.Fatalf("%d parts in flight at an unreachable searcher", n)
			}
		}
	}
	for i := range sim.searchers {
		sim.searchers[i].outcome, sim.searchers[i].sends = Succeeded, nil
	}
	sendLoad(sim, 0, 4, 20*ms, 2*time.Second)
	for i := range sim.searchers {
		if n := len(sim.searchers[i].sends); n < 2 || n > 20 {
			t.Errorf("%d parts in two seconds to a recovered searcher", n)
		}
	}
}

// simulationWithUnreachable returns a warm simulation in which a part failed to reach searcher 0 one second ago.
func simulationWithUnreachable() *simulation {
	sim := warmSimulation()
	sim.searchers[0].outcome = Unreachable
	for sim.searchers[0].sends = nil; len(sim.searchers[0].sends) == 0; {
		sendLoad(sim, 0, 8, 20*ms, 20*ms) // until a part is sent to it
	}
	sim.run(time.Second)
	return sim
}

// A mixer of a large fleet gets a scan every second or so. After the short ejection nearly every scan met the unreachable
// searcher again, which cost a part the connect timeout although healthy holders were available.
func TestUnreachableSearcherRanksBehindHealthyOnes(t *testing.T) {
	sim := simulationWithUnreachable()
	sim.searchers[0].sends = nil
	for range 8 { // scans of all shards, one per second, for less time than the list needs to report it
		sendLoad(sim, 0, 8, time.Second, time.Second)
	}
	if n := len(sim.searchers[0].sends); n > 0 || sim.violation != "" {
		t.Errorf("%d parts sent to an unreachable searcher although there are healthy holders %s", n, sim.violation)
	}
}

// An unreachable searcher that the list reports as restarted is a new process: it is used again at once, within its cold
// budget, instead of ranking behind the others.
func TestARestartedSearcherIsNoLongerUnreachable(t *testing.T) {
	sim := simulationWithUnreachable()
	sim.searchers[0].outcome = Succeeded
	sim.listSearcher(0, Ready, sim.now)
	sim.searchers[0].sends = nil
	for range 4 {
		sendLoad(sim, 0, 8, time.Second, time.Second)
	}
	if n := len(sim.searchers[0].sends); n == 0 || sim.violation != "" {
		t.Errorf("%d parts to a restarted searcher %s", n, sim.violation)
	}
}

func TestFailingSearcherIsProbedByOnePart(t *testing.T) {
	sim := newSimulation(settings(wholeTable()), 1, 1)
	sim.engine.searchers[0].latency, sim.engine.searchers[1].latency = ewma{value: 0.01, valid: true}, ewma{value: 0.2, valid: true}
	sim.engine.searchers[0].failures = 1
	sim.scan(0, 2*time.Second, []int{0, 0, 0}, []float64{0.4, 0.3, 0.3})
	if text := strings.Join(sim.log, "\n") + "\n"; strings.Count(text, " 0\n") != 1 {
		t.Error(text)
	}
}

// Connections silently dropped while idle lost every part of mixers that use each searcher seldom.
func TestIdleConnectionsThatLosePartsAreRenewed(t *testing.T) {
	sim := newSimulation(settings(wholeTable()), 1, 2)
	sendLoad(sim, 0, 4, 50*ms, time.Second)
	for i := range sim.searchers {
		sim.searchers[i].dropIdleAfter = 900 * ms
	}
	sendLoad(sim, 0, 8, 2*time.Second, 20*time.Second)
	sim.log = nil
	sendLoad(sim, 0, 8, 2*time.Second, 20*time.Second)
	if n := sim.logged("complete true"); n < 9 {
		t.Errorf("%d of 10 scans completed", n)
	}
}

// A mixer with few scans forgot congestion in the second between two scans and sent the next one in full.
func TestCongestionIsRememberedBetweenScans(t *testing.T) {
	sim := newSimulation(settings(partialTable()), 1, 2)
	sim.engine.latency, sim.engine.classes[0].threshold = ewma{value: 0.8, valid: true}, 0.3
	sim.run(2 * time.Second)
	if s := sim.engine.classes[0].share; s > 0.6 || sim.engine.latency.value < 0.4 {
		t.Errorf("share %v at a latency of %v", s, sim.engine.latency.value)
	}
	sim.run(30 * time.Second)
	if s := sim.engine.classes[0].share; s < 1 {
		t.Errorf("share %v long after", s)
	}
}

// Scans that crash every searcher that starts one of their parts took down three searchers per part.
func TestScanThatCrashesSearchersEnds(t *testing.T) {
	sim := warmSimulation()
	sim.setOutcomes(ConnectionLost)
	sim.log = nil
	shards, weights := evenParts(4, 8)
	sim.scan(0, 2*time.Second, shards, weights)
	sim.run(200 * ms)
	if n := sim.logged("dispatch"); n > 5 || len(sim.engine.byNumber) != 0 {
		t.Errorf("%d dispatches: %v", n, sim.log)
	}
}

// Wide scans that were in time themselves delayed narrow ones of another table type and weren't narrowed.
func TestWideScansAreNarrowedWhenOthersAreLate(t *testing.T) {
	for _, late := range []bool{false, true} {
		sim := newSimulation(settings(partialTable(), wholeTable()), 1, 2)
		sim.engine.latency, sim.engine.bestLatency, sim.engine.inFlight =
			ewma{value: 0.4, valid: true}, ewma{value: 0.05, valid: true}, 1
		if late {
			sim.engine.classes[1].threshold = 0.3
		}
		sim.run(time.Second)
		if s := sim.engine.classes[0].share; late != (s < 0.8) {
			t.Errorf("others late: %v, share %v", late, s)
		}
		sim.engine.inFlight = 0
	}
}

// A few hung searchers made every scan with a part at one of them count as late.
func TestPartsAtFailingSearchersDoNotMakeAScanLong(t *testing.T) {
	sim := warmSimulation()
	shards, weights := evenParts(4, 8)
	id := sim.scan(0, 2*time.Second, shards, weights)
	p := sim.engine.parts.at[sim.engine.byID[sim.scans[id].parts[3]]]
	sim.engine.searchers[p.attempts[0].searcher].ejectedUntil = sim.now + time.Hour
	sim.parts[sim.scans[id].parts[3]].attempts[0].inFlight = false // it never returns
	sim.run(100 * ms)
	if sc := &sim.engine.scans.at[sim.engine.byNumber[id]]; sc.mostPartsAt == 0 || sc.passed != 3 {
		t.Errorf("%d parts answered, most of them at %v", sc.passed, sc.mostPartsAt)
	}
	sim.run(2 * time.Second)
}

// In a large fleet each mixer lost a first part at each hung searcher. Searchers that have answered are preferred.
func TestUntestedSearchersCarryTheirLossRate(t *testing.T) {
	sim := newSimulation(settings(wholeTable()), 1, 1)
	// Searchers of shards 0 and 1 hold shard 0.
	sim.engine.searchers[0].latency, sim.engine.searchers[0].lastAnswer = ewma{value: 0.3, valid: true}, 1
	sim.engine.searchers[2].latency = ewma{value: 0.1, valid: true}
	sim.engine.ListEnd(Changes)
	for lost, want := range map[float64]int32{0: 1, 0.8: 0} {
		sim.engine.untestedLoss.value = lost
		if got := sim.engine.pickSearcher(&part{shard: 0}, 1); got != want {
			t.Errorf("loss %v at untested searchers: sent to %d", lost, got)
		}
	}
}

// Hedges of lost parts exhausted an allowance intended for slow parts.
func TestHedgesThatAnswerFirstEarnFurtherOnes(t *testing.T) {
	sim := newSimulation(settings(wholeTable()), 1, 2)
	sendLoad(sim, 0, 4, 50*ms, time.Second)
	sim.engine.hedgeBudget.level = 2
	sim.setOutcomes(TimedOut)
	shards, weights := evenParts(4, 8)
	sim.scan(0, 2*time.Second, shards, weights)
	sim.setOutcomes(Succeeded)
	sim.run(900 * ms)
	if n := len(sim.retries); n < 4 {
		t.Errorf("%d hedges for four lost parts", n)
	}
}

// The minimum that each of many mixers sent added up to more than a cold searcher can take.
func TestManyMixersShareAColdSearcher(t *testing.T) {
	s, sent := settings(wholeTable()), 0
	s.Mixers = 90
	for k := range s.Mixers {
		s.Seed = uint64(k)
		sim := newSimulation(s, int64(k), 1)
		sim.engine.latency, sim.engine.bestLatency = ewma{value: 0.2, valid: true}, ewma{value: 0.2, valid: true}
		sim.listSearcher(0, Ready, sim.now)
		sim.run(time.Duration(sim.random.Int63n(int64(s.OverloadSpan))))
		sim.scan(0, 2*time.Second, []int{0}, []float64{1})
		sent += len(sim.searchers[0].sends)
	}
	// The capacity of one core at 0.2 s per part and the initial cold share, in one span, times the overload multiple.
	if most := s.OverloadMultiple * s.ColdShare * s.OverloadSpan.Seconds() / 0.2 * 2; float64(sent) > most {
		t.Errorf("%d parts in one span, %.0f for two cores", sent, most)
	}
}

// A scan of a hundred parts that crashes searchers took down the whole fleet, and again when its client repeated it.
func TestRepeatsStartWithOnePartWhileConnectionsBreak(t *testing.T) {
	sim := warmSimulation()
	sim.engine.cautiousUntil = sim.now + time.Second
	shards, weights := evenParts(4, 8)
	for _, outcome := range []Outcome{ConnectionLost, Succeeded} {
		sim.setOutcomes(outcome)
		sim.log = nil
		id := sim.scanOf(0, -1, 2*time.Second, shards, weights, true)
		first := len(sim.log)
		sim.run(500 * ms)
		n := sim.logged("dispatch")
		if sc := sim.scans[id]; first != 1 || !sc.ended ||
			outcome == ConnectionLost && n != 2 || outcome == Succeeded && sc.answered != 1 {
			t.Errorf("outcome %d: %d at once, %d in all: %v", outcome, first, n, sim.log)
		}
	}
}

// Two simultaneous wide scans made mixers reject narrow ones although the searchers were half idle: the time to drain all
// parts in flight was taken for a part latency and counted once per part latency of the scan.
func TestPartsInFlightDrainOnce(t *testing.T) {
	for _, c := range []struct {
		latency  float64
		inFlight int
		want     bool
	}{{0.01, 600, true}, {0.01, 700, false}, {0.3, 300, true}, {0.4, 300, false}} {
		sim := warmSimulation()
		e := sim.engine
		e.passedTotal, e.peakRate, e.passRate.value, e.peakSearcherRate, e.inFlight = minPassesForPeak, 1000, 100, 0.01, c.inFlight
		e.median, e.classes[0].latencyRatio.value = c.latency, 3
		shards, weights := evenParts(4, 8)
		id := sim.scan(0, 2*time.Second, shards, weights)
		if _, admitted := sim.engine.byNumber[id]; admitted != c.want {
			t.Errorf("latency %v, %d in flight: admitted %v", c.latency, c.inFlight, admitted)
		}
	}
}
