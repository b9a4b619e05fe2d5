package attempt

import (
	"time"

	"peathollow/internal/config"
	"peathollow/internal/proto"
	"peathollow/policy"
)

// Limits bound the state in flight.
type Limits struct {
	Open                   int           // scans, plus parts without a value
	ConnectionsPerSearcher int           // connections to one searcher
	Connections            int           // connections to all searchers together
	PartsPerConnection     int           // parts in flight on one connection
	AnswerHistory          int           // entries of a connection's answer history
	IdleTimeout            time.Duration // idle time after which a connection is closed; shorter than the searchers' own
	LogInterval            time.Duration // interval between logs of the counters
}

// TransportConn is a connection to a searcher, possibly still being opened. Its methods do not block; its events are reported
// through the methods of Coordinator. After Cancel with proof, CancelsConfirmed follows only once the searcher has read the
// cancel, otherwise once it is written.
type TransportConn interface {
	Send(calls []proto.Call) (seq uint64, ok bool)      // queues a frame; false if no more frames are accepted
	Cancel(id string, proof bool) (seq uint64, ok bool) // queues a cancel; CancelsConfirmed follows
	Withdraw(seq uint64, id string) bool                // removes a part from a frame whose write has not begun
	Written(seq uint64) bool                            // the frame is known to be written completely
	WriteStarted(seq uint64) bool                       // its write has begun: its answer may arrive before Written reports true
	Closing() bool                                      // no more frames are accepted
	Close()                                             // ConnectionClosing and ConnectionClosed follow
	Fail(cause error)                                   // like Close, after an error
}

// Transport opens connections and receives requests for the searcher list and reports for the log and metrics.
type Transport interface {
	Open(addr string, conn *Connection) TransportConn
	RequestList()                                      // requests the searcher list
	PartsLost(searcher string, parts int, cause error) // parts were in flight on a connection that failed
	PartsUnconfirmed(searcher string, parts int)       // a connection closed without confirmation that its parts had ended
	ListApplied(list proto.List)                       // a list was applied
	ListUnavailable()                                  // the list could not be had
	LogCounters(counters Counters)                     // logs the counters
}

// AnswerKind is the kind of a scan's final answer.
type AnswerKind uint8

const (
	Completed AnswerKind = iota // Body holds the result, perhaps with parts missing
	Throttled                   // the client may safely retry
	Abandoned                   // no guarantee: parts may have run
	Invalid                     // the request itself is invalid
)

// Answer is the final answer to a scan.
type Answer struct {
	Kind       AnswerKind
	Body       []byte
	RetryAfter time.Duration // when the client may retry
	Err        error
}

// Policy decides which attempts are made and how scans end. It is policy.Engine, or a replacement in package explore. It
// acts only within these calls, through the policy.Actions it was given.
type Policy interface {
	Advance(now time.Duration)
	ListBegin(mode policy.ListMode)
	ListEntry(searcher int, state policy.SearcherState, weight float64, started time.Duration, shard int)
	ListEnd(mode policy.ListMode)
	Scan(id, number uint64, class, tenant int, remaining, work time.Duration, parts int, retry bool)
	Part(id, scanNumber uint64, shard int, weight float64)
	Returned(id uint64, attempt int, outcome policy.Outcome, latency time.Duration)
	ClientLeft(id uint64)
	Woke(token uint64)
	Forget(searcher int)
	Probed(searcher int, ago time.Duration, answered bool)
	SetAdmission(shares []float64)
}

// Observer observes the arrival and the end of scans, for state that is shared with other mixers. Its methods are called
// within a batch and must not block.
type Observer interface {
	ScanArrived(class, tenant, parts int, retry bool) // tenant is negative if it is not known
	ScanEnded(kind AnswerKind, class int, duration time.Duration)
	PartSucceeded() // a searcher answered a part successfully
}

// Coordinator holds all scans, parts and connections in flight and passes events to the policy that decides on them.
type Coordinator struct {
	limits    Limits
	settings  *config.Settings
	transport Transport
	start     time.Time // times are relative to it; never read as a clock
	now       time.Duration
	newPolicy func(policy.Actions, time.Duration) Policy
	policy    Policy

	current     []task // results deferred by the previous batch, while this one opens
	deferred    []task // results for the next batch, where they are handled like outside events
	timers      timers
	nextTask    task   // the task that runNext runs
	runNext     func() // runs nextTask; a func value made once to avoid allocations
	pending     pending
	searchers   searcherTable
	unsent      []queuedAttempt // attempts dispatched in this batch
	flushUnsent func()          // flush, as a func value made once: a batch allocates nothing for it
	stopAt      time.Duration
	observer    Observer // nil if there is none

	listVersion int64 // version of the list last applied
}

// New returns an empty Coordinator that is driven by policy.Engine. Times are counted from start.
func New(settings *config.Settings, limits Limits, transport Transport, start time.Time) *Coordinator {
	return NewWith(settings, limits, transport, start, func(act policy.Actions, now time.Duration) Policy {
		return policy.New(settings.Policy, act, now)
	})
}

// NewWith returns an empty Coordinator with another policy. newPolicy is called again after a panic.
func NewWith(settings *config.Settings, limits Limits, transport Transport, start time.Time,
	newPolicy func(act policy.Actions, now time.Duration) Policy) *Coordinator {
	c := &Coordinator{limits: limits, settings: settings, transport: transport, start: start, newPolicy: newPolicy,
		pending: newPending(), searchers: newSearcherTable()}
	c.flushUnsent = c.flush
	c.runNext = func() { c.do(c.nextTask) }
	c.policy = newPolicy(c, 0)
	return c
}

// SetObserver sets the observer of the scans from now on.
func (c *Coordinator) SetObserver(observer Observer) { c.observer = observer }

// SetAdmission passes the admitted shares of the traffic to the policy, see policy.Engine.SetAdmission.
func (c *Coordinator) SetAdmission(shares []float64) { c.policy.SetAdmission(shares) }

// Start starts the periodic tasks. The last known list must have been applied before.
func (c *Coordinator) Start() {
	c.closeIdle()
	c.logCounters()
}

// BeginBatch opens a batch: everything until EndBatch happens at that time. Results deferred by the previous batch are handled
// first.
func (c *Coordinator) BeginBatch(now time.Duration, guard func(func())) {
	c.now = now
	c.policy.Advance(now)
	c.current, c.deferred = c.deferred, c.current[:0]
	for len(c.current) > 0 { // Restart, after a panic in one of them, discards the rest
		c.nextTask, c.current = c.current[0], c.current[1:]
		guard(c.runNext)
	}
}

// EndBatch runs the tasks that are due and then sends the attempts that the policy dispatched. It closes a batch.
func (c *Coordinator) EndBatch(guard func(func())) {
	for t, ok := c.timers.due(c.now); ok; t, ok = c.timers.due(c.now) {
		c.nextTask = t
		guard(c.runNext)
	}
	guard(c.flushUnsent)
}

// NextDelay returns the time until the next task, if nothing happens before.
func (c *Coordinator) NextDelay(now time.Duration) time.Duration {
	if len(c.deferred) > 0 {
		return 0
	}
	return c.timers.next(now)
}

// Now returns the time of the batch.
func (c *Coordinator) Now() time.Duration { return c.now }

// Restart recovers from a panic: it answers every scan in flight and starts a new policy with the known list.
func (c *Coordinator) Restart() {
	c.current, c.deferred, c.unsent, c.timers = nil, nil, nil, timers{}
	for _, s := range c.pending.scansInOrder() {
		s.Reply(Answer{Kind: Abandoned})
	}
	lastID := c.pending.lastID // events with old ids may still arrive
	c.pending = newPending()
	c.pending.lastID = lastID
	for _, s := range c.searchers.entries {
		s.inFlight = 0
		for _, conn := range s.connections {
			clear(conn.inFlight)
			clear(conn.cancels) // confirming them later would decrement counts that were reset
			conn.retire()
		}
	}
	c.policy = c.newPolicy(c, c.now)
	c.policy.Advance(c.now)
	c.passFullList()
	c.Start()
	if c.stopAt > 0 {
		c.Stop(c.stopAt - c.now)
	}
}

// Wake implements policy.Actions.
func (c *Coordinator) Wake(at time.Duration, token uint64) {
	c.timers.add(at, task{kind: policyWake, token: token})
}

// Subscribe implements policy.Actions.
func (c *Coordinator) Subscribe() { c.transport.RequestList() }

// Hosts returns the listed searchers, in the order of their indexes.
func (c *Coordinator) Hosts() (hosts []proto.Host) {
	for _, s := range c.searchers.entries {
		if s.host.Name != "" && s.host.State != policy.Gone {
			hosts = append(hosts, s.host)
		}
	}
	return hosts
}

// Version returns the version of the list last applied.
func (c *Coordinator) Version() int64 { return c.listVersion }

// SendOutOfBand calls send with a connection to a searcher, preferably one that is already open, to send something other than
// a part. It reports whether send succeeded.
func (c *Coordinator) SendOutOfBand(name string, send func(TransportConn) bool) bool {
	i, ok := c.searchers.byName[name]
	if !ok || c.searchers.entries[i].host.State == policy.Gone {
		return false
	}
	s := c.searchers.entries[i]
	for _, conn := range s.connections {
		if !conn.retired && send(conn.transport) {
			conn.lastUsed = c.now
			return true
		}
	}
	conn := c.connectionFor(s, 1)
	if conn == nil || !send(conn.transport) {
		return false
	}
	conn.lastUsed = c.now
	return true
}

// Probed reports the result of a probe to the policy.
func (c *Coordinator) Probed(name string, ago time.Duration, answered bool) {
	if i, ok := c.searchers.byName[name]; ok {
		c.policy.Probed(i, ago, answered)
	}
}
