package localsystem

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"peathollow/client"
	"peathollow/internal/standin/faulty"
)

// Searcher is a stand-in searcher that sends heartbeats to the controllers as the protocol requires. It does not use
// beat-target.
type Searcher struct {
	*faulty.Server
	service, zone string
	capacity      int
	client        *client.Client
	stop          context.CancelFunc
	ended         chan struct{}
	paused        atomic.Bool

	mu    sync.Mutex // held during a call, so that calls arrive in the order of their numbers
	calls int
	state string
}

// SearcherOptions configures a Searcher.
type SearcherOptions struct {
	Service, Zone string
	Control       []string
	Period        time.Duration // between two heartbeats
	Server        faulty.Options
}

// NewSearcher starts a searcher that sends heartbeats until Delete, StopResponding or Close.
func NewSearcher(o SearcherOptions) (*Searcher, error) {
	server, err := faulty.Start(o.Server)
	if err != nil {
		return nil, errors.Wrapf(err, "searcher of %s", o.Service)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Searcher{Server: server, service: o.Service, zone: o.Zone, capacity: max(o.Server.Capacity, 8), client: client.New(o.Control...),
		stop: stop, ended: make(chan struct{}), state: "ready"}
	go func() {
		defer close(s.ended)
		ticker := time.NewTicker(o.Period)
		defer ticker.Stop()
		for {
			if !s.paused.Load() {
				callCtx, cancel := context.WithTimeout(ctx, max(2*time.Second, o.Period))
				s.report(callCtx) // the next heartbeat makes up for a failed one
				cancel()
			}
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	return s, nil
}

// report sends one heartbeat.
func (s *Searcher) report(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	body, err := json.Marshal(map[string]any{"plant": s.service, "address": s.Addr(), "zone": s.zone, "config-version": "stand-in",
		"capacity": s.capacity, "state": s.state, "warmup-left-ms": 0, "call-count": s.calls})
	if err != nil {
		return err
	}
	_, _, err = s.client.Call(ctx, http.MethodPut, "/searchers/"+s.ID(), body)
	return err
}

// Drain reports that the searcher is draining and waits for the acknowledgement. The searcher still serves requests.
func (s *Searcher) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	return s.report(ctx)
}

// Delete stops the heartbeats, removes the searcher from the system and waits for the acknowledgement. The searcher still
// serves requests.
func (s *Searcher) Delete(ctx context.Context) error {
	s.stopReports()
	_, _, err := s.client.Call(ctx, http.MethodDelete, "/searchers/"+s.ID(), nil)
	return err
}

// Service returns the service that the searcher belongs to.
func (s *Searcher) Service() string { return s.service }

// NewSilentSearcher returns a searcher of a service that sends no heartbeats, for tests of response checks.
func NewSilentSearcher(server *faulty.Server, service string) *Searcher {
	return &Searcher{Server: server, service: service}
}

// Pause pauses the searcher, including its heartbeats, like a process stopped by SIGSTOP.
func (s *Searcher) Pause() {
	s.paused.Store(true)
	s.Server.Pause()
}

// Resume resumes a paused searcher.
func (s *Searcher) Resume() {
	s.paused.Store(false)
	s.Server.Resume()
}

// StopResponding makes the searcher unresponsive: it accepts requests, answers none, and stops its heartbeats.
func (s *Searcher) StopResponding() {
	s.stopReports()
	s.SetScript(func(faulty.Call) faulty.Reply { return faulty.Reply{Fault: faulty.Hang} })
}

// stopReports stops the heartbeats and waits until the last one has ended.
func (s *Searcher) stopReports() {
	s.stop()
	<-s.ended
}

// Close stops the searcher as a crash would.
func (s *Searcher) Close() {
	s.stopReports()
	s.client.Close()
	s.Server.Close()
}

// busy is a script with which each request runs for 1 to 10 ms.
func busy(faulty.Call) faulty.Reply {
	return faulty.Reply{Work: time.Duration(1+rand.IntN(10)) * time.Millisecond}
}
