package fleetsim

import (
	"time"

	"peathollow/fleet/overload"
	"peathollow/fleet/view"
)

// ledger is what the world knows of what was truly spent and counted.
type ledger struct {
	terms overload.BudgetConfig
	level float64 // what may be spent at once now, by all together
	at    time.Duration
	spent float64
	truth map[string]uint64
}

// take checks the budget over all spans at once: a bucket as large as the burst that fills at the fleet's rate never runs
// below empty exactly if no span has more spent in it than rate x span + burst.
func (l *ledger) take(w *World, n float64) {
	if l.spent == 0 {
		l.level = l.terms.Rate * l.terms.Burst.Seconds()
	}
	l.level = min(l.level+l.terms.Rate*(w.now-l.at).Seconds(), l.terms.Rate*l.terms.Burst.Seconds())
	l.at = w.now
	l.level -= n
	if l.spent += n; l.level < -1e-6 {
		w.broke("budget: all together spend %.2f more than the fleet's figure allows", -l.level)
	}
}

func (l *ledger) counted(topic string, n uint64) {
	if l.truth == nil {
		l.truth = map[string]uint64{}
	}
	l.truth[topic] += n
}

// truth notes since when each mixer has been without a majority: itself and those it hears and is heard by, more than half
// of all. Who has lost it for so long that no word from before can count must not grant or move the fleet on.
func (w *World) truth() {
	for _, n := range w.Nodes {
		most := 1
		for _, o := range w.Nodes {
			if o != n && w.together(n, o) {
				most++
			}
		}
		switch {
		case 2*most > w.set.Mixers && n.up:
			n.lost = -1
		case n.lost < 0:
			n.lost = w.now
		}
	}
}

// check holds after every event of a mixer.
func (n *Node) check() {
	w := n.w
	apart := n.lost >= 0 && w.now-n.lost > w.stale+w.set.Beat+trip+w.net.late
	if apart && (n.View.Allows(view.Grant) || n.View.Allows(view.Raise)) {
		w.broke("views: %s stands with a majority (%v), and has heard none for %v", n.Name, n.View.Connectivity(), w.now-n.lost)
	}
	if !n.View.Allows(view.UseOwnShare) || !n.View.Allows(view.Lower) {
		w.broke("views: %s may not even live by its own share", n.Name)
	}
	for topic, truth := range w.probe.truth {
		sum := n.Store.Sum(topic, 0)
		if sum > truth || sum < n.sums[topic] {
			w.broke("counts: %s sums %q up to %d, %d before, %d in truth", n.Name, topic, sum, n.sums[topic], truth)
		}
		n.sums[topic] = sum
	}
	if facts, counts, _ := n.Store.Stats(); facts > 8*w.set.Mixers || counts > 16*w.set.Mixers {
		w.broke("bounds: %s holds %d facts, %d counts", n.Name, facts, counts)
	}
}

// granted checks a loan as it is made: by one that may.
func (n *Node) granted() {
	if !n.View.Allows(view.Grant) {
		n.w.broke("views: %s lends while %v", n.Name, n.View.Connectivity())
	}
}

// Whole checks what must hold once nothing has been wrong for a while: all that run stand with the majority and have come to
// the same counts, what was truly counted by all.
func (w *World) Whole() {
	for _, n := range w.Nodes {
		if !n.up {
			continue
		}
		if s := n.View.Connectivity(); s != view.Majority {
			w.broke("whole: %s stands %v", n.Name, s)
		}
		for topic, truth := range w.probe.truth {
			if sum := n.Store.Sum(topic, 0); sum != truth {
				w.broke("whole: %s sums %q up to %d, %d in truth", n.Name, topic, sum, truth)
			}
		}
	}
}
