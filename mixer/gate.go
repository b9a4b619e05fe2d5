package mixer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// gate keeps client connections within their share of the descriptors. Against silent ones by the hundreds, behind
// which the usual clients would wait unaccepted: one more than the share costs another its place, first of all one
// that has yet to send a whole head, then an idle one, whose client opens another. While all have a request in hand
// the next waits. A client that connects and asks at once keeps its place in either case but one: when the share is
// taken by others as new as itself.
type gate struct {
	net.Listener
	most  int
	young time.Duration // so long a new connection is spared while one lies idle
	spare time.Duration // so long an idle one is

	mu    sync.Mutex
	room  sync.Cond
	conns map[*client]bool
	shut  bool
}

// client is one client connection.
type client struct {
	*net.TCPConn
	heads *heads
	state http.ConnState
	since time.Time
}

func (c *client) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.heads.feed(b[:n])
	return n, err
}

type clientKey struct{}

// withClient lets a handler find its connection.
func withClient(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, c)
}

func newGate(ln net.Listener, lim *Limits) *gate {
	g := &gate{Listener: ln, most: lim.Clients, young: lim.ClientYoung, spare: lim.ClientSpare, conns: map[*client]bool{}}
	g.room.L = &g.mu
	return g
}

func (g *gate) Accept() (net.Conn, error) {
	nc, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		nc.Close()
		return nil, &net.OpError{Op: "accept", Net: nc.LocalAddr().Network(), Err: net.UnknownNetworkError("not TCP")}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// Only now that somebody is there to take it is a place made free.
	for len(g.conns) >= g.most && !g.shut {
		if c := g.worst(time.Now()); c != nil {
			delete(g.conns, c)
			c.Close()
			continue
		}
		g.room.Wait()
	}
	c := &client{TCPConn: tcp, heads: newHeads(), since: time.Now()}
	g.conns[c] = true
	return c, nil
}

// worst is the connection to close first; nil if all have a request in hand.
func (g *gate) worst(now time.Time) (worst *client) {
	rank := func(c *client) int {
		fresh := now.Sub(c.since)
		switch {
		case c.state == http.StateNew && fresh >= g.young:
			return 4
		case c.state == http.StateIdle && fresh >= g.spare:
			return 3
		case c.state == http.StateNew:
			return 2 // hundreds at once that say nothing must not cost those in use their places
		case c.state == http.StateIdle:
			return 1
		}
		return 0
	}
	best := 0
	for c := range g.conns {
		if r := rank(c); r > best || r > 0 && r == best && c.since.Before(worst.since) {
			worst, best = c, r
		}
	}
	return worst
}

var errTwoLengths = errors.New("a head tells both Content-Length and Transfer-Encoding, or can't be followed")

// pass is asked for each request before anything else. net/http calls one that was sent behind another an idle
// connection still, so it is marked as in hand here.
func (g *gate) pass(r *http.Request) error {
	c, ok := r.Context().Value(clientKey{}).(*client)
	if !ok {
		return nil
	}
	g.state(c, http.StateActive)
	if !c.heads.next() {
		return errTwoLengths
	}
	return nil
}

func (g *gate) Close() error {
	g.mu.Lock()
	g.shut = true
	g.room.Broadcast()
	g.mu.Unlock()
	return g.Listener.Close()
}

func (g *gate) state(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*client)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c.state, c.since = s, time.Now()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(g.conns, c)
	}
	g.room.Signal()
}
