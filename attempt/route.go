package attempt

import (
	"slices"
	"time"

	"peathollow/internal/proto"
	"peathollow/policy"
)

// The third stage: searchers, their connections, and which of these a dispatch takes.

type fleet struct {
	srvs   []*searcher
	byName map[string]int
	free   []int // places of searchers that are gone
	lanes  int
}

func newFleet() fleet { return fleet{byName: map[string]int{}} }

type searcher struct {
	host  proto.Host
	lanes []*Lane
	live  int // dispatches that are not back
}

// Lane is one connection and what is out on it.
type Lane struct {
	o       *Life
	s       *searcher
	conn    Conn
	out     map[*part]int     // and the number of its try
	kills   map[uint64]killed // by the frame that gives it up
	past    past
	used    time.Duration
	heard   time.Duration // when its searcher last said anything on it
	retired bool
	ended   bool           // nothing more is sent or believed; what is out waits for the searcher's end
	gone    bool           // the connection is closed
	lost    policy.Outcome // how what was out when it ended has ended
}

// killed is a dispatch on its way to be given up.
type killed struct {
	p  *part
	no int
}

// past knows the last parts that were out on a connection. A late answer and a second copy are told by it from the
// answer to a part never asked there, which means that the connection is out of step.
type past struct {
	last []dispatched // a ring, once it is full
	next int
}

type dispatched struct {
	id   string
	scan uint64
	due  bool // no answer to it was seen
}

func (p *past) add(id string, scan uint64, due bool, most int) {
	// One that went out here before under the same id, and is answered, is the same to any answer that comes.
	if i := slices.IndexFunc(p.last, func(d dispatched) bool { return d.id == id }); i >= 0 {
		p.last[i] = dispatched{id, scan, due || p.last[i].due && p.last[i].scan == scan}
		return
	}
	if len(p.last) < most {
		p.last, p.next = append(p.last, dispatched{}), len(p.last)
	}
	p.last[p.next] = dispatched{id, scan, due}
	p.next = (p.next + 1) % most
}

func (p *past) heard(id string) bool {
	i := slices.IndexFunc(p.last, func(d dispatched) bool { return d.id == id })
	if i >= 0 {
		p.last[i].due = false
	}
	return i >= 0
}

// due tells that an answer under this id is yet to come to what went out here before.
func (p *past) due(id string) bool {
	return slices.ContainsFunc(p.last, func(d dispatched) bool { return d.due && d.id == id })
}

func (p *past) anyDue() bool {
	return slices.ContainsFunc(p.last, func(d dispatched) bool { return d.due })
}

// drop books that a dispatch is back; its answer may still be due.
func (l *Lane) drop(p *part, no int, due bool, now time.Duration) {
	if n, ok := l.out[p]; ok && n == no {
		delete(l.out, p)
		l.past.add(p.wire, p.scan.id, due, l.o.lim.Past)
	}
	if l.used = now; l.retired {
		l.retire()
	}
}

// namesake finds a part whose id on the wire is now another's, since its client used its request's id again.
func (l *Lane) namesake(wire string) (*part, int, bool) {
	for p, no := range l.out {
		if p.wire == wire {
			return p, no, true
		}
	}
	return nil, 0, false
}

// mistakes tells that an answer which is still to come here, to an earlier request of the same id, would be taken for
// the answer to this part.
func (l *Lane) mistakes(p *part) bool {
	if q, _, ok := l.namesake(p.wire); ok && q.scan != p.scan {
		return true
	}
	return slices.ContainsFunc(l.past.last, func(d dispatched) bool {
		return d.due && d.id == p.wire && d.scan != p.scan.id
	})
}

// retire lets a connection take nothing new, and closes it once it is empty.
func (l *Lane) retire() {
	l.retired = true
	if len(l.out) == 0 {
		l.conn.Close()
	}
}

// List hands the module what discovery told.
func (o *Life) List(mode policy.ListMode, l proto.List) {
	o.m.ListBegin(mode)
	if mode == policy.Unavailable {
		o.port.Silent()
		return
	}
	if mode != policy.Changes {
		for _, s := range o.fleet.srvs {
			s.host.State = policy.Gone
		}
	}
	for _, h := range l.Hosts {
		i, ok := o.fleet.byName[h.Name]
		if !ok {
			if h.State == policy.Gone {
				continue
			}
			i = o.fleet.place(h.Name)
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
	o.clear()
	o.version = l.Version
	o.port.Listed(l)
}

// place gives a searcher an index, one given back if there is any.
func (f *fleet) place(name string) int {
	i := len(f.srvs)
	if n := len(f.free); n > 0 {
		i, f.free = f.free[n-1], f.free[:n-1]
	} else {
		f.srvs = append(f.srvs, nil)
	}
	f.srvs[i] = &searcher{}
	f.byName[name] = i
	return i
}

// clear lets go of searchers that are gone: their connections close once empty, and with nothing left of them
// their places go to others. Against tables that grow all day where searchers are replaced under new names.
func (o *Life) clear() {
	for i, s := range o.fleet.srvs {
		if s.host.Name == "" || s.host.State != policy.Gone {
			continue
		}
		o.Renew(i)
		if len(s.lanes) == 0 && s.live == 0 {
			delete(o.fleet.byName, s.host.Name)
			o.fleet.srvs[i] = &searcher{}
			o.fleet.free = append(o.fleet.free, i)
			o.m.Forget(i)
		}
	}
}

func (o *Life) entry(i int) {
	h := &o.fleet.srvs[i].host
	started := policy.LongAgo
	if !h.Born.IsZero() {
		started = h.Born.Sub(o.start)
	}
	o.m.ListEntry(i, h.State, h.Weight, started, h.Cell)
}

// relist tells a module that starts anew what is known.
func (o *Life) relist() {
	o.m.ListBegin(policy.Cached)
	for i, s := range o.fleet.srvs {
		if s.host.Name != "" {
			o.entry(i)
		}
	}
	o.m.ListEnd(policy.Cached)
}

// lane finds a connection with room, or opens one. Where the limits allow no further one, parts wait on the one
// with the fewest; nil only if the searcher has none.
func (o *Life) lane(s *searcher, parts int) *Lane {
	var least *Lane
	live := 0
	for _, l := range s.lanes {
		if l.retired || l.conn.Shut() {
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
	l := &Lane{o: o, s: s, out: map[*part]int{}, kills: map[uint64]killed{}, used: o.now}
	l.conn = o.port.Open(s.host.Addr, l)
	s.lanes = append(s.lanes, l)
	o.fleet.lanes++
	return l
}

// Renew is an action of the module: what is sent next goes out on a new connection.
func (o *Life) Renew(srv int) {
	for _, l := range o.fleet.srvs[srv].lanes {
		l.retire()
	}
}

// Gossip is an action of the policy. Mixers on sockets have no way to each other but for duties: the settings bar it.
func (o *Life) Gossip([]byte) {}

// sweep closes connections before the searchers do, which would cost what is being written to them.
func (o *Life) sweep() {
	o.timers.add(o.now+o.lim.LaneIdle/10, task{what: sweep})
	o.clear()
	for _, s := range o.fleet.srvs {
		for _, l := range s.lanes {
			if len(l.out) == 0 && o.now-l.used >= o.lim.LaneIdle && !l.retired {
				l.retire()
			}
		}
	}
}
