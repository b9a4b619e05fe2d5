package failuredetector

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	maxReports     = 1024 // of each kind in a WatchReport
	maxControllers = 64
)

// Report says that the watcher By has an observation of the mixer Life; both are names of incarnations.
type Report struct{ By, Life string }

// WatchReport is what a controller sends the other controllers about the mixers that pull from it. This way a suspicion
// reaches the controller that last received the suspected mixer's pull, whichever controller the watcher pulls from. It is
// empty while all mixers are in contact.
type WatchReport struct {
	Missed, Seen []Report
	Unheard      []string // incarnations that this controller monitors and that don't pull from it
}

// Monitored is a mixer that a controller is responsible for: the mixer last pulled from it, or from one that is dead.
type Monitored struct {
	Incarnation     string
	Silent, Leaving bool
}

// ArbiterConfig configures an Arbiter. Zero values take the defaults.
type ArbiterConfig struct {
	Period time.Duration // heartbeat period of the registry, which marks a mixer silent after 2.5 periods
	// Freshness is how long after its pull a mixer counts as in contact, and its reports as fresh.
	Freshness time.Duration
	// RequiredReports is how many different watchers must miss a mixer, if it has that many.
	RequiredReports int
}

// Arbiter decides in a controller which mixers are alive that don't pull from it. It is not safe for concurrent use.
type Arbiter struct {
	cfg         ArbiterConfig
	ring        *Ring
	nodes       map[string]Node
	pulls       map[string]*pullRecord       // by incarnation
	controllers map[string]*controllerReport // by name
	lastAlive   map[string]time.Time         // of the monitored mixers: last pull or confirmation, by incarnation
	unheard     map[string]bool              // monitored mixers without a recent pull
}

// pullRecord is a mixer's last pull and what it reported as a watcher.
type pullRecord struct {
	receivedAt   time.Time
	missed, seen []string
}

// controllerReport is the last WatchReport of another controller, as sets.
type controllerReport struct {
	receivedAt   time.Time
	missed, seen map[Report]bool
	unheard      map[string]bool
}

// NewArbiter returns the arbiter of a controller that knows no mixer yet.
func NewArbiter(c ArbiterConfig) *Arbiter {
	c.Period = cmp.Or(c.Period, time.Second)
	c.Freshness = cmp.Or(c.Freshness, 2*time.Second)
	c.RequiredReports = cmp.Or(c.RequiredReports, 2)
	return &Arbiter{cfg: c, ring: NewRing(nil), nodes: map[string]Node{}, pulls: map[string]*pullRecord{},
		controllers: map[string]*controllerReport{}, lastAlive: map[string]time.Time{}, unheard: map[string]bool{}}
}

// SetNodes sets the list of mixers.
func (a *Arbiter) SetNodes(nodes []Node) {
	nodes = nodes[:min(len(nodes), maxNodes)]
	a.ring = NewRing(nodes)
	clear(a.nodes)
	for _, n := range nodes {
		a.nodes[n.Incarnation] = n
	}
}

// ReceivePull records a mixer's pull and what the mixer reports as a watcher.
func (a *Arbiter) ReceivePull(now time.Time, incarnation string, missed, seen []string) {
	p := a.pulls[incarnation]
	if p == nil {
		if len(a.pulls) >= maxNodes {
			return
		}
		p = &pullRecord{}
		a.pulls[incarnation] = p
	}
	p.receivedAt = latest(p.receivedAt, now)
	p.missed, p.seen = missed[:min(len(missed), maxReported)], seen[:min(len(seen), maxReported)]
}

// ReceiveReport stores another controller's report, in place of its earlier one.
func (a *Arbiter) ReceiveReport(now time.Time, controller string, w WatchReport) {
	if a.controllers[controller] == nil && len(a.controllers) >= maxControllers {
		return
	}
	t := &controllerReport{receivedAt: now, missed: map[Report]bool{}, seen: map[Report]bool{}, unheard: map[string]bool{}}
	for _, r := range w.Missed[:min(len(w.Missed), maxReports)] {
		t.missed[r] = true
	}
	for _, r := range w.Seen[:min(len(w.Seen), maxReports)] {
		t.seen[r] = true
	}
	for _, incarnation := range w.Unheard[:min(len(w.Unheard), maxReports)] {
		t.unheard[incarnation] = true
	}
	a.controllers[controller] = t
}

// WatchReport returns the report to send to the other controllers.
func (a *Arbiter) WatchReport(now time.Time) WatchReport {
	var w WatchReport
	for incarnation, p := range a.pulls {
		if now.Sub(p.receivedAt) > a.cfg.Freshness {
			continue
		}
		for _, m := range p.missed {
			w.Missed = append(w.Missed, Report{incarnation, m})
		}
		for _, m := range p.seen {
			w.Seen = append(w.Seen, Report{incarnation, m})
		}
	}
	for incarnation := range a.unheard {
		w.Unheard = append(w.Unheard, incarnation)
	}
	for _, list := range []*[]Report{&w.Missed, &w.Seen} {
		slices.SortFunc(*list, func(x, y Report) int { return cmp.Or(strings.Compare(x.Life, y.Life), strings.Compare(x.By, y.By)) })
		*list = (*list)[:min(len(*list), maxReports)]
	}
	slices.Sort(w.Unheard)
	w.Unheard = w.Unheard[:min(len(w.Unheard), maxReports)]
	return w
}

// Tick must be called several times in a Period with the mixers that this controller monitors. It returns the incarnations
// that count as alive though they didn't pull here; the caller records a heartbeat for each. The registry marks the others
// silent in due course.
func (a *Arbiter) Tick(now time.Time, monitored []Monitored) (alive []string) {
	a.expire(now)
	clear(a.unheard)
	lastAlive := make(map[string]time.Time, len(monitored))
	for _, m := range monitored {
		at, ok := a.lastAlive[m.Incarnation]
		if !ok {
			at = now // newly monitored: if it is alive, it may still pull here
		}
		if p := a.pulls[m.Incarnation]; p != nil {
			at = latest(at, p.receivedAt)
		}
		lastAlive[m.Incarnation] = at
		if !m.Silent && !a.pulledRecently(now, m.Incarnation) {
			a.unheard[m.Incarnation] = true
		}
	}
	a.lastAlive = lastAlive
	for _, m := range monitored {
		if m.Silent {
			if !m.Leaving && a.seenAgain(now, m.Incarnation) {
				alive = append(alive, m.Incarnation)
				lastAlive[m.Incarnation] = now
			}
			continue
		}
		// As late as possible: confirming a mixer too early delays the detection of a dead one.
		if now.Sub(lastAlive[m.Incarnation]) >= a.cfg.Period*21/10 &&
			(a.pulledRecently(now, m.Incarnation) || !m.Leaving && a.confirmedAlive(now, m.Incarnation)) {
			alive = append(alive, m.Incarnation)
			lastAlive[m.Incarnation] = now
		}
	}
	slices.Sort(alive)
	return alive
}

// confirmedAlive reports whether enough of a mixer's watchers don't miss it. Only watchers that are themselves in contact
// count, otherwise two dead ones would confirm each other.
func (a *Arbiter) confirmedAlive(now time.Time, incarnation string) bool {
	n, missed := a.countWatchers(now, incarnation, func(p *pullRecord) []string { return p.missed },
		func(t *controllerReport) map[Report]bool { return t.missed })
	return n > 0 && missed < min(a.cfg.RequiredReports, n)
}

// seenAgain reports whether so many watchers receive a silent mixer's heartbeats that the others alone couldn't have it
// marked silent.
func (a *Arbiter) seenAgain(now time.Time, incarnation string) bool {
	n, seen := a.countWatchers(now, incarnation, func(p *pullRecord) []string { return p.seen },
		func(t *controllerReport) map[Report]bool { return t.seen })
	return n > 0 && n-seen < min(a.cfg.RequiredReports, n)
}

// countWatchers counts a mixer's watchers that are in contact, and those of them that report the mixer in a given list:
// local selects the list in a pull received here, remote the one in another controller's report.
func (a *Arbiter) countWatchers(now time.Time, incarnation string, local func(*pullRecord) []string,
	remote func(*controllerReport) map[Report]bool) (n, reporting int) {
	node, ok := a.nodes[incarnation]
	if !ok || !node.Addr.IsValid() {
		return 0, 0
	}
	for _, w := range a.ring.Watchers(&node) {
		switch {
		case a.pulledRecently(now, w.Incarnation):
			n++
			if slices.Contains(local(a.pulls[w.Incarnation]), incarnation) {
				reporting++
			}
		case !a.isUnheard(now, w.Incarnation):
			n++
			for _, t := range a.controllers {
				if now.Sub(t.receivedAt) <= a.cfg.Freshness && remote(t)[Report{w.Incarnation, incarnation}] {
					reporting++
					break
				}
			}
		}
	}
	return n, reporting
}

// pulledRecently reports whether a mixer's last pull here is still fresh.
func (a *Arbiter) pulledRecently(now time.Time, incarnation string) bool {
	p := a.pulls[incarnation]
	return p != nil && now.Sub(p.receivedAt) <= a.cfg.Freshness
}

// isUnheard reports whether this controller, or another one by its fresh report, monitors a mixer and receives no pulls of it.
func (a *Arbiter) isUnheard(now time.Time, incarnation string) bool {
	if a.unheard[incarnation] {
		return true
	}
	for _, t := range a.controllers {
		if now.Sub(t.receivedAt) <= a.cfg.Freshness && t.unheard[incarnation] {
			return true
		}
	}
	return false
}

// expire drops pulls and reports that are no longer fresh.
func (a *Arbiter) expire(now time.Time) {
	for incarnation, p := range a.pulls {
		if now.Sub(p.receivedAt) > a.cfg.Freshness {
			delete(a.pulls, incarnation)
		}
	}
	for name, t := range a.controllers {
		if now.Sub(t.receivedAt) > a.cfg.Freshness {
			delete(a.controllers, name)
		}
	}
}
