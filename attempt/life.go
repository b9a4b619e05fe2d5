package attempt

import (
	"time"

	"peathollow/internal/config"
	"peathollow/internal/proto"
	"peathollow/policy"
)

// Limits bound what is held.
type Limits struct {
	Open        int           // scans and parts held
	PerSearcher int           // connections to one searcher
	Lanes       int           // connections to all searchers together
	Parts       int           // parts that one connection carries at once
	Past        int           // parts no longer out whose answers a connection still knows
	LaneIdle    time.Duration // ahead of the time after which a searcher closes
	LogEvery    time.Duration // between tallies
}

// Conn is one connection, perhaps still coming up. Nothing of it blocks; its events come back through Life.
type Conn interface {
	Send(calls []proto.Call) (seq uint64, ok bool)      // queues a frame; false if it takes no more
	GiveUp(id string, proof bool) (seq uint64, ok bool) // Told follows, with proof once the searcher has read it
	Recall(seq uint64, id string) bool                  // takes a part back out of a frame not begun to be written
	Ran(seq uint64) bool                                // the frame's last byte is known to be written
	Begun(seq uint64) bool                              // it was taken up to be written: its answer may come before Ran tells
	Shut() bool                                         // it takes nothing more
	Close()                                             // Closing and Closed follow
	Fail(why error)
}

// Port is the outside.
type Port interface {
	Open(addr string, l *Lane) Conn
	Ask() // for the list
	Lost(searcher string, parts int, why error)
	InDoubt(searcher string, parts int)
	Listed(l proto.List)
	Silent() // the list can't be had
	Tally(t Tally)
}

// Kind is how a scan ended.
type Kind uint8

const (
	Completed Kind = iota
	Throttled
	Abandoned
	Unfit // the request itself is at fault
)

// Answer is a scan's final one.
type Answer struct {
	Kind  Kind
	Body  []byte
	After time.Duration // when to come back
	Fault error
}

// Decider is what decides on all that is in hand: the module, or what the explorer puts in its place. It acts through
// the policy.Actions it was given, within these calls.
type Decider interface {
	Advance(now time.Duration)
	ListBegin(mode policy.ListMode)
	ListEntry(i int, st policy.SearcherState, weight float64, started time.Duration, cell int)
	ListEnd(mode policy.ListMode)
	Scan(id, no uint64, class, tenant int, left, work time.Duration, parts int, repeat bool)
	Part(id, no uint64, shard int, weight float64)
	Returned(id uint64, no int, out policy.Outcome, took time.Duration)
	ClientLeft(id uint64)
	Woke(token uint64)
	Forget(i int)
	Probed(i int, ago time.Duration, answered bool)
	SetAdmission(shares []float64)
}

// Witness is told what comes and how it ends, for those who share that with other mixers. It is called within a batch, and
// must not block.
type Witness interface {
	Came(class, tenant, parts int, again bool) // tenant below 0: none that is known
	Ended(kind Kind, class int, took time.Duration)
	Carried() // a searcher did a part
}

// Life is all that is in hand, and the module that decides on it.
type Life struct {
	lim   Limits
	set   *config.Settings
	port  Port
	start time.Time // what times are counted from; never read as a clock
	now   time.Duration
	fresh func(policy.Actions, time.Duration) Decider
	m     Decider

	ready  []task // results of the batch before, while the next opens
	later  []task // results known at once; they wait for the next batch, as if they came from outside
	timers timers
	next   task   // what run is about to do
	run    func() // made into a value once
	book   book
	fleet  fleet
	out    []sending // what the module sent in this batch
	leave  func()    // flush, made into a value once: a batch allocates nothing for it
	stopAt time.Duration
	sees   Witness // nil where nobody wants to know

	version int64 // of the list held
}

// New makes one that holds nothing. Times are counted from start.
func New(set *config.Settings, lim Limits, port Port, start time.Time) *Life {
	return NewWith(set, lim, port, start, func(act policy.Actions, now time.Duration) Decider {
		return policy.New(set.Brain, act, now)
	})
}

// NewWith makes one that something else than the module decides for; fresh is called again after a panic.
func NewWith(set *config.Settings, lim Limits, port Port, start time.Time,
	fresh func(act policy.Actions, now time.Duration) Decider) *Life {
	o := &Life{lim: lim, set: set, port: port, start: start, fresh: fresh, book: newBook(), fleet: newFleet()}
	o.leave = o.flush
	o.run = func() { o.do(o.next) }
	o.m = fresh(o, 0)
	return o
}

// Watch has somebody told what comes and how it ends, from now on.
func (o *Life) Watch(w Witness) { o.sees = w }

// Let hands the module what the fleet as one has room for, see policy.Engine.SetAdmission.
func (o *Life) Let(shares []float64) { o.m.SetAdmission(shares) }

// Begin starts what is done again and again, once the list last known was handed over.
func (o *Life) Begin() {
	o.sweep()
	o.report()
}

// At opens a batch: all till Flush happens at that time. What was known at once in the batch before comes first.
func (o *Life) At(now time.Duration, guard func(func())) {
	o.now = now
	o.m.Advance(now)
	o.ready, o.later = o.later, o.ready[:0]
	for len(o.ready) > 0 { // a panic in one of them lets go of the rest
		o.next, o.ready = o.ready[0], o.ready[1:]
		guard(o.run)
	}
}

// Due does what its time has come for, then sends what the module wants sent. It closes a batch.
func (o *Life) Due(guard func(func())) {
	for t, ok := o.timers.due(o.now); ok; t, ok = o.timers.due(o.now) {
		o.next = t
		guard(o.run)
	}
	guard(o.leave)
}

// Next is how long nothing is to be done if nothing happens.
func (o *Life) Next(now time.Duration) time.Duration {
	if len(o.later) > 0 {
		return 0
	}
	return o.timers.next(now)
}

// Now is the time of the batch.
func (o *Life) Now() time.Duration { return o.now }

// Restart follows a panic: every scan in hand is answered, and the module starts anew with the list as known.
func (o *Life) Restart() {
	o.ready, o.later, o.out, o.timers = nil, nil, nil, timers{}
	for _, s := range o.book.inOrder() {
		s.Reply(Answer{Kind: Abandoned})
	}
	last := o.book.lastID // old ids may still be heard of
	o.book = newBook()
	o.book.lastID = last
	for _, s := range o.fleet.srvs {
		s.live = 0
		for _, l := range s.lanes {
			clear(l.out)
			clear(l.kills) // who hears of them would count what is not counted any more
			l.retire()
		}
	}
	o.m = o.fresh(o, o.now)
	o.m.Advance(o.now)
	o.relist()
	o.Begin()
	if o.stopAt > 0 {
		o.Stop(o.stopAt - o.now)
	}
}

// Wake and Subscribe are actions of the module.
func (o *Life) Wake(at time.Duration, token uint64) {
	o.timers.add(at, task{what: wake, token: token})
}

func (o *Life) Subscribe() { o.port.Ask() }

// Hosts are the searchers there are, in the order of their places.
func (o *Life) Hosts() (hosts []proto.Host) {
	for _, s := range o.fleet.srvs {
		if s.host.Name != "" && s.host.State != policy.Gone {
			hosts = append(hosts, s.host)
		}
	}
	return hosts
}

// Version is of the list held.
func (o *Life) Version() int64 { return o.version }

// Beside puts something that is no part on a connection to a searcher, one that is up if there is any.
func (o *Life) Beside(name string, put func(Conn) bool) bool {
	i, ok := o.fleet.byName[name]
	if !ok || o.fleet.srvs[i].host.State == policy.Gone {
		return false
	}
	s := o.fleet.srvs[i]
	for _, l := range s.lanes {
		if !l.retired && put(l.conn) {
			l.used = o.now
			return true
		}
	}
	l := o.lane(s, 1)
	if l == nil || !put(l.conn) {
		return false
	}
	l.used = o.now
	return true
}

// Probed hands the module what came of a probe.
func (o *Life) Probed(name string, ago time.Duration, answered bool) {
	if i, ok := o.fleet.byName[name]; ok {
		o.m.Probed(i, ago, answered)
	}
}
