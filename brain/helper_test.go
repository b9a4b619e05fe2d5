package brain

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"time"
)

const ms = time.Millisecond

// world is a searcher side that misbehaves, and the judge of the six rules for one mixer.
type simulation struct {
	config         Settings
	mixer          *Mixer
	random         *rand.Rand
	now            time.Duration
	pending        []event
	scans          map[uint64]*simScan
	parts          map[uint64]*simPart
	searchers      []simSearcher
	randomOutcomes bool
	ids            uint64
	violation      string
	requests       []time.Duration // requests
	retries        []time.Duration // further dispatches
	subscribed     int
	log            []string // actions of the last step
	peakPasses     float64
	gossip         []byte // told to other mixers
}

type event struct {
	at  time.Duration
	run func()
}

type simSearcher struct {
	state         Standing
	unlistedAt    time.Duration
	shard         int
	started       time.Duration
	outcome       Outcome
	speed         float64
	sends         []time.Duration
	passes        []time.Duration
	connUsedAt    time.Duration // its connection was opened or last used
	dropIdleAfter time.Duration // if above 0: what comes on a connection idle for so long is lost
}

type simScan struct {
	class, step  int
	deadline     time.Duration
	parts        []uint64
	whole, ended bool
	answered     int
	advice       time.Duration // when its client was told to come again
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

func (sim *simulation) fail(f string, a ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf("%v: ", sim.now) + fmt.Sprintf(f, a...)
	}
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.pending = append(sim.pending, event{sim.now + d, do})
}

func settings(types ...TableType) Settings {
	return Settings{Seed: 7, Mixers: 1, Types: types, Cells: 4, Reach: 2, PartsPerCall: 1, MaxTries: 3,
		SecondCopies: true, MayCancel: true, RetryAdvice: true, MaxRetryIn: time.Second, Round: 5 * ms,
		AskEvery: 10 * time.Second, ColdFor: 10 * time.Second, FallSpan: 2 * time.Second,
		ColdShare: 0.2, FallMultiple: 3}
}

func wholeTable() TableType {
	return TableType{Target: time.Second, Timeout: 2 * time.Second, RepeatWindow: 500 * ms, Benefit: 1, Need: 1,
		Floor: 1}
}

func newWorld(set Settings, seed int64, perCell int) *simulation {
	sim := &simulation{config: set, random: rand.New(rand.NewSource(seed)), scans: map[uint64]*simScan{},
		parts: map[uint64]*simPart{}}
	sim.mixer = New(set, sim, 0)
	for i := range set.Cells * perCell {
		sim.searchers = append(sim.searchers, simSearcher{shard: i % set.Cells, started: LongAgo, speed: 1, outcome: Pass})
	}
	sim.list(Remembered)
	return sim
}

func (sim *simulation) list(mode ListMode) {
	sim.mixer.ListBegin(mode)
	for i := range sim.searchers {
		s := &sim.searchers[i]
		sim.mixer.ListEntry(i, s.state, 1, s.started, s.shard)
	}
	sim.mixer.ListEnd(mode)
}

func (sim *simulation) listSearcher(i int, st Standing, start time.Duration) {
	s := &sim.searchers[i]
	if s.state == Ready && st != Ready {
		s.unlistedAt = sim.now
	}
	if start != s.started {
		s.sends = nil
	}
	s.state, s.started = st, start
	sim.mixer.ListBegin(Changes)
	sim.mixer.ListEntry(i, st, 1, start, s.shard)
	sim.mixer.ListEnd(Changes)
}

// run lets time pass in rounds of 5 ms.
func (sim *simulation) run(d time.Duration) {
	for until := sim.now + d; sim.now < until && sim.violation == ""; {
		sim.now += sim.config.Round
		sim.mixer.At(sim.now)
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
				sim.fail("scan %d lost", id)
			}
		}
	}
}

func (sim *simulation) scan(cl int, left time.Duration, shards []int, weights []float64) uint64 {
	return sim.scanOf(cl, -1, left, shards, weights, false)
}

func (sim *simulation) scanOf(cl, tenant int, left time.Duration, shards []int, weights []float64, repeat bool) uint64 {
	sim.ids++
	id := sim.ids
	sim.scans[id] = &simScan{class: cl, deadline: sim.now + left}
	sim.requests = append(sim.requests, sim.now)
	sim.mixer.Scan(id, id, cl, tenant, left, 0, len(shards), repeat)
	sim.addParts(id, shards, weights)
	return id
}

// moods and speeds set all searchers alike.
func (sim *simulation) setOutcomes(mood Outcome) {
	for i := range sim.searchers {
		sim.searchers[i].outcome = mood
	}
}

func (sim *simulation) setSpeeds(speed float64) {
	for i := range sim.searchers {
		sim.searchers[i].speed = speed
	}
}

// said counts the actions since the log was last cleared that contain a text.
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
		sim.mixer.Part(p, id, sim.parts[p].shard, sim.parts[p].weight)
	}
}

// even makes n shards in a row with equal weights.
func evenParts(n, shards int) (s []int, ws []float64) {
	for i := range n {
		s, ws = append(s, i%shards), append(ws, 1/float64(n))
	}
	return s, ws
}
