package failuredetector

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	maxReports     = 1024 // of each kind in a Word
	maxControllers = 64
)

// Report is what one watcher (By) reports of one mixer (Life).
type Report struct{ By, Life string }

// Word is what a controller sends the other controllers about the mixers that pull from it. This way a suspicion reaches the
// controller that last received the suspected mixer's pull, whichever controller the watcher pulls from. It is empty while
// all mixers are heard.
type Word struct {
	Missed, Seen []Report
	Unheard      []string // incarnations that this controller monitors and that don't pull from it
}

// Minded is a mixer that a controller is responsible for: the mixer last pulled from it, or from one that is dead.
type Minded struct {
	Life            string
	Silent, Leaving bool
}

// JudgeConfig configures a Judge. Zero values take the defaults.
type JudgeConfig struct {
	Period time.Duration // heartbeat period of the registry, which marks a mixer silent after 2.5 periods
	// Lately is how long after its pull a mixer counts as in contact, and its reports as fresh.
	Lately time.Duration
	// Needed is how many different watchers must miss a mixer, if it has that many.
	Needed int
}

// Judge decides in a controller which mixers are alive that don't pull from it. It is not safe for concurrent use.
type Judge struct {
	cfg         JudgeConfig
	ring        *Ring
	nodes       map[string]Node
	pulls       map[string]*pullRecord       // by life
	controllers map[string]*controllerReport // by name
	lastAlive   map[string]time.Time         // of the monitored mixers: last pull or confirmation, by incarnation
	unheard     map[string]bool              // monitored mixers without a recent pull
}

// pullRecord is a mixer's last pull and what it reported as a watcher.
type pullRecord struct {
	receivedAt   time.Time
	missed, seen []string
}

// controllerReport is the last Word of another controller, as sets.
type controllerReport struct {
	receivedAt   time.Time
	missed, seen map[Report]bool
	unheard      map[string]bool
}

// NewJudge returns the judge of a controller that knows no mixer yet.
func NewJudge(c JudgeConfig) *Judge {
	c.Period = cmp.Or(c.Period, time.Second)
	c.Lately = cmp.Or(c.Lately, 2*time.Second)
	c.Needed = cmp.Or(c.Needed, 2)
	return &Judge{cfg: c, ring: NewRing(nil), nodes: map[string]Node{}, pulls: map[string]*pullRecord{},
		controllers: map[string]*controllerReport{}, lastAlive: map[string]time.Time{}, unheard: map[string]bool{}}
}

// Know sets the list of mixers.
func (a *Judge) Know(nodes []Node) {
	nodes = nodes[:min(len(nodes), maxNodes)]
	a.ring = NewRing(nodes)
	clear(a.nodes)
	for _, n := range nodes {
		a.nodes[n.Life] = n
	}
}

// Pulled records a mixer's pull and what the mixer reports as a watcher.
func (a *Judge) Pulled(now time.Time, incarnation string, missed, seen []string) {
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

// Told stores another controller's report, in place of its earlier one.
func (a *Judge) Told(now time.Time, controller string, w Word) {
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

// Word returns the report to send to the other controllers.
func (a *Judge) Word(now time.Time) Word {
	var w Word
	for incarnation, p := range a.pulls {
		if now.Sub(p.receivedAt) > a.cfg.Lately {
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
func (a *Judge) Tick(now time.Time, monitored []Minded) (alive []string) {
	a.expire(now)
	clear(a.unheard)
	lastAlive := make(map[string]time.Time, len(monitored))
	for _, m := range monitored {
		at, ok := a.lastAlive[m.Life]
		if !ok {
			at = now // newly monitored: if it is alive, it may still pull here
		}
		if p := a.pulls[m.Life]; p != nil {
			at = latest(at, p.receivedAt)
		}
		lastAlive[m.Life] = at
		if !m.Silent && !a.pulledRecently(now, m.Life) {
			a.unheard[m.Life] = true
		}
	}
	a.lastAlive = lastAlive
	for _, m := range monitored {
		if m.Silent {
			if !m.Leaving && a.seenAgain(now, m.Life) {
				alive = append(alive, m.Life)
				lastAlive[m.Life] = now
			}
			continue
		}
		// As late as possible: confirming a mixer too early delays the detection of a dead one.
		if now.Sub(lastAlive[m.Life]) >= a.cfg.Period*21/10 &&
			(a.pulledRecently(now, m.Life) || !m.Leaving && a.confirmedAlive(now, m.Life)) {
			alive = append(alive, m.Life)
			lastAlive[m.Life] = now
		}
	}
	slices.Sort(alive)
	return alive
}

// confirmedAlive reports whether enough of a mixer's watchers don't miss it. Only watchers that are themselves in contact
// count, otherwise two dead ones would confirm each other.
func (a *Judge) confirmedAlive(now time.Time, incarnation string) bool {
	n, missed := a.countWatchers(now, incarnation, func(p *pullRecord) []string { return p.missed },
		func(t *controllerReport) map[Report]bool { return t.missed })
	return n > 0 && missed < min(a.cfg.Needed, n)
}

// seenAgain reports whether so many watchers receive a silent mixer's heartbeats that the others alone couldn't have it
// marked silent.
func (a *Judge) seenAgain(now time.Time, incarnation string) bool {
	n, seen := a.countWatchers(now, incarnation, func(p *pullRecord) []string { return p.seen },
		func(t *controllerReport) map[Report]bool { return t.seen })
	return n > 0 && n-seen < min(a.cfg.Needed, n)
}

// countWatchers counts a mixer's watchers that are in contact, and those of them that report the mixer in a given list:
// local selects the list in a pull received here, remote the one in another controller's report.
func (a *Judge) countWatchers(now time.Time, incarnation string, local func(*pullRecord) []string,
	remote func(*controllerReport) map[Report]bool) (n, reporting int) {
	node, ok := a.nodes[incarnation]
	if !ok || !node.Addr.IsValid() {
		return 0, 0
	}
	for _, w := range a.ring.Watchers(&node) {
		switch {
		case a.pulledRecently(now, w.Life):
			n++
			if slices.Contains(local(a.pulls[w.Life]), incarnation) {
				reporting++
			}
		case !a.isUnheard(now, w.Life):
			n++
			for _, t := range a.controllers {
				if now.Sub(t.receivedAt) <= a.cfg.Lately && remote(t)[Report{w.Life, incarnation}] {
					reporting++
					break
				}
			}
		}
	}
	return n, reporting
}

// pulledRecently reports whether a mixer's last pull here is still fresh.
func (a *Judge) pulledRecently(now time.Time, incarnation string) bool {
	p := a.pulls[incarnation]
	return p != nil && now.Sub(p.receivedAt) <= a.cfg.Lately
}

// isUnheard reports whether this controller, or another one by its fresh report, monitors a mixer and receives no pulls of it.
func (a *Judge) isUnheard(now time.Time, incarnation string) bool {
	if a.unheard[incarnation] {
		return true
	}
	for _, t := range a.controllers {
		if now.Sub(t.receivedAt) <= a.cfg.Lately && t.unheard[incarnation] {
			return true
		}
	}
	return false
}

// expire drops pulls and reports that are no longer fresh.
func (a *Judge) expire(now time.Time) {
	for incarnation, p := range a.pulls {
		if now.Sub(p.receivedAt) > a.cfg.Lately {
			delete(a.pulls, incarnation)
		}
	}
	for name, t := range a.controllers {
		if now.Sub(t.receivedAt) > a.cfg.Lately {
			delete(a.controllers, name)
		}
	}
}
