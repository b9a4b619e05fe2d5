package fleetsim

import (
	"encoding/json"
	"errors"
	"time"

	"peathollow/fleet"
	"peathollow/fleet/factstore"
	"peathollow/fleet/overload"
	"peathollow/fleet/view"
)

// Node is one simulated mixer: its decision code and the state of its process, which the script controls.
type Node struct {
	sim        *Simulation
	index      int
	Name       string
	Inc        uint64
	generation int // number of starts; unlike Inc it grows with each start under every injected fault

	up          bool
	pausedUntil time.Duration
	deferred    []func()      // events that arrived during a pause
	startedAt   time.Duration // zero of its clock
	clockOffset time.Duration // sum of the clock jumps

	*fleet.Coordinator
	ProbeBudget *overload.Budget
	host        *engineHost

	probeDemand    map[string]float64 // probes per second that it would like to make
	owedProbes     float64            // wanted and not spent yet
	Probes         float64            // spent
	Condition      overload.Condition
	majorityLostAt time.Duration // when it really lost contact with a majority; -1 while it has contact
	sums           map[string]uint64
	lastSeq        uint64 // number of its last heartbeat
}

// start starts a new incarnation of the mixer.
func (n *Node) start() {
	if !n.hasFault(faultLife) || n.Inc == 0 {
		n.Inc++
	}
	n.generation++
	n.up, n.pausedUntil, n.deferred, n.startedAt, n.clockOffset = true, 0, nil, n.sim.now, 0
	n.owedProbes, n.sums = 0, map[string]uint64{}
	n.sim.updateContact()
	settings, budget := n.sim.fleetSettings(), n.sim.budgetConfig()
	settings.Name, settings.Inc = n.Name, n.Inc
	if n.hasFault(faultFigure) && n.index == 0 {
		budget.Instances = 1
	}
	if n.hasFault(faultStale) && n.index == 0 {
		settings.HeartbeatInterval *= 10
	}
	var err error
	if n.Coordinator, err = fleet.New(settings, 0); err != nil {
		panic(err) // New has checked the simulation's settings
	}
	if n.ProbeBudget, err = overload.NewBudget(budget, n.Name, n.Inc, 0); err != nil {
		panic(err)
	}
	n.Condition = overload.Calm
	if n.sim.workload != nil {
		n.host = newEngineHost(n)
	}
	if !n.sim.settings.NoMessages {
		n.runHeartbeats(n.generation)
		n.runTicks(n.generation)
	}
}

// process runs an event of the mixer now, or at the end of its pause.
func (n *Node) process(f func()) {
	if n.sim.now < n.pausedUntil {
		n.deferred = append(n.deferred, f)
		return
	}
	n.advance()
	f()
	n.checkInvariants()
}

// advance advances the clocks of the mixer's parts.
func (n *Node) advance() {
	at := n.sim.now - n.startedAt + n.clockOffset
	n.Coordinator.Advance(at)
	n.ProbeBudget.Advance(at)
}

// runHeartbeats sends messages to all other mixers once per heartbeat interval, until the mixer stops.
func (n *Node) runHeartbeats(generation int) {
	if !n.up || n.generation != generation {
		return
	}
	n.sim.schedule(n.sim.settings.HeartbeatInterval, func() { n.runHeartbeats(generation) })
	n.process(func() { n.sendMessages(false) })
}

func (n *Node) sendMessages(leaving bool) {
	n.Store.SetFact("spare", encodeNumber(n.ProbeBudget.Spare()))
	if n.host != nil {
		n.publishReport()
	}
	var names []string
	var others []*Node
	for _, o := range n.sim.Nodes {
		if o != n {
			names, others = append(names, o.Name), append(others, o)
		}
	}
	for i, message := range n.NextMessages(leaving, names) {
		n.lastSeq = message.Heartbeat.Seq
		n.sim.send(n, others[i], len(message.Append(nil)), func() { others[i].receive(message) })
	}
}

// receive processes a message. A rejected heartbeat is no violation, as it may be delayed, duplicated or from an earlier
// incarnation.
func (n *Node) receive(message fleet.Message) {
	if n.hasFault(faultEcho) {
		message.Heartbeat.Echo = view.Echo{Inc: n.Inc, Seq: n.lastSeq}
	}
	if err := n.Receive(message); errors.Is(err, fleet.ErrInvalidPiece) {
		n.sim.violation("%s rejects the shared state from %s: %v", n.Name, message.Heartbeat.From, err)
	}
	if n.hasFault(faultTwice) && n.sim.truth.counts["seen"] > 0 {
		n.Store.Add("seen", 0, 1)
	}
}

// runTicks spends probes and applies the fleet's advice at each tick, until the mixer stops.
func (n *Node) runTicks(generation int) {
	if !n.up || n.generation != generation {
		return
	}
	const step = 100 * time.Millisecond
	n.sim.schedule(step, func() { n.runTicks(generation) })
	n.process(func() {
		n.spendProbes(step)
		if n.host != nil {
			n.host.applyAdvice()
		}
	})
}

// spendProbes spends as many of the wanted probes as the budget allows, and requests loans for the rest.
func (n *Node) spendProbes(step time.Duration) {
	demand := 0.0
	for _, x := range n.probeDemand {
		demand += x
	}
	for n.owedProbes = min(n.owedProbes+demand*step.Seconds(), demand+1); n.owedProbes >= 1 && n.ProbeBudget.Spend(1); n.owedProbes-- {
		n.Probes++
		n.sim.truth.spend(n.sim, 1)
	}
	if !n.View.Allows(view.UseReports) {
		return
	}
	spare := map[string]overload.PeerSpare{}
	n.Store.EachFact("spare", func(f factstore.Fact) {
		var x float64
		if inc, ok := n.View.ConfirmedIncarnation(f.Owner); ok && inc == f.Inc && json.Unmarshal(f.Body, &x) == nil {
			spare[f.Owner] = overload.PeerSpare{Inc: inc, Rate: x}
		}
	})
	for _, request := range n.ProbeBudget.LoanRequests(spare) {
		if o, err := n.sim.Find(request.To); err == nil {
			n.sim.send(n, o, len(encode(request)), func() { o.handleLoanRequest(request, n) })
		}
	}
}

func (n *Node) handleLoanRequest(request overload.LoanRequest, from *Node) {
	allowed := n.View.Allows(view.Grant) || n.hasFault(faultGrant)
	loan, ok := n.ProbeBudget.HandleRequest(request, allowed)
	if !ok {
		return
	}
	if loan.Rate > 0 {
		n.checkGrant()
	}
	n.sim.send(n, from, len(encode(loan)), func() { from.ProbeBudget.HandleLoan(loan) })
}

// Kill stops the mixer without an announcement.
func (n *Node) Kill() {
	n.up = false
	n.sim.updateContact()
	if n.host != nil {
		n.host.dropScans()
	}
}

// Restart starts a new incarnation, which keeps nothing of the one before, and kills that first if it is up.
func (n *Node) Restart() {
	if n.up {
		n.Kill()
	}
	n.start()
}

// Leave makes the mixer announce that it leaves, and stops it.
func (n *Node) Leave() {
	n.process(func() { n.sendMessages(true) })
	n.Kill()
}

// Pause pauses the process for a time. Its clock continues, and events for it are deferred.
func (n *Node) Pause(d time.Duration) {
	n.pausedUntil = n.sim.now + d
	if n.hasFault(faultClock) {
		n.clockOffset -= d
	}
	generation := n.generation
	n.sim.updateContact()
	n.sim.schedule(d, func() {
		if !n.up || n.generation != generation || n.sim.now < n.pausedUntil {
			return
		}
		n.sim.updateContact()
		deferred := n.deferred
		n.deferred = nil
		for _, f := range deferred {
			n.process(f)
		}
	})
}

// JumpClock moves the mixer's clock forwards, or backwards by a negative step.
func (n *Node) JumpClock(d time.Duration) { n.clockOffset += d }

// SetProbeDemand sets how many probes per second the mixer makes if its budget allows.
func (n *Node) SetProbeDemand(perSecond float64) { n.probeDemand["story"] = perSecond }

// Up reports whether the mixer is up.
func (n *Node) Up() bool { return n.up }

// Count adds k to a counter. The simulation records the true total and checks the sums of all mixers against it.
func (n *Node) Count(topic string, k uint64) {
	n.process(func() {
		if n.Store.Add(topic, 0, k) {
			n.sim.truth.addCount(topic, k)
		}
	})
}

func encodeNumber(x float64) []byte { return encode(x) }

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // numbers and names can always be encoded
	}
	return b
}
