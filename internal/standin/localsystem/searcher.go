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

// Searcher is a stand-in searcher that reports to the system, as the protocol says. It does without beat-target.
type Searcher struct {
	*faulty.Server
	service, zone string
	capacity      int
	client        *client.Client
	stop          context.CancelFunc
	ended         chan struct{}
	frozen        atomic.Bool

	mu    sync.Mutex // held for a call, so that they arrive in the order of their numbers
	calls int
	state string
}

// SearcherOptions says what to start.
type SearcherOptions struct {
	Service, Zone string
	Control       []string
	Period        time.Duration // between two beats
	Server        faulty.Options
}

// NewSearcher starts a searcher that reports until Close or Mute.
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
		t := time.NewTicker(o.Period)
		defer t.Stop()
		for {
			if !s.frozen.Load() {
				in, done := context.WithTimeout(ctx, max(2*time.Second, o.Period))
				s.report(in) // what fails now is made good by the next
				done()
			}
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	}()
	return s, nil
}

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

// Drain tells that the searcher is leaving, until that is acknowledged; it serves on.
func (s *Searcher) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	return s.report(ctx)
}

// Delete tells that it has ended, until that is acknowledged, and reports no more; it serves on.
func (s *Searcher) Delete(ctx context.Context) error {
	s.hush()
	_, _, err := s.client.Call(ctx, http.MethodDelete, "/searchers/"+s.ID(), nil)
	return err
}

// Service is the service that it belongs to.
func (s *Searcher) Service() string { return s.service }

// Stand makes a searcher of a service that reports nothing, for tests of those who judge.
func Stand(server *faulty.Server, service string) *Searcher {
	return &Searcher{Server: server, service: service}
}

// Freeze has it stand still, like a process that was stopped, reports and all.
func (s *Searcher) Freeze() {
	s.frozen.Store(true)
	s.Server.Freeze()
}

// Thaw lets it go on.
func (s *Searcher) Thaw() {
	s.frozen.Store(false)
	s.Server.Thaw()
}

// Mute has it fall silent: it takes requests, answers none, and reports no more.
func (s *Searcher) Mute() {
	s.hush()
	s.SetScript(func(faulty.Call) faulty.Reply { return faulty.Reply{Way: faulty.Hang} })
}

func (s *Searcher) hush() {
	s.stop()
	<-s.ended
}

// Close ends it like a crash.
func (s *Searcher) Close() {
	s.hush()
	s.client.Close()
	s.Server.Close()
}

// busy works for a few milliseconds on each request.
func busy(faulty.Call) faulty.Reply {
	return faulty.Reply{Work: time.Duration(1+rand.IntN(10)) * time.Millisecond}
}
