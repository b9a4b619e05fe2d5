// Package connlimit bounds how many connections an HTTP server has open. A process has so many descriptors, and those that its
// callers take up are missing where it dials itself: searchers would seem to be unreachable. Beyond the bound the connection that
// has rested longest makes room; if none rests, the newest is closed unread, which its caller may take for never sent.
package connlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// Limit is the bound of one server.
type Limit struct {
	most int

	mu      sync.Mutex
	open    map[net.Conn]*list.Element // nil while it has a request in hand
	resting *list.List                 // net.Conn, that which has rested longest first
	evicted uint64
	refused uint64
}

// New makes a bound of so many connections.
func New(most int) *Limit {
	return &Limit{most: most, open: map[net.Conn]*list.Element{}, resting: list.New()}
}

// Bind has a server go by the bound; its connections have to come from Listen.
func (l *Limit) Bind(s *http.Server) { s.ConnState = l.state }

// Listen gives a listener that goes by the bound.
func (l *Limit) Listen(ln net.Listener) net.Listener { return listener{ln, l} }

// Counts tells how many connections are open, how many made room for others, and how many found none.
func (l *Limit) Counts() (open int, evicted, refused uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open), l.evicted, l.refused
}

type listener struct {
	net.Listener
	limit *Limit
}

// Accept gives the next connection that there is room for.
func (ln listener) Accept() (net.Conn, error) {
	for {
		c, err := ln.Listener.Accept()
		if err != nil || ln.limit.admit() {
			return c, err
		}
		c.Close()
	}
}

// admit tells whether there is room for one more, and makes some where that is needed and can be done.
func (l *Limit) admit() bool {
	l.mu.Lock()
	if len(l.open) < l.most {
		l.mu.Unlock()
		return true
	}
	oldest := l.resting.Front()
	if oldest == nil {
		l.refused++
		l.mu.Unlock()
		return false
	}
	c := oldest.Value.(net.Conn)
	l.forget(c)
	l.evicted++
	l.mu.Unlock()
	c.Close()
	return true
}

// state follows a connection; see http.Server.ConnState.
func (l *Limit) state(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateNew:
		l.open[c] = l.resting.PushBack(c)
	case http.StateActive:
		l.wake(c)
	case http.StateIdle:
		l.wake(c)
		if _, known := l.open[c]; known {
			l.open[c] = l.resting.PushBack(c)
		}
	case http.StateClosed, http.StateHijacked:
		l.forget(c)
	}
}

// wake takes a connection out of those that rest; the lock is held.
func (l *Limit) wake(c net.Conn) {
	if at := l.open[c]; at != nil {
		l.resting.Remove(at)
		l.open[c] = nil
	}
}

// forget drops a connection; the lock is held.
func (l *Limit) forget(c net.Conn) {
	l.wake(c)
	delete(l.open, c)
}
