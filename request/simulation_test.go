package request

import (
	"bytes"
	"cmp"
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/retrybudget"
)

// simulation replaces the connections, the searchers, the list and the configuration changes, and checks each answer
// against its own records of what may have run and what was listed. It uses none of the state of the Coordinator under
// test for this.
type simulation struct {
	coordinator *Coordinator
	rng         *rand.Rand
	now         time.Duration
	events      eventQueue
	eventSeq    uint64
	fault       string // name of the injected fault
	violations  []string
	log         interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}

	routes           []*manifest.Route // of the current configuration version
	version          int
	services         []string
	listed           map[string]*Searcher     // current state of the list
	misdirected      map[string]time.Duration // until when searchers with a misdirected (421) response are excluded
	behaviors        map[string]policy.Outcome
	startedSearchers int

	requests   []*simRequest
	attempts   map[*Dispatch]*simAttempt
	finalKinds [Failed + 1]int
	peakParts  int // largest number of parts held at a time
}

type simRequest struct {
	*Request
	no           int
	version      int
	allowed      []string // services allowed by its configuration version
	answers      int
	clientLeft   bool
	sent         map[string][]*simAttempt // by service
	replies      map[*Reply]string        // successful replies passed in, with their services
	errorReplies map[*Reply]bool          // error replies passed in
}

type simAttempt struct {
	request    *simRequest
	searcher   Searcher
	inFlight   bool
	mayHaveRun bool
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any     { n := len(*q) - 1; x := (*q)[n]; *q = (*q)[:n]; return x }

const ms = time.Millisecond

func newSimulation(seed uint64, fault string) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), fault: fault, log: fnv.New64a(), listed: map[string]*Searcher{},
		misdirected: map[string]time.Duration{}, behaviors: map[string]policy.Outcome{}, attempts: map[*Dispatch]*simAttempt{}}
	sim.coordinator = New(Config{Seed: seed, Budget: retrybudget.Config{Ratio: 0.5, Slack: 200, Window: 10 * time.Second}}, 0)
	sim.coordinator.SetMixerCount(1)
	return sim
}

func (sim *simulation) recordViolation(format string, a ...any) {
	if len(sim.violations) < 3 {
		sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, a...))
	}
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.eventSeq++
	heap.Push(&sim.events, event{sim.now + d, sim.eventSeq, do})
}

// run processes the events of the simulation and the timers of the Coordinator in order of time, up to until or the
// first violation.
func (sim *simulation) run(until time.Duration) {
	for sim.violations == nil {
		at, own := until, false
		if len(sim.events) > 0 && sim.events[0].at <= at {
			at, own = sim.events[0].at, true
		}
		if next, ok := sim.coordinator.NextTimer(); ok && next < at {
			at, own = next, false
		}
		if at >= until && !own {
			sim.now = until
			return
		}
		sim.now = max(sim.now, at)
		sim.coordinator.Advance(sim.now)
		sim.applyActions()
		if own {
			heap.Pop(&sim.events).(event).do()
			sim.applyActions()
		}
		sim.peakParts = max(sim.peakParts, len(sim.coordinator.parts))
		if sim.rng.IntN(4) == 0 {
			if err := sim.coordinator.Check(); err != nil {
				sim.recordViolation("%v", err)
			}
		}
	}
}

// applyActions carries out the queued actions.
func (sim *simulation) applyActions() {
	for _, a := range sim.coordinator.TakeActions(nil) {
		fmt.Fprintln(sim.log, sim.now, a.Dispatch.Searcher.ID, a.Cancel, a.Dispatch.Deadline)
		if a.Cancel {
			d := a.Dispatch
			sim.schedule(time.Duration(sim.rng.IntN(3))*ms, func() { sim.deliver(d, policy.Cancelled, nil) })
			continue
		}
		sim.dispatch(a.Dispatch)
		if sim.fault == "send twice" && sim.rng.IntN(50) == 0 {
			sim.dispatch(a.Dispatch)
		}
	}
}

// dispatch checks a dispatch and schedules its outcome.
func (sim *simulation) dispatch(d *Dispatch) {
	req := d.Request.Data.(*simRequest)
	listed := sim.listed[d.Searcher.ID]
	earlier := req.sent[d.Searcher.Service]
	switch {
	case req.answers > 0 || req.clientLeft:
		sim.recordViolation("request %d is sent after its end: %d answers, client left: %v, %+v", req.no, req.answers, req.clientLeft, req.Route)
	case listed == nil || listed.State != policy.Ready || sim.misdirected[d.Searcher.ID] > sim.now || listed.Address != d.Searcher.Address:
		sim.recordViolation("request %d is sent to %s, listed: %+v, misdirected until: %v", req.no, d.Searcher.ID, listed, sim.misdirected[d.Searcher.ID])
	case !slices.Contains(req.allowed, d.Searcher.Service):
		sim.recordViolation("request %d of version %d, %v, is sent to %s", req.no, req.version, req.allowed, d.Searcher.Service)
	case len(req.Route.FanOut) == 0 && len(req.sent) > 0 && earlier == nil:
		sim.recordViolation("request %d is sent to a second service", req.no)
	case len(earlier) >= req.Route.Retries:
		sim.recordViolation("request %d is sent to %s more than %d times", req.no, d.Searcher.Service, req.Route.Retries)
	case d.Deadline <= sim.now || d.Deadline > req.Deadline+granularity:
		sim.recordViolation("request %d is sent with deadline %v, its own deadline is %v", req.no, d.Deadline, req.Deadline)
	}
	for _, attempt := range earlier {
		if attempt.inFlight && attempt.searcher.ID == d.Searcher.ID {
			sim.recordViolation("request %d is in flight twice at %s", req.no, d.Searcher.ID)
		}
		if (attempt.inFlight || attempt.mayHaveRun) && !req.Route.Idempotent {
			sim.recordViolation("request %d may run once and is sent again", req.no)
		}
	}
	attempt := &simAttempt{request: req, searcher: *d.Searcher, inFlight: true}
	req.sent[d.Searcher.Service] = append(earlier, attempt)
	sim.attempts[d] = attempt
	sim.scheduleOutcome(d)
}

// scheduleOutcome draws the outcome of a dispatch and its time.
func (sim *simulation) scheduleOutcome(d *Dispatch) {
	elapsed := time.Duration(5+sim.rng.ExpFloat64()*20) * ms
	outcome := sim.behaviors[d.Searcher.ID]
	if sim.rng.IntN(12) == 0 {
		outcome = policy.Outcome(sim.rng.IntN(int(policy.Expired) + 1))
	}
	var reply *Reply
	switch outcome {
	case policy.Succeeded:
		reply = sim.newReply(d, 200)
	case policy.Failed:
		if sim.rng.IntN(2) == 0 { // otherwise the response is unreadable
			reply = sim.newReply(d, 500)
		}
	case policy.TimedOut:
		elapsed = time.Hour
	case policy.Overloaded, policy.Unreachable, policy.Expired:
		elapsed /= 10
	case policy.Cancelled:
		outcome = policy.ConnectionLost
	}
	if left := d.Deadline - sim.now; elapsed >= left { // the connection ends it at its deadline
		outcome, elapsed, reply = policy.TimedOut, left, nil
	}
	if sim.fault == "false proof" && outcome == policy.ConnectionLost {
		sim.attempts[d].mayHaveRun = true
		sim.schedule(elapsed, func() { sim.deliver(d, policy.Overloaded, nil) })
		return
	}
	sim.schedule(elapsed, func() { sim.deliver(d, outcome, reply) })
}

// randomReadStatus draws whether a searcher has read a dispatch with the given outcome.
func (sim *simulation) randomReadStatus(outcome policy.Outcome) ReadStatus {
	switch outcome {
	case policy.Succeeded, policy.Failed, policy.Overloaded:
		return WasRead
	case policy.Expired:
		return NotRead
	case policy.Unreachable:
		return []ReadStatus{WasRead, NotRead}[sim.rng.IntN(2)]
	}
	return MaybeRead
}

func (sim *simulation) newReply(d *Dispatch, status int) *Reply {
	body := make([]byte, sim.rng.IntN(90))
	for i := range body {
		body[i] = byte('a' + sim.rng.IntN(3)) // equal records are common
	}
	return &Reply{Status: status, Seal: fmt.Sprintf("%s/%d/%d", d.Searcher.ID, d.Request.Data.(*simRequest).no, sim.rng.Uint32()), Body: body}
}

// deliver passes in the outcome of a dispatch, once: a cancellation and a response can both be scheduled.
func (sim *simulation) deliver(d *Dispatch, outcome policy.Outcome, reply *Reply) {
	attempt := sim.attempts[d]
	if !attempt.inFlight {
		return
	}
	attempt.inFlight = false
	attempt.mayHaveRun = attempt.mayHaveRun || outcome != policy.Overloaded && outcome != policy.Unreachable && outcome != policy.Expired
	if reply != nil {
		if outcome == policy.Succeeded {
			attempt.request.replies[reply] = attempt.searcher.Service
		} else {
			attempt.request.errorReplies[reply] = true
		}
	}
	if outcome == policy.Unreachable && sim.rng.IntN(2) == 0 { // its address belongs to another searcher
		sim.misdirected[d.Searcher.ID] = sim.now + misdirectedFor
		sim.coordinator.ReportMisdirected(d.Searcher, true)
	}
	sim.coordinator.Returned(d, outcome, sim.randomReadStatus(outcome), reply)
	if sim.rng.IntN(20) == 0 {
		sim.coordinator.Returned(d, policy.Succeeded, WasRead, sim.newReply(d, 200)) // a second end of the same dispatch is ignored
	}
}

// beginRequest starts a client's request on one of the current routes.
func (sim *simulation) beginRequest() {
	route := sim.routes[sim.rng.IntN(len(sim.routes))]
	req := &simRequest{no: len(sim.requests), version: sim.version, sent: map[string][]*simAttempt{}, replies: map[*Reply]string{},
		errorReplies: map[*Reply]bool{}}
	for _, s := range route.Split {
		if s.Gain > 0 {
			req.allowed = append(req.allowed, s.Service)
		}
	}
	req.allowed = append(slices.Concat(req.allowed, route.FanOut), slices.DeleteFunc([]string{route.Plant}, func(s string) bool { return s == "" })...)
	left := time.Duration(sim.rng.IntN(700)) * ms
	if sim.rng.IntN(10) == 0 {
		left = time.Duration(sim.rng.IntN(12)) * ms
	}
	req.Request = &Request{Route: route, Deadline: sim.now + min(left, route.Horizon), Data: req, Done: func(f Final) { sim.checkFinal(req, f) }}
	sim.requests = append(sim.requests, req)
	sim.coordinator.Begin(req.Request)
	if sim.rng.IntN(8) == 0 {
		sim.schedule(time.Duration(sim.rng.IntN(150))*ms, func() {
			if req.answers == 0 {
				req.clientLeft = true
			}
			sim.coordinator.ClientLeft(req.Request)
		})
	}
}

// checkFinal checks a final answer.
func (sim *simulation) checkFinal(req *simRequest, f Final) {
	req.answers++
	sim.finalKinds[f.Kind]++
	switch sim.fault {
	case "no answer":
		if sim.rng.IntN(20) == 0 {
			req.answers--
		}
	case "refuse what ran":
		if f.Kind == Failed {
			f = Final{Kind: Refused}
		}
	case "miscount":
		f.Missing++
	case "one record less":
		f.Body = f.Body[:max(0, len(f.Body)-recordSize)]
	case "two answers":
		req.answers += sim.rng.IntN(20) / 19
	}
	fmt.Fprintln(sim.log, sim.now, req.no, f.Kind, f.Missing, f.RetryAfter, f.Seals, f.DeadlineReached)
	if req.answers > 1 || req.clientLeft {
		sim.recordViolation("request %d: answer %d, client left: %v", req.no, req.answers, req.clientLeft)
	}
	n := len(req.Route.FanOut)
	switch f.Kind {
	case Relayed:
		if n > 0 || req.replies[f.Reply] == "" && !req.errorReplies[f.Reply] {
			sim.recordViolation("request %d: the reply was sent by no searcher", req.no)
		}
	case Gathered:
		sim.checkGathered(req, &f)
	case Refused:
		for _, attempts := range req.sent {
			for _, attempt := range attempts {
				if !req.Route.Idempotent && (attempt.mayHaveRun || attempt.inFlight) {
					sim.recordViolation("request %d is refused and may have run", req.no)
				}
			}
		}
	}
}

// checkGathered checks the coverage and the merged records of a gathered answer.
func (sim *simulation) checkGathered(req *simRequest, f *Final) {
	n := len(req.Route.FanOut)
	var records [][]byte
	var services []string
	for reply, service := range req.replies {
		if slices.Contains(f.Seals, reply.Seal) {
			services = append(services, service)
			records = append(records, slices.Collect(slices.Chunk(reply.Body[:len(reply.Body)/recordSize*recordSize], recordSize))...)
		}
	}
	slices.Sort(services)
	if len(slices.Compact(services)) != len(f.Seals) || len(f.Seals) == 0 || len(f.Seals)+f.Missing != n {
		sim.recordViolation("request %d: %d seals, of %v, %d missing of %d", req.no, len(f.Seals), services, f.Missing, n)
	}
	if float64(len(f.Seals))/float64(n) < req.Route.MinCoverage {
		sim.recordViolation("request %d: %d of %d parts answered, minimum coverage is %v", req.no, len(f.Seals), n, req.Route.MinCoverage)
	}
	slices.SortFunc(records, func(a, b []byte) int { return -cmp.Compare(string(a), string(b)) })
	if want := bytes.Join(records[:min(len(records), req.Route.TopK)], nil); !bytes.Equal(want, f.Body) {
		sim.recordViolation("request %d: body %q, expected %q", req.no, f.Body, want)
	}
}
