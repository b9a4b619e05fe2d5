package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Troubles that strike many at once, or the same ones again and again.
const (
	seriesMost = 3 // times that the same ones are struck in a row
	seriesGap  = 300 * time.Millisecond
	replaceMin = 3 // one searcher in so many is replaced, at the least
)

// stand has a searcher stand still for a while.
func (r *run) stand(s *searcher, span time.Duration) {
	s.fallIll()
	s.Freeze()
	r.pause(span)
	s.Thaw()
	r.giveBack(s)
}

// doToMany does what strikes many at once; false if the trouble is of another kind.
func (r *run) doToMany(t Trouble) bool {
	switch t.Kind {
	case FreezeMany:
		r.standMany(t)
	case ReplaceMany:
		r.reuseMany(t)
	case FreezeFronts:
		r.freezeFronts(t)
	case Reshard:
		r.operators.reshard(r.ctx)
	default:
		return false
	}
	return true
}

// shareOf takes one in so many searchers, of all services, without regard to how many are left.
func (r *run) shareOf(oneIn, offset int) (some []*searcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range r.searchers {
		if !r.struck[s] && (i+offset)%oneIn == 0 {
			r.struck[s] = true
			some = append(some, s)
		}
	}
	return some
}

// standMany has many searchers stand still, one time after the other, with what was sent to them meanwhile still unread.
func (r *run) standMany(t Trouble) {
	some := r.shareOf(1+t.Chance%4, t.One)
	for range 1 + t.Two%seriesMost {
		for _, s := range some {
			s.fallIll()
			s.Freeze()
		}
		r.pause(t.For)
		for _, s := range some {
			s.Thaw()
		}
		r.pause(rand.N(seriesGap))
	}
	for _, s := range some {
		r.giveBack(s)
	}
}

// reuseMany has many searchers crash; after the time that addresses rest they go to searchers of one other service, and the
// services get new searchers elsewhere.
func (r *run) reuseMany(t Trouble) {
	others := r.schedule.Shape.services()
	heir := others[t.Two%len(others)]
	some := r.shareOf(replaceMin+t.Chance%4, t.One)
	for _, s := range some {
		s.end()
	}
	r.pause(reuseDelay)
	for _, s := range some {
		r.replace(heir, s.place)
	}
	r.pause(t.For)
	for _, s := range some {
		if s.Service() != heir {
			r.replace(s.Service(), nil)
		}
	}
}

// freezeFronts stops many fronts and lets them go on, each in its own time, so that stops overlap.
func (r *run) freezeFronts(t Trouble) {
	var all sync.WaitGroup
	for i := range r.fronts {
		if (i+t.One)%(1+t.Chance%4) != 0 {
			continue
		}
		proxy := r.process(r.proxyName(i))
		all.Go(func() {
			for range 1 + t.Two%seriesMost {
				r.pause(rand.N(seriesGap))
				r.freeze(t.For/2+rand.N(t.For/2+1), proxy)
			}
		})
	}
	all.Wait()
}
