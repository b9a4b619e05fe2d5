package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"peathollow/internal/standin/faulty"
)

// Bounds of faults that affect many processes or searchers, some several times in a row.
const (
	maxSeries       = 3 // times that a fault is repeated
	maxSeriesGap    = 300 * time.Millisecond
	minReplaceRatio = 3                      // at most one in this many searchers is replaced
	acceptRatio     = 3                      // one in this many requests is not refused
	lateCopyRatio   = 2                      // one in this many responses is followed by a late second copy
	queueWork       = 2 * time.Second        // of a searcher whose service is to have queues
	queueLead       = 500 * time.Millisecond // for queues to form before a front is terminated
)

// freezeSearcher pauses a searcher for a while.
func (r *run) freezeSearcher(s *searcher, duration time.Duration) {
	s.markUnreliable()
	s.Pause()
	r.sleep(duration)
	s.Resume()
	r.returnSearcher(s)
}

// injectMultiFault injects a fault that affects many searchers or fronts, or the set of shards. It returns
// false if the fault is of another kind.
func (r *run) injectMultiFault(f Fault) bool {
	switch f.Kind {
	case FreezeMany:
		r.freezeSearchers(f)
	case ReassignMany:
		r.reassignAddresses(f)
	case FreezeFronts:
		r.freezeFronts(f)
	case SearcherQueue:
		r.terminateWithQueues(f)
	case SearcherRefusing:
		r.refuseRequests(f)
	case Reshard:
		r.operators.reshard(r.ctx)
	default:
		return false
	}
	return true
}

// takeFraction reserves one in oneIn searchers of all services, no matter how many a service has left.
func (r *run) takeFraction(oneIn, offset int) (taken []*searcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range r.searchers {
		if !r.affected[s] && (i+offset)%oneIn == 0 {
			r.affected[s] = true
			taken = append(taken, s)
		}
	}
	return taken
}

// takeService reserves all searchers of a service that are free.
func (r *run) takeService(service string) (taken []*searcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.searchers {
		if !r.affected[s] && s.Service() == service {
			r.affected[s] = true
			taken = append(taken, s)
		}
	}
	return taken
}

// runServiceScript makes the free searchers of a service follow a script for a while, then the default one. It returns a function
// that waits for the end.
func (r *run) runServiceScript(choice int, duration time.Duration, script func(faulty.Call) faulty.Reply) (wait func()) {
	services := r.schedule.Shape.services()
	var wg sync.WaitGroup
	for _, s := range r.takeService(services[choice%len(services)]) {
		wg.Go(func() { r.runScript(s, duration, script) })
	}
	return wg.Wait
}

// terminateWithQueues makes the searchers of a service so slow that requests wait in their queues, and terminates a front
// meanwhile: requests that it has sent on are still waiting when its grace period ends.
func (r *run) terminateWithQueues(f Fault) {
	wait := r.runServiceScript(f.SecondTarget, queueLead+drainGrace+f.Duration, func(faulty.Call) faulty.Reply {
		return faulty.Reply{Work: queueWork/2 + rand.N(queueWork), SecondCopy: drawCopy()}
	})
	r.sleep(queueLead)
	fronts := r.activeProcesses("proxy")
	proxy := fronts[f.Target%len(fronts)]
	termination := &injectedFault{kind: Terminate, process: proxy.Name, affects: r.onlyMachine(proxy.Machine)}
	r.record(termination)
	r.terminate(proxy, 0)
	r.recordEnd(termination)
	wait()
}

// refuseRequests makes the searchers of a service refuse most of their requests, so that the same request is sent again to the same
// searcher, and send late second copies of their responses, refusals and others.
func (r *run) refuseRequests(f Fault) {
	r.runServiceScript(f.SecondTarget, f.Duration, func(c faulty.Call) faulty.Reply {
		reply := defaultScript(c)
		if rand.IntN(acceptRatio) > 0 {
			reply.Fault = faulty.Refuse
		}
		if rand.IntN(lateCopyRatio) == 0 {
			reply.SecondCopy = faulty.CopyLate
		}
		return reply
	})()
}

// freezeSearchers pauses many searchers several times; what was sent to them during a pause is still unread when they resume.
func (r *run) freezeSearchers(f Fault) {
	frozen := r.takeFraction(1+f.Variant%4, f.Target)
	for range 1 + f.SecondTarget%maxSeries {
		for _, s := range frozen {
			s.markUnreliable()
			s.Pause()
		}
		r.sleep(f.Duration)
		for _, s := range frozen {
			s.Resume()
		}
		r.sleep(rand.N(maxSeriesGap))
	}
	for _, s := range frozen {
		r.returnSearcher(s)
	}
}

// reassignAddresses makes many searchers crash. After the delay for reuse, searchers of one other service start at their
// addresses, and later the services get new searchers at new addresses.
func (r *run) reassignAddresses(f Fault) {
	services := r.schedule.Shape.services()
	newService := services[f.SecondTarget%len(services)]
	crashed := r.takeFraction(minReplaceRatio+f.Variant%4, f.Target)
	for _, s := range crashed {
		s.stop()
	}
	r.sleep(reuseDelay)
	for _, s := range crashed {
		r.startReplacement(newService, s.slot)
	}
	r.sleep(f.Duration)
	for _, s := range crashed {
		if s.Service() != newService {
			r.startReplacement(s.Service(), nil)
		}
	}
}

// freezeFronts pauses many fronts several times, each with its own timing, so that pauses overlap.
func (r *run) freezeFronts(f Fault) {
	var wg sync.WaitGroup
	for i := range r.fronts {
		if (i+f.Target)%(1+f.Variant%4) != 0 {
			continue
		}
		proxy := r.process(r.proxyName(i))
		wg.Go(func() {
			for range 1 + f.SecondTarget%maxSeries {
				r.sleep(rand.N(maxSeriesGap))
				r.freeze(f.Duration/2+rand.N(f.Duration/2+1), proxy)
			}
		})
	}
	wg.Wait()
}
