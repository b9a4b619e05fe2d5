package policy

import (
	"math"
	"time"
)

// Tuning parameters. Those that stand for a time are fractions of a measured or configured value where there is one.
const (
	tickInterval         = 50 * time.Millisecond  // period at which shares and pending scans are reviewed
	latencyGain          = 0.08                   // smoothing factor of the part latency over all searchers
	medianStep           = 1.04                   // factor by which the median estimate moves per sample
	searcherLatencyGain  = 0.2                    // smoothing factor of one searcher's latency
	maxSampleRatio       = 3.0                    // a latency sample is capped at this multiple of the mean
	shareDecreaseRate    = 0.6                    // share given up per second at the threshold
	minShareMargin       = 0.2                    // of the way from floor to need, kept: otherwise any lost part loses the scan
	maxImbalance         = 1.5                    // parts in flight at the busiest searcher, relative to the mean
	maxLowValueFactor    = 3.0                    // limit of the factor by which a low-value scan is throttled earlier
	overQuotaFactor      = 2.0                    // factor by which a tenant over its share is throttled earlier
	quotaBurst           = 2 * time.Second        // of its share that a tenant may use at once
	shareIncreaseRate    = 0.12                   // share regained per second
	nearTargetShare      = 0.6                    // of the target: a scan that took longer adjusts the threshold
	mostPartsShare       = 0.9                    // fraction of a step's parts that counts as most
	minPassedShare       = 0.75                   // fraction that must have passed when the rest is at failing searchers
	thresholdGain        = 0.5                    // fraction of the way down for each scan near its target
	maxLatencyRatio      = 4.0                    // cap of a scan's time, in part latencies
	thresholdRecovery    = 0.02                   // fraction of the way back to the target for each other scan
	minThresholdRatio    = 2.0                    // the threshold stays above this multiple of the best latency
	recentRateSpan       = 300 * time.Millisecond // averaging span of the rate behind the peak rate
	peakDecay            = 20 * time.Second       // time in which a peak rate decays
	minPassesForPeak     = 100                    // passes before the peak rate is trusted
	lateDeviations       = 3.0                    // mean deviations above the mean from which a part counts as late
	hedgeMinRatio        = 1.2                    // a late part is hedged if its searcher is this many times as slow as another
	unresponsiveRatio    = 2.5                    // a searcher without an answer for this many part latencies counts as stuck
	lateCutoffShare      = 0.3                    // of the time from target to deadline in which early dispatches aren't awaited
	lastAttemptRatio     = 3.0                    // expected latencies; with more time left the last attempt awaits a healthy holder
	wideScanShare        = 0.25                   // of the searchers: a scan with more parts could take too many of them down
	cautiousPeriod       = 10 * time.Second       // after a lost connection, how long repeats start with a single part
	hedgeShare           = 0.1                    // hedges allowed per first dispatch
	hedgeBurst           = 15.0
	hedgeRefund          = 0.8                    // of a hedge's cost, refunded when the hedge answers first
	minSubscribeBackoff  = 500 * time.Millisecond // first backoff after a failed list request
	maxResourceWaitShare = 0.15                   // of the target, after which a part stops waiting for a holder or for retry budget
	minEjection          = 250 * time.Millisecond // first ejection time of a failing searcher
	maxEjection          = 4 * time.Second        // longest ejection time
	failureRateDecay     = 10 * time.Second       // after this long without a failure the failure rate counts half
	failureRateGain      = 0.5                    // fraction of the way to 1 per failure; the rate is multiplied by it per pass
	minLeavingShare      = 0.1                    // share of clients that leave from which their patience counts
	leaveGain            = 0.05                   // smoothing factor of that share
	patienceStep         = 0.05                   // relative step of the patience estimate (lower quartile)
	latencyDecay         = 5 * time.Second        // after this long without a sample a latency is half way to the average
	minUtilization       = 0.4                    // searchers are assumed to be at least this busy
	idleUnit             = 250 * time.Millisecond // shortest idle time distinguished from use; idle steps double from here
	idleLossGain         = 0.12                   // smoothing factor of the loss per idle step
	maxIdleLoss          = 0.2                    // loss above which connections idle for that long are renewed
	reportLifetime       = 5 * time.Second        // time after which another mixer's report is dropped
	minReporters         = 3                      // mixers that must report the same loss
	idleLossDecay        = 30 * time.Second       // time in which the loss of an idle step decays
	maxUntestedLoss      = 0.8                    // cap of the loss assumed at searchers without recent answers
	assumedCoreShare     = 0.5                    // fraction of a core's throughput assumed of any searcher
	coldSteadyShare      = 0.75                   // of a cold searcher's budget granted at a steady rate, the rest as a burst
	localCostLimit       = 0.4                    // of the target: a nearby holder that costs no more is preferred
	maxDistance          = 3.0                    // greater than any distance set
	epsilon              = 5e-5
)

// New returns a policy engine for one routing instance that knows only its settings.
func New(s Settings, actions Actions, now time.Duration) *Engine {
	e := &Engine{actions: actions, now: now, rng: newRNG(s.Seed, s.Instance), byID: map[uint64]int32{}, byNumber: map[uint64]int32{},
		shardSpan: s.ShardSpan, partsPerCall: max(1, s.PartsPerCall), maxAttempts: max(1, s.MaxAttempts),
		mixers: float64(max(1, s.Mixers)), mayHedge: s.MayHedge, mayCancel: s.MayCancel, mayGossip: s.MayGossip,
		retryAdvice: s.RetryAdvice, granularity: s.Granularity, maxRetryAfter: s.MaxRetryAfter, listInterval: s.ListInterval,
		warmUp: s.WarmUp, overloadSpan: s.OverloadSpan, coldShare: s.ColdShare, overloadMultiple: s.OverloadMultiple,
		budgeted: s.Budgeted, budgetFree: s.BudgetFree, budgetShare: s.BudgetShare, budgetSpan: s.BudgetSpan,
		rankByExpectedAnswer: s.RankByExpectedAnswer, inFlightAllowance: s.InFlightAllowance,
		waitToDeadline: s.WaitToDeadline, budgetAllows: s.BudgetAllows}
	e.AddTypes(s.Types, s.Shards)
	for _, q := range s.Quotas {
		e.quotas = append(e.quotas, q/e.mixers)
		e.quotaBuckets = append(e.quotaBuckets, bucket{level: q, at: now})
	}
	e.hedgeBudget.level, e.lastTick = hedgeBurst, now
	if s.Subscribe {
		actions.Subscribe()
	}
	actions.Wake(now+tickInterval, 0)
	return e
}

// Advance sets the clock. Earlier times are ignored.
func (e *Engine) Advance(now time.Duration) { e.now = max(e.now, now) }

// ListBegin starts a list update. Except after Unavailable, ListEntry follows for each entry, then ListEnd.
func (e *Engine) ListBegin(mode ListMode) {
	if mode == Unavailable {
		// An immediate retry would add to the load that keeps the list service from answering.
		e.subscribeBackoff = min(max(2*e.subscribeBackoff, minSubscribeBackoff), e.listInterval/4)
		e.subscribeAt = e.now + time.Duration(float64(e.subscribeBackoff)*(0.75+0.5*e.rng.uniform(0)))
		return
	}
	e.subscribeBackoff = 0
	if mode != Changes {
		for i := range e.searchers {
			e.searchers[i].listed = false
		}
	}
}

// ListEntry updates one searcher of the list.
func (e *Engine) ListEntry(i int, state SearcherState, weight float64, started time.Duration, shard int) {
	for len(e.searchers) <= i {
		e.searchers = append(e.searchers, e.newSearcher())
	}
	s := &e.searchers[i]
	if s.started != started || (s.state == Gone && state == Ready) {
		// The record of an earlier process says nothing about its replacement.
		s.latency, s.failures, s.ejectedUntil, s.fullUntil, s.unreachable, s.failureRate = ewma{}, 0, 0, 0, false, 0
		s.coldBudget = bucket{at: e.now, level: e.rng.uniform(0)}
	}
	s.listed, s.state, s.weight, s.started, s.shard = true, state, weight, started, shard
}

// ListEnd completes a list update.
func (e *Engine) ListEnd(mode ListMode) {
	for c := range e.shards {
		e.shards[c] = e.shards[c][:0]
	}
	e.ready, e.meanWeight, e.latencySum, e.latencyCount = 0, 0, 0, 0
	for i := range e.searchers {
		s := &e.searchers[i]
		if (mode == Full || mode == Cached) && !s.listed {
			s.state = Gone
		}
		if s.state == Ready && s.shard >= 0 && s.shard < len(e.shards) {
			e.shards[s.shard] = append(e.shards[s.shard], int32(i))
			e.ready++
			e.meanWeight += (s.weight - e.meanWeight) / float64(e.ready)
		}
		if s.state == Ready {
			e.latencySum += s.latency.value
			e.latencyCount += boolToInt(s.latency.valid)
		}
	}
	e.updateAverageLatency()
}

// Scan starts a scan. Its parts follow with Part.
func (e *Engine) Scan(id, number uint64, class, tenant int, left, work time.Duration, parts int, repeat bool) {
	i := e.scans.alloc()
	sc := &e.scans.at[i]
	c := &e.classes[class]
	keep := sc.parts[:0]
	*sc = scan{id: id, number: number, class: int32(class), tenant: int32(tenant), arrivedAt: e.now, expected: parts, parts: keep,
		repeat: repeat, handle: gatherParts}
	// A client's repeat has used up part of its target time: as much as it has less left than first attempts, if these are
	// of uniform length and the difference is distinct. Clients that suddenly wait less still get the full benefit.
	share := left.Seconds() / c.timeout.Seconds()
	c.longestLeft = max(share, c.longestLeft)
	short := share < 0.98*c.longestLeft
	var used time.Duration
	if !repeat {
		c.shortAttempts.add(float64(boolToInt(short)), latencyGain)
	} else if short && c.shortAttempts.value < 0.1 {
		used = c.timeout - left
	}
	target := min(c.timeout, c.target+time.Duration(c.stretch*float64(work)))
	sc.deadline = e.now + left - 2*e.granularity
	sc.target = min(sc.deadline, e.now+target-used-3*e.granularity)
	e.byID[id] = ^i
	e.byNumber[number] = i
	e.requests.Add(e.now, e.budgetSpan)
	// The scan has its own wake-ups: the tick is too coarse for a scan in which no outcome arrives at these times.
	token := uint64(e.scans.generations[i])<<32 | uint64(i+1)
	e.actions.Wake(sc.target, token)
	e.actions.Wake(sc.deadline, token)
	if parts <= 0 {
		e.giveUp(i)
	}
}

// Part adds one part to a scan that was started before.
func (e *Engine) Part(id, number uint64, shard int, weight float64) {
	e.requests.Add(e.now, e.budgetSpan)
	si, ok := e.byNumber[number]
	if !ok {
		return
	}
	pi := e.parts.alloc()
	p := &e.parts.at[pi]
	keep := p.attempts[:0]
	sc := &e.scans.at[si]
	*p = part{id: id, scan: si, class: sc.class, shard: shard, weight: weight, attempts: keep}
	p.tieBreak = e.tieBreak(p)
	e.byID[id] = pi
	sc.handle(e, si, result{part: pi})
}

// gatherParts waits until all parts of a step have arrived, then admits and sends them.
func gatherParts(e *Engine, si int32, r result) {
	sc := &e.scans.at[si]
	if r.part < 0 {
		if e.now >= sc.deadline {
			e.giveUp(si)
		}
		return
	}
	sc.parts = append(sc.parts, r.part)
	if len(sc.parts)-sc.firstPart < sc.expected {
		return
	}
	if sc.step > 0 || e.admit(sc) {
		e.sendParts(si)
	} else {
		e.giveUp(si)
	}
}

// Woke handles a wake-up. Token 0 is the periodic tick: it adjusts the shares and reviews all scans. Others belong to one scan.
func (e *Engine) Woke(token uint64) {
	if token != 0 {
		if i := int32(uint32(token)) - 1; e.scans.isCurrent(i, uint32(token>>32)) {
			e.scans.at[i].handle(e, i, result{part: -1})
		}
		return
	}
	e.actions.Wake(e.now+tickInterval, 0)
	elapsed := (e.now - e.lastTick).Seconds()
	e.lastTick = e.now
	if elapsed > 0 {
		// The peak rates show what the searchers were recently seen to carry for this mixer; they decay slowly.
		rate := float64(e.passedSinceTick) / elapsed
		e.passedTotal += e.passedSinceTick
		e.recentRate.add(rate, min(1, elapsed/recentRateSpan.Seconds()))
		e.peakRate = max(e.peakRate*(1-elapsed/peakDecay.Seconds()), e.recentRate.value)
		e.passRate.add(rate, min(1, elapsed))
		e.searcherRate.add(rate/float64(max(e.ready, 1)), min(1, elapsed/4))
		e.peakSearcherRate = max(e.peakSearcherRate*(1-elapsed/peakDecay.Seconds()), e.searcherRate.value)
		e.passedSinceTick = 0
		for k := range e.idleLoss {
			e.idleLoss[k] *= 1 - min(1, elapsed/idleLossDecay.Seconds())
		}
		if e.inFlight == 0 {
			// Without samples the latency of an old slow period decays, but slowly enough that congestion is remembered
			// between the scans of a mixer that has few.
			e.latency.value *= 1 - min(1, elapsed/latencyDecay.Seconds())
			e.median *= 1 - min(1, elapsed/latencyDecay.Seconds())
		}
	}
	if e.subscribeAt > 0 && e.now >= e.subscribeAt {
		e.actions.Subscribe()
		e.subscribeAt = 0
	}
	loadLatency := e.loadLatency(e.latency.value)
	lowest := math.Inf(1)
	for i := range e.classes {
		if c := &e.classes[i]; c.threshold < c.target.Seconds() {
			lowest = min(lowest, c.threshold)
		}
	}
	for i := range e.classes {
		c := &e.classes[i]
		// A threshold that any table type has reached applies to all: otherwise wide scans that are themselves in time would
		// go on delaying narrow ones.
		if threshold := min(c.threshold, lowest); loadLatency > threshold {
			c.share -= shareDecreaseRate * elapsed * min(2, loadLatency/threshold)
		} else {
			c.share += shareIncreaseRate * elapsed
		}
		c.share = min(1, max(c.share, c.minShare))
	}
	for i := range e.scans.at {
		if e.scans.used[i] {
			e.reviewScan(int32(i))
		}
	}
}
