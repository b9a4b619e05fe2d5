// Package discovery follows the list of searchers at the discovery service: it fetches the full list first and then watches
// for changes by long polling.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"peathollow/internal/proto"
	"peathollow/policy"
)

// Limits holds the size limits and timings of the watch.
type Limits struct {
	MaxBodyBytes   int64         // maximum size of a response in bytes
	RequestTimeout time.Duration // timeout of a request that doesn't wait for changes
	MaxWait        time.Duration // how long the service may hold a watch request, in addition to Call
	RetryPause     time.Duration // pause after an immediate failure, unless Ask ends it sooner
}

// Watcher follows one discovery service at a time.
type Watcher struct {
	limits Limits
	wake   chan struct{}

	mu     sync.Mutex
	addr   string
	cancel context.CancelFunc // cancels the requests to the address; nil before Run
}

// New returns a watcher, which sends no request before Run.
func New(addr string, limits Limits) *Watcher {
	return &Watcher{addr: addr, limits: limits, wake: make(chan struct{}, 1)}
}

// SetAddress makes the watcher follow the service at another address. It cancels a pending request and doesn't wait for it: the
// old service may hang, and the updates of the new one are due soon after the instruction to move.
func (w *Watcher) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	if w.addr = addr; w.cancel != nil {
		w.cancel()
	}
}

// FetchList fetches the full list once, independently of the watch.
func (w *Watcher) FetchList(ctx context.Context) (proto.List, error) {
	w.mu.Lock()
	addr := w.addr
	w.mu.Unlock()
	transport := &http.Transport{MaxConnsPerHost: 1, DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	return (&session{addr: addr, limits: w.limits, http: http.Client{Transport: transport}}).next(ctx, true)
}

// Restart cancels the current watch and starts a new one with the full list.
func (w *Watcher) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil {
		w.cancel()
	}
}

// RetryNow ends a pause after a failure.
func (w *Watcher) RetryNow() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

var errOlderVersion = errors.New("version is older than the previous one")

// Run follows the list until the context ends and passes each update to handle, in order.
func (w *Watcher) Run(ctx context.Context, handle func(policy.ListMode, proto.List)) {
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithCancel(ctx)
		w.mu.Lock()
		addr := w.addr
		w.cancel = cancel
		w.mu.Unlock()
		w.follow(watchCtx, addr, handle)
		cancel()
	}
}

// session is the state for one address: its connection and the version last received from it.
type session struct {
	addr    string
	limits  Limits
	http    http.Client
	version int64
}

// follow watches the service at an address until the context ends. It starts with the full list, since the versions of one
// service are unrelated to those of another.
func (w *Watcher) follow(ctx context.Context, addr string, handle func(policy.ListMode, proto.List)) {
	transport := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	current := session{addr: addr, limits: w.limits, http: http.Client{Transport: transport}}
	for full := true; ctx.Err() == nil; {
		list, err := current.next(ctx, full)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			// Only a version that decreases invalidates the list received so far; an unresponsive service does not.
			full = full || errors.Is(err, errOlderVersion)
			handle(policy.Unavailable, proto.List{})
			// A request that timed out has taken its time already, and the updates that it missed are due soon after
			// that, so it is repeated at once. The pause is for immediate failures, which would otherwise be repeated in
			// quick succession.
			if !errors.Is(err, context.DeadlineExceeded) {
				w.pause(ctx)
			}
			continue
		}
		full = false
		current.version = list.Version
		switch {
		case list.Full:
			handle(policy.Full, list)
		case len(list.Hosts) > 0:
			handle(policy.Changes, list)
		}
	}
}

// pause waits after a failure, until the time is over or Ask is called.
func (w *Watcher) pause(ctx context.Context) {
	select {
	case <-w.wake: // drops an Ask from before the failure
	default:
	}
	t := time.NewTimer(w.limits.RetryPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-w.wake:
	}
}

// next requests the full list, or waits for changes since the last version. It converts a panic into an error.
func (s *session) next(ctx context.Context, full bool) (list proto.List, err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			err = fmt.Errorf("discovery: panic: %v", panicked)
		}
	}()
	url, timeout := "http://"+s.addr+"/v1/endpoints", s.limits.RequestTimeout
	if !full {
		url += fmt.Sprintf("?after=%d&wait_ms=%d", s.version, s.limits.MaxWait.Milliseconds())
		timeout += s.limits.MaxWait
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return proto.List{}, fmt.Errorf("discovery: %w", err)
	}
	response, err := s.http.Do(request)
	if err != nil {
		return proto.List{}, fmt.Errorf("discovery: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, s.limits.MaxBodyBytes+1))
	switch {
	case err != nil:
		return proto.List{}, fmt.Errorf("discovery: %w", err)
	case response.StatusCode != http.StatusOK:
		return proto.List{}, fmt.Errorf("discovery: status %d", response.StatusCode)
	case int64(len(body)) > s.limits.MaxBodyBytes:
		return proto.List{}, fmt.Errorf("discovery: more than %d bytes", s.limits.MaxBodyBytes)
	}
	if list, err = proto.ReadList(body); err != nil {
		return list, fmt.Errorf("discovery: %w", err)
	}
	if !full && list.Version < s.version {
		return list, errOlderVersion
	}
	if !full && !list.Full && list.Version == s.version {
		list.Hosts = nil // nothing new
	}
	if full && !list.Full {
		return list, errors.New("discovery: got changes instead of the full list")
	}
	return list, nil
}
