package brain

// What returns say of searchers.

import "time"

// Returned tells how a dispatch ended.
func (m *Mixer) Returned(id uint64, no int, out Outcome, took time.Duration) {
	pi, ok := m.byID[id]
	if !ok || pi < 0 {
		return
	}
	p := &m.parts.at[pi]
	if no >= len(p.tries) || !p.tries[no].out {
		return
	}
	t := &p.tries[no]
	t.out = false
	p.live--
	if out != Pass {
		p.failAt = m.now
	}
	if out == Pass && no > 0 && p.live > 0 && !p.in {
		m.extra.level += earnBack // a copy that overtook: lost parts earn further copies, a jam does not
	}
	t.never = out == NoRoom || out == NoRoute || out == Stale
	m.learn(p, t, out, took)
	if p.over {
		m.close(pi)
	} else if !p.in && !p.lost {
		m.scans.at[p.scan].next(m, p.scan, result{part: pi, pass: out == Pass, cut: out == Cut})
	}
}

// learn takes from a return what it says of the searcher.
func (m *Mixer) learn(p *part, t *try, out Outcome, took time.Duration) {
	s := &m.srvs[t.srv]
	s.parts--
	m.out--
	k := &m.calls.at[t.call]
	if k.left--; k.left == 0 {
		s.out--
		if s.call == t.call {
			s.call = -1
		}
		m.calls.drop(t.call)
	}
	spared := t.off && out == Undone // for no fault of the searcher
	lost := out == TooSlow || out == Undone && !spared || out == Cut
	if lost || out == Pass {
		was := m.idle[t.idle]
		m.idle[t.idle] += idleGain * (float64(b2i(lost)) - was)
		if lim := idleLost + 2*m.idle[0]; m.tells && t.idle > 0 && was <= lim && m.idle[t.idle] > lim {
			m.act.Tell([]byte{byte(t.idle)})
		}
	}
	if lost {
		s.doubt = true
		if m.lostIdle(t.idle) {
			return // the connection's fault, neither slow nor sick
		}
	}
	s.used = m.now
	x := took.Seconds()
	if t.strange && out != Stale {
		m.strange.add(float64(b2i(out != Pass)), gainLat)
	}
	switch out {
	case Pass:
		m.passed++
		s.doubt, s.idle = false, 0
		if s.down {
			// One that could not be reached and answers again has most likely just started, long before the list
			// tells. Against pushing it over with all that waited for it; it could starve one that was only full.
			s.back, s.down = m.now, false
			s.cold = bucket{at: m.now, level: m.dice.roll(0)}
		}
		if x < m.fast.v {
			m.fast.add(x, gainLat)
		} else {
			m.fast.add(x, gainLat/20)
		}
		s.fails, s.since, s.heard, s.box = 0, m.now, m.now, 0
		s.bad *= badGain
	case Fault:
		// A quick error must not read as a fast searcher.
		s.since, s.heard = m.now, m.now
		m.failed(s, 1)
		x = max(x, m.weigh(s), m.avg)
	case TooSlow, Undone:
		if !s.lat.heard || x < s.lat.v {
			return
		}
		if !spared && (t.at >= s.since || m.stuck(s)) {
			m.failed(s, 0)
		}
	case NoRoom:
		s.since = m.now
		if s.fullFrom <= s.heard {
			s.fullFrom = m.now
		}
		if !p.over {
			m.scans.at[p.scan].full = true
		}
		// Parts wait a little for room: asking every holder at once would use up their tries and lose the scan.
		s.full = m.now + time.Duration((0.5+m.dice.roll(p.id))*float64(boxFirst))
		// A full searcher reads as one that just misses the target, no more, or nothing would go again.
		x = max(x, m.cls[p.class].target.Seconds())
	case Cut:
		m.failed(s, 1)
		return
	case NoRoute:
		s.down = true
		m.failed(s, 0)
		return
	case Stale:
		return
	}
	old := s.lat
	s.lat.add(x, gainSrv)
	if s.state == Ready {
		m.latSum += s.lat.v - old.v
		m.latHeard += b2i(!old.heard)
	}
	if m.lat.heard {
		m.dev.add(min(clip*m.lat.v, max(x-m.lat.v, m.lat.v-x)), gainLat)
		x = min(x, clip*m.lat.v)
	}
	m.lat.add(x, gainLat)
	if m.mid == 0 {
		m.mid = x
	} else if x > m.mid {
		m.mid *= stepMid
	} else {
		m.mid /= stepMid
	}
	m.average()
}

// Probed tells that a searcher was probed so long ago, by any mixer, and whether it answered. A load report
// or a failure moves nothing: a probe is answered beside the queue, and fails where the way to one mixer is
// at fault. An answer ends the wait at one that could not be reached, which else waits for a part to be
// risked there.
func (m *Mixer) Probed(i int, ago time.Duration, answered bool) {
	if s := &m.srvs[i]; answered && s.down && m.now-ago > s.failAt {
		s.back, s.down, s.box = m.now, false, 0
		s.cold = bucket{at: m.now, level: m.dice.roll(0)}
	}
}

// failed keeps off a searcher after more failures in a row than excused, longer each time, with chance lest
// mixers come back in step. Parts of one call count once. One reset is excused, or resets leave nobody.
func (m *Mixer) failed(s *srv, excused int) {
	if s.failAt == m.now && s.fails > 0 {
		return
	}
	s.failAt = m.now
	s.bad += badGain * (1 - s.bad)
	if s.fails++; s.fails > excused {
		wait := min(boxMost, boxFirst<<min(s.fails-excused, 5))
		s.box = m.now + time.Duration((0.75+0.5*m.dice.roll(0))*float64(wait))
	}
}

// average is what a searcher not heard from counts as.
func (m *Mixer) average() {
	if m.avg = m.lat.v; m.latHeard > 0 {
		m.avg = m.latSum / float64(m.latHeard)
	}
}
