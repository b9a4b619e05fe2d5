package proxy

import (
	"net"
	"time"
)

// The configuration says how long a client may take for its head and how long a connection may rest, and may change while
// connections are open. net/http reads its own bounds without a lock, so it is given two that stand for "the head" and
// "the rest", and each connection puts the bound of the moment in their place when one is set.
const (
	restSign = 2 * time.Hour
	headSign = time.Hour

	restDefault = 15 * time.Second
	headDefault = 3 * time.Second

	// Clients keep within the bounds as they know them, and a change may not have reached them, or have come while a
	// connection rested: what is told is the least that they are given.
	restRoom = 2
	headRoom = time.Second
	timeMost = 10 * time.Minute
)

// limits are the bounds of the moment.
func (p *Proxy) limits() (head, rest time.Duration) {
	head, rest = headDefault, restDefault
	if doc := p.doc.Load(); doc != nil {
		if doc.Limits.HeaderTimeout > 0 {
			head = doc.Limits.HeaderTimeout
		}
		if doc.Limits.IdleTimeout > 0 {
			rest = doc.Limits.IdleTimeout
		}
	}
	return min(head+headRoom, timeMost), min(rest*restRoom, timeMost)
}

// limitedListener gives connections that go by the bounds of the moment.
type limitedListener struct {
	net.Listener
	limits func() (head, rest time.Duration)
}

func (l limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: c, limits: l.limits}, nil
}

type limitedConn struct {
	net.Conn
	limits  func() (head, rest time.Duration)
	boundAt time.Time // when the bound on writes was last set; used by the one goroutine that writes
}

// writeBoundEvery is how often the bound on writes is set anew: the least that one gets is the rest less that.
const writeBoundEvery = time.Second

// Write gives up a client that takes nothing of its answer for as long as a connection may rest.
func (c *limitedConn) Write(b []byte) (int, error) {
	if now := time.Now(); now.Sub(c.boundAt) > writeBoundEvery {
		_, rest := c.limits()
		if err := c.Conn.SetWriteDeadline(now.Add(rest)); err != nil {
			return 0, err
		}
		c.boundAt = now
	}
	return c.Conn.Write(b)
}

// SetReadDeadline puts the bound of the moment in the place of one that stands for it.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		head, rest := c.limits()
		switch left := time.Until(t); {
		case left > (restSign+headSign)/2:
			t = time.Now().Add(rest)
		case left > headSign/2:
			t = time.Now().Add(head)
		}
	}
	return c.Conn.SetReadDeadline(t)
}
