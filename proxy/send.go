package proxy

import (
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"peathollow/internal/invariant"
	"peathollow/internal/upstream"
	"peathollow/policy"
	"peathollow/request"
)

// outgoing is the state of a dispatch that is being sent. It is stored in request.Dispatch.Data.
type outgoing struct {
	exchange upstream.Exchange
	pool     *upstream.Pool
}

// clientRequest is a client's request after its body has been read.
type clientRequest struct {
	upstream.Request
	deadline time.Time
}

// deadlineSlack is how much later than its client's deadline a dispatch may end: the coordinator learns of the remaining time
// slightly after the request was read.
const deadlineSlack = 200 * time.Millisecond

// prepare makes a dispatch ready for sending. The caller must hold the lock.
func (p *Proxy) prepare(dispatch *request.Dispatch) {
	client := dispatch.Request.Data.(*clientRequest)
	sending := &outgoing{pool: p.pool(dispatch.Searcher)}
	sending.exchange.Request = client.Request
	sending.exchange.Target = dispatch.Searcher.ID
	for _, earlier := range dispatch.Earlier() {
		if sent, ok := earlier.Data.(*outgoing); ok {
			sending.exchange.Earlier = append(sending.exchange.Earlier, &sent.exchange)
		}
	}
	if dispatch.AddressTrusted {
		sending.exchange.AddressConfirmedUntil = time.Now().Add(addressTrustTTL)
	}
	sending.exchange.Deadline = p.start.Add(dispatch.Deadline)
	sending.exchange.AdvertisedDeadline = client.deadline
	if excess := sending.exchange.Deadline.Sub(client.deadline); excess > deadlineSlack {
		invariant.Violated(invariant.DeadlineWithinClients, "searcher %s: %v past the client's", dispatch.Searcher.ID, excess)
	}
	dispatch.Data = sending
}

func (p *Proxy) pool(searcher *request.Searcher) *upstream.Pool {
	pool := p.pools[searcher.ID]
	if pool == nil {
		options := upstream.Options{ConfirmationTTL: p.settings.ReuseDelay * confirmationQuarters / 4, Probes: &p.probes}
		options.MaxConns, options.ProbePath = p.poolBounds(searcher.Service)
		pool = upstream.NewPool(searcher.Address, options)
		p.pools[searcher.ID] = pool
	}
	return pool
}

// poolBounds returns how many connections this proxy may open to a searcher of a service, or 0 if no limit is known, and the path
// at which the searcher is probed.
func (p *Proxy) poolBounds(service string) (maxConns int, probePath string) {
	config := p.config.Load()
	if config == nil || config.Services[service] == nil {
		return 0, ""
	}
	serviceConfig := config.Services[service]
	if serviceConfig.ConnLimit > 0 {
		maxConns = connShare(serviceConfig.ConnLimit, p.mixerCount)
	}
	return maxConns, serviceConfig.ProbePath
}

// reconfigurePools applies the current configuration and mixer count to the pools: both may have been different, or not yet
// known, when a pool was created. The caller must hold the lock.
func (p *Proxy) reconfigurePools() {
	for i := range p.searchers {
		if pool := p.pools[p.searchers[i].ID]; pool != nil {
			pool.Reconfigure(p.poolBounds(p.searchers[i].Service))
		}
	}
}

// addressTrustTTL is how long after the decision to dispatch the address in the list is still trusted: a process that is paused
// in between misses updates to the list.
const addressTrustTTL = time.Second

// confirmationQuarters is the share, in quarters, of the delay before an address is reused during which a response confirms the
// searcher at that address. It is below 4 because clocks run at different rates.
const confirmationQuarters = 3

const (
	minConns           = 4   // for each mixer, whatever its share
	sharedConnFraction = 0.9 // the rest is for mixers that have just started
	assumedMixers      = 16  // while the number of mixers is unknown
)

// connShare returns how many connections to a searcher one mixer may open, given how many the searcher accepts from all mixers.
func connShare(limit, mixers int) int {
	if mixers <= 0 {
		mixers = assumedMixers
	}
	return max(minConns, int(sharedConnFraction*float64(limit)/float64(mixers)))
}

// send sends a dispatch and reports its result to the coordinator.
func (p *Proxy) send(dispatch *request.Dispatch) {
	sending := dispatch.Data.(*outgoing)
	response := sending.pool.Do(&sending.exchange)
	outcome := policyOutcome(&response, dispatch)
	if response.Outcome != upstream.Answered {
		p.log.Debug().Str("event", "sent").Str("searcher", sending.exchange.Target).Str("outcome", response.Outcome.String()).
			Int("status", response.Status).Err(response.Err).Msg("")
	}
	if response.Misdirected() {
		p.logMisdirected(dispatch.Searcher, &response)
	}
	p.handle(func() {
		if response.Misdirected() {
			p.coordinator.ReportMisdirected(dispatch.Searcher, response.Wrote)
		}
		if response.Unreachable {
			p.coordinator.ReportUnreachable(dispatch.Searcher)
		}
		p.coordinator.Returned(dispatch, outcome, readStatus(&response), clientReply(&response))
	})
}

// readStatus reports whether a searcher has read a dispatch.
func readStatus(response *upstream.Response) request.ReadStatus {
	switch {
	case !response.Wrote:
		return request.NotRead
	case response.Outcome == upstream.Answered || response.Outcome == upstream.NotExecuted:
		return request.WasRead
	}
	return request.MaybeRead
}

// policyOutcome maps the result of a dispatch to an outcome of the dispatch policy.
func policyOutcome(response *upstream.Response, dispatch *request.Dispatch) policy.Outcome {
	switch response.Outcome {
	case upstream.Answered:
		if promisesNotExecuted(response.Status) || len(dispatch.Request.Route.FanOut) > 0 && !listable(response.Seal) {
			return policy.Failed
		}
		if response.Status >= 200 && response.Status < 300 || response.Status < 500 && len(dispatch.Request.Route.FanOut) == 0 {
			return policy.Succeeded
		}
		return policy.Failed
	case upstream.NotExecuted:
		if response.Misdirected() {
			return policy.Unreachable
		}
		return policy.Overloaded
	case upstream.ConnectFailed, upstream.InvalidRequest:
		if errors.Is(response.Err, upstream.ErrFull) {
			return policy.Overloaded // our own share of its connections is in use: it is reachable, and busy
		}
		return policy.Unreachable
	case upstream.ConnectionLost:
		return policy.ConnectionLost
	case upstream.TimedOut:
		return policy.TimedOut
	case upstream.Cancelled:
		if !response.Wrote {
			return policy.Expired
		}
		return policy.Cancelled
	}
	return policy.Failed
}

// listable reports whether a seal can be an element of the list in Part-Seals.
func listable(seal string) bool {
	return !strings.ContainsRune(seal, ',') && strings.TrimSpace(seal) == seal
}

// promisesNotExecuted reports whether a status promises the client that its request has not run and never will. A searcher that
// sends one without proof has run the request, so the status must not reach the client.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// clientReply returns the response that may be sent to the client, or nil if there is none.
func clientReply(response *upstream.Response) *request.Reply {
	if response.Outcome != upstream.Answered || promisesNotExecuted(response.Status) {
		return nil
	}
	reply := &request.Reply{Status: response.Status, Seal: response.Seal, Body: response.Body}
	for _, h := range response.Headers {
		reply.Headers = append(reply.Headers, request.Header(h))
	}
	return reply
}
