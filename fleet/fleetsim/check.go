package fleetsim

import (
	"time"

	"peathollow/fleet/overload"
	"peathollow/fleet/view"
)

// groundTruth records what all mixers together really spent and counted.
type groundTruth struct {
	budget    overload.BudgetConfig
	available float64 // what all mixers together may spend now
	updatedAt time.Duration
	spent     float64
	counts    map[string]uint64
}

// spend checks the budget over all time spans at once: a bucket that holds one burst and fills at the fleet's rate never
// falls below empty exactly if no span has more spent in it than rate * span + burst.
func (t *groundTruth) spend(sim *Simulation, n float64) {
	if t.spent == 0 {
		t.available = t.budget.Rate * t.budget.Burst.Seconds()
	}
	t.available = min(t.available+t.budget.Rate*(sim.now-t.updatedAt).Seconds(), t.budget.Rate*t.budget.Burst.Seconds())
	t.updatedAt = sim.now
	t.available -= n
	if t.spent += n; t.available < -1e-6 {
		sim.violation("budget: all mixers together spent %.2f more than the fleet's rate allows", -t.available)
	}
}

func (t *groundTruth) addCount(topic string, n uint64) {
	if t.counts == nil {
		t.counts = map[string]uint64{}
	}
	t.counts[topic] += n
}

// updateContact records since when each mixer has been without a majority: itself and those with a connection in both
// directions must be more than half of all. A mixer that has been without one for so long that no earlier heartbeat can
// count any more must neither grant nor raise.
func (sim *Simulation) updateContact() {
	for _, n := range sim.Nodes {
		connected := 1
		for _, o := range sim.Nodes {
			if o != n && sim.connected(n, o) {
				connected++
			}
		}
		switch {
		case 2*connected > sim.settings.Mixers && n.up:
			n.majorityLostAt = -1
		case n.majorityLostAt < 0:
			n.majorityLostAt = sim.now
		}
	}
}

// checkInvariants runs after every event of a mixer.
func (n *Node) checkInvariants() {
	sim := n.sim
	separated := n.majorityLostAt >= 0 &&
		sim.now-n.majorityLostAt > sim.staleAfter+sim.settings.HeartbeatInterval+oneWayDelay+sim.network.maxDelay
	if separated && (n.View.Allows(view.Grant) || n.View.Allows(view.Raise)) {
		sim.violation("views: %s may grant or raise (%v), but has had no contact with a majority for %v",
			n.Name, n.View.Connectivity(), sim.now-n.majorityLostAt)
	}
	if !n.View.Allows(view.UseOwnShare) || !n.View.Allows(view.Lower) {
		sim.violation("views: %s may not use its own share, or may not lower", n.Name)
	}
	for topic, counted := range sim.truth.counts {
		sum := n.Store.Sum(topic, 0)
		if sum > counted || sum < n.sums[topic] {
			sim.violation("counts: %s sums %q to %d, before to %d, while %d were counted", n.Name, topic, sum, n.sums[topic], counted)
		}
		n.sums[topic] = sum
	}
	if facts, counts, _ := n.Store.Stats(); facts > 8*sim.settings.Mixers || counts > 16*sim.settings.Mixers {
		sim.violation("bounds: %s holds %d facts, %d counts", n.Name, facts, counts)
	}
}

// checkGrant checks, when a loan is granted, that the lender's view allows it.
func (n *Node) checkGrant() {
	if !n.View.Allows(view.Grant) {
		n.sim.violation("views: %s grants a loan while %v", n.Name, n.View.Connectivity())
	}
}

// CheckConverged checks what must hold after a quiet period: all running mixers are connected to a settled majority, and
// their counters have converged to what all mixers together counted.
func (sim *Simulation) CheckConverged() {
	for _, n := range sim.Nodes {
		if !n.up {
			continue
		}
		if s := n.View.Connectivity(); s != view.Majority {
			sim.violation("whole: the connectivity of %s is %v", n.Name, s)
		}
		for topic, counted := range sim.truth.counts {
			if sum := n.Store.Sum(topic, 0); sum != counted {
				sim.violation("whole: %s sums %q to %d, while %d were counted", n.Name, topic, sum, counted)
			}
		}
	}
}
