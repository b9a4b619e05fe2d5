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

// Mutant is a small, realistic fault that is injected into the code under test, to verify that a property detects it. The
// edit is applied to a copy of one file, which replaces the original in a separate build; the shipped program contains none
// of it. A mutant that its property does not detect shows that the search or the property checks nothing.
type Mutant struct {
	Name     string
	File     string
	Old, New string // Old must occur exactly once in File
	Property Property
	Setup    Setup
}

// smallSetup has a single part that is dispatched up to twice.
func smallSetup(effect string, faults ...string) Setup {
	return Setup{Searchers: 2, Parts: 1, MaxAttempts: 2, Effect: effect, Steps: 1, MaxInFlight: 1, Policy: "free", Faults: faults, MaxFaults: min(2, 2*len(faults))}
}

func (s Setup) with(edit func(*Setup)) Setup {
	edit(&s)
	return s
}

func twoParts(s *Setup)  { s.Parts = 2 }
func twoSteps(s *Setup)  { s.Parts, s.Steps = 2, 2 }
func twoCopies(s *Setup) { s.MaxInFlight = 2 }
func withEngine(s *Setup) {
	s.Policy, s.Parts = "brain", 2
}

// Mutants lists all injected faults.
var Mutants = []Mutant{
	{"answered scan kept", "attempt/pending.go", "	delete(c.pending.scans, s.id)\n", "", propOneAnswer, smallSetup("replayable", "stop")},
	{"more time than the client has", "attempt/admit.go", "remaining := s.Query.Wait - sentAgo", "remaining := s.Query.Wait - sentAgo + c.settings.ConnectTimeout", propInTime, smallSetup("replayable")},
	{"a wake is lost", "attempt/coordinator.go", "	c.timers.add(at, task{kind: policyWake, token: token})\n", "	if c.now == 0 {\n		return\n	}\n	c.timers.add(at, task{kind: policyWake, token: token})\n", propEnds, smallSetup("replayable", "reuse").with(func(s *Setup) { s.MaxAttempts = 1 })},
	{"every wake is lost", "attempt/timers.go", "		c.policy.Woke(t.token)\n", "", propEnds, smallSetup("replayable")},
	{"given up once the word is written", "attempt/send.go", "proof := c.exclusive(p) || a.conn.lastReceived < a.startedAt", "proof := false", propOneOut, smallSetup("replayable")},
	{"lost with this mixer's end", "attempt/answers.go", "} else if !c.exclusive(p) {", "} else {", propOneOut, smallSetup("replayable", "mute")},
	{"lost without the searcher's end", "attempt/answers.go", "confirmed || !c.exclusive(p)", "confirmed || true", propOneOut, smallSetup("replayable", "mute")},
	{"any word counts as a receipt", "attempt/answers.go", "return k > seq })", "return k > seq && false })", propOneOut, smallSetup("replayable").with(twoParts)},
	{"copies barred nowhere", "attempt/send.go", "return !p.ended && !c.settings.Policy.MayHedge }", "return !p.ended && c.settings.Policy.MayHedge }", propOneOut, smallSetup("replayable", "mute")},
	{"taken back though on its way", "attempt/send.go", "return a.conn == nil || a.conn.transport.Withdraw(a.seq, p.wireID)\n", "return a.conn == nil || a.conn.transport.Withdraw(a.seq, p.wireID) || a.seq > 0\n", propProof, smallSetup("replayable")},
	{"cut reads as no way there", "attempt/answers.go", "if index := conn.inFlight[p]; !conn.transport.Written(p.attempts[index].seq) {", "if index := conn.inFlight[p]; conn != nil {", propProof, smallSetup("nonreplayable", "break")},
	{"lost reads as never run", "attempt/answers.go", "	return a.conn.lossOutcome\n", "	return policy.Unreachable\n", propProof, smallSetup("keyed", "break")},
	{"called off in its batch, and sent", "attempt/send.go", "return !a.inFlight || a.outcome != policy.Expired || p.ended", "return !a.inFlight || p.ended", propProof, smallSetup("replayable").with(twoParts)},
	{"sent though its scan is over", "attempt/send.go", "return !a.inFlight || a.outcome != policy.Expired || p.ended", "return !a.inFlight || a.outcome != policy.Expired", propSilentAfter, smallSetup("replayable", "left")},
	{"what waits is not taken back", "attempt/pending.go", "		c.withdrawUnsent(p)\n", "", propSilentAfter, smallSetup("replayable", "left")},
	{"a change of the list is not handed over", "attempt/searchers.go", "		c.passEntry(i)\n	}\n	c.policy.ListEnd(mode)", "		if mode != policy.Changes {\n			c.passEntry(i)\n		}\n	}\n	c.policy.ListEnd(mode)", propDrains, smallSetup("replayable", "list")},
	{"an error's word counts as a value", "attempt/answers.go", "if answer.Outcome == policy.Succeeded && !p.hasValue && !p.ended {", "if !p.hasValue && !p.ended {", propValues, smallSetup("replayable", "error").with(twoParts)},
	{"parts without a value are answered", "attempt/answers.go", "		if p.hasValue {\n			answered = append(answered, p)\n		}", "		answered = append(answered, p)", propValues, smallSetup("replayable").with(twoParts)},
	{"a value counts twice", "attempt/answers.go", "	rows := make([]proto.Row, len(answered))\n", "	if len(answered) == 1 {\n		answered = append(answered, answered[0])\n	}\n	rows := make([]proto.Row, len(answered))\n", propValues, smallSetup("replayable")},
	{"always whole", "attempt/answers.go", "proto.WriteAnswer(complete, rows)", "proto.WriteAnswer(len(rows) > 0, rows)", propWhole, smallSetup("replayable").with(twoParts)},
	{"the second step names all shards", "attempt/answers.go", "	for _, p := range answered {\n		s.firstStepShards", "	for _, p := range s.parts {\n		s.firstStepShards", propSecondStep, smallSetup("replayable").with(twoSteps)},
	{"the second step is said to be of a whole first", "attempt/send.go", "calls[i].From, calls[i].Whole = q.part.scan.firstStepShards, q.part.scan.firstStepComplete", "calls[i].From, calls[i].Whole = q.part.scan.firstStepShards, true", propSecondStep, smallSetup("replayable").with(twoSteps)},
	{"back, and still believed out", "attempt/searchers.go", "		delete(conn.inFlight, p)\n", "", propBelief, smallSetup("replayable")},
	{"a second answer counts again", "attempt/answers.go", "	if !ok {\n		// A late", "	if q := c.pending.byWireID[answer.ID]; !ok && q != nil && len(q.attempts) > 0 {\n		p, index, ok = q, len(q.attempts)-1, true\n	}\n	if !ok {\n		// A late", propSilentAfter, smallSetup("replayable", "error", "twice")},
	{"a connection's end counts twice", "attempt/answers.go", "	c.searchers.connections--\n", "	if c.searchers.connections--; !confirmed {\n		c.searchers.connections--\n	}\n", propGivenBack, smallSetup("replayable", "mute")},
	{"a searcher's count is kept", "attempt/pending.go", "	a.searcher.inFlight--\n", "	if outcome != policy.Unreachable {\n		a.searcher.inFlight--\n	}\n", propGivenBack, smallSetup("replayable", "break")},
	{"an id is kept", "attempt/pending.go", "			delete(p.byWireID, removed.wireID)\n", "", propGivenBack, smallSetup("replayable")},
	{"in doubt for ever", "attempt/pending.go", "		c.releaseUnconfirmed(p)\n", "", propGivenBack, smallSetup("replayable", "mute")},
	{"parts without a value stay counted", "attempt/pending.go", "		if !p.hasValue {\n			c.pending.open--\n		}", "		if p.inFlight == 0 && !p.hasValue {\n			c.pending.open--\n		}", propGivenBack, smallSetup("replayable")},
	{"told back twice", "attempt/pending.go", "	if !a.inFlight {\n		return\n	}\n	a.inFlight = false", "	a.inFlight = false", propToldOnce, smallSetup("replayable", "break")},
	{"called off, and never told back", "attempt/send.go", "	case a.withdraw(p):\n		c.deferReturned(p, index, policy.Expired)", "	case a.withdraw(p):", propBelief, smallSetup("replayable")},
	{"a clock of its own", "attempt/coordinator.go", "	c.now = now\n	c.policy.Advance(now)", "	c.now = now\n	if now > 0 && time.Now().UnixMicro()%2 == 0 {\n		c.now += 1\n	}\n	c.policy.Advance(now)", propSameAgain, smallSetup("replayable", "break")},
	{"in doubt, and let go of without a word", "attempt/pending.go", "			c.deferReturned(p, index, a.lossOutcome())\n", "			a.inFlight, p.inFlight, a.searcher.inFlight = false, p.inFlight-1, a.searcher.inFlight-1\n", propToldAll, smallSetup("replayable", "mute")},
	{"an answer of nobody's is looked up", "attempt/answers.go", "		if !conn.history.answerReceived(answer.ID) {\n			conn.transport.Fail(errUnsolicited)\n		}\n		return\n", "		if !conn.history.answerReceived(answer.ID) {\n			conn.transport.Fail(errUnsolicited)\n		}\n", propNoPanic, smallSetup("replayable", "stranger")},
	// Faults that the search once found in the program, reintroduced.
	{"what a restart let go of is still counted", "attempt/coordinator.go", "			clear(conn.cancels) // confirming them", "			// confirming them", propGivenBack, smallSetup("replayable", "panic")},
	{"results of before a restart are still handed on", "attempt/coordinator.go", "	c.current, c.deferred, c.unsent, c.timers = nil, nil, nil, timers{}", "	c.deferred, c.unsent, c.timers = nil, nil, timers{}", propGivenBack, smallSetup("replayable", "panic").with(twoParts)},
	{"a keyed part waits beyond its window", "attempt/send.go", "if windowEnd, ok := c.windowEnd(q.part, q.index); ok {", "if windowEnd, ok := c.windowEnd(q.part, q.index); ok && windowEnd == 0 {", propKeyWindow, smallSetup("keyed")},
	{"an earlier dispatch's answer ends one that waits", "attempt/answers.go", "!conn.transport.Written(a.seq) && (!conn.transport.WriteStarted", "conn.transport == nil && (!conn.transport.WriteStarted", propSilentAfter, smallSetup("replayable").with(twoCopies)},
	{"an answer that overtakes its write is dropped", "attempt/answers.go", "(!conn.transport.WriteStarted(a.seq) ||\n		answer.Outcome != policy.Succeeded && conn.history.answerDue(answer.ID))", "conn.transport != nil", propBelief, smallSetup("replayable", "early")},
	{"an id used again hides what is out", "attempt/answers.go", "		p, index, ok = conn.findByWireID(answer.ID)\n", "", propBelief, smallSetup("replayable", "reuse").with(func(s *Setup) { s.Searchers = 1 })},
	{"an earlier request's answer is taken for this one's", "attempt/send.go", "	for conn != nil && slices.ContainsFunc(batch", "	for conn == nil && slices.ContainsFunc(batch", propValues, smallSetup("replayable", "reuse").with(func(s *Setup) { s.Searchers = 1 })},
	{"a part goes again where it was refused", "attempt/searchers.go", " || !conn.coordinator.repeatable(p) && conn.carriedBefore(p)", "", propProof, smallSetup("nonreplayable", "refuse", "twice").with(func(s *Setup) { s.Searchers = 1 })},
	{"module: throttled though it may have run", "policy/end.go", "if e.classes[sc.class].effect != Idempotent && e.mayHaveRun(sc) {", "if e.classes[sc.class].effect == IdempotentByKey && e.mayHaveRun(sc) {", propHarmless, smallSetup("nonreplayable", "break").with(withEngine)},
	{"module: may have run, and goes again", "policy/send.go", "case p.inFlight > 0 && !e.mayHedge, ran && !e.mayRepeat(c, since, 2):", "case p.inFlight > 0 && !e.mayHedge, ran && c.floor < 0 && !e.mayRepeat(c, since, 2):", propNoRerun, smallSetup("nonreplayable", "error").with(withEngine)},
	{"module: what is called off counts as back", "policy/send.go", "		e.actions.Cancel(p.id, len(p.attempts)-1)\n", "		e.actions.Cancel(p.id, len(p.attempts)-1)\n		a.inFlight, p.inFlight = false, p.inFlight-1\n", propOneOut, smallSetup("replayable").with(withEngine).with(func(s *Setup) { s.MaxAttempts = 3 })},
	{"module: a keyed part has no window", "policy/send.go", "return c.effect == Idempotent || c.effect == IdempotentByKey && e.now-since < c.repeatWindow-time.Duration(rounds)*e.granularity", "return c.effect == Idempotent || c.effect == IdempotentByKey", propKeyWindow, smallSetup("keyed", "break").with(withEngine)},
	{"module: half is whole", "policy/end.go", "		e.completeStep(si, false)\n", "		e.completeStep(si, sc.passed > 0)\n", propWhole, smallSetup("replayable").with(withEngine)},
	{"module: no end of time", "policy/end.go", "1-sc.lostWeight < floor-epsilon, e.now >= sc.deadline,\n", "1-sc.lostWeight < floor-epsilon,\n", propEnds, smallSetup("replayable").with(withEngine)},
	{"module: draining counts as ready", "policy/engine.go", "if s.state == Ready && s.shard >= 0", "if s.state != Gone && s.shard >= 0", propDrains, smallSetup("replayable", "list", "break").with(withEngine)},
	{"a dispatch is queued twice", "attempt/send.go", "	c.unsent = append(c.unsent, queuedAttempt{p, len(p.attempts) - 1})\n", "	c.unsent = append(c.unsent, queuedAttempt{p, len(p.attempts) - 1}, queuedAttempt{p, len(p.attempts) - 1})\n", propCopies, smallSetup("replayable").with(twoCopies)},
}

// MutantResult is the result of a mutant.
type MutantResult struct {
	Name     string   `json:"name"`
	Property string   `json:"property"`         // that should detect it
	Violated []string `json:"broken,omitempty"` // properties found violated
	Events   int      `json:"events"`           // of the shortest scenario
	States   int      `json:"states"`
	Seconds  float64  `json:"seconds"`
	Detected bool     `json:"caught"`
	Error    string   `json:"fault,omitempty"` // why it could not be run

	finding *Finding
	setup   Setup
}

// RunMutants builds the program in a checkout with each fault injected, and runs the search with it. It needs the Go tools.
func RunMutants(ctx context.Context, source string, only string, report func(MutantResult)) ([]MutantResult, error) {
	if _, err := os.Stat(filepath.Join(source, "attempt", "coordinator.go")); err != nil {
		return nil, fmt.Errorf("--source %s: not a checkout of this program: %w", source, err)
	}
	dir, err := os.MkdirTemp("", "mutants")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	all := make([]MutantResult, len(Mutants))
	slots := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	var group sync.WaitGroup
	var mu sync.Mutex
	for i, m := range Mutants {
		if only != "" && !strings.Contains(m.Name, only) {
			all[i].Name = ""
			continue
		}
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			result := m.run(ctx, source, filepath.Join(dir, fmt.Sprint(i)))
			mu.Lock()
			defer mu.Unlock()
			if all[i] = result; report != nil {
				report(result)
			}
		})
	}
	group.Wait()
	results := all[:0]
	for _, result := range all {
		if result.Name != "" {
			results = append(results, result)
		}
	}
	return results, ctx.Err()
}

// run explores the program with the fault and checks whether the property detects it.
func (m Mutant) run(ctx context.Context, source, dir string) MutantResult {
	result := MutantResult{Name: m.Name, Property: m.Property.Name}
	startedAt := time.Now()
	defer func() { result.Seconds = time.Since(startedAt).Seconds() }()
	found, err := m.buildAndExplore(ctx, source, dir)
	if err != nil {
		result.Error = err.Error()
		return result
	}
	result.States = found.States
	for _, f := range found.Findings {
		result.Violated = append(result.Violated, f.Property)
		if f.Property == m.Property.Name {
			result.Detected, result.Events = true, len(f.Events)
			result.finding, result.setup = &f, m.Setup
		}
	}
	return result
}

// Write writes the finding that detected the fault to a scenario file in dir.
func (t *MutantResult) Write(dir string) error {
	if t.finding == nil {
		return nil
	}
	file := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' {
			return r
		}
		return '-'
	}, t.Name)
	return t.finding.Write(filepath.Join(dir, file+".json"), t.setup, Reduction{true, true}, t.Name)
}

// buildAndExplore builds the program with the fault in dir, and runs the search with it.
func (m Mutant) buildAndExplore(ctx context.Context, source, dir string) (result Result, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return result, err
	}
	file, err := filepath.Abs(filepath.Join(source, filepath.FromSlash(m.File)))
	if err != nil {
		return result, err
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return result, err
	}
	if n := strings.Count(string(text), m.Old); n != 1 {
		return result, fmt.Errorf("the text to replace occurs %d times in %s", n, m.File)
	}
	changed := filepath.Join(dir, "changed.go")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(text), m.Old, m.New, 1)), 0o644); err != nil {
		return result, err
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {file: changed}})
	if err != nil {
		return result, err
	}
	if err := os.WriteFile(filepath.Join(dir, "overlay.json"), overlay, 0o644); err != nil {
		return result, err
	}
	program := filepath.Join(dir, "program")
	build := exec.CommandContext(ctx, "go", "build", "-overlay", filepath.Join(dir, "overlay.json"), "-o", program, "./cmd/peathollow")
	build.Dir = source
	if out, err := build.CombinedOutput(); err != nil {
		return result, fmt.Errorf("the changed program does not build: %w: %.500s", err, out)
	}
	setup := m.Setup
	out, err := exec.CommandContext(ctx, program, "verify", "attempts", "--json", "--readers", fmt.Sprint(setup.Searchers), "--parts", fmt.Sprint(setup.Parts),
		"--tries", fmt.Sprint(setup.MaxAttempts), "--effect", setup.Effect, "--steps", fmt.Sprint(setup.Steps), "--copies", fmt.Sprint(setup.MaxInFlight),
		"--decider", setup.Policy, "--faults", strings.Join(setup.Faults, ",")+",", "--most", fmt.Sprint(setup.MaxFaults), "--threads", "2",
		"--property", m.Property.Name, "--limit-states", "300000").Output()
	os.Remove(program)
	if exit := (*exec.ExitError)(nil); err != nil && !(errors.As(err, &exit) && (exit.ExitCode() == 1 || exit.ExitCode() == 3)) {
		return result, fmt.Errorf("run the search: %w", err)
	}
	if err := json.Unmarshal(out, &result); err != nil {
		return result, fmt.Errorf("parse the result of the search: %w", err)
	}
	return result, nil
}
