package upstream

import (
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// An address goes to another searcher some time after the one that had it has ended, and a request that is sent there is read by somebody
// whom it was not meant for. So where nobody vouches for the searcher (Call.VouchedUntil), a new connection carries no request until its other
// end is known: by an answer that the searcher gave to this mixer shortly before, over whichever connection, as an address rests for a
// while before it is given away; else by what it says of itself when it is probed. A connection that was made to the searcher stays one to it for as long as it lasts.

// errNotShown is why a call was not sent: who is at the other end of its connection could not be made out.
var errNotShown = errors.New("the other end did not say who it is")

// identifyMost is how many new connections a call is probed on: one that can't be used after its probe is followed by another.
const identifyMost = 2

// isKnown tells whether the searcher is known to be at the other end of a connection.
func (p *Pool) isKnown(c *conn, call *Call) bool {
	if c.shown || call.Target == "" || c.dialed.Before(call.VouchedUntil) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opts.ProbePath == "" {
		return true
	}
	c.shown = !p.sign.IsZero() && c.dialed.Sub(p.sign) < p.opts.VouchFor
	return c.shown
}

// noteSign notes that the searcher was at its address at some time, by its answer to what was written then.
func (p *Pool) noteSign(c *conn, at time.Time) {
	c.shown = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.sign) {
		p.sign = at
	}
}

// noteOther notes that another searcher is at the address.
func (p *Pool) noteOther(c *conn) {
	c.shown = false
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sign = time.Time{}
}

// identity is what a probe of a connection came to.
type identity uint8

const (
	isSearcher identity = iota // the one meant; the connection may carry the call
	isUnusable                 // the one meant, but the connection can't be used again
	isOther                    // another one, or nobody that answers: the call ends as the answer says
)

// ProbeCounts counts how often searchers were probed, and why, for all pools that share it.
type ProbeCounts struct {
	First atomic.Uint64 // nothing was heard of the searcher yet
	Old   atomic.Uint64 // its last answer was too old
	Took  atomic.Int64  // nanoseconds, of all
}

// count notes a probe.
func (p *Pool) count(took time.Duration) {
	counts := p.opts.Probes
	if counts == nil {
		return
	}
	p.mu.Lock()
	first := p.sign.IsZero()
	p.mu.Unlock()
	if first {
		counts.First.Add(1)
	} else {
		counts.Old.Add(1)
	}
	counts.Took.Add(int64(took))
}

// identify probes a connection on which the call is attached, till some time at the latest. Where it is of no use, it is closed or laid by.
func (p *Pool) identify(c *conn, call *Call, now, until time.Time) (identity, Answer) {
	p.mu.Lock()
	path := p.opts.ProbePath
	p.mu.Unlock()
	a, reuse := p.probe(c, path, now, until)
	p.count(time.Since(now))
	switch {
	case a.SearcherID == call.Target:
		p.noteSign(c, now)
		if reuse {
			return isSearcher, a
		}
		p.lose(c)
		return isUnusable, a
	case a.SearcherID != "":
		p.noteOther(c)
		p.lose(c)
		return isOther, p.unsentAs(call, Answer{Outcome: NotExecuted, Status: misdirected, SearcherID: a.SearcherID})
	case a.Outcome == NotExecuted: // it is full, and would turn the call away too
		p.layBy(c, reuse)
		return isOther, p.unsentAs(call, Answer{Outcome: NotExecuted, Status: a.Status, RetryAfter: a.RetryAfter})
	case a.Outcome == Answered && reuse: // it does not say who it is: the call names who is meant, and is answered with 421 by any other
		c.shown = true
		return isSearcher, a
	}
	p.lose(c)
	if a.Err == nil {
		a.Err = errNotShown
	}
	return isOther, p.unsent(call, errors.Wrap(a.Err, "probe"))
}

// probe asks who is at the other end.
func (p *Pool) probe(c *conn, path string, now, until time.Time) (a Answer, reuse bool) {
	probe := Call{Request: Request{Method: "GET", Path: path}, Deadline: until}
	sc := scratches.Get().(*scratch)
	defer sc.free()
	var err error
	if sc.buf, err = encode(sc.buf[:0], &probe.Request, p.addr); err != nil {
		return Answer{Outcome: Unsendable, Err: err}, false
	}
	used := c.used
	a, reuse, _ = c.exchange(&probe, sc, &p.opts, now)
	c.used = used // a surplus answer to a probe says whose it is
	return a, reuse
}

func (p *Pool) layBy(c *conn, reuse bool) {
	if reuse {
		p.put(c)
	} else {
		p.lose(c)
	}
}

// unsentAs gives an answer to a call of which nothing was written, unless it was cancelled meanwhile.
func (p *Pool) unsentAs(call *Call, a Answer) Answer {
	a.Fresh = true
	if !call.detach() {
		a.Outcome = Cancelled
	}
	return a
}
