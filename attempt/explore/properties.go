package explore

import (
	"fmt"
	"slices"

	"peathollow/attempt"
)

// Property is an invariant that must hold in every state, or at the end of every run, with its name and a one-line
// description. Kinds of faults are described by the same type.
type Property struct{ Name, Line string }

// The properties that are checked.
var (
	propOneAnswer = Property{"one-answer", "A scan gets exactly one final answer."}
	propInTime    = Property{"in-time",
		"The final answer is sent before the client's deadline, whatever the outside does or fails to do."}
	propOneOut = Property{"one-out",
		"Where hedging is not allowed, the write of a dispatch never starts while an earlier dispatch of its part may be running."}
	propCopies = Property{"copies",
		"Where hedging is allowed, no more dispatches of a part are in flight at once than the settings allow."}
	propNoRerun     = Property{"no-rerun", "No non-replayable part is fully written again once it may have run."}
	propKeyWindow   = Property{"key-window", "A keyed part that may have run is written again only within its repeat window."}
	propSilentAfter = Property{"silent-after", "The write of a dispatch never starts after its scan's final answer."}
	propDrains      = Property{"drains",
		"No part is sent on a connection of a reader after the list marked the reader as draining or gone."}
	propValues = Property{"values",
		"An answer holds each part at most once, with a value that a reader sent for that part before."}
	propWhole      = Property{"whole", "An answer is marked whole only if every part of it succeeded, in both steps."}
	propSecondStep = Property{"second-step",
		"A part of the second step lists the shards that had answered at the end of the first, and whether the first was whole."}
	propBelief = Property{"belief",
		"The dispatches recorded as in flight are those on the wire; where hedging is not allowed, no others are on the wire."}
	propProof = Property{"proof",
		"A dispatch is reported to the policy as never run only if it was not fully written, or was rejected."}
	propToldOnce  = Property{"told-once", "The end of each dispatch is reported to the policy at most once."}
	propToldAll   = Property{"told-all", "The end of every dispatch is reported to the policy."}
	propHarmless  = Property{"harmless", "A scan that is not replayable is throttled only if none of its parts may have run."}
	propGivenBack = Property{"given-back",
		"Once every scan and connection has ended, every scan, part, ID, slot and connection is released, and no count is negative."}
	propEnds = Property{"ends",
		"From every state each scan ends, even with a silent outside, and everything left over ends with its connections."}
	propSameAgain = Property{"same-again", "The same events lead to the same states."}
	propNoPanic   = Property{"no-panic", "Nothing panics except the policy, where a panic is injected."}
)

// Properties lists all properties.
var Properties = []Property{propOneAnswer, propInTime, propOneOut, propCopies, propNoRerun, propKeyWindow, propSilentAfter,
	propDrains, propValues, propWhole, propSecondStep, propBelief, propProof, propToldOnce, propToldAll, propHarmless,
	propGivenBack, propEnds, propSameAgain, propNoPanic}

// KnownProperty reports whether a property of that name exists; the empty name is valid too.
func KnownProperty(name string) bool {
	return name == "" || slices.ContainsFunc(Properties, func(p Property) bool { return p.Name == name })
}

// Violation is a violated property and how it was violated.
type Violation struct {
	Property string `json:"property"`
	Text     string `json:"text"`
}

// violate records the first violation of a run.
func (sim *Simulation) violate(p Property, format string, args ...any) {
	if sim.violation == nil && (sim.property == "" || sim.property == p.Name) {
		sim.violation = &Violation{p.Name, fmt.Sprintf(format, args...)}
	}
}

// checkWriteStart checks a dispatch when the write of its frame starts.
func (sim *Simulation) checkWriteStart(x *dispatch) {
	if x.scan.replies > 0 {
		sim.violate(propSilentAfter, "the write of %s starts after its scan's final answer", x.name())
	}
	inFlight := 0
	for _, other := range sim.dispatches {
		// Where hedging is allowed, a dispatch that was cancelled or lost with its connection no longer counts.
		discounted := sim.setup.MaxInFlight > 1 && (other.cancelWritten || other.conn.writeSideEnded)
		if other != x && other.scan == x.scan && other.wireID == x.wireID && other.mayBeRunning() && !discounted {
			inFlight++
		}
	}
	switch {
	case sim.setup.MaxInFlight == 1 && inFlight > 0:
		sim.violate(propOneOut, "the write of %s starts while an earlier dispatch of the part may be running", x.name())
	case inFlight >= sim.setup.MaxInFlight:
		sim.violate(propCopies, "the write of %s starts while %d other dispatches of the part are in flight", x.name(), inFlight)
	}
}

// checkWritten checks a dispatch when its last byte is written.
func (sim *Simulation) checkWritten(x *dispatch) {
	for _, other := range sim.dispatches {
		if other == x || other.scan != x.scan || other.wireID != x.wireID || !other.mayHaveRun() {
			continue
		}
		switch {
		case sim.setup.Effect == "nonreplayable":
			sim.violate(propNoRerun, "%s is written again although an earlier dispatch may have run", x.name())
		case sim.setup.Effect == "keyed" && sim.now-other.writtenAt > repeatWindow:
			sim.violate(propKeyWindow, "%s is written again %v after an earlier dispatch that may have run", x.name(),
				sim.now-other.writtenAt)
		}
	}
}

// checkReply checks a scan's final answer.
func (sim *Simulation) checkReply(s *scan, complete bool, rows map[int]string, duplicate int, kind string) {
	if s.replies++; s.replies > 1 {
		sim.violate(propOneAnswer, "%s is answered %d times", s.name(), s.replies)
		return
	}
	if sim.now > s.submittedAt+clientWait {
		sim.violate(propInTime, "%s is answered %v after its deadline", s.name(), sim.now-s.submittedAt-clientWait)
	}
	if kind == "throttled" && sim.setup.Effect != "replayable" && sim.mayHaveRun(s) {
		sim.violate(propHarmless, "%s is throttled although a part of it may have run", s.name())
	}
	if kind != "completed" {
		return
	}
	if duplicate > 0 {
		sim.violate(propValues, "%s: shard %d is in the answer twice", s.name(), duplicate-1)
	}
	lastStep := sim.setup.Steps - 1
	for shard, v := range rows {
		if !s.hasReceived(lastStep, shard, v) {
			sim.violate(propValues, "%s: the answer holds %q for shard %d, which no searcher sent", s.name(), v, shard)
		}
	}
	if complete && (s.receivedShards(0) < sim.setup.Parts || lastStep == 1 && s.receivedShards(1) < sim.setup.Parts) {
		sim.violate(propWhole, "%s is marked whole with %d of %d parts received, %d in its second step", s.name(),
			s.receivedShards(0), sim.setup.Parts, s.receivedShards(1))
	}
}

// checkBatchEnd checks what must hold at the end of every batch.
func (sim *Simulation) checkBatchEnd() {
	usage := sim.coordinator.Usage()
	if usage.Least < 0 || usage.Open < 0 || usage.Lanes < 0 {
		sim.violate(propGivenBack, "a count is negative: %+v", usage)
	}
	for _, x := range sim.dispatches {
		x.reportedInFlight = false
	}
	sim.coordinator.EachInFlight(sim.visitInFlight)
	if sim.setup.MaxInFlight > 1 {
		return
	}
	for _, x := range sim.dispatches {
		if x.state == onWire && !x.reportedInFlight && x.scan.replies == 0 && x.scan.step == x.step &&
			!x.scan.hasReceivedFor(x) && !x.droppedByRestart {
			sim.violate(propBelief, "%s is in flight, but not recorded as in flight", x.name())
		}
	}
}

// checkReportedInFlight checks a dispatch that the coordinator records as in flight.
func (sim *Simulation) checkReportedInFlight(c *conn, seq uint64, wireID string) {
	x := c.find(seq, wireID)
	if x == nil {
		sim.violate(propBelief, "%s is recorded as in flight on a connection that never carried it", wireID)
		return
	}
	x.reportedInFlight = true
	// The end of a withdrawn dispatch is reported in the next batch.
	results, _ := sim.coordinator.Pending()
	// A later answer may prove that the cancellation was read before its confirmation reaches the coordinator.
	pending := slices.ContainsFunc(c.frames, func(f *frame) bool { return f.cancels == x })
	if x.state == answered || x.state == cancelRead && !pending || x.state == withdrawn && !results {
		sim.violate(propBelief, "%s is recorded as in flight, but has ended", x.name())
	}
}

// checkReturned checks the end of a dispatch as it is reported to the policy.
func (sim *Simulation) checkReturned(id uint64, number int, neverRan bool) {
	key := [2]uint64{id, uint64(number)}
	if sim.returned[key] {
		sim.violate(propToldOnce, "the end of dispatch %d of part %d is reported twice", number+1, id)
	}
	sim.returned[key] = true
	c, seq, wireID, ok := sim.coordinator.AttemptFrame(id, number)
	if !ok || !neverRan {
		return
	}
	if x := c.(*conn).find(seq, wireID); x != nil && x.mayHaveRun() {
		sim.violate(propProof, "%s is reported as never run, but may have run", x.name())
	}
}

// checkReleased checks that every resource is released once every scan and connection has ended.
func (sim *Simulation) checkReleased() {
	usage := sim.coordinator.Usage()
	usage.Places = 0
	if usage != (attempt.Usage{}) {
		sim.violate(propGivenBack, "still held after everything has ended: %+v", usage)
	}
	for k := range sim.requested {
		if !sim.returned[k] {
			sim.violate(propToldAll, "the end of dispatch %d of part %d is never reported", k[1]+1, k[0])
		}
	}
}
