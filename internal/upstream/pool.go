package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"peathollow/internal/keepalive"
)

// Options configures a pool. A zero field is replaced by the default given in its comment, except ProbePath, Probes and
// ConfirmationTTL.
type Options struct {
	MaxConns       int           // open connections, including those being dialed; default 64
	ConnectTimeout time.Duration // default 1 s
	IdleTimeout    time.Duration // how long a connection may stay idle before it is closed; default 10 s
	MaxBodyBytes   int           // maximum length of a response body; default 1 MB
	MaxHeaderBytes int           // maximum length of a response head; default 16 KB
	// UserTimeout is TCP_USER_TIMEOUT. A machine that lost power sends nothing, neither FIN nor RST, so that only this
	// timeout ends the connection. Default 3 s.
	UserTimeout time.Duration
	// ProbePath is the path at which the searcher reports its id; see identity.go. If empty, searchers are not probed.
	ProbePath string
	// Probes counts the probes if it is not nil.
	Probes *ProbeCounts
	// ConfirmationTTL is how long a response from the searcher confirms that it is at its address; with 0 it does not.
	ConfirmationTTL time.Duration
	// KeepAlive is how long a connection stays idle before the kernel sends keep-alive probes; default 2 s, negative
	// disables them.
	KeepAlive time.Duration
}

const defaultMaxConns = 64

// setDefault replaces a zero value.
func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

// Pool holds the connections to the address of one searcher.
type Pool struct {
	addr   string
	opts   Options // Reconfigure changes MaxConns and ProbePath, which mu guards
	dialer net.Dialer

	mu          sync.Mutex
	idle        []*conn // most recently used last
	openCount   int     // connections that are idle, in use or being dialed
	generation  uint32  // incremented by Retire; connections of an earlier generation are not reused
	closed      bool
	sweepTimer  *time.Timer
	nextSweep   time.Time // when the next sweep is due; zero if none is scheduled
	confirmedAt time.Time // when a response last confirmed that the searcher is at its address; zero if none has
}

// NewPool creates a pool without dialing. The address is an IP address with a port.
func NewPool(addr string, options Options) *Pool {
	setDefault(&options.MaxConns, defaultMaxConns)
	setDefault(&options.ConnectTimeout, time.Second)
	setDefault(&options.IdleTimeout, 10*time.Second)
	setDefault(&options.MaxBodyBytes, 1<<20)
	setDefault(&options.MaxHeaderBytes, 16<<10)
	setDefault(&options.UserTimeout, 3*time.Second)
	setDefault(&options.KeepAlive, 2*time.Second)
	p := &Pool{addr: addr, opts: options}
	p.dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: options.KeepAlive > 0, Idle: options.KeepAlive,
		Interval: time.Second, Count: 3}
	p.dialer.KeepAlive = -1
	p.dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		return keepalive.SetUserTimeout(raw, options.UserTimeout)
	}
	return p
}

var (
	// ErrFull is returned in Response.Err when the maximum number of connections is in use.
	ErrFull = errors.New("maximum number of connections in use")
	// ErrClosed is returned in Response.Err when the pool is closed.
	ErrClosed = errors.New("pool is closed")
)

// Do sends the request of the exchange and blocks until its outcome is known. It uses the most recently used idle
// connection or dials a new one, and moves on to another connection only while no byte of the request has been written.
func (p *Pool) Do(exchange *Exchange) Response {
	scratch := scratchBuffers.Get().(*scratchBuffer)
	defer scratch.release()
	var err error
	if scratch.buf, err = encodeHead(scratch.buf[:0], &exchange.Request, p.addr); err != nil {
		return Response{Outcome: InvalidRequest, Err: errors.Wrapf(err, "encode, searcher %s", p.addr)}
	}
	now := time.Now()
	if !exchange.AdvertisedDeadline.IsZero() && exchange.AdvertisedDeadline.Sub(now) < time.Millisecond {
		return p.notConnected(exchange, errDeadlinePassed) // too late to use up a connection
	}
	// It counts from the decision to send, which is based on what was known then.
	connectDeadline := p.connectDeadline(exchange, now)
	carriers := exchange.earlierCarriers()
	for probes := 0; ; {
		c, err := p.acquire(now, carriers)
		if c == nil && err == nil {
			if c, err = p.dial(exchange, connectDeadline); err != nil {
				p.discard(nil)
				response := p.notConnected(exchange, err)
				response.Unreachable = response.Outcome == ConnectFailed &&
					!(isTimeout(err) && connectDeadline.Equal(exchange.Deadline))
				return response
			}
			now = time.Now()
		}
		if err != nil {
			return p.notConnected(exchange, err)
		}
		if !exchange.setAbort(c.abort) {
			p.release(c) // new connections are expensive: an unused one serves the next exchange
			return p.notConnected(exchange, errors.New("cancelled before the request was written"))
		}
		if !p.identityConfirmed(c, exchange) {
			if probes++; probes > maxProbedConns {
				p.discard(c)
				return p.notConnected(exchange, errIdentityUnknown)
			}
			result, response := p.identify(c, exchange, now, connectDeadline)
			now = time.Now()
			switch result {
			case probeRejected:
				return response
			case probeMatchedConnClosed:
				continue
			}
		}
		checkCarrier(c, carriers)
		response, reuse, retry := c.roundTrip(exchange, scratch, &p.opts, now)
		exchange.recordCarrier(c, &response)
		p.recordIdentity(c, &response, now)
		switch {
		case reuse:
			p.release(c)
		case retry:
			p.discard(c)
		default:
			p.closeFinished(c, &response)
		}
		if !retry {
			return response
		}
	}
}

// recordIdentity updates, from a response, whether the searcher is known to be at its address.
func (p *Pool) recordIdentity(c *conn, response *Response, writtenAt time.Time) {
	switch {
	case response.Outcome == Answered:
		p.confirmIdentity(c, writtenAt)
	case response.Misdirected():
		p.rejectIdentity(c)
	}
}

// closeFinished closes a connection whose exchange has ended. Without a valid response it resets the connection, so
// that the kernel discards what it has not delivered yet; a plain close would still send it. Data that has reached the
// peer may be read all the same.
func (p *Pool) closeFinished(c *conn, response *Response) {
	if response.Outcome != Answered && response.Outcome != NotExecuted {
		c.nc.SetLinger(0)
	}
	p.discard(c)
}

// notConnected completes an exchange that got no connection, or whose request was not written for another reason.
func (p *Pool) notConnected(exchange *Exchange, err error) Response {
	return p.unsentResponse(exchange, Response{Outcome: ConnectFailed, Err: errors.Wrapf(err, "connect, searcher %s", p.addr)})
}

// acquire returns the most recently used idle connection that is none of the excluded ones. It returns nil without an error if a
// connection may be dialed, and counts it as open; an excluded idle connection gives way to it if the maximum is reached.
func (p *Pool) acquire(now time.Time, excluded []*conn) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		expired := now.Sub(c.idleSince) >= c.idleTimeout
		if !expired && slices.Contains(excluded, c) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if !expired {
			return c, nil
		}
		p.openCount--
		c.nc.Close()
	}
	if p.openCount >= p.opts.MaxConns {
		if len(p.idle) == 0 {
			return nil, ErrFull
		}
		p.idle[0].nc.Close()
		p.idle = slices.Delete(p.idle, 0, 1)
		p.openCount--
	}
	p.openCount++
	return nil, nil
}

// isTimeout reports whether a dial ended by a timeout.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// connectDeadline returns when the connection has to be established and its peer identified.
func (p *Pool) connectDeadline(exchange *Exchange, now time.Time) time.Time {
	deadline := now.Add(p.opts.ConnectTimeout)
	if !exchange.Deadline.IsZero() && exchange.Deadline.Before(deadline) {
		return exchange.Deadline
	}
	return deadline
}

// dial establishes a connection. If the pool is retired meanwhile, release closes it.
func (p *Pool) dial(exchange *Exchange, deadline time.Time) (*conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if !exchange.setAbort(cancel) {
		return nil, context.Canceled
	}
	p.mu.Lock()
	generation := p.generation
	p.mu.Unlock()
	nc, err := p.dialer.DialContext(ctx, "tcp", p.addr)
	exchange.clearAbort()
	if err != nil {
		return nil, err
	}
	return newConn(nc.(*net.TCPConn), generation, p.opts.IdleTimeout)
}

// discard closes a connection, or with nil releases the slot of one that was never established.
func (p *Pool) discard(c *conn) {
	if c != nil {
		c.nc.Close()
	}
	p.mu.Lock()
	p.openCount--
	p.mu.Unlock()
}

// release returns a connection to the pool. Its idle time counts from its last response, as it does at the searcher.
func (p *Pool) release(c *conn) {
	if c.wrote || c.idleSince.IsZero() {
		c.idleSince = time.Now()
	}
	c.wrote = false
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.generation != p.generation {
		p.openCount--
		c.nc.Close()
		return
	}
	p.idle = append(p.idle, c)
	p.scheduleSweep(c.idleSince.Add(c.idleTimeout))
}

// scheduleSweep makes sure that a sweep runs by the given time. Usually one is already scheduled, because connections
// are released in order of time.
func (p *Pool) scheduleSweep(at time.Time) {
	if !p.nextSweep.IsZero() && !at.Before(p.nextSweep) {
		return
	}
	p.nextSweep = at
	if wait := time.Until(at); p.sweepTimer == nil {
		p.sweepTimer = time.AfterFunc(wait, p.sweep)
	} else {
		p.sweepTimer.Reset(wait)
	}
}

// sweep closes connections whose idle timeout has passed.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, kept := time.Now(), p.idle[:0]
	var next time.Time
	for _, c := range p.idle {
		expiry := c.idleSince.Add(c.idleTimeout)
		if !now.Before(expiry) {
			p.openCount--
			c.nc.Close()
			continue
		}
		kept = append(kept, c)
		if next.IsZero() || expiry.Before(next) {
			next = expiry
		}
	}
	clear(p.idle[len(kept):])
	p.idle, p.nextSweep = kept, time.Time{}
	if !next.IsZero() {
		p.scheduleSweep(next)
	}
}

// Retire closes the idle connections, and those in use after their current request: another searcher may be using the
// address now.
func (p *Pool) Retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	for _, c := range p.idle {
		p.openCount--
		c.nc.Close()
	}
	clear(p.idle)
	p.idle, p.nextSweep = p.idle[:0], time.Time{}
	if p.sweepTimer != nil {
		p.sweepTimer.Stop()
	}
}

// Close retires the pool and rejects further exchanges. Requests in flight run to their end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Retire()
}

// Reconfigure changes the maximum number of connections (0 for the default) and the probe path for further exchanges.
// Connections that exceed a lower maximum are not closed early.
func (p *Pool) Reconfigure(maxConns int, probePath string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opts.MaxConns, p.opts.ProbePath = maxConns, probePath
	setDefault(&p.opts.MaxConns, defaultMaxConns)
}

// IdleConns returns the number of idle connections.
func (p *Pool) IdleConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// OpenConns returns the number of connections, including those in use or being dialed.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount
}
