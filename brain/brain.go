package brain

// A front makes one Mixer per instance with New, sets its clock with At before each batch of events, and
// hands events over in the order they came: list entries, scans and their parts, returns, wakes. What is to
// be done comes out of the Actions given to New, within the call. The interface stands in types.go, the
// records in state.go, mechanical helpers in slab.go. Everything that is decided is decided here.

import (
	"cmp"
	"iter"
	"math"
	"math/bits"
	"slices"
	"time"
)

// Tuned values. Those that stand for a time are shares of something measured or told wherever one exists.
const (
	beat       = 50 * time.Millisecond  // how often waiting things are looked at again
	gainLat    = 0.08                   // smoothing of this mixer's part latency
	stepMid    = 1.04                   // step of its median
	admitShare = 0.8                    // of the time left that a scan may be expected to take
	gainSrv    = 0.2                    // smoothing of one searcher's latency
	clip       = 3.0                    // one sample counts as this many times the mean at most
	narrowRate = 0.6                    // share given up a second at the threshold
	floorSpare = 0.2                    // of the way from floor to need, kept: else one lost part loses all
	unevenMost = 1.5                    // what is out at the busiest searcher, in what is out at one on average
	poorMost   = 3.0                    // how much sooner a scan is throttled for its benefit a part
	overPoor   = 2.0                    // the same for a tenant over its share
	quotaBrim  = 2 * time.Second        // of its share that a tenant may ask at once
	widenRate  = 0.12                   // share regained a second
	nearShare  = 0.6                    // of its target: a scan that took longer moves the threshold
	mostShare  = 0.9                    // of a step's parts
	passShare  = 0.75                   // of them, when the rest waits at sick searchers
	nearGain   = 0.5                    // of the way, for each such scan
	ratioMost  = 4.0                    // part latencies; a scan counts as no longer
	nearBack   = 0.02                   // of the way back to the target, for each other scan
	thrClear   = 2.0                    // quick part latencies; the threshold goes no lower
	quickSpan  = 300 * time.Millisecond // over which the best pace of passes is taken
	peakFade   = 20 * time.Second       // over which the most seen is forgotten
	knownLeast = 100                    // passes before that pace is trusted
	hedgeDevs  = 3.0                    // mean deviations past the mean at which a part counts as late
	hedgeWorse = 1.2                    // times as slow as another holder: from there a late part is sent again
	silentLats = 2.5                    // a searcher silent for so many part latencies counts as stuck
	lateCut    = 0.7                    // of the time from target to end, for which no early dispatch waits
	lastTry    = 3.0                    // expected times; with more left the last try waits for a sound holder
	wideShare  = 0.25                   // of the searchers; a scan of more parts might take too many down
	waryFor    = 10 * time.Second       // after a connection broke, how long repeats are tried by one part first
	extraShare = 0.1                    // further dispatches allowed for each first one
	extraBrim  = 15.0
	earnBack   = 0.8                    // of a copy's allowance is returned when it overtakes
	askFirst   = 500 * time.Millisecond // till a failed list call is made again, at first
	boxFirst   = 250 * time.Millisecond // how long a failing searcher is kept off, at first
	boxMost    = 4 * time.Second        // and at most
	fadeBad    = 10 * time.Second       // after so long without a failure those of a searcher count half
	badGain    = 0.5                    // of the way to always, for each failure; of that kept, for each pass
	fadeBack   = 5 * time.Second        // after so long without news a latency is half way to the average
	busyLeast  = 0.4                    // no less busy than this are searchers held to be
	idleUnit   = 250 * time.Millisecond // shortest idle time told apart from use; from there by doubling
	idleGain   = 0.12                   // smoothing of the losses after such a time
	idleLost   = 0.2                    // share lost after which connections so long idle are not used again
	rumourFor  = 5 * time.Second        // after so long a rumour is forgotten
	rumourMany = 3                      // mixers that must tell the same
	idleFade   = 30 * time.Second       // over which that is forgotten
	strangeTop = 0.8                    // losses among those not heard from, at most
	coreSure   = 0.5                    // of one core's pace is held to be there in any searcher
	coldPace   = 0.75                   // of its budget that a cold searcher gets evenly, the rest at once
	eps        = 5e-5
)

// New starts a mixer that knows nothing but its settings.
func New(s Settings, act Actions, now time.Duration) *Mixer {
	m := &Mixer{act: act, now: now, dice: newDice(s.Seed, s.Me), byID: map[uint64]int32{},
		byNo: map[uint64]int32{}, reach: s.Reach, bundle: max(1, s.PartsPerCall), tries: max(1, s.MaxTries),
		mixers: float64(max(1, s.Mixers)), copies: s.SecondCopies, cancels: s.MayCancel, tells: s.MayTell, advice: s.RetryAdvice, round: s.Round,
		retryMost: s.MaxRetryIn, askEvery: s.AskEvery, coldFor: s.ColdFor, fallSpan: s.FallSpan,
		coldShare: s.ColdShare, fallMult: s.FallMultiple, budgeted: s.Budgeted, budFree: s.BudgetFree,
		budShare: s.BudgetShare, budSpan: s.BudgetSpan}
	for _, t := range s.Types {
		m.least = min(cmp.Or(m.least, t.Target), t.Target)
		m.cls = append(m.cls, class{target: t.Target, timeout: t.Timeout, window: t.RepeatWindow,
			stretch: t.Stretch, benefit: max(t.Benefit, eps), late: t.LateShare > 0, effect: t.Effect, need: t.Need,
			floor: t.Floor, least: t.Floor + floorSpare*(t.Need-t.Floor), second: t.SecondStep,
			thr: t.Target.Seconds(), share: 1})
	}
	for _, q := range s.Quotas {
		m.quota = append(m.quota, q/m.mixers)
		m.tenants = append(m.tenants, bucket{level: q, at: now})
	}
	m.cells = make([][]int32, s.Cells)
	m.extra.level, m.beatAt = extraBrim, now
	if s.AskFor {
		act.Subscribe()
	}
	act.Wake(now+beat, 0)
	return m
}

// At sets the clock; it never goes back.
func (m *Mixer) At(now time.Duration) { m.now = max(m.now, now) }

// ListBegin opens a list event; its entries follow, then ListEnd.
func (m *Mixer) ListBegin(mode ListMode) {
	if mode == Failed {
		// Asking at once again would add to what keeps the list service from answering.
		m.askBack = min(max(2*m.askBack, askFirst), m.askEvery/4)
		m.askAt = m.now + time.Duration(float64(m.askBack)*(0.75+0.5*m.dice.roll(0)))
		return
	}
	m.askBack = 0
	if mode != Changes {
		for i := range m.srvs {
			m.srvs[i].listed = false
		}
	}
}

// ListEntry tells of one searcher.
func (m *Mixer) ListEntry(i int, st Standing, weight float64, started time.Duration, cell int) {
	for len(m.srvs) <= i {
		m.srvs = append(m.srvs, m.unknown())
	}
	s := &m.srvs[i]
	if s.started != started || (s.state == Gone && st == Ready) {
		// What an earlier process showed says nothing of the one that took its place.
		s.lat, s.fails, s.box, s.full, s.down, s.bad = smooth{}, 0, 0, 0, false, 0
		s.cold = bucket{at: m.now, level: m.dice.roll(0)}
	}
	s.listed, s.state, s.weight, s.started, s.cell = true, st, weight, started, cell
}

// ListEnd closes a list event.
func (m *Mixer) ListEnd(mode ListMode) {
	for c := range m.cells {
		m.cells[c] = m.cells[c][:0]
	}
	m.ready, m.meanWeight, m.latSum, m.latHeard = 0, 0, 0, 0
	for i := range m.srvs {
		s := &m.srvs[i]
		if (mode == Whole || mode == Remembered) && !s.listed {
			s.state = Gone
		}
		if s.state == Ready && s.cell >= 0 && s.cell < len(m.cells) {
			m.cells[s.cell] = append(m.cells[s.cell], int32(i))
			m.ready++
			m.meanWeight += (s.weight - m.meanWeight) / float64(m.ready)
		}
		if s.state == Ready {
			m.latSum += s.lat.v
			m.latHeard += b2i(s.lat.heard)
		}
	}
	m.average()
}

// Scan takes a scan; its parts follow.
func (m *Mixer) Scan(id, no uint64, cl, tenant int, left, work time.Duration, parts int, repeat bool) {
	i := m.scans.take()
	sc := &m.scans.at[i]
	c := &m.cls[cl]
	keep := sc.parts[:0]
	*sc = scan{id: id, no: no, class: int32(cl), tenant: int32(tenant), at: m.now, expect: parts, parts: keep,
		repeat: repeat, next: gather}
	// A repeat has used up part of its target time: what is missing from a first try's length tells how much, if
	// marked and while first tries are of one length: clients that suddenly wait less still get full benefit.
	share := left.Seconds() / c.timeout.Seconds()
	c.tryMax = max(share, c.tryMax)
	short := share < 0.98*c.tryMax
	var used time.Duration
	if !repeat {
		c.short.add(float64(b2i(short)), gainLat)
	} else if short && c.short.v < 0.1 {
		used = c.timeout - left
	}
	target := min(c.timeout, c.target+time.Duration(c.stretch*float64(work)))
	sc.end = m.now + left - 2*m.round
	sc.target = min(sc.end, m.now+target-used-3*m.round)
	m.byID[id] = ^i
	m.byNo[no] = i
	m.taken.add(m.now, m.budSpan)
	// Wakes of its own: the beat is too coarse for a scan none of whose dispatches reports the time.
	token := uint64(m.scans.gen[i])<<32 | uint64(i+1)
	m.act.Wake(sc.target, token)
	m.act.Wake(sc.end, token)
	if parts <= 0 {
		m.giveUp(i)
	}
}

// Part takes one part of a scan that was handed over before.
func (m *Mixer) Part(id, no uint64, shard int, weight float64) {
	m.taken.add(m.now, m.budSpan)
	si, ok := m.byNo[no]
	if !ok {
		return
	}
	pi := m.parts.take()
	p := &m.parts.at[pi]
	keep := p.tries[:0]
	sc := &m.scans.at[si]
	*p = part{id: id, scan: si, class: sc.class, shard: shard, weight: weight, tries: keep}
	p.tie = m.dice.roll(id)
	m.byID[id] = pi
	sc.next(m, si, result{part: pi})
}

// gather waits for the parts of a step, then sends what is to be sent.
func gather(m *Mixer, si int32, r result) {
	sc := &m.scans.at[si]
	if r.part < 0 {
		if m.now >= sc.end {
			m.giveUp(si)
		}
		return
	}
	sc.parts = append(sc.parts, r.part)
	if len(sc.parts)-sc.first < sc.expect {
		return
	}
	if sc.step > 0 || m.admit(sc) {
		m.launch(si)
	} else {
		m.giveUp(si)
	}
}

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
	if m.overShare(sc) {
		poor *= overPoor
	}
	return m.wait(max(1, c.ratio.v), c.size.v/max(m.size.v, eps))*poor < admitShare*left
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
	return max(lat, float64(m.out)/max(m.peak, eps))
}

// wait is how long a scan would take that takes so many part latencies and is so many times as wide as others: of
// the median one, which a few sick searchers do not move, or of less where Little's law (parts out over parts passed
// a second) says less, lest a slow spell be remembered for ever. In quiet hours the law alone would not do; where
// other mixers alone keep the searchers busy it lets the first scans in. What is out drains once for a narrow scan:
// counted for each of its latencies, two wide ones at once had narrow ones turned away by a half idle fleet. A wide
// one meets all that is out at nearly every searcher, and its slowest part the worst of it: for it the wait grows
// with its width. It could turn wide scans away by a fleet that is jammed in one place.
func (m *Mixer) wait(ratio, wide float64) float64 {
	if m.carried == 0 {
		return 0
	}
	law := float64(m.out) / max(m.rate.v, m.carried*float64(m.ready)/2)
	return min(max(m.mid*ratio, min(ratio, unevenMost*max(1, wide))*m.press(m.mid)), ratio*law)
}

// launch sends the heaviest parts up to the class's share, once for each step.
func (m *Mixer) launch(si int32) {
	sc := &m.scans.at[si]
	sc.next = collect
	c := &m.cls[sc.class]
	ps := sc.parts[sc.first:]
	slices.SortFunc(ps, func(a, b int32) int {
		x, y := &m.parts.at[a], &m.parts.at[b]
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.tie, y.tie))
	})
	share, spare := 2.0, 0.0
	if sc.step == 0 && c.floor < c.need {
		share, spare = c.share, 1-c.least
	}
	sent, sum := 0, 0.0
	for _, pi := range ps {
		p := &m.parts.at[pi]
		if hot := spare >= p.weight && m.hopeless(p, sc); hot || share < 1 && sum >= share-eps {
			if hot {
				spare -= p.weight
			}
			sc.gone += p.weight
			m.close(pi)
			continue
		}
		sum += p.weight
		ps[sent] = pi
		sent++
	}
	sc.parts = sc.parts[:sc.first+sent]
	fair := m.fair(sc)
	// While connections break, a repeat or a scan that meets much of the fleet goes out by one part until that
	// has passed: it may be what kills searchers, and would take them all. It costs sound ones a part latency.
	sc.alone = sc.step == 0 && m.now < m.wary && (sc.repeat || float64(sent) > wideShare*float64(m.ready))
	for _, pi := range sc.parts[sc.first:] {
		if sc.alone && pi != sc.parts[sc.first] {
			break
		}
		m.extra.level = min(extraBrim, m.extra.level+extraShare)
		m.dispatch(pi, fair)
	}
	m.judge(si)
}

// hopeless is the exception for a hot heavy shard: a part no holder is expected to answer in time is left out
// though heavy, if the rest stays above the narrowest share. Also against shards without a holder.
func (m *Mixer) hopeless(p *part, sc *scan) bool {
	best := m.pick(p, 1)
	return m.orphan(p) || best >= 0 && m.weigh(&m.srvs[best]) > (m.cutAt(sc)-m.now).Seconds()
}

// orphan tells that the list names nobody for a part's shard.
func (m *Mixer) orphan(p *part) bool {
	for range m.holders(p.shard) {
		return false
	}
	return true
}

// holders walks the searchers that may be sent a shard's parts.
func (m *Mixer) holders(shard int) iter.Seq[int32] {
	return func(yield func(int32) bool) {
		for j := range min(m.reach, len(m.cells)) {
			for _, i := range m.cells[(shard+j)%len(m.cells)] {
				if !yield(i) {
					return
				}
			}
		}
	}
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

// Heard takes what another mixer tells: that it loses what it sends on connections idle for so long. Against all of
// many mixers losing a scan each to find out the same. Believed once some say so within seconds, as one may be cut off
// or take hung searchers for it; it fades as a finding of this mixer's own would. It could cost handshakes.
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

// triesAt is how many dispatches a part is expected to take at a searcher, by what it lately lost. Against those that
// fail some parts quickly, or fall silent by turns, and count as sound between. It could crowd their neighbours.
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
		cost := m.weigh(s) * m.triesAt(s) * out
		if rank < bestRank || (rank == bestRank && cost < bestCost) {
			best, bestRank, bestCost = i, rank, cost
		}
	}
	return best
}

func (m *Mixer) joins(s *srv, n int) bool {
	return s.call >= 0 && s.callAt == m.now && m.calls.at[s.call].total < n
}

// dispatch sends a part, first or again; false if it may not go or nobody can take it now.
func (m *Mixer) dispatch(pi int32, fair int) bool {
	p := &m.parts.at[pi]
	sc := &m.scans.at[p.scan]
	if !m.may(p, sc) {
		return false
	}
	i := m.pick(p, fair)
	if i < 0 {
		return false
	}
	s := &m.srvs[i]
	again := len(p.tries) > 0
	if again && len(p.tries) == m.tries-1 && m.timeLeft(sc) > lastTry*m.avg &&
		(m.sick(s) || m.now < p.failAt+boxFirst) {
		// Holders that are down or full say so at once: against a part lost before one of them is back.
		return false
	}
	if !m.joins(s, fair) {
		s.call = m.calls.take()
		m.calls.at[s.call] = call{}
		s.callAt = m.now
		s.out++
	}
	k := &m.calls.at[s.call]
	k.total++
	k.left++
	if s.parts == 0 {
		s.since = m.now
		if s.idle = m.idleFor(s); s.doubt || m.lostIdle(s.idle) {
			m.act.Renew(int(i))
			s.doubt, s.idle = false, 0
		}
	}
	s.parts++
	m.out++
	s.cold.level--
	if again {
		m.agains.add(m.now, m.budSpan)
	}
	// Not waited for to the end: in a jam the queues would fill with what is too late in any case.
	until := sc.end
	if m.now < sc.target {
		if until = sc.target; m.cls[sc.class].late {
			until = sc.end - time.Duration(lateCut*float64(sc.end-sc.target))
		}
	}
	p.tries = append(p.tries, try{srv: i, call: s.call, at: m.now, idle: s.idle, out: true,
		strange: !s.lat.heard || m.now-s.heard > fadeBack})
	s.used = m.now
	p.live++
	m.act.Dispatch(p.id, int(i), max(until, m.now+m.round))
	return true
}

// may holds the rules on sending a part.
func (m *Mixer) may(p *part, sc *scan) bool {
	if p.over || p.in || p.lost || len(p.tries) >= m.tries || m.now >= sc.end {
		return false
	}
	if len(p.tries) == 0 {
		return true
	}
	c := &m.cls[p.class]
	from, ran := p.exposed()
	switch {
	case p.live > 0 && !m.copies, ran && !m.repeatable(c, from, 2):
		return false
	}
	if m.budgeted {
		room := m.budFree + m.budShare*float64(m.taken.low(m.now, m.budSpan))
		return float64(m.agains.high(m.now, m.budSpan)+1) <= room
	}
	return true
}

// repeatable tells whether a part that may have run since then may go again, that many rounds from now.
func (m *Mixer) repeatable(c *class, since time.Duration, rounds int) bool {
	return c.effect == Replayable || c.effect == Keyed && m.now-since < c.window-time.Duration(rounds)*m.round
}

// exposed is when the first dispatch went out that is not proved never to have run, if there is one.
func (p *part) exposed() (at time.Duration, ran bool) {
	for i := range p.tries {
		if t := &p.tries[i]; !t.never {
			return t.at, true
		}
	}
	return 0, false
}

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

// again sends a part that failed, or that was kept back, to a holder, if that can still help.
func (m *Mixer) again(pi int32, sc *scan) {
	p := &m.parts.at[pi]
	// A scan cut off while no part has passed may itself kill searchers, one a dispatch. Its parts wait for
	// a pass; with none to wait for, two cuts end it. Crashes leave some to pass, but hardly of two or three.
	if (sc.alone || sc.cuts > 0) && sc.pass == 0 && len(sc.parts)-sc.first > 1 {
		if slices.ContainsFunc(sc.parts[sc.first:], func(i int32) bool { return m.parts.at[i].live > 0 }) {
			return
		}
		sc.kills = sc.cuts > 1
	}
	if !sc.kills && m.timeLeft(sc) > m.avg && m.dispatch(pi, 1) {
		return
	}
	_, ran := p.exposed()
	if sc.kills || len(p.tries) >= m.tries || ran && m.cls[p.class].effect == NonReplayable {
		p.lost = true
		sc.gone += p.weight
	}
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
	at := sc.target
	if c := &m.cls[sc.class]; sc.step == 0 && c.second > 0 {
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
			if sc.kills {
				in = m.retryMost
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

// recall calls off what is still out of a part that needs it no more: it frees places in the queues of searchers
// that heed it. Not where copies are barred: there a mixer on sockets waits for proof of each. Nor at a searcher that
// has fallen silent: how that ends tells whether it can be reached.
func (m *Mixer) recall(p *part) {
	if !m.copies || !m.cancels {
		return
	}
	for no := range p.tries {
		if t := &p.tries[no]; t.out && !t.off && !m.silent(m.now-max(t.at, m.srvs[t.srv].since)) {
			t.off = true
			m.act.Cancel(p.id, no)
		}
	}
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

// Left tells that the client has gone.
func (m *Mixer) Left(id uint64) {
	if i, ok := m.byID[id]; ok && i < 0 {
		m.finish(^i)
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

// Probed tells that a searcher was probed so long ago, by any mixer, and whether it answered. A load report or a
// failure moves nothing: a probe is answered beside the queue, and fails where the way to one mixer is at fault. An
// answer ends the wait at one that could not be reached, which else waits for a part to be risked there.
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

// Woke is the beat: shares move, late parts go elsewhere, what waits is looked at again.
func (m *Mixer) Woke(token uint64) {
	if token != 0 {
		if i := int32(uint32(token)) - 1; m.scans.holds(i, uint32(token>>32)) {
			m.scans.at[i].next(m, i, result{part: -1})
		}
		return
	}
	m.act.Wake(m.now+beat, 0)
	dt := (m.now - m.beatAt).Seconds()
	m.beatAt = m.now
	if dt > 0 {
		// The most that a searcher was lately seen to carry for this mixer, forgotten slowly.
		pace := float64(m.passed) / dt
		m.known += m.passed
		m.quick.add(pace, min(1, dt/quickSpan.Seconds()))
		m.peak = max(m.peak*(1-dt/peakFade.Seconds()), m.quick.v)
		m.rate.add(pace, min(1, dt))
		m.served.add(pace/float64(max(m.ready, 1)), min(1, dt/4))
		m.carried = max(m.carried*(1-dt/peakFade.Seconds()), m.served.v)
		m.passed = 0
		for k := range m.idle {
			m.idle[k] *= 1 - min(1, dt/idleFade.Seconds())
		}
		if m.out == 0 {
			// Without news an old slow spell fades, but not a jam between two of a mixer's few scans.
			m.lat.v *= 1 - min(1, dt/fadeBack.Seconds())
			m.mid *= 1 - min(1, dt/fadeBack.Seconds())
		}
	}
	if m.askAt > 0 && m.now >= m.askAt {
		m.act.Subscribe()
		m.askAt = 0
	}
	press := m.press(m.lat.v)
	low := math.Inf(1)
	for i := range m.cls {
		if c := &m.cls[i]; c.thr < c.target.Seconds() {
			low = min(low, c.thr)
		}
	}
	for i := range m.cls {
		c := &m.cls[i]
		// A latency at which any table type is known to get near its target counts for all: against wide scans
		// that are still in time themselves and make the narrow ones late.
		if thr := min(c.thr, low); press > thr {
			c.share -= narrowRate * dt * min(2, press/thr)
		} else {
			c.share += widenRate * dt
		}
		c.share = min(1, max(c.share, c.least))
	}
	for i := range m.scans.at {
		if m.scans.used[i] {
			m.tend(int32(i))
		}
	}
}

// tend looks after a scan that waits: parts nobody took yet, and parts that are late.
func (m *Mixer) tend(si int32) {
	sc := &m.scans.at[si]
	m.mostIn(sc)
	if !sc.taught && m.most(sc).Seconds() > nearShare*m.cls[sc.class].target.Seconds() {
		sc.taught = true
		m.stretch(sc)
	}
	if m.timeLeft(sc) > m.avg {
		for _, pi := range sc.parts[sc.first:] {
			if p := &m.parts.at[pi]; p.in || p.lost {
				continue
			} else if p.live == 0 {
				m.again(pi, sc)
			} else if sc.cuts == 0 || sc.pass > 0 {
				m.hasten(pi)
			}
		}
	}
	sc.next(m, si, result{part: -1})
}

// hasten sends a late part elsewhere too, or, where copies are barred, calls it off to do so.
func (m *Mixer) hasten(pi int32) {
	p := &m.parts.at[pi]
	t := &p.tries[len(p.tries)-1]
	s := &m.srvs[t.srv]
	stuck := m.stuck(s)
	late := (m.now - t.at).Seconds() >= m.lat.v+hedgeDevs*m.dev.v
	if !m.lat.heard || !late && !stuck || m.extra.level < 1 || p.live > 1 {
		return // also when all holders are slow alike: a second copy only adds to the jam
	}
	i := m.pick(p, 1)
	if i < 0 || !stuck && m.weigh(s) < hedgeWorse*m.weigh(&m.srvs[i]) {
		return
	}
	if m.copies {
		if m.dispatch(pi, 1) {
			m.extra.level--
		}
	} else if o := &m.srvs[i]; stuck && m.cancels && len(p.tries) < m.tries && m.repeatable(&m.cls[p.class], p.tries[0].at, 4) &&
		!m.sick(o) && m.weigh(s) > silentLats*m.weigh(o) {
		// Calling off gives up a place in a queue, and what runs may go on: only for a sound holder that is clearly
		// quicker. Else a jam or a lost room, which leave none, would be fed with the same work again.
		m.act.Cancel(p.id, len(p.tries)-1)
		m.extra.level--
	}
}
