package policy

// Dispatches, retries, hedges and cancellations.

import (
	"cmp"
	"slices"
	"time"
)

// sendParts sends a step's heaviest parts, up to the class's share. It runs once per step.
func (e *Engine) sendParts(si int32) {
	sc := &e.scans.at[si]
	sc.handle = collectResults
	c := &e.classes[sc.class]
	parts := sc.parts[sc.firstPart:]
	slices.SortFunc(parts, func(a, b int32) int {
		x, y := &e.parts.at[a], &e.parts.at[b]
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.tieBreak, y.tieBreak))
	})
	share, omittable := 2.0, 0.0
	if sc.step == 0 && c.floor < c.need {
		share, omittable = c.share, 1-c.minShare
	}
	sent, sum := 0, 0.0
	for _, pi := range parts {
		p := &e.parts.at[pi]
		if omit := omittable >= p.weight && e.unlikelyInTime(p, sc); omit || share < 1 && sum >= share-epsilon {
			if omit {
				omittable -= p.weight
			}
			sc.lostWeight += p.weight
			e.closePart(pi)
			continue
		}
		sum += p.weight
		parts[sent] = pi
		sent++
	}
	sc.parts = sc.parts[:sc.firstPart+sent]
	maxParts := e.partsPerCallFor(sc)
	// While connections break, a repeat or a scan that reaches much of the fleet sends one part first and the rest once it has
	// passed: it may crash searchers, and would take all of them down. This costs a harmless scan one part latency.
	sc.probing = sc.step == 0 && e.now < e.cautiousUntil && (sc.repeat || float64(sent) > wideScanShare*float64(e.ready))
	for _, pi := range sc.parts[sc.firstPart:] {
		if sc.probing && pi != sc.parts[sc.firstPart] {
			break
		}
		e.hedgeBudget.level = min(hedgeBurst, e.hedgeBudget.level+hedgeShare)
		e.dispatch(pi, maxParts)
	}
	e.settle(si)
}

// dispatch sends one attempt of a part. It returns false if the part may not be sent or no searcher can take it now.
func (e *Engine) dispatch(pi int32, maxParts int) bool {
	p := &e.parts.at[pi]
	sc := &e.scans.at[p.scan]
	if !e.mayDispatch(p, sc) {
		return false
	}
	i := e.pickSearcher(p, maxParts)
	if i < 0 {
		return false
	}
	s := &e.searchers[i]
	isRetry := len(p.attempts) > 0
	if isRetry && len(p.attempts) == e.classes[p.class].maxAttempts-1 && e.timeLeft(sc) > lastAttemptRatio*e.averageLatency &&
		(e.failing(s) || e.now < p.failedAt+minEjection) {
		// Holders that are down or full fail at once; the part would be lost before one of them has recovered.
		return false
	}
	if !e.joinsCall(s, maxParts) {
		s.openCall = e.calls.alloc()
		e.calls.at[s.openCall] = call{}
		s.openCallAt = e.now
		s.callsInFlight++
	}
	call := &e.calls.at[s.openCall]
	call.total++
	call.inFlight++
	if s.partsInFlight == 0 {
		s.quietSince = e.now
		if s.idleStep = e.idleStep(s); s.suspect || e.losesIdle(s.idleStep) {
			e.actions.Renew(int(i))
			s.suspect, s.idleStep = false, 0
		}
	}
	s.partsInFlight++
	e.inFlight++
	s.coldBudget.level--
	if isRetry {
		e.retries.Add(e.now, e.budgetSpan)
	}
	// Not until the deadline: under congestion the queues would fill with work that is too late in any case.
	until := sc.deadline
	if e.now < sc.target && !e.waitToDeadline {
		if until = sc.target; e.classes[sc.class].lateCounts {
			until = sc.deadline - time.Duration(lateCutoffShare*float64(sc.deadline-sc.target))
		}
	}
	p.attempts = append(p.attempts, attempt{searcher: i, call: s.openCall, sentAt: e.now, idleStep: s.idleStep, inFlight: true,
		untested: !s.latency.valid || e.now-s.lastAnswer > latencyDecay})
	s.lastUsed = e.now
	p.inFlight++
	e.actions.Dispatch(p.id, int(i), max(until, e.now+e.granularity))
	return true
}

// mayDispatch checks the rules for sending a part: attempts, safety of repeats, and budget.
func (e *Engine) mayDispatch(p *part, sc *scan) bool {
	if p.ended || p.answered || p.lost || len(p.attempts) >= e.classes[p.class].maxAttempts || e.now >= sc.deadline {
		return false
	}
	if len(p.attempts) == 0 {
		return true
	}
	c := &e.classes[p.class]
	since, ran := p.firstExposure()
	switch {
	case p.inFlight > 0 && !e.mayHedge, ran && !e.mayRepeat(c, since, 2):
		return false
	}
	if e.budgeted {
		allowed := e.budgetFree + e.budgetShare*float64(e.requests.Low(e.now, e.budgetSpan))
		return float64(e.retries.High(e.now, e.budgetSpan)+1) <= allowed
	}
	return e.budgetAllows == nil || e.budgetAllows(p.shard, sc.deadline)
}

// mayRepeat reports whether a part that may have run since then may be sent again, with a margin of that many rounds.
func (e *Engine) mayRepeat(c *class, since time.Duration, rounds int) bool {
	return c.effect == Idempotent || c.effect == IdempotentByKey && e.now-since < c.repeatWindow-time.Duration(rounds)*e.granularity
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
func (e *Engine) retry(pi int32, sc *scan) {
	p := &e.parts.at[pi]
	// A scan that loses connections while no part has passed may crash searchers, one per dispatch. Its parts wait for a pass;
	// if none is in flight, two losses end it. Of unrelated crashes some parts survive, but seldom in scans of two or three.
	if (sc.probing || sc.connectionsLost > 0) && sc.passed == 0 && len(sc.parts)-sc.firstPart > 1 {
		if slices.ContainsFunc(sc.parts[sc.firstPart:], func(i int32) bool { return e.parts.at[i].inFlight > 0 }) {
			return
		}
		sc.harmful = sc.connectionsLost > 1
	}
	if !sc.harmful && e.timeLeft(sc) > e.averageLatency && e.dispatch(pi, 1) {
		return
	}
	_, ran := p.firstExposure()
	if e.allHoldersFull(p) || sc.harmful || len(p.attempts) >= e.classes[p.class].maxAttempts ||
		ran && e.classes[p.class].effect == NonIdempotent || e.resourcesUnlikely(p, sc) {
		p.lost = true
		sc.lostWeight += p.weight
	}
}

// resourcesUnlikely reports whether a part waits in vain for a holder, where the list has none, or after a failure for retry
// budget. Giving up early lets the client retry in time. Either resource could become available a moment later.
func (e *Engine) resourcesUnlikely(p *part, sc *scan) bool {
	if e.budgetAllows == nil || (e.now-sc.arrivedAt).Seconds() < maxResourceWaitShare*e.classes[sc.class].target.Seconds() {
		return false
	}
	return e.noHolder(p) || len(p.attempts) > 0 && !e.budgetAllows(p.shard, sc.deadline)
}

// reviewScan retries the parts of a pending scan that have no attempt in flight, and hedges late ones.
func (e *Engine) reviewScan(si int32) {
	sc := &e.scans.at[si]
	e.noteMostParts(sc)
	if !sc.adjusted && e.timeToMost(sc).Seconds() > nearTargetShare*e.classes[sc.class].target.Seconds() {
		sc.adjusted = true
		e.adjustThreshold(sc)
	}
	if e.timeLeft(sc) > e.averageLatency {
		for _, pi := range sc.parts[sc.firstPart:] {
			if p := &e.parts.at[pi]; p.answered || p.lost {
				continue
			} else if p.inFlight == 0 {
				e.retry(pi, sc)
			} else if sc.connectionsLost == 0 || sc.passed > 0 {
				e.hedge(pi)
			}
		}
	}
	sc.handle(e, si, result{part: -1})
}

// hedge sends a second attempt of a late part to another searcher or, where second copies aren't allowed, cancels the first
// one so that the part can be retried.
func (e *Engine) hedge(pi int32) {
	p := &e.parts.at[pi]
	a := &p.attempts[len(p.attempts)-1]
	s := &e.searchers[a.searcher]
	stuck := e.stuck(s)
	late := (e.now - a.sentAt).Seconds() >= e.latency.value+lateDeviations*e.deviation.value
	if !e.latency.valid || !late && !stuck || e.hedgeBudget.level < 1 || p.inFlight > 1 {
		return // nor if all holders are equally slow: a second copy only adds to the congestion
	}
	i := e.pickSearcher(p, 1)
	if i < 0 || !stuck && e.expectedLatency(s) < hedgeMinRatio*e.expectedLatency(&e.searchers[i]) {
		return
	}
	if e.mayHedge {
		if e.dispatch(pi, 1) {
			e.hedgeBudget.level--
		}
	} else if other := &e.searchers[i]; stuck && e.mayCancel && len(p.attempts) < e.classes[p.class].maxAttempts &&
		e.mayRepeat(&e.classes[p.class], p.attempts[0].sentAt, 4) && !e.failing(other) &&
		e.expectedLatency(s) > unresponsiveRatio*e.expectedLatency(other) {
		// Cancelling gives up a queue place, and a running attempt may go on, so it needs a healthy, clearly quicker holder.
		// Congestion, or a lost room of searchers, leaves none; otherwise it would be fed with the same work again.
		e.actions.Cancel(p.id, len(p.attempts)-1)
		e.hedgeBudget.level--
	}
}

// cancelAttempts cancels the attempts in flight of a part that no longer needs them, which frees queue places at searchers
// that support it. It does nothing where second copies aren't allowed, because a mixer on sockets then waits for proof of each
// cancellation, nor at an unresponsive searcher, whose outcome shows whether it can be reached.
func (e *Engine) cancelAttempts(p *part) {
	if !e.mayHedge || !e.mayCancel {
		return
	}
	for no := range p.attempts {
		if a := &p.attempts[no]; a.inFlight && !a.cancelled && !e.overdue(e.now-max(a.sentAt, e.searchers[a.searcher].quietSince)) {
			a.cancelled = true
			e.actions.Cancel(p.id, no)
		}
	}
}
