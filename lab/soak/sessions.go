package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"

	"peathollow/internal/keepalive"
)

// session is a client with one connection. The platform chooses a front when the connection is made; the client then keeps to it
// until the connection ends, be the front ready or not.
type session struct {
	front int // of the last connection
	http  *http.Client
}

// sessions are the clients that rest between two requests.
type sessions struct {
	load *load

	mu   sync.Mutex
	rest []*session
}

// restMost bounds the connections that rest; more than that are closed after their request.
const restMost = 400

// frontHost stands for whichever front the platform chooses.
const frontHost = "fronts.example"

// take gives a client that rests, or one with a new connection: there is none that rests, or the request is tried again.
func (p *sessions) take(anew bool) *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.rest)
	if n == 0 || anew {
		return p.open()
	}
	i := rand.IntN(n)
	s := p.rest[i]
	p.rest[i] = p.rest[n-1]
	p.rest = p.rest[:n-1]
	return s
}

func (p *sessions) open() *session {
	s := &session{}
	dial := keepalive.TCP{Relay: p.load.run.through, From: clients}
	s.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		s.front = p.load.pick()
		return dial.Dial(ctx, p.load.run.system.Fronts[s.front], connectTime, patience)
	}}}
	return s
}

// put lays a client by.
func (p *sessions) put(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.rest) >= restMost {
		s.http.CloseIdleConnections()
		return
	}
	p.rest = append(p.rest, s)
}

// close closes the connections that rest.
func (p *sessions) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.rest {
		s.http.CloseIdleConnections()
	}
	p.rest = nil
}
