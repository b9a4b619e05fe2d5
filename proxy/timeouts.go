package proxy

import (
	"net"
	"time"
)

// The configuration sets the timeouts for reading a client's header and for idle connections, and may change while connections
// are open. net/http reads its own timeouts without a lock, so it is given two fixed placeholders, one for the header timeout and
// one for the idle timeout. Each connection replaces a placeholder by the current timeout when net/http sets a deadline.
const (
	idleTimeoutPlaceholder   = 2 * time.Hour
	headerTimeoutPlaceholder = time.Hour

	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second

	// Clients keep to the timeouts that they know. A change may not have reached them yet, or may have come while a connection
	// was idle, so the configured values are the least that clients are given.
	idleTimeoutFactor  = 2
	headerTimeoutSlack = time.Second
	maxTimeout         = 10 * time.Minute
)

// timeouts returns the header and idle timeouts that the proxy currently enforces.
func (p *Proxy) timeouts() (header, idle time.Duration) {
	header, idle = defaultHeaderTimeout, defaultIdleTimeout
	if config := p.config.Load(); config != nil {
		if config.Limits.HeaderTimeout > 0 {
			header = config.Limits.HeaderTimeout
		}
		if config.Limits.IdleTimeout > 0 {
			idle = config.Limits.IdleTimeout
		}
	}
	return min(header+headerTimeoutSlack, maxTimeout), min(idle*idleTimeoutFactor, maxTimeout)
}

// timeoutConn is the connection of a client.
type timeoutConn struct {
	net.Conn
	timeouts           func() (header, idle time.Duration)
	open               *openConns // holds it until it is closed
	drain              drainState // see drain.go
	writeDeadlineSetAt time.Time  // when the write deadline was last set; used only by the goroutine that writes
}

// writeDeadlineInterval is how often the write deadline is renewed. A client is given at least the idle timeout less this
// interval.
const writeDeadlineInterval = time.Second

// Write renews the write deadline, so that a client that reads nothing of its answer for the idle timeout is dropped.
func (c *timeoutConn) Write(b []byte) (int, error) {
	if now := time.Now(); now.Sub(c.writeDeadlineSetAt) > writeDeadlineInterval {
		_, idle := c.timeouts()
		if err := c.Conn.SetWriteDeadline(now.Add(idle)); err != nil {
			return 0, err
		}
		c.writeDeadlineSetAt = now
	}
	return c.Conn.Write(b)
}

// SetWriteDeadline is called by net/http, which removes the deadline after each request.
func (c *timeoutConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadlineSetAt = time.Time{}
	return c.Conn.SetWriteDeadline(t)
}

// Close closes the connection.
func (c *timeoutConn) Close() error {
	c.open.remove(c)
	return c.Conn.Close()
}

// SetReadDeadline replaces a placeholder deadline by one that uses the current timeout. A connection that waits for a request while it
// is drained is interrupted instead.
func (c *timeoutConn) SetReadDeadline(t time.Time) error {
	c.drain.mu.Lock()
	defer c.drain.mu.Unlock()
	c.drain.interrupted = false
	if t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	header, idle := c.timeouts()
	switch remaining := time.Until(t); {
	case remaining > (idleTimeoutPlaceholder+headerTimeoutPlaceholder)/2:
		c.drain.reading = false
		t = time.Now().Add(idle)
	case remaining > headerTimeoutPlaceholder/2:
		t = time.Now().Add(header)
	default:
		return c.Conn.SetReadDeadline(t)
	}
	if c.drain.mayClose() {
		return c.interruptLocked()
	}
	return c.Conn.SetReadDeadline(t)
}
