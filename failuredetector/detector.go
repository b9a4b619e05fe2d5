package failuredetector

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Bounds of what one mixer stores and reports.
const (
	maxNodes    = 4096
	maxReported = 64 // incarnations in one list of a pull request
)

// Config configures a Detector. Zero values take the defaults.
type Config struct {
	// Self is the mixer's own node.
	Self Node
	// Interval is the interval of heartbeats to a watcher of the same zone; other watchers get every second one.
	Interval time.Duration
	// MissThreshold is how many heartbeats in a row must fail to arrive before a mixer counts as missed. A new watcher
	// waits twice as long for the first one, as the mixer may not know of it yet.
	MissThreshold float64
}

// Detector decides in one mixer which heartbeats to send and which other mixers are missed. It is not safe for concurrent
// use.
type Detector struct {
	cfg          Config
	now          time.Time
	runningSince time.Time // since when the process has run without a gap
	lastTick     time.Time
	number       uint64 // of the last heartbeat sent
	targets      []target
	peers        map[uint64]*peer
}

// target is a watcher that heartbeats are sent to.
type target struct {
	addr     netip.AddrPort
	halfRate bool // it receives only every second heartbeat
}

// peer is another mixer and what this one has received from it.
type peer struct {
	Node
	number        uint64    // of the last heartbeat received
	lastHeartbeat time.Time // when that arrived
	watched       bool
	changedAt     time.Time // when it began to be watched, or joined or left the ring
	halfRate      bool      // it sends only every second heartbeat to this mixer
	missed        bool
}

// New returns the detector of a mixer that knows no other yet.
func New(c Config, now time.Time) *Detector {
	c.Interval = cmp.Or(c.Interval, 500*time.Millisecond)
	c.MissThreshold = cmp.Or(c.MissThreshold, 3.5)
	c.Self.Silent, c.Self.Leaving = false, false
	return &Detector{cfg: c, now: now, runningSince: now, lastTick: now, peers: map[uint64]*peer{}}
}

// advanceClock sets the detector's time; it never goes back.
func (d *Detector) advanceClock(now time.Time) {
	if now.After(d.now) {
		d.now = now
	}
}

// SetNodes sets the list of mixers, including the silent ones. The state of those that stay is kept.
func (d *Detector) SetNodes(now time.Time, nodes []Node) {
	d.advanceClock(now)
	me := d.cfg.Self
	// This mixer is alive, whatever the list says of it.
	list := append(make([]Node, 0, len(nodes)+1), me)
	for _, n := range nodes {
		if n.Incarnation != me.Incarnation && len(list) < maxNodes {
			list = append(list, n)
		}
	}
	ring := NewRing(list)
	d.targets = d.targets[:0]
	for _, w := range ring.Watchers(&me) {
		d.targets = append(d.targets, target{w.Addr, me.distance(&w) > 0})
	}
	peers := make(map[uint64]*peer, len(list))
	for i := range list[1:] {
		n := &list[i+1]
		p := d.peers[Key(n.Incarnation)]
		if p == nil || p.Incarnation != n.Incarnation {
			p = &peer{changedAt: d.now}
		}
		watched := n.onRing() && slices.ContainsFunc(ring.Watchers(n), func(w Node) bool { return w.Incarnation == me.Incarnation })
		if watched != p.watched || n.onRing() != p.onRing() {
			p.watched, p.changedAt, p.missed = watched, d.now, false
		}
		p.Node, p.halfRate = *n, n.distance(&me) > 0
		peers[Key(n.Incarnation)] = p
	}
	d.peers = peers
}

// Tick must be called once per Interval. It returns the number and the destinations of the heartbeats to be sent now.
func (d *Detector) Tick(now time.Time) (number uint64, destinations []netip.AddrPort) {
	d.advanceClock(now)
	if d.now.Sub(d.lastTick) > 2*d.cfg.Interval {
		d.runningSince = d.now // this process was paused: missing heartbeats say nothing about the peers
	}
	d.lastTick = d.now
	d.number++
	for _, t := range d.targets {
		if !t.halfRate || d.number%2 == 0 {
			destinations = append(destinations, t.addr)
		}
	}
	for _, p := range d.peers {
		p.missed = p.watched && d.now.Sub(d.lastContact(p)) > d.timeout(p)
	}
	return d.number, destinations
}

// lastContact returns the time from which the peer's timeout runs.
func (d *Detector) lastContact(p *peer) time.Time {
	return latest(p.lastHeartbeat, p.changedAt, d.runningSince)
}

// timeout returns how long after its last contact a peer counts as missed.
func (d *Detector) timeout(p *peer) time.Duration {
	limit := time.Duration(d.cfg.MissThreshold * float64(d.cfg.Interval))
	if p.halfRate {
		limit *= 2
	}
	if p.lastHeartbeat.Before(p.changedAt) {
		limit *= 2
	}
	return limit
}

// ReceiveHeartbeat processes a heartbeat and reports whether it counts: it doesn't if it is late, duplicated, of an unknown
// mixer, or from another address than the mixer's.
func (d *Detector) ReceiveHeartbeat(now time.Time, key, number uint64, from netip.AddrPort) bool {
	d.advanceClock(now)
	p := d.peers[key]
	if p == nil || p.Addr != from || number <= p.number {
		return false
	}
	p.number, p.lastHeartbeat, p.missed = number, d.now, false
	return true
}

// Missed lists the incarnations whose heartbeats should have arrived and didn't.
func (d *Detector) Missed() []string { return d.incarnations(func(p *peer) bool { return p.missed }) }

// Seen lists the incarnations whose heartbeats arrived recently though the list marks them silent.
func (d *Detector) Seen() []string {
	return d.incarnations(func(p *peer) bool {
		return p.Silent && p.lastHeartbeat.After(p.changedAt) && d.now.Sub(p.lastHeartbeat) <= d.timeout(p)
	})
}

// incarnations returns the incarnations of the matching peers, sorted and bounded.
func (d *Detector) incarnations(match func(*peer) bool) []string {
	var matching []string
	for _, p := range d.peers {
		if match(p) {
			matching = append(matching, p.Incarnation)
		}
	}
	slices.Sort(matching)
	return matching[:min(len(matching), maxReported)]
}

// latest returns the latest of the given times.
func latest(t time.Time, more ...time.Time) time.Time {
	for _, m := range more {
		if m.After(t) {
			t = m
		}
	}
	return t
}
