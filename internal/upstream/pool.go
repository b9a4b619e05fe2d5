package upstream

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"peathollow/internal/keepalive"
)

// Options bound a pool. Zero fields get the defaults told here.
type Options struct {
	ConnMost       int           // connections in all, those being dialled included; 64
	ConnectTimeout time.Duration // 1 s
	IdleMost       time.Duration // idle connections are closed after it; 10 s
	BodyMost       int           // 1 MB
	HeaderMost     int           // of an answer's head; 16 KB
	// SilenceMost is TCP_USER_TIMEOUT: a machine without power says nothing, and only this ends the connection; 3 s.
	SilenceMost time.Duration
	// ProbePath is where the searcher says who it is; see identity.go. If empty, nobody is asked.
	ProbePath string
	// Probes counts probes, if not nil.
	Probes *ProbeCounts
	// VouchFor is how long an answer of the searcher vouches for its address; 0: not at all.
	VouchFor time.Duration
	// KeepAlive is how long a connection is silent before the kernel asks whether its peer is there; 2 s, negative:
	// never.
	KeepAlive time.Duration
}

const connMostUsual = 64

func orElse[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Pool holds the connections to one searcher's address.
type Pool struct {
	addr   string
	opts   Options // ConnMost and ProbePath may change, under mu
	dialer net.Dialer

	mu     sync.Mutex
	idle   []*conn // the most recently used last
	open   int     // idle, in use and being dialled
	life   uint32  // connections of an earlier one are not used again
	closed bool
	sweeps *time.Timer
	next   time.Time // when the next sweep is due; zero: none is
	sign   time.Time // when the searcher was last at its address, by its answers; zero: it never was
}

// NewPool makes a pool that dials nothing yet. The address is an IP number with a port.
func NewPool(addr string, o Options) *Pool {
	orElse(&o.ConnMost, connMostUsual)
	orElse(&o.ConnectTimeout, time.Second)
	orElse(&o.IdleMost, 10*time.Second)
	orElse(&o.BodyMost, 1<<20)
	orElse(&o.HeaderMost, 16<<10)
	orElse(&o.SilenceMost, 3*time.Second)
	orElse(&o.KeepAlive, 2*time.Second)
	p := &Pool{addr: addr, opts: o}
	p.dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: o.KeepAlive > 0, Idle: o.KeepAlive, Interval: time.Second, Count: 3}
	p.dialer.KeepAlive = -1
	p.dialer.Control = func(_, _ string, raw syscall.RawConn) error { return keepalive.SetSilence(raw, o.SilenceMost) }
	return p
}

var (
	// ErrFull is why a call got no connection: as many as may be are in use.
	ErrFull = errors.New("as many connections as may be are in use")
	// ErrClosed is why a call got no connection of a pool that was closed.
	ErrClosed = errors.New("pool is closed")
)

// Do sends the call's request and blocks until its outcome is known. It takes the most recently used idle connection
// or dials one, and turns to the next connection only while no byte of the request has been written.
func (p *Pool) Do(call *Call) Answer {
	sc := scratches.Get().(*scratch)
	defer sc.free()
	var err error
	if sc.buf, err = encode(sc.buf[:0], &call.Request, p.addr); err != nil {
		return Answer{Outcome: Unsendable, Err: errors.Wrapf(err, "encode, searcher %s", p.addr)}
	}
	now := time.Now()
	if !call.ToldDeadline.IsZero() && call.ToldDeadline.Sub(now) < time.Millisecond {
		return p.unsent(call, errToldPassed) // not worth a connection
	}
	connected := p.connectBy(call, now) // what is sent follows what was known when it was decided
	for probes := 0; ; {
		c, err := p.take(now)
		if c == nil && err == nil {
			if c, err = p.dial(call, connected); err != nil {
				p.lose(nil)
				a := p.unsent(call, err)
				a.Unreachable = a.Outcome == NoConnect && !(isTimeout(err) && connected.Equal(call.Deadline))
				return a
			}
			now = time.Now()
		}
		if err != nil {
			return p.unsent(call, err)
		}
		if !call.attach(c.abort) {
			p.put(c) // new connections are priced: one that nothing was asked on serves the next call
			return p.unsent(call, errors.New("cancelled before it was written"))
		}
		if !p.isKnown(c, call) {
			if probes++; probes > identifyMost {
				p.lose(c)
				return p.unsent(call, errNotShown)
			}
			who, a := p.identify(c, call, now, connected)
			now = time.Now()
			switch who {
			case isOther:
				return a
			case isUnusable:
				continue
			}
		}
		a, reuse, again := c.exchange(call, sc, &p.opts, now)
		p.learn(c, &a, now)
		switch {
		case reuse:
			p.put(c)
		case again:
			p.lose(c)
		default:
			p.drop(c, &a)
		}
		if !again {
			return a
		}
	}
}

// learn takes from an answer whether the searcher is at its address.
func (p *Pool) learn(c *conn, a *Answer, written time.Time) {
	switch {
	case a.Outcome == Answered:
		p.noteSign(c, written)
	case a.Misdirected():
		p.noteOther(c)
	}
}

// drop closes a connection whose exchange has ended. What it has not been answered is taken back as far as that goes: what the kernel has not
// delivered yet is dropped with a reset, and would go out after a close. What has reached the other machine may be read all the same.
func (p *Pool) drop(c *conn, a *Answer) {
	if a.Outcome != Answered && a.Outcome != NotExecuted {
		c.nc.SetLinger(0)
	}
	p.lose(c)
}

func (p *Pool) unsent(call *Call, err error) Answer {
	return p.unsentAs(call, Answer{Outcome: NoConnect, Err: errors.Wrapf(err, "connect, searcher %s", p.addr)})
}

// take gives an idle connection, or none when one may be dialled, which is counted as open from then on.
func (p *Pool) take(now time.Time) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle[len(p.idle)-1] = nil
		p.idle = p.idle[:len(p.idle)-1]
		if now.Sub(c.since) < c.most {
			return c, nil
		}
		p.open--
		c.nc.Close()
	}
	if p.open >= p.opts.ConnMost {
		return nil, ErrFull
	}
	p.open++
	return nil, nil
}

// isTimeout tells whether a dial ended for want of time.
func isTimeout(err error) bool {
	var fault net.Error
	return errors.As(err, &fault) && fault.Timeout()
}

// connectBy is until when a call's connection has to be there, and its other end known.
func (p *Pool) connectBy(call *Call, now time.Time) time.Time {
	until := now.Add(p.opts.ConnectTimeout)
	if !call.Deadline.IsZero() && call.Deadline.Before(until) {
		return call.Deadline
	}
	return until
}

func (p *Pool) dial(call *Call, until time.Time) (*conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if !call.attach(cancel) {
		return nil, context.Canceled
	}
	p.mu.Lock()
	life := p.life
	p.mu.Unlock()
	nc, err := p.dialer.DialContext(ctx, "tcp", p.addr)
	call.detach()
	if err != nil {
		return nil, err
	}
	return newConn(nc.(*net.TCPConn), life, p.opts.IdleMost)
}

// lose closes a connection, or counts off one that never came about.
func (p *Pool) lose(c *conn) {
	if c != nil {
		c.nc.Close()
	}
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put lays a connection by for further use. How long it may idle counts from its last answer, as it does at the other
// end.
func (p *Pool) put(c *conn) {
	if c.wrote || c.since.IsZero() {
		c.since = time.Now()
	}
	c.wrote = false
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.life != p.life {
		p.open--
		c.nc.Close()
		return
	}
	p.idle = append(p.idle, c)
	p.sweepAt(c.since.Add(c.most))
}

// sweepAt makes sure that a sweep is due by then. Mostly one is: each connection goes back later than the last.
func (p *Pool) sweepAt(then time.Time) {
	if !p.next.IsZero() && !then.Before(p.next) {
		return
	}
	p.next = then
	if wait := time.Until(then); p.sweeps == nil {
		p.sweeps = time.AfterFunc(wait, p.sweep)
	} else {
		p.sweeps.Reset(wait)
	}
}

// sweep closes the connections that lay idle for too long.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, kept := time.Now(), p.idle[:0]
	var next time.Time
	for _, c := range p.idle {
		end := c.since.Add(c.most)
		if !now.Before(end) {
			p.open--
			c.nc.Close()
			continue
		}
		kept = append(kept, c)
		if next.IsZero() || end.Before(next) {
			next = end
		}
	}
	clear(p.idle[len(kept):])
	p.idle, p.next = kept, time.Time{}
	if !next.IsZero() {
		p.sweepAt(next)
	}
}

// Retire closes the idle connections and has those in use closed after their present request: whoever answers at the
// address may have changed.
func (p *Pool) Retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.life++
	for _, c := range p.idle {
		p.open--
		c.nc.Close()
	}
	clear(p.idle)
	p.idle, p.next = p.idle[:0], time.Time{}
	if p.sweeps != nil {
		p.sweeps.Stop()
	}
}

// Close retires the pool and turns further calls away. Requests under way end as they would have.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Retire()
}

// Follow changes the bound on connections and the path of probes, from the next call on; 0 is the default bound. What is open above the
// bound stays open till its end.
func (p *Pool) Follow(connMost int, probePath string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opts.ConnMost, p.opts.ProbePath = connMost, probePath
	orElse(&p.opts.ConnMost, connMostUsual)
}

// Idle tells how many connections lie idle.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Open tells how many connections there are, those in use or being dialled included.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
