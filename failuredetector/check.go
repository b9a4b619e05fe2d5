package failuredetector

import (
	"slices"

	"github.com/go-faster/errors"
)

// Check verifies the detector's invariants and returns the first violation, or nil. It costs as much as SetNodes.
func (d *Detector) Check() error {
	me := d.cfg.Self
	if len(d.peers) >= maxNodes || len(d.targets) > WatchersPerNode {
		return errors.Errorf("a bound is exceeded: %d peers, %d watchers", len(d.peers), len(d.targets))
	}
	list := []Node{me}
	elsewhere := false
	for key, p := range d.peers {
		if key != Key(p.Incarnation) || p.Incarnation == me.Incarnation {
			return errors.Errorf("peer %q is stored under key %x", p.Incarnation, key)
		}
		if p.lastHeartbeat.After(d.now) || p.changedAt.After(d.now) {
			return errors.Errorf("peer %q: a timestamp lies in the future", p.Incarnation)
		}
		if p.missed && (!p.watched || d.now.Sub(d.lastContact(p)) <= d.timeout(p)) {
			return errors.Errorf("peer %q counts as missed too soon, or by a mixer that doesn't watch it", p.Incarnation)
		}
		list = append(list, p.Node)
		elsewhere = elsewhere || p.onRing() && p.Zone != me.Zone
	}
	ring := NewRing(list)
	if want := min(WatchersPerNode, ring.Size()-1); me.Addr.IsValid() && len(d.targets) != want {
		return errors.Errorf("have %d watchers, want %d", len(d.targets), want)
	}
	outside := 0
	for i, t := range d.targets {
		if t.addr == me.Addr || slices.Contains(d.targets[:i], t) {
			return errors.Errorf("watcher %s is assigned twice, or is the watched mixer itself", t.addr)
		}
		if t.halfRate {
			outside++
		}
	}
	if elsewhere && len(d.targets) > 0 && outside == 0 {
		return errors.New("all watchers are in the zone of the watched mixer")
	}
	for _, p := range d.peers {
		assigned := p.onRing() && slices.ContainsFunc(ring.Watchers(&p.Node), func(w Node) bool {
			return w.Incarnation == me.Incarnation
		})
		if assigned != p.watched {
			return errors.Errorf("peer %q: watched is %v, by the ring it should be %v", p.Incarnation, p.watched, assigned)
		}
	}
	return nil
}

// Check verifies the arbiter's invariants and returns the first violation, or nil.
func (a *Arbiter) Check() error {
	if len(a.pulls) > maxNodes || len(a.nodes) > maxNodes || len(a.controllers) > maxControllers {
		return errors.Errorf("a bound is exceeded: %d pulls, %d nodes, %d controllers", len(a.pulls), len(a.nodes), len(a.controllers))
	}
	onRing := 0
	for incarnation, n := range a.nodes {
		if n.Incarnation != incarnation {
			return errors.Errorf("node %q is stored under %q", n.Incarnation, incarnation)
		}
		if n.onRing() {
			onRing++
		}
	}
	if onRing != a.ring.Size() {
		return errors.Errorf("the ring has %d nodes, want %d", a.ring.Size(), onRing)
	}
	for incarnation := range a.unheard {
		if _, monitored := a.lastAlive[incarnation]; !monitored {
			return errors.Errorf("%q is unheard, but not monitored", incarnation)
		}
	}
	for incarnation, p := range a.pulls {
		if len(p.missed) > maxReported || len(p.seen) > maxReported {
			return errors.Errorf("the lists of %q exceed their bound", incarnation)
		}
	}
	for name, t := range a.controllers {
		if len(t.missed) > maxReports || len(t.seen) > maxReports || len(t.unheard) > maxReports {
			return errors.Errorf("the report of controller %q exceeds its bounds", name)
		}
	}
	return nil
}
