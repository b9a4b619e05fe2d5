package berths

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"peathollow/client"
	"peathollow/internal/standin/rude"
)

// Searcher is a stand-in searcher that reports to the system, as the protocol says. It does without beat-target.
type Searcher struct {
	*rude.Server
	service, zone string
	capacity      int
	advertise     string
	client        *client.Client
	stop          context.CancelFunc
	ended         chan struct{}

	mu    sync.Mutex // held for a call, so that they arrive in the order of their numbers
	calls int
	state string
}

// SearcherOptions says what to start.
type SearcherOptions struct {
	Service, Zone string
	Control       []string
	Period        time.Duration // between two beats
	Advertise     string        // the address that it tells; its own if empty
	Server        rude.Options
}

// NewSearcher starts a searcher that reports until Close or Mute.
func NewSearcher(o SearcherOptions) (*Searcher, error) {
	server, err := rude.Start(o.Server)
	if err != nil {
		return nil, errors.Wrapf(err, "searcher of %s", o.Service)
	}
	ctx, stop := context.WithCancel(context.Background())
	if o.Advertise == "" {
		o.Advertise = server.Addr()
	}
	s := &Searcher{Server: server, advertise: o.Advertise, service: o.Service, zone: o.Zone, capacity: max(o.Server.Capacity, 8), client: client.New(o.Control...),
		stop: stop, ended: make(chan struct{}), state: "ready"}
	go func() {
		defer close(s.ended)
		t := time.NewTicker(o.Period)
		defer t.Stop()
		for {
			in, done := context.WithTimeout(ctx, max(2*time.Second, o.Period))
			s.report(in) // what fails now is made good by the next
			done()
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
	body, err := json.Marshal(map[string]any{"plant": s.service, "address": s.advertise, "zone": s.zone, "config-version": "stand-in",
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

// Mute has it fall silent: it takes requests, answers none, and reports no more.
func (s *Searcher) Mute() {
	s.hush()
	s.SetScript(func(rude.Call) rude.Reply { return rude.Reply{Way: rude.Hang} })
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
func busy(rude.Call) rude.Reply {
	return rude.Reply{Work: time.Duration(1+rand.IntN(10)) * time.Millisecond}
}
