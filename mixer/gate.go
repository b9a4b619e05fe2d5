package mixer

import (
	"net"
	"net/http"
	"slices"
	"sync"
)

// gate keeps client connections within their share of the descriptors: one more than that costs the one that has
// been idle longest, whose client opens another. Busy ones are never closed.
type gate struct {
	net.Listener
	most int

	mu   sync.Mutex
	n    int
	idle []net.Conn // longest idle first
}

func newGate(ln net.Listener, most int) *gate { return &gate{Listener: ln, most: most} }

func (g *gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	var old net.Conn
	g.mu.Lock()
	if g.n++; g.n > g.most && len(g.idle) > 0 {
		old, g.idle = g.idle[0], g.idle[1:]
	}
	g.mu.Unlock()
	if old != nil {
		old.Close()
	}
	return c, nil
}

func (g *gate) state(c net.Conn, s http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle = slices.DeleteFunc(g.idle, func(x net.Conn) bool { return x == c })
	switch s {
	case http.StateIdle:
		g.idle = append(g.idle, c)
	case http.StateClosed, http.StateHijacked:
		g.n--
	}
}
