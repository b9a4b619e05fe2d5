package duty

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Parameters of the scheduling rules. docs/duties.md derives the bounds from them.
const (
	outOfLeaseDivisor   = 2    // all out-of-lease runs together reach at most 1/outOfLeaseDivisor of the intended rate
	silenceIntervals    = 2.5  // an out-of-lease run requires this many intervals without a known answer of the target,
	silenceLeases       = 2    // plus this many lease promises
	maxClockDrift       = 0.01 // relative drift between two clocks over one lease; a generous limit
	clockJumpDivisor    = 4    // a clock step longer than Lease/clockJumpDivisor is not counted as elapsed time
	claimsPerLease      = 3    // claims are sent every Lease/claimsPerLease
	resultsPerInterval  = 4    // results are sent every shortestInterval/resultsPerInterval
	maxBatchResults     = 256  // results per message
	maxPendingClaims    = 4    // claims whose grants still count
	handOverRetryLeases = 20   // leases until a share is offered again to a member that did not acquire it
)

// Scheduler schedules the duties of one instance. Its clock is the caller's clock without the steps that are not counted
// as elapsed time.
type Scheduler struct {
	settings Settings
	actions  Actions

	callerTime    time.Duration // last reading of the caller's clock
	now           time.Duration
	generation    uint64        // incremented at each clock jump; runs planned in an earlier generation are void
	grantsFrom    time.Duration // no grants before this time: grants made before the start are unknown
	agesKnownFrom time.Duration // until then messages may have been delayed by a pause, so the ages in them are unknown
	nextClaim     time.Duration
	nextResults   time.Duration
	stopped       bool

	peers    map[string]*peer // members of the current view by name, including this instance
	names    []string         // sorted names of peers
	shares   []shareState
	pending  []pendingClaim // oldest first
	claimSeq uint64

	targets   []targetState
	freeSlots []int32
	byID      []map[uint64]int32 // slots in targets by ID, per kind
	timers    *TimerWheel
	runs      map[uint64]plannedRun
	lastToken uint64
	unsent    []int32 // targets whose latest result has not been sent to the peers
	waiting   []int32 // targets that are due while the limit of concurrent runs is reached
	counts    Counts
}

// Counts counts events since the start of the instance.
type Counts struct {
	// Permitted runs, runs that reached their target, runs out of lease, and planned runs that were not permitted.
	Run, Reached, Turns, Dropped uint64
	// Leases acquired, leases lost, shares handed over, and clock jumps.
	Took, Lost, HandedOn, Steps uint64
	// Results accepted, results of unlisted targets, messages rejected, and messages that could not be decoded.
	Heard, Unknown, Foreign, Nonsense uint64
}

type peer struct {
	incarnation uint64
	seed        uint64
}

// shareState is what an instance knows of one share. The promised fields bind the instance only as a voter.
type shareState struct {
	promisedTo          string // the claimant to which this instance promised its vote, possibly itself
	promisedIncarnation uint64
	promisedSeq         uint64 // latest granted claim of that claimant
	promisedUntil       time.Duration

	leasedUntil     time.Duration // end of the lease of this instance, 0 if it has none
	leasedSince     time.Duration
	handedOverUntil time.Duration // a claim sent before this time follows a hand-over to this instance; 0 without one
	freeSince       time.Duration // no holder is known since this time
	rank            int           // number of members with a higher rendezvous weight for the share
	preferred       string        // the member with the highest weight
	lastOfferedTo   string        // the member that the share was last handed over to; not offered to it again before nextOffer
	nextOffer       time.Duration
	targets         []int32 // slots in Scheduler.targets
}

// pendingClaim is a claim that has been sent and whose grants still count.
type pendingClaim struct {
	seq    uint64
	sentAt time.Duration
	shares []uint16
	votes  []int // per entry of shares
	voters map[string]bool
}

// targetState is the state of one target. A kind below 0 marks a free slot.
type targetState struct {
	kind           int
	id             uint64
	name           string
	share          int32
	shareIndex     int32 // index in the share's targets
	startedAt      time.Duration
	lastRun        time.Duration // start of the latest known run by any instance; at least this instance's start
	lastReached    time.Duration // start of the latest run that got an answer
	lastOwnRun     time.Duration // start of the latest run by this instance
	nextInLease    time.Duration // next run while this instance holds the lease
	lastRunBy      string        // instance that did the run at lastRun
	lastResult     Result        // as received; its age is not kept up to date
	lastResultAt   time.Duration // start of the run that lastResult reports
	generation     uint64        // generation at lastRun; the age of a run from an earlier generation is unknown
	handedOver     bool          // the previous holder confirmed on hand-over that it knows of no run after lastRun
	lastRunCertain bool          // no run after lastRun is possible, so this instance may confirm it when it hands over
	running        bool
	unsent         bool // lastResult is listed in Scheduler.unsent
}

// plannedRun is a run that was passed to Actions.Run and has not ended.
type plannedRun struct {
	target      int32
	id          uint64
	generation  uint64
	leased      bool
	permittedAt time.Duration // -1 until permitted
}

// New returns a scheduler whose view contains only this instance.
func New(settings Settings, actions Actions, now time.Duration) (*Scheduler, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	s := &Scheduler{settings: settings, actions: actions, callerTime: now, now: now,
		grantsFrom: now + settings.promiseDuration(), peers: map[string]*peer{},
		shares: make([]shareState, settings.Shares), runs: map[uint64]plannedRun{},
		timers: NewTimerWheel(max(time.Millisecond, settings.shortestInterval()/512), now)}
	for range settings.Kinds {
		s.byID = append(s.byID, map[uint64]int32{})
	}
	s.SetMembers(nil)
	for i := range s.shares {
		s.shares[i].freeSince = now
	}
	return s, nil
}

// promiseDuration is how long a voter promises a share for one lease. It exceeds the lease so that the promise still
// stands when the lease has expired by the holder's clock, even if one step of that clock went undetected.
func (s *Settings) promiseDuration() time.Duration {
	return s.Lease + time.Duration(maxClockDrift*float64(s.Lease)) + s.maxClockStep()
}

func (s *Settings) maxClockStep() time.Duration { return s.Lease / clockJumpDivisor }

// shortestInterval is the shortest interval of all kinds. It determines the tick of the timer wheel.
func (s *Settings) shortestInterval() time.Duration {
	shortest := s.Kinds[0].Interval
	for _, k := range s.Kinds {
		shortest = min(shortest, k.Interval)
	}
	return shortest
}

func (s *Settings) majority() int { return s.Instances/2 + 1 }

// MaxAdvanceInterval returns the longest time between calls of Advance that lets clock jumps be distinguished from
// elapsed time.
func (s *Scheduler) MaxAdvanceInterval() time.Duration { return s.settings.maxClockStep() / 4 }

// Advance moves the clock to callerTime. A step backwards or beyond maxClockStep is a pause or a clock jump. These can't
// be distinguished, and the time that really passed is unknown, so the step is not counted: all leases end, planned
// runs become void, promises stand for as long as before, and ages in messages that may have been queued in sockets
// are ignored.
func (s *Scheduler) Advance(callerTime time.Duration) {
	step := callerTime - s.callerTime
	s.callerTime = callerTime
	if step >= 0 && step <= s.settings.maxClockStep() {
		s.now += step
		return
	}
	s.generation++
	s.counts.Steps++
	s.actions.Record(EventRecord{Event: ClockJumped, Share: -1})
	s.pending, s.agesKnownFrom = nil, s.now+s.settings.maxClockStep()
	for i := range s.shares {
		s.loseLease(i)
		s.discardHandOver(&s.shares[i]) // another instance may have acquired and lost the share in the meantime
	}
}

// SetMembers sets the view: the other instances that seem alive, by name and incarnation. The view only decides which
// instance claims a share; ownership is decided by leases alone.
func (s *Scheduler) SetMembers(view map[string]uint64) {
	clear(s.peers)
	for name, incarnation := range view {
		s.peers[name] = &peer{incarnation: incarnation, seed: xxh3.HashString(name)}
	}
	s.peers[s.settings.Name] = &peer{incarnation: s.settings.Incarnation, seed: xxh3.HashString(s.settings.Name)}
	s.names = s.names[:0]
	for name := range s.peers {
		s.names = append(s.names, name)
	}
	slices.Sort(s.names)
	ownSeed := s.peers[s.settings.Name].seed
	for i := range s.shares {
		share := &s.shares[i]
		ownWeight, bestWeight := rendezvousWeight(ownSeed, i), uint64(0)
		share.rank, share.preferred = 0, ""
		for _, name := range s.names {
			weight := rendezvousWeight(s.peers[name].seed, i)
			if weight > ownWeight {
				share.rank++
			}
			if share.preferred == "" || weight > bestWeight {
				share.preferred, bestWeight = name, weight
			}
		}
	}
}

// rendezvousWeight is the weight of a member for a share in rendezvous hashing: a member that joins or leaves moves
// only the shares that it gets or had.
func rendezvousWeight(seed uint64, share int) uint64 {
	x := seed ^ (uint64(share)+1)*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 29
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// schedule sets the timer of a target to its next run.
func (s *Scheduler) schedule(i int32) {
	if t := &s.targets[i]; !t.running && !s.stopped {
		s.timers.Set(i, s.nextRun(t))
	}
}

// Wake does all that is due and returns the time on the caller's clock by which it must be called again.
func (s *Scheduler) Wake() time.Duration {
	if s.stopped {
		return s.callerTime + time.Hour
	}
	for i := range s.shares {
		if share := &s.shares[i]; share.leasedUntil != 0 && share.leasedUntil <= s.now {
			s.loseLease(i)
		}
	}
	if s.now >= s.nextClaim {
		s.sendClaims()
	}
	waiting := s.waiting
	s.waiting = nil
	for _, i := range waiting {
		s.startRun(i)
	}
	s.timers.Expire(s.now, s.startRun)
	if s.now >= s.nextResults {
		s.sendResults()
	}
	next := min(s.timers.Next(), s.nextClaim, s.now+s.MaxAdvanceInterval())
	if len(s.unsent) > 0 {
		next = min(next, s.nextResults)
	}
	return s.callerTime + max(time.Millisecond, next-s.now)
}

// startRun starts a run of a target if it is still due and the limit of concurrent runs permits it.
func (s *Scheduler) startRun(i int32) {
	t := &s.targets[i]
	if t.kind < 0 || t.running {
		return
	}
	if s.nextRun(t) > s.now {
		s.schedule(i)
		return
	}
	if len(s.runs) >= s.settings.MaxConcurrent {
		s.waiting = append(s.waiting, i)
		return
	}
	s.lastToken++
	t.running = true
	s.runs[s.lastToken] = plannedRun{target: i, id: t.id, generation: s.generation,
		leased: s.holdsLease(&s.shares[t.share]), permittedAt: -1}
	s.actions.Run(s.lastToken, t.kind, t.name)
}

// Permit reports whether a planned run may be written now. It must be called immediately before the write, with a
// clock reading taken then. It denies runs that were planned before a clock jump or under a lease that has expired,
// and runs that another instance has done in the meantime.
func (s *Scheduler) Permit(token uint64, callerTime time.Duration) bool {
	s.Advance(callerTime)
	run, ok := s.runs[token]
	if !ok || run.permittedAt >= 0 || s.stopped {
		return false
	}
	t := &s.targets[run.target]
	share := &s.shares[t.share]
	if t.id != run.id || !t.running || run.generation != s.generation || run.leased != s.holdsLease(share) || s.nextRun(t) > s.now {
		return false
	}
	if run.leased && share.leasedUntil <= s.now+s.settings.WriteTimeout {
		return false // the write could still be in progress when another instance acquires the lease
	}
	run.permittedAt = s.now
	s.runs[token] = run
	interval := s.interval(t)
	t.lastRunCertain = run.leased
	outOfLease := !run.leased || s.now < max(t.nextInLease, t.lastRun+interval)
	t.lastOwnRun, t.lastRun, t.nextInLease, t.lastRunBy, t.generation = s.now, s.now, s.now+interval, s.settings.Name, s.generation
	s.counts.Run++
	if outOfLease {
		s.counts.Turns++
		s.actions.Record(EventRecord{Event: RanOutOfLease, Share: int(t.share)})
	}
	return true
}

// Done ends a planned run, whether it was permitted or not.
func (s *Scheduler) Done(token uint64, outcome Outcome, took time.Duration, load string) {
	run, ok := s.runs[token]
	if !ok {
		return
	}
	delete(s.runs, token)
	t := &s.targets[run.target]
	if t.id != run.id || t.kind < 0 {
		return
	}
	t.running = false
	if run.permittedAt < 0 {
		s.counts.Dropped++
	} else {
		if outcome == Reached || outcome == Refused {
			s.counts.Reached++
			t.lastReached = max(t.lastReached, run.permittedAt)
		}
		t.lastResult, t.lastResultAt = Result{Kind: t.kind, ID: t.id, Took: took, Outcome: outcome, Load: load}, run.permittedAt
		s.actions.ObserveResult(t.name, s.latestResult(t), s.settings.Name)
		if !t.unsent {
			t.unsent = true
			s.unsent = append(s.unsent, run.target)
		}
	}
	s.schedule(run.target)
}
