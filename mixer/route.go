package mixer

import (
	"time"

	"go.uber.org/zap"

	"peathollow/brain"
	"peathollow/internal/link"
	"peathollow/internal/proto"
)

// The third stage: searchers, their connections, and which of these a dispatch takes.

type fleet struct {
	srvs   []*searcher
	byName map[string]int
	lanes  int
}

func newFleet() fleet { return fleet{byName: map[string]int{}} }

type searcher struct {
	host  proto.Host
	lanes []*lane
}

// lane is one connection and what is out on it.
type lane struct {
	o       *owner
	s       *searcher
	conn    *link.Conn
	out     map[*part]int    // and the number of its try
	kills   map[uint64]*part // by the frame that gives it up
	used    time.Duration
	retired bool
}

// drop books that a dispatch is back.
func (l *lane) drop(p *part, no int, now time.Duration) {
	if n, ok := l.out[p]; ok && n == no {
		delete(l.out, p)
	}
	if l.used = now; l.retired {
		l.retire()
	}
}

// retire lets a connection take nothing new, and closes it once it is empty.
func (l *lane) retire() {
	l.retired = true
	if len(l.out) == 0 {
		l.conn.Close()
	}
}

// list hands the module what discovery told.
func (o *owner) list(mode brain.ListMode, l proto.List) {
	o.m.ListBegin(mode)
	if mode == brain.Failed {
		o.log.Warn("discovery does not answer")
		return
	}
	if mode != brain.Changes {
		for _, s := range o.fleet.srvs {
			s.host.State = brain.Gone
		}
	}
	for _, h := range l.Hosts {
		i, ok := o.fleet.byName[h.Name]
		if !ok {
			i = len(o.fleet.srvs)
			o.fleet.byName[h.Name] = i
			o.fleet.srvs = append(o.fleet.srvs, &searcher{})
		}
		s := o.fleet.srvs[i]
		if h.Addr == "" {
			h.Addr = s.host.Addr
		}
		if s.host.Addr != h.Addr {
			o.Renew(i)
		}
		s.host = h
		o.entry(i)
	}
	o.m.ListEnd(mode)
	o.log.Info("list", zap.Int64("version", l.Version), zap.Bool("whole", l.Whole), zap.Int("entries", len(l.Hosts)))
}

func (o *owner) entry(i int) {
	h := &o.fleet.srvs[i].host
	started := brain.LongAgo
	if !h.Born.IsZero() {
		started = h.Born.Sub(o.start)
	}
	o.m.ListEntry(i, h.State, h.Weight, started, h.Cell)
}

// relist tells a module that starts anew what is known.
func (o *owner) relist() {
	o.m.ListBegin(brain.Remembered)
	for i := range o.fleet.srvs {
		o.entry(i)
	}
	o.m.ListEnd(brain.Remembered)
}

// lane finds a connection with room, or opens one. Where the limits allow no further one, parts wait on the one
// with the fewest; nil only if the searcher has none.
func (o *owner) lane(s *searcher, parts int) *lane {
	var least *lane
	live := 0
	for _, l := range s.lanes {
		if l.retired {
			continue
		}
		if len(l.out)+parts <= o.lim.Parts {
			return l
		}
		if live++; least == nil || len(l.out) < len(least.out) {
			least = l
		}
	}
	if live >= o.lim.PerSearcher || o.fleet.lanes >= o.lim.Lanes {
		return least
	}
	l := &lane{o: o, s: s, out: map[*part]int{}, kills: map[uint64]*part{}, used: o.now}
	l.conn = link.Open(o.ctx, s.host.Addr, o.lim.Link, l)
	s.lanes = append(s.lanes, l)
	o.fleet.lanes++
	return l
}

// Renew is an action of the module: what is sent next goes out on a new connection.
func (o *owner) Renew(srv int) {
	for _, l := range o.fleet.srvs[srv].lanes {
		l.retire()
	}
}

// sweep closes connections before the searchers do, which would cost what is being written to them.
func (o *owner) sweep() {
	o.timers.add(o.now+o.lim.LaneIdle/10, o.sweep)
	for _, s := range o.fleet.srvs {
		for _, l := range s.lanes {
			if len(l.out) == 0 && o.now-l.used >= o.lim.LaneIdle && !l.retired {
				l.retire()
			}
		}
	}
}
