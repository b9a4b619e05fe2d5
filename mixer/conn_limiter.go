package mixer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// connLimiter is a listener that keeps client connections within their share of the descriptors. Without it, hundreds
// of silent connections would keep ordinary clients from being accepted. A connection beyond the limit evicts another:
// first one that has not sent a whole request head yet, then an idle one, whose client can reconnect. While every
// connection has a request in flight, the next one waits. A client that sends its request right after connecting is
// evicted in one case only: if the limit is used up by connections as new as its own.
type connLimiter struct {
	net.Listener
	maxConns  int
	newGrace  time.Duration // a new connection younger than this is evicted only after idle ones older than idleGrace
	idleGrace time.Duration // an idle connection younger than this is evicted last

	mu     sync.Mutex
	freed  sync.Cond
	conns  map[*client]bool
	closed bool
}

// client is one client connection.
type client struct {
	*net.TCPConn
	framing *framing
	state   http.ConnState
	since   time.Time
}

func (c *client) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.framing.feed(b[:n])
	return n, err
}

type clientKey struct{}

// withClient stores the connection in the context, so that the handler finds it.
func withClient(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, c)
}

func newConnLimiter(ln net.Listener, limits *Limits) *connLimiter {
	l := &connLimiter{Listener: ln, maxConns: limits.MaxClients, newGrace: limits.NewConnGrace, idleGrace: limits.IdleConnGrace,
		conns: map[*client]bool{}}
	l.freed.L = &l.mu
	return l
}

func (l *connLimiter) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		nc.Close()
		return nil, &net.OpError{Op: "accept", Net: nc.LocalAddr().Network(), Err: net.UnknownNetworkError("not TCP")}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// A connection is evicted only when another has been accepted and needs its place.
	for len(l.conns) >= l.maxConns && !l.closed {
		if c := l.evictionCandidate(time.Now()); c != nil {
			delete(l.conns, c)
			c.Close()
			continue
		}
		l.freed.Wait()
	}
	c := &client{TCPConn: tcp, framing: newFraming(), since: time.Now()}
	l.conns[c] = true
	return c, nil
}

// evictionCandidate returns the connection to close first, or nil if all have a request in flight.
func (l *connLimiter) evictionCandidate(now time.Time) (candidate *client) {
	rank := func(c *client) int {
		age := now.Sub(c.since)
		switch {
		case c.state == http.StateNew && age >= l.newGrace:
			return 4
		case c.state == http.StateIdle && age >= l.idleGrace:
			return 3
		case c.state == http.StateNew:
			return 2 // hundreds of new silent connections must not evict those in use
		case c.state == http.StateIdle:
			return 1
		}
		return 0
	}
	highest := 0
	for c := range l.conns {
		if r := rank(c); r > highest || r > 0 && r == highest && c.since.Before(candidate.since) {
			candidate, highest = c, r
		}
	}
	return candidate
}

var errBadFraming = errors.New("request head has both Content-Length and Transfer-Encoding, or its framing is invalid")

// admit is called for each request before anything else. net/http still reports a connection as idle when its next
// request was pipelined behind another, so the connection is marked active here.
func (l *connLimiter) admit(r *http.Request) error {
	c, ok := r.Context().Value(clientKey{}).(*client)
	if !ok {
		return nil
	}
	l.state(c, http.StateActive)
	if !c.framing.allowNext() {
		return errBadFraming
	}
	return nil
}

func (l *connLimiter) Close() error {
	l.mu.Lock()
	l.closed = true
	l.freed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

func (l *connLimiter) state(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*client)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.state, c.since = s, time.Now()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(l.conns, c)
	}
	l.freed.Signal()
}
