package explore

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Reduction selects which states are treated as equal, and which orders of events are skipped.
type Reduction struct {
	Symmetry bool // treats states as equal that differ only by a permutation of searchers or parts
	Order    bool // tries steps that commute with all others in one order only (partial order reduction)
}

// ParseReduction parses the value of --reduction: none, symmetry, order or both.
func ParseReduction(s string) (Reduction, error) {
	switch s {
	case "none":
		return Reduction{}, nil
	case "symmetry":
		return Reduction{Symmetry: true}, nil
	case "order":
		return Reduction{Order: true}, nil
	case "both":
		return Reduction{true, true}, nil
	}
	return Reduction{}, fmt.Errorf("--reduction %q: none, symmetry, order or both", s)
}

func (r Reduction) String() string {
	switch r {
	case Reduction{true, true}:
		return "both"
	case Reduction{Symmetry: true}:
		return "symmetry"
	case Reduction{Order: true}:
		return "order"
	}
	return "none"
}

// Search is one exhaustive exploration of a setup.
type Search struct {
	Setup              Setup
	Reduction          Reduction
	Threads            int
	MaxStates          int                // of states; 0 means none
	MemoryMB           int                // limit for the process; 0 means none
	Property           string             // the only property to check; empty means all
	MaxViolations      int                // number of violated properties after which the search ends; 0 means one
	CheckpointFile     string             // empty means none
	CheckpointInterval time.Duration      // between checkpoints
	Progress           func(Result, bool) // called every second, and with true at the end

	seen          stateSet
	symmetricSeen *stateSet // symmetry-reduced forms of all visited states; set by a test of a search without that reduction
	transitions   atomic.Int64
	states        atomic.Int64
	mu            sync.Mutex
	idle          sync.Cond
	stack         []node
	waiting       int
	finished      bool // no state is left, or the search was interrupted
	interrupted   bool
	findings      []Finding
	outcomes      map[string]bool
	maxDepth      int
	startedAt     time.Time
	earlierTime   time.Duration // spent by the searches whose checkpoint this one resumes
	pause         atomic.Bool
	workers       int
	resumed       bool

	interruptAfter int // number of states after which a test interrupts the search by interruptFunc
	interruptFunc  func()
}

// softMemoryLimit is the heap size above which the garbage collector runs more often.
const softMemoryLimit = 2 << 30

// node is an unexpanded state, identified by the choices that lead to it. sim is the state itself where it can be copied.
type node struct {
	choices []byte
	steps   int
	sim     *Simulation
}

// Finding is a violation and the events that lead to it.
type Finding struct {
	Violation
	Events  []string `json:"events"`
	Trace   []string `json:"story"`
	choices []byte
	steps   int
}

// Result summarizes a search.
type Result struct {
	Setup       Setup     `json:"setup"`
	States      int       `json:"states"`
	Transitions int       `json:"transitions"`
	Violations  int       `json:"violations"`
	Complete    bool      `json:"complete"` // the whole state space was explored
	Seconds     float64   `json:"seconds"`
	PeakMB      int       `json:"peak_mb"`
	Reduction   string    `json:"reduction"`
	Threads     int       `json:"threads"`
	Depth       int       `json:"depth"` // steps of the longest run
	Outcomes    int       `json:"outcomes"`
	Unexpanded  int       `json:"waiting"` // states that are not expanded yet
	Findings    []Finding `json:"found,omitempty"`
}

// run replays choices. Beyond the given choices it takes the first alternative and records how many there were.
type run struct {
	sim     *Simulation
	choices []byte
	next    int
	arity   []byte
	extra   int
}

func (r *run) choose(n int, _ func(int) string) int {
	k := 0
	if r.next < len(r.choices) {
		if k = int(r.choices[r.next]); k >= n {
			r.sim.violate(propSameAgain, "choice %d of %d alternatives, where there were more before", k, n)
			k = 0
		}
	} else {
		r.choices = append(r.choices, 0)
	}
	r.arity = append(r.arity, byte(n))
	r.next++
	return k
}

// replay runs a number of steps from the start by their choices; the last step may need more choices than given. It
// reports whether the last step was possible.
func (s *Search) replay(choices []byte, steps int) (*run, bool) {
	r := &run{choices: choices}
	r.sim = NewSimulation(&s.Setup, r.choose)
	r.sim.reduceOrder, r.sim.reduceSymmetry, r.sim.property = s.Reduction.Order, s.Reduction.Symmetry, s.Property
	r.sim.begin()
	for range steps {
		if !r.sim.Step() {
			return r, false
		}
		if r.sim.violation != nil {
			return r, true
		}
	}
	return r, true
}

// advance takes one more step from a node.
func (s *Search) advance(n *node, choices []byte) (*run, bool) {
	if n.sim == nil {
		if r, _ := s.replay(slices.Clone(n.choices), n.steps); s.Setup.Policy == "free" {
			n.sim = r.sim
		} else {
			return s.replay(choices, n.steps+1)
		}
	}
	r := &run{choices: choices, next: len(n.choices), arity: make([]byte, len(n.choices), len(n.choices)+4)}
	r.sim = n.sim.copy(r.choose)
	return r, r.sim.Step()
}

// enumerate runs every continuation of the given choices: each round advances the last choice that has an alternative
// left, like an odometer, and never changes the given prefix.
func enumerate(choices []byte, execute func(choices []byte) (*run, bool), each func(*run)) {
	prefix := len(choices)
	choices = slices.Clone(choices)
	for {
		r, possible := execute(choices)
		if !possible {
			return // no event is possible
		}
		each(r)
		i := len(r.choices) - 1
		for i >= prefix && r.choices[i]+1 >= r.arity[i] {
			i--
		}
		if i < prefix {
			return
		}
		choices = append(slices.Clone(r.choices[:i]), r.choices[i]+1)
	}
}

// expand takes every possible next step of a node.
func (s *Search) expand(n node, canonical, symmetric *canonicalizer, push func(node)) {
	enumerate(n.choices, func(choices []byte) (*run, bool) { return s.advance(&n, choices) }, func(r *run) {
		s.transitions.Add(1)
		s.visit(r, n.steps+1, canonical, symmetric, push)
	})
}

// visit checks a state and, if it is new, passes it to push.
func (s *Search) visit(r *run, steps int, canonical, symmetric *canonicalizer, push func(node)) {
	if r.sim.violation == nil {
		if s.symmetricSeen != nil {
			s.symmetricSeen.add(symmetric.hash(r.sim))
		}
		hash := canonical.hash(r.sim)
		if !s.seen.add(hash) {
			return
		}
		// One of 64 runs is replayed: the same choices must lead to the same state.
		if hash%64 == 0 {
			if replayed, _ := s.replay(slices.Clone(r.choices), steps); replayed.sim.violation == nil &&
				canonical.hash(replayed.sim) != hash {
				r.sim.violate(propSameAgain, "the same %d choices lead to two states", len(r.choices))
				s.recordViolation(r, steps)
				return
			}
		}
		if n := s.states.Add(1); s.MaxStates > 0 && int(n) >= s.MaxStates {
			s.interrupt()
		}
		s.recordOutcomes(r.sim, steps)
		copied := r.sim.copy(nil) // the original runs to its end below; the copy is expanded later
		r.sim.FinishQuietly()
		if r.sim.violation == nil {
			push(node{slices.Clone(r.choices), steps, copied})
		}
	}
	if r.sim.violation != nil {
		s.recordViolation(r, steps)
	}
}

// recordOutcomes collects the outcomes of scans, by which searches are compared.
func (s *Search) recordOutcomes(sim *Simulation, steps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxDepth = max(s.maxDepth, steps)
	for _, o := range sim.outcomes {
		s.outcomes[o] = true
	}
}

func (s *Search) recordViolation(r *run, steps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Only the shortest finding of each property is kept.
	f := Finding{Violation: *r.sim.violation, choices: slices.Clone(r.choices), steps: steps}
	i := slices.IndexFunc(s.findings, func(g Finding) bool { return g.Property == f.Property })
	switch {
	case i < 0:
		s.findings = append(s.findings, f)
	case f.steps < s.findings[i].steps:
		s.findings[i] = f
	}
	if len(s.findings) >= max(1, s.MaxViolations) {
		s.finish(true)
	}
}

func (s *Search) finish(interrupted bool) {
	s.finished, s.interrupted = true, s.interrupted || interrupted
	s.idle.Broadcast()
}

func (s *Search) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finish(true)
}

func (s *Search) result() Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.snapshot()
	r.Complete = !s.interrupted
	return r
}

func (s *Search) snapshot() Result {
	return Result{Setup: s.Setup, States: int(s.states.Load()), Transitions: int(s.transitions.Load()), Violations: len(s.findings),
		Seconds: (s.earlierTime + time.Since(s.startedAt)).Seconds(), PeakMB: peakMB(), Reduction: s.Reduction.String(),
		Threads: s.Threads, Depth: s.maxDepth, Outcomes: len(s.outcomes), Unexpanded: len(s.stack)}
}

// Outcomes returns every outcome that a scan had in the search, sorted.
func (s *Search) Outcomes() []string { return slices.Sorted(maps.Keys(s.outcomes)) }

// peakMB returns the peak resident memory of the process.
func peakMB() int {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return int(u.Maxrss / 1024)
}
