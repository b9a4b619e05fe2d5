package proxy

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"peathollow/internal/invariant"
	"peathollow/internal/upstream"
	"peathollow/policy"
	"peathollow/request"
)

// sending is a dispatch under way.
type sending struct {
	call upstream.Exchange
	pool *upstream.Pool
}

// taken is a client's request as it was read.
type taken struct {
	upstream.Request
	until time.Time // the client's deadline
}

// deadlineSlack is by how much a dispatch may end after its client's deadline: the request is told of the time left a
// moment after it was read.
const deadlineSlack = 200 * time.Millisecond

// prepare makes a dispatch ready to be sent; the lock is held.
func (p *Proxy) prepare(d *request.Dispatch) {
	t := d.Request.Data.(*taken)
	s := &sending{pool: p.pool(d.Searcher)}
	s.call.Request = t.Request
	s.call.Target = d.Searcher.ID
	if d.AddressTrusted {
		s.call.AddressConfirmedUntil = time.Now().Add(vouchedFor)
	}
	s.call.Deadline = p.start.Add(d.Deadline)
	s.call.AdvertisedDeadline = t.until
	if over := s.call.Deadline.Sub(t.until); over > deadlineSlack {
		invariant.Violated(invariant.DeadlineWithinClients, "searcher %s: %v past the client's", d.Searcher.ID, over)
	}
	d.Data = s
}

func (p *Proxy) pool(h *request.Searcher) *upstream.Pool {
	pool := p.pools[h.ID]
	if pool == nil {
		o := upstream.Options{ConfirmationTTL: p.set.ReuseDelay * vouchShare / 4, Probes: &p.probes}
		o.MaxConns, o.ProbePath = p.poolBounds(h.Service)
		pool = upstream.NewPool(h.Address, o)
		p.pools[h.ID] = pool
	}
	return pool
}

// poolBounds gives how many connections this proxy may open to a searcher of a service, 0 if that is not told, and where one is probed.
func (p *Proxy) poolBounds(service string) (connMost int, probePath string) {
	doc := p.doc.Load()
	if doc == nil || doc.Services[service] == nil {
		return 0, ""
	}
	plant := doc.Services[service]
	if plant.ConnLimit > 0 {
		connMost = connShare(plant.ConnLimit, p.mixers)
	}
	return connMost, plant.ProbePath
}

// followPools has the pools go by the configuration and the count of mixers of the moment: both may have been others, or not known yet,
// when a pool was made. The lock is held.
func (p *Proxy) followPools() {
	for i := range p.hosts {
		if pool := p.pools[p.hosts[i].ID]; pool != nil {
			pool.Reconfigure(p.poolBounds(p.hosts[i].Service))
		}
	}
}

// vouchedFor is how long after a dispatch was decided on the list still vouches for the address: a process that is stopped in between
// knows of nothing that came meanwhile.
const vouchedFor = time.Second

// vouchShare is for how many quarters of the time that an address rests an answer vouches for its searcher: clocks differ in their pace.
const vouchShare = 3

const (
	connLeast     = 4
	connKept      = 0.9 // the rest is for those that have just started
	mixersUnknown = 16
)

// connShare is how many connections of those that a searcher accepts from all mixers one may open.
func connShare(limit, mixers int) int {
	if mixers <= 0 {
		mixers = mixersUnknown
	}
	return max(connLeast, int(connKept*float64(limit)/float64(mixers)))
}

// send carries a dispatch to its end.
func (p *Proxy) send(d *request.Dispatch) {
	s := d.Data.(*sending)
	a := s.pool.Do(&s.call)
	out := outcome(&a, d)
	if a.Outcome != upstream.Answered {
		p.log.Debug().Str("event", "sent").Str("searcher", s.call.Target).Str("outcome", a.Outcome.String()).Int("status", a.Status).
			Err(a.Err).Msg("")
	}
	if a.Misdirected() {
		p.explainMisdirected(d.Searcher, &a)
	}
	p.do(func() {
		if a.Misdirected() {
			p.life.ReportMisdirected(d.Searcher, a.Wrote)
		}
		if a.Unreachable {
			p.life.ReportUnreachable(d.Searcher)
		}
		p.life.Returned(d, out, reading(&a), reply(&a))
	})
}

// reading says whether a searcher has read a dispatch.
func reading(a *upstream.Response) request.ReadStatus {
	switch {
	case !a.Wrote:
		return request.NotRead
	case a.Outcome == upstream.Answered || a.Outcome == upstream.NotExecuted:
		return request.WasRead
	}
	return request.MaybeRead
}

// outcome says in the module's words what became of a dispatch.
func outcome(a *upstream.Response, d *request.Dispatch) policy.Outcome {
	switch a.Outcome {
	case upstream.Answered:
		if promises(a.Status) {
			return policy.Failed
		}
		if a.Status >= 200 && a.Status < 300 || a.Status < 500 && len(d.Request.Route.FanOut) == 0 {
			return policy.Succeeded
		}
		return policy.Failed
	case upstream.NotExecuted:
		if a.Misdirected() {
			return policy.Unreachable
		}
		return policy.Overloaded
	case upstream.ConnectFailed, upstream.InvalidRequest:
		if errors.Is(a.Err, upstream.ErrFull) {
			return policy.Overloaded // our own share of its connections is in use: it is there, and busy
		}
		return policy.Unreachable
	case upstream.ConnectionLost:
		return policy.ConnectionLost
	case upstream.TimedOut:
		return policy.TimedOut
	case upstream.Cancelled:
		if !a.Wrote {
			return policy.Expired
		}
		return policy.Cancelled
	}
	return policy.Failed
}

// promises tells of the statuses that tell a client that its request has not run and never will. A searcher that gives one
// without proof has run it, and the client must not be told otherwise.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// reply keeps what may reach a client.
func reply(a *upstream.Response) *request.Reply {
	if a.Outcome != upstream.Answered || promises(a.Status) {
		return nil
	}
	r := &request.Reply{Status: a.Status, Seal: a.Seal, Body: a.Body}
	for _, h := range a.Headers {
		r.Headers = append(r.Headers, request.Header(h))
	}
	return r
}
