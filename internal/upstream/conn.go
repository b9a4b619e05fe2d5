package upstream

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// conn is one connection. It holds no buffer while it is idle.
type conn struct {
	nc          *net.TCPConn
	raw         syscall.RawConn
	advanceFunc func(fd uintptr) bool // conn.advance as a method value, allocated once
	abort       func()                // resets nc; allocated once
	generation  uint32                // generation of the pool when it was dialed
	used        bool                  // a request was sent over it
	identified  bool                  // the searcher is known to be the peer
	dialedAt    time.Time             // not before it was established: taken after the dial returned
	idleSince   time.Time             // zero if it was never idle
	idleTimeout time.Duration         // how long it may stay idle
	peeked      [1]byte

	// State of the exchange in progress.
	exchange  *Exchange
	scratch   *scratchBuffer
	now       time.Time
	stage     stage
	wrote     bool
	readCount int
	err       error
}

type stage uint8

const (
	checking stage = iota
	reading
	stale // closed, or received data, while idle
)

// newConn wraps a connection that was just dialed.
func newConn(nc *net.TCPConn, generation uint32, idleTimeout time.Duration) (*conn, error) {
	raw, err := nc.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &conn{nc: nc, raw: raw, generation: generation, idleTimeout: idleTimeout, dialedAt: time.Now()}
	c.advanceFunc = c.advance
	c.abort = func() {
		nc.SetLinger(0) // reset instead of close, see Pool.closeFinished
		nc.Close()
	}
	return c, nil
}

// advance runs an exchange up to the first bytes of the response inside a single RawConn.Read. It checks that the
// connection is open and has nothing to read, writes the request and returns false; RawConn.Read calls it again once there
// is data to read. Reading right after the write would find nothing, so this saves one of four system calls. No wakeup is
// lost, because the read of the check found the socket empty after the poller was armed.
func (c *conn) advance(fd uintptr) bool {
	if c.stage == checking {
		if n, err := readFD(fd, c.peeked[:]); n >= 0 || err != syscall.EAGAIN {
			c.stage, c.err = stale, err
			if err == nil {
				c.err = errStale
			}
			return true
		}
		head, err := finishHead(c.scratch.buf, c.exchange.AdvertisedDeadline, c.now)
		if err == nil {
			var n int64
			n, err = writeRequest(c.nc, head, c.exchange.Body)
			c.wrote = n > 0
		}
		if c.err = err; err != nil {
			return true
		}
		c.stage = reading
		return false
	}
	c.readCount, c.err = readFD(fd, c.scratch.buf[:cap(c.scratch.buf)])
	if c.err == syscall.EAGAIN {
		return false
	}
	if c.readCount == 0 && c.err == nil {
		c.err = io.EOF
	}
	return true
}

var errStale = errors.New("connection was closed or received data while idle")

func readFD(fd uintptr, b []byte) (int, error) {
	for {
		n, err := syscall.Read(int(fd), b)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// roundTrip sends the request and reads its response. retry means that nothing was written because the connection was
// closed, or received data, while idle; reuse means that the connection may serve further requests.
func (c *conn) roundTrip(exchange *Exchange, scratch *scratchBuffer, options *Options, now time.Time) (response Response,
	reuse, retry bool) {
	c.exchange, c.scratch, c.now = exchange, scratch, now
	c.stage, c.wrote, c.readCount, c.err = checking, false, 0, nil
	defer func() { c.exchange, c.scratch, c.err = nil, nil, nil }()
	if response.NewConnection = c.idleSince.IsZero(); !response.NewConnection {
		response.IdleTime = now.Sub(c.idleSince)
	}
	step := "write"
	err := c.nc.SetDeadline(exchange.Deadline)
	if err == nil {
		if err = c.raw.Read(c.advanceFunc); err == nil {
			err = c.err
		}
	}
	response.Wrote = c.wrote
	var responseHead head
	reader := responseReader{conn: c.nc, buf: scratch.buf[:cap(scratch.buf)], end: c.readCount}
	connEnded := false
	if err == nil {
		responseHead, connEnded, step, err = reader.readResponse(&response, exchange, !c.used, options)
	} else if c.stage == reading {
		step = "read head"
	}
	notCancelled := exchange.clearAbort()
	c.used = c.used || c.wrote
	if err == nil {
		c.idleTimeout = options.IdleTimeout
		if responseHead.idleTimeout >= 0 {
			c.idleTimeout = min(c.idleTimeout, responseHead.idleTimeout)
		}
		// Bytes after a complete response belong to no request, and more of them may follow, so the connection is not
		// reused.
		return response, notCancelled && responseHead.reusable && !connEnded && reader.start == reader.end &&
			c.idleTimeout > 0, false
	}
	deadlinePassed := err == errDeadlinePassed || errors.Is(err, os.ErrDeadlineExceeded)
	if !response.NewConnection && !c.wrote && notCancelled && !deadlinePassed {
		return response, false, true
	}
	response.Outcome = c.outcome(err, notCancelled)
	response.Err = errors.Wrapf(err, "%s, searcher %s", step, c.nc.RemoteAddr())
	return response, notCancelled && deadlinePassed && !c.wrote, false // the connection was not used and stays valid
}

// outcome returns the outcome of an exchange that failed with err.
func (c *conn) outcome(err error, notCancelled bool) Outcome {
	if _, ok := err.(invalidResponse); ok {
		return InvalidResponse
	}
	switch {
	case !notCancelled:
		return Cancelled
	case !c.wrote:
		return ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return TimedOut
	}
	return ConnectionLost
}
