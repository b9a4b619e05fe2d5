package explore

import (
	"maps"
	"slices"

	"peathollow/attempt"
	"peathollow/policy"
)

// copy is the same run so far, to go on with in another way. Nil with the real module, which is played again instead.
func (w *World) copy(ask func(n int, label func(int) string) int) *World {
	if w.free == nil || w.inside > 0 {
		return nil
	}
	n := new(World)
	*n = *w
	n.ask = ask
	n.readers, n.ends = slices.Clone(w.readers), slices.Clone(w.ends)
	n.dispatched, n.told = maps.Clone(w.dispatched), maps.Clone(w.told)
	n.scans = make([]*scan, len(w.scans))
	for i, s := range w.scans {
		is := *s
		is.in = slices.Clone(s.in)
		n.scans[i] = &is
	}
	n.conns = make([]*conn, len(w.conns))
	for i, c := range w.conns {
		is := *c
		is.w, is.l, is.frames = n, nil, nil
		n.conns[i] = &is
	}
	n.sents = make([]*sent, len(w.sents))
	many := make([]sent, len(w.sents))
	for i, x := range w.sents {
		many[i] = *x
		is := &many[i]
		is.c, is.scan = n.conns[x.c.nr], n.scans[x.scan.nr]
		n.sents[i] = is
	}
	for i, c := range w.conns {
		for _, f := range c.frames {
			is := *f
			is.behind = w.sameSent(n, f.behind)
			is.calls = make([]*sent, len(f.calls))
			for k, x := range f.calls {
				is.calls[k] = w.sameSent(n, x)
			}
			n.conns[i].frames = append(n.conns[i].frames, &is)
		}
	}
	n.life = w.life.Copy(attempt.CopyBindings{Transport: n, NewPolicy: n.decider,
		Conn: func(was attempt.TransportConn, l *attempt.Connection) attempt.TransportConn {
			c := n.conns[was.(*conn).nr]
			c.l = l
			return c
		},
		Reply: func(was, is *attempt.Scan) func(attempt.Answer) {
			s := n.scans[slices.IndexFunc(w.scans, func(s *scan) bool { return s.s == was })]
			s.s = is
			return func(a attempt.Answer) { n.reply(s, a) }
		}},
		func(act policy.Actions) attempt.Policy {
			n.free = w.free.copy(n, act)
			return watch{n, n.free}
		})
	return n
}

func (w *World) sameSent(n *World, x *sent) *sent {
	if x == nil {
		return nil
	}
	return n.sents[slices.Index(w.sents, x)]
}

func (d *free) copy(w *World, act policy.Actions) *free {
	n := &free{w: w, act: act, now: d.now, parts: make(map[uint64]*fpart, len(d.parts)), readers: slices.Clone(d.readers)}
	scans := map[*fscan]*fscan{}
	scan := func(s *fscan) *fscan {
		if scans[s] == nil {
			is := *s
			is.parts = nil
			scans[s] = &is
		}
		return scans[s]
	}
	for id, p := range d.parts {
		is := *p
		is.s, is.tries = scan(p.s), slices.Clone(p.tries)
		n.parts[id] = &is
	}
	for _, s := range d.scans {
		is := scan(s)
		for _, p := range s.parts {
			is.parts = append(is.parts, n.parts[p.id])
		}
		n.scans = append(n.scans, is)
	}
	return n
}
