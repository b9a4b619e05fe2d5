package brain

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"time"
)

const tms = time.Millisecond

// world is a searcher side that misbehaves, and the judge of the six rules for one mixer.
type world struct {
	set    Settings
	m      *Mixer
	r      *rand.Rand
	now    time.Duration
	due    []due
	scans  map[uint64]*wscan
	parts  map[uint64]*wpart
	srvs   []wsrv
	moody  bool
	ids    uint64
	broken string
	taken  []time.Duration // requests
	agains []time.Duration // further dispatches
	asked  int
	log    []string // actions of the last step
	peak   float64
	news   []byte // told to other mixers
}

type due struct {
	at time.Duration
	do func()
}

type wsrv struct {
	state  Standing
	told   time.Duration
	cell   int
	start  time.Duration
	mood   Outcome
	speed  float64
	sends  []time.Duration
	passes []time.Duration
	listed bool
	fresh  time.Duration // its connection was opened or last used
	reap   time.Duration // if above 0: what comes on a connection idle for so long is lost
}

type wscan struct {
	cl, step     int
	end          time.Duration
	parts        []uint64
	whole, ended bool
	answered     int
	advice       time.Duration // when its client was told to come again
}

type wtry struct {
	at  time.Duration
	out bool
	res Outcome
}

type wpart struct {
	scan, shard int
	id          uint64
	step        int
	weight      float64
	tries       []wtry
	in, over    bool
}

func (w *world) fail(f string, a ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf("%v: ", w.now) + fmt.Sprintf(f, a...)
	}
}

func (w *world) after(d time.Duration, do func()) { w.due = append(w.due, due{w.now + d, do}) }

func settings(types ...TableType) Settings {
	return Settings{Seed: 7, Mixers: 1, Types: types, Cells: 4, Reach: 2, PartsPerCall: 1, MaxTries: 3,
		SecondCopies: true, MayCancel: true, RetryAdvice: true, MaxRetryIn: time.Second, Round: 5 * tms,
		AskEvery: 10 * time.Second, ColdFor: 10 * time.Second, FallSpan: 2 * time.Second,
		ColdShare: 0.2, FallMultiple: 3}
}

func table() TableType {
	return TableType{Target: time.Second, Timeout: 2 * time.Second, RepeatWindow: 500 * tms, Benefit: 1, Need: 1,
		Floor: 1}
}

func newWorld(set Settings, seed int64, perCell int) *world {
	w := &world{set: set, r: rand.New(rand.NewSource(seed)), scans: map[uint64]*wscan{},
		parts: map[uint64]*wpart{}}
	w.m = New(set, w, 0)
	for i := range set.Cells * perCell {
		w.srvs = append(w.srvs, wsrv{cell: i % set.Cells, start: LongAgo, speed: 1, mood: Pass})
	}
	w.list(Remembered)
	return w
}

func (w *world) list(mode ListMode) {
	w.m.ListBegin(mode)
	for i := range w.srvs {
		s := &w.srvs[i]
		w.m.ListEntry(i, s.state, 1, s.start, s.cell)
	}
	w.m.ListEnd(mode)
}

func (w *world) tell(i int, st Standing, start time.Duration) {
	s := &w.srvs[i]
	if s.state == Ready && st != Ready {
		s.told = w.now
	}
	if start != s.start {
		s.sends = nil
	}
	s.state, s.start = st, start
	w.m.ListBegin(Changes)
	w.m.ListEntry(i, st, 1, start, s.cell)
	w.m.ListEnd(Changes)
}

// run lets time pass in rounds of 5 ms.
func (w *world) run(d time.Duration) {
	for until := w.now + d; w.now < until && w.broken == ""; {
		w.now += w.set.Round
		w.m.At(w.now)
		for i := 0; i < len(w.due); i++ {
			if w.due[i].at <= w.now {
				do := w.due[i].do
				w.due = slices.Delete(w.due, i, i+1)
				i--
				do()
			}
		}
		for id, sc := range w.scans {
			if !sc.ended && w.now > sc.end+20*tms {
				w.fail("scan %d lost", id)
			}
		}
	}
}

func (w *world) scan(cl int, left time.Duration, shards []int, weights []float64) uint64 {
	return w.scanOf(cl, -1, left, shards, weights, false)
}

func (w *world) scanOf(cl, tenant int, left time.Duration, shards []int, weights []float64, repeat bool) uint64 {
	w.ids++
	id := w.ids
	w.scans[id] = &wscan{cl: cl, end: w.now + left}
	w.taken = append(w.taken, w.now)
	w.m.Scan(id, id, cl, tenant, left, 0, len(shards), repeat)
	w.addParts(id, shards, weights)
	return id
}

// moods and speeds set all searchers alike.
func (w *world) moods(mood Outcome) {
	for i := range w.srvs {
		w.srvs[i].mood = mood
	}
}

func (w *world) speeds(speed float64) {
	for i := range w.srvs {
		w.srvs[i].speed = speed
	}
}

// said counts the actions since the log was last cleared that contain a text.
func (w *world) said(text string) int { return strings.Count(strings.Join(w.log, "\n"), text) }

func (w *world) addParts(id uint64, shards []int, weights []float64) {
	sc := w.scans[id]
	for i, sh := range shards {
		w.ids++
		w.parts[w.ids] = &wpart{id: w.ids, scan: int(id), shard: sh, weight: weights[i], step: sc.step}
		sc.parts = append(sc.parts, w.ids)
	}
	for _, p := range sc.parts[len(sc.parts)-len(shards):] {
		w.taken = append(w.taken, w.now)
		w.m.Part(p, id, w.parts[p].shard, w.parts[p].weight)
	}
}

func (w *world) Dispatch(id uint64, srv int, until time.Duration) {
	p := w.parts[id]
	sc := w.scans[uint64(p.scan)]
	s := &w.srvs[srv]
	t := &w.set.Types[sc.cl]
	w.log = append(w.log, fmt.Sprint("dispatch ", id, " ", srv))
	if p.over || sc.ended {
		w.fail("part %d sent after its end", id)
	}
	if len(p.tries) >= w.set.MaxTries {
		w.fail("part %d sent too often", id)
	}
	if (s.cell-p.shard%w.set.Cells+w.set.Cells)%w.set.Cells >= w.set.Reach {
		w.fail("searcher %d does not hold shard %d", srv, p.shard)
	}
	if s.state != Ready && w.now > s.told {
		w.fail("sent to searcher %d that drains or is gone", srv)
	}
	for _, k := range p.tries {
		may := k.out || k.res != NoRoom && k.res != NoRoute && k.res != Stale
		if k.out && !w.set.SecondCopies {
			w.fail("second copy of %d", id)
		}
		if may && t.Effect == NonReplayable || may && t.Effect == Keyed && w.now > k.at+t.RepeatWindow {
			w.fail("part %d may run twice", id)
		}
	}
	w.cold(s, srv)
	if len(p.tries) > 0 {
		w.agains = append(w.agains, w.now)
		if n, room := within(w.agains, w.now, w.set.BudgetSpan), w.set.BudgetFree+w.set.BudgetShare*
			float64(within(w.taken, w.now, w.set.BudgetSpan)); w.set.Budgeted && float64(n) > room {
			w.fail("%d further dispatches, %.1f allowed", n, room)
		}
	}
	no := len(p.tries)
	p.tries = append(p.tries, wtry{at: w.now, out: true})
	took := time.Duration(float64(20*tms+time.Duration(w.r.Intn(40))*tms) * s.speed)
	out := s.mood
	if w.moody && w.r.Intn(50) == 0 {
		out = Outcome(w.r.Intn(int(Stale)))
	}
	if s.reap > 0 && w.now-s.fresh > s.reap {
		out = TooSlow // and the connection stays dead until it is renewed
	} else {
		s.fresh = w.now
	}
	switch out {
	case Fault, NoRoom, Cut:
		took = time.Duration(w.r.Intn(10)) * tms
	case NoRoute:
		took = 250 * tms
	}
	if out == TooSlow || out == Undone || w.now+took > until {
		out, took = TooSlow, max(0, until-w.now)
	}
	w.after(took, func() { w.back(p, no, srv, out) })
}

func within(ts []time.Duration, now, span time.Duration) (n int) {
	for _, t := range ts {
		if t > now-span {
			n++
		}
	}
	return n
}

// cold judges by what a warm searcher was seen to carry, as idle as one may be held to be, and a few more.
func (w *world) cold(s *wsrv, srv int) {
	s.sends = append(s.sends, w.now)
	for i := range w.srvs {
		if o := &w.srvs[i]; o.start == LongAgo {
			w.peak = max(w.peak, float64(within(o.passes, w.now, w.set.FallSpan)))
		}
	}
	age := w.now - s.start
	if s.start == LongAgo || age > w.set.ColdFor {
		return
	}
	share := w.set.ColdShare + (1-w.set.ColdShare)*age.Seconds()/w.set.ColdFor.Seconds()
	most := 3 + w.set.FallMultiple*share*w.peak/busyLeast
	if n := within(s.sends, w.now, w.set.FallSpan); float64(n) > most {
		w.fail("cold searcher %d was sent %d", srv, n)
	}
}

func (w *world) back(p *wpart, no, srv int, out Outcome) {
	k := &p.tries[no]
	if !k.out {
		return
	}
	k.out, k.res = false, out
	if out == Pass && !p.over {
		p.in = true
	}
	if out == Pass {
		w.srvs[srv].passes = append(w.srvs[srv].passes, w.now)
	}
	w.m.Returned(p.id, no, out, w.now-k.at)
}

func (w *world) Cancel(id uint64, try int) {
	p := w.parts[id]
	w.log = append(w.log, fmt.Sprint("cancel ", id, " ", try))
	if !w.set.MayCancel {
		w.fail("part %d called off where that is barred", id)
	}
	w.after(w.set.Round, func() { w.back(p, try, 0, Undone) })
}

func (w *world) end(id uint64, what string) *wscan {
	sc := w.scans[id]
	w.log = append(w.log, fmt.Sprint(what, " ", id))
	if sc.ended {
		w.fail("scan %d ended twice", id)
	}
	if w.now > sc.end+20*tms {
		w.fail("scan %d ended late", id)
	}
	return sc
}

func (w *world) over(sc *wscan) {
	sc.ended = true
	for _, p := range sc.parts {
		w.parts[p].over = true
	}
}

func (w *world) Complete(id uint64, whole bool) {
	sc := w.end(id, fmt.Sprint("complete ", whole))
	t := &w.set.Types[sc.cl]
	sum, all, passed, shards := 0.0, true, 0, []int{}
	for _, p := range sc.parts {
		if k := w.parts[p]; k.step == sc.step {
			if k.in {
				sum += k.weight
				passed++
				shards = append(shards, k.shard)
			}
			all = all && k.in
			k.over = true
		}
	}
	floor := t.Floor
	if sc.step == 1 && t.Floor >= t.Need {
		floor = 1
	}
	if sum < floor-1e-4 {
		w.fail("scan %d answered from %.3f", id, sum)
	}
	if whole && (sc.step == 0 && sum < t.Need-1e-4 || sc.step == 1 && !(all && sc.whole)) {
		w.fail("scan %d marked whole and is not", id)
	}
	sc.answered++
	if sc.step == 0 && t.SecondStep > 0 {
		n := min(t.SecondStep, passed)
		sc.step, sc.whole = 1, whole
		w.after(w.set.Round, func() {
			if !sc.ended {
				w.addParts(id, shards[:n], slices.Repeat([]float64{1 / float64(n)}, n))
			}
		})
		return
	}
	w.over(sc)
}

func (w *world) Throttle(id uint64, in time.Duration) {
	sc := w.end(id, "throttle")
	sc.advice = in
	for _, p := range sc.parts {
		for _, k := range w.parts[p].tries {
			ran := k.out || k.res != NoRoom && k.res != NoRoute && k.res != Stale
			if ran && w.set.Types[sc.cl].Effect == NonReplayable {
				w.fail("scan %d throttled though it may have run", id)
			}
		}
	}
	if in > w.set.MaxRetryIn || in > 0 && !w.set.RetryAdvice {
		w.fail("advice of %v", in)
	}
	w.over(sc)
}

func (w *world) Abandon(id uint64) { w.over(w.end(id, "abandon")) }

func (w *world) Wake(at time.Duration, token uint64) {
	w.after(max(w.set.Round, at-w.now), func() { w.m.Woke(token) })
}

func (w *world) Renew(srv int) { w.srvs[srv].fresh = w.now }

func (w *world) Tell(news []byte) {
	if !w.set.MayTell {
		w.fail("told where that is barred")
	}
	w.news = append(w.news, news...)
}

func (w *world) Subscribe() { w.asked++ }

// even makes n shards in a row with equal weights.
func even(n, shards int) (s []int, ws []float64) {
	for i := range n {
		s, ws = append(s, i%shards), append(ws, 1/float64(n))
	}
	return s, ws
}
