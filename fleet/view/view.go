package view

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Settings configures a view. Instances and StaleAfter must be the same for all instances.
type Settings struct {
	Name         string
	Inc          uint64        // incarnation of this process, higher than that of the process before
	Instances    int           // the maximum number that run at the same time
	StaleAfter   time.Duration // a heartbeat older than this counts for nothing
	SettleTime   time.Duration // a majority counts once it has held for this long
	MaxClockStep time.Duration // a clock step longer than this, or backwards, counts as a pause of the process
}

const maxInstances = 1024

// Check returns an error if no instance can work with the settings.
func (s *Settings) Check() error {
	switch {
	case s.Name == "":
		return fmt.Errorf("name: must not be empty")
	case s.Instances < 1 || s.Instances > maxInstances:
		return fmt.Errorf("instances: %d; must be between 1 and %d", s.Instances, maxInstances)
	case s.StaleAfter <= 0:
		return fmt.Errorf("age of a stale heartbeat: %v; must be above 0", s.StaleAfter)
	case s.SettleTime < 0:
		return fmt.Errorf("settling time of a majority: %v; must not be negative", s.SettleTime)
	case s.MaxClockStep <= 0 || s.MaxClockStep > s.StaleAfter:
		return fmt.Errorf("longest clock step: %v; must be above 0 and at most the age of a stale heartbeat (%v)",
			s.MaxClockStep, s.StaleAfter)
	}
	return nil
}

// Connectivity describes how much of the fleet an instance is in contact with.
type Connectivity uint8

// The degrees of connectivity.
const (
	Isolated    Connectivity = iota // no other instance is heard
	Minority                        // some are heard, but with this one they are no more than half of all instances
	Disagreeing                     // a majority is heard, but most do not hear this one or hear no majority themselves
	Settling                        // a majority hear each other, but not for long enough yet
	Majority                        // a majority have heard each other for the settling time
	connectivityCount
)

// String returns the name of the degree.
func (c Connectivity) String() string {
	return [...]string{"alone", "minority", "disagreeing", "settling", "majority", ""}[min(c, connectivityCount)]
}

// Permission is a kind of action that may be permitted to an instance.
type Permission uint8

// The kinds of action.
const (
	UseOwnShare Permission = iota // work within its own fixed share
	Lower                         // retreat: halt, lower a version, roll back
	UseReports                    // use figures that the others report
	Grant                         // grant others what it owns, and vote
	Raise                         // advance the fleet: raise a version, cut over, agree
	permissionCount
)

// allowed lists the permissions by connectivity. Retreating is always allowed; granting and advancing need a settled
// majority. A fleet of one instance is its own majority.
var allowed = [connectivityCount][permissionCount]bool{
	Isolated:    {UseOwnShare: true, Lower: true},
	Minority:    {UseOwnShare: true, Lower: true},
	Disagreeing: {UseOwnShare: true, Lower: true},
	Settling:    {UseOwnShare: true, Lower: true, UseReports: true},
	Majority:    {UseOwnShare: true, Lower: true, UseReports: true, Grant: true, Raise: true},
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

// Heartbeat is the message by which an instance shows that it is alive. It sends one to each of the others in every round.
// Each is made for its receiver, so that its size does not depend on the number of instances.
type Heartbeat struct {
	From       string `json:"from"`
	Inc        uint64 `json:"inc"`
	Seq        uint64 `json:"no"` // increases with each round
	Instances  int    `json:"instances"`
	PeersHeard int    `json:"hears"` // number of other instances whose heartbeats are fresh to the sender
	Echo       Echo   `json:"echo"`  // the last heartbeat from the receiver; zero if that is not fresh
	Leaving    bool   `json:"leaves,omitempty"`
}

// Echo identifies the last heartbeat that the sender received from the receiver. It proves to the receiver that this
// heartbeat is no older than the echoed one. The time of arrival proves nothing, as a heartbeat may have waited in the
// network or in front of a paused process.
type Echo struct {
	Inc uint64 `json:"i"`
	Seq uint64 `json:"n"`
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

// View is one instance's view of which other instances are alive and in contact with it.
type View struct {
	settings      Settings
	now           time.Duration
	peers         map[string]*peer
	round         uint64
	sent          []sentRound   // rounds no older than StaleAfter, since the last pause
	majoritySince time.Duration // a majority has held since then; below 0 while there is none
	pauses        int
	rejected      int // heartbeats rejected as invalid
}

// New makes the view of an instance that has not heard any other.
func New(settings Settings, now time.Duration) (*View, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("view: %w", err)
	}
	v := &View{settings: settings, now: now, peers: map[string]*peer{}, majoritySince: -1}
	v.updateMajority()
	return v, nil
}

// Advance advances the clock and reports whether the process was paused. A paused process must not act on its earlier view,
// as the others may have moved on long ago: all heartbeats received before the pause are void.
func (v *View) Advance(now time.Duration) (paused bool) {
	if step := now - v.now; step > v.settings.MaxClockStep || step < 0 {
		v.pauses++
		for _, p := range v.peers {
			p.void = true
		}
		v.sent, v.majoritySince, paused = nil, -1, true
	}
	v.now = now
	v.updateMajority()
	return paused
}

// ReceiveHeartbeat receives another instance's heartbeat. It returns false if the heartbeat is rejected: it is not later than the
// last one, comes from a fleet of another size, or claims to hear more instances than there can be.
func (v *View) ReceiveHeartbeat(w Heartbeat) bool {
	p := v.peers[w.From]
	switch {
	case w.From == v.settings.Name, w.From == "", w.Instances != v.settings.Instances, w.PeersHeard < 0, w.PeersHeard >= v.settings.Instances,
		p != nil && w.Inc < p.incarnation, p != nil && w.Inc == p.incarnation && p.left:
		v.rejected++
		return false
	case p != nil && w.Inc == p.incarnation && w.Seq <= p.number:
		return false // delayed or duplicate
	case p == nil:
		if len(v.peers) >= 2*v.settings.Instances && !v.evictPeer() {
			v.rejected++
			return false
		}
		p = &peer{}
		v.peers[w.From] = p
	}
	sentAfter := p.sentAfter
	if p.incarnation != w.Inc || p.void {
		sentAfter = never
	}
	if e := w.Echo; e.Inc == v.settings.Inc {
		for _, x := range v.sent {
			if x.number == e.Seq {
				sentAfter = max(sentAfter, x.at)
			}
		}
	}
	*p = peer{incarnation: w.Inc, number: w.Seq, receivedAt: v.now, sentAfter: sentAfter, hears: w.PeersHeard, left: w.Leaving}
	v.updateMajority()
	return true
}

const never = time.Duration(-1 << 62)

// evictPeer removes the stale peer that has been silent for longest. It returns false if all peers are fresh.
func (v *View) evictPeer() bool {
	oldest := ""
	for _, n := range slices.Sorted(maps.Keys(v.peers)) {
		if p := v.peers[n]; !v.fresh(p) && (oldest == "" || p.receivedAt < v.peers[oldest].receivedAt) {
			oldest = n
		}
	}
	delete(v.peers, oldest)
	return oldest != ""
}

// ReportFailed records that the failure detector reports an instance as failed. This only voids its last heartbeat; only a
// heartbeat of its own shows that it is alive.
func (v *View) ReportFailed(name string) {
	if p := v.peers[name]; p != nil {
		p.failed, p.void = true, true
		v.updateMajority()
	}
}

// fresh reports whether a peer's heartbeat arrived recently. That is enough to count the peer as heard, but not to rely
// on what it reports.
func (v *View) fresh(p *peer) bool {
	return !p.void && !p.left && v.now-p.receivedAt <= v.settings.StaleAfter
}

// confirmed reports whether a peer's heartbeat was sent recently, as its echo proves; so the peer also hears this instance.
func (v *View) confirmed(p *peer) bool {
	return v.fresh(p) && p.sentAfter != never && v.now-p.sentAfter <= v.settings.StaleAfter
}

// ConfirmedIncarnation returns the incarnation of an instance whose heartbeat is proven to be no older than
// StaleAfter. Data that such an instance sends along may be used, and that of any other may not.
func (v *View) ConfirmedIncarnation(name string) (inc uint64, ok bool) {
	if p := v.peers[name]; p != nil && v.confirmed(p) {
		return p.incarnation, true
	}
	return 0, false
}

// State returns the assumed state of an instance.
func (v *View) State(name string) State {
	switch p := v.peers[name]; {
	case p == nil:
		return Unknown
	case p.left:
		return Left
	case v.fresh(p):
		return Alive
	case p.failed:
		return Failed
	}
	return Suspect
}

// ConfirmedPeers returns the names of the instances whose heartbeats are proven to be recent, in order.
func (v *View) ConfirmedPeers() []string {
	var names []string
	for _, n := range slices.Sorted(maps.Keys(v.peers)) {
		if v.confirmed(v.peers[n]) {
			names = append(names, n)
		}
	}
	return names
}

// NextHeartbeats begins a round and returns the heartbeat for each of the named instances.
func (v *View) NextHeartbeats(leaving bool, names []string) []Heartbeat {
	v.round++
	v.sent = slices.DeleteFunc(append(v.sent, sentRound{v.round, v.now}), func(x sentRound) bool {
		return v.now-x.at > v.settings.StaleAfter
	})
	w := Heartbeat{From: v.settings.Name, Inc: v.settings.Inc, Seq: v.round, Instances: v.settings.Instances, Leaving: leaving}
	for _, p := range v.peers {
		if v.fresh(p) && w.PeersHeard < v.settings.Instances-1 {
			w.PeersHeard++
		}
	}
	heartbeats := make([]Heartbeat, len(names))
	for i, n := range names {
		heartbeats[i] = w
		if p := v.peers[n]; p != nil && v.fresh(p) {
			heartbeats[i].Echo = Echo{p.incarnation, p.number}
		}
	}
	return heartbeats
}

// isMajority reports whether n instances are more than half of all.
func (v *View) isMajority(n int) bool { return 2*n > v.settings.Instances }

// current returns the connectivity at this moment, however short it has lasted.
func (v *View) current() Connectivity {
	heard, agreeing := 1, 1
	for _, p := range v.peers {
		if !v.fresh(p) {
			continue
		}
		heard++
		// A peer that does not hear this instance may be cut off in one direction, or its heartbeat may be old; a peer that
		// hears no majority grants nothing itself. If either counted, two sides could both take themselves for the majority.
		if v.confirmed(p) && v.isMajority(p.hears+1) {
			agreeing++
		}
	}
	switch {
	case heard == 1 && v.settings.Instances > 1:
		return Isolated
	case !v.isMajority(heard):
		return Minority
	case !v.isMajority(agreeing):
		return Disagreeing
	}
	return Majority
}

func (v *View) updateMajority() {
	if v.current() != Majority {
		v.majoritySince = -1
	} else if v.majoritySince < 0 {
		v.majoritySince = v.now
	}
}

// Connectivity returns this instance's connectivity.
func (v *View) Connectivity() Connectivity {
	s := v.current()
	if s == Majority && (v.majoritySince < 0 || v.now-v.majoritySince < v.settings.SettleTime) {
		return Settling
	}
	return s
}

// Allows reports whether this instance is permitted an action now.
func (v *View) Allows(r Permission) bool { return allowed[v.Connectivity()][r] }

// Counters returns the number of pauses noticed and of heartbeats rejected as invalid.
func (v *View) Counters() (pauses, rejected int) { return v.pauses, v.rejected }
