package upstream

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"peathollow/internal/invariant"
	"peathollow/internal/standin/faulty"
)

func init() { invariant.SetFatal(true) }

// TestLateCopyOfARefusal guards against taking a second copy of a refusal for the response to the next sending of the same request,
// which runs (review/1). The copy has the right Attempt-Id, so the request must be sent over another connection.
func TestLateCopyOfARefusal(t *testing.T) {
	for _, status := range []int{400, 408, 429, 500, 503} {
		s, p := setup(t, faulty.Options{}, Options{MaxConns: 2})
		s.SetScript(func(faulty.Call) faulty.Reply {
			return faulty.Reply{Status: status, Header: []string{"Not-Executed: 1"}, SecondCopy: faulty.CopyLate}
		})
		first := newExchange("a1")
		refused := p.Do(first)
		must.Eq(t, status != 500, refused.NeverExecuted())
		s.SetScript(nil)
		second := newExchange("a1")
		second.Earlier = []*Exchange{first}
		response := p.Do(second)
		must.Eq(t, 200, response.Status, must.Sprint(status, response.Err))
		must.True(t, response.NewConnection)
		must.Eq(t, 2, p.IdleConns())
		must.Eq(t, InvalidResponse, doOn(p, p.idle[0], newExchange("a2")).Outcome) // the copy is still there, and does no harm
	}
}

// TestConnectionsThatCarriedARequest checks that a request is sent over none of them even if the maximum of connections is
// reached, and that other requests still use them.
func TestConnectionsThatCarriedARequest(t *testing.T) {
	s, p := setup(t, faulty.Options{}, Options{MaxConns: 2})
	s.SetScript(func(faulty.Call) faulty.Reply { return faulty.Reply{Fault: faulty.Refuse} })
	var sent []*Exchange
	for n := 1; n <= 4; n++ {
		exchange := newExchange("a1")
		exchange.Earlier = sent
		response := p.Do(exchange)
		must.Eq(t, NotExecuted, response.Outcome)
		must.True(t, response.NewConnection)
		must.Eq(t, min(n, 2), p.OpenConns())
		sent = append(sent, exchange)
	}
	must.False(t, p.Do(newExchange("a2")).NewConnection)
	must.Eq(t, 4, s.Accepted())
}

// TestCarrierIsChecked checks that a second sending of a request on a connection is reported.
func TestCarrierIsChecked(t *testing.T) {
	_, p := setup(t, faulty.Options{}, Options{})
	exchange := newExchange("a1")
	must.Eq(t, Answered, p.Do(exchange).Outcome)
	again := newExchange("a1")
	again.Earlier = []*Exchange{exchange}
	defer func() { must.Eq(t, invariant.OneDispatchPerConnection, recover().(invariant.Panic).Name) }()
	checkCarrier(p.idle[0], again.earlierCarriers())
}

// doOn sends a request over one of the idle connections.
func doOn(p *Pool, c *conn, exchange *Exchange) Response {
	p.mu.Lock()
	p.idle = append(slices.DeleteFunc(p.idle, func(idle *conn) bool { return idle == c }), c)
	p.mu.Unlock()
	return p.Do(exchange)
}
