package brain

// Dispatches, retries, hedges and cancellations.

import (
	"cmp"
	"slices"
	"time"
)

// sendParts sends a step's heaviest parts, up to the class's share. It runs once per step.
func (m *Mixer) sendParts(si int32) {
	sc := &m.scans.at[si]
	sc.handle = collectResults
	c := &m.classes[sc.class]
	parts := sc.parts[sc.firstPart:]
	slices.SortFunc(parts, func(a, b int32) int {
		x, y := &m.parts.at[a], &m.parts.at[b]
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.tieBreak, y.tieBreak))
	})
	share, omittable := 2.0, 0.0
	if sc.step == 0 && c.floor < c.need {
		share, omittable = c.share, 1-c.minShare
	}
	sent, sum := 0, 0.0
	for _, pi := range parts {
		p := &m.parts.at[pi]
		if omit := omittable >= p.weight && m.unlikelyInTime(p, sc); omit || share < 1 && sum >= share-epsilon {
			if omit {
				omittable -= p.weight
			}
			sc.lostWeight += p.weight
			m.closePart(pi)
			continue
		}
		sum += p.weight
		parts[sent] = pi
		sent++
	}
	sc.parts = sc.parts[:sc.firstPart+sent]
	maxParts := m.partsPerCallFor(sc)
	// While connections break, a repeat or a scan that reaches much of the fleet sends one part first and the rest once it has
	// passed: it may crash searchers, and would take all of them down. This costs a harmless scan one part latency.
	sc.probing = sc.step == 0 && m.now < m.cautiousUntil && (sc.repeat || float64(sent) > wideScanShare*float64(m.ready))
	for _, pi := range sc.parts[sc.firstPart:] {
		if sc.probing && pi != sc.parts[sc.firstPart] {
			break
		}
		m.hedgeBudget.level = min(hedgeBurst, m.hedgeBudget.level+hedgeShare)
		m.dispatch(pi, maxParts)
	}
	m.settle(si)
}

// dispatch sends one attempt of a part. It returns false if the part may not be sent or no searcher can take it now.
func (m *Mixer) dispatch(pi int32, maxParts int) bool {
	p := &m.parts.at[pi]
	sc := &m.scans.at[p.scan]
	if !m.mayDispatch(p, sc) {
		return false
	}
	i := m.pickSearcher(p, maxParts)
	if i < 0 {
		return false
	}
	s := &m.searchers[i]
	isRetry := len(p.attempts) > 0
	if isRetry && len(p.attempts) == m.classes[p.class].maxAttempts-1 && m.timeLeft(sc) > lastAttemptRatio*m.averageLatency &&
		(m.failing(s) || m.now < p.failedAt+minEjection) {
		// Holders that are down or full fail at once; the part would be lost before one of them has recovered.
		return false
	}
	if !m.joinsCall(s, maxParts) {
		s.openCall = m.calls.alloc()
		m.calls.at[s.openCall] = call{}
		s.openCallAt = m.now
		s.callsInFlight++
	}
	call := &m.calls.at[s.openCall]
	call.total++
	call.inFlight++
	if s.partsInFlight == 0 {
		s.quietSince = m.now
		if s.idleStep = m.idleStep(s); s.suspect || m.losesIdle(s.idleStep) {
			m.actions.Renew(int(i))
			s.suspect, s.idleStep = false, 0
		}
	}
	s.partsInFlight++
	m.inFlight++
	s.coldBudget.level--
	if isRetry {
		m.retries.Add(m.now, m.budgetSpan)
	}
	// Not until the deadline: under congestion the queues would fill with work that is too late in any case.
	until := sc.deadline
	if m.now < sc.target && !m.waitToDeadline {
		if until = sc.target; m.classes[sc.class].lateCounts {
			until = sc.deadline - time.Duration(lateCutoffShare*float64(sc.deadline-sc.target))
		}
	}
	p.attempts = append(p.attempts, attempt{searcher: i, call: s.openCall, sentAt: m.now, idleStep: s.idleStep, inFlight: true,
		untested: !s.latency.valid || m.now-s.lastAnswer > latencyDecay})
	s.lastUsed = m.now
	p.inFlight++
	m.actions.Dispatch(p.id, int(i), max(until, m.now+m.granularity))
	return true
}

// mayDispatch checks the rules for sending a part: attempts, safety of repeats, and budget.
func (m *Mixer) mayDispatch(p *part, sc *scan) bool {
	if p.ended || p.answered || p.lost || len(p.attempts) >= m.classes[p.class].maxAttempts || m.now >= sc.deadline {
		return false
	}
	if len(p.attempts) == 0 {
		return true
	}
	c := &m.classes[p.class]
	since, ran := p.firstExposure()
	switch {
	case p.inFlight > 0 && !m.mayHedge, ran && !m.mayRepeat(c, since, 2):
		return false
	}
	if m.budgeted {
		allowed := m.budgetFree + m.budgetShare*float64(m.requests.Low(m.now, m.budgetSpan))
		return float64(m.retries.High(m.now, m.budgetSpan)+1) <= allowed
	}
	return m.budgetAllows == nil || m.budgetAllows(p.shard, sc.deadline)
}

// mayRepeat reports whether a part that may have run since then may be sent again, with a margin of that many rounds.
func (m *Mixer) mayRepeat(c *class, since time.Duration, rounds int) bool {
	return c.effect == Replayable || c.effect == Keyed && m.now-since < c.repeatWindow-time.Duration(rounds)*m.granularity
}

// firstExposure returns when the first attempt that isn't proved not to have run was sent, if there is one.
func (p *part) firstExposure() (at time.Duration, ran bool) {
	for i := range p.attempts {
		if a := &p.attempts[i]; !a.neverRan {
			return a.sentAt, true
		}
	}
	return 0, false
}

// retry sends a part that failed or was held back, if that can still help, and otherwise may mark it as lost.
func (m *Mixer) retry(pi int32, sc *scan) {
	p := &m.parts.at[pi]
	// A scan that loses connections while no part has passed may crash searchers, one per dispatch. Its parts wait for a pass;
	// if none is in flight, two losses end it. Of unrelated crashes some parts survive, but seldom in scans of two or three.
	if (sc.probing || sc.connectionsLost > 0) && sc.passed == 0 && len(sc.parts)-sc.firstPart > 1 {
		if slices.ContainsFunc(sc.parts[sc.firstPart:], func(i int32) bool { return m.parts.at[i].inFlight > 0 }) {
			return
		}
		sc.harmful = sc.connectionsLost > 1
	}
	if !sc.harmful && m.timeLeft(sc) > m.averageLatency && m.dispatch(pi, 1) {
		return
	}
	_, ran := p.firstExposure()
	if m.allHoldersFull(p) || sc.harmful || len(p.attempts) >= m.classes[p.class].maxAttempts ||
		ran && m.classes[p.class].effect == NonReplayable || m.resourcesUnlikely(p, sc) {
		p.lost = true
		sc.lostWeight += p.weight
	}
}

// resourcesUnlikely reports whether a part waits in vain for a holder, where the list has none, or after a failure for retry
// budget. Giving up early lets the client retry in time. Either resource could become available a moment later.
func (m *Mixer) resourcesUnlikely(p *part, sc *scan) bool {
	if m.budgetAllows == nil || (m.now-sc.arrivedAt).Seconds() < maxResourceWaitShare*m.classes[sc.class].target.Seconds() {
		return false
	}
	return m.noHolder(p) || len(p.attempts) > 0 && !m.budgetAllows(p.shard, sc.deadline)
}

// reviewScan retries the parts of a pending scan that have no attempt in flight, and hedges late ones.
func (m *Mixer) reviewScan(si int32) {
	sc := &m.scans.at[si]
	m.noteMostParts(sc)
	if !sc.adjusted && m.timeToMost(sc).Seconds() > nearTargetShare*m.classes[sc.class].target.Seconds() {
		sc.adjusted = true
		m.adjustThreshold(sc)
	}
	if m.timeLeft(sc) > m.averageLatency {
		for _, pi := range sc.parts[sc.firstPart:] {
			if p := &m.parts.at[pi]; p.answered || p.lost {
				continue
			} else if p.inFlight == 0 {
				m.retry(pi, sc)
			} else if sc.connectionsLost == 0 || sc.passed > 0 {
				m.hedge(pi)
			}
		}
	}
	sc.handle(m, si, result{part: -1})
}

// hedge sends a second attempt of a late part to another searcher or, where second copies aren't allowed, cancels the first
// one so that the part can be retried.
func (m *Mixer) hedge(pi int32) {
	p := &m.parts.at[pi]
	a := &p.attempts[len(p.attempts)-1]
	s := &m.searchers[a.searcher]
	stuck := m.stuck(s)
	late := (m.now - a.sentAt).Seconds() >= m.latency.value+lateDeviations*m.deviation.value
	if !m.latency.valid || !late && !stuck || m.hedgeBudget.level < 1 || p.inFlight > 1 {
		return // nor if all holders are equally slow: a second copy only adds to the congestion
	}
	i := m.pickSearcher(p, 1)
	if i < 0 || !stuck && m.expectedLatency(s) < hedgeMinRatio*m.expectedLatency(&m.searchers[i]) {
		return
	}
	if m.mayHedge {
		if m.dispatch(pi, 1) {
			m.hedgeBudget.level--
		}
	} else if other := &m.searchers[i]; stuck && m.mayCancel && len(p.attempts) < m.classes[p.class].maxAttempts &&
		m.mayRepeat(&m.classes[p.class], p.attempts[0].sentAt, 4) && !m.failing(other) &&
		m.expectedLatency(s) > unresponsiveRatio*m.expectedLatency(other) {
		// Cancelling gives up a queue place, and a running attempt may go on, so it needs a healthy, clearly quicker holder.
		// Congestion, or a lost room of searchers, leaves none; otherwise it would be fed with the same work again.
		m.actions.Cancel(p.id, len(p.attempts)-1)
		m.hedgeBudget.level--
	}
}

// cancelAttempts cancels the attempts in flight of a part that no longer needs them, which frees queue places at searchers
// that support it. It does nothing where second copies aren't allowed, because a mixer on sockets then waits for proof of each
// cancellation, nor at an unresponsive searcher, whose outcome shows whether it can be reached.
func (m *Mixer) cancelAttempts(p *part) {
	if !m.mayHedge || !m.mayCancel {
		return
	}
	for no := range p.attempts {
		if a := &p.attempts[no]; a.inFlight && !a.cancelled && !m.tooQuiet(m.now-max(a.sentAt, m.searchers[a.searcher].quietSince)) {
			a.cancelled = true
			m.actions.Cancel(p.id, no)
		}
	}
}
