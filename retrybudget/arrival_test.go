package retrybudget_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/retrybudget"
)

// scenario simulates mixers that send requests to one service whose searchers stall now and then. A request is counted when its
// client sends it, and an attempt when its searcher reads it. A stalled searcher reads all that was sent to it when it resumes,
// also what the mixer has abandoned by then. The first attempt of a request that is read is free, whichever was sent first.
type scenario struct {
	config    retrybudget.Config
	mixers    int
	perSecond float64
	searchers int
	failing   float64 // share of the attempts that fail at once
	failFrom  time.Duration
	timeout   time.Duration // of a request, after which it is abandoned
	attempts  int           // maximum number per request
	stalls    []stall
	restarts  bool // each mixer restarts at most once in a window
	quietFrom time.Duration
	moves     []time.Duration // when clients move: from then on a newly drawn half of the mixers gets all requests
}

// stall is a period in which a share of the searchers is stalled.
type stall struct {
	from, to time.Duration
	share    float64
}

const (
	scenarioLength = 40 * time.Second
	timeStep       = 25 * time.Millisecond
	hedgeTime      = 150 * time.Millisecond // without a response, after which a hedge is wanted
	workTime       = 20 * time.Millisecond
	wireTime       = 5 * time.Millisecond
)

// request is a request in flight.
type request struct {
	mixer    int
	until    time.Duration
	attempts []*attempt
	history  history
	over     bool
}

// attempt is one attempt of a request.
type attempt struct {
	sent, read time.Duration // read is when its searcher reads it
	ends       time.Duration // when its mixer learns the outcome
	answered   bool
	fails      bool
	known      bool
}

// draw returns the random scenario of a seed, and the random source to run it with.
func draw(seed uint64) (sc scenario, r *rand.Rand) {
	r = rand.New(rand.NewPCG(seed, 54))
	sc = scenario{mixers: []int{2, 9, 56}[r.IntN(3)], perSecond: []float64{40, 160, 318, 450}[r.IntN(4)], searchers: 8, failing: []float64{0, 0.1, 0.9}[r.IntN(3)],
		timeout: time.Duration(1+r.IntN(4)) * time.Second, attempts: 2 + r.IntN(2), restarts: r.IntN(2) == 0, quietFrom: scenarioLength}
	sc.config = retrybudget.Config{Ratio: 0.2, Slack: []float64{0, 58, 152}[r.IntN(3)], Window: span}
	for from := time.Duration(r.IntN(8000)) * time.Millisecond; from < scenarioLength; from += time.Duration(r.IntN(10_000)) * time.Millisecond {
		s := stall{from: from, to: from + time.Duration(500+r.IntN(6000))*time.Millisecond, share: []float64{0.25, 0.5, 1}[r.IntN(3)]}
		sc.stalls = append(sc.stalls, s)
		from = s.to
	}
	if r.IntN(4) == 0 {
		sc.quietFrom = scenarioLength * 2 / 3
	}
	if every := time.Duration(2+r.IntN(20)) * time.Second; r.IntN(2) == 0 {
		sc.failFrom = scenarioLength / 2
		sc.moveClients(every)
	}
	return sc, r
}

// moveClients makes clients move from some mixers to others at regular intervals.
func (sc *scenario) moveClients(every time.Duration) {
	for at := time.Duration(0); at < scenarioLength; at += every {
		sc.moves = append(sc.moves, at)
	}
}

// readTime returns when a searcher reads an attempt that reaches it at the given time.
func (sc *scenario) readTime(searcher int, at time.Duration) time.Duration {
	for _, s := range sc.stalls {
		if at >= s.from && at < s.to && float64(searcher) < s.share*float64(sc.searchers) {
			at = s.to
		}
	}
	return at
}

// run runs the scenario and returns the arrivals and the number of retries.
func (sc *scenario) run(r *rand.Rand) (arrived arrivals, retries int) {
	budgets := make([]*retrybudget.Budget, sc.mixers)
	restart := func(m int) {
		budgets[m] = retrybudget.New(sc.config)
		budgets[m].SetMixerCount(sc.mixers)
	}
	for m := range budgets {
		restart(m)
	}
	receivers, moves := r.Perm(sc.mixers), sc.moves
	var inFlight []*request
	var reads [][]time.Duration
	for now := time.Duration(0); now < scenarioLength; now += timeStep {
		if sc.restarts && now%span == 0 {
			for m := range budgets {
				if r.IntN(3) == 0 {
					restart(m)
					inFlight = slices.DeleteFunc(inFlight, func(q *request) bool { return q.mixer == m })
				}
			}
		}
		if now < sc.quietFrom {
			for len(moves) > 0 && now >= moves[0] {
				moves = moves[1:]
				receivers = r.Perm(sc.mixers)[:(sc.mixers+1)/2]
			}
			for n := sc.perSecond * timeStep.Seconds(); n > 0 && r.Float64() < n; n-- {
				q := &request{mixer: receivers[r.IntN(len(receivers))], until: now + sc.timeout}
				arrived.requests = append(arrived.requests, now)
				budgets[q.mixer].RequestArrived(now, service)
				sc.send(budgets[q.mixer], now, q, r)
				inFlight = append(inFlight, q)
			}
		}
		r.Shuffle(len(inFlight), func(a, b int) { inFlight[a], inFlight[b] = inFlight[b], inFlight[a] })
		inFlight = slices.DeleteFunc(inFlight, func(q *request) bool {
			sc.advance(budgets[q.mixer], now, q, r)
			if !q.over {
				return false
			}
			reads = append(reads, readTimes(q))
			return true
		})
	}
	for _, q := range inFlight {
		reads = append(reads, readTimes(q))
	}
	for _, times := range reads {
		arrived.retries = append(arrived.retries, times[1:]...)
	}
	return arrived, len(arrived.retries)
}

// readTimes returns the sorted times at which the attempts of a request are read.
func readTimes(q *request) (times []time.Duration) {
	for _, a := range q.attempts {
		times = append(times, a.read)
	}
	slices.Sort(times)
	return times
}

// send sends an attempt of a request.
func (sc *scenario) send(b *retrybudget.Budget, now time.Duration, q *request, r *rand.Rand) {
	a := &attempt{sent: now, fails: now >= sc.failFrom && r.Float64() < sc.failing}
	a.read = sc.readTime(r.IntN(sc.searchers), now+wireTime)
	a.ends = a.read + workTime
	if a.answered = a.ends <= q.until; !a.answered {
		a.ends = q.until
	}
	q.attempts = append(q.attempts, a)
	q.history.sent(b, now)
}

// advance records the attempts of a request that have ended, and retries it if that is wanted and allowed.
func (sc *scenario) advance(b *retrybudget.Budget, now time.Duration, q *request, r *rand.Rand) {
	succeeded, open := false, 0
	for _, a := range q.attempts {
		if !a.known && now >= a.ends {
			a.known = true
			q.history.ended(b, now, a.answered)
		}
		if !a.known {
			open++
		}
		succeeded = succeeded || a.known && a.answered && !a.fails
	}
	if succeeded || now >= q.until {
		q.over = open == 0 // a mixer waits for the end of all attempts in flight
		return
	}
	last := q.attempts[len(q.attempts)-1]
	wantsRetry := last.known || now-last.sent > hedgeTime
	if wantsRetry && len(q.attempts) < sc.attempts && q.history.allows(b, now, q.until) {
		sc.send(b, now, q, r)
	}
}

// checkScenarios runs the scenarios in parallel as subtests and fails those that exceed the budget.
func checkScenarios(t *testing.T, scenarios map[string]func() (scenario, *rand.Rand)) {
	t.Helper()
	for _, name := range slices.SortedFunc(mapsKeys(scenarios), cmp.Compare) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sc, r := scenarios[name]()
			arrived, retries := sc.run(r)
			excess, when := arrived.maxExcessFor(sc.config)
			must.LessEq(t, 0, excess, must.Sprintf("%+v: %d retries, over the limit by %.0f at %v", sc, retries, excess, when))
		})
	}
}

// mapsKeys returns an iterator over the keys of m.
func mapsKeys[V any](m map[string]V) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// TestBudgetAtArrival checks that the retries that searchers read stay within the rule, however long the searchers stall and
// whatever the mixers have abandoned by the time they resume.
func TestBudgetAtArrival(t *testing.T) {
	scenarios := map[string]func() (scenario, *rand.Rand){}
	for seed := range uint64(40) {
		scenarios[fmt.Sprint("drawn ", seed)] = func() (scenario, *rand.Rand) { return draw(seed) }
	}
	for _, length := range []time.Duration{0, 2, 3, 4} {
		scenarios[fmt.Sprint("all stand still for seconds: ", int(length))] = func() (scenario, *rand.Rand) {
			return scenario{config: retrybudget.Config{Ratio: 0.2, Slack: 152, Window: span}, mixers: 56, perSecond: 318, searchers: 8, failing: 0.9,
				timeout: 2500 * time.Millisecond, attempts: 2, quietFrom: scenarioLength, stalls: []stall{{20 * time.Second, 20*time.Second + length*time.Second, 1}}}, rand.New(rand.NewPCG(1, 54))
		}
	}
	checkScenarios(t, scenarios)
}

// TestBudgetWhenClientsMove guards against mixers that each spend by their own largest window. When clients move, mixers that
// had many requests and now have few, and others with the reverse, then exceed the rule together: an earlier version allowed 61
// retries too many out of 636.
func TestBudgetWhenClientsMove(t *testing.T) {
	scenarios := map[string]func() (scenario, *rand.Rand){}
	for _, every := range []time.Duration{5, 7, 10} {
		for _, before := range []time.Duration{0, 1, 2} {
			scenarios[fmt.Sprintf("each %d s, searchers fail from %d s before", int(every), int(before))] = func() (scenario, *rand.Rand) {
				sc := scenario{config: retrybudget.Config{Ratio: 0.2, Window: span}, mixers: 56, perSecond: 318, searchers: 8, failing: 1, failFrom: (20 - before) * time.Second,
					timeout: 2500 * time.Millisecond, attempts: 3, quietFrom: scenarioLength}
				sc.moveClients(every * time.Second)
				return sc, rand.New(rand.NewPCG(1, 54))
			}
		}
	}
	checkScenarios(t, scenarios)
}
