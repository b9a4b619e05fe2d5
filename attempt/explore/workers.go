package explore

import (
	"context"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"time"
)

// Run runs the search and returns its result. If the context ends, the search is interrupted and writes a checkpoint if one
// is configured.
func (s *Search) Run(ctx context.Context) (Result, error) {
	s.idle.L = &s.mu
	// Each run allocates a simulation and drops it: the live heap is small, so the garbage collector can run rarely.
	defer debug.SetGCPercent(debug.SetGCPercent(1600))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(softMemoryLimit))
	s.outcomes = map[string]bool{}
	s.startedAt = time.Now()
	if s.Threads <= 0 {
		s.Threads = runtime.GOMAXPROCS(0)
	}
	if s.CheckpointFile != "" {
		if err := s.load(); err != nil {
			return Result{}, err
		}
	}
	if !s.resumed {
		// The first batch, with the list and the scan, already contains choices of the policy.
		root := newCanonicalizer(&s.Setup, s.Reduction.Symmetry)
		symmetric := newCanonicalizer(&s.Setup, true)
		var first []node
		s.expandRoot(root, symmetric, func(n node) { first = append(first, n) })
		s.stack = first
	}
	stop := context.AfterFunc(ctx, s.interrupt)
	defer stop()
	var group sync.WaitGroup
	done := make(chan struct{})
	s.workers = s.Threads
	for range s.Threads {
		group.Go(s.work)
	}
	go func() { group.Wait(); close(done) }()
	err := s.monitor(done)
	result := s.result()
	if s.CheckpointFile != "" && err == nil {
		if result.Complete {
			err = s.removeCheckpoint()
		} else {
			err = s.save()
		}
	}
	for i := range s.findings {
		s.findings[i].describe(&s.Setup, s.Reduction)
	}
	result.Findings = s.findings
	if s.Progress != nil {
		s.Progress(result, true)
	}
	return result, err
}

// expandRoot tries all choices of the first batch.
func (s *Search) expandRoot(canonical, symmetric *canonicalizer, push func(node)) {
	enumerate(nil, func(choices []byte) (*run, bool) { return s.replay(choices, 0) }, func(r *run) {
		s.transitions.Add(1)
		s.visit(r, 0, canonical, symmetric, push)
	})
}

// work expands nodes depth first from a local stack, and shares nodes with idle workers through the common stack.
func (s *Search) work() {
	canonical, symmetric := newCanonicalizer(&s.Setup, s.Reduction.Symmetry), newCanonicalizer(&s.Setup, true)
	var local []node
	push := func(n node) { local = append(local, n) }
	for expanded := 0; ; expanded++ {
		if len(local) == 0 || s.pause.Load() || expanded%256 == 0 {
			if local = s.takeWork(local); len(local) == 0 {
				return
			}
		}
		next := local[len(local)-1]
		local = local[:len(local)-1]
		s.expand(next, canonical, symmetric, push)
		if len(local) > 1 && s.othersIdle() {
			s.shareHalf(&local)
		}
	}
}

// othersIdle reports whether a worker is idle and the common stack is empty.
func (s *Search) othersIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting > 0 && len(s.stack) == 0
}

// shareHalf moves the older half of a local stack to the common one: nodes nearest to the root have the largest subtrees.
func (s *Search) shareHalf(local *[]node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	half := len(*local) / 2
	s.stack = append(s.stack, (*local)[:half]...)
	*local = slices.Clone((*local)[half:])
	s.idle.Broadcast()
}

// takeWork returns the local stack if it holds nodes, else a node of the common stack, for which it may wait. While a
// checkpoint is written, it first moves the local stack to the common one. It returns nil when the search is finished.
func (s *Search) takeWork(local []node) []node {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished || s.pause.Load() {
		s.stack = append(s.stack, local...)
		local = nil
	}
	if len(local) > 0 {
		return local
	}
	s.waiting++
	defer func() { s.waiting-- }()
	for {
		switch {
		case s.finished:
			return nil
		case s.pause.Load():
		case len(s.stack) > 0:
			last := len(s.stack) - 1
			local = append(local, s.stack[last])
			s.stack = s.stack[:last]
			return local
		case s.waiting == s.workers:
			s.finish(false)
			return nil
		}
		s.idle.Broadcast()
		s.idle.Wait()
	}
}

// monitor reports progress, enforces the memory limit, and writes checkpoints.
func (s *Search) monitor(done <-chan struct{}) error {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	reportedAt, savedAt := time.Now(), time.Now()
	for {
		select {
		case <-done:
			return nil
		case <-tick.C:
		}
		if s.MemoryMB > 0 && peakMB() >= s.MemoryMB {
			s.interrupt()
		}
		if s.Progress != nil && time.Since(reportedAt) >= time.Second {
			reportedAt = time.Now()
			s.mu.Lock()
			result := s.snapshot()
			s.mu.Unlock()
			s.Progress(result, false)
		}
		if s.CheckpointFile != "" && s.CheckpointInterval > 0 && time.Since(savedAt) >= s.CheckpointInterval {
			if err := s.checkpoint(); err != nil {
				return err
			}
			savedAt = time.Now()
		}
	}
}

// checkpoint pauses all workers between two states and writes a checkpoint.
func (s *Search) checkpoint() error {
	s.pause.Store(true)
	s.mu.Lock()
	for s.waiting < s.workers && !s.finished {
		s.idle.Wait()
	}
	finished := s.finished
	s.mu.Unlock()
	var err error
	if !finished {
		err = s.save()
	}
	s.mu.Lock()
	s.pause.Store(false)
	s.idle.Broadcast()
	s.mu.Unlock()
	return err
}
