package upstream

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"peathollow/internal/standin/faulty"
)

const probePath = "/health"

// newTargetedExchange returns an exchange that names its searcher.
func newTargetedExchange(target, id string) *Exchange {
	c := newExchange(id)
	c.Target = target
	return c
}

// TestIdentity checks that a new connection carries a request only once the searcher is known to be its peer: because its
// address was confirmed, because it has responded lately, or because it reports its id when probed.
func TestIdentity(t *testing.T) {
	s, p := setup(t, faulty.Options{ID: "i-1"}, Options{ProbePath: probePath, ConfirmationTTL: time.Hour})
	probes := 0
	do := func(exchange *Exchange, probed bool) {
		t.Helper()
		response := p.Do(exchange)
		must.Eq(t, Answered, response.Outcome, must.Sprint(response.Err))
		if probed {
			probes++
		}
		must.Eq(t, probes, s.Probes())
	}
	confirmed := newTargetedExchange("i-1", "a1")
	confirmed.AddressConfirmedUntil = time.Now().Add(time.Hour)
	do(confirmed, false)
	do(newTargetedExchange("i-1", "a2"), false) // over the same connection
	p.Retire()
	do(newTargetedExchange("i-1", "a3"), false) // it has responded lately
	p.Retire()
	p.confirmedAt = p.confirmedAt.Add(-time.Hour)
	do(newTargetedExchange("i-1", "a4"), true)
	do(newTargetedExchange("i-1", "a5"), false)
	p.Retire()
	p.confirmedAt = time.Time{}
	do(newTargetedExchange("i-1", "a6"), true)
	must.Eq(t, 4, s.Accepted())
	p.Reconfigure(0, "") // probing is disabled
	p.Retire()
	p.confirmedAt = time.Time{}
	do(newTargetedExchange("i-1", "a7"), false)
}

// TestAddressConfirmationExpires checks that a confirmation does not cover a connection made after it has expired.
func TestAddressConfirmationExpires(t *testing.T) {
	s, p := setup(t, faulty.Options{ID: "i-2"}, Options{ProbePath: probePath})
	c := newTargetedExchange("i-1", "a1")
	c.AddressConfirmedUntil = time.Now()
	response := p.Do(c)
	must.True(t, response.Misdirected() && !response.Wrote)
	must.Eq(t, 0, s.Ledger().Arrived("a1"))
}

// TestAddressOfAnotherSearcher checks that a request is not sent to an address that belongs to another searcher, and
// that the response reports this.
func TestAddressOfAnotherSearcher(t *testing.T) {
	s, p := setup(t, faulty.Options{ID: "i-2"}, Options{ProbePath: probePath, ConfirmationTTL: time.Hour})
	for range 2 {
		response := p.Do(newTargetedExchange("i-1", "a1"))
		must.Eq(t, NotExecuted, response.Outcome)
		must.True(t, response.Misdirected() && !response.Wrote)
		must.Eq(t, "i-2", response.SearcherID)
	}
	must.Eq(t, 0, s.Ledger().Arrived("a1"))
	must.Eq(t, 0, p.OpenConns())

	// With a confirmed address the request is sent and rejected. After that, earlier responses no longer confirm the
	// address.
	p.confirmedAt = time.Now()
	sent := newTargetedExchange("i-1", "a2")
	response := p.Do(sent)
	must.True(t, response.Misdirected() && response.Wrote)
	must.Eq(t, 1, s.Ledger().Arrived("a2"))
	response = p.Do(newTargetedExchange("i-1", "a3"))
	must.True(t, response.Misdirected() && !response.Wrote)
	must.Eq(t, 0, s.Ledger().Arrived("a3"))
}

// TestProbeWithoutIdentity checks that a connection whose peer does not respond to the probe properly carries no
// request, and that the exchange ends within the connect timeout. A peer that responds without an id gets the request,
// which names its searcher.
func TestProbeWithoutIdentity(t *testing.T) {
	for name, c := range map[string]struct {
		reply faulty.Reply
		want  Outcome
	}{
		"silence":        {faulty.Reply{Fault: faulty.Hang}, ConnectFailed},
		"reset":          {faulty.Reply{Fault: faulty.ResetAfterRun}, ConnectFailed},
		"no answer":      {faulty.Reply{Fault: faulty.Garbage}, ConnectFailed},
		"full":           {faulty.Reply{Fault: faulty.Refuse}, NotExecuted},
		"it won't say":   {faulty.Reply{RawResponse: []byte("HTTP/1.1 503 Ill\r\nContent-Length: 0\r\n\r\n")}, Answered},
		"closed after":   {faulty.Reply{Fault: faulty.CloseAnnounced}, Answered},
		"it feels ill":   {faulty.Reply{Status: 503}, Answered},
		"none of a kind": {faulty.Reply{Fault: faulty.NoLength, Status: 404}, ConnectFailed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			script := func(call faulty.Call) faulty.Reply {
				if call.AttemptID == "" {
					return c.reply
				}
				return faulty.Reply{}
			}
			s, p := setup(t, faulty.Options{ID: "i-1", Script: script, ScriptProbes: true},
				Options{ProbePath: probePath, ConfirmationTTL: time.Hour, ConnectTimeout: 200 * time.Millisecond})
			response := p.Do(newTargetedExchange("i-1", "a1"))
			must.Eq(t, c.want, response.Outcome, must.Sprint(response.Err))
			must.Eq(t, response.Wrote, c.want == Answered)
			must.Eq(t, response.Wrote, s.Ledger().Arrived("a1") == 1)
			must.False(t, response.Misdirected())
		})
	}
}

// TestFullSearcherIsProbedAgain checks that a connection on which a full searcher rejected a probe is kept, and probed
// again before its first request.
func TestFullSearcherIsProbedAgain(t *testing.T) {
	s, p := setup(t, faulty.Options{ID: "i-1", Capacity: 1}, Options{ProbePath: probePath, ConfirmationTTL: time.Hour})
	other := NewPool(s.Addr(), Options{})
	t.Cleanup(other.Close)
	_, responses, release := startBlocked(t, s, other, 1)
	response := p.Do(newTargetedExchange("i-1", "a1"))
	must.Eq(t, NotExecuted, response.Outcome)
	must.Eq(t, 1, p.IdleConns())
	release()
	<-responses
	eventually(t, func() bool { running, _ := s.Load(); return running == 0 })
	must.Eq(t, Answered, p.Do(newTargetedExchange("i-1", "a2")).Outcome)
	must.Eq(t, 2, s.Probes())
	must.Eq(t, 2, s.Accepted()) // one of the other pool and one of this pool
	must.Eq(t, 0, s.Ledger().Arrived("a1"))
}

// TestCancelledProbe checks that an exchange cancelled while its connection is probed ends at once and sends nothing.
func TestCancelledProbe(t *testing.T) {
	arrived := make(chan bool, 1)
	s, p := setup(t, faulty.Options{ID: "i-1", ScriptProbes: true,
		Script: func(faulty.Call) faulty.Reply { arrived <- true; return faulty.Reply{Fault: faulty.Hang} }},
		Options{ProbePath: probePath, ConnectTimeout: time.Hour})
	c := newTargetedExchange("i-1", "a1")
	responses := make(chan Response, 1)
	go func() { responses <- p.Do(c) }()
	<-arrived
	c.Cancel()
	response := <-responses
	must.Eq(t, Cancelled, response.Outcome)
	must.False(t, response.Wrote)
	must.Eq(t, 0, s.Ledger().Arrived("a1"))
	must.Eq(t, 0, p.OpenConns())
}

// TestAbandonedConnectionIsReset checks that the connection of an abandoned exchange is reset, so that the kernel drops
// undelivered data.
func TestAbandonedConnectionIsReset(t *testing.T) {
	for name, abandon := range map[string]func(c *Exchange){
		"called off": func(c *Exchange) { c.Cancel() },
		"too late":   func(c *Exchange) {},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer ln.Close()
			p := NewPool(ln.Addr().String(), Options{})
			defer p.Close()
			c := newExchange("a1")
			if name == "too late" {
				c.Deadline = time.Now().Add(50 * time.Millisecond)
			}
			responses := make(chan Response, 1)
			go func() { responses <- p.Do(c) }()
			peer, err := ln.Accept()
			must.NoError(t, err)
			defer peer.Close()
			peer.SetReadDeadline(time.Now().Add(10 * time.Second))
			_, err = peer.Read(make([]byte, 1000))
			must.NoError(t, err)
			abandon(c)
			<-responses
			_, err = io.Copy(io.Discard, peer)
			must.True(t, errors.Is(err, syscall.ECONNRESET), must.Sprint(err))
		})
	}
}

// TestFollow checks that the maximum number of connections may change after the pool was created.
func TestReconfigure(t *testing.T) {
	s, p := setup(t, faulty.Options{}, Options{MaxConns: 1})
	_, _, release := startBlocked(t, s, p, 1)
	defer release()
	must.ErrorIs(t, p.Do(newExchange("a1")).Err, ErrFull)
	p.Reconfigure(2, "")
	must.Eq(t, Answered, p.Do(newExchange("a2")).Outcome)
	p.Reconfigure(1, "")
	must.Eq(t, Answered, p.Do(newExchange("a3")).Outcome) // over an idle connection
}

// TestUnreachable checks that an address is unreachable if it refuses connections or does not respond within the
// connect timeout, and that an exchange with a shorter deadline does not report this.
func TestUnreachable(t *testing.T) {
	s, p := setup(t, faulty.Options{}, Options{})
	s.Close()
	must.True(t, p.Do(newExchange("a1")).Unreachable)

	for name, c := range map[string]struct {
		remaining, connectTimeout time.Duration
		want                      bool
	}{
		"the call's own time is over": {20 * time.Millisecond, 10 * time.Second, false},
		"nobody answers":              {10 * time.Second, 20 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			full := addressWithFullQueue(t)
			p := NewPool(full, Options{ConnectTimeout: c.connectTimeout})
			exchange := newExchange("a1")
			exchange.Deadline = time.Now().Add(c.remaining)
			response := p.Do(exchange)
			must.Eq(t, ConnectFailed, response.Outcome)
			must.Eq(t, c.want, response.Unreachable, must.Sprint(response.Err))
		})
	}
}

// unanswered returns an address at which connection attempts get no response, because its accept queue is full.
func addressWithFullQueue(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	must.NoError(t, err)
	t.Cleanup(func() { syscall.Close(fd) })
	must.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must.NoError(t, syscall.Listen(fd, 0))
	bound, err := syscall.Getsockname(fd)
	must.NoError(t, err)
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*syscall.SockaddrInet4).Port}).String()
	for { // until the queue is full
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { c.Close() })
	}
}

// TestLateCopyOfARefusedProbe guards against taking a second copy of the refusal of a probe, which names neither a request nor a
// searcher, for the refusal of the first request on the connection (review/2).
func TestLateCopyOfARefusedProbe(t *testing.T) {
	s, p := setup(t, faulty.Options{ID: "i-1", ScriptProbes: true, Script: func(faulty.Call) faulty.Reply {
		return faulty.Reply{Fault: faulty.Refuse, SecondCopy: faulty.CopyLate}
	}}, Options{ProbePath: probePath, ConfirmationTTL: time.Hour})
	refused := p.Do(newTargetedExchange("i-1", "a1"))
	must.True(t, refused.NeverExecuted())
	must.Eq(t, 1, p.IdleConns())
	s.SetScript(nil)
	confirmed := newTargetedExchange("i-1", "a2") // it is identified meanwhile, and needs no probe
	confirmed.AddressConfirmedUntil = time.Now().Add(time.Hour)
	response := p.Do(confirmed)
	must.Eq(t, s.Ledger().Ran("a2") > 0, !response.NeverExecuted(), must.Sprint(response.Outcome, response.Err))
}
