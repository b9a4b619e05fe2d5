package brain

// Which searcher takes a part: the replica rule, and what keeps searchers from being taken.

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// hopeless is the exception for a hot heavy shard: a part no holder is expected to answer in time is left out
// though heavy, if the rest stays above the narrowest share. Also against shards without a holder.
func (m *Mixer) hopeless(p *part, sc *scan) bool {
	best := m.pick(p, 1)
	return m.orphan(p) || best >= 0 && m.weigh(&m.srvs[best]) > (m.cutAt(sc)-m.now).Seconds()
}

// tie orders parts of one weight: by how soon the shard's best searcher should answer if asked for, else by the dice.
func (m *Mixer) tie(p *part) float64 {
	if m.soonest {
		if i := m.pick(p, 1); i >= 0 {
			return m.weigh(&m.srvs[i]) * float64(m.srvs[i].out+1)
		}
	}
	return m.dice.roll(p.id)
}

// noRoom tells that every holder of a part's shard has turned parts away as full for a while: what waits for
// one is best asked again later. For a moment a part waits. It could give up as they have just got room.
func (m *Mixer) noRoom(p *part) bool {
	some := false
	for i := range m.holders(p.shard) {
		if s := &m.srvs[i]; m.now >= s.full || m.now-s.fullFrom < boxFirst {
			return false
		}
		some = true
	}
	return some
}

// idleFor says in which step of doubling a searcher's connection has lain idle; 0 is a new one or one in use.
func (m *Mixer) idleFor(s *srv) int {
	if s.used == LongAgo {
		return 0
	}
	return min(len(m.idle)-1, bits.Len64(uint64((m.now-s.used)/idleUnit)))
}

// lostIdle tells that what is sent on connections idle for so long, or for less, is lately lost. Against any
// dropped unseen, which show as silence or resets at sound searchers: the loss follows the idle time and ends
// with a new connection. In a jam it may open connections without need, which costs a handshake each.
func (m *Mixer) lostIdle(n int) bool {
	return slices.ContainsFunc(m.idle[1:n+1], func(lost float64) bool { return lost > idleLost })
}

// Heard takes what another mixer tells: that it loses what it sends on connections idle for so long. Against
// all of many mixers losing a scan each to find out the same. Believed once some say so within seconds, as
// one may be cut off or take hung searchers for it; it fades as a finding of this mixer's own would. It could
// cost handshakes.
func (m *Mixer) Heard(from int, news []byte) {
	for _, n := range news {
		if n == 0 || int(n) >= len(m.idle) {
			continue
		}
		r := &m.rumours[n]
		if m.now-r.at > rumourFor {
			r.tellers = 0
		}
		if r.tellers == 0 || r.from != from {
			r.tellers++
		}
		if r.from, r.at = from, m.now; r.tellers >= rumourMany {
			m.idle[n] = max(m.idle[n], idleLost+idleGain)
		}
	}
}

// fair is how many parts of a scan may ride in one call before the call weighs like another.
func (m *Mixer) fair(sc *scan) int {
	n := 0
	m.turn++
	for _, pi := range sc.parts[sc.first:] {
		for i := range m.holders(m.parts.at[pi].shard) {
			n += b2i(m.srvs[i].turn != m.turn)
			m.srvs[i].turn = m.turn
		}
	}
	return min(m.bundle, (len(sc.parts)-sc.first+max(n, 1)-1)/max(n, 1))
}

// coldRoom guards against pushing over a searcher that has just started: what this mixer sends it in any
// span stays under its share of what the searcher can take, judged by what others of its size were seen to
// carry for this mixer and how busy they seem. Too little here harms as well: releases then leave few others.
func (m *Mixer) coldRoom(s *srv) bool {
	start := max(s.started, s.back)
	if start == LongAgo || m.now-start >= m.coldFor+m.fallSpan {
		return true
	}
	span := m.fallSpan.Seconds()
	age := max(0, m.now-start-m.fallSpan) // the capacity at the start of the span, the least in it
	warm := m.coldShare + (1-m.coldShare)*min(1, float64(age)/float64(m.coldFor))
	// The others carry what they do at some share of their capacity; latency beside the best one tells which.
	busy := math.Sqrt(max(busyLeast*busyLeast, 1-m.fast.v/max(m.lat.v, 1e-3)))
	able := max(m.carried, m.served.v/busy) * min(1, s.weight/max(m.meanWeight, eps))
	// Having seen little a mixer counts on its share of a core, not on some parts for itself: with many mixers
	// those add up to more than the searcher can take. Dice set where each begins.
	work := m.least.Seconds()
	if m.fast.heard {
		work = max(m.lat.v, m.fast.v)
	}
	budget := m.fallMult * warm * max(able, coreSure/(work*m.mixers)) * span
	return s.cold.fill(m.now, coldPace*budget/span, max(1, (1-coldPace)*budget)) >= 1
}

// weigh is a searcher's latency as the replica rule sees it.
func (m *Mixer) weigh(s *srv) float64 {
	// Those not heard from count as average, times the tries it lately takes to be heard by their like. Against
	// sick searchers that each of many mixers would have to find for itself. It could crowd the few heard.
	lat := m.avg / (1 - min(m.strange.v, strangeTop))
	if s.lat.heard {
		// Old news fades, or a searcher that was slow once would never be tried again.
		idle := float64(m.now - s.heard)
		lat += (s.lat.v - lat) * float64(fadeBack) / (idle + float64(fadeBack))
	}
	if s.parts > 0 {
		lat = max(lat, (m.now - s.since).Seconds())
	}
	return max(lat, 1e-3)
}

// triesAt is how many dispatches a part is expected to take at a searcher, by what it lately lost. Against
// those that fail some parts quickly, or fall silent by turns, and count as sound between. It could crowd
// their neighbours.
func (m *Mixer) triesAt(s *srv) float64 {
	return 1 / (1 - s.bad*float64(fadeBad)/float64(m.now-s.failAt+fadeBad))
}

// stuck guards against a searcher that takes parts and answers none.
func (m *Mixer) stuck(s *srv) bool { return s.parts > 0 && m.silent(m.now-s.since) }

// silent tells that nothing for so long is longer than a part takes.
func (m *Mixer) silent(d time.Duration) bool {
	return m.lat.heard && d.Seconds() > silentLats*m.lat.v+hedgeDevs*m.dev.v
}

// sick tells of a searcher kept off after failures, but for one part at a time to try it, or of a silent
// one; one that could not be reached waits behind sound holders till a list could have told of it, as a
// mixer with few scans would else risk the connect time there in each. It could leave one that is back
// unused while others are sound.
func (m *Mixer) sick(s *srv) bool {
	return m.now < s.box || s.fails > 0 && s.parts > 0 || m.stuck(s) || s.down && m.now-s.failAt < m.askEvery
}

// pick applies the replica rule among the shard's holders; sound ones go first, ones tried already last.
func (m *Mixer) pick(p *part, fair int) int32 {
	best, bestRank, bestCost := int32(-1), 9, 0.0
	for i := range m.holders(p.shard) {
		s := &m.srvs[i]
		// One that cannot be reached is tried by one part at a time though nobody else be left: the others
		// keep their tries, and it is not met by all of them in the moment that it is back.
		if m.now < s.full || s.down && s.parts > 0 || !m.coldRoom(s) {
			continue
		}
		rank := 0
		if m.sick(s) {
			rank = 1
		}
		for t := range p.tries {
			if p.tries[t].srv == i {
				rank = max(rank, 2)
				if p.tries[t].out {
					rank = 9
				}
			}
		}
		out := float64(s.out + 1)
		if m.joins(s, fair) {
			out--
		}
		cost := m.near(s, m.weigh(s)*m.triesAt(s)*out/m.cls[p.class].target.Seconds())
		if rank < bestRank || (rank == bestRank && cost < bestCost) {
			best, bestRank, bestCost = i, rank, cost
		}
	}
	return best
}

// near has a holder close by go first while its cost is a small share of the target: what crosses zones is slower and
// dear, and a farther one is no use until the near one is crowded. It could let near ones fill before far ones are used.
func (m *Mixer) near(s *srv, cost float64) float64 {
	if cost > nearEnough {
		return farthest + cost
	}
	return float64(s.far) + cost
}

func (m *Mixer) joins(s *srv, n int) bool {
	return s.call >= 0 && s.callAt == m.now && m.calls.at[s.call].total < n
}
