package brain

// What the outcomes of dispatches show about searchers.

import "time"

// Returned reports the outcome of a dispatch.
func (m *Mixer) Returned(id uint64, attemptNo int, outcome Outcome, took time.Duration) {
	pi, ok := m.byID[id]
	if !ok || pi < 0 {
		return
	}
	p := &m.parts.at[pi]
	if attemptNo >= len(p.attempts) || !p.attempts[attemptNo].inFlight {
		return
	}
	a := &p.attempts[attemptNo]
	a.inFlight = false
	p.inFlight--
	if outcome != Pass {
		p.failedAt = m.now
	}
	if outcome == Pass && attemptNo > 0 && p.inFlight > 0 && !p.answered {
		m.hedgeBudget.level += hedgeRefund // the hedge answered first: lost parts earn further hedges, congestion doesn't
	}
	a.neverRan = outcome == NoRoom || outcome == NoRoute || outcome == Stale
	m.recordOutcome(p, a, outcome, took)
	if p.ended {
		m.closePart(pi)
	} else if !p.answered && !p.lost {
		m.scans.at[p.scan].handle(m, p.scan, result{part: pi, passed: outcome == Pass, connectionLost: outcome == Cut})
	}
}

// recordOutcome updates the statistics of the searcher and the mixer.
func (m *Mixer) recordOutcome(p *part, a *attempt, outcome Outcome, took time.Duration) {
	s := &m.searchers[a.searcher]
	s.partsInFlight--
	m.inFlight--
	call := &m.calls.at[a.call]
	if call.inFlight--; call.inFlight == 0 {
		s.callsInFlight--
		if s.openCall == a.call {
			s.openCall = -1
		}
		m.calls.release(a.call)
	}
	byPolicy := a.cancelled && outcome == Undone // no fault of the searcher
	lost := outcome == TooSlow || outcome == Undone && !byPolicy || outcome == Cut
	if lost || outcome == Pass {
		previous := m.idleLoss[a.idleStep]
		m.idleLoss[a.idleStep] += idleLossGain * (float64(boolToInt(lost)) - previous)
		if limit := maxIdleLoss + 2*m.idleLoss[0]; m.mayGossip && a.idleStep > 0 && previous <= limit &&
			m.idleLoss[a.idleStep] > limit {
			m.actions.Tell([]byte{byte(a.idleStep)})
		}
	}
	if lost {
		s.suspect = true
		if m.losesIdle(a.idleStep) {
			return // the connection failed; the searcher is neither slow nor failing
		}
	}
	s.lastUsed = m.now
	seconds := took.Seconds()
	if a.untested && outcome != Stale {
		m.untestedLoss.add(float64(boolToInt(outcome != Pass)), latencyGain)
	}
	switch outcome {
	case Pass:
		m.passedSinceTick++
		s.suspect, s.idleStep = false, 0
		if s.unreachable {
			// An unreachable searcher that answers again has most likely just started, long before the list reports it. It
			// counts as cold so that the parts waiting for it don't overload it. This can starve one that was only full.
			s.reachableSince, s.unreachable = m.now, false
			s.coldBudget = bucket{at: m.now, level: m.rng.uniform(0)}
		}
		if seconds < m.bestLatency.value {
			m.bestLatency.add(seconds, latencyGain)
		} else {
			m.bestLatency.add(seconds, latencyGain/20)
		}
		s.failures, s.quietSince, s.lastAnswer, s.ejectedUntil = 0, m.now, m.now, 0
		s.failureRate *= failureRateGain
	case Fault:
		// A quick error must not count as low latency.
		s.quietSince, s.lastAnswer = m.now, m.now
		m.recordFailure(s, 1)
		seconds = max(seconds, m.expectedLatency(s), m.averageLatency)
	case TooSlow, Undone:
		if !s.latency.valid || seconds < s.latency.value {
			return
		}
		if !byPolicy && (a.sentAt >= s.quietSince || m.stuck(s)) {
			m.recordFailure(s, 0)
		}
	case NoRoom:
		s.quietSince = m.now
		if s.fullSince <= s.lastAnswer {
			s.fullSince = m.now
		}
		if !p.ended {
			m.scans.at[p.scan].metFull = true
		}
		// Parts wait a little for capacity: trying every holder at once would use up their attempts and lose the scan.
		s.fullUntil = m.now + time.Duration((0.5+m.rng.uniform(p.id))*float64(minEjection))
		// A full searcher counts as one that just misses the target. With more, no part would be sent to it again.
		seconds = max(seconds, m.classes[p.class].target.Seconds())
	case Cut:
		m.recordFailure(s, 1)
		return
	case NoRoute:
		s.unreachable = true
		m.recordFailure(s, 0)
		return
	case Stale:
		return
	}
	old := s.latency
	s.latency.add(seconds, searcherLatencyGain)
	if s.state == Ready {
		m.latencySum += s.latency.value - old.value
		m.latencyCount += boolToInt(!old.valid)
	}
	if m.latency.valid {
		m.deviation.add(min(maxSampleRatio*m.latency.value, max(seconds-m.latency.value, m.latency.value-seconds)), latencyGain)
		seconds = min(seconds, maxSampleRatio*m.latency.value)
	}
	m.latency.add(seconds, latencyGain)
	if m.median == 0 {
		m.median = seconds
	} else if seconds > m.median {
		m.median *= medianStep
	} else {
		m.median /= medianStep
	}
	m.updateAverageLatency()
}

// Probed reports that any mixer probed a searcher that long ago, and whether it answered. Failures, and load reports of
// reachable searchers, have no effect: a probe is answered outside the queue, and fails if the path to one mixer is at fault.
// An answer makes an unreachable searcher usable again, for which a part would otherwise have to be risked.
func (m *Mixer) Probed(i int, ago time.Duration, answered bool) {
	if s := &m.searchers[i]; answered && s.unreachable && m.now-ago > s.lastFailure {
		s.reachableSince, s.unreachable, s.ejectedUntil = m.now, false, 0
		s.coldBudget = bucket{at: m.now, level: m.rng.uniform(0)}
	}
}

// recordFailure ejects a searcher after more consecutive failures than excused, for a growing time that is randomized so that
// mixers don't return in step. Parts of one call count once. One reset is excused, or resets could leave no searcher at all.
func (m *Mixer) recordFailure(s *searcher, excused int) {
	if s.lastFailure == m.now && s.failures > 0 {
		return
	}
	s.lastFailure = m.now
	s.failureRate += failureRateGain * (1 - s.failureRate)
	if s.failures++; s.failures > excused {
		ejection := min(maxEjection, minEjection<<min(s.failures-excused, 5))
		s.ejectedUntil = m.now + time.Duration((0.75+0.5*m.rng.uniform(0))*float64(ejection))
	}
}

// updateAverageLatency computes the latency assumed of searchers without an answer.
func (m *Mixer) updateAverageLatency() {
	if m.averageLatency = m.latency.value; m.latencyCount > 0 {
		m.averageLatency = m.latencySum / float64(m.latencyCount)
	}
}
