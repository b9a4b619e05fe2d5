// Package discovery follows the list of searchers: the whole list first, then an unbroken watch.
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

// Limits are the sizes and times of the watch.
type Limits struct {
	Body  int64         // bytes of an answer
	Call  time.Duration // for an answer that need not wait
	Wait  time.Duration // a watch may wait
	Pause time.Duration // after a failure that came at once, unless asked sooner
}

// Watcher asks one discovery service at a time.
type Watcher struct {
	lim  Limits
	kick chan struct{}

	mu    sync.Mutex
	addr  string
	leave context.CancelFunc // ends what goes on at the address; nil before Run
}

// New makes a watcher; nothing is asked before Run.
func New(addr string, lim Limits) *Watcher {
	return &Watcher{addr: addr, lim: lim, kick: make(chan struct{}, 1)}
}

// Move makes it follow the service at another address. A call in hand is dropped, not waited for: the old service
// may hang, and what the new one has to tell is due soon after the word to move.
func (w *Watcher) Move(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	if w.addr = addr; w.leave != nil {
		w.leave()
	}
}

// Whole asks for the whole list once, beside the watch.
func (w *Watcher) Whole(ctx context.Context) (proto.List, error) {
	w.mu.Lock()
	addr := w.addr
	w.mu.Unlock()
	tr := &http.Transport{MaxConnsPerHost: 1, DisableKeepAlives: true, DisableCompression: true}
	defer tr.CloseIdleConnections()
	return (&watch{addr: addr, lim: w.lim, http: http.Client{Transport: tr}}).next(ctx, true)
}

// Anew drops the watch in hand and begins one with the whole list.
func (w *Watcher) Anew() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leave != nil {
		w.leave()
	}
}

// Ask cuts a pause short.
func (w *Watcher) Ask() {
	select {
	case w.kick <- struct{}{}:
	default:
	}
}

var errOld = errors.New("an older version than before")

// Run follows the list until the context ends and hands on what it is told, in order.
func (w *Watcher) Run(ctx context.Context, tell func(policy.ListMode, proto.List)) {
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		w.mu.Lock()
		addr := w.addr
		w.leave = leave
		w.mu.Unlock()
		w.follow(here, addr, tell)
		leave()
	}
}

// watch is what holds for one address only: its connection, and the version last told there.
type watch struct {
	addr string
	lim  Limits
	http http.Client
	at   int64
}

// follow starts with the whole list: versions of one service owe nothing to those of another.
func (w *Watcher) follow(ctx context.Context, addr string, tell func(policy.ListMode, proto.List)) {
	tr := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer tr.CloseIdleConnections()
	at := watch{addr: addr, lim: w.lim, http: http.Client{Transport: tr}}
	for whole := true; ctx.Err() == nil; {
		l, err := at.next(ctx, whole)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			// Only a version that went back makes the list held worthless; a silent service does not.
			whole = whole || errors.Is(err, errOld)
			tell(policy.Unavailable, proto.List{})
			// A call that fell silent has taken its time already, and what it missed counts as told soon after that:
			// it is made anew at once. A rest is for those that fail at once, which would else follow one another.
			if !errors.Is(err, context.DeadlineExceeded) {
				w.rest(ctx)
			}
			continue
		}
		whole = false
		at.at = l.Version
		switch {
		case l.Whole:
			tell(policy.Full, l)
		case len(l.Hosts) > 0:
			tell(policy.Changes, l)
		}
	}
}

func (w *Watcher) rest(ctx context.Context) {
	select {
	case <-w.kick: // one from before the failure asks for nothing new
	default:
	}
	t := time.NewTimer(w.lim.Pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-w.kick:
	}
}

func (w *watch) next(ctx context.Context, whole bool) (l proto.List, err error) {
	defer func() {
		if e := recover(); e != nil {
			err = fmt.Errorf("discovery: panic: %v", e)
		}
	}()
	url, limit := "http://"+w.addr+"/v1/endpoints", w.lim.Call
	if !whole {
		url += fmt.Sprintf("?after=%d&wait_ms=%d", w.at, w.lim.Wait.Milliseconds())
		limit += w.lim.Wait
	}
	ctx, done := context.WithTimeout(ctx, limit)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return proto.List{}, fmt.Errorf("discovery: %w", err)
	}
	res, err := w.http.Do(req)
	if err != nil {
		return proto.List{}, fmt.Errorf("discovery: %w", err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, w.lim.Body+1))
	switch {
	case err != nil:
		return proto.List{}, fmt.Errorf("discovery: %w", err)
	case res.StatusCode != http.StatusOK:
		return proto.List{}, fmt.Errorf("discovery: status %d", res.StatusCode)
	case int64(len(body)) > w.lim.Body:
		return proto.List{}, fmt.Errorf("discovery: more than %d bytes", w.lim.Body)
	}
	if l, err = proto.ReadList(body); err != nil {
		return l, fmt.Errorf("discovery: %w", err)
	}
	if !whole && l.Version < w.at {
		return l, errOld
	}
	if !whole && !l.Whole && l.Version == w.at {
		l.Hosts = nil // told before
	}
	if whole && !l.Whole {
		return l, errors.New("discovery: changes where the whole list was asked for")
	}
	return l, nil
}
