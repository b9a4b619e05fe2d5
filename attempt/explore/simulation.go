package explore

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"peathollow/attempt"
	"peathollow/internal/proto"
	"peathollow/policy"
)

// Simulation is one run: the coordinator under test, its policy, and a simulated outside that records what really
// happened there. chooser makes every choice, so that a run is determined by its choices alone.
type Simulation struct {
	setup       *Setup
	coordinator *attempt.Coordinator
	chooser     func(n int, label func(int) string) int
	free        *freePolicy // nil with the policy engine
	engine      *policy.Engine

	now            time.Duration
	inBatch        bool
	reduceOrder    bool // partial order reduction: independent steps are offered in one order
	reduceSymmetry bool // symmetry reduction: of several interchangeable searchers only one is offered
	scans          []*scan
	dispatches     []*dispatch
	conns          []*conn
	searchers      []listedSearcher
	faultsUsed     int
	listVersion    int64
	stopped        bool
	quiet          bool     // no more choices: the outside does nothing
	labelAll       bool     // the chooser is also called for steps with a single alternative, so that it sees their labels
	policyDepth    int      // depth of calls within which the policy or a connection chooses
	outcomes       []string // of the scans

	requested map[[2]uint64]bool // part ID and attempt number of each dispatch that the policy requested
	returned  map[[2]uint64]bool
	violation *Violation
	property  string // the only property to check; empty means all
}

// scan is a client's request, and the values that were really received for it.
type scan struct {
	index       int
	request     *attempt.Scan
	submittedAt time.Duration
	step        int // the current one
	replies     int
	received    []receivedValue
}

type receivedValue struct {
	step, shard int
	value       string
}

func (s *scan) name() string { return fmt.Sprintf("scan %d", s.index+1) }

func (s *scan) hasReceived(step, shard int, value string) bool {
	return slices.Contains(s.received, receivedValue{step, shard, value})
}

func (s *scan) receivedShards(step int) int {
	var shards uint64
	for _, c := range s.received {
		if c.step == step {
			shards |= 1 << c.shard
		}
	}
	n := 0
	for ; shards > 0; shards &= shards - 1 {
		n++
	}
	return n
}

func (s *scan) hasReceivedFor(x *dispatch) bool {
	return slices.ContainsFunc(s.received, func(c receivedValue) bool { return c.step == x.step && c.shard == x.shard })
}

// listedSearcher is the state of a searcher in the list.
type listedSearcher struct {
	state     policy.SearcherState
	moved     bool          // it returned at another address
	removed   bool          // it was removed at least once
	changedAt time.Duration // when the list last marked it as draining or removed
}

// dispatchState is what really became of a dispatch.
type dispatchState uint8

const (
	queued     dispatchState = iota // its write has not started
	writing                         // the connection has started to write its frame and has not finished
	onWire                          // fully written, with no known end
	answered                        // its answer was passed to the coordinator
	withdrawn                       // removed from the queue before its write started
	cancelRead                      // the searcher is known to have read its cancellation
	ended                           // the searcher ended the connection, or its frame can no longer be completed
)

// dispatch is one attempt of a part, as it really went.
type dispatch struct {
	conn             *conn
	scan             *scan
	seq              uint64
	wireID           string
	shard            int
	step             int
	index            int // among the dispatches of its part that were passed to a connection
	state            dispatchState
	outcome          policy.Outcome // of the answer
	writtenAt        time.Duration  // when it was fully written
	written          bool
	cancelWritten    bool // a frame that cancels it was written after it
	answeredTwice    bool
	reportedInFlight bool
	droppedByRestart bool // it was in flight when the coordinator restarted
}

func (x *dispatch) name() string {
	step := ""
	if x.step > 0 {
		step = " of the second step"
	}
	return fmt.Sprintf("part %d%s of %s (dispatch %d)", x.shard+1, step, x.scan.name(), x.index+1)
}

// mayBeRunning reports whether the searcher may be running it now or may run it later.
func (x *dispatch) mayBeRunning() bool { return x.state == writing || x.state == onWire }

// mayHaveRun reports whether it was fully written and not rejected.
func (x *dispatch) mayHaveRun() bool {
	return x.written && (x.state != answered || x.outcome != policy.Overloaded)
}

// mayHaveRun reports whether any part of a scan may have run.
func (sim *Simulation) mayHaveRun(s *scan) bool {
	return slices.ContainsFunc(sim.dispatches, func(x *dispatch) bool { return x.scan == s && x.mayHaveRun() })
}

var errClosedByMixer = errors.New("closed by this mixer")

// NewSimulation creates a run of a mixer. Its first batch, with the searcher list and one scan, is run by begin.
func NewSimulation(setup *Setup, chooser func(n int, label func(int) string) int) *Simulation {
	sim := &Simulation{setup: setup, chooser: chooser, requested: map[[2]uint64]bool{}, returned: map[[2]uint64]bool{}}
	sim.searchers = make([]listedSearcher, setup.Searchers)
	sim.coordinator = attempt.NewWith(setup.mixerSettings, limits(), sim, time.Unix(1e9, 0), sim.newPolicy)
	return sim
}

// begin passes the list and the first scan to the coordinator; its choices are the first of a run.
func (sim *Simulation) begin() {
	sim.openBatch()
	sim.guard(func() { sim.sendList(policy.Full) })
	sim.coordinator.Start()
	sim.submit("x")
	sim.closeBatch()
}

func (sim *Simulation) newPolicy(actions policy.Actions, now time.Duration) attempt.Policy {
	sim.free, sim.engine = nil, nil
	if sim.setup.Policy == "free" {
		sim.free = newFreePolicy(sim, actions, now)
		return checkedPolicy{sim, sim.free}
	}
	sim.engine = policy.New(sim.setup.mixerSettings.Policy, checkedActions{actions, sim}, now)
	return checkedPolicy{sim, sim.engine}
}

// openBatch starts a batch unless one is open.
func (sim *Simulation) openBatch() {
	if !sim.inBatch {
		sim.inBatch = true
		sim.coordinator.BeginBatch(sim.now, sim.guard)
	}
}

// closeBatch ends the batch and checks what must hold after it.
func (sim *Simulation) closeBatch() {
	sim.inBatch = false
	sim.coordinator.EndBatch(sim.guard)
	sim.checkBatchEnd()
}

// errPolicyPanic is the value of an injected panic of the policy.
var errPolicyPanic = errors.New("injected panic of the policy")

// guard recovers from panics and restarts the coordinator, as its owner does in the serving program. A panic that was
// not injected is a violation.
func (sim *Simulation) guard(f func()) {
	defer func() {
		if e := recover(); e != nil {
			if e != errPolicyPanic {
				sim.violate(propNoPanic, "%v", e)
				return
			}
			for _, x := range sim.dispatches {
				x.droppedByRestart = true
			}
			sim.requested = map[[2]uint64]bool{}
			sim.coordinator.Restart()
		}
	}()
	f()
}

func (sim *Simulation) submit(queryID string) {
	query := proto.Query{ID: queryID, Class: "t", Tenant: "one", Key: "k", Wait: clientWait}
	for i := range sim.setup.Parts {
		query.Parts = append(query.Parts, proto.Part{Shard: i, Weight: 1 / float64(sim.setup.Parts)})
	}
	s := &scan{index: len(sim.scans), submittedAt: sim.now}
	s.request = &attempt.Scan{Query: query, Reply: func(a attempt.Answer) { sim.reply(s, a) }}
	sim.scans = append(sim.scans, s)
	sim.guard(func() { sim.coordinator.Admit(s.request, 0) })
}

func (sim *Simulation) reply(s *scan, a attempt.Answer) {
	var body struct {
		Exact bool
		Rows  []proto.Row
	}
	kind := [...]string{"completed", "throttled", "abandoned", "unfit"}[a.Kind]
	rows, duplicate := map[int]string{}, 0
	if a.Kind == attempt.Completed {
		if err := json.Unmarshal(a.Body, &body); err != nil {
			sim.violate(propValues, "%s: unreadable answer: %v", s.name(), err)
		}
		for _, r := range body.Rows {
			if _, ok := rows[r.Shard]; ok {
				duplicate = r.Shard + 1
			}
			rows[r.Shard] = r.Value
		}
	}
	sim.outcomes = append(sim.outcomes,
		fmt.Sprintf("%s %s %d %t after %v", s.name(), kind, len(rows), body.Exact, sim.now-s.submittedAt))
	sim.checkReply(s, body.Exact, rows, duplicate, kind)
}

// sendList passes the state of all searchers to the coordinator.
func (sim *Simulation) sendList(mode policy.ListMode) {
	sim.listVersion++
	list := proto.List{Version: sim.listVersion, Full: mode == policy.Full}
	for i, r := range sim.searchers {
		addr := searcherName(i)
		if r.moved {
			addr += "'"
		}
		list.Hosts = append(list.Hosts, proto.Host{Name: searcherName(i), Addr: addr, State: r.state, Weight: 1})
	}
	sim.coordinator.ApplyList(mode, list)
}

func searcherName(i int) string { return string(rune('a' + i)) }

// Open and the methods after it implement attempt.Transport.
func (sim *Simulation) Open(addr string, connection *attempt.Connection) attempt.TransportConn {
	c := &conn{sim: sim, connection: connection, index: len(sim.conns), searcher: int(addr[0] - 'a'), addr: addr}
	sim.conns = append(sim.conns, c)
	return c
}

func (sim *Simulation) RequestList()                 {}
func (sim *Simulation) PartsLost(string, int, error) {}
func (sim *Simulation) PartsUnconfirmed(string, int) {}
func (sim *Simulation) ListApplied(proto.List)       {}
func (sim *Simulation) ListUnavailable()             {}
func (sim *Simulation) LogCounters(attempt.Counters) {}

func (sim *Simulation) visitInFlight(c attempt.TransportConn, seq uint64, wireID string) {
	sim.checkReportedInFlight(c.(*conn), seq, wireID)
}

// checkSecondStep checks what a part of the second step states about the first.
func (sim *Simulation) checkSecondStep(s *scan, k proto.Call) {
	for _, shard := range k.From {
		if !slices.ContainsFunc(s.received, func(c receivedValue) bool { return c.step == 0 && c.shard == shard }) {
			sim.violate(propSecondStep, "%s lists shard %d, which had not answered in the first step", k.ID, shard+1)
		}
	}
	if !slices.Contains(k.From, k.Shard) || k.Whole && len(k.From) < sim.setup.Parts || !slices.IsSorted(k.From) {
		sim.violate(propSecondStep, "%s, of shard %d, lists shards %v of the first step, whole: %t", k.ID, k.Shard+1, k.From, k.Whole)
	}
}

// checkedPolicy wraps the policy and checks the results that the coordinator reports to it.
type checkedPolicy struct {
	sim *Simulation
	attempt.Policy
}

func (d checkedPolicy) Returned(id uint64, number int, outcome policy.Outcome, duration time.Duration) {
	d.sim.checkReturned(id, number, outcome == policy.Overloaded || outcome == policy.Unreachable || outcome == policy.Expired)
	d.Policy.Returned(id, number, outcome, duration)
}

// checkedActions wraps the actions of the policy engine and records the dispatches that it requests.
type checkedActions struct {
	policy.Actions
	sim *Simulation
}

func (a checkedActions) Dispatch(part uint64, searcher int, deadline time.Duration) {
	a.sim.recordRequested(part)
	a.Actions.Dispatch(part, searcher, deadline)
}

// Complete ends the current step of the scan; the end of the first starts the second, if there is one.
func (a checkedActions) Complete(id uint64, whole bool) {
	a.sim.endFirstStep()
	a.Actions.Complete(id, whole)
}

// endFirstStep records that the policy completed the first step.
func (sim *Simulation) endFirstStep() { sim.scans[len(sim.scans)-1].step = sim.setup.Steps - 1 }

// recordRequested records that the policy requested a dispatch of a part.
func (sim *Simulation) recordRequested(part uint64) {
	for number := uint64(0); ; number++ {
		if k := [2]uint64{part, number}; !sim.requested[k] {
			sim.requested[k] = true
			return
		}
	}
}

// faultAllowed reports whether a fault may still happen in this run.
func (sim *Simulation) faultAllowed(f Fault) bool {
	return !sim.quiet && sim.faultsUsed < sim.setup.MaxFaults && sim.setup.enabled[f]
}

// spendFault counts one fault of the run. It always returns true, for use in conditions.
func (sim *Simulation) spendFault() bool {
	sim.faultsUsed++
	return true
}

// inPolicyCall reports whether a choice is made by the policy, or by a connection within a call.
func (sim *Simulation) inPolicyCall() bool { return sim.policyDepth > 0 }

// choose selects one of n alternatives; a quiet outside takes the first.
func (sim *Simulation) choose(n int, label func(int) string) int {
	if n == 0 || sim.quiet || n == 1 && !sim.labelAll {
		return 0
	}
	return sim.chooser(n, label)
}
