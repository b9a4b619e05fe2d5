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
	{Name: "answered scan kept", File: "attempt/pending.go",
		Old:      "	delete(c.pending.scans, s.id)\n",
		New:      "",
		Property: propOneAnswer, Setup: smallSetup("replayable", "stop")},
	{Name: "more time than the client has", File: "attempt/admit.go",
		Old:      "remaining := s.Query.Wait - sentAgo",
		New:      "remaining := s.Query.Wait - sentAgo + c.settings.ConnectTimeout",
		Property: propInTime, Setup: smallSetup("replayable")},
	{Name: "a wake is lost", File: "attempt/coordinator.go",
		Old:      "	c.timers.add(at, task{kind: policyWake, token: token})\n",
		New:      "	if c.now == 0 {\n		return\n	}\n	c.timers.add(at, task{kind: policyWake, token: token})\n",
		Property: propEnds, Setup: smallSetup("replayable", "reuse").with(func(s *Setup) { s.MaxAttempts = 1 })},
	{Name: "every wake is lost", File: "attempt/timers.go",
		Old:      "		c.policy.Woke(t.token)\n",
		New:      "",
		Property: propEnds, Setup: smallSetup("replayable")},
	{Name: "given up once the word is written", File: "attempt/send.go",
		Old:      "proof := c.exclusive(p) || a.conn.lastReceived < a.startedAt",
		New:      "proof := false",
		Property: propOneOut, Setup: smallSetup("replayable")},
	{Name: "lost with this mixer's end", File: "attempt/answers.go",
		Old:      "} else if !c.exclusive(p) {",
		New:      "} else {",
		Property: propOneOut, Setup: smallSetup("replayable", "mute")},
	{Name: "lost without the searcher's end", File: "attempt/answers.go",
		Old:      "confirmed || !c.exclusive(p)",
		New:      "confirmed || true",
		Property: propOneOut, Setup: smallSetup("replayable", "mute")},
	{Name: "any word counts as a receipt", File: "attempt/answers.go",
		Old:      "return k > seq })",
		New:      "return k > seq && false })",
		Property: propOneOut, Setup: smallSetup("replayable").with(twoParts)},
	{Name: "copies barred nowhere", File: "attempt/send.go",
		Old:      "return !p.ended && !c.settings.Policy.MayHedge }",
		New:      "return !p.ended && c.settings.Policy.MayHedge }",
		Property: propOneOut, Setup: smallSetup("replayable", "mute")},
	{Name: "taken back though on its way", File: "attempt/send.go",
		Old:      "return a.conn == nil || a.conn.transport.Withdraw(a.seq, p.wireID)\n",
		New:      "return a.conn == nil || a.conn.transport.Withdraw(a.seq, p.wireID) || a.seq > 0\n",
		Property: propProof, Setup: smallSetup("replayable")},
	{Name: "cut reads as no way there", File: "attempt/answers.go",
		Old:      "if index := conn.inFlight[p]; !conn.transport.Written(p.attempts[index].seq) {",
		New:      "if index := conn.inFlight[p]; conn != nil {",
		Property: propProof, Setup: smallSetup("nonreplayable", "break")},
	{Name: "lost reads as never run", File: "attempt/answers.go",
		Old:      "	return a.conn.lossOutcome\n",
		New:      "	return policy.Unreachable\n",
		Property: propProof, Setup: smallSetup("keyed", "break")},
	{Name: "called off in its batch, and sent", File: "attempt/send.go",
		Old:      "return !a.inFlight || a.outcome != policy.Expired || p.ended",
		New:      "return !a.inFlight || p.ended",
		Property: propProof, Setup: smallSetup("replayable").with(twoParts)},
	{Name: "sent though its scan is over", File: "attempt/send.go",
		Old:      "return !a.inFlight || a.outcome != policy.Expired || p.ended",
		New:      "return !a.inFlight || a.outcome != policy.Expired",
		Property: propSilentAfter, Setup: smallSetup("replayable", "left")},
	{Name: "what waits is not taken back", File: "attempt/pending.go",
		Old:      "		c.withdrawUnsent(p)\n",
		New:      "",
		Property: propSilentAfter, Setup: smallSetup("replayable", "left")},
	{Name: "a change of the list is not handed over", File: "attempt/searchers.go",
		Old:      "		c.passEntry(i)\n	}\n	c.policy.ListEnd(mode)",
		New:      "		if mode != policy.Changes {\n			c.passEntry(i)\n		}\n	}\n	c.policy.ListEnd(mode)",
		Property: propDrains, Setup: smallSetup("replayable", "list")},
	{Name: "an error's word counts as a value", File: "attempt/answers.go",
		Old:      "if answer.Outcome == policy.Succeeded && !p.hasValue && !p.ended {",
		New:      "if !p.hasValue && !p.ended {",
		Property: propValues, Setup: smallSetup("replayable", "error").with(twoParts)},
	{Name: "parts without a value are answered", File: "attempt/answers.go",
		Old:      "		if p.hasValue {\n			answered = append(answered, p)\n		}",
		New:      "		answered = append(answered, p)",
		Property: propValues, Setup: smallSetup("replayable").with(twoParts)},
	{Name: "a value counts twice", File: "attempt/answers.go",
		Old:      "	rows := make([]proto.Row, len(answered))\n",
		New:      "	if len(answered) == 1 {\n		answered = append(answered, answered[0])\n	}\n	rows := make([]proto.Row, len(answered))\n",
		Property: propValues, Setup: smallSetup("replayable")},
	{Name: "always whole", File: "attempt/answers.go",
		Old:      "proto.WriteAnswer(complete, rows)",
		New:      "proto.WriteAnswer(len(rows) > 0, rows)",
		Property: propWhole, Setup: smallSetup("replayable").with(twoParts)},
	{Name: "the second step names all shards", File: "attempt/answers.go",
		Old:      "	for _, p := range answered {\n		s.firstStepShards",
		New:      "	for _, p := range s.parts {\n		s.firstStepShards",
		Property: propSecondStep, Setup: smallSetup("replayable").with(twoSteps)},
	{Name: "the second step is said to be of a whole first", File: "attempt/send.go",
		Old:      "calls[i].From, calls[i].Whole = q.part.scan.firstStepShards, q.part.scan.firstStepComplete",
		New:      "calls[i].From, calls[i].Whole = q.part.scan.firstStepShards, true",
		Property: propSecondStep, Setup: smallSetup("replayable").with(twoSteps)},
	{Name: "back, and still believed out", File: "attempt/searchers.go",
		Old:      "		delete(conn.inFlight, p)\n",
		New:      "",
		Property: propBelief, Setup: smallSetup("replayable")},
	{Name: "a second answer counts again", File: "attempt/answers.go",
		Old:      "	if !ok {\n		// A late",
		New:      "	if q := c.pending.byWireID[answer.ID]; !ok && q != nil && len(q.attempts) > 0 {\n		p, index, ok = q, len(q.attempts)-1, true\n	}\n	if !ok {\n		// A late",
		Property: propSilentAfter, Setup: smallSetup("replayable", "error", "twice")},
	{Name: "a connection's end counts twice", File: "attempt/answers.go",
		Old:      "	c.searchers.connections--\n",
		New:      "	if c.searchers.connections--; !confirmed {\n		c.searchers.connections--\n	}\n",
		Property: propGivenBack, Setup: smallSetup("replayable", "mute")},
	{Name: "a searcher's count is kept", File: "attempt/pending.go",
		Old:      "	a.searcher.inFlight--\n",
		New:      "	if outcome != policy.Unreachable {\n		a.searcher.inFlight--\n	}\n",
		Property: propGivenBack, Setup: smallSetup("replayable", "break")},
	{Name: "an id is kept", File: "attempt/pending.go",
		Old:      "			delete(p.byWireID, removed.wireID)\n",
		New:      "",
		Property: propGivenBack, Setup: smallSetup("replayable")},
	{Name: "in doubt for ever", File: "attempt/pending.go",
		Old:      "		c.releaseUnconfirmed(p)\n",
		New:      "",
		Property: propGivenBack, Setup: smallSetup("replayable", "mute")},
	{Name: "parts without a value stay counted", File: "attempt/pending.go",
		Old:      "		if !p.hasValue {\n			c.pending.open--\n		}",
		New:      "		if p.inFlight == 0 && !p.hasValue {\n			c.pending.open--\n		}",
		Property: propGivenBack, Setup: smallSetup("replayable")},
	{Name: "told back twice", File: "attempt/pending.go",
		Old:      "	if !a.inFlight {\n		return\n	}\n	a.inFlight = false",
		New:      "	a.inFlight = false",
		Property: propToldOnce, Setup: smallSetup("replayable", "break")},
	{Name: "called off, and never told back", File: "attempt/send.go",
		Old:      "	case a.withdraw(p):\n		c.deferReturned(p, index, policy.Expired)",
		New:      "	case a.withdraw(p):",
		Property: propBelief, Setup: smallSetup("replayable")},
	{Name: "a clock of its own", File: "attempt/coordinator.go",
		Old:      "	c.now = now\n	c.policy.Advance(now)",
		New:      "	c.now = now\n	if now > 0 && time.Now().UnixMicro()%2 == 0 {\n		c.now += 1\n	}\n	c.policy.Advance(now)",
		Property: propSameAgain, Setup: smallSetup("replayable", "break")},
	{Name: "in doubt, and let go of without a word", File: "attempt/pending.go",
		Old:      "			c.deferReturned(p, index, a.lossOutcome())\n",
		New:      "			a.inFlight, p.inFlight, a.searcher.inFlight = false, p.inFlight-1, a.searcher.inFlight-1\n",
		Property: propToldAll, Setup: smallSetup("replayable", "mute")},
	{Name: "an answer of nobody's is looked up", File: "attempt/answers.go",
		Old:      "		if !conn.history.answerReceived(answer.ID) {\n			conn.transport.Fail(errUnsolicited)\n		}\n		return\n",
		New:      "		if !conn.history.answerReceived(answer.ID) {\n			conn.transport.Fail(errUnsolicited)\n		}\n",
		Property: propNoPanic, Setup: smallSetup("replayable", "stranger")},
	// Faults that the search once found in the program, reintroduced.
	{Name: "what a restart let go of is still counted", File: "attempt/coordinator.go",
		Old:      "			clear(conn.cancels) // confirming them",
		New:      "			// confirming them",
		Property: propGivenBack, Setup: smallSetup("replayable", "panic")},
	{Name: "results of before a restart are still handed on", File: "attempt/coordinator.go",
		Old:      "	c.current, c.deferred, c.unsent, c.timers = nil, nil, nil, timers{}",
		New:      "	c.deferred, c.unsent, c.timers = nil, nil, timers{}",
		Property: propGivenBack, Setup: smallSetup("replayable", "panic").with(twoParts)},
	{Name: "a keyed part waits beyond its window", File: "attempt/send.go",
		Old:      "if windowEnd, ok := c.windowEnd(q.part, q.index); ok {",
		New:      "if windowEnd, ok := c.windowEnd(q.part, q.index); ok && windowEnd == 0 {",
		Property: propKeyWindow, Setup: smallSetup("keyed")},
	{Name: "an earlier dispatch's answer ends one that waits", File: "attempt/answers.go",
		Old:      "!conn.transport.Written(a.seq) && (!conn.transport.WriteStarted",
		New:      "conn.transport == nil && (!conn.transport.WriteStarted",
		Property: propSilentAfter, Setup: smallSetup("replayable").with(twoCopies)},
	{Name: "an answer that overtakes its write is dropped", File: "attempt/answers.go",
		Old:      "(!conn.transport.WriteStarted(a.seq) ||\n		answer.Outcome != policy.Succeeded && conn.history.answerDue(answer.ID))",
		New:      "conn.transport != nil",
		Property: propBelief, Setup: smallSetup("replayable", "early")},
	{Name: "an id used again hides what is out", File: "attempt/answers.go",
		Old:      "		p, index, ok = conn.findByWireID(answer.ID)\n",
		New:      "",
		Property: propBelief, Setup: smallSetup("replayable", "reuse").with(func(s *Setup) { s.Searchers = 1 })},
	{Name: "an earlier request's answer is taken for this one's", File: "attempt/send.go",
		Old:      "	for conn != nil && slices.ContainsFunc(batch",
		New:      "	for conn == nil && slices.ContainsFunc(batch",
		Property: propValues, Setup: smallSetup("replayable", "reuse").with(func(s *Setup) { s.Searchers = 1 })},
	{Name: "a part goes again where it was refused", File: "attempt/searchers.go",
		Old:      " || !conn.coordinator.repeatable(p) && conn.carriedBefore(p)",
		New:      "",
		Property: propProof, Setup: smallSetup("nonreplayable", "refuse", "twice").with(func(s *Setup) { s.Searchers = 1 })},
	{Name: "module: throttled though it may have run", File: "policy/end.go",
		Old:      "if e.classes[sc.class].effect != Idempotent && e.mayHaveRun(sc) {",
		New:      "if e.classes[sc.class].effect == IdempotentByKey && e.mayHaveRun(sc) {",
		Property: propHarmless, Setup: smallSetup("nonreplayable", "break").with(withEngine)},
	{Name: "module: may have run, and goes again", File: "policy/send.go",
		Old:      "case p.inFlight > 0 && !e.mayHedge, ran && !e.mayRepeat(c, since, 2):",
		New:      "case p.inFlight > 0 && !e.mayHedge, ran && c.floor < 0 && !e.mayRepeat(c, since, 2):",
		Property: propNoRerun, Setup: smallSetup("nonreplayable", "error").with(withEngine)},
	{Name: "module: what is called off counts as back", File: "policy/send.go",
		Old:      "		e.actions.Cancel(p.id, len(p.attempts)-1)\n",
		New:      "		e.actions.Cancel(p.id, len(p.attempts)-1)\n		a.inFlight, p.inFlight = false, p.inFlight-1\n",
		Property: propOneOut, Setup: smallSetup("replayable").with(withEngine).with(func(s *Setup) { s.MaxAttempts = 3 })},
	{Name: "module: a keyed part has no window", File: "policy/send.go",
		Old:      "return c.effect == Idempotent || c.effect == IdempotentByKey && e.now-since < c.repeatWindow-time.Duration(rounds)*e.granularity",
		New:      "return c.effect == Idempotent || c.effect == IdempotentByKey",
		Property: propKeyWindow, Setup: smallSetup("keyed", "break").with(withEngine)},
	{Name: "module: half is whole", File: "policy/end.go",
		Old:      "		e.completeStep(si, false)\n",
		New:      "		e.completeStep(si, sc.passed > 0)\n",
		Property: propWhole, Setup: smallSetup("replayable").with(withEngine)},
	{Name: "module: no end of time", File: "policy/end.go",
		Old:      "1-sc.lostWeight < floor-epsilon, e.now >= sc.deadline,\n",
		New:      "1-sc.lostWeight < floor-epsilon,\n",
		Property: propEnds, Setup: smallSetup("replayable").with(withEngine)},
	{Name: "module: draining counts as ready", File: "policy/engine.go",
		Old:      "if s.state == Ready && s.shard >= 0",
		New:      "if s.state != Gone && s.shard >= 0",
		Property: propDrains, Setup: smallSetup("replayable", "list", "break").with(withEngine)},
	{Name: "a dispatch is queued twice", File: "attempt/send.go",
		Old:      "	c.unsent = append(c.unsent, queuedAttempt{p, len(p.attempts) - 1})\n",
		New:      "	c.unsent = append(c.unsent, queuedAttempt{p, len(p.attempts) - 1}, queuedAttempt{p, len(p.attempts) - 1})\n",
		Property: propCopies, Setup: smallSetup("replayable").with(twoCopies)},
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
