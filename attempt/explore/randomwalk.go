package explore

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// RandomWalks runs random walks through the same state space for a given time, as a baseline for the exhaustive search.
// It counts distinct states by the same canonical form and returns the first violation.
func RandomWalks(ctx context.Context, setup Setup, reduction Reduction, seed uint64, threads int,
	length time.Duration) (states, walks int, violation *Violation) {
	if threads <= 0 {
		threads = runtime.GOMAXPROCS(0)
	}
	ctx, stop := context.WithTimeout(ctx, length)
	defer stop()
	var visited stateSet
	var stateCount, walkCount atomic.Int64
	var first atomic.Pointer[Violation]
	var group sync.WaitGroup
	for t := range threads {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(t)))
			canonical := newCanonicalizer(&setup, reduction.Symmetry)
			for ctx.Err() == nil {
				walkCount.Add(1)
				sim := randomWalk(&setup, reduction, rng, func(sim *Simulation) {
					if visited.add(canonical.hash(sim)) {
						stateCount.Add(1)
					}
				})
				if sim.violation != nil {
					first.CompareAndSwap(nil, sim.violation)
				}
			}
		})
	}
	group.Wait()
	return int(stateCount.Load()), int(walkCount.Load()), first.Load()
}

// randomWalk is one random run to its end, of at most 500 steps.
func randomWalk(setup *Setup, reduction Reduction, rng *rand.Rand, each func(*Simulation)) *Simulation {
	sim := NewSimulation(setup, func(n int, _ func(int) string) int { return rng.IntN(n) })
	sim.reduceOrder, sim.reduceSymmetry = reduction.Order, reduction.Symmetry
	sim.begin()
	for range 500 {
		if sim.violation != nil {
			return sim
		}
		if each != nil {
			each(sim)
		}
		if !sim.Step() {
			break
		}
	}
	if sim.violation == nil {
		sim.FinishQuietly()
	}
	return sim
}
