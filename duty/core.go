package duty

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Figures of the rules; docs/duties.md derives the bounds from them.
const (
	turnPart   = 2    // the turns of all instances together make 1/turnPart of the intended rate
	patience   = 2.5  // intervals without a word, and patienceL leases, before a turn is taken out of the lease
	patienceL  = 2    // leases
	drift      = 0.01 // by which clocks may run apart over a lease, generously
	leapPart   = 4    // of a lease: a step of the clock longer than that is no time that passed
	renewPart  = 3    // of a lease: claims go out that often
	sharePart  = 4    // of an interval: results go out that often
	batchMost  = 256  // results in one message
	claimsKept = 4    // claims whose grants still count
	holdOff    = 20   // leases till a share is offered again to one that did not take it
)

// Core is the state of one instance. Its clock is the caller's less all steps that were no time.
type Core struct {
	set Settings
	act Actions

	raw   time.Duration // the caller's clock, as last read
	now   time.Duration
	gen   uint64        // of plans: those made before a step of the clock are void
	mute  time.Duration // till then nothing is granted: what was granted before the start is not known
	dim   time.Duration // till then messages may have waited out a pause, and what they say has no known age
	claim time.Duration // when claims go out next
	batch time.Duration // when results do
	left  bool

	peers  map[string]*peer // by name, in the present view; this instance among them
	names  []string         // of them, sorted
	shares []share
	asks   []ask // oldest first
	seq    uint64

	items   []item
	free    []int32
	byID    []map[uint64]int32 // by kind
	wheel   *Wheel
	plans   map[uint64]plan
	token   uint64
	say     []int32 // items with a result that peers have not heard
	waiting []int32 // due, but too many duties are running
	counts  Counts
}

// Counts are what happened since the start.
type Counts struct {
	Run, Reached, Turns, Dropped      uint64 // duties permitted, those reached, out of the lease, planned but not permitted
	Took, Lost, HandedOn, Steps       uint64
	Heard, Unknown, Foreign, Nonsense uint64 // results believed, of targets not listed here; messages not believed, unreadable
}

type peer struct {
	inc  uint64
	seed uint64
}

// share is what an instance knows of one share. Who it has promised the share to binds it as a voter only.
type share struct {
	holder    string // to whom it is promised, by this instance; maybe itself
	holderInc uint64
	holderSeq uint64        // the latest of its claims that was granted
	promise   time.Duration // till then

	until   time.Duration // this instance holds it till then
	since   time.Duration // when that began
	handed  time.Duration // till then a claim counts as one of a share handed on, 0 if it was not
	unheld  time.Duration // since then nobody is known to hold it
	rank    int           // of this instance among the view, 0 for the first
	first   string        // who that is
	offered string        // to whom it was last handed on, and how long it is not offered to that one again
	notYet  time.Duration
	items   []int32
}

type ask struct {
	seq    uint64
	at     time.Duration
	shares []uint16
	votes  []int
	voters map[string]bool
}

type item struct {
	kind    int
	id      uint64
	name    string
	share   int32
	at      int32 // its place in the share's list
	born    time.Duration
	any     time.Duration // begun last by anybody, as far as is known; never before this instance's start
	reached time.Duration // begun last and answered
	own     time.Duration // begun last by this instance
	next    time.Duration // due while the share is held
	who     string        // had the last word
	last    Result        // as of when it was heard, its age aside
	lastAt  time.Duration // when what it tells of was begun
	gen     uint64        // the clock's at any: what was before a step of it has no known age
	sure    bool          // who handed the share on knew of nothing later than any
	known   bool          // nor can there be, as far as this lease goes back: it may say so when it hands on in turn
	running bool
	unsaid  bool
}

type plan struct {
	item int32
	id   uint64
	gen  uint64
	held bool
	at   time.Duration // permitted
}

// New makes an instance that knows nobody yet.
func New(s Settings, act Actions, now time.Duration) (*Core, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	c := &Core{set: s, act: act, raw: now, now: now, mute: now + s.promise(), peers: map[string]*peer{},
		shares: make([]share, s.Shares), plans: map[uint64]plan{}, wheel: NewWheel(max(time.Millisecond, s.shortest()/512), now)}
	for range s.Kinds {
		c.byID = append(c.byID, map[uint64]int32{})
	}
	c.Members(nil)
	for i := range c.shares {
		c.shares[i].unheld = now
	}
	return c, nil
}

// promise is for how long a share is promised that is leased for a lease: longer, as the promise must still stand
// when the lease has run out by another clock, one step of which may have gone unseen.
func (s *Settings) promise() time.Duration {
	return s.Lease + time.Duration(drift*float64(s.Lease)) + s.leap()
}

func (s *Settings) leap() time.Duration { return s.Lease / leapPart }

// shortest is the interval that sets how fine time is cut.
func (s *Settings) shortest() time.Duration {
	d := s.Kinds[0].Interval
	for _, k := range s.Kinds {
		d = min(d, k.Interval)
	}
	return d
}

func (s *Settings) majority() int { return s.Instances/2 + 1 }

// Tick is how often At must be called at the least for its steps to be told from pauses.
func (c *Core) Tick() time.Duration { return c.set.leap() / 4 }

// At sets the clock. A step back, or one too long to have been seen through, is a pause or a jump; which of them
// can't be told, and how much time has passed neither. So none is believed: leases are over, what was planned is
// dropped, what was promised stands as long as before, and what waited in sockets is not dated.
func (c *Core) At(raw time.Duration) {
	step := raw - c.raw
	c.raw = raw
	if step >= 0 && step <= c.set.leap() {
		c.now += step
		return
	}
	c.gen++
	c.counts.Steps++
	c.act.Note(Note{Event: Woken, Share: -1})
	c.asks, c.dim = nil, c.now+c.set.leap()
	for i := range c.shares {
		c.lose(i)
		c.unsure(&c.shares[i]) // another may have held it, and lost it again, meanwhile
	}
}

// Members sets the view: the other instances that seem alive, by name and incarnation. It is believed only in who
// claims what; whoever holds what is settled by leases alone.
func (c *Core) Members(view map[string]uint64) {
	clear(c.peers)
	for name, inc := range view {
		c.peers[name] = &peer{inc: inc, seed: xxh3.HashString(name)}
	}
	c.peers[c.set.Me] = &peer{inc: c.set.Inc, seed: xxh3.HashString(c.set.Me)}
	c.names = c.names[:0]
	for name := range c.peers {
		c.names = append(c.names, name)
	}
	slices.Sort(c.names)
	me := c.peers[c.set.Me].seed
	for i := range c.shares {
		s := &c.shares[i]
		mine, best := weight(me, i), uint64(0)
		s.rank, s.first = 0, ""
		for _, name := range c.names {
			w := weight(c.peers[name].seed, i)
			if w > mine {
				s.rank++
			}
			if s.first == "" || w > best {
				s.first, best = name, w
			}
		}
	}
}

// weight orders instances for a share, each share in an order of its own: a member that comes or goes moves only
// what it gets or had.
func weight(seed uint64, share int) uint64 {
	x := seed ^ (uint64(share)+1)*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 29
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// plan puts a target into the wheel.
func (c *Core) plan(i int32) {
	if it := &c.items[i]; !it.running && !c.left {
		c.wheel.Set(i, c.due(it))
	}
}

// Wake does what is due, and says by when it wants to be called again.
func (c *Core) Wake() time.Duration {
	if c.left {
		return c.raw + time.Hour
	}
	for i := range c.shares {
		if s := &c.shares[i]; s.until != 0 && s.until <= c.now {
			c.lose(i)
		}
	}
	if c.now >= c.claim {
		c.claims()
	}
	ready := c.waiting
	c.waiting = nil
	for _, i := range ready {
		c.start(i)
	}
	c.wheel.Due(c.now, c.start)
	if c.now >= c.batch {
		c.tell()
	}
	at := min(c.wheel.Next(), c.claim, c.now+c.Tick())
	if len(c.say) > 0 {
		at = min(at, c.batch)
	}
	return c.raw + max(time.Millisecond, at-c.now)
}

// start begins a duty if it is still due.
func (c *Core) start(i int32) {
	it := &c.items[i]
	if it.kind < 0 || it.running {
		return
	}
	if c.due(it) > c.now {
		c.plan(i)
		return
	}
	if len(c.plans) >= c.set.Running {
		c.waiting = append(c.waiting, i)
		return
	}
	c.token++
	it.running = true
	c.plans[c.token] = plan{item: i, id: it.id, gen: c.gen, held: c.holds(&c.shares[it.share]), at: -1}
	c.act.Run(c.token, it.kind, it.name)
}

// Permit is asked at the write, with a reading of the clock taken then. What was planned before a pause, or under a
// lease that has run out, or has been done by another meanwhile, must not go out.
func (c *Core) Permit(token uint64, raw time.Duration) bool {
	c.At(raw)
	p, ok := c.plans[token]
	if !ok || p.at >= 0 || c.left {
		return false
	}
	it := &c.items[p.item]
	s := &c.shares[it.share]
	if it.id != p.id || !it.running || p.gen != c.gen || p.held != c.holds(s) || c.due(it) > c.now {
		return false
	}
	if p.held && s.until <= c.now+c.set.Write {
		return false // it might be on its way when the lease is another's
	}
	p.at = c.now
	c.plans[token] = p
	d := c.every(it)
	it.known = p.held
	turn := !p.held || c.now < max(it.next, it.any+d)
	it.own, it.any, it.next, it.who, it.gen = c.now, c.now, c.now+d, c.set.Me, c.gen
	c.counts.Run++
	if turn {
		c.counts.Turns++
		c.act.Note(Note{Event: TurnTaken, Share: int(it.share)})
	}
	return true
}

// Done ends a plan, permitted or not.
func (c *Core) Done(token uint64, out Outcome, took time.Duration, load string) {
	p, ok := c.plans[token]
	if !ok {
		return
	}
	delete(c.plans, token)
	it := &c.items[p.item]
	if it.id != p.id || it.kind < 0 {
		return
	}
	it.running = false
	if p.at < 0 {
		c.counts.Dropped++
	} else {
		if out == Reached || out == Refused {
			c.counts.Reached++
			it.reached = max(it.reached, p.at)
		}
		it.last, it.lastAt = Result{Kind: it.kind, ID: it.id, Took: took, Outcome: out, Load: load}, p.at
		c.act.Learned(it.name, c.result(it), c.set.Me)
		if !it.unsaid {
			it.unsaid = true
			c.say = append(c.say, p.item)
		}
	}
	c.plan(p.item)
}
