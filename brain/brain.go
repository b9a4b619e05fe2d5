package brain

// A front makes one Mixer per instance with New, sets its clock with At before each batch of events, and
// hands events over in the order they came: list entries, scans and their parts, returns, wakes. What is to
// be done comes out of the Actions given to New, within the call. The interface stands in types.go, the
// records in state.go, mechanical helpers in slab.go. What is decided is decided here, in admit.go (what is
// turned away), pick.go (which searcher), send.go (what goes out, again or is called off), end.go (when a
// scan ends, and how) and learn.go (what returns say).

import (
	"math"
	"time"
)

// Tuned values. Those that stand for a time are shares of something measured or told wherever one exists.
const (
	beat         = 50 * time.Millisecond  // how often waiting things are looked at again
	gainLat      = 0.08                   // smoothing of this mixer's part latency
	stepMid      = 1.04                   // step of its median
	gainSrv      = 0.2                    // smoothing of one searcher's latency
	clip         = 3.0                    // one sample counts as this many times the mean at most
	narrowRate   = 0.6                    // share given up a second at the threshold
	floorSpare   = 0.2                    // of the way from floor to need, kept: else one lost part loses all
	unevenMost   = 1.5                    // what is out at the busiest searcher, in what is out at a mean one
	poorMost     = 3.0                    // how much sooner a scan is throttled for its benefit a part
	overPoor     = 2.0                    // the same for a tenant over its share
	quotaBrim    = 2 * time.Second        // of its share that a tenant may ask at once
	widenRate    = 0.12                   // share regained a second
	nearShare    = 0.6                    // of its target: a scan that took longer moves the threshold
	mostShare    = 0.9                    // of a step's parts
	passShare    = 0.75                   // of them, when the rest waits at sick searchers
	nearGain     = 0.5                    // of the way, for each such scan
	ratioMost    = 4.0                    // part latencies; a scan counts as no longer
	nearBack     = 0.02                   // of the way back to the target, for each other scan
	thrClear     = 2.0                    // quick part latencies; the threshold goes no lower
	quickSpan    = 300 * time.Millisecond // over which the best pace of passes is taken
	peakFade     = 20 * time.Second       // over which the most seen is forgotten
	knownLeast   = 100                    // passes before that pace is trusted
	hedgeDevs    = 3.0                    // mean deviations past the mean at which a part counts as late
	hedgeWorse   = 1.2                    // times as slow as another holder: then a late part is sent again
	silentLats   = 2.5                    // a searcher silent for so many part latencies counts as stuck
	lateCut      = 0.3                    // of the time from target to end, for which no early dispatch waits
	lastTry      = 3.0                    // expected times; with more left the last try waits for a sound holder
	wideShare    = 0.25                   // of the searchers; a scan of more parts might take too many down
	waryFor      = 10 * time.Second       // after a connection broke, how long repeats go by one part first
	extraShare   = 0.1                    // further dispatches allowed for each first one
	extraBrim    = 15.0
	earnBack     = 0.8                    // of a copy's allowance is returned when it overtakes
	askFirst     = 500 * time.Millisecond // till a failed list call is made again, at first
	starveShare  = 0.15                   // of its target, after which a part waits no more for room in the budget
	boxFirst     = 250 * time.Millisecond // how long a failing searcher is kept off, at first
	boxMost      = 4 * time.Second        // and at most
	fadeBad      = 10 * time.Second       // after so long without a failure those of a searcher count half
	badGain      = 0.5                    // of the way to always, for each failure; of that kept, for each pass
	leaveSome    = 0.1                    // share of clients that leave, from which their patience counts
	leaveGain    = 0.05                   // its smoothing
	patienceStep = 0.05                   // by which its quarter moves
	fadeBack     = 5 * time.Second        // after so long without news a latency is half way to the average
	busyLeast    = 0.4                    // no less busy than this are searchers held to be
	idleUnit     = 250 * time.Millisecond // shortest idle time told apart from use; from there by doubling
	idleGain     = 0.12                   // smoothing of the losses after such a time
	idleLost     = 0.2                    // share lost after which connections so long idle are not used again
	rumourFor    = 5 * time.Second        // after so long a rumour is forgotten
	rumourMany   = 3                      // mixers that must tell the same
	idleFade     = 30 * time.Second       // over which that is forgotten
	strangeTop   = 0.8                    // losses among those not heard from, at most
	coreSure     = 0.5                    // of one core's pace is held to be there in any searcher
	coldPace     = 0.75                   // of its budget that a cold searcher gets evenly, the rest at once
	nearEnough   = 0.4                    // of the target: a holder close by that costs no more goes first
	farthest     = 3.0                    // above any distance told
	eps          = 5e-5
)

// New starts a mixer that knows nothing but its settings.
func New(s Settings, act Actions, now time.Duration) *Mixer {
	m := &Mixer{act: act, now: now, dice: newDice(s.Seed, s.Me), byID: map[uint64]int32{},
		byNo: map[uint64]int32{}, reach: s.Reach, bundle: max(1, s.PartsPerCall), tries: max(1, s.MaxTries),
		mixers: float64(max(1, s.Mixers)), copies: s.SecondCopies, cancels: s.MayCancel,
		tells: s.MayTell, advice: s.RetryAdvice, round: s.Round,
		retryMost: s.MaxRetryIn, askEvery: s.AskEvery, coldFor: s.ColdFor, fallSpan: s.FallSpan,
		coldShare: s.ColdShare, fallMult: s.FallMultiple, budgeted: s.Budgeted, budFree: s.BudgetFree,
		budShare: s.BudgetShare, budSpan: s.BudgetSpan, soonest: s.Soonest, few: s.Few, patient: s.Patient, spare: s.Spare}
	m.Grow(s.Types, s.Cells)
	for _, q := range s.Quotas {
		m.quota = append(m.quota, q/m.mixers)
		m.tenants = append(m.tenants, bucket{level: q, at: now})
	}
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
	m.taken.Add(m.now, m.budSpan)
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
	m.taken.Add(m.now, m.budSpan)
	si, ok := m.byNo[no]
	if !ok {
		return
	}
	pi := m.parts.take()
	p := &m.parts.at[pi]
	keep := p.tries[:0]
	sc := &m.scans.at[si]
	*p = part{id: id, scan: si, class: sc.class, shard: shard, weight: weight, tries: keep}
	p.tie = m.tie(p)
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
