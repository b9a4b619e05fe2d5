package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"peathollow/internal/keepalive"
)

// session is a client with one connection. The platform chooses the front when the connection is opened; the client keeps it
// until the connection ends, whether or not the front stays ready.
type session struct {
	front atomic.Int64 // of the last connection; net/http may still be dialing when a request has ended
	http  *http.Client
}

// sessionPool holds the clients that are idle between two requests.
type sessionPool struct {
	load *load

	mu   sync.Mutex
	idle []*session
}

// maxIdleSessions limits the idle connections; further ones are closed after their request.
const maxIdleSessions = 400

// frontHost stands for the front that the platform chooses.
const frontHost = "fronts.example"

// acquire returns an idle session. It returns one with a new connection if none is idle or forceNew is set, as for retries.
func (p *sessionPool) acquire(forceNew bool) *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 || forceNew {
		return p.open()
	}
	i := rand.IntN(n)
	s := p.idle[i]
	p.idle[i] = p.idle[n-1]
	p.idle = p.idle[:n-1]
	return s
}

func (p *sessionPool) open() *session {
	s := &session{}
	dial := keepalive.TCP{Relay: p.load.run.relayAddress, From: clients}
	s.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		front := p.load.pickFront()
		s.front.Store(int64(front))
		return dial.Dial(ctx, p.load.run.system.Fronts[front], connectTimeout, clientTimeout)
	}}}
	return s
}

// release returns a session to the pool.
func (p *sessionPool) release(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdleSessions {
		s.http.CloseIdleConnections()
		return
	}
	p.idle = append(p.idle, s)
}

// close closes the idle connections.
func (p *sessionPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.idle {
		s.http.CloseIdleConnections()
	}
	p.idle = nil
}
