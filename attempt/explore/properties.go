package explore

import (
	"fmt"
	"slices"

	"peathollow/attempt"
)

// Property is a rule that holds in every state, or at the end of every run, by name and in a line. Kinds of faults are
// told the same way.
type Property struct{ Name, Line string }

// The properties, a plain line each; their checks name them.
var (
	oneAnswer = Property{"one-answer", "A scan gets exactly one final answer."}
	inTime    = Property{"in-time", "The final answer comes before the client's time is over, whatever the outside does or leaves undone."}
	oneOut    = Property{"one-out", "Where copies are barred, no dispatch of a part begins to leave while an earlier one may be running."}
	copies    = Property{"copies", "Elsewhere no more dispatches of a part are out at once than the settings tell."}
	noRerun   = Property{"no-rerun", "No non-replayable part is written whole again once it may have run."}
	keyWindow = Property{"key-window", "A keyed part that may have run is written again only within its window."}
	silent    = Property{"silent-after", "No dispatch begins to leave after its scan's final answer."}
	drains    = Property{"drains", "Nothing is handed to a connection of a reader later than it was told to drain, or gone."}
	values    = Property{"values", "An answer holds each part once, with a value that came from a reader for that part before."}
	wholeMark = Property{"whole", "An answer is marked whole only if every part of it passed, in both steps."}
	secondOf  = Property{"second-step", "A part of the second step names the shards that were in at the end of the first, and whether that was whole."}
	belief    = Property{"belief", "What is believed out is what is on the wires; where copies are barred, nothing else is."}
	proof     = Property{"proof", "The decider is told that a dispatch never ran only if it was not written whole, or was turned away."}
	toldOnce  = Property{"told-once", "The decider is told the end of each dispatch once."}
	toldAll   = Property{"told-all", "The decider is told the end of every dispatch."}
	harmless  = Property{"harmless", "A scan that is not replayable is throttled only if none of its parts may have run."}
	givenBack = Property{"given-back", "Once all has ended, every scan, part, id, place and connection is given back, and no count is below zero."}
	ends      = Property{"ends", "From every state each scan ends, also with a silent outside, and what is left ends with its connections."}
	alike     = Property{"same-again", "The same events give the same states."}
	noPanic   = Property{"no-panic", "Nothing panics but where the decider does."}
)

// Properties are all there are.
var Properties = []Property{oneAnswer, inTime, oneOut, copies, noRerun, keyWindow, silent, drains, values, wholeMark,
	secondOf, belief, proof, toldOnce, toldAll, harmless, givenBack, ends, alike, noPanic}

// Known tells whether there is a property of that name; none at all is fine.
func Known(name string) bool {
	return name == "" || slices.ContainsFunc(Properties, func(p Property) bool { return p.Name == name })
}

// Violation is a property broken.
type Violation struct {
	Property string `json:"property"`
	Text     string `json:"text"`
}

// broke notes the first property broken in a run.
func (w *World) broke(p Property, format string, args ...any) {
	if w.bad == nil && (w.only == "" || w.only == p.Name) {
		w.bad = &Violation{p.Name, fmt.Sprintf(format, args...)}
	}
}

// leaves checks a dispatch whose frame begins to be written.
func (w *World) leaves(x *sent) {
	if x.scan.replies > 0 {
		w.broke(silent, "%s leaves after its scan's answer", x.name())
	}
	out := 0
	for _, y := range w.sents {
		// Where copies are allowed, one given up or lost with its connection is as good as back.
		lost := w.set.Copies > 1 && (y.killed || y.c.closing)
		if y != x && y.scan == x.scan && y.wire == x.wire && y.running() && !lost {
			out++
		}
	}
	switch {
	case w.set.Copies == 1 && out > 0:
		w.broke(oneOut, "%s leaves while an earlier dispatch of it may be running", x.name())
	case out >= w.set.Copies:
		w.broke(copies, "%s leaves while %d dispatches of it are out", x.name(), out)
	}
}

// wrote checks a dispatch whose last byte was written.
func (w *World) wrote(x *sent) {
	for _, y := range w.sents {
		if y == x || y.scan != x.scan || y.wire != x.wire || !y.mayHaveRun() {
			continue
		}
		switch {
		case w.set.Effect == "nonreplayable":
			w.broke(noRerun, "%s is written again, and may have run", x.name())
		case w.set.Effect == "keyed" && w.now-y.at > window:
			w.broke(keyWindow, "%s is written again %v after it first was", x.name(), w.now-y.at)
		}
	}
}

// replied checks a scan's final answer.
func (w *World) replied(s *scan, whole bool, rows map[int]string, twice int, kind string) {
	if s.replies++; s.replies > 1 {
		w.broke(oneAnswer, "%s is answered %d times", s.name(), s.replies)
		return
	}
	if w.now > s.at+wait {
		w.broke(inTime, "%s is answered %v after its client left", s.name(), w.now-s.at-wait)
	}
	if kind == "throttled" && w.set.Effect != "replayable" && w.mayHaveRun(s) {
		w.broke(harmless, "%s is throttled though a part of it may have run", s.name())
	}
	if kind != "completed" {
		return
	}
	if twice > 0 {
		w.broke(values, "%s: shard %d is in the answer twice", s.name(), twice-1)
	}
	last := w.set.Steps - 1
	for shard, v := range rows {
		if !s.came(last, shard, v) {
			w.broke(values, "%s: the answer holds %q for shard %d, which never came", s.name(), v, shard)
		}
	}
	if whole && (s.passed(0) < w.set.Parts || last == 1 && s.passed(1) < w.set.Parts) {
		w.broke(wholeMark, "%s is marked whole with %d of %d parts in, %d in its second step", s.name(), s.passed(0), w.set.Parts, s.passed(1))
	}
}

// settled checks what must hold whenever a batch is over.
func (w *World) settled() {
	h := w.life.Usage()
	if h.Least < 0 || h.Open < 0 || h.Lanes < 0 {
		w.broke(givenBack, "a count is below zero: %+v", h)
	}
	for _, x := range w.sents {
		x.believed = false
	}
	w.life.EachInFlight(w.believed)
	if w.set.Copies > 1 {
		return
	}
	for _, x := range w.sents {
		if x.state == onWire && !x.believed && x.scan.replies == 0 && x.scan.step == x.step && !x.scan.passedBy(x) && !x.forgotten {
			w.broke(belief, "%s is out, and not believed to be", x.name())
		}
	}
}

// believes checks one dispatch that is believed out.
func (w *World) believes(c *conn, seq uint64, wire string) {
	x := c.find(seq, wire)
	if x == nil {
		w.broke(belief, "%s is believed out on a connection that never carried it", wire)
		return
	}
	x.believed = true
	// One that was taken back is told of in the next batch.
	results, _ := w.life.Pending()
	// A later answer may show that it was read; the word of that is still on its way to the owner.
	told := slices.ContainsFunc(c.frames, func(f *frame) bool { return f.behind == x })
	if x.state == answered || x.state == heardOf && !told || x.state == recalled && !results {
		w.broke(belief, "%s is believed out, and is back", x.name())
	}
}

// returned checks what the decider is told.
func (w *World) returned(id uint64, no int, never bool) {
	key := [2]uint64{id, uint64(no)}
	if w.told[key] {
		w.broke(toldOnce, "dispatch %d of part %d is told back twice", no+1, id)
	}
	w.told[key] = true
	c, seq, wire, ok := w.life.AttemptFrame(id, no)
	if !ok || !never {
		return
	}
	if x := c.(*conn).find(seq, wire); x != nil && x.mayHaveRun() {
		w.broke(proof, "%s is told never to have run, and may have", x.name())
	}
}

// left checks that nothing is held, once all has ended.
func (w *World) left() {
	h := w.life.Usage()
	h.Places = 0
	if h != (attempt.Usage{}) {
		w.broke(givenBack, "still held when all has ended: %+v", h)
	}
	for k := range w.dispatched {
		if !w.told[k] {
			w.broke(toldAll, "dispatch %d of part %d is never told back", k[1]+1, k[0])
		}
	}
}
