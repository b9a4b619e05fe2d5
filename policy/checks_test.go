package policy

import (
	"fmt"
	"slices"
	"time"
)

func (sim *simulation) Dispatch(id uint64, searcher int, until time.Duration) {
	p := sim.parts[id]
	sc := sim.scans[uint64(p.scan)]
	s := &sim.searchers[searcher]
	t := &sim.config.Types[sc.class]
	sim.log = append(sim.log, fmt.Sprint("dispatch ", id, " ", searcher))
	if p.ended || sc.ended {
		sim.violate("part %d sent after its end", id)
	}
	if len(p.attempts) >= sim.config.MaxAttempts {
		sim.violate("part %d sent too often", id)
	}
	if (s.shard-p.shard%sim.config.Shards+sim.config.Shards)%sim.config.Shards >= sim.config.ShardSpan {
		sim.violate("searcher %d does not hold shard %d", searcher, p.shard)
	}
	if s.state != Ready && sim.now > s.unlistedAt {
		sim.violate("sent to searcher %d that is draining or gone", searcher)
	}
	for _, attempt := range p.attempts {
		mayHaveRun := attempt.inFlight || attempt.outcome != Overloaded && attempt.outcome != Unreachable && attempt.outcome != Expired
		if attempt.inFlight && !sim.config.MayHedge {
			sim.violate("second copy of %d", id)
		}
		if mayHaveRun && t.Effect == NonIdempotent ||
			mayHaveRun && t.Effect == IdempotentByKey && sim.now > attempt.sentAt+t.RepeatWindow {
			sim.violate("part %d may run twice", id)
		}
	}
	sim.checkColdLoad(s, searcher)
	if len(p.attempts) > 0 {
		sim.retries = append(sim.retries, sim.now)
		if n, allowed := countWithin(sim.retries, sim.now, sim.config.BudgetSpan), sim.config.BudgetFree+sim.config.BudgetShare*
			float64(countWithin(sim.requests, sim.now, sim.config.BudgetSpan)); sim.config.Budgeted && float64(n) > allowed {
			sim.violate("%d retries, %.1f allowed", n, allowed)
		}
	}
	attemptNo := len(p.attempts)
	p.attempts = append(p.attempts, simAttempt{sentAt: sim.now, inFlight: true})
	took := time.Duration(float64(20*ms+time.Duration(sim.random.Intn(40))*ms) * s.speed)
	outcome := s.outcome
	if sim.randomOutcomes && sim.random.Intn(50) == 0 {
		outcome = Outcome(sim.random.Intn(int(Expired)))
	}
	if s.dropIdleAfter > 0 && sim.now-s.connUsedAt > s.dropIdleAfter {
		outcome = TimedOut // and the connection stays dead until it is renewed
	} else {
		s.connUsedAt = sim.now
	}
	switch outcome {
	case Failed, Overloaded, ConnectionLost:
		took = time.Duration(sim.random.Intn(10)) * ms
	case Unreachable:
		took = 250 * ms
	}
	if outcome == TimedOut || outcome == Cancelled || sim.now+took > until {
		outcome, took = TimedOut, max(0, until-sim.now)
	}
	sim.after(took, func() { sim.returnAttempt(p, attemptNo, searcher, outcome) })
}

func countWithin(ts []time.Duration, now, span time.Duration) (n int) {
	for _, t := range ts {
		if t > now-span {
			n++
		}
	}
	return n
}

// checkColdLoad limits the parts sent to a cold searcher by what a warm one was seen to carry, at the lowest utilization
// assumed, and a few more.
func (sim *simulation) checkColdLoad(s *simSearcher, searcher int) {
	s.sends = append(s.sends, sim.now)
	for i := range sim.searchers {
		if o := &sim.searchers[i]; o.started == LongAgo {
			sim.peakPasses = max(sim.peakPasses, float64(countWithin(o.passes, sim.now, sim.config.OverloadSpan)))
		}
	}
	age := sim.now - s.started
	if s.started == LongAgo || age > sim.config.WarmUp {
		return
	}
	share := sim.config.ColdShare + (1-sim.config.ColdShare)*age.Seconds()/sim.config.WarmUp.Seconds()
	most := 3 + sim.config.OverloadMultiple*share*sim.peakPasses/minUtilization
	if n := countWithin(s.sends, sim.now, sim.config.OverloadSpan); float64(n) > most {
		sim.violate("cold searcher %d was sent %d", searcher, n)
	}
}

func (sim *simulation) returnAttempt(p *simPart, attemptNo, searcher int, outcome Outcome) {
	attempt := &p.attempts[attemptNo]
	if !attempt.inFlight {
		return
	}
	attempt.inFlight, attempt.outcome = false, outcome
	if outcome == Succeeded && !p.ended {
		p.answered = true
	}
	if outcome == Succeeded {
		sim.searchers[searcher].passes = append(sim.searchers[searcher].passes, sim.now)
	}
	sim.engine.Returned(p.id, attemptNo, outcome, sim.now-attempt.sentAt)
}

func (sim *simulation) Cancel(id uint64, attemptNo int) {
	p := sim.parts[id]
	sim.log = append(sim.log, fmt.Sprint("cancel ", id, " ", attemptNo))
	if !sim.config.MayCancel {
		sim.violate("part %d cancelled where that is not allowed", id)
	}
	sim.after(sim.config.Granularity, func() { sim.returnAttempt(p, attemptNo, 0, Cancelled) })
}

func (sim *simulation) endScan(id uint64, what string) *simScan {
	sc := sim.scans[id]
	sim.log = append(sim.log, fmt.Sprint(what, " ", id))
	if sc.ended {
		sim.violate("scan %d ended twice", id)
	}
	if sim.now > sc.deadline+20*ms {
		sim.violate("scan %d ended late", id)
	}
	return sc
}

func (sim *simulation) endScanParts(sc *simScan) {
	sc.ended = true
	for _, p := range sc.parts {
		sim.parts[p].ended = true
	}
}

func (sim *simulation) Complete(id uint64, whole bool) {
	sc := sim.endScan(id, fmt.Sprint("complete ", whole))
	t := &sim.config.Types[sc.class]
	sum, all, passed, shards := 0.0, true, 0, []int{}
	for _, p := range sc.parts {
		if k := sim.parts[p]; k.step == sc.step {
			if k.answered {
				sum += k.weight
				passed++
				shards = append(shards, k.shard)
			}
			all = all && k.answered
			k.ended = true
		}
	}
	floor := t.Floor
	if sc.step == 1 && t.Floor >= t.Need {
		floor = 1
	}
	if sum < floor-1e-4 {
		sim.violate("scan %d answered from %.3f", id, sum)
	}
	if whole && (sc.step == 0 && sum < t.Need-1e-4 || sc.step == 1 && !(all && sc.whole)) {
		sim.violate("scan %d marked as whole but is not", id)
	}
	sc.answered++
	if sc.step == 0 && t.SecondStep > 0 {
		n := min(t.SecondStep, passed)
		sc.step, sc.whole = 1, whole
		sim.after(sim.config.Granularity, func() {
			if !sc.ended {
				sim.addParts(id, shards[:n], slices.Repeat([]float64{1 / float64(n)}, n))
			}
		})
		return
	}
	sim.endScanParts(sc)
}

func (sim *simulation) Throttle(id uint64, retryAfter time.Duration) {
	sc := sim.endScan(id, "throttle")
	sc.advice = retryAfter
	for _, p := range sc.parts {
		for _, attempt := range sim.parts[p].attempts {
			ran := attempt.inFlight || attempt.outcome != Overloaded && attempt.outcome != Unreachable && attempt.outcome != Expired
			if ran && sim.config.Types[sc.class].Effect == NonIdempotent {
				sim.violate("scan %d throttled though it may have run", id)
			}
		}
	}
	if retryAfter > sim.config.MaxRetryAfter || retryAfter > 0 && !sim.config.RetryAdvice {
		sim.violate("advice of %v", retryAfter)
	}
	sim.endScanParts(sc)
}

func (sim *simulation) Abandon(id uint64) { sim.endScanParts(sim.endScan(id, "abandon")) }

func (sim *simulation) Wake(at time.Duration, token uint64) {
	sim.after(max(sim.config.Granularity, at-sim.now), func() { sim.engine.Woke(token) })
}

func (sim *simulation) Renew(searcher int) { sim.searchers[searcher].connUsedAt = sim.now }

func (sim *simulation) Gossip(idleSteps []byte) {
	if !sim.config.MayGossip {
		sim.violate("reported to other mixers where that is not allowed")
	}
	sim.gossip = append(sim.gossip, idleSteps...)
}

func (sim *simulation) Subscribe() { sim.subscribed++ }
