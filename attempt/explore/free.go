package explore

import (
	"fmt"
	"slices"
	"time"

	"peathollow/policy"
)

// free decides by choice: it does anything that its interface allows, and keeps the rules that are a decider's own: what
// may go again, and what may be throttled or completed. What is found broken with it is the life's fault.
type free struct {
	w       *World
	act     policy.Actions
	now     time.Duration
	scans   []*fscan
	parts   map[uint64]*fpart
	readers []policy.SearcherState // by the life's index
}

type fscan struct {
	id, no uint64
	nr     int // of the world's scans
	end    time.Duration
	expect int
	step   int
	whole  bool
	ran    bool // in the first step
	over   bool
	parts  []*fpart // of the present step
}

type fpart struct {
	id    uint64
	s     *fscan
	shard int
	in    bool
	over  bool
	tries []ftry
}

type ftry struct {
	srv    int
	at     time.Duration
	out    bool
	called bool // off
	never  bool
}

func newFree(w *World, act policy.Actions, now time.Duration) *free {
	return &free{w: w, act: act, now: now, parts: map[uint64]*fpart{}}
}

func (d *free) Advance(now time.Duration) { d.now = now }
func (d *free) ListBegin(mode policy.ListMode) {
	if mode == policy.Full {
		for i := range d.readers {
			d.readers[i] = policy.Gone
		}
	}
}

func (d *free) ListEntry(i int, st policy.SearcherState, _ float64, _ time.Duration, _ int) {
	for len(d.readers) <= i {
		d.readers = append(d.readers, policy.Gone)
	}
	d.readers[i] = st
}

func (d *free) ListEnd(policy.ListMode)         {}
func (d *free) Forget(i int)                    { d.readers[i] = policy.Gone }
func (d *free) Probed(int, time.Duration, bool) {}
func (d *free) SetAdmission([]float64)          {}

func (d *free) Scan(id, no uint64, _, _ int, left, _ time.Duration, parts int, _ bool) {
	s := &fscan{id: id, no: no, nr: len(d.w.scans) - 1, end: d.now + left, expect: parts}
	d.scans = append(d.scans, s)
	d.act.Wake(d.now+min(half, left), uint64(s.nr))
	if left > half {
		d.act.Wake(s.end, uint64(s.nr))
	}
}

func (d *free) Part(id, no uint64, shard int, _ float64) {
	for _, s := range d.scans {
		if s.no != no || s.over {
			continue
		}
		p := &fpart{id: id, s: s, shard: shard}
		s.parts = append(s.parts, p)
		d.parts[id] = p
		if len(s.parts) == s.expect {
			d.moment(s)
		}
	}
}

func (d *free) Returned(id uint64, no int, out policy.Outcome, _ time.Duration) {
	p := d.parts[id]
	if p == nil {
		return
	}
	t := &p.tries[no]
	t.out = false
	t.never = out == policy.Overloaded || out == policy.Unreachable || out == policy.Expired
	if p.over {
		return
	}
	if out == policy.Succeeded {
		p.in = true
	}
	d.moment(p.s)
}

func (d *free) ClientLeft(id uint64) {
	for _, s := range d.scans {
		if s.id == id {
			d.finish(s)
		}
	}
}

func (d *free) Woke(token uint64) {
	for _, s := range d.scans {
		if s.nr == int(token) && !s.over && len(s.parts) == s.expect {
			d.moment(s)
		}
	}
	// Parts of the second step may be on their way when the time is over.
	for _, s := range d.scans {
		if s.nr == int(token) && !s.over && d.now >= s.end {
			d.giveUp(s)
		}
	}
}

func (d *free) giveUp(s *fscan) {
	d.finish(s)
	d.act.Abandon(s.id)
}

func (d *free) finish(s *fscan) {
	s.over = true
	for _, p := range s.parts {
		p.over = true
	}
	d.scans = slices.DeleteFunc(d.scans, func(x *fscan) bool { return x == s })
}

// choice is one thing that may be done; those with a higher rank come after.
type choice struct {
	text string
	no   int // of a dispatch or a searcher, as the text says
	p    *fpart
	rank int
	do   func()
	last bool
}

// moment is a call in which it may act: nothing, or one thing after the other, in the order of their ranks.
func (d *free) moment(s *fscan) {
	d.w.inside++
	defer func() { d.w.inside-- }()
	for rank := -1; !s.over; {
		cs := d.choices(s, rank)
		k := d.w.pick(len(cs), func(i int) string { return d.label(&cs[i]) })
		rank = cs[k].rank
		cs[k].do()
		if cs[k].last {
			return
		}
	}
}

func (d *free) label(c *choice) string {
	switch {
	case c.text == "sends":
		return fmt.Sprintf("the decider sends part %d to reader %s", c.p.shard+1, d.w.life.SearcherName(c.no))
	case c.p != nil:
		return fmt.Sprintf("the decider calls off dispatch %d of part %d", c.no+1, c.p.shard+1)
	case c.rank >= 50 && c.rank < 100:
		return "the decider renews the connections of reader " + d.w.life.SearcherName(c.no)
	}
	return "the decider " + c.text
}

const lastRank = 1000

func (d *free) choices(s *fscan, rank int) (cs []choice) {
	put := func(r int, last bool, text string, no int, p *fpart, do func()) {
		if r > rank {
			cs = append(cs, choice{text, no, p, r, do, last})
		}
	}
	add := func(r int, last bool, text string, do func()) { put(r, last, text, 0, nil, do) }
	if d.now < s.end {
		add(lastRank, true, "does nothing more", func() {})
	}
	at := 0
	for _, p := range s.parts {
		for no := range p.tries {
			at++
			if t := &p.tries[no]; t.out && !t.called && d.now < s.end {
				put(at, false, "calls off dispatch", no, p, func() {
					t.called = true
					d.act.Cancel(p.id, no)
				})
			}
		}
	}
	for i, p := range s.parts {
		if !d.may(p) {
			continue
		}
		fresh := false
		for srv, st := range d.readers {
			if st != policy.Ready || slices.ContainsFunc(p.tries, func(t ftry) bool { return t.out && t.srv == srv }) {
				continue // a copy goes to another reader
			}
			// Of readers that nothing tells apart one will do.
			if d.w.alike && d.unseen(srv) {
				if fresh {
					continue
				}
				fresh = true
			}
			put(100+i, false, "sends", srv, p, func() {
				p.tries = append(p.tries, ftry{srv: srv, at: d.now, out: true})
				d.w.dispatch(p.id)
				d.act.Dispatch(p.id, srv, min(d.now+d.w.set.patience(), s.end))
			})
		}
	}
	got, ran := 0, s.ran
	for _, p := range s.parts {
		got += b2i(p.in)
		ran = ran || p.exposed() >= 0
	}
	if got > 0 && (s.step == 0 || got == s.expect) {
		add(lastRank-1, true, "completes the scan", func() { d.complete(s, got, ran) })
	}
	if d.w.set.Effect == "replayable" || !ran {
		add(lastRank-1, true, "throttles the scan", func() { d.finish(s); d.act.Throttle(s.id, 0) })
	}
	add(lastRank-1, true, "abandons the scan", func() { d.giveUp(s) })
	if d.w.may(fPanic) {
		add(lastRank-1, true, "panics", func() { d.w.spend(); panic(errDecider) })
	}
	if d.w.may(fRenew) {
		for srv, st := range d.readers {
			if st != policy.Gone {
				put(50+srv, false, "renews the connections of reader", srv, nil, func() { d.w.spend(); d.act.Renew(srv) })
			}
		}
	}
	return cs
}

func b2i(x bool) int {
	if x {
		return 1
	}
	return 0
}

// unseen tells that nothing was ever sent to a reader, and the list never changed.
func (d *free) unseen(srv int) bool {
	r := int(d.w.life.SearcherName(srv)[0] - 'a')
	if d.w.readers[r] != (reader{}) {
		return false
	}
	for _, p := range d.parts {
		if slices.ContainsFunc(p.tries, func(t ftry) bool { return t.srv == srv }) {
			return false
		}
	}
	return !slices.ContainsFunc(d.w.conns, func(c *conn) bool { return c.reader == r })
}

func (d *free) complete(s *fscan, got int, ran bool) {
	whole := got == s.expect && (s.step == 0 || s.whole)
	if d.w.set.Steps == 1 || s.step == 1 {
		d.finish(s)
		d.act.Complete(s.id, whole)
		return
	}
	for _, p := range s.parts {
		p.over = true
	}
	d.w.stepOver()
	s.step, s.whole, s.ran, s.parts, s.expect = 1, whole, ran, nil, got
	d.act.Complete(s.id, whole)
}

// exposed is the first dispatch that may have run.
func (p *fpart) exposed() int {
	return slices.IndexFunc(p.tries, func(t ftry) bool { return !t.never })
}

// may holds a decider's rules on sending a part.
func (d *free) may(p *fpart) bool {
	if p.in || p.over || len(p.tries) >= d.w.set.Tries || d.now >= p.s.end {
		return false
	}
	out := 0
	for i := range p.tries {
		out += b2i(p.tries[i].out)
	}
	if out >= d.w.set.Copies {
		return false
	}
	first := p.exposed()
	switch {
	case first < 0 || d.w.set.Effect == "replayable":
		return true
	case d.w.set.Effect == "keyed":
		return d.now-p.tries[first].at < window
	}
	return false
}
