package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"peathollow/internal/standin/faulty"
	"peathollow/internal/standin/localsystem"
)

const (
	beatEvery  = 400 * time.Millisecond
	drainTime  = 3 * time.Second // for which a searcher serves on after its leaving was acknowledged
	serveOn    = drainTime + time.Second
	leaveMost  = 8 * time.Second // for an acknowledgement; then it ends all the same
	reuseDelay = 2 * time.Second
	workMost   = 10 * time.Millisecond
	queueMost  = 16
	capacity   = 8 // requests at work
	zones      = 3
	slowTimes  = 30 // as long
	failEvery  = 3  // requests
)

// searcher is one life of a searcher, at an address that outlives it.
type searcher struct {
	*localsystem.Searcher
	place *place
	acked atomic.Int64 // when it was acknowledged that it leaves, in Unix nanoseconds
	ill   atomic.Int64 // since when it may break off what it was given
}

// place is an address at which searchers live one after the other.
type place struct{ address string }

// populate starts the first searchers.
func (r *run) populate() error {
	for _, service := range r.schedule.Shape.services() {
		for range r.schedule.Shape.Copies {
			if _, err := r.born(service, nil); err != nil {
				return err
			}
		}
	}
	return nil
}

// born starts a searcher, at a place of its own if none is given.
func (r *run) born(service string, p *place) (*searcher, error) {
	if p == nil {
		p = &place{address: r.system.Place(int(r.places.Add(1)))}
	}
	b, err := localsystem.NewSearcher(localsystem.SearcherOptions{Service: service, Zone: zoneName(rand.IntN(zones)), Control: r.searcherDoors,
		Period: beatEvery, Server: faulty.Options{Addr: p.address, ID: fmt.Sprintf("i-%d-%d", r.options.Seed, r.births.Add(1)), Ledger: r.system.Ledger, Capacity: capacity, Queue: queueMost, Script: work, TellLoad: true}})
	if err != nil {
		return nil, err
	}
	s := &searcher{Searcher: b, place: p}
	r.system.Add(b)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.searchers = append(r.searchers, s)
	return s, nil
}

func zoneName(i int) string { return []string{"zone-0", "zone-1", "zone-2"}[i] }

// work takes a few milliseconds for most requests.
func work(c faulty.Call) faulty.Reply {
	if strings.Contains(c.Path, longMark) {
		return faulty.Reply{Work: longWork}
	}
	return faulty.Reply{Work: rand.N(workMost)}
}

// idsOf gives the searchers that a service ever had.
func (r *run) idsOf(service string) (ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.searchers {
		if s.Service() == service {
			ids = append(ids, s.ID())
		}
	}
	return ids
}

// takeOne takes a searcher out of those that may be struck, if its service keeps enough others; nil if none may.
func (r *run) takeOne(choice int) *searcher {
	r.mu.Lock()
	defer r.mu.Unlock()
	sound := map[string]int{}
	var may []*searcher
	for _, s := range r.searchers {
		if !r.struck[s] {
			sound[s.Service()]++
		}
	}
	for _, s := range r.searchers {
		if !r.struck[s] && sound[s.Service()] > 1 {
			may = append(may, s)
		}
	}
	if len(may) == 0 {
		return nil
	}
	s := may[choice%len(may)]
	r.struck[s] = true
	return s
}

func (r *run) giveBack(s *searcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.struck, s)
}

// fallIll notes that from now on the searcher may break off what it was given.
func (s *searcher) fallIll() { s.ill.CompareAndSwap(0, time.Now().UnixNano()) }

// soundAt tells whether it was sound until some moment.
func (s *searcher) soundAt(at time.Time) bool {
	since := s.ill.Load()
	return since == 0 || at.Before(time.Unix(0, since))
}

// end ends a searcher like a crash.
func (s *searcher) end() {
	s.fallIll()
	s.Close()
}

// replace starts another searcher of a service.
func (r *run) replace(service string, p *place) {
	if _, err := r.born(service, p); err != nil {
		r.violated("soak: searcher of %s: %v", service, err)
	}
}

// crash ends a searcher; another of its service starts after a while.
func (r *run) crash(s *searcher, after time.Duration) {
	s.end()
	r.pause(after)
	r.replace(s.Service(), nil)
}

// mute has a searcher say nothing, then end.
func (r *run) mute(s *searcher, span time.Duration) {
	s.fallIll()
	s.Mute()
	r.pause(span)
	r.crash(s, 0)
}

// leave has a searcher leave in order, by draining first or by DELETE alone.
func (r *run) leave(s *searcher, draining bool) {
	r.replace(s.Service(), nil)
	ctx, stop := context.WithTimeout(context.Background(), leaveMost)
	defer stop()
	var err error
	if draining {
		err = s.Drain(ctx)
	} else {
		err = s.Delete(ctx)
	}
	if err == nil {
		s.acked.Store(time.Now().UnixNano())
		r.pause(serveOn)
	}
	if draining {
		s.Delete(ctx)
	}
	s.end()
}

// reuse has a searcher crash and its address go to one of another service, which comes back under its own later.
func (r *run) reuse(s *searcher, choice int) {
	s.end()
	r.pause(reuseDelay)
	others := r.schedule.Shape.services()
	service := others[choice%len(others)]
	r.replace(service, s.place)
	if service != s.Service() {
		r.replace(s.Service(), nil)
	}
}

// misbehave has a searcher break the protocol in some ways for a while.
func (r *run) misbehave(s *searcher, span time.Duration, choice int) {
	// ShortLength is left out: an answer that is whole by its length is one, and nobody can know better.
	ways := []faulty.Way{faulty.Refuse, faulty.RefuseNoID, faulty.ResetUnrun, faulty.ResetRun, faulty.CloseRun, faulty.CutHead, faulty.CutBody, faulty.Spoil,
		faulty.WrongID, faulty.NoID, faulty.NoSeal, faulty.Trickle, faulty.Chunked, faulty.BadChunks, faulty.BothLengths, faulty.NoLength, faulty.UntilClose,
		faulty.Surplus, faulty.ExtraNow, faulty.ExtraLate, faulty.CloseAfter, faulty.CloseUnsaid, faulty.Hang}
	s.fallIll()
	some := []faulty.Way{ways[choice%len(ways)], ways[choice/len(ways)%len(ways)], faulty.Good}
	r.play(s, span, func(c faulty.Call) faulty.Reply {
		reply := work(c)
		reply.Way = some[rand.IntN(len(some))]
		return reply
	})
}

// play has a searcher go by a script for a while, then be as it was.
func (r *run) play(s *searcher, span time.Duration, script func(faulty.Call) faulty.Reply) {
	s.SetScript(script)
	r.pause(span)
	s.SetScript(work)
	r.giveBack(s)
}

// slowDown has a searcher work many times as long for a while.
func (r *run) slowDown(s *searcher, span time.Duration) {
	r.play(s, span, func(c faulty.Call) faulty.Reply {
		reply := work(c)
		reply.Work *= slowTimes
		return reply
	})
}

// fail has a searcher fail some of its requests for a while, as one that feels well.
func (r *run) fail(s *searcher, span time.Duration) {
	r.play(s, span, func(c faulty.Call) faulty.Reply {
		reply := work(c)
		if rand.IntN(failEvery) == 0 {
			reply.Status = http.StatusInternalServerError
		}
		return reply
	})
}
