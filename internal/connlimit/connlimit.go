// Package connlimit limits the number of open connections of an HTTP server. A process has a limited number of file
// descriptors, and those that its clients use up are missing for its own connections: searchers would appear
// unreachable. When the limit is reached, the longest idle connection is closed for a new one. If none is idle, the new
// connection is closed unread, so that its client may treat the request as never sent.
package connlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// Limit is the connection limit of one server.
type Limit struct {
	maxConns int

	mu      sync.Mutex
	open    map[net.Conn]*list.Element // element in idle; nil while a request is in progress
	idle    *list.List                 // net.Conn, longest idle first
	evicted uint64
	refused uint64
}

// New creates a limit of maxConns connections.
func New(maxConns int) *Limit {
	return &Limit{maxConns: maxConns, open: map[net.Conn]*list.Element{}, idle: list.New()}
}

// Bind makes a server report its connections to the limit; they have to come from Listen.
func (l *Limit) Bind(server *http.Server) { server.ConnState = l.onStateChange }

// Listen returns a listener that enforces the limit.
func (l *Limit) Listen(ln net.Listener) net.Listener { return listener{ln, l} }

// Counts returns how many connections are open, were evicted for new ones, and were refused.
func (l *Limit) Counts() (open int, evicted, refused uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open), l.evicted, l.refused
}

type listener struct {
	net.Listener
	limit *Limit
}

// Accept returns the next connection that the limit admits.
func (ln listener) Accept() (net.Conn, error) {
	for {
		c, err := ln.Listener.Accept()
		if err != nil || ln.limit.admit() {
			return c, err
		}
		c.Close()
	}
}

// admit reports whether another connection may be opened. At the limit it evicts the longest idle connection.
func (l *Limit) admit() bool {
	l.mu.Lock()
	if len(l.open) < l.maxConns {
		l.mu.Unlock()
		return true
	}
	longestIdle := l.idle.Front()
	if longestIdle == nil {
		l.refused++
		l.mu.Unlock()
		return false
	}
	c := longestIdle.Value.(net.Conn)
	l.remove(c)
	l.evicted++
	l.mu.Unlock()
	evict(c)
	return true
}

// Drainer is a connection that can be closed without losing a request that has just arrived on it.
type Drainer interface {
	// Drain closes the connection as soon as no request has arrived on it that is not answered.
	Drain()
}

// evict closes an idle connection.
func evict(c net.Conn) {
	if drainer, ok := c.(Drainer); ok {
		drainer.Drain()
		return
	}
	c.Close()
}

// onStateChange tracks the state of a connection; see http.Server.ConnState.
func (l *Limit) onStateChange(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.open[c] = l.idle.PushBack(c)
	case http.StateActive:
		l.removeFromIdle(c)
	case http.StateIdle:
		l.removeFromIdle(c)
		if _, known := l.open[c]; known {
			l.open[c] = l.idle.PushBack(c)
		}
	case http.StateClosed, http.StateHijacked:
		l.remove(c)
	}
}

// removeFromIdle removes a connection from the idle list. The lock must be held.
func (l *Limit) removeFromIdle(c net.Conn) {
	if element := l.open[c]; element != nil {
		l.idle.Remove(element)
		l.open[c] = nil
	}
}

// remove stops tracking a connection. The lock must be held.
func (l *Limit) remove(c net.Conn) {
	l.removeFromIdle(c)
	delete(l.open, c)
}
