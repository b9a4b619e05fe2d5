package proxy

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"peathollow/internal/keepalive"
)

// http.Server.Shutdown closes a connection that it takes for idle, though a request may have arrived on it: the request is then
// lost, and if it is read at the same moment, nobody can tell whether it was sent on. It resets the connections that wait to be
// accepted, too. A busy process reads and accepts late, so that this is not rare there. Therefore the proxy drains connections
// itself: whoever reads from the connection decides, after a last look whether a request has arrived.

// interrupted is a deadline that has passed.
var interrupted = time.Unix(1, 0)

// drainState is the part of a connection's state that decides whether it may be closed.
type drainState struct {
	mu          sync.Mutex
	used        bool // a request, or its first bytes, have been read
	reading     bool // the same, and it is not answered yet
	draining    bool
	evicted     bool // draining, even if the connection has not been used
	interrupted bool // the read deadline has passed because of draining
}

// mayClose reports whether the connection is to be closed unless a request has arrived.
func (d *drainState) mayClose() bool { return d.draining && !d.reading && (d.used || d.evicted) }

// Drain closes the connection as soon as no request has arrived on it that is not answered.
func (c *timeoutConn) Drain() {
	c.drain.mu.Lock()
	defer c.drain.mu.Unlock()
	c.drain.evicted = true
	c.drainLocked()
}

// finish is Drain, but for a connection that is still to carry its first request, which has a while for it.
func (c *timeoutConn) finish() {
	c.drain.mu.Lock()
	defer c.drain.mu.Unlock()
	c.drainLocked()
}

func (c *timeoutConn) drainLocked() {
	c.drain.draining = true
	if c.drain.mayClose() {
		c.interruptLocked()
	}
}

// interruptLocked ends a read that is waiting for the next request. The lock must be held.
func (c *timeoutConn) interruptLocked() error {
	c.drain.interrupted = true
	return c.Conn.SetReadDeadline(interrupted)
}

// Read reads from the connection. If the read was interrupted, it reads what has arrived nevertheless.
func (c *timeoutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.resume() {
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		c.drain.mu.Lock()
		defer c.drain.mu.Unlock()
		c.drain.used, c.drain.reading = true, true
		c.continueLocked()
	}
	return n, err
}

// resume reports whether a read that was interrupted is to go on, since bytes have arrived.
func (c *timeoutConn) resume() bool {
	c.drain.mu.Lock()
	defer c.drain.mu.Unlock()
	if !c.drain.interrupted || !keepalive.Readable(c.Conn) {
		return false
	}
	c.continueLocked()
	return true
}

// continueLocked gives a request whose first bytes have arrived the time for its header, if the connection was interrupted
// meanwhile. The lock must be held.
func (c *timeoutConn) continueLocked() {
	if !c.drain.interrupted {
		return
	}
	c.drain.interrupted = false
	header, _ := c.timeouts()
	c.Conn.SetReadDeadline(time.Now().Add(header)) // the next read reports an error
}

// openConns holds the open connections of clients.
type openConns struct {
	mu       sync.Mutex
	conns    map[*timeoutConn]struct{}
	draining bool
}

func (o *openConns) add(c *timeoutConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conns[c] = struct{}{}
	if o.draining {
		c.finish()
	}
}

func (o *openConns) remove(c *timeoutConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.conns, c)
}

// drain drains all connections, and those that are added later.
func (o *openConns) drain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.draining = true
	for c := range o.conns {
		c.finish()
	}
}

func (o *openConns) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.conns)
}

// drainPollInterval is how often the proxy looks whether connections have been accepted, or have ended.
const drainPollInterval = 5 * time.Millisecond

// awaitNone reports whether all connections were closed within the given time.
func (o *openConns) awaitNone(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); o.count() > 0; time.Sleep(drainPollInterval) {
		if !time.Now().Before(end) {
			return false
		}
	}
	return true
}

// timeoutListener accepts connections that apply the current timeouts and can be drained.
type timeoutListener struct {
	net.Listener
	timeouts func() (header, idle time.Duration)
	open     *openConns
}

// newTimeoutListener returns a listener whose connections are accepted from another one.
func newTimeoutListener(ln net.Listener, timeouts func() (header, idle time.Duration)) *timeoutListener {
	return &timeoutListener{ln, timeouts, &openConns{conns: map[*timeoutConn]struct{}{}}}
}

// Accept returns the next connection.
func (l *timeoutListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &timeoutConn{Conn: accepted, timeouts: l.timeouts, open: l.open}
	l.open.add(c)
	return c, nil
}

// drain accepts no further connections and drains those that are open. Connections that wait to be accepted, which the end of the
// listener would reset, are accepted before, until the given time.
func (l *timeoutListener) drain(until time.Time) {
	for keepalive.Pending(l.Listener) && time.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
	l.Close()
	l.open.drain()
}
