package brain

// What is turned away before any part is sent.

// admit turns away what could not be done in time.
func (m *Mixer) admit(sc *scan) bool {
	c := &m.cls[sc.class]
	m.benefit.add(c.benefit, gainLat)
	m.size.add(float64(sc.expect), gainLat)
	c.size.add(float64(sc.expect), gainLat)
	// What an outage of whole shards keeps from its floor is better asked again later than waited for.
	reach := 1.0
	for _, pi := range sc.parts {
		if p := &m.parts.at[pi]; m.orphan(p) {
			reach -= p.weight
		}
	}
	if reach < c.floor-eps || !c.late && m.now >= sc.target {
		return false
	}
	left := (sc.target - m.now).Seconds()
	// What brings little benefit for its parts is turned away first: by size, not by name.
	poor := min(poorMost, max(1, m.benefit.v/m.size.v*c.size.v/c.benefit))
	poor *= 1 + (overPoor-1)*float64(b2i(m.overShare(sc)))
	share := m.letIn(sc) // what the fleet as one has no room for is turned away alike by all mixers
	return (share >= 1 || m.dice.roll(sc.id) < share) &&
		m.wait(max(1, c.ratio.v), c.size.v/max(m.size.v, eps))*poor < left
}

// overShare tells whether a tenant asks more than its share of this mixer's scans. Against one that floods
// the others; it acts only under pressure. It could harm a tenant whose clients the front sends unevenly.
func (m *Mixer) overShare(sc *scan) bool {
	if sc.tenant < 0 || int(sc.tenant) >= len(m.quota) {
		return false
	}
	q, b := m.quota[sc.tenant], &m.tenants[sc.tenant]
	left := b.fill(m.now, q, 2+q*quotaBrim.Seconds())
	b.level = max(b.level-float64(b2i(!sc.repeat)), 0) // what we throttled and comes back was counted before
	return left < 1
}

// press is a part latency, or, if more, what the parts out would take at the best pace of late.
// Returns tell of a jam late; this guards the first seconds of a jump. It could narrow after a quiet time.
func (m *Mixer) press(lat float64) float64 {
	if m.known < knownLeast {
		return lat
	}
	return max(lat, (float64(m.out)-m.few*m.size.v)/max(m.peak, eps))
}

// wait is how long a scan would take that takes so many part latencies and is so many times as wide as
// others: of the median one, which a few sick searchers do not move, or of less where Little's law (parts out
// over parts passed a second) says less, lest a slow spell be remembered for ever. In quiet hours the law
// alone would not do; where other mixers alone keep the searchers busy it lets the first scans in. What is
// out drains once for a narrow scan: counted for each of its latencies, two wide ones at once had narrow ones
// turned away by a half idle fleet. A wide one meets all that is out at nearly every searcher, and its
// slowest part the worst of it: for it the wait grows with its width. It could turn wide scans away by a
// fleet that is jammed in one place.
func (m *Mixer) wait(ratio, wide float64) float64 {
	if m.carried == 0 {
		return 0
	}
	law := float64(m.out) / max(m.rate.v, m.carried*float64(m.ready)/2)
	return min(max(m.mid*ratio, min(ratio, unevenMost*max(1, wide))*m.press(m.mid)), ratio*law)
}
