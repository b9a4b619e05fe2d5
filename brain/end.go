package brain

// When a scan ends, and with which answer; and what its length teaches the threshold.

import (
	"cmp"
	"slices"
	"time"
)

// collect is handed each return of a step, and the time.
func collect(m *Mixer, si int32, r result) {
	sc := &m.scans.at[si]
	if r.part >= 0 {
		p := &m.parts.at[r.part]
		switch {
		case r.pass:
			p.in = true
			m.recall(p)
			sc.got += p.weight
			sc.pass++
			sc.alone = false // what was kept back goes out with the next beat
			m.mostIn(sc)
		case p.live > 0:
			return
		default:
			if r.cut {
				sc.cuts++
				m.wary = m.now + waryFor
			}
			m.again(r.part, sc)
		}
	}
	m.judge(si)
}

// timeLeft is how long an answer of the scan's parts is still of use.
func (m *Mixer) timeLeft(sc *scan) float64 {
	until := sc.target
	if m.now >= until || m.cls[sc.class].late && sc.got < m.floor(sc)-eps {
		until = sc.end
	}
	return (until - m.now).Seconds()
}

func (m *Mixer) floor(sc *scan) float64 {
	c := &m.cls[sc.class]
	if sc.step > 0 && c.floor >= c.need {
		return 1
	}
	return c.floor
}

// judge ends a step when it is whole, hopeless, or out of time.
func (m *Mixer) judge(si int32) {
	sc := &m.scans.at[si]
	c := &m.cls[sc.class]
	need, floor := max(c.need, float64(sc.step)), m.floor(sc) // a second step needs all
	pending := slices.ContainsFunc(sc.parts[sc.first:], func(pi int32) bool {
		return !m.parts.at[pi].in && !m.parts.at[pi].lost
	})
	enough := sc.got >= floor-eps
	switch {
	case sc.got >= need-eps && (sc.step == 0 || !pending):
		m.complete(si, sc.step == 0 || sc.whole && sc.pass == sc.expect)
	case enough && (!pending || m.now >= m.cutAt(sc)):
		m.complete(si, false)
	case !pending, sc.kills, 1-sc.gone < floor-eps, m.now >= sc.end, !enough && !c.late && m.now >= sc.target:
		m.giveUp(si)
	}
}

// cutAt is when a scan stops waiting for more than its floor.
func (m *Mixer) cutAt(sc *scan) time.Duration {
	c, at := &m.cls[sc.class], sc.target
	if c.leaving > leaveSome {
		at = min(at, sc.at+c.patience)
	}
	if sc.step == 0 && c.second > 0 {
		at -= time.Duration(2 * m.lat.v * float64(time.Second))
	}
	return at
}

// mostIn notes when most parts of a step are in, or at sick searchers as long as those are few. Against a few
// hung searchers teaching that every scan is late. It could miss the first moments of a jam.
func (m *Mixer) mostIn(sc *scan) {
	n := float64(len(sc.parts) - sc.first)
	if sc.most > 0 || sc.step > 0 || float64(sc.pass) < min(passShare*n, max(1, n-1)) {
		return
	}
	in := sc.pass
	for _, pi := range sc.parts[sc.first:] {
		if p := &m.parts.at[pi]; !p.in && len(p.tries) > 0 {
			in += b2i(m.sick(&m.srvs[p.tries[len(p.tries)-1].srv]))
		}
	}
	if float64(in) >= min(mostShare*n, max(1, n-1)) {
		sc.most = m.now
	}
}

// most is how long most parts of the step took, till now if they are not in.
func (m *Mixer) most(sc *scan) time.Duration { return cmp.Or(sc.most, m.now) - sc.at }

// stretch moves the threshold. A scan that took much of its target shows the part latency at which its class
// gets there; without such it drifts back to the target. Quick ones teach nothing: at low latency a wide scan
// takes many by spread alone. What counts is when most parts were in: narrowing every scan does not help the
// few at stuck searchers, in a pause or without holders.
func (m *Mixer) stretch(sc *scan) {
	c := &m.cls[sc.class]
	target := c.target.Seconds()
	if d := m.most(sc).Seconds() / target; d > nearShare {
		c.thr -= nearGain * max(0, c.thr-max(thrClear*m.fast.v, m.lat.v*nearShare/d))
	} else {
		c.thr += nearBack * (target - c.thr)
	}
}

func (m *Mixer) complete(si int32, whole bool) {
	sc := &m.scans.at[si]
	m.act.Complete(sc.id, whole)
	c := &m.cls[sc.class]
	m.impatience(c, m.now-sc.at, false)
	if sc.step == 0 && c.second > 0 {
		n := min(c.second, sc.pass)
		sc.ran = m.ran(sc)
		for _, pi := range sc.parts[sc.first:] {
			m.close(pi)
		}
		sc.first, sc.step, sc.whole = len(sc.parts), 1, whole
		sc.expect, sc.got, sc.gone, sc.pass = n, 0, 0, 0
		sc.next = gather
		return
	}
	m.finish(si)
}

// giveUp throttles where trying again is provably harmless, and abandons otherwise, at once.
func (m *Mixer) giveUp(si int32) {
	sc := &m.scans.at[si]
	if m.cls[sc.class].effect != Replayable && m.ran(sc) {
		m.act.Abandon(sc.id)
	} else {
		var in time.Duration
		if m.advice {
			in = min(m.retryMost, time.Duration((0.5+m.dice.roll(sc.id))*max(m.lat.v, 0.1)*float64(time.Second)))
			if sc.kills || sc.full {
				in = time.Duration((0.5 + 0.5*m.dice.roll(sc.id)) * float64(m.retryMost))
			}
		}
		m.act.Throttle(sc.id, in)
	}
	m.finish(si)
}

// ran tells whether any part sent so far may have run; what is not proved otherwise may.
func (m *Mixer) ran(sc *scan) bool {
	return sc.ran || slices.ContainsFunc(sc.parts[sc.first:], func(pi int32) bool {
		_, ran := m.parts.at[pi].exposed()
		return ran
	})
}

func (m *Mixer) finish(si int32) {
	sc := &m.scans.at[si]
	if m.now > sc.at && m.mid > 0 {
		m.cls[sc.class].ratio.add(min(ratioMost, m.most(sc).Seconds()/m.mid), gainLat)
		m.stretch(sc)
	}
	delete(m.byID, sc.id)
	delete(m.byNo, sc.no)
	for _, pi := range sc.parts[sc.first:] {
		m.close(pi)
	}
	m.scans.drop(si)
}

// close marks a part's scan as over; its place is kept until its dispatches are back.
func (m *Mixer) close(pi int32) {
	p := &m.parts.at[pi]
	p.over = true
	m.recall(p)
	if p.live == 0 {
		delete(m.byID, p.id)
		m.parts.drop(pi)
	}
}

// impatience learns how long clients wait, from those that left and those that still got an answer. An answer
// from what is in, where that will do, goes out before most would leave: each that leaves is work for
// nothing, and comes again. It could cut scans short whose clients would have waited.
func (m *Mixer) impatience(c *class, waited time.Duration, left bool) {
	if !left {
		c.leaving *= 1 - leaveGain/2 // answered in time they stay, and would else be kept waiting again
		return
	}
	c.leaving += leaveGain * (1 - c.leaving) // one that leaves is no sign
	if c.patience == 0 {
		c.patience = waited
	}
	if waited < c.patience {
		c.patience = time.Duration(float64(c.patience) / (1 + 3*patienceStep))
	} else {
		c.patience = time.Duration(float64(c.patience) * (1 + patienceStep))
	}
}

// Left tells that the client has gone.
func (m *Mixer) Left(id uint64) {
	if i, ok := m.byID[id]; ok && i < 0 {
		sc := &m.scans.at[^i]
		m.impatience(&m.cls[sc.class], m.now-sc.at, true)
		m.finish(^i)
	}
}
