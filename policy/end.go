package policy

// When a scan ends and with which answer, and how its duration adjusts the threshold.

import (
	"cmp"
	"slices"
	"time"
)

// collectResults handles each outcome of a step, and the passing of time.
func collectResults(e *Engine, si int32, r result) {
	sc := &e.scans.at[si]
	if r.part >= 0 {
		p := &e.parts.at[r.part]
		switch {
		case r.passed:
			p.answered = true
			e.cancelAttempts(p)
			sc.answeredWeight += p.weight
			sc.passed++
			sc.probing = false // the parts held back are sent with the next tick
			e.noteMostParts(sc)
		case p.inFlight > 0:
			return
		default:
			if r.connectionLost {
				sc.connectionsLost++
				e.cautiousUntil = e.now + cautiousPeriod
			}
			e.retry(r.part, sc)
		}
	}
	e.settle(si)
}

// timeLeft returns for how many seconds an answer to the scan's parts is still useful.
func (e *Engine) timeLeft(sc *scan) float64 {
	until := sc.target
	if e.now >= until || e.classes[sc.class].lateCounts && sc.answeredWeight < e.floor(sc)-epsilon {
		until = sc.deadline
	}
	return (until - e.now).Seconds()
}

func (e *Engine) floor(sc *scan) float64 {
	c := &e.classes[sc.class]
	if sc.step > 0 && c.floor >= c.need {
		return 1
	}
	return c.floor
}

// settle ends a step when it is complete, cannot succeed any more, or is out of time.
func (e *Engine) settle(si int32) {
	sc := &e.scans.at[si]
	c := &e.classes[sc.class]
	need, floor := max(c.need, float64(sc.step)), e.floor(sc) // a second step needs all its parts
	pending := slices.ContainsFunc(sc.parts[sc.firstPart:], func(pi int32) bool {
		return !e.parts.at[pi].answered && !e.parts.at[pi].lost
	})
	enough := sc.answeredWeight >= floor-epsilon
	switch {
	case sc.answeredWeight >= need-epsilon && (sc.step == 0 || !pending):
		e.completeStep(si, sc.step == 0 || sc.firstStepWhole && sc.passed == sc.expected)
	case enough && (!pending || e.now >= e.partialDeadline(sc)):
		e.completeStep(si, false)
	case !pending, sc.harmful, 1-sc.lostWeight < floor-epsilon, e.now >= sc.deadline,
		!enough && !c.lateCounts && e.now >= sc.target:
		e.giveUp(si)
	}
}

// partialDeadline returns when a scan stops waiting for more than its floor.
func (e *Engine) partialDeadline(sc *scan) time.Duration {
	c, at := &e.classes[sc.class], sc.target
	if c.leaving > minLeavingShare {
		at = min(at, sc.arrivedAt+c.patience)
	}
	if sc.step == 0 && c.secondStep > 0 {
		at -= time.Duration(2 * e.latency.value * float64(time.Second))
	}
	return at
}

// noteMostParts records when most parts of a step are answered, or are at failing searchers as long as these are few. Without
// the latter a few hung searchers would make every scan look late. It can miss the first moments of congestion.
func (e *Engine) noteMostParts(sc *scan) {
	total := float64(len(sc.parts) - sc.firstPart)
	if sc.mostPartsAt > 0 || sc.step > 0 || float64(sc.passed) < min(minPassedShare*total, max(1, total-1)) {
		return
	}
	answered := sc.passed
	for _, pi := range sc.parts[sc.firstPart:] {
		if p := &e.parts.at[pi]; !p.answered && len(p.attempts) > 0 {
			answered += boolToInt(e.failing(&e.searchers[p.attempts[len(p.attempts)-1].searcher]))
		}
	}
	if float64(answered) >= min(mostPartsShare*total, max(1, total-1)) {
		sc.mostPartsAt = e.now
	}
}

// timeToMost returns how long most parts of the first step took, or the time so far if they aren't answered yet.
func (e *Engine) timeToMost(sc *scan) time.Duration {
	return cmp.Or(sc.mostPartsAt, e.now) - sc.arrivedAt
}

// adjustThreshold moves the threshold. A scan that took much of its target shows at which part latency its class comes near
// the target; other scans move the threshold back towards the target. Quick scans don't lower it: at low latency a wide scan
// takes many part latencies from variance alone. The time at which most parts were answered is used because narrowing all
// scans doesn't help the few that wait for stuck searchers, during a pause or for shards without holders.
func (e *Engine) adjustThreshold(sc *scan) {
	c := &e.classes[sc.class]
	target := c.target.Seconds()
	if spent := e.timeToMost(sc).Seconds() / target; spent > nearTargetShare {
		c.threshold -= thresholdGain * max(0, c.threshold-max(minThresholdRatio*e.bestLatency.value,
			e.latency.value*nearTargetShare/spent))
	} else {
		c.threshold += thresholdRecovery * (target - c.threshold)
	}
}

func (e *Engine) completeStep(si int32, whole bool) {
	sc := &e.scans.at[si]
	e.actions.Complete(sc.id, whole)
	c := &e.classes[sc.class]
	e.observeClientWait(c, e.now-sc.arrivedAt, false)
	if sc.step == 0 && c.secondStep > 0 {
		secondParts := min(c.secondStep, sc.passed)
		sc.firstStepRan = e.mayHaveRun(sc)
		for _, pi := range sc.parts[sc.firstPart:] {
			e.closePart(pi)
		}
		sc.firstPart, sc.step, sc.firstStepWhole = len(sc.parts), 1, whole
		sc.expected, sc.answeredWeight, sc.lostWeight, sc.passed = secondParts, 0, 0, 0
		sc.handle = gatherParts
		return
	}
	e.finishScan(si)
}

// giveUp ends a scan at once without an answer: it throttles where a repeat is provably harmless, and abandons otherwise.
func (e *Engine) giveUp(si int32) {
	sc := &e.scans.at[si]
	if e.classes[sc.class].effect != Idempotent && e.mayHaveRun(sc) {
		e.actions.Abandon(sc.id)
	} else {
		var retryAfter time.Duration
		if e.retryAdvice {
			retryAfter = min(e.maxRetryAfter, time.Duration((0.5+e.rng.uniform(sc.id))*max(e.latency.value, 0.1)*float64(time.Second)))
			if sc.harmful || sc.metFull {
				retryAfter = time.Duration((0.5 + 0.5*e.rng.uniform(sc.id)) * float64(e.maxRetryAfter))
			}
		}
		e.actions.Throttle(sc.id, retryAfter)
	}
	e.finishScan(si)
}

// mayHaveRun reports whether any part sent so far may have run. Without proof of the contrary it may have.
func (e *Engine) mayHaveRun(sc *scan) bool {
	return sc.firstStepRan || slices.ContainsFunc(sc.parts[sc.firstPart:], func(pi int32) bool {
		_, ran := e.parts.at[pi].firstExposure()
		return ran
	})
}

func (e *Engine) finishScan(si int32) {
	sc := &e.scans.at[si]
	if e.now > sc.arrivedAt && e.median > 0 {
		e.classes[sc.class].latencyRatio.add(min(maxLatencyRatio, e.timeToMost(sc).Seconds()/e.median), latencyGain)
		e.adjustThreshold(sc)
	}
	delete(e.byID, sc.id)
	delete(e.byNumber, sc.number)
	for _, pi := range sc.parts[sc.firstPart:] {
		e.closePart(pi)
	}
	e.scans.release(si)
}

// closePart marks a part as ended. Its slot is kept until its attempts have returned.
func (e *Engine) closePart(pi int32) {
	p := &e.parts.at[pi]
	p.ended = true
	e.cancelAttempts(p)
	if p.inFlight == 0 {
		delete(e.byID, p.id)
		e.parts.release(pi)
	}
}

// observeClientWait estimates how long clients wait, from those that left and those that got an answer. A sufficient answer
// is sent before most would leave: each that leaves wastes the work and repeats its scan. It can cut some scans short.
func (e *Engine) observeClientWait(c *class, waited time.Duration, clientLeft bool) {
	if !clientLeft {
		c.leaving *= 1 - leaveGain/2 // clients answered in time stay, and would otherwise be kept waiting again
		return
	}
	c.leaving += leaveGain * (1 - c.leaving) // a single client that leaves has little effect
	if c.patience == 0 {
		c.patience = waited
	}
	if waited < c.patience {
		c.patience = time.Duration(float64(c.patience) / (1 + 3*patienceStep))
	} else {
		c.patience = time.Duration(float64(c.patience) * (1 + patienceStep))
	}
}

// ClientLeft reports that the client of a scan has gone.
func (e *Engine) ClientLeft(id uint64) {
	if i, ok := e.byID[id]; ok && i < 0 {
		sc := &e.scans.at[^i]
		e.observeClientWait(&e.classes[sc.class], e.now-sc.arrivedAt, true)
		e.finishScan(^i)
	}
}
