package upstream

import (
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// The address of a searcher that has ended is later reused by another one, which would then receive requests not
// intended for it. So unless the searcher list confirms the address (Exchange.AddressConfirmedUntil), a new connection
// carries no request until its peer is identified: either by a response that this mixer received from the searcher
// shortly before on any connection, since an address is not reused for a while after its release; or by the id that the
// peer reports when it is probed. An identified connection stays identified as long as it is open.

// errIdentityUnknown is why an exchange was not sent: the peer of its connection could not be identified.
var errIdentityUnknown = errors.New("peer did not identify itself")

// maxProbedConns is how many new connections one exchange may probe. If a connection cannot be used after its probe,
// another is dialed.
const maxProbedConns = 2

// identityConfirmed reports whether the searcher is known to be the peer of a connection.
func (p *Pool) identityConfirmed(c *conn, exchange *Exchange) bool {
	if c.identified || exchange.Target == "" || c.dialedAt.Before(exchange.AddressConfirmedUntil) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opts.ProbePath == "" {
		return true
	}
	c.identified = !p.confirmedAt.IsZero() && c.dialedAt.Sub(p.confirmedAt) < p.opts.ConfirmationTTL
	return c.identified
}

// confirmIdentity records that the searcher was at its address when the request it has responded to was written.
func (p *Pool) confirmIdentity(c *conn, writtenAt time.Time) {
	c.identified = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if writtenAt.After(p.confirmedAt) {
		p.confirmedAt = writtenAt
	}
}

// rejectIdentity records that another searcher is at the address.
func (p *Pool) rejectIdentity(c *conn) {
	c.identified = false
	p.mu.Lock()
	defer p.mu.Unlock()
	p.confirmedAt = time.Time{}
}

// probeResult is the result of probing a connection.
type probeResult uint8

const (
	probeMatched           probeResult = iota // the intended searcher; the connection may carry the exchange
	probeMatchedConnClosed                    // the intended searcher, but the connection cannot be reused
	probeRejected                             // another searcher, or no valid response: the exchange ends with the response given
)

// ProbeCounts counts probes and their reasons over all pools that share it.
type ProbeCounts struct {
	First            atomic.Uint64 // no response had been received from the searcher yet
	Old              atomic.Uint64 // the searcher's last response was too old
	TotalNanoseconds atomic.Int64  // total duration of the probes
}

// countProbe counts a probe and its reason.
func (p *Pool) countProbe(duration time.Duration) {
	counts := p.opts.Probes
	if counts == nil {
		return
	}
	p.mu.Lock()
	first := p.confirmedAt.IsZero()
	p.mu.Unlock()
	if first {
		counts.First.Add(1)
	} else {
		counts.Old.Add(1)
	}
	counts.TotalNanoseconds.Add(int64(duration))
}

// identify probes a connection; the deadline and Exchange.Cancel end the probe. Unless the exchange may use the
// connection, it is closed or released.
func (p *Pool) identify(c *conn, exchange *Exchange, now, deadline time.Time) (probeResult, Response) {
	p.mu.Lock()
	path := p.opts.ProbePath
	p.mu.Unlock()
	response, reuse := p.probe(c, path, now, deadline)
	p.countProbe(time.Since(now))
	switch {
	case response.SearcherID == exchange.Target:
		p.confirmIdentity(c, now)
		if reuse {
			return probeMatched, response
		}
		p.discard(c)
		return probeMatchedConnClosed, response
	case response.SearcherID != "":
		p.rejectIdentity(c)
		p.discard(c)
		return probeRejected, p.unsentResponse(exchange, Response{Outcome: NotExecuted, Status: statusMisdirected,
			SearcherID: response.SearcherID})
	case response.Outcome == NotExecuted: // the searcher is overloaded and would reject the exchange too
		p.releaseOrDiscard(c, reuse)
		return probeRejected, p.unsentResponse(exchange, Response{Outcome: NotExecuted, Status: response.Status,
			RetryAfter: response.RetryAfter})
	case response.Outcome == Answered && reuse:
		// It does not report an id. The exchange names its target, and any other searcher responds with 421.
		c.identified = true
		return probeMatched, response
	}
	p.discard(c)
	if response.Err == nil {
		response.Err = errIdentityUnknown
	}
	return probeRejected, p.notConnected(exchange, errors.Wrap(response.Err, "probe"))
}

// probe asks the peer for its id.
func (p *Pool) probe(c *conn, path string, now, deadline time.Time) (response Response, reuse bool) {
	exchange := Exchange{Request: Request{Method: "GET", Path: path}, Deadline: deadline}
	scratch := scratchBuffers.Get().(*scratchBuffer)
	defer scratch.release()
	var err error
	if scratch.buf, err = encodeHead(scratch.buf[:0], &exchange.Request, p.addr); err != nil {
		return Response{Outcome: InvalidRequest, Err: err}, false
	}
	usedBefore := c.used
	response, reuse, _ = c.roundTrip(&exchange, scratch, &p.opts, now)
	if response.SearcherID != "" {
		c.used = usedBefore // a surplus copy of the response names its searcher too, so it is not taken for a refusal
	}
	return response, reuse
}

func (p *Pool) releaseOrDiscard(c *conn, reuse bool) {
	if reuse {
		p.release(c)
	} else {
		p.discard(c)
	}
}

// unsentResponse completes the response to an exchange of which nothing was written; the outcome is Cancelled if the
// exchange was cancelled meanwhile.
func (p *Pool) unsentResponse(exchange *Exchange, response Response) Response {
	response.NewConnection = true
	if !exchange.clearAbort() {
		response.Outcome = Cancelled
	}
	return response
}
