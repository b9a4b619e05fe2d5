package brain

import (
	"strings"
	"testing"
	"time"
)

// At its floor exactly a scan was lost with any one of its parts.
func TestNarrowScansOutliveALostPart(t *testing.T) {
	sim := newWorld(settings(partialTable()), 1, 2)
	sim.mixer.classes[0].share = 0
	sim.run(100 * ms) // a beat brings the share back to its least
	ss, ws := evenParts(8, 8)
	id := sim.scan(0, time.Second, ss, ws)
	last := sim.scans[id].parts[0]
	for _, p := range sim.scans[id].parts {
		if len(sim.parts[p].attempts) > 0 {
			last = p
		}
	}
	sim.mixer.parts.at[sim.mixer.byID[last]].lost = true
	sim.run(2 * time.Second)
	if sim.scans[id].answered != 1 {
		t.Error("not answered")
	}
}

// A scan that cannot reach its floor was held to its target; one that can was held for shards nobody holds.
func TestShardWithoutHolderIsNotWaitedFor(t *testing.T) {
	sim := newWorld(settings(wholeTable(), partialTable()), 1, 1)
	sim.listSearcher(0, Gone, LongAgo)
	sim.listSearcher(1, Gone, LongAgo) // shards 0 and 4 have no holder left
	ss, ws := evenParts(8, 8)
	whole, part := sim.scan(0, 2*time.Second, ss, ws), sim.scan(1, 2*time.Second, ss, ws)
	sim.run(200 * ms)
	if a, b := sim.scans[whole], sim.scans[part]; !a.ended || a.answered != 0 || b.answered != 1 {
		t.Error(sim.log)
	}
}

// A hot heavy shard was asked by every scan while light ones were spared.
func TestHopelessHeavyPartIsLeftOut(t *testing.T) {
	sim := newWorld(settings(partialTable()), 1, 1)
	for i := range sim.mixer.searchers {
		sim.mixer.searchers[i].latency = ewma{value: []float64{3, 3, 0.1, 0.1}[i], valid: true}
	}
	id := sim.scan(0, 2*time.Second, []int{0, 1, 2, 3}, []float64{0.4, 0.2, 0.2, 0.2})
	for i, p := range sim.scans[id].parts {
		if sent := len(sim.parts[p].attempts) > 0; sent != (i > 0) {
			t.Errorf("part %d sent: %v", i, sent)
		}
	}
}

// With resets everywhere, keeping off a searcher for each left nobody to send to. Over ten draws: one alone swings
// from 100 to 155 times with any change of an order.
func TestSingleResetsAreExcused(t *testing.T) {
	off, done := 0, 0
	for seed := range int64(10) {
		sim := newWorld(settings(wholeTable()), seed, 2)
		load(sim, 0, 4, 50*ms, time.Second)
		sim.run(time.Second)
		sim.log = nil
		for k := range 80 {
			for i := range sim.searchers {
				sim.searchers[i].outcome = []Outcome{Cut, Pass, Pass, Pass, Pass}[(k+i)%5]
			}
			load(sim, 0, 4, 50*ms, 50*ms)
			for i := range sim.mixer.searchers {
				off += boolToInt(sim.mixer.searchers[i].ejectedUntil > sim.now)
			}
		}
		sim.run(time.Second)
		done += sim.logged("complete true")
	}
	if done < 720 || off > 1500 {
		t.Errorf("%d of 800 completed, %d times kept off", done, off)
	}
}

// Without second copies a keyed part sat at a silent searcher till it was too late to send it again.
func TestKeyedPartLeavesASilentSearcher(t *testing.T) {
	for window, want := range map[time.Duration]int{time.Second: 1, 50 * ms: 0} {
		s := settings(wholeTable())
		s.SecondCopies, s.Types[0].Effect, s.Types[0].RepeatWindow = false, Keyed, window
		sim := newWorld(s, 1, 2)
		load(sim, 0, 4, 50*ms, time.Second)
		sim.setOutcomes(TooSlow)
		id := sim.scan(0, 2*time.Second, []int{0}, []float64{1})
		sim.setOutcomes(Pass)
		sim.run(time.Second)
		if sim.scans[id].answered != want || sim.violation != "" {
			t.Errorf("window %v: answered %d times %s", window, sim.scans[id].answered, sim.violation)
		}
	}
}

// Searchers back from a crash the list had not told of were met by all that waited, and fell over.
func TestUnreachableSearchersAreMetGently(t *testing.T) {
	sim := newWorld(settings(wholeTable()), 1, 2)
	load(sim, 0, 4, 20*ms, time.Second)
	sim.setOutcomes(NoRoute)
	for k := range 150 {
		load(sim, 0, 4, 20*ms, 20*ms)
		for i := range sim.mixer.searchers {
			if n := sim.mixer.searchers[i].partsInFlight; n > 1 && k > 100 {
				t.Fatalf("%d parts out at an unreachable searcher", n)
			}
		}
	}
	for i := range sim.searchers {
		sim.searchers[i].outcome, sim.searchers[i].sends = Pass, nil
	}
	load(sim, 0, 4, 20*ms, 2*time.Second)
	for i := range sim.searchers {
		if n := len(sim.searchers[i].sends); n < 2 || n > 20 {
			t.Errorf("%d parts in two seconds to a searcher just back", n)
		}
	}
}

// unreachable is a settled world whose first searcher a part has failed to reach a second ago.
func worldWithUnreachable() *simulation {
	sim := warmWorld()
	sim.searchers[0].outcome = NoRoute
	for sim.searchers[0].sends = nil; len(sim.searchers[0].sends) == 0; {
		load(sim, 0, 8, 20*ms, 20*ms) // until a part meets it
	}
	sim.run(time.Second)
	return sim
}

// A mixer of a large fleet sees a scan every second or so: a searcher it could not reach, once its short
// keeping-off was over, met nearly every scan again and cost a part the connect time, while sound holders
// stood by.
func TestAnUnreachableSearcherWaitsBehindSoundOnes(t *testing.T) {
	sim := worldWithUnreachable()
	sim.searchers[0].sends = nil
	for range 8 { // scans of all shards, one a second, short of when a list could have told of it
		load(sim, 0, 8, time.Second, time.Second)
	}
	if n := len(sim.searchers[0].sends); n > 0 || sim.violation != "" {
		t.Errorf("%d parts risked at an unreachable searcher beside sound holders %s", n, sim.violation)
	}
}

// A searcher that could not be reached and is told to have started anew is a new process: it is used again at
// once, within its cold budget, and not kept behind the others as the earlier one was.
func TestARestartedSearcherIsNoLongerUnreachable(t *testing.T) {
	sim := worldWithUnreachable()
	sim.searchers[0].outcome = Pass
	sim.listSearcher(0, Ready, sim.now)
	sim.searchers[0].sends = nil
	for range 4 {
		load(sim, 0, 8, time.Second, time.Second)
	}
	if n := len(sim.searchers[0].sends); n == 0 || sim.violation != "" {
		t.Errorf("%d parts to a searcher told to have restarted %s", n, sim.violation)
	}
}

func TestFailingSearcherIsTriedByOnePart(t *testing.T) {
	sim := newWorld(settings(wholeTable()), 1, 1)
	sim.mixer.searchers[0].latency, sim.mixer.searchers[1].latency = ewma{value: 0.01, valid: true}, ewma{value: 0.2, valid: true}
	sim.mixer.searchers[0].failures = 1
	sim.scan(0, 2*time.Second, []int{0, 0, 0}, []float64{0.4, 0.3, 0.3})
	if text := strings.Join(sim.log, "\n") + "\n"; strings.Count(text, " 0\n") != 1 {
		t.Error(text)
	}
}

// Connections dropped unseen while idle lost every part of mixers that meet each searcher seldom.
func TestIdleConnectionsThatLoseAreRenewed(t *testing.T) {
	sim := newWorld(settings(wholeTable()), 1, 2)
	load(sim, 0, 4, 50*ms, time.Second)
	for i := range sim.searchers {
		sim.searchers[i].dropIdleAfter = 900 * ms
	}
	load(sim, 0, 8, 2*time.Second, 20*time.Second)
	sim.log = nil
	load(sim, 0, 8, 2*time.Second, 20*time.Second)
	if n := sim.logged("complete true"); n < 9 {
		t.Errorf("%d of 10 scans completed", n)
	}
}

// A mixer of few scans forgot a jam in the second between two of them, and sent the next one whole into it.
func TestAJamIsRememberedBetweenScans(t *testing.T) {
	sim := newWorld(settings(partialTable()), 1, 2)
	sim.mixer.latency, sim.mixer.classes[0].threshold = ewma{value: 0.8, valid: true}, 0.3
	sim.run(2 * time.Second)
	if s := sim.mixer.classes[0].share; s > 0.6 || sim.mixer.latency.value < 0.4 {
		t.Errorf("share %v at a latency of %v", s, sim.mixer.latency.value)
	}
	sim.run(30 * time.Second)
	if s := sim.mixer.classes[0].share; s < 1 {
		t.Errorf("share %v long after", s)
	}
}

// Scans that crash every searcher which begins a part of them took three searchers a part.
func TestScanThatCutsOffItsPartsGoesNoFurther(t *testing.T) {
	sim := warmWorld()
	sim.setOutcomes(Cut)
	sim.log = nil
	ss, ws := evenParts(4, 8)
	sim.scan(0, 2*time.Second, ss, ws)
	sim.run(200 * ms)
	if n := sim.logged("dispatch"); n > 5 || len(sim.mixer.byNumber) != 0 {
		t.Errorf("%d dispatches: %v", n, sim.log)
	}
}

// Wide scans still in time themselves made narrow ones of another table type late, and went on asking everybody.
func TestWideScansGiveWayToOthersThatAreLate(t *testing.T) {
	for _, late := range []bool{false, true} {
		sim := newWorld(settings(partialTable(), wholeTable()), 1, 2)
		sim.mixer.latency, sim.mixer.bestLatency, sim.mixer.inFlight = ewma{value: 0.4, valid: true}, ewma{value: 0.05, valid: true}, 1
		if late {
			sim.mixer.classes[1].threshold = 0.3
		}
		sim.run(time.Second)
		if s := sim.mixer.classes[0].share; late != (s < 0.8) {
			t.Errorf("others late %v: share %v", late, s)
		}
		sim.mixer.inFlight = 0
	}
}

// A few hung searchers made every scan with a part there teach that all are late.
func TestPartsAtSickSearchersDoNotMakeAScanLong(t *testing.T) {
	sim := warmWorld()
	ss, ws := evenParts(4, 8)
	id := sim.scan(0, 2*time.Second, ss, ws)
	p := sim.mixer.parts.at[sim.mixer.byID[sim.scans[id].parts[3]]]
	sim.mixer.searchers[p.attempts[0].searcher].ejectedUntil = sim.now + time.Hour
	sim.parts[sim.scans[id].parts[3]].attempts[0].inFlight = false // it never comes back
	sim.run(100 * ms)
	if sc := &sim.mixer.scans.at[sim.mixer.byNumber[id]]; sc.mostPartsAt == 0 || sc.passed != 3 {
		t.Errorf("%d parts in, most at %v", sc.passed, sc.mostPartsAt)
	}
	sim.run(2 * time.Second)
}

// At full size each mixer lost parts at each hung searcher for the first time; those heard from are preferred.
func TestUnheardSearchersCountWhatTheirLikeLose(t *testing.T) {
	sim := newWorld(settings(wholeTable()), 1, 1)
	// Searchers of shards 0 and 1 hold shard 0.
	sim.mixer.searchers[0].latency, sim.mixer.searchers[0].lastAnswer = ewma{value: 0.3, valid: true}, 1
	sim.mixer.searchers[2].latency = ewma{value: 0.1, valid: true}
	sim.mixer.ListEnd(Changes)
	for lost, want := range map[float64]int32{0: 1, 0.8: 0} {
		sim.mixer.untestedLoss.value = lost
		if got := sim.mixer.pickSearcher(&part{shard: 0}, 1); got != want {
			t.Errorf("%v lost among the unheard: sent to %d", lost, got)
		}
	}
}

// Copies of lost parts ran into an allowance meant for slow ones.
func TestCopiesThatOvertakeEarnFurtherOnes(t *testing.T) {
	sim := newWorld(settings(wholeTable()), 1, 2)
	load(sim, 0, 4, 50*ms, time.Second)
	sim.mixer.hedgeBudget.level = 2
	sim.setOutcomes(TooSlow)
	ss, ws := evenParts(4, 8)
	sim.scan(0, 2*time.Second, ss, ws)
	sim.setOutcomes(Pass)
	sim.run(900 * ms)
	if n := len(sim.retries); n < 4 {
		t.Errorf("%d copies for four lost parts", n)
	}
}

// What each of many mixers held to be its least added up to more than a cold searcher can take.
func TestManyMixersShareAColdSearcher(t *testing.T) {
	s, sent := settings(wholeTable()), 0
	s.Mixers = 90
	for k := range s.Mixers {
		s.Seed = uint64(k)
		sim := newWorld(s, int64(k), 1)
		sim.mixer.latency, sim.mixer.bestLatency = ewma{value: 0.2, valid: true}, ewma{value: 0.2, valid: true}
		sim.listSearcher(0, Ready, sim.now)
		sim.run(time.Duration(sim.random.Int63n(int64(s.FallSpan))))
		sim.scan(0, 2*time.Second, []int{0}, []float64{1})
		sent += len(sim.searchers[0].sends)
	}
	// One core that takes 0.2 s a part, at the least cold share, for the span, times the multiple.
	if most := s.FallMultiple * s.ColdShare * s.FallSpan.Seconds() / 0.2 * 2; float64(sent) > most {
		t.Errorf("%d parts in one span, %.0f for two cores", sent, most)
	}
}

// One such scan of a hundred parts took down the whole fleet, and again when its client repeated it.
func TestRepeatsGoOutByOnePartWhileConnectionsBreak(t *testing.T) {
	sim := warmWorld()
	sim.mixer.cautiousUntil = sim.now + time.Second
	ss, ws := evenParts(4, 8)
	for _, mood := range []Outcome{Cut, Pass} {
		sim.setOutcomes(mood)
		sim.log = nil
		id := sim.scanOf(0, -1, 2*time.Second, ss, ws, true)
		first := len(sim.log)
		sim.run(500 * ms)
		n := sim.logged("dispatch")
		if sc := sim.scans[id]; first != 1 || !sc.ended || mood == Cut && n != 2 || mood == Pass && sc.answered != 1 {
			t.Errorf("outcome %d: %d at once, %d in all: %v", mood, first, n, sim.log)
		}
	}
}

// Two wide scans at once had narrow ones turned away from searchers that were half idle: the time in which all that
// is out would pass was taken for a part latency, and counted once for each that a scan takes.
func TestWhatIsOutDrainsOnce(t *testing.T) {
	for _, c := range []struct {
		lat  float64
		out  int
		want bool
	}{{0.01, 600, true}, {0.01, 700, false}, {0.3, 300, true}, {0.4, 300, false}} {
		sim := warmWorld()
		m := sim.mixer
		m.passedTotal, m.peakRate, m.passRate.value, m.peakSearcherRate, m.inFlight = minPassesForPeak, 1000, 100, 0.01, c.out
		m.median, sim.mixer.classes[0].latencyRatio.value = c.lat, 3
		ss, ws := evenParts(4, 8)
		id := sim.scan(0, 2*time.Second, ss, ws)
		if _, taken := sim.mixer.byNumber[id]; taken != c.want {
			t.Errorf("latency %v, %d out: taken %v", c.lat, c.out, taken)
		}
	}
}
