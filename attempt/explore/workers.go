package explore

import (
	"context"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"time"
)

// Run walks, and says what it came to. An ended context cuts it short, and leaves a checkpoint if one is asked for.
func (s *Search) Run(ctx context.Context) (Result, error) {
	s.idle.L = &s.mu
	// Each run makes a world and lets it go: little is alive, and the collector need not look often.
	defer debug.SetGCPercent(debug.SetGCPercent(1600))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(soft))
	s.outcomes = map[string]bool{}
	s.began = time.Now()
	if s.Threads <= 0 {
		s.Threads = runtime.GOMAXPROCS(0)
	}
	if s.File != "" {
		if err := s.load(); err != nil {
			return Result{}, err
		}
	}
	if !s.resumable {
		// The list and the scan are handed over; the decider may choose already.
		root := newCanon(&s.Setup, s.Reduction.Symmetry)
		other := newCanon(&s.Setup, true)
		var first []node
		s.begin(root, other, func(n node) { first = append(first, n) })
		s.stack = first
	}
	stop := context.AfterFunc(ctx, s.cutShort)
	defer stop()
	var all sync.WaitGroup
	done := make(chan struct{})
	s.workers = s.Threads
	for range s.Threads {
		all.Go(s.work)
	}
	go func() { all.Wait(); close(done) }()
	err := s.watch(done)
	res := s.result()
	if s.File != "" && err == nil {
		if res.Complete {
			err = s.discard()
		} else {
			err = s.save()
		}
	}
	for i := range s.found {
		s.found[i].tell(&s.Setup, s.Reduction)
	}
	res.Found = s.found
	if s.Progress != nil {
		s.Progress(res, true)
	}
	return res, err
}

// begin tries all choices of the very first batch.
func (s *Search) begin(c, other *canon, push func(node)) {
	ways(nil, func(picks []byte) (*run, bool) { return s.play(picks, 0) }, func(r *run) {
		s.trans.Add(1)
		s.reach(r, 0, c, other, push)
	})
}

// work expands depth first, from a stack of its own; what others could use goes to the common one.
func (s *Search) work() {
	c, other := newCanon(&s.Setup, s.Reduction.Symmetry), newCanon(&s.Setup, true)
	var own []node
	push := func(n node) { own = append(own, n) }
	for n := 0; ; n++ {
		if len(own) == 0 || s.pause.Load() || n%256 == 0 {
			if own = s.share(own); len(own) == 0 {
				return
			}
		}
		next := own[len(own)-1]
		own = own[:len(own)-1]
		s.expand(next, c, other, push)
		if len(own) > 1 && s.hungry() {
			s.give(&own)
		}
	}
}

func (s *Search) hungry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting > 0 && len(s.stack) == 0
}

// give hands the older half of a stack to the others: what is nearest to the start has most behind it.
func (s *Search) give(own *[]node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	half := len(*own) / 2
	s.stack = append(s.stack, (*own)[:half]...)
	*own = slices.Clone((*own)[half:])
	s.idle.Broadcast()
}

// share waits for work, or for the end of a pause in which a checkpoint is written. It gives nothing back when the search
// is over.
func (s *Search) share(own []node) []node {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over || s.pause.Load() {
		s.stack = append(s.stack, own...)
		own = nil
	}
	if len(own) > 0 {
		return own
	}
	s.waiting++
	defer func() { s.waiting-- }()
	for {
		switch {
		case s.over:
			return nil
		case s.pause.Load():
		case len(s.stack) > 0:
			last := len(s.stack) - 1
			own = append(own, s.stack[last])
			s.stack = s.stack[:last]
			return own
		case s.waiting == s.workers:
			s.finish(false)
			return nil
		}
		s.idle.Broadcast()
		s.idle.Wait()
	}
}

// watch tells progress, keeps the limits, and writes checkpoints.
func (s *Search) watch(done <-chan struct{}) error {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	said, saved := time.Now(), time.Now()
	for {
		select {
		case <-done:
			return nil
		case <-tick.C:
		}
		if s.MemoryMB > 0 && peakMB() >= s.MemoryMB {
			s.cutShort()
		}
		if s.Progress != nil && time.Since(said) >= time.Second {
			said = time.Now()
			s.mu.Lock()
			res := s.count()
			s.mu.Unlock()
			s.Progress(res, false)
		}
		if s.File != "" && s.Every > 0 && time.Since(saved) >= s.Every {
			if err := s.checkpoint(); err != nil {
				return err
			}
			saved = time.Now()
		}
	}
}

// checkpoint stops all workers between two states, and writes.
func (s *Search) checkpoint() error {
	s.pause.Store(true)
	s.mu.Lock()
	for s.waiting < s.workers && !s.over {
		s.idle.Wait()
	}
	over := s.over
	s.mu.Unlock()
	var err error
	if !over {
		err = s.save()
	}
	s.mu.Lock()
	s.pause.Store(false)
	s.idle.Broadcast()
	s.mu.Unlock()
	return err
}
