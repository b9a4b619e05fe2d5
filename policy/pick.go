package policy

// Choice of a searcher for a part: the replica rule, and what excludes searchers.

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// unlikelyInTime reports whether no holder of a part's shard is expected to answer in time, or there is no holder. Such a part
// of a hot, heavy shard is omitted in spite of its weight if the rest stays above the minimum share.
func (e *Engine) unlikelyInTime(p *part, sc *scan) bool {
	best := e.pickSearcher(p, 1)
	return e.noHolder(p) || best >= 0 && e.expectedLatency(&e.searchers[best]) > (e.partialDeadline(sc)-e.now).Seconds()
}

// tieBreak orders parts of equal weight: at random or, if configured, by the best searcher's expected answer time.
func (e *Engine) tieBreak(p *part) float64 {
	if e.rankByExpectedAnswer {
		if i := e.pickSearcher(p, 1); i >= 0 {
			return e.expectedLatency(&e.searchers[i]) * float64(e.searchers[i].callsInFlight+1)
		}
	}
	return e.rng.uniform(p.id)
}

// allHoldersFull reports whether every holder of a part's shard has been refusing parts as full for a while, so that the
// client should retry later; at first a part waits. It can give up just as a holder gets capacity.
func (e *Engine) allHoldersFull(p *part) bool {
	found := false
	for i := range e.holders(p.shard) {
		if s := &e.searchers[i]; e.now >= s.fullUntil || e.now-s.fullSince < minEjection {
			return false
		}
		found = true
	}
	return found
}

// idleStep returns the doubling step of the time for which a searcher's connection has been idle; 0 means new or in use.
func (e *Engine) idleStep(s *searcher) int {
	if s.lastUsed == LongAgo {
		return 0
	}
	return min(len(e.idleLoss)-1, bits.Len64(uint64((e.now-s.lastUsed)/idleUnit)))
}

// losesIdle reports whether parts sent on connections idle for this step or a shorter one were recently lost. Connections
// silently dropped while idle show as silence or resets at healthy searchers: the loss depends on the idle time and ends with a
// new connection. Under congestion connections may be opened without need, at the cost of a handshake each.
func (e *Engine) losesIdle(step int) bool {
	return slices.ContainsFunc(e.idleLoss[1:step+1], func(lost float64) bool { return lost > maxIdleLoss })
}

// ReceiveGossip handles another mixer's report that it loses parts on connections idle for the given steps, so that not each
// of many mixers has to lose a scan to find out. Several mixers must agree within seconds, since a single one may be
// partitioned or mistake hung searchers for it. The loss decays like a measured one. It can cost unnecessary handshakes.
func (e *Engine) ReceiveGossip(from int, gossip []byte) {
	for _, n := range gossip {
		if n == 0 || int(n) >= len(e.idleLoss) {
			continue
		}
		report := &e.idleReports[n]
		if e.now-report.lastAt > reportLifetime {
			report.reporters = 0
		}
		if report.reporters == 0 || report.lastFrom != from {
			report.reporters++
		}
		if report.lastFrom, report.lastAt = from, e.now; report.reporters >= minReporters {
			e.idleLoss[n] = max(e.idleLoss[n], maxIdleLoss+idleLossGain)
		}
	}
}

// partsPerCallFor returns how many parts of a scan may share a call before the call counts as a further one.
func (e *Engine) partsPerCallFor(sc *scan) int {
	n := 0
	e.holderCount++
	for _, pi := range sc.parts[sc.firstPart:] {
		for i := range e.holders(e.parts.at[pi].shard) {
			n += boolToInt(e.searchers[i].countedIn != e.holderCount)
			e.searchers[i].countedIn = e.holderCount
		}
	}
	return min(e.partsPerCall, (len(sc.parts)-sc.firstPart+max(n, 1)-1)/max(n, 1))
}

// coldBudgetAllows protects a searcher that has just started from overload: what this mixer sends it in any overload span
// stays within the mixer's share of its capacity, estimated from what others of its size were seen to carry for this mixer and
// from their utilization. Too small a budget does harm as well, since a release then leaves few other searchers.
func (e *Engine) coldBudgetAllows(s *searcher) bool {
	start := max(s.started, s.reachableSince)
	if start == LongAgo || e.now-start >= e.warmUp+e.overloadSpan {
		return true
	}
	span := e.overloadSpan.Seconds()
	age := max(0, e.now-start-e.overloadSpan) // uses the capacity at the start of the span, its minimum
	capacityShare := e.coldShare + (1-e.coldShare)*min(1, float64(age)/float64(e.warmUp))
	// The others run at some fraction of their capacity, estimated from their latency relative to the best one.
	utilization := math.Sqrt(max(minUtilization*minUtilization, 1-e.bestLatency.value/max(e.latency.value, 1e-3)))
	capacity := max(e.peakSearcherRate, e.searcherRate.value/utilization) * min(1, s.weight/max(e.meanWeight, epsilon))
	// A mixer with few samples assumes its share of a core rather than a minimum number of parts: over many mixers such
	// minimums add up to more than the searcher can take. The random initial levels spread their starts.
	work := e.minTarget.Seconds()
	if e.bestLatency.valid {
		work = max(e.latency.value, e.bestLatency.value)
	}
	budget := e.overloadMultiple * capacityShare * max(capacity, assumedCoreShare/(work*e.mixers)) * span
	return s.coldBudget.refill(e.now, coldSteadyShare*budget/span, max(1, (1-coldSteadyShare)*budget)) >= 1
}

// expectedLatency returns a searcher's latency as used by the replica rule.
func (e *Engine) expectedLatency(s *searcher) float64 {
	// Searchers without an answer count as average, times the attempts that such ones recently needed. Otherwise each of
	// many mixers would have to discover the failing ones by itself. It can crowd the few that have answered.
	latency := e.averageLatency / (1 - min(e.untestedLoss.value, maxUntestedLoss))
	if s.latency.valid {
		// Old samples decay, otherwise a searcher that was slow once would never be used again.
		quiet := float64(e.now - s.lastAnswer)
		latency += (s.latency.value - latency) * float64(latencyDecay) / (quiet + float64(latencyDecay))
	}
	if s.partsInFlight > 0 {
		latency = max(latency, (e.now - s.quietSince).Seconds())
	}
	return max(latency, 1e-3)
}

// expectedAttempts estimates the attempts that a part needs at a searcher, from its recent failures. It covers searchers that
// fail some parts quickly, or are unresponsive at times, and look healthy in between. It can crowd their neighbours.
func (e *Engine) expectedAttempts(s *searcher) float64 {
	return 1 / (1 - s.failureRate*float64(failureRateDecay)/float64(e.now-s.lastFailure+failureRateDecay))
}

// stuck reports whether a searcher accepts parts but answers none.
func (e *Engine) stuck(s *searcher) bool { return s.partsInFlight > 0 && e.overdue(e.now-s.quietSince) }

// overdue reports whether a time without an answer is longer than a part normally takes.
func (e *Engine) overdue(quiet time.Duration) bool {
	return e.latency.valid && quiet.Seconds() > unresponsiveRatio*e.latency.value+lateDeviations*e.deviation.value
}

// failing reports whether a searcher is ejected after failures (one part at a time may probe it) or stuck. An unreachable
// searcher ranks behind healthy holders until a list could have reported it, since a mixer with few scans would otherwise risk
// the connect timeout in each of them. This can leave a recovered searcher unused while others are healthy.
func (e *Engine) failing(s *searcher) bool {
	return e.now < s.ejectedUntil || s.failures > 0 && s.partsInFlight > 0 || e.stuck(s) ||
		s.unreachable && e.now-s.lastFailure < e.listInterval
}

// pickSearcher applies the replica rule to the shard's holders: healthy ones come first, already attempted ones last. It
// returns -1 if no holder can take the part now.
func (e *Engine) pickSearcher(p *part, maxParts int) int32 {
	best, bestRank, bestCost := int32(-1), 9, 0.0
	for i := range e.holders(p.shard) {
		s := &e.searchers[i]
		// An unreachable searcher gets one part at a time even if there is no other holder: the other parts keep their
		// attempts, and it isn't met by all of them at the moment it recovers.
		if e.now < s.fullUntil || s.unreachable && s.partsInFlight > 0 || !e.coldBudgetAllows(s) {
			continue
		}
		rank := 0
		if e.failing(s) {
			rank = 1
		}
		for t := range p.attempts {
			if p.attempts[t].searcher == i {
				rank = max(rank, 2)
				if p.attempts[t].inFlight {
					rank = 9
				}
			}
		}
		queue := float64(s.callsInFlight + 1)
		if e.joinsCall(s, maxParts) {
			queue--
		}
		cost := e.preferLocal(s, e.expectedLatency(s)*e.expectedAttempts(s)*queue/e.classes[p.class].target.Seconds())
		if rank < bestRank || (rank == bestRank && cost < bestCost) {
			best, bestRank, bestCost = i, rank, cost
		}
	}
	return best
}

// preferLocal ranks a nearby holder first while its cost is a small fraction of the target: traffic between zones is slow and
// expensive, and of no help until the near holder is crowded. It can fill near holders before distant ones are used.
func (e *Engine) preferLocal(s *searcher, cost float64) float64 {
	if cost > localCostLimit {
		return maxDistance + cost
	}
	return float64(s.distance) + cost
}

func (e *Engine) joinsCall(s *searcher, maxParts int) bool {
	return s.openCall >= 0 && s.openCallAt == e.now && e.calls.at[s.openCall].total < maxParts
}
