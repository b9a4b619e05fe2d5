package explore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"
)

// Mutant is a small, realistic fault planted into what is explored. The shipped program holds none of it: the edit is
// made to a copy of one file, and the program is built over it. A mutant that is not caught by the property meant for it
// shows that the explorer, or the property, looks at nothing.
type Mutant struct {
	Name     string
	File     string
	Old, New string // once in the file
	Property Property
	Setup    Setup
}

func small(effect string, faults ...string) Setup {
	return Setup{Readers: 2, Parts: 1, Tries: 2, Effect: effect, Steps: 1, Copies: 1, Decider: "free", Faults: faults, Most: min(2, 2*len(faults))}
}

func (s Setup) with(edit func(*Setup)) Setup {
	edit(&s)
	return s
}

func two(s *Setup)   { s.Parts = 2 }
func steps(s *Setup) { s.Parts, s.Steps = 2, 2 }
func pair(s *Setup)  { s.Copies = 2 }
func module(s *Setup) {
	s.Decider, s.Parts = "brain", 2
}

// Mutants are all there are.
var Mutants = []Mutant{
	{"answered scan kept", "attempt/book.go", "	delete(o.book.scans, s.id)\n", "", oneAnswer, small("replayable", "stop")},
	{"more time than the client has", "attempt/admit.go", "left := s.Query.Wait - ago", "left := s.Query.Wait - ago + o.set.Connect", inTime, small("replayable")},
	{"a wake is lost", "attempt/life.go", "	o.timers.add(at, task{what: wake, token: token})\n", "	if o.now == 0 {\n		return\n	}\n	o.timers.add(at, task{what: wake, token: token})\n", ends, small("replayable", "reuse").with(func(s *Setup) { s.Tries = 1 })},
	{"every wake is lost", "attempt/timers.go", "		o.m.Woke(t.token)\n", "", ends, small("replayable")},
	{"given up once the word is written", "attempt/send.go", "proof := o.single(p) || t.lane.heard < t.at", "proof := false", oneOut, small("replayable")},
	{"lost with this mixer's end", "attempt/relay.go", "} else if !o.single(p) {", "} else {", oneOut, small("replayable", "mute")},
	{"lost without the searcher's end", "attempt/relay.go", "heard || !o.single(p)", "heard || true", oneOut, small("replayable", "mute")},
	{"any word counts as a receipt", "attempt/relay.go", "return k > seq })", "return k > seq && false })", oneOut, small("replayable").with(two)},
	{"copies barred nowhere", "attempt/send.go", "return !p.over && !o.set.Brain.MayHedge }", "return !p.over && o.set.Brain.MayHedge }", oneOut, small("replayable", "mute")},
	{"taken back though on its way", "attempt/send.go", "return t.lane == nil || t.lane.conn.Recall(t.seq, p.wire) }", "return t.lane == nil || t.lane.conn.Recall(t.seq, p.wire) || t.seq > 0 }", proof, small("replayable")},
	{"cut reads as no way there", "attempt/relay.go", "if no := l.out[p]; !l.conn.Ran(p.tries[no].seq) {", "if no := l.out[p]; l != nil {", proof, small("nonreplayable", "break")},
	{"lost reads as never run", "attempt/relay.go", "	return t.lane.lost\n", "	return policy.Unreachable\n", proof, small("keyed", "break")},
	{"called off in its batch, and sent", "attempt/send.go", "return !t.out || t.end != policy.Expired || p.over", "return !t.out || p.over", proof, small("replayable").with(two)},
	{"sent though its scan is over", "attempt/send.go", "return !t.out || t.end != policy.Expired || p.over", "return !t.out || t.end != policy.Expired", silent, small("replayable", "left")},
	{"what waits is not taken back", "attempt/book.go", "		o.recall(p)\n", "", silent, small("replayable", "left")},
	{"a change of the list is not handed over", "attempt/route.go", "		o.entry(i)\n	}\n	o.m.ListEnd(mode)", "		if mode != policy.Changes {\n			o.entry(i)\n		}\n	}\n	o.m.ListEnd(mode)", drains, small("replayable", "list")},
	{"an error's word counts as a value", "attempt/relay.go", "if a.End == policy.Succeeded && !p.in && !p.over {", "if !p.in && !p.over {", values, small("replayable", "error").with(two)},
	{"parts without a value are answered", "attempt/relay.go", "		if p.in {\n			in = append(in, p)\n		}", "		in = append(in, p)", values, small("replayable").with(two)},
	{"a value counts twice", "attempt/relay.go", "	rows := make([]proto.Row, len(in))\n", "	if len(in) == 1 {\n		in = append(in, in[0])\n	}\n	rows := make([]proto.Row, len(in))\n", values, small("replayable")},
	{"always whole", "attempt/relay.go", "proto.WriteAnswer(whole, rows)", "proto.WriteAnswer(len(rows) > 0, rows)", wholeMark, small("replayable").with(two)},
	{"the second step names all shards", "attempt/relay.go", "	for _, p := range in {\n		s.from", "	for _, p := range s.parts {\n		s.from", secondOf, small("replayable").with(steps)},
	{"the second step is said to be of a whole first", "attempt/send.go", "calls[i].From, calls[i].Whole = c.p.scan.from, c.p.scan.whole", "calls[i].From, calls[i].Whole = c.p.scan.from, true", secondOf, small("replayable").with(steps)},
	{"back, and still believed out", "attempt/route.go", "		delete(l.out, p)\n", "", belief, small("replayable")},
	{"a second answer counts again", "attempt/relay.go", "	if !ok {\n		// Late,", "	if q := o.book.byWire[a.ID]; !ok && q != nil && len(q.tries) > 0 {\n		p, no, ok = q, len(q.tries)-1, true\n	}\n	if !ok {\n		// Late,", silent, small("replayable", "error", "twice")},
	{"a connection's end counts twice", "attempt/relay.go", "	o.fleet.lanes--\n", "	if o.fleet.lanes--; !heard {\n		o.fleet.lanes--\n	}\n", givenBack, small("replayable", "mute")},
	{"a searcher's count is kept", "attempt/book.go", "	t.srv.live--\n", "	if end != policy.Unreachable {\n		t.srv.live--\n	}\n", givenBack, small("replayable", "break")},
	{"an id is kept", "attempt/book.go", "			delete(b.byWire, p.wire)\n", "", givenBack, small("replayable")},
	{"in doubt for ever", "attempt/book.go", "		o.release(p)\n", "", givenBack, small("replayable", "mute")},
	{"parts without a value stay counted", "attempt/book.go", "		if !p.in {\n			o.book.open--\n		}", "		if p.live == 0 && !p.in {\n			o.book.open--\n		}", givenBack, small("replayable")},
	{"told back twice", "attempt/book.go", "	if !t.out {\n		return\n	}\n	t.out = false", "	t.out = false", toldOnce, small("replayable", "break")},
	{"called off, and never told back", "attempt/send.go", "	case t.takeBack(p):\n		o.returnLater(p, no, policy.Expired)", "	case t.takeBack(p):", belief, small("replayable")},
	{"a clock of its own", "attempt/life.go", "	o.now = now\n	o.m.Advance(now)", "	o.now = now\n	if now > 0 && time.Now().UnixMicro()%2 == 0 {\n		o.now += 1\n	}\n	o.m.Advance(now)", alike, small("replayable", "break")},
	{"in doubt, and let go of without a word", "attempt/book.go", "			o.returnLater(p, no, t.lostAs())\n", "			t.out, p.live, t.srv.live = false, p.live-1, t.srv.live-1\n", toldAll, small("replayable", "mute")},
	{"an answer of nobody's is looked up", "attempt/relay.go", "		if !l.past.heard(a.ID) {\n			l.conn.Fail(errNeverAsked)\n		}\n		return\n", "		if !l.past.heard(a.ID) {\n			l.conn.Fail(errNeverAsked)\n		}\n", noPanic, small("replayable", "stranger")},
	// The faults that the explorer found in the program, put back.
	{"what a restart let go of is still counted", "attempt/life.go", "			clear(l.kills) // who hears", "			// who hears", givenBack, small("replayable", "panic")},
	{"results of before a restart are still handed on", "attempt/life.go", "	o.ready, o.later, o.out, o.timers = nil, nil, nil, timers{}", "	o.later, o.out, o.timers = nil, nil, timers{}", givenBack, small("replayable", "panic").with(two)},
	{"a keyed part waits beyond its window", "attempt/send.go", "if by, ok := o.windowEnd(c.p, c.no); ok {", "if by, ok := o.windowEnd(c.p, c.no); ok && by == 0 {", keyWindow, small("keyed")},
	{"an earlier dispatch's answer ends one that waits", "attempt/relay.go", "!l.conn.Ran(t.seq) && (!l.conn.Begun", "l.conn == nil && (!l.conn.Begun", silent, small("replayable").with(pair)},
	{"an answer that overtakes its write is dropped", "attempt/relay.go", "(!l.conn.Begun(t.seq) || a.End != policy.Succeeded && l.past.due(a.ID))", "l.conn != nil", belief, small("replayable", "early")},
	{"an id used again hides what is out", "attempt/relay.go", "		p, no, ok = l.namesake(a.ID)\n", "", belief, small("replayable", "reuse").with(func(s *Setup) { s.Readers = 1 })},
	{"an earlier request's answer is taken for this one's", "attempt/send.go", "	for l != nil && slices.ContainsFunc(call", "	for l == nil && slices.ContainsFunc(call", values, small("replayable", "reuse").with(func(s *Setup) { s.Readers = 1 })},
	{"module: throttled though it may have run", "policy/end.go", "if e.classes[sc.class].effect != Idempotent && e.mayHaveRun(sc) {", "if e.classes[sc.class].effect == IdempotentByKey && e.mayHaveRun(sc) {", harmless, small("nonreplayable", "break").with(module)},
	{"module: may have run, and goes again", "policy/send.go", "case p.inFlight > 0 && !e.mayHedge, ran && !e.mayRepeat(c, since, 2):", "case p.inFlight > 0 && !e.mayHedge, ran && c.floor < 0 && !e.mayRepeat(c, since, 2):", noRerun, small("nonreplayable", "error").with(module)},
	{"module: what is called off counts as back", "policy/send.go", "		e.actions.Cancel(p.id, len(p.attempts)-1)\n", "		e.actions.Cancel(p.id, len(p.attempts)-1)\n		a.inFlight, p.inFlight = false, p.inFlight-1\n", oneOut, small("replayable").with(module).with(func(s *Setup) { s.Tries = 3 })},
	{"module: a keyed part has no window", "policy/send.go", "return c.effect == Idempotent || c.effect == IdempotentByKey && e.now-since < c.repeatWindow-time.Duration(rounds)*e.granularity", "return c.effect == Idempotent || c.effect == IdempotentByKey", keyWindow, small("keyed", "break").with(module)},
	{"module: half is whole", "policy/end.go", "		e.completeStep(si, false)\n", "		e.completeStep(si, sc.passed > 0)\n", wholeMark, small("replayable").with(module)},
	{"module: no end of time", "policy/end.go", "1-sc.lostWeight < floor-epsilon, e.now >= sc.deadline,\n", "1-sc.lostWeight < floor-epsilon,\n", ends, small("replayable").with(module)},
	{"module: draining counts as ready", "policy/engine.go", "if s.state == Ready && s.shard >= 0", "if s.state != Gone && s.shard >= 0", drains, small("replayable", "list", "break").with(module)},
	{"a dispatch is queued twice", "attempt/send.go", "	o.out = append(o.out, sending{p, len(p.tries) - 1})\n", "	o.out = append(o.out, sending{p, len(p.tries) - 1}, sending{p, len(p.tries) - 1})\n", copies, small("replayable").with(pair)},
}

// Tried is what came of a mutant.
type Tried struct {
	Name     string   `json:"name"`
	Property string   `json:"property"`         // meant for it
	Broken   []string `json:"broken,omitempty"` // found broken
	Events   int      `json:"events"`           // of the shortest story
	States   int      `json:"states"`
	Seconds  float64  `json:"seconds"`
	Caught   bool     `json:"caught"`
	Fault    string   `json:"fault,omitempty"` // why it could not be tried

	found *Finding
	set   Setup
}

// TryMutants builds the program in a checkout over each fault and has it explore. It needs the Go tools.
func TryMutants(ctx context.Context, source string, only string, told func(Tried)) ([]Tried, error) {
	if _, err := os.Stat(filepath.Join(source, "attempt", "life.go")); err != nil {
		return nil, fmt.Errorf("--source %s: not a checkout of this program: %w", source, err)
	}
	dir, err := os.MkdirTemp("", "mutants")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	all := make([]Tried, len(Mutants))
	room := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	var wait sync.WaitGroup
	var mu sync.Mutex
	for i, m := range Mutants {
		if only != "" && !strings.Contains(m.Name, only) {
			all[i].Name = ""
			continue
		}
		wait.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			t := m.try(ctx, source, filepath.Join(dir, fmt.Sprint(i)))
			mu.Lock()
			defer mu.Unlock()
			if all[i] = t; told != nil {
				told(t)
			}
		})
	}
	wait.Wait()
	kept := all[:0]
	for _, t := range all {
		if t.Name != "" {
			kept = append(kept, t)
		}
	}
	return kept, ctx.Err()
}

func (m Mutant) try(ctx context.Context, source, dir string) Tried {
	t := Tried{Name: m.Name, Property: m.Property.Name}
	began := time.Now()
	defer func() { t.Seconds = time.Since(began).Seconds() }()
	res, err := m.explore(ctx, source, dir)
	if err != nil {
		t.Fault = err.Error()
		return t
	}
	t.States = res.States
	for _, f := range res.Found {
		t.Broken = append(t.Broken, f.Property)
		if f.Property == m.Property.Name {
			t.Caught, t.Events = true, len(f.Events)
			t.found, t.set = &f, m.Setup
		}
	}
	return t
}

// Write keeps how a planted fault was caught as a case.
func (t *Tried) Write(dir string) error {
	if t.found == nil {
		return nil
	}
	file := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' {
			return r
		}
		return '-'
	}, t.Name)
	return t.found.Write(filepath.Join(dir, file+".json"), t.set, Reduction{true, true}, t.Name)
}

func (m Mutant) explore(ctx context.Context, source, dir string) (res Result, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return res, err
	}
	file, err := filepath.Abs(filepath.Join(source, filepath.FromSlash(m.File)))
	if err != nil {
		return res, err
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return res, err
	}
	if n := strings.Count(string(text), m.Old); n != 1 {
		return res, fmt.Errorf("what it changes stands %d times in %s", n, m.File)
	}
	changed := filepath.Join(dir, "changed.go")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(text), m.Old, m.New, 1)), 0o644); err != nil {
		return res, err
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {file: changed}})
	if err != nil {
		return res, err
	}
	if err := os.WriteFile(filepath.Join(dir, "overlay.json"), overlay, 0o644); err != nil {
		return res, err
	}
	program := filepath.Join(dir, "program")
	build := exec.CommandContext(ctx, "go", "build", "-overlay", filepath.Join(dir, "overlay.json"), "-o", program, "./cmd/peathollow")
	build.Dir = source
	if out, err := build.CombinedOutput(); err != nil {
		return res, fmt.Errorf("it does not build: %w: %.500s", err, out)
	}
	s := m.Setup
	out, err := exec.CommandContext(ctx, program, "verify", "attempts", "--json", "--readers", fmt.Sprint(s.Readers), "--parts", fmt.Sprint(s.Parts),
		"--tries", fmt.Sprint(s.Tries), "--effect", s.Effect, "--steps", fmt.Sprint(s.Steps), "--copies", fmt.Sprint(s.Copies),
		"--decider", s.Decider, "--faults", strings.Join(s.Faults, ",")+",", "--most", fmt.Sprint(s.Most), "--threads", "2",
		"--property", m.Property.Name, "--limit-states", "300000").Output()
	os.Remove(program)
	if exit := (*exec.ExitError)(nil); err != nil && !(errors.As(err, &exit) && (exit.ExitCode() == 1 || exit.ExitCode() == 3)) {
		return res, fmt.Errorf("exploring: %w", err)
	}
	if err := json.Unmarshal(out, &res); err != nil {
		return res, fmt.Errorf("what it printed: %w", err)
	}
	return res, nil
}
