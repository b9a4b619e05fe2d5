package mixer

import (
	"net"
	"net/http"
	"slices"
	"sync"
)

// gate keeps client connections within their share of the descriptors. One more than that costs the one that has
// been idle longest, whose client opens another; while all are busy the next waits unaccepted.
type gate struct {
	net.Listener
	most int

	mu   sync.Mutex
	room sync.Cond
	n    int
	idle []net.Conn // longest idle first
	shut bool
}

func newGate(ln net.Listener, most int) *gate {
	g := &gate{Listener: ln, most: most}
	g.room.L = &g.mu
	return g
}

func (g *gate) Accept() (net.Conn, error) {
	g.mu.Lock()
	for g.n >= g.most && !g.shut {
		if len(g.idle) == 0 {
			g.room.Wait()
			continue
		}
		old := g.idle[0]
		g.idle = g.idle[1:]
		old.Close()
		g.room.Wait()
	}
	g.mu.Unlock()
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	g.n++
	g.mu.Unlock()
	return c, nil
}

func (g *gate) Close() error {
	g.mu.Lock()
	g.shut = true
	g.room.Broadcast()
	g.mu.Unlock()
	return g.Listener.Close()
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
	g.room.Broadcast()
}
