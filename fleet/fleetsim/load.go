package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"peathollow/fleet/overload"
	"peathollow/lab/reader"
	"peathollow/policy"
)

// Load configures the clients and the searchers.
type Load struct {
	Searchers      int
	PartsPerSecond float64 // capacity of one searcher
	Tenants        []Tenant
	ObeyShare      float64 // share of clients that follow the mixer's retry advice; the others retry soon
	Retries        int     // the maximum number of retries of a client
	Uneven         bool    // half of the clients use the first mixer
	ColdStart      ColdStart
}

// ColdStart configures how searchers warm up after a start and what overloads them meanwhile. The zero value starts them at
// full speed.
type ColdStart struct {
	WarmUp          time.Duration // from a start until full speed
	Share           float64       // share of the full speed right after a start
	Multiple        float64       // multiple of its present capacity that a searcher withstands
	Span            time.Duration // span over which the parts are counted
	UnknownToMixers bool          // an injected fault: mixers do not know of cold starts
}

// Tenant sends scans. Scans within its quota have priority.
type Tenant struct {
	Name   string
	Quota  float64 // scans per second, all mixers together
	Demand float64 // scans per second, first attempts only
}

// Each scan has two parts. There are two classes; a scan of the first is four times as valuable as one of the second.
const (
	partsPerScan    = 2
	target          = time.Second
	timeout         = 2 * time.Second
	restartDelay    = 5 * time.Second        // of a searcher
	earlyRetryDelay = 200 * time.Millisecond // mean delay of a retry by a client that ignores the mixer's advice
)

var scanValue = []float64{4, 1} // by class

// TenantResult sums up the scans that a tenant requested, first attempts only, those completed at last, and their values.
type TenantResult struct{ Requested, Completed, Value, ValueRequested float64 }

type workload struct {
	sim           *Simulation
	config        Load
	searchers     []*reader.Reader
	nextStep      []time.Duration // time of the next scheduled step of each searcher; 0 if none is scheduled
	inFlight      map[uint64]func(reader.Outcome)
	lastID        uint64
	rng           *rand.Rand
	layout        overload.BinLayout
	results       map[string]*TenantResult
	starts        []searcherStart
	worstColdLoad float64 // the maximum sent to a cold searcher in one span, as a share of what overloads it
}

// searcherStart records what a searcher has been sent recently since it started.
type searcherStart struct {
	startedAt time.Duration // policy.LongAgo if it has never been replaced
	arrivals  []time.Duration
}

func newWorkload(sim *Simulation) *workload {
	config := sim.settings.Load
	l := &workload{sim: sim, config: config, inFlight: map[uint64]func(reader.Outcome){},
		rng: rand.New(rand.NewPCG(sim.settings.Seed, 99)), nextStep: make([]time.Duration, config.Searchers),
		results: map[string]*TenantResult{}, starts: make([]searcherStart, config.Searchers)}
	for i := range config.Searchers {
		l.starts[i].startedAt = policy.LongAgo
		r, err := reader.New(reader.Settings{Cores: 2, QueueCapacity: int(3 * config.PartsPerSecond), RestartDelay: restartDelay,
			WarmUp: config.ColdStart.WarmUp, ColdShare: config.ColdStart.Share})
		if err != nil {
			panic(err) // the settings come from constants
		}
		l.searchers = append(l.searchers, r)
	}
	l.layout.Benefit = scanValue
	for i := range config.Tenants {
		t := &config.Tenants[i]
		l.layout.Quota = append(l.layout.Quota, t.Quota)
		l.results[t.Name] = &TenantResult{}
		for class := range scanValue {
			sim.schedule(0, func() { l.scheduleArrivals(i, class) })
		}
	}
	return l
}

// scheduleArrivals generates a tenant's scans of one class as a Poisson process.
func (l *workload) scheduleArrivals(tenant, class int) {
	rate := l.config.Tenants[tenant].Demand / float64(len(scanValue))
	if rate <= 0 {
		l.sim.schedule(time.Second/4, func() { l.scheduleArrivals(tenant, class) })
		return
	}
	l.sim.schedule(time.Duration(l.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		l.scheduleArrivals(tenant, class)
		l.sendScan(&client{tenant: tenant, class: class}, false)
	})
}

// client sends one scan, and retries it until it completes or the retries are used up.
type client struct {
	tenant, class, attempts int
}

// SetDemand sets how many scans per second a tenant sends from now on.
func (sim *Simulation) SetDemand(tenant string, perSecond float64) error {
	for i := range sim.workload.config.Tenants {
		if t := &sim.workload.config.Tenants[i]; t.Name == tenant {
			t.Demand = perSecond
			return nil
		}
	}
	return fmt.Errorf("no tenant %q", tenant)
}

// TakeResults returns the results of each tenant since the last call.
func (sim *Simulation) TakeResults() map[string]TenantResult {
	out := map[string]TenantResult{}
	for name, r := range sim.workload.results {
		out[name] = *r
		*r = TenantResult{}
	}
	return out
}

// EachSearcher applies a change to each searcher in turn.
func (sim *Simulation) EachSearcher(change func(i int, r *reader.Reader)) {
	for i, r := range sim.workload.searchers {
		change(i, r)
		sim.workload.scheduleStep(i)
	}
}

// CrashSearcher crashes a searcher, which is up again after the restart delay.
func (sim *Simulation) CrashSearcher(i int) {
	sim.workload.searchers[i].Crash(sim.now, sim.workload.partEnded)
	sim.workload.scheduleStep(i)
}

func (l *workload) sendScan(c *client, retry bool) {
	result := l.results[l.config.Tenants[c.tenant].Name]
	if !retry {
		result.Requested++
		result.ValueRequested += scanValue[c.class]
	}
	c.attempts++
	n := l.pickMixer()
	if n == nil { // no mixer is up, which the client notices after a while
		l.sim.schedule(timeout/4, func() { l.scheduleRetry(c, 0) })
		return
	}
	answered := false
	done := func(ok bool, retryAfter time.Duration) {
		if answered {
			return
		}
		if answered = true; ok {
			result.Completed++
			result.Value += scanValue[c.class]
			return
		}
		l.scheduleRetry(c, retryAfter)
	}
	n.process(func() { n.host.startScan(c, retry, done) })
	l.sim.schedule(timeout, func() { done(false, 0) }) // if the mixer was killed or is paused
}

// scheduleRetry schedules a client's next attempt, unless its retries are used up.
func (l *workload) scheduleRetry(c *client, retryAfter time.Duration) {
	if c.attempts > l.config.Retries {
		return
	}
	if retryAfter == 0 || l.rng.Float64() >= l.config.ObeyShare {
		retryAfter = earlyRetryDelay/2 + time.Duration(l.rng.Float64()*float64(earlyRetryDelay))
	}
	l.sim.schedule(retryAfter, func() { l.sendScan(c, true) })
}

// pickMixer chooses the mixer for an attempt; nil if none is up. From outside, a paused mixer looks as if it were running.
func (l *workload) pickMixer() *Node {
	var up []*Node
	for _, n := range l.sim.Nodes {
		if n.up {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	if l.config.Uneven && l.rng.Float64() < 0.5 {
		return up[0]
	}
	return up[l.rng.IntN(len(up))]
}

// sendPart adds a part to a searcher. It returns false if the searcher is down.
func (l *workload) sendPart(i int, deadline time.Duration, end func(reader.Outcome)) (id uint64, ok bool) {
	r := l.searchers[i]
	if !r.Up() {
		return 0, false
	}
	l.lastID++
	l.inFlight[l.lastID] = end
	l.checkColdLoad(i)
	work := time.Duration(2 / l.config.PartsPerSecond * (0.6 + 0.8*l.rng.Float64()) * float64(time.Second))
	r.Arrive(l.sim.now, l.lastID, work, deadline, l.partEnded)
	l.scheduleStep(i)
	return l.lastID, true
}

// checkColdLoad checks what all mixers together send to a cold searcher. With N the number of parts that it withstands in
// a span at its present speed, more than N + 3*sqrt(N) + 3 parts in the span are a violation.
func (l *workload) checkColdLoad(i int) {
	start, config := &l.starts[i], l.config.ColdStart
	now := l.sim.now
	if config.WarmUp == 0 || start.startedAt == policy.LongAgo || now-start.startedAt > config.WarmUp {
		return
	}
	start.arrivals = append(slices.DeleteFunc(start.arrivals, func(t time.Duration) bool { return t <= now-config.Span }), now)
	capacity := l.config.PartsPerSecond * (config.Share + (1-config.Share)*float64(now-start.startedAt)/float64(config.WarmUp))
	n := config.Multiple * capacity * config.Span.Seconds()
	limit := n + 3*math.Sqrt(n) + 3
	if l.worstColdLoad = max(l.worstColdLoad, float64(len(start.arrivals))/limit); float64(len(start.arrivals)) > limit {
		l.sim.violation("cold: searcher %d was sent %d parts in %v, %.1f overload it", i, len(start.arrivals), config.Span, limit)
	}
}

// ReplaceSearcher crashes a searcher and starts a cold one in its place. Each mixer learns of the start from its searcher
// list after a delay of its own.
func (sim *Simulation) ReplaceSearcher(i int, listDelay func() time.Duration) {
	sim.CrashSearcher(i)
	sim.schedule(restartDelay, func() {
		sim.workload.starts[i] = searcherStart{startedAt: sim.now}
		startedAt := sim.now
		for _, n := range sim.Nodes {
			sim.schedule(listDelay(), func() {
				if n.up {
					n.host.process(func() { n.host.searcherStarted(i, startedAt) })
				}
			})
		}
	})
}

func (l *workload) partEnded(id uint64, outcome reader.Outcome) {
	end := l.inFlight[id]
	delete(l.inFlight, id)
	if end != nil {
		l.sim.schedule(oneWayDelay/2, func() { end(outcome) })
	}
}

// scheduleStep schedules a searcher's next internal event, unless one at least as early is scheduled.
func (l *workload) scheduleStep(i int) {
	at, ok := l.searchers[i].Next()
	if !ok || l.nextStep[i] > l.sim.now && l.nextStep[i] <= at {
		return
	}
	l.nextStep[i] = max(at, l.sim.now+1)
	due := l.nextStep[i]
	l.sim.schedule(due-l.sim.now, func() {
		if l.nextStep[i] != due {
			return
		}
		l.nextStep[i] = 0
		l.searchers[i].Step(l.sim.now, l.partEnded)
		l.scheduleStep(i)
	})
}
