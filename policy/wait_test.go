package policy

import (
	"testing"
	"time"
)

// With two holders, a part was cancelled at one that would have answered late and sent to one that was congested, or that had
// failed together with its room: the work was done twice and added to the congestion.
func TestPartIsCancelledOnlyForHealthyQuickHolder(t *testing.T) {
	for name, c := range map[string]struct {
		other   float64 // latency of the other holder
		ejected bool
		want    int
	}{"healthy and quick": {0.04, false, 1}, "healthy and slow": {0.5, false, 0}, "ejected": {0.04, true, 0}} {
		s := settings(wholeTable())
		s.MayHedge = false
		sim := newSimulation(s, 1, 1)
		sim.engine.latency, sim.engine.deviation = ewma{value: 0.04, valid: true}, ewma{value: 0.01, valid: true}
		for i := range sim.engine.searchers {
			sim.engine.searchers[i].latency, sim.engine.searchers[i].lastAnswer = ewma{value: 0.04, valid: true}, sim.now
		}
		sim.engine.searchers[0].latency.value, sim.engine.searchers[1].latency.value = 0.01, c.other
		if c.ejected {
			sim.engine.searchers[1].ejectedUntil = sim.now + time.Minute
		}
		sim.searchers[0].outcome = TimedOut
		sim.scan(0, 2*time.Second, []int{0}, []float64{1})
		sim.run(700 * ms)
		if n := sim.logged("cancel"); n != c.want || sim.violation != "" {
			t.Errorf("%s: %d cancellations: %v %s", name, n, sim.log, sim.violation)
		}
	}
}

// A quarter of the searchers accepts parts and answers none. The time without an answer was taken for a part latency, and
// scans that don't need these searchers were rejected although the others were idle.
func TestUnresponsiveSearchersDoNotCauseRejections(t *testing.T) {
	config := settings(partialTable())
	config.ShardSpan = 1
	sim := newSimulation(config, 3, 2)
	sim.setSpeeds(10)
	sim.searchers[0].outcome, sim.searchers[4].outcome = TimedOut, TimedOut // both of one shard
	rejected := 0
	for range 60 {
		shards, weights := evenParts(4, 4)
		id := sim.scan(0, 2*time.Second, shards, weights)
		if _, admitted := sim.engine.byNumber[id]; !admitted {
			rejected++
		}
		sim.run(150 * ms)
	}
	if rejected > 0 || sim.violation != "" {
		t.Errorf("%d of 60 rejected %s", rejected, sim.violation)
	}
}

// Attempts in flight of parts answered elsewhere, or of scans that had ended, stayed in the searchers' queues.
func TestUnneededAttemptsAreCancelled(t *testing.T) {
	for name, c := range map[string]struct {
		copies, mayCancel bool
		want              int
	}{"copies": {true, true, 2}, "no copies": {false, true, 0}, "not allowed": {true, false, 0}} {
		config := settings(wholeTable())
		config.MayHedge, config.MayCancel = c.copies, c.mayCancel
		sim := newSimulation(config, 1, 1)
		sim.engine.latency, sim.engine.median, sim.engine.hedgeBudget.level = ewma{value: 0.2, valid: true}, 0.2, 1
		for i := range sim.engine.searchers {
			sim.engine.searchers[i].latency, sim.engine.searchers[i].lastAnswer = ewma{value: 0.04, valid: true}, sim.now
		}
		sim.engine.searchers[0].latency.value, sim.searchers[0].speed = 0.03, 12 // chosen first and late, so that a hedge answers first
		id := sim.scan(0, 2*time.Second, []int{0}, []float64{1})
		sim.run(400 * ms)
		if c.copies && !sim.scans[id].ended {
			t.Errorf("%s: no hedge answered first: %v", name, sim.log)
		}
		sim.searchers[2].outcome, sim.searchers[3].outcome = TimedOut, TimedOut
		sim.engine.ClientLeft(sim.scan(0, 2*time.Second, []int{2}, []float64{1})) // its client leaves at once
		if n := sim.logged("cancel"); n != c.want || sim.violation != "" {
			t.Errorf("%s: %d cancellations: %v %s", name, n, sim.log, sim.violation)
		}
	}
}

// A searcher that fails most parts at once ranked like its neighbours again after each ejection: a mixer that used it once in
// some seconds lost a part each time.
func TestAFailingSearcherCostsMore(t *testing.T) {
	sim := warmSimulation()
	sim.searchers[0].outcome, sim.searchers[0].sends = Failed, nil
	for range 20 {
		sendLoad(sim, 0, 8, time.Second, time.Second)
	}
	if n := len(sim.searchers[0].sends); n > 4 || sim.violation != "" {
		t.Errorf("%d parts to a failing searcher in 20 scans although there are healthy holders %s", n, sim.violation)
	}
}

// Each of eighty mixers lost a scan's parts on dropped connections before it detected them. Reports are accepted once three
// different mixers have sent them recently; repeated reports of one mixer don't count.
func TestReportedIdleLossesAreAcceptedFromThreeMixers(t *testing.T) {
	for name, c := range map[string]struct {
		from  []int
		every time.Duration
		want  bool
	}{"three": {[]int{1, 2, 3}, time.Second, true}, "one often": {[]int{1, 1, 1, 1}, time.Second, false},
		"two": {[]int{1, 2}, time.Second, false}, "long ago": {[]int{1, 2, 3, 4}, 2 * reportLifetime, false}} {
		sim := newSimulation(settings(wholeTable()), 1, 1)
		for _, from := range c.from {
			sim.run(c.every)
			sim.engine.ReceiveGossip(from, []byte{4, 0, 200}) // 0 and 200 are not valid steps
		}
		if got := sim.engine.losesIdle(5); got != c.want || sim.engine.losesIdle(3) {
			t.Errorf("%s: accepted %v", name, got)
		}
	}
}

func TestIdleLossesAreReported(t *testing.T) {
	for _, mayTell := range []bool{true, false} {
		config := settings(wholeTable())
		config.MayGossip = mayTell
		sim := newSimulation(config, 1, 2)
		sendLoad(sim, 0, 8, 50*ms, time.Second)
		for i := range sim.searchers {
			sim.searchers[i].dropIdleAfter = time.Second
		}
		for range 4 {
			sendLoad(sim, 0, 8, 3*time.Second, 3*time.Second)
		}
		if reported := len(sim.gossip) > 0; reported != mayTell || sim.violation != "" {
			t.Errorf("allowed %v: reported %v %s", mayTell, sim.gossip, sim.violation)
		}
	}
}

// Clients left before the target and repeated their scans at once, although a sufficient partial answer was available.
func TestPartialAnswersAreSentBeforeClientsLeave(t *testing.T) {
	config := settings(partialTable())
	config.ShardSpan, config.MayHedge = 1, false
	sim := newSimulation(config, 2, 1)
	sim.searchers[0].outcome = TimedOut // a quarter of each scan is never answered
	late := 0
	for k := range 60 {
		shards, weights := evenParts(4, 4)
		id := sim.scan(0, 2*time.Second, shards, weights)
		sim.run(400 * ms)
		if !sim.scans[id].ended {
			sim.engine.ClientLeft(id) // its client stops waiting
			sim.endScanParts(sim.scans[id])
			late += boolToInt(k >= 30)
		}
		sim.run(100 * ms)
	}
	if late > 3 || sim.violation != "" {
		t.Errorf("%d of the last 30 clients left without the available answer %s", late, sim.violation)
	}
}

// Three hundred mixers told clients of scans that met full searchers to retry after a tenth of a second: they came back four
// times each, and the searchers stayed full. Parts whose holders are all full were retried for as long.
func TestFullSearchersDelayClientRetries(t *testing.T) {
	sim := newSimulation(settings(wholeTable()), 1, 1)
	sendLoad(sim, 0, 4, 50*ms, time.Second)
	sim.run(time.Second)
	sim.setOutcomes(Overloaded)
	for k := range 4 {
		id := sim.scan(0, 2*time.Second, []int{0}, []float64{1})
		sim.run(100 * ms)
		soon := sim.scans[id].ended
		sim.run(600 * ms)
		if sc := sim.scans[id]; k > 0 && !soon || sc.advice < sim.config.MaxRetryAfter/2 {
			t.Errorf("scan %d ended soon: %v, retry after %v", k, soon, sc.advice)
		}
	}
}

// One client that left, or two in a row, caused every scan of its table type to be answered early and in part.
func TestTwoLeavingClientsDoNotShortenScans(t *testing.T) {
	sim := newSimulation(settings(partialTable()), 2, 1)
	sim.setSpeeds(4)
	shards, weights := evenParts(4, 4)
	for range 2 {
		id := sim.scan(0, 2*time.Second, shards, weights)
		sim.run(40 * ms)
		sim.engine.ClientLeft(id)
		sim.endScanParts(sim.scans[id])
	}
	id := sim.scan(0, 2*time.Second, shards, weights)
	if sc := &sim.engine.scans.at[sim.engine.byNumber[id]]; sim.engine.partialDeadline(sc) != sc.target {
		t.Errorf("shortened by %v before its target", sc.target-sim.engine.partialDeadline(sc))
	}
}

// Scans are rejected by the fleet's share for their table type and tenant alone. Where no share is set, and for unknown
// tenants, nothing changes and no random number is drawn, so that other decisions stay the same.
func TestFleetAdmission(t *testing.T) {
	countAdmitted := func(shares []float64, tenant int) (n int) {
		config := settings(wholeTable(), wholeTable())
		config.Quotas = []float64{1000, 1000}
		sim := newSimulation(config, 1, 2)
		sim.engine.SetAdmission(shares)
		for range 200 {
			if id := sim.scanOf(1, tenant, time.Second, []int{0}, []float64{1}, false); !sim.scans[id].ended {
				n++
				sim.engine.ClientLeft(id)
			}
		}
		return n
	}
	all := countAdmitted(nil, 0)
	if all == 0 {
		t.Fatal("no scan is admitted at all")
	}
	if n := countAdmitted([]float64{0, 0, 0, 1, 1, 1}, 0); n != all {
		t.Errorf("%d admitted where another class is shed, %d otherwise", n, all)
	}
	if n := countAdmitted([]float64{1, 1, 1, 1, 0, 1}, 0); n != 0 {
		t.Errorf("%d admitted of a kind without capacity", n)
	}
	if n := countAdmitted([]float64{1, 1, 1, 1, 0.5, 1}, 0); n < all/3 || n > all*2/3 {
		t.Errorf("%d of %d admitted at a share of one half", n, all)
	}
	if n := countAdmitted([]float64{1, 1, 1, 0, 1, 1}, -1); n != 0 {
		t.Errorf("%d admitted without a tenant", n)
	}
	if n := countAdmitted([]float64{0, 0, 0, 0, 0, 0}, 7); n != all {
		t.Errorf("%d of %d admitted of an unknown tenant", n, all)
	}
}
