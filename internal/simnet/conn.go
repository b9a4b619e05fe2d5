package simnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxInFlight is how many bytes may be in flight on a connection before writes block.
const maxInFlight = 256 << 10

// conn is one end of a connection.
type conn struct {
	host        *Host
	peer        *conn
	addr        string        // the address that was dialled
	userTimeout time.Duration // how long sent bytes may stay undelivered; 0 for no limit

	mu            sync.Mutex
	changed       chan struct{} // closed and replaced at each change
	in            []byte
	atEOF         bool  // all bytes that the peer sent before closing have arrived
	err           error // permanent error of this end
	closed        bool
	readDeadline  time.Time
	writeDeadline time.Time
	out           []segment // sent but not delivered, in order
	delivering    bool      // a delivery is scheduled
	inFlight      int       // number of bytes in out
}

// segment is a write on its way to the peer, or the end of the stream.
type segment struct {
	bytes []byte
	isEnd bool
	sent  time.Time
}

// pair returns the two ends of a new connection. The timeout applies to the dialling end.
func pair(from, to *Host, addr string, userTimeout time.Duration) (near, far *conn) {
	near = &conn{host: from, addr: addr, userTimeout: userTimeout, changed: make(chan struct{})}
	far = &conn{host: to, addr: addr, changed: make(chan struct{})}
	near.peer, far.peer = far, near
	return near, far
}

// notify wakes all waiting calls. The caller holds the lock.
func (c *conn) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// fail ends the connection with an error, unless it has one already. Undelivered bytes are dropped.
func (c *conn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
		c.out, c.inFlight = nil, 0
		c.notify()
	}
}

// resetPeer resets the peer's end after the delay of the link, if the link is up then.
func (c *conn) resetPeer() {
	time.AfterFunc(c.host.net.delay(c.host.ip, c.peer.host.ip), func() {
		if c.host.net.connected(c.host, c.peer.host) {
			c.peer.fail(syscall.ECONNRESET)
		}
	})
}

// wait blocks until the connection changes or a deadline passes. The caller holds the lock, which is released meanwhile.
func (c *conn) wait(deadline time.Time) error {
	changed := c.changed
	c.mu.Unlock()
	defer c.mu.Lock()
	if deadline.IsZero() {
		<-changed
		return nil
	}
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return os.ErrDeadlineExceeded
	}
	t := time.NewTimer(remaining)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	}
	return nil
}

func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case len(c.in) > 0:
			n := copy(b, c.in)
			c.in = c.in[n:]
			c.notify()
			return n, nil
		case c.err != nil:
			return 0, c.err
		case c.atEOF:
			return 0, io.EOF
		case len(b) == 0:
			return 0, nil
		}
		c.wait(c.readDeadline)
	}
}

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case c.err != nil:
			return 0, c.err
		case !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline):
			return 0, os.ErrDeadlineExceeded
		}
		if c.inFlight < maxInFlight {
			break
		}
		c.wait(c.writeDeadline)
	}
	c.send(segment{bytes: append([]byte(nil), b...), sent: time.Now()})
	return len(b), nil
}

// send queues a segment and schedules its delivery. The caller holds the lock.
func (c *conn) send(s segment) {
	c.out = append(c.out, s)
	c.inFlight += len(s.bytes)
	if !c.delivering {
		c.delivering = true
		time.AfterFunc(c.host.net.delay(c.host.ip, c.peer.host.ip), c.deliver)
	}
}

// deliver delivers the queued segments in order, or retries later while the link is down.
func (c *conn) deliver() {
	connected := c.host.net.connected(c.host, c.peer.host)
	c.mu.Lock()
	if c.err != nil || len(c.out) == 0 {
		c.delivering = false
		c.mu.Unlock()
		return
	}
	if !connected {
		timedOut := c.userTimeout > 0 && time.Since(c.out[0].sent) > c.userTimeout
		c.mu.Unlock()
		if timedOut {
			c.fail(syscall.ETIMEDOUT)
		}
		// If one of the processes has ended, its bytes may stay undelivered for ever. They have no effect, so the delivery is
		// given up.
		if timedOut || c.processEnded() {
			c.mu.Lock()
			c.delivering = false
			c.mu.Unlock()
			return
		}
		time.AfterFunc(resendInterval, c.deliver)
		return
	}
	out := c.out
	c.out, c.inFlight, c.delivering = nil, 0, false
	c.notify()
	c.mu.Unlock()
	c.peer.receive(out)
}

// processEnded reports whether one of the two processes has ended.
func (c *conn) processEnded() bool {
	c.host.net.mu.Lock()
	defer c.host.net.mu.Unlock()
	return c.host.ended || c.peer.host.ended
}

// receive appends delivered segments to the input of this end, or answers with a reset if it is closed.
func (c *conn) receive(segments []segment) {
	c.mu.Lock()
	if c.closed || c.err != nil {
		reset := c.closed
		c.mu.Unlock()
		if reset && len(segments[0].bytes) > 0 {
			c.resetPeer() // bytes arrived at a closed end
		}
		return
	}
	for _, s := range segments {
		c.in = append(c.in, s.bytes...)
		c.atEOF = c.atEOF || s.isEnd
	}
	c.notify()
	c.mu.Unlock()
}

func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.closed = true
	unread := len(c.in) > 0
	if c.err == nil && !unread {
		c.send(segment{isEnd: true, sent: time.Now()})
	}
	c.notify()
	c.mu.Unlock()
	if unread {
		c.resetPeer()
	}
	c.host.net.mu.Lock()
	delete(c.host.conns, c)
	c.host.net.mu.Unlock()
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return address(c.host.ip, c.addr) }
func (c *conn) RemoteAddr() net.Addr { return address(c.peer.host.ip, c.addr) }

func (c *conn) SetDeadline(t time.Time) error {
	return c.setDeadline(func() { c.readDeadline, c.writeDeadline = t, t })
}

func (c *conn) SetReadDeadline(t time.Time) error {
	return c.setDeadline(func() { c.readDeadline = t })
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	return c.setDeadline(func() { c.writeDeadline = t })
}

// setDeadline changes a deadline and wakes the calls that wait for the former one.
func (c *conn) setDeadline(change func()) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	c.notify()
	return nil
}
