package policy

import (
	"cmp"
	"iter"
	"time"

	"peathollow/sliding"
)

// The state that the policy works on. No decisions are made in this file.

// class holds the settings and statistics of a table type.
type class struct {
	target, timeout, repeatWindow time.Duration
	stretch, benefit              float64
	lateCounts                    bool // an answer after the target still has value
	effect                        Effect
	need, floor, minShare         float64 // minShare: lower limit of share
	secondStep                    int
	threshold                     float64       // part latency in seconds above which share decreases
	share                         float64       // share of a scan's weight that is sent, heaviest parts first
	maxAttempts                   int           // dispatches allowed per part
	latencyRatio                  ewma          // a scan's time in part latencies
	size                          ewma          // parts per scan
	leaving                       float64       // share of scans whose client left
	patience                      time.Duration // time after which a quarter of the clients that leave have left
	longestLeft                   float64       // longest remaining time of an arriving scan, as a share of the timeout
	shortAttempts                 ewma          // share of first attempts with a shorter remaining time
}

// searcher holds what is known of one searcher.
type searcher struct {
	state          SearcherState
	shard          int
	weight         float64
	started        time.Duration
	reachableSince time.Duration // when it answered again after having been unreachable
	unreachable    bool          // a connect failed since the last answer
	latency        ewma
	lastAnswer     time.Duration
	quietSince     time.Duration // last sign of activity, or when the first of the parts in flight was sent
	callsInFlight  int
	partsInFlight  int
	lastUsed       time.Duration // last use of its connection by this mixer
	idleStep       int           // doubling step of the connection's idle time before its present use
	suspect        bool          // the last outcome on its connection was a loss
	failures       int           // since the last answer
	lastFailure    time.Duration
	failureRate    float64       // estimated share of failures
	ejectedUntil   time.Duration // not used earlier if there is another holder
	fullUntil      time.Duration // not used earlier at all
	fullSince      time.Duration // first refusal as full since the last answer
	coldBudget     bucket
	openCall       int32 // call that parts of the same batch may still join, or -1
	openCallAt     time.Duration
	listed         bool
	countedIn      int // the last holderCount in which it was counted
	distance       int // 0 near, 1 farther, 2 farthest
}

// call is a group of parts that go to one searcher in the same batch; it counts once in the searcher's load.
type call struct {
	total, inFlight int
}

// attempt is one dispatch of a part.
type attempt struct {
	searcher, call int32
	sentAt         time.Duration
	idleStep       int // doubling step of the connection's idle time
	inFlight       bool
	cancelled      bool
	untested       bool // sent to a searcher without a recent answer
	neverRan       bool // proved not to have run
}

// part is the piece of a scan that goes to one shard.
type part struct {
	id       uint64
	scan     int32
	class    int32
	shard    int
	weight   float64
	tieBreak float64
	attempts []attempt
	inFlight int           // attempts in flight
	answered bool          // its answer counts
	lost     bool          // given up
	ended    bool          // its scan or step has ended
	failedAt time.Duration // last outcome without an answer
}

// scan is a pending scan. It has one step, or two if its table type has a second one.
type scan struct {
	id, number                 uint64
	class                      int32
	tenant                     int32
	arrivedAt                  time.Duration
	target                     time.Duration
	deadline                   time.Duration
	expected                   int
	step                       int
	repeat                     bool
	firstStepWhole             bool          // the first step's answer was whole
	mostPartsAt                time.Duration // when most parts of the first step were answered
	adjusted                   bool          // has adjusted the threshold while pending
	firstStepRan               bool          // a part of the first step may have run
	parts                      []int32
	firstPart                  int // index of the current step's first part
	answeredWeight, lostWeight float64
	passed                     int
	connectionsLost            int  // parts whose connection was lost
	harmful                    bool // suspected to crash searchers: connections were lost and no part passed
	metFull                    bool // a part met a full searcher
	probing                    bool // a single part is sent first
	handle                     stepHandler
}

// idleReport collects the reports of other mixers on connections idle for one step.
type idleReport struct {
	lastFrom, reporters int
	lastAt              time.Duration
}

// result is the event passed to a stepHandler.
type result struct {
	part           int32 // -1 if only time has passed
	passed         bool
	connectionLost bool
}

// stepHandler handles the events of a scan in its current phase.
type stepHandler func(e *Engine, si int32, r result)

// Engine is the dispatch policy of one routing instance: pending scans, statistics, and values derived from its settings.
type Engine struct {
	actions          Actions
	now              time.Duration
	rng              rng
	classes          []class
	searchers        []searcher
	shards           [][]int32
	scans            slab[scan]
	parts            slab[part]
	calls            slab[call]
	byID             map[uint64]int32 // indices of parts, and of scans as ^index
	byNumber         map[uint64]int32
	latency          ewma    // part latency, seconds
	median           float64 // of the part latency
	deviation        ewma    // mean deviation of the part latency
	averageLatency   float64 // assumed of searchers without an answer
	latencySum       float64 // over ready searchers that have answered
	latencyCount     int     // number of those
	holderCount      int     // number of counts of holders made
	meanWeight       float64 // over ready searchers
	inFlight         int     // parts in flight
	ready            int     // searchers that accept parts
	passRate         ewma    // passes per second
	recentRate       ewma    // passes per second, over a fraction of a second
	peakRate         float64 // recent peak of recentRate, decaying
	bestLatency      ewma    // latency of the quickest parts
	searcherRate     ewma    // passes per second and ready searcher, over seconds
	peakSearcherRate float64 // recent peak of searcherRate, decaying
	passedSinceTick  int
	passedTotal      int  // passes since the start
	meanBenefit      ewma // per scan
	meanSize         ewma // parts per scan
	lastTick         time.Duration
	cautiousUntil    time.Duration // end of the cautious period after a lost connection
	untestedLoss     ewma          // share of losses at searchers without a recent answer
	idleLoss         [8]float64    // share of losses on idle connections, by doubling step of the idle time
	hedgeBudget      bucket
	requests         sliding.Window
	retries          sliding.Window

	shardSpan, partsPerCall, maxAttempts                  int
	mayHedge, retryAdvice, budgeted, mayCancel            bool
	mayGossip                                             bool
	idleReports                                           [8]idleReport
	granularity, maxRetryAfter, listInterval, subscribeAt time.Duration
	subscribeBackoff                                      time.Duration
	warmUp, overloadSpan                                  time.Duration
	coldShare, overloadMultiple, mixers                   float64
	minTarget                                             time.Duration // shortest target of all table types
	budgetFree, budgetShare                               float64
	budgetSpan                                            time.Duration
	quotas                                                []float64
	quotaBuckets                                          []bucket
	admission                                             []float64 // see SetAdmission; empty if the fleet has set none
	rankByExpectedAnswer                                  bool
	inFlightAllowance                                     float64
	waitToDeadline                                        bool
	budgetAllows                                          func(shard int, until time.Duration) bool
}

// AddTypes adds table types and shards to those of the settings, for a configuration that changes while the process runs. State
// is kept. It returns the index of the first new type.
func (e *Engine) AddTypes(types []TableType, shards int) int {
	first := len(e.classes)
	for _, t := range types {
		e.minTarget = min(cmp.Or(e.minTarget, t.Target), t.Target)
		e.classes = append(e.classes, class{target: t.Target, timeout: t.Timeout, repeatWindow: t.RepeatWindow,
			stretch: t.Stretch, benefit: max(t.Benefit, epsilon), lateCounts: t.LateShare > 0, effect: t.Effect, need: t.Need,
			floor: t.Floor, minShare: t.Floor + minShareMargin*(t.Need-t.Floor), secondStep: t.SecondStep,
			threshold: t.Target.Seconds(), share: 1, maxAttempts: max(1, cmp.Or(t.MaxAttempts, e.maxAttempts))})
	}
	e.shards = append(e.shards, make([][]int32, shards)...)
	return first
}

// SetAdmission sets the share of each kind of scan that the fleet as a whole has capacity for: by table type, and within each by
// tenant, preceded by the share of scans without a tenant. An empty slice, or shares of 1, admit everything.
func (e *Engine) SetAdmission(shares []float64) { e.admission = shares }

// admittedShare returns the share set with SetAdmission for a scan's table type and tenant.
func (e *Engine) admittedShare(sc *scan) float64 {
	if i := int(sc.class)*(len(e.quotas)+1) + int(sc.tenant) + 1; i < len(e.admission) && int(sc.tenant) < len(e.quotas) {
		return e.admission[i]
	}
	return 1
}

// newSearcher returns the state of a searcher about which nothing is known.
func (e *Engine) newSearcher() searcher {
	return searcher{openCall: -1, state: Gone, started: LongAgo, reachableSince: LongAgo, lastUsed: LongAgo,
		coldBudget: bucket{at: e.now, level: e.rng.uniform(0)}}
}

// Forget releases the index of a searcher that is gone and has no parts in flight. The index may be reused for another one.
func (e *Engine) Forget(i int) { e.searchers[i] = e.newSearcher() }

// noHolder reports whether the list names no searcher for a part's shard.
func (e *Engine) noHolder(p *part) bool {
	for range e.holders(p.shard) {
		return false
	}
	return true
}

// holders iterates over the ready searchers that hold a shard.
func (e *Engine) holders(shard int) iter.Seq[int32] {
	return func(yield func(int32) bool) {
		for j := range min(e.shardSpan, len(e.shards)) {
			for _, i := range e.shards[(shard+j)%len(e.shards)] {
				if !yield(i) {
					return
				}
			}
		}
	}
}

// SetDistance sets a searcher's distance: 0 near, 1 farther, 2 farthest. The default is near.
func (e *Engine) SetDistance(i, far int) { e.searchers[i].distance = far }
