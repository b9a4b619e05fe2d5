package explore

import (
	"slices"
	"testing"
)

// Guards against a canonical form that omits state which matters: runs that lead to the same form must have the same
// successor forms.
func TestFormsTellAllThatMatters(t *testing.T) {
	for _, setup := range []Setup{
		{Searchers: 2, Parts: 1, MaxAttempts: 2, Effect: "replayable", Steps: 1, MaxInFlight: 1, Policy: "free",
			Faults: []string{"all"}, MaxFaults: 1},
		{Searchers: 2, Parts: 1, MaxAttempts: 2, Effect: "keyed", Steps: 2, MaxInFlight: 1, Policy: "free",
			Faults: []string{"break", "mute", "list"}, MaxFaults: 2},
	} {
		if err := setup.Validate(); err != nil {
			t.Fatal(err)
		}
		s := &Search{Setup: setup, Reduction: Reduction{Symmetry: true}}
		canonical := newCanonicalizer(&setup, true)
		type first struct {
			next []uint64
			n    node
		}
		visited := map[uint64]first{}
		var stack []node
		successors := func(current node) (next []uint64, all []node) {
			enumerate(current.choices, func(choices []byte) (*run, bool) { return s.advance(&current, choices) }, func(r *run) {
				next = append(next, canonical.hash(r.sim))
				all = append(all, node{slices.Clone(r.choices), current.steps + 1, r.sim.copy(nil)})
			})
			slices.Sort(next)
			return slices.Compact(next), all
		}
		s.outcomes = map[string]bool{}
		s.expandRoot(canonical, canonical, func(current node) { stack = append(stack, current) })
		revisits := 0
		for len(stack) > 0 && len(visited) < 2500 {
			current := stack[len(stack)-1]
			stack = stack[:len(stack)-1]
			h := canonical.hash(current.sim)
			earlier, known := visited[h]
			if known && revisits > 5000 {
				continue
			}
			next, all := successors(current)
			if !known {
				visited[h] = first{next, current}
				stack = append(stack, all...)
				continue
			}
			revisits++
			if !slices.Equal(earlier.next, next) {
				t.Fatalf("the same form has different successors: %d and %d forms\n%q\n%q", len(earlier.next), len(next),
					eventNames(&setup, s.Reduction, earlier.n.choices, earlier.n.steps),
					eventNames(&setup, s.Reduction, current.choices, current.steps))
			}
		}
		if revisits < 500 {
			t.Errorf("only %d forms were visited twice", revisits)
		}
	}
}
