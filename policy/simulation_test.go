package policy

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"time"
)

const ms = time.Millisecond

// simulation simulates searchers with injected faults and checks the six rules that a policy must keep.
type simulation struct {
	config         Settings
	engine         *Engine
	random         *rand.Rand
	now            time.Duration
	pending        []event
	scans          map[uint64]*simScan
	parts          map[uint64]*simPart
	searchers      []simSearcher
	randomOutcomes bool
	ids            uint64
	violation      string
	requests       []time.Duration // arrival times of scans and parts
	retries        []time.Duration // times of retries and hedges
	subscribed     int
	log            []string // the policy's actions
	peakPasses     float64
	gossip         []byte // idle steps reported to other mixers
}

type event struct {
	at  time.Duration
	run func()
}

type simSearcher struct {
	state         SearcherState
	unlistedAt    time.Duration
	shard         int
	started       time.Duration
	outcome       Outcome
	speed         float64
	sends         []time.Duration
	passes        []time.Duration
	connUsedAt    time.Duration // when its connection was opened or last used
	dropIdleAfter time.Duration // if above 0, parts on a connection idle for longer are lost
}

type simScan struct {
	class, step  int
	deadline     time.Duration
	parts        []uint64
	whole, ended bool
	answered     int
	advice       time.Duration // when its client was told to retry
}

type simAttempt struct {
	sentAt   time.Duration
	inFlight bool
	outcome  Outcome
}

type simPart struct {
	scan, shard     int
	id              uint64
	step            int
	weight          float64
	attempts        []simAttempt
	answered, ended bool
}

func (sim *simulation) violate(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf("%v: ", sim.now) + fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.pending = append(sim.pending, event{sim.now + d, run})
}

func settings(types ...TableType) Settings {
	return Settings{Seed: 7, Mixers: 1, Types: types, Shards: 4, ShardSpan: 2, PartsPerCall: 1, MaxAttempts: 3,
		MayHedge: true, MayCancel: true, RetryAdvice: true, MaxRetryAfter: time.Second, Granularity: 5 * ms,
		ListInterval: 10 * time.Second, WarmUp: 10 * time.Second, OverloadSpan: 2 * time.Second,
		ColdShare: 0.2, OverloadMultiple: 3}
}

func wholeTable() TableType {
	return TableType{Target: time.Second, Timeout: 2 * time.Second, RepeatWindow: 500 * ms, Benefit: 1, Need: 1,
		Floor: 1}
}

func newSimulation(config Settings, seed int64, perCell int) *simulation {
	sim := &simulation{config: config, random: rand.New(rand.NewSource(seed)), scans: map[uint64]*simScan{},
		parts: map[uint64]*simPart{}}
	sim.engine = New(config, sim, 0)
	for i := range config.Shards * perCell {
		sim.searchers = append(sim.searchers, simSearcher{shard: i % config.Shards, started: LongAgo, speed: 1, outcome: Succeeded})
	}
	sim.sendList(Cached)
	return sim
}

func (sim *simulation) sendList(mode ListMode) {
	sim.engine.ListBegin(mode)
	for i := range sim.searchers {
		s := &sim.searchers[i]
		sim.engine.ListEntry(i, s.state, 1, s.started, s.shard)
	}
	sim.engine.ListEnd(mode)
}

func (sim *simulation) listSearcher(i int, state SearcherState, start time.Duration) {
	s := &sim.searchers[i]
	if s.state == Ready && state != Ready {
		s.unlistedAt = sim.now
	}
	if start != s.started {
		s.sends = nil
	}
	s.state, s.started = state, start
	sim.engine.ListBegin(Changes)
	sim.engine.ListEntry(i, state, 1, start, s.shard)
	sim.engine.ListEnd(Changes)
}

// run advances time in steps of the granularity (5 ms).
func (sim *simulation) run(d time.Duration) {
	for until := sim.now + d; sim.now < until && sim.violation == ""; {
		sim.now += sim.config.Granularity
		sim.engine.Advance(sim.now)
		for i := 0; i < len(sim.pending); i++ {
			if sim.pending[i].at <= sim.now {
				do := sim.pending[i].run
				sim.pending = slices.Delete(sim.pending, i, i+1)
				i--
				do()
			}
		}
		for id, sc := range sim.scans {
			if !sc.ended && sim.now > sc.deadline+20*ms {
				sim.violate("scan %d lost", id)
			}
		}
	}
}

func (sim *simulation) scan(class int, left time.Duration, shards []int, weights []float64) uint64 {
	return sim.scanOf(class, -1, left, shards, weights, false)
}

func (sim *simulation) scanOf(class, tenant int, left time.Duration, shards []int, weights []float64, repeat bool) uint64 {
	sim.ids++
	id := sim.ids
	sim.scans[id] = &simScan{class: class, deadline: sim.now + left}
	sim.requests = append(sim.requests, sim.now)
	sim.engine.Scan(id, id, class, tenant, left, 0, len(shards), repeat)
	sim.addParts(id, shards, weights)
	return id
}

// setOutcomes and setSpeeds apply to all searchers.
func (sim *simulation) setOutcomes(outcome Outcome) {
	for i := range sim.searchers {
		sim.searchers[i].outcome = outcome
	}
}

func (sim *simulation) setSpeeds(speed float64) {
	for i := range sim.searchers {
		sim.searchers[i].speed = speed
	}
}

// logged counts the logged actions that contain a text.
func (sim *simulation) logged(text string) int {
	return strings.Count(strings.Join(sim.log, "\n"), text)
}

func (sim *simulation) addParts(id uint64, shards []int, weights []float64) {
	sc := sim.scans[id]
	for i, sh := range shards {
		sim.ids++
		sim.parts[sim.ids] = &simPart{id: sim.ids, scan: int(id), shard: sh, weight: weights[i], step: sc.step}
		sc.parts = append(sc.parts, sim.ids)
	}
	for _, p := range sc.parts[len(sc.parts)-len(shards):] {
		sim.requests = append(sim.requests, sim.now)
		sim.engine.Part(p, id, sim.parts[p].shard, sim.parts[p].weight)
	}
}

// evenParts returns n consecutive shards with equal weights.
func evenParts(n, shardCount int) (shards []int, weights []float64) {
	for i := range n {
		shards, weights = append(shards, i%shardCount), append(weights, 1/float64(n))
	}
	return shards, weights
}
