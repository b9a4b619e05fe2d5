package request

import (
	"math/rand/v2"
	"time"

	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/retrybudget"
)

// Config holds the parameters of New.
type Config struct {
	Seed   uint64
	Budget retrybudget.Config
	// Previous is the Coordinator that this one replaces after a fault, or nil. The spent retry budget, the misdirected
	// searchers, the suspects and the time of Stop are taken over from it.
	Previous *Coordinator
	// InjectFault, if set, is called at each Step with the services of the group. Tests use it to inject panics.
	InjectFault func(step Step, services []string)
}

// pauseThreshold is the interval between two calls of Advance above which the process is taken to have been paused. The
// caller calls Advance at least once per MaxAdvanceInterval, even without events.
const pauseThreshold = time.Second

// MaxAdvanceInterval is the longest interval between two calls of Advance.
const MaxAdvanceInterval = 400 * time.Millisecond

// catchUpPeriod is the time allowed after a pause of the process to read what arrived during the pause.
const catchUpPeriod = 20 * time.Millisecond

// Coordinator coordinates all requests in flight. It is not safe for concurrent use.
type Coordinator struct {
	config      Config
	now         time.Duration
	rng         *rand.Rand
	budget      *retrybudget.Budget
	groups      map[groupKey]*group
	searchers   map[string]*Searcher // by id
	misdirected map[string]misdirection
	suspects    suspects
	// addressCounts holds the number of listed searchers per address.
	addressCounts map[string]int
	parts         map[uint64]*part
	requests      map[uint64]*Request
	lastID        uint64
	timers        timers
	resumedAt     time.Duration // end of the last pause of the process; 0 if there was none
	totalPaused   time.Duration // total time of all pauses
	// budgetUntil is the deadline of the retry for which the policy last queried the retry budget.
	budgetUntil time.Duration
	stopAt      time.Duration // see Stop; 0 if the process keeps running
	stopped     bool          // stopAt has passed and no request is in flight any more
	abandoned   bool          // after Abandon
	deciding    *group        // group whose engine is running; see Contain
	actions     []Action
	Counts      Counts
}

// New returns a Coordinator without requests.
func New(config Config, now time.Duration) *Coordinator {
	c := &Coordinator{config: config, now: now, rng: rand.New(rand.NewPCG(config.Seed, 0)),
		groups: map[groupKey]*group{}, searchers: map[string]*Searcher{}, parts: map[uint64]*part{}, requests: map[uint64]*Request{}}
	if previous := config.Previous; previous != nil {
		c.budget, c.misdirected, c.suspects = previous.budget, previous.misdirected, previous.suspects
		c.stopAt = previous.stopAt
		c.config.Previous = nil
		return c
	}
	c.budget, c.misdirected = retrybudget.New(config.Budget), map[string]misdirection{}
	c.suspects = suspects{since: map[string]time.Duration{}}
	return c
}

// Budget returns the retry budget.
func (c *Coordinator) Budget() *retrybudget.Budget { return c.budget }

// SetMixerCount sets the number of running mixers; see retrybudget.Budget.
func (c *Coordinator) SetMixerCount(n int) { c.budget.SetMixerCount(n) }

// Advance sets the clock, which never goes back, and fires the timers that are due. After a pause of the process,
// timers wait for catchUpPeriod so that the caller can first pass in the events that arrived during the pause.
func (c *Coordinator) Advance(now time.Duration) {
	if now-c.now > pauseThreshold {
		c.resumedAt = now
		c.totalPaused += now - c.now
	}
	c.now = max(c.now, now)
	if c.now < c.timersDueFrom() {
		return
	}
	for {
		due, ok := c.timers.pop(c.now)
		if !ok {
			break
		}
		if !due.group.failed {
			due.group.timerDue(due.token)
		}
	}
	if c.stopDue() {
		c.endAll()
	}
}

// NextTimer returns the time of the next timer, and false if there is none.
func (c *Coordinator) NextTimer() (time.Duration, bool) {
	at, ok := c.timers.next()
	if c.stopAt > 0 && !c.stopped && (!ok || c.stopAt < at) {
		at, ok = c.stopAt, true
	}
	return max(at, c.timersDueFrom()), ok
}

// isCatchingUp reports whether the process may still be reading what arrived during a pause.
func (c *Coordinator) isCatchingUp() bool { return c.now < c.timersDueFrom() }

// timersDueFrom returns the time from which timers may fire; 0 if the process never paused.
func (c *Coordinator) timersDueFrom() time.Duration {
	if c.resumedAt == 0 {
		return 0
	}
	return c.resumedAt + catchUpPeriod
}

// TakeActions appends the queued actions to into and clears the queue.
func (c *Coordinator) TakeActions(into []Action) []Action {
	for i := 0; i < len(c.actions); i++ {
		action := c.actions[i]
		switch d := action.Dispatch; {
		case !d.inFlight: // it ended before its cancellation was carried out
		case d.Request.ended && !action.Cancel:
			c.Returned(d, policy.Expired, NotRead, nil) // its request ended in the event that queued it
		default:
			into = append(into, action)
		}
	}
	clear(c.actions)
	c.actions = c.actions[:0]
	return into
}

// InFlight returns the number of requests without a final answer.
func (c *Coordinator) InFlight() int { return len(c.requests) }

// Begin starts a request. Its Done may be called before Begin returns.
func (c *Coordinator) Begin(r *Request) {
	c.Counts.Taken++
	r.id = c.nextID()
	c.requests[r.id] = r // first, so that the request is answered if anything below panics
	services := r.Route.FanOut
	if len(services) == 0 {
		services = []string{c.chooseService(r.Route)}
	}
	g := c.groupFor(services)
	r.group, r.services = g, services
	if c.stopDue() {
		c.finish(r, Final{Kind: Refused, Reason: Stopping, RetryAfter: minRetryAfter})
		return
	}
	if r.Deadline <= c.now {
		c.finish(r, Final{Kind: Refused, Reason: DeadlinePassed, RetryAfter: minRetryAfter})
		return
	}
	g.begin(r, r.Deadline-c.now)
}

// chooseService returns the service of a request that is not fanned out, by the weights of the route's split if it has
// one.
func (c *Coordinator) chooseService(r *manifest.Route) string {
	if len(r.Split) == 0 {
		return r.Plant
	}
	sum := 0.0
	for _, s := range r.Split {
		sum += s.Gain
	}
	point := c.rng.Float64() * sum
	for _, s := range r.Split {
		if point -= s.Gain; point < 0 && s.Gain > 0 {
			return s.Service
		}
	}
	for _, s := range r.Split {
		if s.Gain > 0 {
			return s.Service
		}
	}
	return r.Split[0].Service
}

// ClientLeft handles the departure of a client: its dispatches in flight are cancelled.
func (c *Coordinator) ClientLeft(r *Request) {
	if r.ended || r.group == nil || r.group.coordinator != c {
		return
	}
	c.Counts.ClientsLeft++
	r.group.drop(r)
	r.ended = true
	delete(c.requests, r.id)
	for _, p := range r.parts {
		c.releasePart(p)
	}
	c.cancelDispatches(r)
}

// cancelDispatches queues the cancellation of a request's dispatches in flight.
func (c *Coordinator) cancelDispatches(r *Request) {
	for _, p := range r.parts {
		for _, d := range p.dispatches {
			if d.inFlight {
				c.actions = append(c.actions, Action{Dispatch: d, Cancel: true})
			}
		}
	}
}

// Returned handles the end of a dispatch. The reply is nil if no complete response was received.
func (c *Coordinator) Returned(d *Dispatch, outcome policy.Outcome, status ReadStatus, reply *Reply) {
	if !d.inFlight || d.Request.group.coordinator != c || c.abandoned {
		return
	}
	d.inFlight, d.outcome, d.elapsed = false, outcome, c.now-d.sentAt-(c.totalPaused-d.pausedBefore)
	c.Counts.Outcomes[outcome]++
	if d.attempt > 0 {
		c.budget.RetryEnded(c.now, d.part.service, c.now-d.sentAt)
	}
	if r := d.Request; !r.ended && reply != nil {
		switch {
		case outcome == policy.Succeeded && d.part.reply == nil:
			d.part.reply = reply
		case outcome != policy.Succeeded:
			r.errorReply = reply
		}
	}
	c.recordReadStatus(d, status)
	d.Request.group.returned(d, outcome, d.elapsed)
	c.releasePart(d.part)
}

// recordReadStatus passes the end of a dispatch to the retry budget.
func (c *Coordinator) recordReadStatus(d *Dispatch, status ReadStatus) {
	p := d.part
	switch status {
	case WasRead:
		c.budget.AttemptRead(c.now, p.service, &p.history)
	case NotRead:
		c.budget.AttemptUnsent(c.now, p.service, &p.history)
	default:
		c.budget.AttemptAbandoned(c.now, p.service, &p.history)
	}
}

// releasePart deletes a part of an ended request once none of its dispatches is in flight.
func (c *Coordinator) releasePart(p *part) {
	if !p.request.ended {
		return
	}
	for _, d := range p.dispatches {
		if d.inFlight {
			return
		}
	}
	delete(c.parts, p.id)
}

// finish gives a request its final answer, unless it has ended already.
func (c *Coordinator) finish(r *Request, final Final) {
	if r.ended {
		return
	}
	r.ended = true
	delete(c.requests, r.id)
	for _, p := range r.parts {
		if p.isDenied(c) {
			c.budget.PartDenied(c.now, p.service)
		}
	}
	switch final.Kind {
	case Relayed:
		c.Counts.Relayed++
	case Gathered:
		c.Counts.Gathered++
		if final.Missing > 0 {
			c.Counts.Partial++
		}
	case Refused:
		c.Counts.Refused++
		final.Attempts = c.attempts(r)
		if final.Reason == "" {
			final.Reason = c.refusalReason(r)
		}
	case Failed:
		c.Counts.Failed++
		final.Attempts = c.attempts(r)
		if final.Reason == "" {
			final.Reason = c.failureReason(r, final.DeadlineReached)
		}
	}
	for _, p := range r.parts {
		c.releasePart(p)
	}
	r.Done(final)
}

func (c *Coordinator) nextID() uint64 {
	c.lastID++
	return c.lastID
}
