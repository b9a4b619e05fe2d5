package explore

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Scenario is a run recorded as the labels of its events, which can be replayed. It shows a violation, present or fixed.
type Scenario struct {
	Setup     Setup    `json:"setup"`
	Reduction string   `json:"reduction"`
	Property  string   `json:"property"`
	Text      string   `json:"text,omitempty"`
	Origin    string   `json:"found,omitempty"` // which fault it shows, and what became of it
	Events    []string `json:"events"`
}

// scenarioRunner replays a run by the labels of its choices, and records the events that happened. A label that matches
// no possible event is skipped.
type scenarioRunner struct {
	sim       *Simulation
	script    []string
	next      int
	events    []string
	exhausted bool // no label left in the script matches a possible event
}

func (runner *scenarioRunner) choose(n int, label func(int) string) int {
	labels := make([]string, n)
	for i := range labels {
		labels[i] = label(i)
	}
	// An action of the policy directly follows its cause in the script; if it is not there, the policy did nothing.
	limit := len(runner.script)
	if runner.sim.inPolicyCall() {
		limit = min(limit, runner.next+1)
	}
	for position := runner.next; position < limit; position++ {
		if k := slices.Index(labels, runner.script[position]); k >= 0 {
			runner.next = position + 1
			runner.record(labels[k])
			return k
		}
	}
	if runner.sim.inPolicyCall() {
		runner.record(labels[0])
		return 0
	}
	runner.exhausted = true
	return 0
}

// record appends an event, unless it had no effect.
func (runner *scenarioRunner) record(event string) {
	if !strings.HasSuffix(event, " does nothing more") && !strings.HasSuffix(event, " takes a frame") {
		runner.events = append(runner.events, event)
	}
}

// Replay replays a scenario, then continues without outside events until the run ends. It returns the events that happened
// and the first violation.
func Replay(scenario Scenario) (events []string, violation *Violation, err error) {
	reduction, err := ParseReduction(scenario.Reduction)
	if err != nil {
		return nil, nil, err
	}
	runner := &scenarioRunner{script: scenario.Events}
	runner.sim = NewSimulation(&scenario.Setup, runner.choose)
	runner.sim.labelAll = true
	runner.sim.reduceOrder, runner.sim.reduceSymmetry, runner.sim.property = reduction.Order, reduction.Symmetry, scenario.Property
	runner.sim.begin()
	for runner.sim.violation == nil {
		if !runner.sim.Step() || runner.exhausted {
			break
		}
	}
	if runner.sim.violation == nil {
		runner.sim.FinishQuietly()
	}
	return runner.events, runner.sim.violation, nil
}

// describe writes a finding as labelled events, and removes all events that are not needed to reproduce it.
func (f *Finding) describe(setup *Setup, reduction Reduction) {
	f.Events = eventNames(setup, reduction, f.choices, f.steps)
	scenario := Scenario{Setup: *setup, Reduction: reduction.String(), Property: f.Property, Events: f.Events}
	replay := func(events []string) ([]string, *Violation) {
		scenario.Events = events
		happened, violation, err := Replay(scenario)
		if err != nil || violation == nil || violation.Property != f.Property {
			return nil, nil
		}
		return happened, violation
	}
	if happened, violation := replay(f.Events); violation != nil {
		f.Events, f.Text = happened, violation.Text
	}
	// Delta debugging: remove ever shorter sequences of events until no single event can be removed.
	for size := max(1, len(f.Events)/2); size > 0; {
		shrunk := false
		for start := 0; start+size <= len(f.Events); {
			candidate := slices.Delete(slices.Clone(f.Events), start, start+size)
			if happened, violation := replay(candidate); violation != nil && len(happened) < len(f.Events) {
				f.Events, f.Text, shrunk = happened, violation.Text, true
				continue
			}
			start++
		}
		if !shrunk {
			size /= 2
		}
	}
	f.Trace = nil
	for i, e := range f.Events {
		f.Trace = append(f.Trace, fmt.Sprintf("%2d. %s", i+1, e))
	}
	f.Trace = append(f.Trace, fmt.Sprintf("Then %s: %s", f.Property, f.Text))
}

// eventNames returns the labels of the events that choices stand for.
func eventNames(setup *Setup, reduction Reduction, choices []byte, steps int) []string {
	var events []string
	next := 0
	sim := NewSimulation(setup, func(n int, label func(int) string) int {
		k := 0
		if n > 1 && next < len(choices) {
			k = int(choices[next])
			next++
		}
		events = append(events, label(k))
		return k
	})
	sim.labelAll, sim.reduceOrder, sim.reduceSymmetry = true, reduction.Order, reduction.Symmetry
	sim.begin()
	for range steps {
		if sim.violation != nil || !sim.Step() {
			break
		}
	}
	return events
}

// Write writes a finding to a file as a scenario.
func (f *Finding) Write(file string, setup Setup, reduction Reduction, origin string) error {
	b, err := json.MarshalIndent(Scenario{Setup: setup, Reduction: reduction.String(), Property: f.Property, Text: f.Text,
		Origin: origin, Events: f.Events}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(b, '\n'), 0o644)
}

// ReadScenario reads and validates a scenario file.
func ReadScenario(file string) (scenario Scenario, err error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return scenario, err
	}
	if err := json.Unmarshal(b, &scenario); err != nil {
		return scenario, fmt.Errorf("%s: %w", file, err)
	}
	if err := scenario.Setup.Validate(); err != nil {
		return scenario, fmt.Errorf("%s: %w", file, err)
	}
	return scenario, nil
}
