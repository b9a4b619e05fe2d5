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

// Reduction says which states are taken for one, and which orders are not tried.
type Reduction struct {
	Symmetry bool // readers and parts that are alike
	Order    bool // steps that commute with all others
}

// ParseReduction reads none, symmetry, order or both.
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

// Search is one walk over all that can happen.
type Search struct {
	Setup     Setup
	Reduction Reduction
	Threads   int
	Limit     int                // of states; 0: none
	MemoryMB  int                // of the process; 0: no bound
	Only      string             // the one property to look at; empty: all
	Stop      int                // violations after which it ends; 0: one
	File      string             // checkpoint; empty: none
	Every     time.Duration      // between checkpoints
	Progress  func(Result, bool) // told every second, and at the end

	seen      seen
	also      *seen // canonical forms met, where the search itself does not use them
	trans     atomic.Int64
	states    atomic.Int64
	mu        sync.Mutex
	idle      sync.Cond
	stack     []node
	waiting   int
	over      bool // nothing is left, or the search is cut short
	cut       bool
	found     []Finding
	outcomes  map[string]bool
	deepest   int
	began     time.Time
	before    time.Duration // spent by those whose checkpoint this goes on from
	pause     atomic.Bool
	workers   int
	resumable bool

	after int // states, and then stop is called: a test's way to interrupt
	stop  func()
}

// soft is the memory from which on the collector looks more often.
const soft = 2 << 30

// node is a state to go on from, told by the choices that lead there; as it is, where that can be kept.
type node struct {
	picks []byte
	steps int
	w     *World
}

// Finding is a way to a violation.
type Finding struct {
	Violation
	Events []string `json:"events"`
	Story  []string `json:"story"`
	picks  []byte
	steps  int
}

// Result is what a search came to.
type Result struct {
	Setup       Setup     `json:"setup"`
	States      int       `json:"states"`
	Transitions int       `json:"transitions"`
	Violations  int       `json:"violations"`
	Complete    bool      `json:"complete"` // the whole space was explored
	Seconds     float64   `json:"seconds"`
	PeakMB      int       `json:"peak_mb"`
	Reduction   string    `json:"reduction"`
	Threads     int       `json:"threads"`
	Depth       int       `json:"depth"` // steps of the longest run
	Outcomes    int       `json:"outcomes"`
	Waiting     int       `json:"waiting"` // states whose steps are not tried yet
	Found       []Finding `json:"found,omitempty"`
}

// run plays choices; what is beyond them takes the first way, and how many ways there were is noted.
type run struct {
	w      *World
	picks  []byte
	at     int
	arity  []byte
	beyond int
}

func (r *run) ask(n int, _ func(int) string) int {
	k := 0
	if r.at < len(r.picks) {
		if k = int(r.picks[r.at]); k >= n {
			r.w.broke(alike, "choice %d of %d ways, where there were more before", k, n)
			k = 0
		}
	} else {
		r.picks = append(r.picks, 0)
	}
	r.arity = append(r.arity, byte(n))
	r.at++
	return k
}

// play runs some steps by their choices; the last step may ask beyond them. It tells whether that step was possible.
func (s *Search) play(picks []byte, steps int) (*run, bool) {
	r := &run{picks: picks}
	r.w = NewWorld(&s.Setup, r.ask)
	r.w.reduced, r.w.alike, r.w.only = s.Reduction.Order, s.Reduction.Symmetry, s.Only
	r.w.begin()
	for range steps {
		if !r.w.Step() {
			return r, false
		}
		if r.w.bad != nil {
			return r, true
		}
	}
	return r, true
}

// onward takes one more step from a node.
func (s *Search) onward(n *node, picks []byte) (*run, bool) {
	if n.w == nil {
		if r, _ := s.play(slices.Clone(n.picks), n.steps); s.Setup.Decider == "free" {
			n.w = r.w
		} else {
			return s.play(picks, n.steps+1)
		}
	}
	r := &run{picks: picks, at: len(n.picks), arity: make([]byte, len(n.picks), len(n.picks)+4)}
	r.w = n.w.copy(r.ask)
	return r, r.w.Step()
}

// ways tries all choices behind those given, which are the same in all: the last that has a way left is turned on.
func ways(picks []byte, play func(picks []byte) (*run, bool), each func(*run)) {
	from := len(picks)
	picks = slices.Clone(picks)
	for {
		r, possible := play(picks)
		if !possible {
			return // nothing can happen any more
		}
		each(r)
		i := len(r.picks) - 1
		for i >= from && r.picks[i]+1 >= r.arity[i] {
			i--
		}
		if i < from {
			return
		}
		picks = append(slices.Clone(r.picks[:i]), r.picks[i]+1)
	}
}

// expand tries every next step of a node.
func (s *Search) expand(n node, c, other *canon, push func(node)) {
	ways(n.picks, func(picks []byte) (*run, bool) { return s.onward(&n, picks) }, func(r *run) {
		s.trans.Add(1)
		s.reach(r, n.steps+1, c, other, push)
	})
}

// reach looks at a state.
func (s *Search) reach(r *run, steps int, c, other *canon, push func(node)) {
	if r.w.bad == nil {
		if s.also != nil {
			s.also.add(other.hash(r.w))
		}
		h := c.hash(r.w)
		if !s.seen.add(h) {
			return
		}
		// Now and then a run is played once more: the same choices must lead to the same state.
		if h%64 == 0 {
			if again, _ := s.play(slices.Clone(r.picks), steps); again.w.bad == nil && c.hash(again.w) != h {
				r.w.broke(alike, "the same %d choices lead to two states", len(r.picks))
				s.violated(r, steps)
				return
			}
		}
		if n := s.states.Add(1); s.Limit > 0 && int(n) >= s.Limit {
			s.cutShort()
		}
		s.note(r.w, steps)
		kept := r.w.copy(nil) // it ends as it is, and goes on as a copy
		r.w.Quiet()
		if r.w.bad == nil {
			push(node{slices.Clone(r.picks), steps, kept})
		}
	}
	if r.w.bad != nil {
		s.violated(r, steps)
	}
}

// note keeps what scans came to, to compare searches by.
func (s *Search) note(w *World, steps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deepest = max(s.deepest, steps)
	for _, o := range w.ends {
		s.outcomes[o] = true
	}
}

func (s *Search) violated(r *run, steps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// One of a kind is told: the shortest met.
	f := Finding{Violation: *r.w.bad, picks: slices.Clone(r.picks), steps: steps}
	i := slices.IndexFunc(s.found, func(g Finding) bool { return g.Property == f.Property })
	switch {
	case i < 0:
		s.found = append(s.found, f)
	case f.steps < s.found[i].steps:
		s.found[i] = f
	}
	if len(s.found) >= max(1, s.Stop) {
		s.finish(true)
	}
}

func (s *Search) finish(cut bool) {
	s.over, s.cut = true, s.cut || cut
	s.idle.Broadcast()
}

func (s *Search) cutShort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finish(true)
}

func (s *Search) result() Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.count()
	r.Complete = !s.cut
	return r
}

func (s *Search) count() Result {
	return Result{Setup: s.Setup, States: int(s.states.Load()), Transitions: int(s.trans.Load()), Violations: len(s.found),
		Seconds: (s.before + time.Since(s.began)).Seconds(), PeakMB: peakMB(), Reduction: s.Reduction.String(),
		Threads: s.Threads, Depth: s.deepest, Outcomes: len(s.outcomes), Waiting: len(s.stack)}
}

// Outcomes are what the scans came to, all there were.
func (s *Search) Outcomes() []string { return slices.Sorted(maps.Keys(s.outcomes)) }

// peakMB is the most memory the process ever had.
func peakMB() int {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return int(u.Maxrss / 1024)
}
