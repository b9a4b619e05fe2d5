package brain

import (
	"fmt"
	"slices"
	"time"
)

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
