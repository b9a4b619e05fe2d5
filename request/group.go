package request

import (
	"maps"
	"math"
	"slices"
	"time"

	"peathollow/internal/invariant"
	"peathollow/manifest"
	"peathollow/policy"
)

// granularity is the upper bound that the policy assumes on the interval between events (policy.Settings.Granularity).
const granularity = 4 * time.Millisecond

// minRetryAfter is the shortest retry delay given to a refused client.
const minRetryAfter = 50 * time.Millisecond

// maxRetryAfter is the longest retry delay given to a refused client.
const maxRetryAfter = time.Second

// maxGroups is the number of groups from which idle ones are deleted when another is created: each configuration
// version may name new sets of services.
const maxGroups = 128

// group is a set of services that requests are split over. Each set has a policy engine of its own, since the latency
// learned for one set does not apply to another, whose work may take ten times as long.
type group struct {
	coordinator *Coordinator
	engine      *policy.Engine
	services    []string // by the engine's shard index
	classes     map[routeClass]int
	members     map[string]*member // by id
	byIndex     []*member          // by the engine's searcher index; nil where free
	freeIndexes []int
	key         groupKey
	inFlight    int  // number of requests
	failed      bool // after a panic in it; see Contain
	idle        bool // its periodic tick is suspended until the next request
}

// member is the state of a searcher within a group.
type member struct {
	*Searcher
	index    int
	inFlight int  // number of dispatches
	released bool // its index was given back
}

// routeClass holds the properties of a route that the policy distinguishes. Routes with equal properties share a table
// type.
type routeClass struct {
	idempotent        bool
	horizon, setpoint time.Duration
	retries, rank     int
	floor             float64
	gathered          bool
}

// groupFor returns the group of a set of services, and creates it if necessary.
func (c *Coordinator) groupFor(services []string) *group {
	var buffer [256]byte
	encoded := appendGroupKey(buffer[:0], services)
	if g := c.groups[groupKey(encoded)]; g != nil {
		return g
	}
	key := groupKey(encoded)
	if len(c.groups) >= maxGroups {
		// Dispatches in flight keep a reference to their group and still return to it.
		maps.DeleteFunc(c.groups, func(_ groupKey, g *group) bool { return g.idle })
	}
	g := &group{coordinator: c, key: key, services: services, classes: map[routeClass]int{}, members: map[string]*member{}}
	g.engine = policy.New(policy.Settings{Seed: c.config.Seed, Mixers: 1, Shards: len(services), ShardSpan: 1, PartsPerCall: 1,
		MaxAttempts: 1, MayHedge: true, RetryAdvice: true, MaxRetryAfter: maxRetryAfter, Granularity: granularity,
		ListInterval: time.Second, InFlightAllowance: 3, WaitToDeadline: true, RankByExpectedAnswer: true,
		BudgetAllows: g.budgetAllows}, actionPort{g}, c.now)
	c.groups[key] = g
	for _, id := range slices.Sorted(maps.Keys(c.searchers)) {
		g.addMember(c.searchers[id])
	}
	g.engine.Advance(c.now)
	g.engine.ListBegin(policy.Changes)
	for _, m := range g.byIndex {
		g.sendListEntry(m)
	}
	g.engine.ListEnd(policy.Changes)
	return g
}

// budgetAllows reports whether the retry budget allows a retry that ends at until, and records until for checkDispatch.
func (g *group) budgetAllows(shard int, until time.Duration) bool {
	g.coordinator.budgetUntil = until
	return g.coordinator.budget.Allows(g.coordinator.now, g.services[shard], until)
}

// classIndex returns the engine's table type for a route, and adds it if necessary.
func (g *group) classIndex(r *manifest.Route) int {
	gathered := len(r.FanOut) > 0
	c := routeClass{idempotent: r.Idempotent, horizon: r.Horizon, setpoint: r.Setpoint, retries: r.Retries, rank: r.Rank,
		floor: 1, gathered: gathered}
	if gathered {
		c.floor = float64(requiredParts(r)) / float64(len(r.FanOut))
	}
	i, ok := g.classes[c]
	if !ok {
		t := policy.TableType{Target: min(c.setpoint, c.horizon), Timeout: c.horizon, LateShare: 0.5,
			Benefit: float64(max(1, 3-r.Rank)), Effect: policy.NonIdempotent, Need: 1, Floor: c.floor, MaxAttempts: c.retries}
		if c.idempotent {
			t.Effect = policy.Idempotent
		}
		i = g.engine.AddTypes([]policy.TableType{t}, 0)
		g.classes[c] = i
	}
	return i
}

// requiredParts returns how many parts an answer of a fanned-out route contains at least. The number is whole and not 0, since
// the policy treats a coverage just below its floor as sufficient.
func requiredParts(r *manifest.Route) int {
	return max(1, int(math.Ceil(r.MinCoverage*float64(len(r.FanOut))-1e-9)))
}

// begin passes a request and its parts to the engine.
func (g *group) begin(r *Request, left time.Duration) {
	g.enterEngine(StepBegin)
	g.engine.Advance(g.coordinator.now)
	g.inFlight++
	if g.idle {
		g.idle = false
		g.engine.Woke(0)
	}
	if !g.coordinator.isCatchingUp() { // otherwise it was sent at an unknown time during the pause and adds no budget now
		for _, s := range r.services {
			g.coordinator.budget.RequestArrived(g.coordinator.now, s)
		}
	}
	n := len(r.services)
	g.engine.Scan(r.id, r.id, g.classIndex(r.Route), -1, left, 0, n, false)
	for i, s := range r.services {
		if r.ended {
			break
		}
		p := &part{id: g.coordinator.nextID(), request: r, service: s}
		g.coordinator.parts[p.id] = p
		r.parts = append(r.parts, p)
		g.engine.Part(p.id, r.id, i, 1/float64(n))
	}
	g.leaveEngine()
}

// timerDue passes a timer to the engine. The periodic tick (token 0) is suspended while there are no requests.
func (g *group) timerDue(token uint64) {
	if token == 0 && g.inFlight == 0 {
		g.idle = true
		return
	}
	g.enterEngine(StepTimer)
	g.engine.Advance(g.coordinator.now)
	g.engine.Woke(token)
	g.leaveEngine()
}

// drop makes the engine forget a request that ends without its decision.
func (g *group) drop(r *Request) {
	g.engine.Advance(g.coordinator.now)
	g.engine.ClientLeft(r.id)
	g.inFlight--
}

// returned passes the outcome of a dispatch to the engine.
func (g *group) returned(d *Dispatch, outcome policy.Outcome, elapsed time.Duration) {
	g.enterEngine(StepReturned)
	g.engine.Advance(g.coordinator.now)
	d.member.inFlight--
	g.engine.Returned(d.part.id, d.attempt, outcome, elapsed)
	g.releaseMember(d.member)
	g.leaveEngine()
}

// actionPort implements policy.Actions for a group's engine.
type actionPort struct{ group *group }

func (p actionPort) Dispatch(partID uint64, index int, until time.Duration) {
	c, m := p.group.coordinator, p.group.byIndex[index]
	target := c.parts[partID]
	c.checkDispatch(target, m)
	d := &Dispatch{Request: target.request, Searcher: m.Searcher, Deadline: until, AddressTrusted: c.trustsAddress(m.Searcher),
		part: target, attempt: len(target.dispatches), sentAt: c.now, pausedBefore: c.totalPaused, inFlight: true, member: m}
	target.dispatches = append(target.dispatches, d)
	m.inFlight++
	c.Counts.Sent++
	c.Counts.ByDistance[min(m.Distance, 2)]++
	if d.attempt > 0 {
		c.Counts.Retries++
	}
	c.budget.AttemptSent(c.now, target.service, &target.history)
	c.actions = append(c.actions, Action{Dispatch: d})
}

func (p actionPort) Cancel(partID uint64, attempt int) {
	if target := p.group.coordinator.parts[partID]; target != nil &&
		attempt < len(target.dispatches) && target.dispatches[attempt].inFlight {
		p.group.coordinator.actions = append(p.group.coordinator.actions, Action{Dispatch: target.dispatches[attempt], Cancel: true})
	}
}

func (p actionPort) Complete(scan uint64, whole bool) {
	if r := p.takeEnded(scan); r != nil {
		p.group.coordinator.finish(r, answer(r))
	}
}

func (p actionPort) Throttle(scan uint64, retryAfter time.Duration) {
	if r := p.takeEnded(scan); r != nil {
		p.group.coordinator.finish(r, Final{Kind: Refused, RetryAfter: retryAfter})
	}
}

func (p actionPort) Abandon(scan uint64) {
	r := p.takeEnded(scan)
	if r == nil {
		return
	}
	p.group.coordinator.finish(r, failure(r, p.group.coordinator.deadlineReached(r)))
}

// takeEnded returns a request that the engine has ended, and no longer counts it as in flight.
func (p actionPort) takeEnded(scan uint64) *Request {
	r := p.group.coordinator.requests[scan]
	if r == nil {
		invariant.Violated(invariant.OneFinalAnswer, "request %d was ended but is not in flight", scan)
		return nil
	}
	p.group.inFlight--
	return r
}

func (p actionPort) Wake(at time.Duration, token uint64) {
	p.group.coordinator.timers.add(at, p.group, token)
}
func (p actionPort) Renew(int)     {}
func (p actionPort) Subscribe()    {}
func (p actionPort) Gossip([]byte) {}
