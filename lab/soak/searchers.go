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
	heartbeatInterval   = 400 * time.Millisecond
	drainTime           = 3 * time.Second // a searcher keeps serving for this time after its departure was acknowledged
	serveAfterDeparture = drainTime + time.Second
	leaveTimeout        = 8 * time.Second // timeout of the acknowledgement; then the searcher stops without it
	reuseDelay          = 2 * time.Second
	maxWork             = 10 * time.Millisecond
	maxQueue            = 16
	capacity            = 8 // requests executed at a time
	zones               = 3
	slowFactor          = 30 // factor of the work time
	failRatio           = 3  // one in this many requests fails
)

// searcher is one incarnation of a searcher; its address may be reused by later ones.
type searcher struct {
	*localsystem.Searcher
	slot            *addressSlot
	departureAcked  atomic.Int64 // when its departure was acknowledged, in Unix nanoseconds
	unreliableSince atomic.Int64 // since when it may drop requests, in Unix nanoseconds; 0 if it never may
}

// addressSlot is an address at which searchers run one after the other.
type addressSlot struct{ address string }

// populate starts the initial searchers.
func (r *run) populate() error {
	for _, service := range r.schedule.Shape.services() {
		for range r.schedule.Shape.Copies {
			if _, err := r.startSearcher(service, nil); err != nil {
				return err
			}
		}
	}
	return nil
}

// startSearcher starts a searcher, in a new slot if none is given.
func (r *run) startSearcher(service string, slot *addressSlot) (*searcher, error) {
	if slot == nil {
		slot = &addressSlot{address: r.system.ReservedAddress(int(r.slotCount.Add(1)))}
	}
	standIn, err := localsystem.NewSearcher(localsystem.SearcherOptions{Service: service, Zone: zoneName(rand.IntN(zones)), Control: r.searcherEndpoints,
		Period: heartbeatInterval, Server: faulty.Options{Addr: slot.address, ID: fmt.Sprintf("i-%d-%d", r.options.Seed, r.searcherCount.Add(1)), Ledger: r.system.Ledger, Capacity: capacity, Queue: maxQueue, Script: defaultScript, ReportLoad: true}})
	if err != nil {
		return nil, err
	}
	s := &searcher{Searcher: standIn, slot: slot}
	r.system.Add(standIn)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.searchers = append(r.searchers, s)
	return s, nil
}

func zoneName(i int) string { return []string{"zone-0", "zone-1", "zone-2"}[i] }

// defaultScript takes a few milliseconds for most requests.
func defaultScript(c faulty.Call) faulty.Reply {
	if strings.Contains(c.Path, longPathMark) {
		return faulty.Reply{Work: longWork}
	}
	return faulty.Reply{Work: rand.N(maxWork)}
}

// searcherIDs returns the IDs of all searchers that a service has ever had.
func (r *run) searcherIDs(service string) (ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.searchers {
		if s.Service() == service {
			ids = append(ids, s.ID())
		}
	}
	return ids
}

// takeSearcher reserves a searcher for a fault, provided that its service keeps another one; nil if there is no such searcher.
func (r *run) takeSearcher(choice int) *searcher {
	r.mu.Lock()
	defer r.mu.Unlock()
	available := map[string]int{}
	var candidates []*searcher
	for _, s := range r.searchers {
		if !r.affected[s] {
			available[s.Service()]++
		}
	}
	for _, s := range r.searchers {
		if !r.affected[s] && available[s.Service()] > 1 {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	s := candidates[choice%len(candidates)]
	r.affected[s] = true
	return s
}

func (r *run) returnSearcher(s *searcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.affected, s)
}

// markUnreliable records that the searcher may drop requests from now on.
func (s *searcher) markUnreliable() { s.unreliableSince.CompareAndSwap(0, time.Now().UnixNano()) }

// reliableUntil reports whether the searcher was not yet unreliable at some moment.
func (s *searcher) reliableUntil(at time.Time) bool {
	since := s.unreliableSince.Load()
	return since == 0 || at.Before(time.Unix(0, since))
}

// stop stops a searcher like a crash.
func (s *searcher) stop() {
	s.markUnreliable()
	s.Close()
}

// startReplacement starts another searcher of a service.
func (r *run) startReplacement(service string, slot *addressSlot) {
	if _, err := r.startSearcher(service, slot); err != nil {
		r.violation("soak: searcher of %s: %v", service, err)
	}
}

// crash stops a searcher and starts another one of its service after a while.
func (r *run) crash(s *searcher, after time.Duration) {
	s.stop()
	r.sleep(after)
	r.startReplacement(s.Service(), nil)
}

// mute makes a searcher stop answering, then crash.
func (r *run) mute(s *searcher, duration time.Duration) {
	s.markUnreliable()
	s.StopResponding()
	r.sleep(duration)
	r.crash(s, 0)
}

// deregister makes a searcher leave, by draining first or by DELETE alone.
func (r *run) deregister(s *searcher, draining bool) {
	r.startReplacement(s.Service(), nil)
	ctx, stop := context.WithTimeout(context.Background(), leaveTimeout)
	defer stop()
	var err error
	if draining {
		err = s.Drain(ctx)
	} else {
		err = s.Delete(ctx)
	}
	if err == nil {
		s.departureAcked.Store(time.Now().UnixNano())
		r.sleep(serveAfterDeparture)
	}
	if draining {
		s.Delete(ctx)
	}
	s.stop()
}

// reassignAddress makes a searcher crash and starts one of another service at its address; the service gets a new searcher
// elsewhere.
func (r *run) reassignAddress(s *searcher, choice int) {
	s.stop()
	r.sleep(reuseDelay)
	services := r.schedule.Shape.services()
	service := services[choice%len(services)]
	r.startReplacement(service, s.slot)
	if service != s.Service() {
		r.startReplacement(s.Service(), nil)
	}
}

// misbehave makes a searcher violate the protocol for a while.
func (r *run) misbehave(s *searcher, duration time.Duration, choice int) {
	// ShortLength is left out: a body that is complete by its Content-Length can't be recognized as truncated.
	ways := []faulty.Fault{faulty.Refuse, faulty.RefuseNoID, faulty.ResetBeforeRun, faulty.ResetAfterRun, faulty.CloseAfterRun, faulty.TruncateHead, faulty.TruncateBody, faulty.Garbage,
		faulty.WrongID, faulty.NoID, faulty.NoSeal, faulty.Trickle, faulty.Chunked, faulty.InvalidChunkSize, faulty.LengthAndChunks, faulty.NoLength, faulty.UntilClose,
		faulty.TrailingBytes, faulty.CloseAnnounced, faulty.CloseUnannounced, faulty.Hang}
	s.markUnreliable()
	chosen := []faulty.Fault{ways[choice%len(ways)], ways[choice/len(ways)%len(ways)], faulty.NoFault}
	r.runScript(s, duration, func(c faulty.Call) faulty.Reply {
		reply := defaultScript(c)
		reply.Fault = chosen[rand.IntN(len(chosen))]
		reply.SecondCopy = drawCopy()
		return reply
	})
}

// copyRatio is how many responses of a searcher that misbehaves there are for each one that is sent twice.
const copyRatio = 3

// drawCopy draws whether a second copy of a response is sent, and when.
func drawCopy() faulty.SecondCopy {
	if rand.IntN(copyRatio) > 0 {
		return faulty.NoCopy
	}
	return []faulty.SecondCopy{faulty.CopyNow, faulty.CopyLate}[rand.IntN(2)]
}

// runScript makes a searcher follow a script for a while, then the default one.
func (r *run) runScript(s *searcher, duration time.Duration, script func(faulty.Call) faulty.Reply) {
	s.SetScript(script)
	r.sleep(duration)
	s.SetScript(defaultScript)
	s.DropLateCopies()
	r.returnSearcher(s)
}

// slowDown makes a searcher take many times as long for a while.
func (r *run) slowDown(s *searcher, duration time.Duration) {
	r.runScript(s, duration, func(c faulty.Call) faulty.Reply {
		reply := defaultScript(c)
		reply.Work *= slowFactor
		return reply
	})
}

// failRequests makes a searcher fail some of its requests for a while; it reports itself as healthy.
func (r *run) failRequests(s *searcher, duration time.Duration) {
	r.runScript(s, duration, func(c faulty.Call) faulty.Reply {
		reply := defaultScript(c)
		if rand.IntN(failRatio) == 0 {
			reply.Status = http.StatusInternalServerError
		}
		return reply
	})
}
