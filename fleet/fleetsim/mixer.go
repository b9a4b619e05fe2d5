package fleetsim

import (
	"math"
	"time"

	"peathollow/fleet/overload"
	"peathollow/lab/reader"
	"peathollow/policy"
)

// mixer is the real module of one life of a node, with what it has in hand.
type mixer struct {
	n     *Node
	life  int
	m     *policy.Engine
	ids   uint64
	scans map[uint64]*scan
	parts map[uint64]*part
	meter *overload.Meter
	room  float64
}

type scan struct {
	id    uint64
	class int
	at    time.Duration
	done  func(ok bool, in time.Duration)
	parts []uint64
}

type part struct {
	scan  *scan
	shard int
	tries []*try
}

type try struct {
	srv   int
	at    time.Duration
	id    uint64 // at the reader
	out   bool
	until time.Duration
}

func newMixer(n *Node) *mixer {
	l := n.w.load
	m := &mixer{n: n, life: n.life, scans: map[uint64]*scan{}, parts: map[uint64]*part{}, room: math.Inf(1), meter: overload.NewMeter(l.kinds)}
	set := policy.Settings{Seed: n.w.set.Seed*1000 + n.Inc, Instance: n.i, Mixers: n.w.set.Mixers, Shards: l.set.Readers, ShardSpan: 2,
		PartsPerCall: 1, MaxAttempts: 3, MayHedge: true, RetryAdvice: true, MaxRetryAfter: 5 * time.Second, MayCancel: true,
		Granularity: 5 * time.Millisecond, ListInterval: 10 * time.Second, WarmUp: l.set.Cold.For, OverloadSpan: l.set.Cold.Span,
		ColdShare: l.set.Cold.Share, OverloadMultiple: l.set.Cold.Multiple}
	if l.set.Cold.Unknown {
		set.WarmUp, set.OverloadSpan = 0, 0
	}
	for _, b := range worth {
		set.Types = append(set.Types, policy.TableType{Target: target, Timeout: timeout, Benefit: b, Need: 1, Floor: 1})
	}
	for _, t := range l.set.Tenants {
		set.Quotas = append(set.Quotas, t.Share)
	}
	m.m = policy.New(set, m, 0)
	m.m.ListBegin(policy.Full)
	for i := range l.readers {
		from := l.colds[i].from
		if from != policy.LongAgo {
			from -= n.born
		}
		m.m.ListEntry(i, policy.Ready, 1, from, i)
	}
	m.m.ListEnd(policy.Full)
	return m
}

// told is the list's word that a searcher has started anew.
func (m *mixer) told(i int, from time.Duration) {
	m.m.ListBegin(policy.Changes)
	m.m.ListEntry(i, policy.Ready, 1, from-m.n.born, i)
	m.m.ListEnd(policy.Changes)
}

// in has the module take an event, now or when its process wakes; never after its life.
func (m *mixer) in(f func()) {
	if m.n.up && m.n.life == m.life {
		m.n.do(func() {
			m.m.Advance(m.now())
			f()
		})
	}
}

func (m *mixer) now() time.Duration { return m.n.w.now - m.n.born }

func (m *mixer) scan(c *client, again bool, done func(bool, time.Duration)) {
	m.m.Advance(m.now())
	m.ids++
	s := &scan{id: m.ids, class: c.class, at: m.n.w.now, done: done}
	m.scans[s.id] = s
	m.meter.ScanArrived(c.class, c.tenant, partsOf, again)
	m.m.Scan(s.id, s.id, c.class, c.tenant, timeout, 0, partsOf, again)
	for range partsOf {
		if m.scans[s.id] == nil {
			return
		}
		m.ids++
		p := &part{scan: s, shard: m.n.w.load.dice.IntN(m.n.w.load.set.Readers)}
		m.parts[m.ids], s.parts = p, append(s.parts, m.ids)
		m.m.Part(m.ids, s.id, p.shard, 1.0/partsOf)
	}
	m.n.w.after(timeout+50*time.Millisecond, func() {
		if m.scans[s.id] == s && m.n.up && m.n.life == m.life && m.n.w.now >= m.n.asleep+timeout {
			m.n.w.broke("scans: %s gives no final answer in time", m.n.Name)
		}
	})
}

// end is a final answer: the one there is.
func (m *mixer) end(id uint64, how overload.ScanOutcome, in time.Duration) {
	s := m.scans[id]
	if s == nil {
		m.n.w.broke("scans: %s answers a scan twice", m.n.Name)
		return
	}
	delete(m.scans, id)
	took := m.n.w.now - s.at
	m.meter.ScanEnded(how, took, target)
	m.n.w.after(0, func() { s.done(how == overload.Completed && took <= target, in) })
}

// Dispatch and the others below are the module's actions.
func (m *mixer) Dispatch(id uint64, srv int, until time.Duration) {
	p := m.parts[id]
	if m.scans[p.scan.id] != p.scan {
		m.n.w.broke("scans: %s sends a part after its scan's final answer", m.n.Name)
	}
	t := &try{srv: srv, at: m.n.w.now, out: true, until: until + m.n.born}
	no := len(p.tries)
	p.tries = append(p.tries, t)
	l := m.n.w.load
	m.n.w.after(trip/2, func() {
		var ok bool
		t.id, ok = l.arrive(srv, t.until, func(how reader.Outcome) {
			m.back(id, no, map[reader.Outcome]policy.Outcome{reader.Served: policy.Succeeded, reader.Rejected: policy.Overloaded, reader.Expired: policy.TimedOut,
				reader.Lost: policy.ConnectionLost}[how])
		})
		if !ok {
			m.n.w.after(trip/2, func() { m.back(id, no, policy.Unreachable) })
		}
	})
	m.n.w.after(max(0, t.until-m.n.w.now), func() { m.back(id, no, policy.TimedOut) })
}

// back is the end of a dispatch; the first that is told counts.
func (m *mixer) back(id uint64, no int, out policy.Outcome) {
	m.in(func() {
		p := m.parts[id]
		if p == nil || !p.tries[no].out {
			return
		}
		t := p.tries[no]
		t.out = false
		if out == policy.Succeeded {
			m.meter.PartServed()
		}
		m.m.Returned(id, no, out, m.n.w.now-t.at)
	})
}

func (m *mixer) Cancel(id uint64, no int) {
	t := m.parts[id].tries[no]
	m.n.w.after(trip/2, func() {
		if l := m.n.w.load; l.out[t.id] != nil && l.readers[t.srv].Cancel(m.n.w.now, t.id) {
			delete(l.out, t.id)
			l.look(t.srv)
			m.n.w.after(trip/2, func() { m.back(id, no, policy.Cancelled) })
		}
	})
}

func (m *mixer) Complete(id uint64, _ bool) { m.end(id, overload.Completed, 0) }

func (m *mixer) Throttle(id uint64, in time.Duration) {
	if m.n.planted(plantSilence) && id%10 == 0 {
		return
	}
	m.end(id, overload.Throttled, in)
	if m.n.planted(plantAnswer) {
		m.end(id, overload.Throttled, in)
	}
	if m.n.planted(plantAfter) {
		for p, x := range m.parts {
			if x.scan.id == id {
				m.Dispatch(p, 0, m.now())
				return
			}
		}
	}
}

func (m *mixer) Abandon(id uint64) { m.end(id, overload.Failed, 0) }
func (m *mixer) Renew(int)         {}
func (m *mixer) Subscribe()        {}
func (m *mixer) Gossip([]byte)     {}
func (m *mixer) Wake(at time.Duration, token uint64) {
	m.n.w.after(max(0, at+m.n.born-m.n.w.now), func() { m.in(func() { m.m.Woke(token) }) })
}

// die is the end of its life: what readers still do for it is for nobody.
func (m *mixer) die() { m.scans = map[uint64]*scan{} }

// report tells what was seen since the last, as rates.
func (n *Node) report() {
	due, ok := n.Due()
	if !ok {
		return
	}
	if err := n.Report(n.mix.meter.TakeReport(due)); err != nil {
		n.w.broke("%s can't tell its load: %v", n.Name, err)
	}
}

// advise hands the module what there is room for.
func (m *mixer) advise() {
	if m.n.w.set.Shared {
		var let []float64
		let, m.n.Mood, m.room = m.n.Advice()
		m.m.SetAdmission(let)
	}
}
