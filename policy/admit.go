package policy

// Admission: which scans are rejected before any part is sent.

// admit reports whether a scan is accepted. It rejects scans that are unlikely to complete in time.
func (e *Engine) admit(sc *scan) bool {
	c := &e.classes[sc.class]
	e.meanBenefit.add(c.benefit, latencyGain)
	e.meanSize.add(float64(sc.expected), latencyGain)
	c.size.add(float64(sc.expected), latencyGain)
	// If an outage of whole shards keeps the scan below its floor, its client should retry later rather than wait.
	reachable := 1.0
	for _, pi := range sc.parts {
		if p := &e.parts.at[pi]; e.noHolder(p) {
			reachable -= p.weight
		}
	}
	if reachable < c.floor-epsilon || !c.lateCounts && e.now >= sc.target {
		return false
	}
	left := (sc.target - e.now).Seconds()
	// Scans with little benefit per part are rejected first; this goes by size, not by table type.
	lowValue := min(maxLowValueFactor, max(1, e.meanBenefit.value/e.meanSize.value*c.size.value/c.benefit))
	lowValue *= 1 + (overQuotaFactor-1)*float64(boolToInt(e.overQuota(sc)))
	share := e.admittedShare(sc) // the fleet's admission applies alike at all mixers
	return (share >= 1 || e.rng.uniform(sc.id) < share) &&
		e.expectedScanTime(max(1, c.latencyRatio.value), c.size.value/max(e.meanSize.value, epsilon))*lowValue < left
}

// overQuota reports whether a tenant asks for more than its share of this mixer's scans. It protects the other tenants from a
// flood and has an effect only under pressure. It can penalize a tenant whose clients are spread unevenly over the mixers.
func (e *Engine) overQuota(sc *scan) bool {
	if sc.tenant < 0 || int(sc.tenant) >= len(e.quotas) {
		return false
	}
	q, b := e.quotas[sc.tenant], &e.quotaBuckets[sc.tenant]
	left := b.refill(e.now, q, 2+q*quotaBurst.Seconds())
	b.level = max(b.level-float64(boolToInt(!sc.repeat)), 0) // a throttled scan that is repeated was counted before
	return left < 1
}

// loadLatency returns the part latency or, if greater, the time in which the parts in flight would pass at the peak rate. It
// covers the first seconds of a load jump, before outcomes show it. It can narrow scans without need after a quiet period.
func (e *Engine) loadLatency(latency float64) float64 {
	if e.passedTotal < minPassesForPeak {
		return latency
	}
	return max(latency, (float64(e.inFlight)-e.inFlightAllowance*e.meanSize.value)/max(e.peakRate, epsilon))
}

// expectedScanTime estimates the time of a scan that takes ratio part latencies and is width times as wide as the average. It
// uses the median latency, which a few failing searchers don't move, limited by Little's law (parts in flight over parts passed
// per second) so that an old slow period isn't remembered for ever. Little's law alone isn't enough in quiet hours; where the
// load comes from other mixers it admits the first scans. The parts in flight drain only once for a narrow scan: counting them
// once per latency, two simultaneous wide scans made a half-idle fleet reject narrow ones. A wide scan meets them at nearly
// every searcher and its slowest part meets the longest queue, so its estimate grows with its width. This can reject wide
// scans when the fleet is congested in one place only.
func (e *Engine) expectedScanTime(ratio, width float64) float64 {
	if e.peakSearcherRate == 0 {
		return 0
	}
	drainTime := float64(e.inFlight) / max(e.passRate.value, e.peakSearcherRate*float64(e.ready)/2)
	return min(max(e.median*ratio, min(ratio, maxImbalance*max(1, width))*e.loadLatency(e.median)), ratio*drainTime)
}
