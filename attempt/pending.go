package attempt

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"peathollow/internal/proto"
	"peathollow/policy"
)

// pending.go holds the scans and parts in flight, and ends them.

// pending indexes the scans and parts in flight.
type pending struct {
	scans          map[uint64]*Scan
	byRequestID    map[string]*Scan
	parts          map[uint64]*part
	byWireID       map[string]*part
	lastID         uint64
	lastScanNumber uint64
	open           int // scans, plus parts without a value; limited by Limits.Open
	counters       Counters
}

// Counters counts scans and attempts that ended since the counters were last logged, and holds current totals.
type Counters struct {
	Scans       [Invalid + 1]int        // ended scans, by kind of answer
	Parts       [policy.Expired + 1]int // ended attempts, by outcome
	ClientsLeft int                     // clients that disconnected before the answer
	Rejected    int                     // scans rejected because Limits.Open was reached
	Unconfirmed int                     // attempts whose connection closed without confirmation that they had ended
	Open        int                     // current scans, plus parts without a value
	Connections int                     // current connections
}

func newPending() pending {
	return pending{scans: map[uint64]*Scan{}, byRequestID: map[string]*Scan{},
		parts: map[uint64]*part{}, byWireID: map[string]*part{}}
}

// Scan is a client's query and its state while it is in flight. The caller sets Query and Reply.
type Scan struct {
	id, number        uint64
	Query             proto.Query
	class             int
	admittedAt        time.Duration
	step              int          // 0, or 1 in the second step of a table type that has one
	parts             []*part      // of the current step
	firstStepShards   []int        // shards that had returned a value when the first step ended
	secondStepParts   []*part      // parts of the first step to be continued in the second
	firstStepComplete bool         // whether the first step's result was complete
	Reply             func(Answer) // called exactly once, within the call that ends the scan
}

// part is the piece of a scan that goes to one shard.
type part struct {
	id       uint64
	scan     *Scan
	shard    int
	wireID   string // id in frames; not unique if a client reuses a request id
	attempts []attempt
	inFlight int  // attempts in flight
	hasValue bool // an answer with a value was received
	ended    bool // its step is over
	value    string
	score    float64
}

// attempt is one dispatch of a part to a searcher.
type attempt struct {
	searcher  *searcher
	conn      *Connection // nil until it is handed to a connection
	seq       uint64      // sequence number of its frame
	startedAt time.Duration
	deadline  time.Duration
	inFlight  bool
	neverRan  bool           // it is no longer in flight and is known never to have run
	outcome   policy.Outcome // Expired, or how it ends once its cancel is confirmed
}

func (p *pending) nextID() uint64 {
	p.lastID++
	return p.lastID
}

func (p *pending) addScan(s *Scan) {
	p.lastScanNumber++
	s.id, s.number = p.nextID(), p.lastScanNumber
	p.scans[s.id], p.byRequestID[s.Query.ID] = s, s
	p.open++
}

// scansInOrder returns the scans in flight, oldest first, so that the same events lead to the same actions.
func (p *pending) scansInOrder() []*Scan {
	return slices.SortedFunc(maps.Values(p.scans), func(a, b *Scan) int { return cmp.Compare(a.id, b.id) })
}

func (p *pending) addPart(s *Scan, shard int, wireID string) *part {
	added := &part{id: p.nextID(), scan: s, shard: shard, wireID: wireID}
	s.parts = append(s.parts, added)
	p.parts[added.id], p.byWireID[wireID] = added, added
	p.open++
	return added
}

// closeStep releases the parts of a scan's current step. Parts with an attempt in flight are kept until it returns.
func (c *Coordinator) closeStep(s *Scan) {
	for _, p := range s.parts {
		p.ended = true
		if !p.hasValue {
			c.pending.open--
		}
		c.withdrawUnsent(p)
		c.releaseUnconfirmed(p)
		c.pending.removeIfDone(p)
	}
	s.parts = nil
}

// releaseUnconfirmed ends attempts on closed connections, whose end will never be confirmed. No attempt of the part is
// made after its step is over, so they no longer have to count as in flight.
func (c *Coordinator) releaseUnconfirmed(p *part) {
	for index := range p.attempts {
		if a := &p.attempts[index]; a.inFlight && a.conn != nil && a.conn.closed {
			c.deferReturned(p, index, a.lossOutcome())
		}
	}
}

// removeIfDone drops a part whose step is over and that has no attempt in flight.
func (p *pending) removeIfDone(removed *part) {
	if removed.ended && removed.inFlight == 0 {
		delete(p.parts, removed.id)
		if p.byWireID[removed.wireID] == removed { // the id may be in use again, after the client reused its request id
			delete(p.byWireID, removed.wireID)
		}
	}
}

// end ends a scan with its single final answer.
func (c *Coordinator) end(s *Scan, answer Answer) {
	delete(c.pending.scans, s.id)
	delete(c.pending.byRequestID, s.Query.ID)
	c.pending.open--
	c.closeStep(s)
	c.pending.counters.Scans[answer.Kind]++
	if c.observer != nil {
		c.observer.ScanEnded(answer.Kind, s.class, c.now-s.admittedAt)
	}
	s.Reply(answer)
}

// logCounters passes on the counters of the last interval for logging, in one record however many scans and attempts ended,
// and none if there were none.
func (c *Coordinator) logCounters() {
	c.timers.add(c.now+c.limits.LogInterval, task{kind: counterLog})
	counters := c.pending.counters
	if counters == (Counters{}) {
		return
	}
	c.pending.counters = Counters{}
	counters.Open, counters.Connections = c.pending.open, c.searchers.connections
	c.transport.LogCounters(counters)
}

// deferReturned schedules returned for an attempt whose end is known immediately, because the policy must not be called
// from within its own actions.
func (c *Coordinator) deferReturned(p *part, index int, outcome policy.Outcome) {
	c.deferred = append(c.deferred, task{kind: attemptDone, part: p, index: int32(index), outcome: outcome})
}

// returned records how an attempt ended and reports it to the policy.
func (c *Coordinator) returned(p *part, index int, outcome policy.Outcome) {
	a := &p.attempts[index]
	if !a.inFlight {
		return
	}
	a.inFlight = false
	a.neverRan = outcome == policy.Overloaded || outcome == policy.Unreachable || outcome == policy.Expired
	p.inFlight--
	a.searcher.inFlight--
	c.pending.counters.Parts[outcome]++
	if c.observer != nil && outcome == policy.Succeeded {
		c.observer.PartSucceeded()
	}
	if conn := a.conn; conn != nil {
		conn.attemptReturned(p, index, outcome == policy.Cancelled || outcome == policy.TimedOut, c.now)
	}
	c.policy.Returned(p.id, index, outcome, c.now-a.startedAt)
	c.pending.removeIfDone(p)
}
