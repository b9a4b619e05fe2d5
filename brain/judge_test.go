package brain

import (
	"fmt"
	"slices"
	"time"
)

func (sim *simulation) Dispatch(id uint64, srv int, until time.Duration) {
	p := sim.parts[id]
	sc := sim.scans[uint64(p.scan)]
	s := &sim.searchers[srv]
	t := &sim.config.Types[sc.class]
	sim.log = append(sim.log, fmt.Sprint("dispatch ", id, " ", srv))
	if p.ended || sc.ended {
		sim.fail("part %d sent after its end", id)
	}
	if len(p.attempts) >= sim.config.MaxTries {
		sim.fail("part %d sent too often", id)
	}
	if (s.shard-p.shard%sim.config.Cells+sim.config.Cells)%sim.config.Cells >= sim.config.Reach {
		sim.fail("searcher %d does not hold shard %d", srv, p.shard)
	}
	if s.state != Ready && sim.now > s.unlistedAt {
		sim.fail("sent to searcher %d that drains or is gone", srv)
	}
	for _, k := range p.attempts {
		may := k.inFlight || k.outcome != NoRoom && k.outcome != NoRoute && k.outcome != Stale
		if k.inFlight && !sim.config.SecondCopies {
			sim.fail("second copy of %d", id)
		}
		if may && t.Effect == NonReplayable || may && t.Effect == Keyed && sim.now > k.sentAt+t.RepeatWindow {
			sim.fail("part %d may run twice", id)
		}
	}
	sim.checkColdLoad(s, srv)
	if len(p.attempts) > 0 {
		sim.retries = append(sim.retries, sim.now)
		if n, room := within(sim.retries, sim.now, sim.config.BudgetSpan), sim.config.BudgetFree+sim.config.BudgetShare*
			float64(within(sim.requests, sim.now, sim.config.BudgetSpan)); sim.config.Budgeted && float64(n) > room {
			sim.fail("%d further dispatches, %.1f allowed", n, room)
		}
	}
	attemptNo := len(p.attempts)
	p.attempts = append(p.attempts, simAttempt{sentAt: sim.now, inFlight: true})
	took := time.Duration(float64(20*ms+time.Duration(sim.random.Intn(40))*ms) * s.speed)
	outcome := s.outcome
	if sim.randomOutcomes && sim.random.Intn(50) == 0 {
		outcome = Outcome(sim.random.Intn(int(Stale)))
	}
	if s.dropIdleAfter > 0 && sim.now-s.connUsedAt > s.dropIdleAfter {
		outcome = TooSlow // and the connection stays dead until it is renewed
	} else {
		s.connUsedAt = sim.now
	}
	switch outcome {
	case Fault, NoRoom, Cut:
		took = time.Duration(sim.random.Intn(10)) * ms
	case NoRoute:
		took = 250 * ms
	}
	if outcome == TooSlow || outcome == Undone || sim.now+took > until {
		outcome, took = TooSlow, max(0, until-sim.now)
	}
	sim.after(took, func() { sim.returnAttempt(p, attemptNo, srv, outcome) })
}

func within(ts []time.Duration, now, span time.Duration) (n int) {
	for _, t := range ts {
		if t > now-span {
			n++
		}
	}
	return n
}

// cold judges by what a warm searcher was seen to carry, as idle as one may be held to be, and a few more.
func (sim *simulation) checkColdLoad(s *simSearcher, srv int) {
	s.sends = append(s.sends, sim.now)
	for i := range sim.searchers {
		if o := &sim.searchers[i]; o.started == LongAgo {
			sim.peakPasses = max(sim.peakPasses, float64(within(o.passes, sim.now, sim.config.FallSpan)))
		}
	}
	age := sim.now - s.started
	if s.started == LongAgo || age > sim.config.ColdFor {
		return
	}
	share := sim.config.ColdShare + (1-sim.config.ColdShare)*age.Seconds()/sim.config.ColdFor.Seconds()
	most := 3 + sim.config.FallMultiple*share*sim.peakPasses/minUtilization
	if n := within(s.sends, sim.now, sim.config.FallSpan); float64(n) > most {
		sim.fail("cold searcher %d was sent %d", srv, n)
	}
}

func (sim *simulation) returnAttempt(p *simPart, attemptNo, srv int, outcome Outcome) {
	k := &p.attempts[attemptNo]
	if !k.inFlight {
		return
	}
	k.inFlight, k.outcome = false, outcome
	if outcome == Pass && !p.ended {
		p.answered = true
	}
	if outcome == Pass {
		sim.searchers[srv].passes = append(sim.searchers[srv].passes, sim.now)
	}
	sim.mixer.Returned(p.id, attemptNo, outcome, sim.now-k.sentAt)
}

func (sim *simulation) Cancel(id uint64, try int) {
	p := sim.parts[id]
	sim.log = append(sim.log, fmt.Sprint("cancel ", id, " ", try))
	if !sim.config.MayCancel {
		sim.fail("part %d called off where that is barred", id)
	}
	sim.after(sim.config.Round, func() { sim.returnAttempt(p, try, 0, Undone) })
}

func (sim *simulation) end(id uint64, what string) *simScan {
	sc := sim.scans[id]
	sim.log = append(sim.log, fmt.Sprint(what, " ", id))
	if sc.ended {
		sim.fail("scan %d ended twice", id)
	}
	if sim.now > sc.deadline+20*ms {
		sim.fail("scan %d ended late", id)
	}
	return sc
}

func (sim *simulation) endParts(sc *simScan) {
	sc.ended = true
	for _, p := range sc.parts {
		sim.parts[p].ended = true
	}
}

func (sim *simulation) Complete(id uint64, whole bool) {
	sc := sim.end(id, fmt.Sprint("complete ", whole))
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
		sim.fail("scan %d answered from %.3f", id, sum)
	}
	if whole && (sc.step == 0 && sum < t.Need-1e-4 || sc.step == 1 && !(all && sc.whole)) {
		sim.fail("scan %d marked whole and is not", id)
	}
	sc.answered++
	if sc.step == 0 && t.SecondStep > 0 {
		n := min(t.SecondStep, passed)
		sc.step, sc.whole = 1, whole
		sim.after(sim.config.Round, func() {
			if !sc.ended {
				sim.addParts(id, shards[:n], slices.Repeat([]float64{1 / float64(n)}, n))
			}
		})
		return
	}
	sim.endParts(sc)
}

func (sim *simulation) Throttle(id uint64, in time.Duration) {
	sc := sim.end(id, "throttle")
	sc.advice = in
	for _, p := range sc.parts {
		for _, k := range sim.parts[p].attempts {
			ran := k.inFlight || k.outcome != NoRoom && k.outcome != NoRoute && k.outcome != Stale
			if ran && sim.config.Types[sc.class].Effect == NonReplayable {
				sim.fail("scan %d throttled though it may have run", id)
			}
		}
	}
	if in > sim.config.MaxRetryIn || in > 0 && !sim.config.RetryAdvice {
		sim.fail("advice of %v", in)
	}
	sim.endParts(sc)
}

func (sim *simulation) Abandon(id uint64) { sim.endParts(sim.end(id, "abandon")) }

func (sim *simulation) Wake(at time.Duration, token uint64) {
	sim.after(max(sim.config.Round, at-sim.now), func() { sim.mixer.Woke(token) })
}

func (sim *simulation) Renew(srv int) { sim.searchers[srv].connUsedAt = sim.now }

func (sim *simulation) Tell(news []byte) {
	if !sim.config.MayTell {
		sim.fail("told where that is barred")
	}
	sim.gossip = append(sim.gossip, news...)
}

func (sim *simulation) Subscribe() { sim.subscribed++ }
