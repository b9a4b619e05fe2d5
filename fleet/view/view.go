package view

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Settings configures a view. Instances and Stale must be the same for all instances.
type Settings struct {
	Me        string
	Inc       uint64        // incarnation of this process, higher than that of the process before
	Instances int           // the maximum number that run at the same time
	Stale     time.Duration // a heartbeat older than this counts for nothing
	Settle    time.Duration // a majority counts once it has held for this long
	Leap      time.Duration // a clock step longer than this, or backwards, counts as a pause of the process
}

const maxInstances = 1024

// Check returns an error if no instance can work with the settings.
func (s *Settings) Check() error {
	switch {
	case s.Me == "":
		return fmt.Errorf("name: must not be empty")
	case s.Instances < 1 || s.Instances > maxInstances:
		return fmt.Errorf("instances: %d; must be between 1 and %d", s.Instances, maxInstances)
	case s.Stale <= 0:
		return fmt.Errorf("age of a stale heartbeat: %v; must be above 0", s.Stale)
	case s.Settle < 0:
		return fmt.Errorf("settling time of a majority: %v; must not be negative", s.Settle)
	case s.Leap <= 0 || s.Leap > s.Stale:
		return fmt.Errorf("longest clock step: %v; must be above 0 and at most the age of a stale heartbeat (%v)", s.Leap, s.Stale)
	}
	return nil
}

// Standing is an instance's connectivity to the others.
type Standing uint8

// The degrees of connectivity.
const (
	Alone       Standing = iota // no other instance is heard
	Minority                    // some are heard, but with this one they are no more than half of all instances
	Disagreeing                 // a majority is heard, but most do not hear this one or hear no majority themselves
	Settling                    // a majority hear each other, but not for long enough yet
	Majority                    // a majority have heard each other for the settling time
	standingCount
)

// String returns the name of the degree.
func (s Standing) String() string {
	return [...]string{"alone", "minority", "disagreeing", "settling", "majority", ""}[min(s, standingCount)]
}

// Right is a kind of action that may be permitted to an instance.
type Right uint8

// The kinds of action.
const (
	Keep  Right = iota // work within its own fixed share
	Lower              // retreat: halt, lower a version, roll back
	Count              // use figures that the others report
	Grant              // grant others what it owns, and vote
	Raise              // advance the fleet: raise a version, cut over, agree
	rightCount
)

// allowed lists the permissions by connectivity. Retreating is always allowed; granting and advancing need a settled
// majority. A fleet of one instance is its own majority.
var allowed = [standingCount][rightCount]bool{
	Alone:       {Keep: true, Lower: true},
	Minority:    {Keep: true, Lower: true},
	Disagreeing: {Keep: true, Lower: true},
	Settling:    {Keep: true, Lower: true, Count: true},
	Majority:    {Keep: true, Lower: true, Count: true, Grant: true, Raise: true},
}

// State is the assumed state of another instance.
type State uint8

// The states of another instance.
const (
	Unknown State = iota // never heard
	Alive                // its heartbeat is fresh
	Suspect              // its heartbeat is stale
	Failed               // its heartbeat is stale, and the failure detector reports it as failed
	Left                 // it announced that it leaves
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "failed", "left", ""}[min(int(s), 5)]
}

// Word is a heartbeat. An instance sends one to each of the others in every round. Each is made for its receiver, so that
// its size does not depend on the number of instances.
type Word struct {
	From      string `json:"from"`
	Inc       uint64 `json:"inc"`
	No        uint64 `json:"no"` // increases with each round
	Instances int    `json:"instances"`
	Hears     int    `json:"hears"` // number of other instances whose heartbeats are fresh to the sender
	Echo      Echo   `json:"echo"`  // the last heartbeat from the receiver; zero if that is not fresh
	Leaves    bool   `json:"leaves,omitempty"`
}

// Echo identifies the last heartbeat that the sender received from the receiver. It proves to the receiver that this
// heartbeat is no older than the echoed one. The time of arrival proves nothing, as a heartbeat may have waited in the
// network or in front of a paused process.
type Echo struct {
	Inc uint64 `json:"i"`
	No  uint64 `json:"n"`
}

type peer struct {
	incarnation, number uint64
	receivedAt          time.Duration // arrival of its last heartbeat
	sentAfter           time.Duration // proven by an echo: the heartbeat was sent no earlier than this
	void                bool          // the heartbeat no longer counts
	hears               int
	left                bool
	failed              bool
}

// sentRound records when a round of this instance's heartbeats was sent.
type sentRound struct {
	number uint64
	at     time.Duration
}

// Core is one instance's view.
type Core struct {
	settings      Settings
	now           time.Duration
	peers         map[string]*peer
	round         uint64
	sent          []sentRound   // rounds no older than Stale, since the last pause
	majoritySince time.Duration // a majority has held since then; below 0 while there is none
	pauses        int
	rejected      int // heartbeats rejected as invalid
}

// New makes the view of an instance that has not heard any other.
func New(settings Settings, now time.Duration) (*Core, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("view: %w", err)
	}
	c := &Core{settings: settings, now: now, peers: map[string]*peer{}, majoritySince: -1}
	c.updateMajority()
	return c, nil
}

// At advances the clock and reports whether the process was paused. A paused process must not act on its earlier view,
// as the others may have moved on long ago: all heartbeats received before the pause are void.
func (c *Core) At(now time.Duration) (paused bool) {
	if step := now - c.now; step > c.settings.Leap || step < 0 {
		c.pauses++
		for _, p := range c.peers {
			p.void = true
		}
		c.sent, c.majoritySince, paused = nil, -1, true
	}
	c.now = now
	c.updateMajority()
	return paused
}

// Heard receives another instance's heartbeat. It returns false if the heartbeat is rejected: it is not later than the
// last one, comes from a fleet of another size, or claims to hear more instances than there can be.
func (c *Core) Heard(w Word) bool {
	p := c.peers[w.From]
	switch {
	case w.From == c.settings.Me, w.From == "", w.Instances != c.settings.Instances, w.Hears < 0, w.Hears >= c.settings.Instances,
		p != nil && w.Inc < p.incarnation, p != nil && w.Inc == p.incarnation && p.left:
		c.rejected++
		return false
	case p != nil && w.Inc == p.incarnation && w.No <= p.number:
		return false // delayed or duplicate
	case p == nil:
		if len(c.peers) >= 2*c.settings.Instances && !c.evictPeer() {
			c.rejected++
			return false
		}
		p = &peer{}
		c.peers[w.From] = p
	}
	sentAfter := p.sentAfter
	if p.incarnation != w.Inc || p.void {
		sentAfter = never
	}
	if e := w.Echo; e.Inc == c.settings.Inc {
		for _, x := range c.sent {
			if x.number == e.No {
				sentAfter = max(sentAfter, x.at)
			}
		}
	}
	*p = peer{incarnation: w.Inc, number: w.No, receivedAt: c.now, sentAfter: sentAfter, hears: w.Hears, left: w.Leaves}
	c.updateMajority()
	return true
}

const never = time.Duration(-1 << 62)

// evictPeer removes the stale peer that has been silent for longest. It returns false if all peers are fresh.
func (c *Core) evictPeer() bool {
	oldest := ""
	for _, n := range slices.Sorted(maps.Keys(c.peers)) {
		if p := c.peers[n]; !c.fresh(p) && (oldest == "" || p.receivedAt < c.peers[oldest].receivedAt) {
			oldest = n
		}
	}
	delete(c.peers, oldest)
	return oldest != ""
}

// Gone records that the failure detector reports an instance as failed. This only voids its last heartbeat; only a
// heartbeat of its own shows that it is alive.
func (c *Core) Gone(name string) {
	if p := c.peers[name]; p != nil {
		p.failed, p.void = true, true
		c.updateMajority()
	}
}

// fresh reports whether a peer's heartbeat arrived recently. That is enough to count the peer as heard, but not to rely
// on what it reports.
func (c *Core) fresh(p *peer) bool {
	return !p.void && !p.left && c.now-p.receivedAt <= c.settings.Stale
}

// confirmed reports whether a peer's heartbeat was sent recently, as its echo proves; so the peer also hears this instance.
func (c *Core) confirmed(p *peer) bool {
	return c.fresh(p) && p.sentAfter != never && c.now-p.sentAfter <= c.settings.Stale
}

// Proven returns the incarnation of an instance whose heartbeat is proven to be no older than Stale. Data that such an
// instance sends along may be used, and that of any other may not.
func (c *Core) Proven(name string) (inc uint64, ok bool) {
	if p := c.peers[name]; p != nil && c.confirmed(p) {
		return p.incarnation, true
	}
	return 0, false
}

// State returns the assumed state of an instance.
func (c *Core) State(name string) State {
	switch p := c.peers[name]; {
	case p == nil:
		return Unknown
	case p.left:
		return Left
	case c.fresh(p):
		return Alive
	case p.failed:
		return Failed
	}
	return Suspect
}

// Live returns the names of the instances whose heartbeats are proven to be recent, in order.
func (c *Core) Live() []string {
	var names []string
	for _, n := range slices.Sorted(maps.Keys(c.peers)) {
		if c.confirmed(c.peers[n]) {
			names = append(names, n)
		}
	}
	return names
}

// Words begins a round and returns the heartbeat for each of the named instances.
func (c *Core) Words(leaving bool, names []string) []Word {
	c.round++
	c.sent = slices.DeleteFunc(append(c.sent, sentRound{c.round, c.now}), func(x sentRound) bool {
		return c.now-x.at > c.settings.Stale
	})
	w := Word{From: c.settings.Me, Inc: c.settings.Inc, No: c.round, Instances: c.settings.Instances, Leaves: leaving}
	for _, p := range c.peers {
		if c.fresh(p) && w.Hears < c.settings.Instances-1 {
			w.Hears++
		}
	}
	heartbeats := make([]Word, len(names))
	for i, n := range names {
		heartbeats[i] = w
		if p := c.peers[n]; p != nil && c.fresh(p) {
			heartbeats[i].Echo = Echo{p.incarnation, p.number}
		}
	}
	return heartbeats
}

// isMajority reports whether n instances are more than half of all.
func (c *Core) isMajority(n int) bool { return 2*n > c.settings.Instances }

// current returns the connectivity at this moment, however short it has lasted.
func (c *Core) current() Standing {
	heard, agreeing := 1, 1
	for _, p := range c.peers {
		if !c.fresh(p) {
			continue
		}
		heard++
		// A peer that does not hear this instance may be cut off in one direction, or its heartbeat may be old; a peer that
		// hears no majority grants nothing itself. If either counted, two sides could both take themselves for the majority.
		if c.confirmed(p) && c.isMajority(p.hears+1) {
			agreeing++
		}
	}
	switch {
	case heard == 1 && c.settings.Instances > 1:
		return Alone
	case !c.isMajority(heard):
		return Minority
	case !c.isMajority(agreeing):
		return Disagreeing
	}
	return Majority
}

func (c *Core) updateMajority() {
	if c.current() != Majority {
		c.majoritySince = -1
	} else if c.majoritySince < 0 {
		c.majoritySince = c.now
	}
}

// Standing returns this instance's connectivity.
func (c *Core) Standing() Standing {
	s := c.current()
	if s == Majority && (c.majoritySince < 0 || c.now-c.majoritySince < c.settings.Settle) {
		return Settling
	}
	return s
}

// May reports whether this instance is permitted an action now.
func (c *Core) May(r Right) bool { return allowed[c.Standing()][r] }

// Counts returns the number of pauses noticed and of heartbeats rejected as invalid.
func (c *Core) Counts() (pauses, rejected int) { return c.pauses, c.rejected }
