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
	{"answered scan kept", "attempt/pending.go", "	delete(c.pending.scans, s.id)\n", "", oneAnswer, small("replayable", "stop")},
	{"more time than the client has", "attempt/admit.go", "remaining := s.Query.Wait - sentAgo", "remaining := s.Query.Wait - sentAgo + c.settings.Connect", inTime, small("replayable")},
	{"a wake is lost", "attempt/coordinator.go", "	c.timers.add(at, task{kind: policyWake, token: token})\n", "	if c.now == 0 {\n		return\n	}\n	c.timers.add(at, task{kind: policyWake, token: token})\n", ends, small("replayable", "reuse").with(func(s *Setup) { s.Tries = 1 })},
	{"every wake is lost", "attempt/timers.go", "		c.policy.Woke(t.token)\n", "", ends, small("replayable")},
	{"given up once the word is written", "attempt/send.go", "proof := c.exclusive(p) || a.conn.lastReceived < a.startedAt", "proof := false", oneOut, small("replayable")},
	{"lost with this mixer's end", "attempt/answers.go", "} else if !c.exclusive(p) {", "} else {", oneOut, small("replayable", "mute")},
	{"lost without the searcher's end", "attempt/answers.go", "confirmed || !c.exclusive(p)", "confirmed || true", oneOut, small("replayable", "mute")},
	{"any word counts as a receipt", "attempt/answers.go", "return k > seq })", "return k > seq && false })", oneOut, small("replayable").with(two)},
	{"copies barred nowhere", "attempt/send.go", "return !p.ended && !c.settings.Brain.MayHedge }", "return !p.ended && c.settings.Brain.MayHedge }", oneOut, small("replayable", "mute")},
	{"taken back though on its way", "attempt/send.go", "return a.conn == nil || a.conn.transport.Withdraw(a.seq, p.wireID)\n", "return a.conn == nil || a.conn.transport.Withdraw(a.seq, p.wireID) || a.seq > 0\n", proof, small("replayable")},
	{"cut reads as no way there", "attempt/answers.go", "if index := conn.inFlight[p]; !conn.transport.Written(p.attempts[index].seq) {", "if index := conn.inFlight[p]; conn != nil {", proof, small("nonreplayable", "break")},
	{"lost reads as never run", "attempt/answers.go", "	return a.conn.lossOutcome\n", "	return policy.Unreachable\n", proof, small("keyed", "break")},
	{"called off in its batch, and sent", "attempt/send.go", "return !a.inFlight || a.outcome != policy.Expired || p.ended", "return !a.inFlight || p.ended", proof, small("replayable").with(two)},
	{"sent though its scan is over", "attempt/send.go", "return !a.inFlight || a.outcome != policy.Expired || p.ended", "return !a.inFlight || a.outcome != policy.Expired", silent, small("replayable", "left")},
	{"what waits is not taken back", "attempt/pending.go", "		c.withdrawUnsent(p)\n", "", silent, small("replayable", "left")},
	{"a change of the list is not handed over", "attempt/searchers.go", "		c.passEntry(i)\n	}\n	c.policy.ListEnd(mode)", "		if mode != policy.Changes {\n			c.passEntry(i)\n		}\n	}\n	c.policy.ListEnd(mode)", drains, small("replayable", "list")},
	{"an error's word counts as a value", "attempt/answers.go", "if answer.End == policy.Succeeded && !p.hasValue && !p.ended {", "if !p.hasValue && !p.ended {", values, small("replayable", "error").with(two)},
	{"parts without a value are answered", "attempt/answers.go", "		if p.hasValue {\n			answered = append(answered, p)\n		}", "		answered = append(answered, p)", values, small("replayable").with(two)},
	{"a value counts twice", "attempt/answers.go", "	rows := make([]proto.Row, len(answered))\n", "	if len(answered) == 1 {\n		answered = append(answered, answered[0])\n	}\n	rows := make([]proto.Row, len(answered))\n", values, small("replayable")},
	{"always whole", "attempt/answers.go", "proto.WriteAnswer(complete, rows)", "proto.WriteAnswer(len(rows) > 0, rows)", wholeMark, small("replayable").with(two)},
	{"the second step names all shards", "attempt/answers.go", "	for _, p := range answered {\n		s.firstStepShards", "	for _, p := range s.parts {\n		s.firstStepShards", secondOf, small("replayable").with(steps)},
	{"the second step is said to be of a whole first", "attempt/send.go", "calls[i].From, calls[i].Whole = q.part.scan.firstStepShards, q.part.scan.firstStepComplete", "calls[i].From, calls[i].Whole = q.part.scan.firstStepShards, true", secondOf, small("replayable").with(steps)},
	{"back, and still believed out", "attempt/searchers.go", "		delete(conn.inFlight, p)\n", "", belief, small("replayable")},
	{"a second answer counts again", "attempt/answers.go", "	if !ok {\n		// A late", "	if q := c.pending.byWireID[answer.ID]; !ok && q != nil && len(q.attempts) > 0 {\n		p, index, ok = q, len(q.attempts)-1, true\n	}\n	if !ok {\n		// A late", silent, small("replayable", "error", "twice")},
	{"a connection's end counts twice", "attempt/answers.go", "	c.searchers.connections--\n", "	if c.searchers.connections--; !confirmed {\n		c.searchers.connections--\n	}\n", givenBack, small("replayable", "mute")},
	{"a searcher's count is kept", "attempt/pending.go", "	a.searcher.inFlight--\n", "	if outcome != policy.Unreachable {\n		a.searcher.inFlight--\n	}\n", givenBack, small("replayable", "break")},
	{"an id is kept", "attempt/pending.go", "			delete(p.byWireID, removed.wireID)\n", "", givenBack, small("replayable")},
	{"in doubt for ever", "attempt/pending.go", "		c.releaseUnconfirmed(p)\n", "", givenBack, small("replayable", "mute")},
	{"parts without a value stay counted", "attempt/pending.go", "		if !p.hasValue {\n			c.pending.open--\n		}", "		if p.inFlight == 0 && !p.hasValue {\n			c.pending.open--\n		}", givenBack, small("replayable")},
	{"told back twice", "attempt/pending.go", "	if !a.inFlight {\n		return\n	}\n	a.inFlight = false", "	a.inFlight = false", toldOnce, small("replayable", "break")},
	{"called off, and never told back", "attempt/send.go", "	case a.withdraw(p):\n		c.deferReturned(p, index, policy.Expired)", "	case a.withdraw(p):", belief, small("replayable")},
	{"a clock of its own", "attempt/coordinator.go", "	c.now = now\n	c.policy.Advance(now)", "	c.now = now\n	if now > 0 && time.Now().UnixMicro()%2 == 0 {\n		c.now += 1\n	}\n	c.policy.Advance(now)", alike, small("replayable", "break")},
	{"in doubt, and let go of without a word", "attempt/pending.go", "			c.deferReturned(p, index, a.lossOutcome())\n", "			a.inFlight, p.inFlight, a.searcher.inFlight = false, p.inFlight-1, a.searcher.inFlight-1\n", toldAll, small("replayable", "mute")},
	{"an answer of nobody's is looked up", "attempt/answers.go", "		if !conn.history.answerReceived(answer.ID) {\n			conn.transport.Fail(errUnsolicited)\n		}\n		return\n", "		if !conn.history.answerReceived(answer.ID) {\n			conn.transport.Fail(errUnsolicited)\n		}\n", noPanic, small("replayable", "stranger")},
	// The faults that the explorer found in the program, put back.
	{"what a restart let go of is still counted", "attempt/coordinator.go", "			clear(conn.cancels) // confirming them", "			// confirming them", givenBack, small("replayable", "panic")},
	{"results of before a restart are still handed on", "attempt/coordinator.go", "	c.current, c.deferred, c.unsent, c.timers = nil, nil, nil, timers{}", "	c.deferred, c.unsent, c.timers = nil, nil, timers{}", givenBack, small("replayable", "panic").with(two)},
	{"a keyed part waits beyond its window", "attempt/send.go", "if windowEnd, ok := c.windowEnd(q.part, q.index); ok {", "if windowEnd, ok := c.windowEnd(q.part, q.index); ok && windowEnd == 0 {", keyWindow, small("keyed")},
	{"an earlier dispatch's answer ends one that waits", "attempt/answers.go", "!conn.transport.Written(a.seq) && (!conn.transport.WriteStarted", "conn.transport == nil && (!conn.transport.WriteStarted", silent, small("replayable").with(pair)},
	{"an answer that overtakes its write is dropped", "attempt/answers.go", "(!conn.transport.WriteStarted(a.seq) ||\n		answer.End != policy.Succeeded && conn.history.answerDue(answer.ID))", "conn.transport != nil", belief, small("replayable", "early")},
	{"an id used again hides what is out", "attempt/answers.go", "		p, index, ok = conn.findByWireID(answer.ID)\n", "", belief, small("replayable", "reuse").with(func(s *Setup) { s.Readers = 1 })},
	{"an earlier request's answer is taken for this one's", "attempt/send.go", "	for conn != nil && slices.ContainsFunc(batch", "	for conn == nil && slices.ContainsFunc(batch", values, small("replayable", "reuse").with(func(s *Setup) { s.Readers = 1 })},
	{"module: throttled though it may have run", "policy/end.go", "if e.classes[sc.class].effect != Idempotent && e.mayHaveRun(sc) {", "if e.classes[sc.class].effect == IdempotentByKey && e.mayHaveRun(sc) {", harmless, small("nonreplayable", "break").with(module)},
	{"module: may have run, and goes again", "policy/send.go", "case p.inFlight > 0 && !e.mayHedge, ran && !e.mayRepeat(c, since, 2):", "case p.inFlight > 0 && !e.mayHedge, ran && c.floor < 0 && !e.mayRepeat(c, since, 2):", noRerun, small("nonreplayable", "error").with(module)},
	{"module: what is called off counts as back", "policy/send.go", "		e.actions.Cancel(p.id, len(p.attempts)-1)\n", "		e.actions.Cancel(p.id, len(p.attempts)-1)\n		a.inFlight, p.inFlight = false, p.inFlight-1\n", oneOut, small("replayable").with(module).with(func(s *Setup) { s.Tries = 3 })},
	{"module: a keyed part has no window", "policy/send.go", "return c.effect == Idempotent || c.effect == IdempotentByKey && e.now-since < c.repeatWindow-time.Duration(rounds)*e.granularity", "return c.effect == Idempotent || c.effect == IdempotentByKey", keyWindow, small("keyed", "break").with(module)},
	{"module: half is whole", "policy/end.go", "		e.completeStep(si, false)\n", "		e.completeStep(si, sc.passed > 0)\n", wholeMark, small("replayable").with(module)},
	{"module: no end of time", "policy/end.go", "1-sc.lostWeight < floor-epsilon, e.now >= sc.deadline,\n", "1-sc.lostWeight < floor-epsilon,\n", ends, small("replayable").with(module)},
	{"module: draining counts as ready", "policy/engine.go", "if s.state == Ready && s.shard >= 0", "if s.state != Gone && s.shard >= 0", drains, small("replayable", "list", "break").with(module)},
	{"a dispatch is queued twice", "attempt/send.go", "	c.unsent = append(c.unsent, queuedAttempt{p, len(p.attempts) - 1})\n", "	c.unsent = append(c.unsent, queuedAttempt{p, len(p.attempts) - 1}, queuedAttempt{p, len(p.attempts) - 1})\n", copies, small("replayable").with(pair)},
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
	if _, err := os.Stat(filepath.Join(source, "attempt", "coordinator.go")); err != nil {
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
