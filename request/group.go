package request

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"peathollow/internal/invariant"
	"peathollow/manifest"
	"peathollow/policy"
)

// granularity is what the module takes a round of its own to cost at most.
const granularity = 4 * time.Millisecond

// retryLeast is the shortest time that a refused client is told to stay away.
const retryLeast = 50 * time.Millisecond

// retryMost is the longest time that a refused client is told to stay away.
const retryMost = time.Second

// groupsMost is how many sets of services are held before those with nothing in hand are forgotten: each version may name
// new ones.
const groupsMost = 128

// group is a set of services that requests are split over, with a module of its own: what is learned of the pace of one
// set says nothing of another, whose work may take ten times as long.
type group struct {
	l       *Life
	m       *policy.Engine
	cells   []string // services, by the module's cells
	classes map[class]int
	hosts   map[string]*host // by id
	byIndex []*host
	free    []int
	key     string // in l.groups
	busy    int    // requests in hand
	over    bool   // after a fault in it
	asleep  bool   // its beat is held until there is something in hand
}

// host is what a group knows of a searcher.
type host struct {
	*Host
	index int
	out   int
	gone  bool
}

// class is what makes two routes alike to the module.
type class struct {
	idempotent        bool
	horizon, setpoint time.Duration
	retries, rank     int
	floor             float64
	gathered          bool
}

// group finds the set's module, or makes it.
func (l *Life) group(services []string) *group {
	key := strings.Join(services, ",")
	if g := l.groups[key]; g != nil {
		return g
	}
	if len(l.groups) >= groupsMost {
		maps.DeleteFunc(l.groups, func(_ string, g *group) bool { return g.asleep }) // what is out there still comes back to it
	}
	g := &group{l: l, key: key, cells: services, classes: map[class]int{}, hosts: map[string]*host{}}
	g.m = policy.New(policy.Settings{Seed: l.terms.Seed, Mixers: 1, Shards: len(services), ShardSpan: 1, PartsPerCall: 1, MaxAttempts: 1,
		MayHedge: true, RetryAdvice: true, MaxRetryAfter: retryMost, Granularity: granularity, ListInterval: time.Second,
		InFlightAllowance: 3, WaitToDeadline: true, RankByExpectedAnswer: true, BudgetAllows: g.mayGoAgain}, port{g}, l.now)
	l.groups[key] = g
	for _, id := range slices.Sorted(maps.Keys(l.hosts)) {
		g.note(l.hosts[id])
	}
	g.m.Advance(l.now)
	g.m.ListBegin(policy.Changes)
	for _, h := range g.byIndex {
		g.entry(h)
	}
	g.m.ListEnd(policy.Changes)
	return g
}

// mayGoAgain tells the module whether the retry budget has room for a further dispatch that ends at some time.
func (g *group) mayGoAgain(cell int, until time.Duration) bool {
	g.l.roomUntil = until
	return g.l.book.Allows(g.l.now, g.cells[cell], until)
}

// class finds the module's index of a route's kind.
func (g *group) class(r *manifest.Route) int {
	gathered := len(r.FanOut) > 0
	c := class{idempotent: r.Idempotent, horizon: r.Horizon, setpoint: r.Setpoint, retries: r.Retries, rank: r.Rank,
		floor: 1, gathered: gathered}
	if gathered {
		// An answer names a part at least. The share is put in whole parts: the module takes one that is just missed as met.
		n := float64(len(r.FanOut))
		c.floor = max(1, math.Ceil(r.MinCoverage*n-1e-9)) / n
	}
	i, ok := g.classes[c]
	if !ok {
		t := policy.TableType{Target: min(c.setpoint, c.horizon), Timeout: c.horizon, LateShare: 0.5,
			Benefit: float64(max(1, 3-r.Rank)), Effect: policy.NonIdempotent, Need: 1, Floor: c.floor, MaxAttempts: c.retries}
		if c.idempotent {
			t.Effect = policy.Idempotent
		}
		i = g.m.AddTypes([]policy.TableType{t}, 0)
		g.classes[c] = i
	}
	return i
}

func (g *group) begin(r *Request, left time.Duration) {
	g.enter(StepBegin)
	g.m.Advance(g.l.now)
	g.busy++
	if g.asleep {
		g.asleep = false
		g.m.Woke(0)
	}
	if !g.l.isCatchingUp() { // else it was sent at some time in the pause, and counts there
		for _, s := range r.shards {
			g.l.book.RequestArrived(g.l.now, s)
		}
	}
	n := len(r.shards)
	g.m.Scan(r.id, r.id, g.class(r.Route), -1, left, 0, n, false)
	for i, s := range r.shards {
		if r.ended {
			break
		}
		p := &part{id: g.l.id(), req: r, service: s}
		g.l.parts[p.id] = p
		r.parts = append(r.parts, p)
		g.m.Part(p.id, r.id, i, 1/float64(n))
	}
	g.done()
}

func (g *group) woke(token uint64) {
	if token == 0 && g.busy == 0 {
		g.asleep = true
		return
	}
	g.enter(StepWoke)
	g.m.Advance(g.l.now)
	g.m.Woke(token)
	g.done()
}

func (g *group) left(r *Request) {
	g.m.Advance(g.l.now)
	g.m.ClientLeft(r.id)
	g.busy--
	r.ended = true
	delete(g.l.reqs, r.id)
	for _, p := range r.parts {
		g.l.settle(p)
	}
}

func (g *group) returned(d *Dispatch, out policy.Outcome, took time.Duration) {
	g.enter(StepReturned)
	g.m.Advance(g.l.now)
	d.host.out--
	g.m.Returned(d.part.id, d.no, out, took)
	g.release(d.host)
	g.done()
}

// port is what the module can have done.
type port struct{ g *group }

func (p port) Dispatch(id uint64, index int, until time.Duration) {
	l, h := p.g.l, p.g.byIndex[index]
	pt := l.parts[id]
	l.checkDispatch(pt, h)
	d := &Dispatch{Request: pt.req, Host: h.Host, Until: until, Vouched: l.vouches(h.Host), part: pt, no: len(pt.tries), at: l.now, paused: l.paused, out: true, host: h}
	pt.tries = append(pt.tries, d)
	h.out++
	l.Counts.Sent++
	l.Counts.Far[min(h.Far, 2)]++
	if d.no > 0 {
		l.Counts.Further++
	}
	l.book.AttemptSent(l.now, pt.service, &pt.trail)
	l.acts = append(l.acts, Act{Dispatch: d})
}

func (p port) Cancel(id uint64, try int) {
	if pt := p.g.l.parts[id]; pt != nil && try < len(pt.tries) && pt.tries[try].out {
		p.g.l.acts = append(p.g.l.acts, Act{Dispatch: pt.tries[try], Cancel: true})
	}
}

func (p port) Complete(id uint64, whole bool) {
	if r := p.take(id); r != nil {
		p.g.l.finish(r, answer(r))
	}
}

func (p port) Throttle(id uint64, in time.Duration) {
	if r := p.take(id); r != nil {
		p.g.l.finish(r, Final{Kind: Refused, In: in})
	}
}

func (p port) Abandon(id uint64) {
	r := p.take(id)
	if r == nil {
		return
	}
	if r.refuse != nil && len(r.Route.FanOut) == 0 {
		p.g.l.finish(r, Final{Kind: Relayed, Reply: r.refuse})
		return
	}
	p.g.l.finish(r, Final{Kind: Failed, Late: p.g.l.isOver(r)})
}

// take finds a request that the module has ended.
func (p port) take(id uint64) *Request {
	r := p.g.l.reqs[id]
	if r == nil {
		invariant.Violated(invariant.OneFinalAnswer, "request %d was ended and is not in hand", id)
		return nil
	}
	p.g.busy--
	return r
}

func (p port) Wake(at time.Duration, token uint64) { p.g.l.timers.add(at, p.g, token) }
func (p port) Renew(int)                           {}
func (p port) Subscribe()                          {}
func (p port) Gossip([]byte)                       {}
