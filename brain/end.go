package brain

// When a scan ends and with which answer, and how its duration adjusts the threshold.

import (
	"cmp"
	"slices"
	"time"
)

// collectResults handles each outcome of a step, and the passing of time.
func collectResults(m *Mixer, si int32, r result) {
	sc := &m.scans.at[si]
	if r.part >= 0 {
		p := &m.parts.at[r.part]
		switch {
		case r.passed:
			p.answered = true
			m.cancelAttempts(p)
			sc.answeredWeight += p.weight
			sc.passed++
			sc.probing = false // the parts held back are sent with the next tick
			m.noteMostParts(sc)
		case p.inFlight > 0:
			return
		default:
			if r.connectionLost {
				sc.connectionsLost++
				m.cautiousUntil = m.now + cautiousPeriod
			}
			m.retry(r.part, sc)
		}
	}
	m.settle(si)
}

// timeLeft returns for how many seconds an answer to the scan's parts is still useful.
func (m *Mixer) timeLeft(sc *scan) float64 {
	until := sc.target
	if m.now >= until || m.classes[sc.class].lateCounts && sc.answeredWeight < m.floor(sc)-epsilon {
		until = sc.deadline
	}
	return (until - m.now).Seconds()
}

func (m *Mixer) floor(sc *scan) float64 {
	c := &m.classes[sc.class]
	if sc.step > 0 && c.floor >= c.need {
		return 1
	}
	return c.floor
}

// settle ends a step when it is complete, cannot succeed any more, or is out of time.
func (m *Mixer) settle(si int32) {
	sc := &m.scans.at[si]
	c := &m.classes[sc.class]
	need, floor := max(c.need, float64(sc.step)), m.floor(sc) // a second step needs all its parts
	pending := slices.ContainsFunc(sc.parts[sc.firstPart:], func(pi int32) bool {
		return !m.parts.at[pi].answered && !m.parts.at[pi].lost
	})
	enough := sc.answeredWeight >= floor-epsilon
	switch {
	case sc.answeredWeight >= need-epsilon && (sc.step == 0 || !pending):
		m.completeStep(si, sc.step == 0 || sc.firstStepWhole && sc.passed == sc.expected)
	case enough && (!pending || m.now >= m.partialDeadline(sc)):
		m.completeStep(si, false)
	case !pending, sc.harmful, 1-sc.lostWeight < floor-epsilon, m.now >= sc.deadline,
		!enough && !c.lateCounts && m.now >= sc.target:
		m.giveUp(si)
	}
}

// partialDeadline returns when a scan stops waiting for more than its floor.
func (m *Mixer) partialDeadline(sc *scan) time.Duration {
	c, at := &m.classes[sc.class], sc.target
	if c.leaving > minLeavingShare {
		at = min(at, sc.arrivedAt+c.patience)
	}
	if sc.step == 0 && c.secondStep > 0 {
		at -= time.Duration(2 * m.latency.value * float64(time.Second))
	}
	return at
}

// noteMostParts records when most parts of a step are answered, or are at failing searchers as long as these are few. Without
// the latter a few hung searchers would make every scan look late. It can miss the first moments of congestion.
func (m *Mixer) noteMostParts(sc *scan) {
	total := float64(len(sc.parts) - sc.firstPart)
	if sc.mostPartsAt > 0 || sc.step > 0 || float64(sc.passed) < min(minPassedShare*total, max(1, total-1)) {
		return
	}
	answered := sc.passed
	for _, pi := range sc.parts[sc.firstPart:] {
		if p := &m.parts.at[pi]; !p.answered && len(p.attempts) > 0 {
			answered += boolToInt(m.failing(&m.searchers[p.attempts[len(p.attempts)-1].searcher]))
		}
	}
	if float64(answered) >= min(mostPartsShare*total, max(1, total-1)) {
		sc.mostPartsAt = m.now
	}
}

// timeToMost returns how long most parts of the first step took, or the time so far if they aren't answered yet.
func (m *Mixer) timeToMost(sc *scan) time.Duration {
	return cmp.Or(sc.mostPartsAt, m.now) - sc.arrivedAt
}

// adjustThreshold moves the threshold. A scan that took much of its target shows at which part latency its class comes near
// the target; other scans move the threshold back towards the target. Quick scans don't lower it: at low latency a wide scan
// takes many part latencies from variance alone. The time at which most parts were answered is used because narrowing all
// scans doesn't help the few that wait for stuck searchers, during a pause or for shards without holders.
func (m *Mixer) adjustThreshold(sc *scan) {
	c := &m.classes[sc.class]
	target := c.target.Seconds()
	if spent := m.timeToMost(sc).Seconds() / target; spent > nearTargetShare {
		c.threshold -= thresholdGain * max(0, c.threshold-max(minThresholdRatio*m.bestLatency.value,
			m.latency.value*nearTargetShare/spent))
	} else {
		c.threshold += thresholdRecovery * (target - c.threshold)
	}
}

func (m *Mixer) completeStep(si int32, whole bool) {
	sc := &m.scans.at[si]
	m.actions.Complete(sc.id, whole)
	c := &m.classes[sc.class]
	m.observeClientWait(c, m.now-sc.arrivedAt, false)
	if sc.step == 0 && c.secondStep > 0 {
		secondParts := min(c.secondStep, sc.passed)
		sc.firstStepRan = m.mayHaveRun(sc)
		for _, pi := range sc.parts[sc.firstPart:] {
			m.closePart(pi)
		}
		sc.firstPart, sc.step, sc.firstStepWhole = len(sc.parts), 1, whole
		sc.expected, sc.answeredWeight, sc.lostWeight, sc.passed = secondParts, 0, 0, 0
		sc.handle = gatherParts
		return
	}
	m.finishScan(si)
}

// giveUp ends a scan at once without an answer: it throttles where a repeat is provably harmless, and abandons otherwise.
func (m *Mixer) giveUp(si int32) {
	sc := &m.scans.at[si]
	if m.classes[sc.class].effect != Replayable && m.mayHaveRun(sc) {
		m.actions.Abandon(sc.id)
	} else {
		var retryAfter time.Duration
		if m.retryAdvice {
			retryAfter = min(m.maxRetryAfter, time.Duration((0.5+m.rng.uniform(sc.id))*max(m.latency.value, 0.1)*float64(time.Second)))
			if sc.harmful || sc.metFull {
				retryAfter = time.Duration((0.5 + 0.5*m.rng.uniform(sc.id)) * float64(m.maxRetryAfter))
			}
		}
		m.actions.Throttle(sc.id, retryAfter)
	}
	m.finishScan(si)
}

// mayHaveRun reports whether any part sent so far may have run. Without proof of the contrary it may have.
func (m *Mixer) mayHaveRun(sc *scan) bool {
	return sc.firstStepRan || slices.ContainsFunc(sc.parts[sc.firstPart:], func(pi int32) bool {
		_, ran := m.parts.at[pi].firstExposure()
		return ran
	})
}

func (m *Mixer) finishScan(si int32) {
	sc := &m.scans.at[si]
	if m.now > sc.arrivedAt && m.median > 0 {
		m.classes[sc.class].latencyRatio.add(min(maxLatencyRatio, m.timeToMost(sc).Seconds()/m.median), latencyGain)
		m.adjustThreshold(sc)
	}
	delete(m.byID, sc.id)
	delete(m.byNumber, sc.number)
	for _, pi := range sc.parts[sc.firstPart:] {
		m.closePart(pi)
	}
	m.scans.release(si)
}

// closePart marks a part as ended. Its slot is kept until its attempts have returned.
func (m *Mixer) closePart(pi int32) {
	p := &m.parts.at[pi]
	p.ended = true
	m.cancelAttempts(p)
	if p.inFlight == 0 {
		delete(m.byID, p.id)
		m.parts.release(pi)
	}
}

// observeClientWait estimates how long clients wait, from those that left and those that got an answer. A sufficient answer
// is sent before most would leave: each that leaves wastes the work and repeats its scan. It can cut some scans short.
func (m *Mixer) observeClientWait(c *class, waited time.Duration, clientLeft bool) {
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

// Left reports that the client of a scan has gone.
func (m *Mixer) Left(id uint64) {
	if i, ok := m.byID[id]; ok && i < 0 {
		sc := &m.scans.at[^i]
		m.observeClientWait(&m.classes[sc.class], m.now-sc.arrivedAt, true)
		m.finishScan(^i)
	}
}
