package consensus_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/consensus"
	"peathollow/consensus/simulation"
)

// seedCount is the number of seeds that a test runs: few by default, or CONSENSUS_SEEDS.
func seedCount(few int) int {
	if n, err := strconv.Atoi(os.Getenv("CONSENSUS_SEEDS")); err == nil {
		return n
	}
	return few
}

func firstSeed() uint64 {
	n, _ := strconv.ParseUint(os.Getenv("CONSENSUS_FIRST"), 10, 64)
	return n
}

// TestSecondLossAfterRepair injects losses one after another, each as soon as the rules allow, at least ten in a run.
func TestSecondLossAfterRepair(t *testing.T) {
	losses := 0
	for i := range seedCount(5) {
		seed := firstSeed() + uint64(i)
		for _, s := range []shape{
			{3, 3, 1, 0, 0}, {5, 3, 1, 0, 0}, {5, 3, 2, 0, 0}, {9, 3, 2, 0, 0}, {5, 3, 1, 1, 0}, {9, 3, 3, 0, 1},
		} {
			o := s.options(seed)
			o.Scenario, o.ExceedTolerance, o.Span = simulation.SuccessiveLosses, false, 90*time.Second
			r, err := simulation.Play(o, nil)
			if err != nil {
				t.Errorf("seed %d, %+v: %v", seed, s, err)
			}
			losses = max(losses, r.Losses)
		}
	}
	t.Logf("up to %d losses in a run", losses)
	must.GreaterEq(t, 10, losses)
}

type shape struct{ nodes, places, losses, zones, regions int }

var shapes = []shape{
	{3, 1, 0, 0, 0}, {3, 1, 1, 0, 0}, {3, 3, 1, 0, 0}, {3, 3, 0, 1, 0}, {3, 3, 1, 1, 0}, {4, 2, 1, 0, 0}, {5, 3, 1, 0, 0},
	{5, 3, 2, 0, 0}, {5, 3, 1, 1, 0}, {5, 3, 1, 0, 1}, {6, 3, 2, 1, 0}, {7, 1, 3, 0, 0}, {7, 3, 2, 1, 1}, {9, 3, 2, 0, 0},
	{9, 3, 2, 1, 0}, {9, 3, 3, 0, 1}, {8, 4, 3, 0, 0}, {1, 1, 0, 0, 0}, {2, 1, 0, 0, 0},
}

func (s shape) options(seed uint64) simulation.Options {
	o := simulation.Options{Seed: seed, Nodes: s.nodes, Places: s.places, Losses: s.losses, Zones: s.zones, Regions: s.regions,
		Span: 15 * time.Second, ExceedTolerance: seed%4 == 3}
	if seed%16 == 5 {
		o.Span = 45 * time.Second // long enough for network cuts of 20 s
	}
	if seed%8 >= 6 {
		scenarios := simulation.Scenarios()
		o.Scenario = scenarios[seed/8%uint64(len(scenarios))]
	}
	return o
}

func TestRandomFaults(t *testing.T) {
	var sum simulation.Result
	for i := range seedCount(40) {
		seed := firstSeed() + uint64(i)
		s := shapes[seed%uint64(len(shapes))]
		r, err := simulation.Play(s.options(seed), nil)
		if err != nil {
			t.Errorf("seed %d, %+v: %v", seed, s, err)
		}
		sum.Epochs, sum.Done, sum.Open = sum.Epochs+r.Epochs, sum.Done+r.Done, sum.Open+r.Open
		sum.Wipes, sum.Replaced = sum.Wipes+r.Wipes, sum.Replaced+r.Replaced
	}
	t.Logf("%+v", sum)
}

func TestWithoutFaults(t *testing.T) {
	for _, s := range shapes {
		t.Run(fmt.Sprintf("%+v", s), func(t *testing.T) {
			o := s.options(1)
			o.NoFaults, o.Span = true, 4*time.Second
			r, err := simulation.Play(o, nil)
			must.NoError(t, err)
			must.Eq(t, 0, r.Open)
		})
	}
}

func TestOne(t *testing.T) {
	if os.Getenv("CONSENSUS_ONE") == "" {
		t.Skip("set CONSENSUS_ONE to a seed to log one run")
	}
	seed, err := strconv.ParseUint(os.Getenv("CONSENSUS_ONE"), 10, 64)
	must.NoError(t, err)
	o := shapes[seed%uint64(len(shapes))].options(seed)
	o.OnNew = consensus.InjectedFaults[os.Getenv("CONSENSUS_PLANT")]
	_, err = simulation.Play(o, t.Logf)
	must.NoError(t, err)
}

// The same options must give the same run, to the last event.
func TestDeterministic(t *testing.T) {
	var logs [2]strings.Builder
	for i := range logs {
		_, err := simulation.Play(shapes[6].options(4), func(f string, a ...any) { fmt.Fprintf(&logs[i], f+"\n", a...) })
		must.NoError(t, err)
	}
	must.Greater(t, 1000, logs[0].Len())
	must.Eq(t, logs[0].String(), logs[1].String())
}

// With a tolerance that the machines cannot satisfy nothing is ever acknowledged, and the primary reports why.
func TestUnsatisfiableTolerance(t *testing.T) {
	for _, s := range []shape{{3, 1, 3, 0, 0}, {2, 1, 1, 0, 0}, {3, 1, 0, 1, 0}, {4, 2, 0, 0, 2}, {4, 3, 2, 0, 0}} {
		t.Run(fmt.Sprintf("%+v", s), func(t *testing.T) {
			o := s.options(1)
			o.Unsatisfiable, o.NoFaults, o.Span = true, true, 4*time.Second
			_, err := simulation.Play(o, nil)
			must.NoError(t, err)
		})
	}
}

// TestRecovery bounds the time without service after a single failure.
func TestRecovery(t *testing.T) {
	for _, failure := range simulation.Failures() {
		t.Run(string(failure), func(t *testing.T) {
			var all []time.Duration
			for i := range seedCount(8) {
				s := []shape{{3, 3, 1, 0, 0}, {5, 3, 1, 0, 0}, {9, 3, 2, 0, 0}}[i%3]
				o := s.options(firstSeed() + uint64(i))
				d, err := simulation.Recovery(o, failure)
				must.NoError(t, err)
				all = append(all, d)
			}
			slices.Sort(all)
			t.Logf("half within %v, 99 of 100 within %v, all within %v", all[len(all)/2], all[len(all)*99/100], all[len(all)-1])
			must.Less(t, 4*time.Second, all[len(all)-1])
		})
	}
}

// faultScenarios holds the scenarios for those injected faults that random faults rarely expose.
var faultScenarios = map[string]simulation.Scenario{
	"no new stamp at a take-over": simulation.Successors, "own copy taken for committed": simulation.Successors,
	"lost members stay": simulation.SuccessiveLosses, "read without asking": simulation.PausedPrimary,
	"vote for a lost disk": simulation.RotatingIsolation,
}

// searchStart is where the search for a detecting seed begins, a little before a seed that detects the fault, to keep the
// test short. When the code changes, the detecting seed changes too, and the search continues until it finds one.
var searchStart = map[string]uint64{
	"commit without those coming in": 185, "no new stamp at a take-over": 3710, "promise before the disk": 190,
	"read without asking": 215, "recruit without the document": 8, "store what older epochs send": 62,
}

// TestPlants checks that each injected fault is detected within a number of seeds; -v shows which check detects it.
func TestPlants(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(consensus.InjectedFaults)) {
		t.Run(name, func(t *testing.T) {
			for i := range uint64(seedCount(1000)) {
				seed := searchStart[name] + firstSeed() + i
				o := shapes[seed%uint64(len(shapes))].options(seed)
				o.OnNew = consensus.InjectedFaults[name]
				if p := faultScenarios[name]; p != "" {
					o.Scenario = p
				}
				if _, err := simulation.Play(o, nil); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("injected fault was not detected by any seed")
		})
	}
}
