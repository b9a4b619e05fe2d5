package policy

// What the outcomes of dispatches show about searchers.

import "time"

// Returned reports the outcome of a dispatch.
func (e *Engine) Returned(id uint64, attemptNo int, outcome Outcome, took time.Duration) {
	pi, ok := e.byID[id]
	if !ok || pi < 0 {
		return
	}
	p := &e.parts.at[pi]
	if attemptNo >= len(p.attempts) || !p.attempts[attemptNo].inFlight {
		return
	}
	a := &p.attempts[attemptNo]
	a.inFlight = false
	p.inFlight--
	if outcome != Succeeded {
		p.failedAt = e.now
	}
	if outcome == Succeeded && attemptNo > 0 && p.inFlight > 0 && !p.answered {
		e.hedgeBudget.level += hedgeRefund // the hedge answered first: lost parts earn further hedges, congestion doesn't
	}
	a.neverRan = outcome == Overloaded || outcome == Unreachable || outcome == Expired
	e.recordOutcome(p, a, outcome, took)
	if p.ended {
		e.closePart(pi)
	} else if !p.answered && !p.lost {
		e.scans.at[p.scan].handle(e, p.scan, result{part: pi, passed: outcome == Succeeded, connectionLost: outcome == ConnectionLost})
	}
}

// recordOutcome updates the statistics of the searcher and the mixer.
func (e *Engine) recordOutcome(p *part, a *attempt, outcome Outcome, took time.Duration) {
	s := &e.searchers[a.searcher]
	s.partsInFlight--
	e.inFlight--
	call := &e.calls.at[a.call]
	if call.inFlight--; call.inFlight == 0 {
		s.callsInFlight--
		if s.openCall == a.call {
			s.openCall = -1
		}
		e.calls.release(a.call)
	}
	byPolicy := a.cancelled && outcome == Cancelled // no fault of the searcher
	lost := outcome == TimedOut || outcome == Cancelled && !byPolicy || outcome == ConnectionLost
	if lost || outcome == Succeeded {
		previous := e.idleLoss[a.idleStep]
		e.idleLoss[a.idleStep] += idleLossGain * (float64(boolToInt(lost)) - previous)
		if limit := maxIdleLoss + 2*e.idleLoss[0]; e.mayGossip && a.idleStep > 0 && previous <= limit &&
			e.idleLoss[a.idleStep] > limit {
			e.actions.Gossip([]byte{byte(a.idleStep)})
		}
	}
	if lost {
		s.suspect = true
		if e.losesIdle(a.idleStep) {
			return // the connection failed; the searcher is neither slow nor failing
		}
	}
	s.lastUsed = e.now
	seconds := took.Seconds()
	if a.untested && outcome != Expired {
		e.untestedLoss.add(float64(boolToInt(outcome != Succeeded)), latencyGain)
	}
	switch outcome {
	case Succeeded:
		e.passedSinceTick++
		s.suspect, s.idleStep = false, 0
		if s.unreachable {
			// An unreachable searcher that answers again has most likely just started, long before the list reports it. It
			// counts as cold so that the parts waiting for it don't overload it. This can starve one that was only full.
			s.reachableSince, s.unreachable = e.now, false
			s.coldBudget = bucket{at: e.now, level: e.rng.uniform(0)}
		}
		if seconds < e.bestLatency.value {
			e.bestLatency.add(seconds, latencyGain)
		} else {
			e.bestLatency.add(seconds, latencyGain/20)
		}
		s.failures, s.quietSince, s.lastAnswer, s.ejectedUntil = 0, e.now, e.now, 0
		s.failureRate *= failureRateGain
	case Failed:
		// A quick error must not count as low latency.
		s.quietSince, s.lastAnswer = e.now, e.now
		e.recordFailure(s, 1)
		seconds = max(seconds, e.expectedLatency(s), e.averageLatency)
	case TimedOut, Cancelled:
		if !s.latency.valid || seconds < s.latency.value {
			return
		}
		if !byPolicy && (a.sentAt >= s.quietSince || e.stuck(s)) {
			e.recordFailure(s, 0)
		}
	case Overloaded:
		s.quietSince = e.now
		if s.fullSince <= s.lastAnswer {
			s.fullSince = e.now
		}
		if !p.ended {
			e.scans.at[p.scan].metFull = true
		}
		// Parts wait a little for capacity: trying every holder at once would use up their attempts and lose the scan.
		s.fullUntil = e.now + time.Duration((0.5+e.rng.uniform(p.id))*float64(minEjection))
		// A full searcher counts as one that just misses the target. With more, no part would be sent to it again.
		seconds = max(seconds, e.classes[p.class].target.Seconds())
	case ConnectionLost:
		e.recordFailure(s, 1)
		return
	case Unreachable:
		s.unreachable = true
		e.recordFailure(s, 0)
		return
	case Expired:
		return
	}
	old := s.latency
	s.latency.add(seconds, searcherLatencyGain)
	if s.state == Ready {
		e.latencySum += s.latency.value - old.value
		e.latencyCount += boolToInt(!old.valid)
	}
	if e.latency.valid {
		e.deviation.add(min(maxSampleRatio*e.latency.value, max(seconds-e.latency.value, e.latency.value-seconds)), latencyGain)
		seconds = min(seconds, maxSampleRatio*e.latency.value)
	}
	e.latency.add(seconds, latencyGain)
	if e.median == 0 {
		e.median = seconds
	} else if seconds > e.median {
		e.median *= medianStep
	} else {
		e.median /= medianStep
	}
	e.updateAverageLatency()
}

// Probed reports that any mixer probed a searcher that long ago, and whether it answered. Failures, and load reports of
// reachable searchers, have no effect: a probe is answered outside the queue, and fails if the path to one mixer is at fault.
// An answer makes an unreachable searcher usable again, for which a part would otherwise have to be risked.
func (e *Engine) Probed(i int, ago time.Duration, answered bool) {
	if s := &e.searchers[i]; answered && s.unreachable && e.now-ago > s.lastFailure {
		s.reachableSince, s.unreachable, s.ejectedUntil = e.now, false, 0
		s.coldBudget = bucket{at: e.now, level: e.rng.uniform(0)}
	}
}

// recordFailure ejects a searcher after more consecutive failures than excused, for a growing time that is randomized so that
// mixers don't return in step. Parts of one call count once. One reset is excused, or resets could leave no searcher at all.
func (e *Engine) recordFailure(s *searcher, excused int) {
	if s.lastFailure == e.now && s.failures > 0 {
		return
	}
	s.lastFailure = e.now
	s.failureRate += failureRateGain * (1 - s.failureRate)
	if s.failures++; s.failures > excused {
		ejection := min(maxEjection, minEjection<<min(s.failures-excused, 5))
		s.ejectedUntil = e.now + time.Duration((0.75+0.5*e.rng.uniform(0))*float64(ejection))
	}
}

// updateAverageLatency computes the latency assumed of searchers without an answer.
func (e *Engine) updateAverageLatency() {
	if e.averageLatency = e.latency.value; e.latencyCount > 0 {
		e.averageLatency = e.latencySum / float64(e.latencyCount)
	}
}
