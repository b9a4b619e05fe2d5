package attempt

import (
	"maps"
	"slices"
	"time"

	"peathollow/policy"
)

// Rest is what a copy of a life has in place of what the first is bound to.
type Rest struct {
	Port  Port
	Fresh func(policy.Actions, time.Duration) Decider
	Conn  func(was Conn, l *Lane) Conn
	Scan  func(was, is *Scan) func(Answer) // gives the copy's Reply
}

// Copy makes a second life that has gone through the same, and shares nothing with the first but the settings. Its
// decider comes from m, which is handed the copy to act on. The explorer goes on from a copy in as many ways as there
// are; that a copy behaves as what was copied is checked there, by playing the whole way again.
func (o *Life) Copy(r Rest, m func(act policy.Actions) Decider) *Life {
	n := &Life{lim: o.lim, set: o.set, port: r.Port, start: o.start, now: o.now, fresh: r.Fresh, stopAt: o.stopAt, version: o.version}
	n.leave = n.flush
	n.run = func() { n.do(n.next) }
	c := &copier{n: n, r: r, parts: map[*part]*part{}, lanes: map[*Lane]*Lane{}, srvs: map[*searcher]*searcher{}, scans: map[*Scan]*Scan{}}
	n.fleet = fleet{byName: maps.Clone(o.fleet.byName), free: slices.Clone(o.fleet.free), lanes: o.fleet.lanes}
	for _, s := range o.fleet.srvs {
		n.fleet.srvs = append(n.fleet.srvs, c.searcher(s))
	}
	n.book = newBook()
	n.book.lastID, n.book.lastNo, n.book.open, n.book.tally = o.book.lastID, o.book.lastNo, o.book.open, o.book.tally
	for id, s := range o.book.scans {
		n.book.scans[id] = c.scan(s)
	}
	for id, s := range o.book.byReq {
		n.book.byReq[id] = c.scan(s)
	}
	for id, p := range o.book.parts {
		n.book.parts[id] = c.part(p)
	}
	for id, p := range o.book.byWire {
		n.book.byWire[id] = c.part(p)
	}
	for _, t := range o.later {
		n.later = append(n.later, c.task(t))
	}
	n.timers.n = o.timers.n
	for _, t := range o.timers.heap {
		n.timers.heap = append(n.timers.heap, timer{t.at, t.n, c.task(t.task)})
	}
	for _, s := range o.out {
		n.out = append(n.out, sending{c.part(s.p), s.no})
	}
	n.m = m(n)
	return n
}

type copier struct {
	n     *Life
	r     Rest
	parts map[*part]*part
	lanes map[*Lane]*Lane
	srvs  map[*searcher]*searcher
	scans map[*Scan]*Scan
}

func (c *copier) task(t task) task {
	t.p, t.s = c.part(t.p), c.scan(t.s)
	return t
}

func (c *copier) all(ps []*part) (all []*part) {
	for _, p := range ps {
		all = append(all, c.part(p))
	}
	return all
}

func (c *copier) scan(s *Scan) *Scan {
	if s == nil {
		return nil
	}
	if is := c.scans[s]; is != nil {
		return is
	}
	is := new(Scan)
	*is = *s
	c.scans[s] = is
	is.Reply = c.r.Scan(s, is)
	is.parts, is.chosen, is.from = c.all(s.parts), c.all(s.chosen), slices.Clone(s.from)
	return is
}

func (c *copier) part(p *part) *part {
	if p == nil {
		return nil
	}
	if is := c.parts[p]; is != nil {
		return is
	}
	is := new(part)
	*is = *p
	c.parts[p] = is
	is.scan = c.scan(p.scan)
	is.tries = slices.Clone(p.tries)
	for i := range is.tries {
		t := &is.tries[i]
		t.srv, t.lane = c.searcher(t.srv), c.lane(t.lane)
	}
	return is
}

func (c *copier) searcher(s *searcher) *searcher {
	if is := c.srvs[s]; is != nil {
		return is
	}
	is := &searcher{host: s.host, live: s.live}
	c.srvs[s] = is
	for _, l := range s.lanes {
		is.lanes = append(is.lanes, c.lane(l))
	}
	return is
}

func (c *copier) lane(l *Lane) *Lane {
	if l == nil {
		return nil
	}
	if is := c.lanes[l]; is != nil {
		return is
	}
	is := new(Lane)
	*is = *l
	c.lanes[l] = is
	is.o, is.s = c.n, c.searcher(l.s)
	is.conn = c.r.Conn(l.conn, is)
	is.out, is.kills = make(map[*part]int, len(l.out)), make(map[uint64]killed, len(l.kills))
	for p, no := range l.out {
		is.out[c.part(p)] = no
	}
	for seq, k := range l.kills {
		is.kills[seq] = killed{c.part(k.p), k.no}
	}
	is.past.last = slices.Clone(l.past.last)
	return is
}
