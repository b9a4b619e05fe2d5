package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"peathollow/fleet"
	"peathollow/fleet/overload"
	"peathollow/lab/queue"
)

// Settings are what a fleet is.
type Settings struct {
	Mixers int
	Seed   uint64
	Beat   time.Duration // between words to all others
	Lease  time.Duration
	Probes float64 // the fleet's figure of probes a second: the budget that stories spend from
	Load   Load    // of clients and searchers; none where Readers is 0
	Mute   bool    // no words between mixers at all
	Shared bool    // overload is handled as one; else each mixer by itself, as without a fleet
	Plant  string  // the name of a planted fault; empty for none
}

// Default is a fleet of so many mixers.
func Default(mixers int, seed uint64) Settings {
	return Settings{Mixers: mixers, Seed: seed, Beat: 250 * time.Millisecond, Lease: 6 * time.Second, Probes: 10 * float64(mixers), Shared: true}
}

const (
	trip  = 5 * time.Millisecond // one way between mixers, and half of it to searchers
	burst = time.Second
)

// World is one run.
type World struct {
	set   Settings
	now   time.Duration
	q     queue.Queue[func()]
	dice  *rand.Rand
	Nodes []*Node
	net   net
	load  *load
	stale time.Duration
	leap  time.Duration
	probe ledger
	// Broken are the rules that were broken, first to last, at most a few.
	Broken []string
	Events int
}

// net is what the script does to words between mixers.
type net struct {
	cut                 map[[2]int]bool // from, to
	lost, double, delay float64         // shares of words
	late                time.Duration   // of those delayed, at most
	words, bytes        int
}

// New makes a fleet whose mixers start within their first beat, none at the same moment.
func New(set Settings) (*World, error) {
	if set.Mixers < 1 || set.Beat <= 0 {
		return nil, fmt.Errorf("fleet: %d mixers, beat %v; 1 or more, above 0", set.Mixers, set.Beat)
	}
	w := &World{set: set, dice: rand.New(rand.NewPCG(set.Seed, 17)), net: net{cut: map[[2]int]bool{}}}
	if _, ok := plants[set.Plant]; !ok && set.Plant != "" {
		return nil, fmt.Errorf("fleet: no fault %q to plant", set.Plant)
	}
	for i := range set.Mixers {
		n := &Node{w: w, i: i, Name: fmt.Sprint("m", i+1), wants: map[string]float64{}}
		w.Nodes = append(w.Nodes, n)
	}
	if set.Load.Readers > 0 {
		w.load = newLoad(w)
	}
	m := w.mind()
	w.stale, w.leap = m.Stale(), m.Leap()
	w.probe.terms = w.terms()
	for _, n := range w.Nodes {
		w.after(time.Duration(w.dice.Float64()*float64(set.Beat)), n.start)
	}
	return w, nil
}

// mind is what each mixer's mind is told, but for who it is.
func (w *World) mind() fleet.Settings {
	set := fleet.Settings{Instances: w.set.Mixers, Beat: w.set.Beat}
	if w.load != nil {
		set.Kinds = w.load.kinds
	}
	return set
}

func (w *World) terms() overload.BudgetConfig {
	return overload.BudgetConfig{Rate: w.set.Probes, Burst: burst, Instances: w.set.Mixers, ReservedShare: 0.25, Lease: w.set.Lease, MaxClockStep: w.leap}
}

func (w *World) after(d time.Duration, do func()) { w.q.Put(w.now+d, do) }

// Now is the simulated time.
func (w *World) Now() time.Duration { return w.now }

// Run lets time pass; it ends early once a rule is broken.
func (w *World) Run(d time.Duration) {
	end := w.now + d
	w.q.Put(end, nil)
	for {
		at, do, ok := w.q.Next()
		if !ok {
			return
		}
		w.now = max(w.now, at)
		if do == nil {
			if at == end {
				return
			}
			continue
		}
		w.Events++
		if do(); len(w.Broken) > 0 {
			return
		}
	}
}

func (w *World) broke(format string, args ...any) {
	if len(w.Broken) < 10 {
		w.Broken = append(w.Broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
	}
}

// Find gives the mixer of a name.
func (w *World) Find(name string) (*Node, error) {
	for _, n := range w.Nodes {
		if n.Name == name {
			return n, nil
		}
	}
	return nil, fmt.Errorf("no mixer %q", name)
}

// Cut has the second hear nothing of the first any more, or hear it again.
func (w *World) Cut(from, to *Node, on bool) {
	w.net.cut[[2]int{from.i, to.i}] = on
	w.truth()
}

// Split cuts mixers into groups that hear nothing of each other; none heals all ways.
func (w *World) Split(groups ...[]*Node) {
	clear(w.net.cut)
	side := map[*Node]int{}
	for g, nodes := range groups {
		for _, n := range nodes {
			side[n] = g + 1
		}
	}
	for _, a := range w.Nodes {
		for _, b := range w.Nodes {
			if side[a] != side[b] && len(groups) > 0 {
				w.net.cut[[2]int{a.i, b.i}] = true
			}
		}
	}
	w.truth()
}

// Words sets which shares of words are lost, come twice, and are late by up to a time.
func (w *World) Words(lost, double, delay float64, late time.Duration) {
	w.net.lost, w.net.double, w.net.delay, w.net.late = lost, double, delay, late
}

// Cost is the words and bytes sent between mixers so far.
func (w *World) Cost() (words, bytes int) { return w.net.words, w.net.bytes }

// send carries something from one mixer to another. A sleeper's words wait for it, as they do before a stopped process; one
// that has started anew in the meantime gets nothing meant for its earlier self.
func (w *World) send(from, to *Node, bytes int, do func()) {
	w.net.words++
	w.net.bytes += bytes
	copies := 1
	if w.dice.Float64() < w.net.lost {
		copies = 0
	}
	if w.dice.Float64() < w.net.double {
		copies++
	}
	for range copies {
		d := trip
		if w.dice.Float64() < w.net.delay {
			d += time.Duration(w.dice.Float64() * float64(w.net.late))
		}
		// Who is cut off when the word would come hears nothing of it.
		w.after(d, func() {
			if !w.net.cut[[2]int{from.i, to.i}] && to.up {
				to.do(do)
			}
		})
	}
}

// together tells whether two mixers hear each other, both ways, once both are awake.
func (w *World) together(a, b *Node) bool {
	awake := w.now >= a.asleep && w.now >= b.asleep
	return a.up && b.up && awake && !w.net.cut[[2]int{a.i, b.i}] && !w.net.cut[[2]int{b.i, a.i}]
}
