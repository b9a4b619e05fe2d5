package view

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Settings are what an instance is told at its start. Instances and Stale must be the same for all.
type Settings struct {
	Me        string
	Inc       uint64        // this start's incarnation, higher than the one before
	Instances int           // how many run at the same time, at most
	Stale     time.Duration // a word older than this counts for nothing
	Settle    time.Duration // a majority counts once it has held for so long
	Leap      time.Duration // a step of the clock over this, or backwards, is a sleep
}

const instancesMost = 1024

// Check says what no instance could work with.
func (s *Settings) Check() error {
	switch {
	case s.Me == "":
		return fmt.Errorf("name: empty")
	case s.Instances < 1 || s.Instances > instancesMost:
		return fmt.Errorf("instances: %d; 1 to %d", s.Instances, instancesMost)
	case s.Stale <= 0:
		return fmt.Errorf("stale: %v; above 0", s.Stale)
	case s.Settle < 0:
		return fmt.Errorf("settle: %v; 0 or more", s.Settle)
	case s.Leap <= 0 || s.Leap > s.Stale:
		return fmt.Errorf("leap: %v; above 0, up to stale (%v)", s.Leap, s.Stale)
	}
	return nil
}

// Standing is how an instance stands among the others.
type Standing uint8

const (
	Alone       Standing = iota // nobody is heard
	Minority                    // some are, but half of all or fewer, this one among them
	Disagreeing                 // most are heard, but most of them do not hear this one, or hear no majority themselves
	Settling                    // a majority hears each other, but not for long enough yet
	Majority
	standings
)

func (s Standing) String() string {
	return [...]string{"alone", "minority", "disagreeing", "settling", "majority", ""}[min(s, standings)]
}

// Right is something that an instance may or may not do for the fleet.
type Right uint8

const (
	Keep  Right = iota // live by its own fixed share
	Lower              // take back: halt, lower a version, roll back
	Count              // reckon with figures of the others
	Grant              // let another have of what is its own, and vote
	Raise              // move the fleet on: raise a version, cut over, agree
	rights
)

// allowed is the whole table: what takes back is always allowed, what gives or moves on needs a settled majority. A
// fleet of one is its own majority.
var allowed = [standings][rights]bool{
	Alone:       {Keep: true, Lower: true},
	Minority:    {Keep: true, Lower: true},
	Disagreeing: {Keep: true, Lower: true},
	Settling:    {Keep: true, Lower: true, Count: true},
	Majority:    {Keep: true, Lower: true, Count: true, Grant: true, Raise: true},
}

// State is what is believed of another instance.
type State uint8

const (
	Unknown State = iota
	Alive         // its word is fresh
	Suspect       // its word has grown stale
	Failed        // stale, and those who watch for signs of life say that it is gone
	Left          // it said that it leaves
)

func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "failed", "left", ""}[min(int(s), 5)]
}

// Word is what an instance tells each of the others, over and over: to each its own, so that it stays short however many
// there are.
type Word struct {
	From      string `json:"from"`
	Inc       uint64 `json:"inc"`
	No        uint64 `json:"no"` // higher in each round of words
	Instances int    `json:"instances"`
	Hears     int    `json:"hears"` // of so many others the words are fresh to it
	Echo      Echo   `json:"echo"`  // the last word heard of the one it is told to; nothing if that is not fresh
	Leaves    bool   `json:"leaves,omitempty"`
}

// Echo names the last word heard of another. It proves to that one how old this word is at most: no older than its own
// word that is echoed. A word may have lain for long, in a network or before a process that stood still; when it
// came says nothing.
type Echo struct {
	Inc uint64 `json:"i"`
	No  uint64 `json:"n"`
}

type peer struct {
	inc, no uint64
	at      time.Duration // when its last word came
	proved  time.Duration // that word is no older than this
	void    bool          // it counts for nothing any more
	hears   int
	left    bool
	gone    bool
}

// sent is when a word of this instance's left.
type sent struct {
	no uint64
	at time.Duration
}

// Core is one instance's view.
type Core struct {
	set    Settings
	now    time.Duration
	peers  map[string]*peer
	no     uint64
	sent   []sent        // words no older than Stale, since the last sleep
	since  time.Duration // a majority has held since then; below 0 while none does
	sleeps int
	odd    int // words not believed
}

// New makes the view of an instance that has heard nobody.
func New(set Settings, now time.Duration) (*Core, error) {
	if err := set.Check(); err != nil {
		return nil, fmt.Errorf("view: %w", err)
	}
	c := &Core{set: set, now: now, peers: map[string]*peer{}, since: -1}
	c.settle()
	return c, nil
}

// At sets the clock. It tells of a sleep: a process that stood still must not act on what it believed before, as others
// may long have moved on; all words are void till heard anew.
func (c *Core) At(now time.Duration) (slept bool) {
	if step := now - c.now; step > c.set.Leap || step < 0 {
		c.sleeps++
		for _, p := range c.peers {
			p.void = true
		}
		c.sent, c.since, slept = nil, -1, true
	}
	c.now = now
	c.settle()
	return slept
}

// Heard takes another's word; false if it is not believed: an earlier one than the last, of a fleet of another size, or of
// one that hears more than there can be.
func (c *Core) Heard(w Word) bool {
	p := c.peers[w.From]
	switch {
	case w.From == c.set.Me, w.From == "", w.Instances != c.set.Instances, w.Hears < 0, w.Hears >= c.set.Instances,
		p != nil && w.Inc < p.inc, p != nil && w.Inc == p.inc && p.left:
		c.odd++
		return false
	case p != nil && w.Inc == p.inc && w.No <= p.no:
		return false // late, or again
	case p == nil:
		if len(c.peers) >= 2*c.set.Instances && !c.forget() {
			c.odd++
			return false
		}
		p = &peer{}
		c.peers[w.From] = p
	}
	proved := p.proved
	if p.inc != w.Inc || p.void {
		proved = never
	}
	if e := w.Echo; e.Inc == c.set.Inc {
		for _, x := range c.sent {
			if x.no == e.No {
				proved = max(proved, x.at)
			}
		}
	}
	*p = peer{inc: w.Inc, no: w.No, at: c.now, proved: proved, hears: w.Hears, left: w.Leaves}
	c.settle()
	return true
}

const never = time.Duration(-1 << 62)

// forget makes room by the one unheard for longest; false if all are fresh.
func (c *Core) forget() bool {
	oldest := ""
	for _, n := range slices.Sorted(maps.Keys(c.peers)) {
		if p := c.peers[n]; !c.fresh(p) && (oldest == "" || p.at < c.peers[oldest].at) {
			oldest = n
		}
	}
	delete(c.peers, oldest)
	return oldest != ""
}

// Gone takes it from those who watch for signs of life that an instance has none. It only ever makes its word count
// less; that one lives is told by its own word alone.
func (c *Core) Gone(name string) {
	if p := c.peers[name]; p != nil {
		p.gone, p.void = true, true
		c.settle()
	}
}

// fresh: its word came lately. That much suffices to hear it, not to reckon with it.
func (c *Core) fresh(p *peer) bool { return !p.void && !p.left && c.now-p.at <= c.set.Stale }

// proven: its word left it lately, and it hears this one.
func (c *Core) proven(p *peer) bool {
	return c.fresh(p) && p.proved != never && c.now-p.proved <= c.set.Stale
}

// Proven tells the incarnation of an instance whose word is proven to be no older than Stale. What it says beside may be
// used, and nothing of any other's.
func (c *Core) Proven(name string) (inc uint64, ok bool) {
	if p := c.peers[name]; p != nil && c.proven(p) {
		return p.inc, true
	}
	return 0, false
}

// State is what is believed of an instance.
func (c *Core) State(name string) State {
	switch p := c.peers[name]; {
	case p == nil:
		return Unknown
	case p.left:
		return Left
	case c.fresh(p):
		return Alive
	case p.gone:
		return Failed
	}
	return Suspect
}

// Live are the names of those whose word is proven, in order.
func (c *Core) Live() []string {
	var names []string
	for _, n := range slices.Sorted(maps.Keys(c.peers)) {
		if c.proven(c.peers[n]) {
			names = append(names, n)
		}
	}
	return names
}

// Words begins a round of words, and gives what to tell each of those named.
func (c *Core) Words(leaves bool, names []string) []Word {
	c.no++
	c.sent = slices.DeleteFunc(append(c.sent, sent{c.no, c.now}), func(x sent) bool { return c.now-x.at > c.set.Stale })
	w := Word{From: c.set.Me, Inc: c.set.Inc, No: c.no, Instances: c.set.Instances, Leaves: leaves}
	for _, p := range c.peers {
		if c.fresh(p) && w.Hears < c.set.Instances-1 {
			w.Hears++
		}
	}
	words := make([]Word, len(names))
	for i, n := range names {
		words[i] = w
		if p := c.peers[n]; p != nil && c.fresh(p) {
			words[i].Echo = Echo{p.inc, p.no}
		}
	}
	return words
}

// most tells that so many are more than half of all there can be.
func (c *Core) most(n int) bool { return 2*n > c.set.Instances }

// stands is the standing at this moment, for however short a time.
func (c *Core) stands() Standing {
	heard, agree := 1, 1
	for _, p := range c.peers {
		if !c.fresh(p) {
			continue
		}
		heard++
		// One that does not hear this one may be cut off from it one way, or have said so long ago; one that hears no
		// majority grants nothing itself. To count either would let two sides both believe that they are most.
		if c.proven(p) && c.most(p.hears+1) {
			agree++
		}
	}
	switch {
	case heard == 1 && c.set.Instances > 1:
		return Alone
	case !c.most(heard):
		return Minority
	case !c.most(agree):
		return Disagreeing
	}
	return Majority
}

func (c *Core) settle() {
	if c.stands() != Majority {
		c.since = -1
	} else if c.since < 0 {
		c.since = c.now
	}
}

// Standing is how this instance stands now.
func (c *Core) Standing() Standing {
	s := c.stands()
	if s == Majority && (c.since < 0 || c.now-c.since < c.set.Settle) {
		return Settling
	}
	return s
}

// May tells whether it has a right now.
func (c *Core) May(r Right) bool { return allowed[c.Standing()][r] }

// Counts are the sleeps noticed and the words not believed.
func (c *Core) Counts() (sleeps, odd int) { return c.sleeps, c.odd }
