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

// to is a call that names its searcher.
func to(target, id string) *Call {
	c := get(id)
	c.Target = target
	return c
}

// TestIdentity: a new connection carries a request once its searcher is known to be at the other end: it was vouched for, has answered
// lately, or says so itself.
func TestIdentity(t *testing.T) {
	s, p := setup(t, faulty.Options{ID: "i-1"}, Options{ProbePath: probePath, VouchFor: time.Hour})
	probes := 0
	do := func(call *Call, probed bool) {
		t.Helper()
		a := p.Do(call)
		must.Eq(t, Answered, a.Outcome, must.Sprint(a.Err))
		if probed {
			probes++
		}
		must.Eq(t, probes, s.Probes())
	}
	vouched := to("i-1", "a1")
	vouched.VouchedUntil = time.Now().Add(time.Hour)
	do(vouched, false)
	do(to("i-1", "a2"), false) // over the same connection
	p.Retire()
	do(to("i-1", "a3"), false) // it has answered lately
	p.Retire()
	p.sign = p.sign.Add(-time.Hour)
	do(to("i-1", "a4"), true)
	do(to("i-1", "a5"), false)
	p.Retire()
	p.sign = time.Time{}
	do(to("i-1", "a6"), true)
	must.Eq(t, 4, s.Accepted())
	p.Follow(0, "") // nobody can be asked
	p.Retire()
	p.sign = time.Time{}
	do(to("i-1", "a7"), false)
}

// TestVouchRunsOut: what was vouched for when a call was decided on holds for a connection that is made soon.
func TestVouchRunsOut(t *testing.T) {
	s, p := setup(t, faulty.Options{ID: "i-2"}, Options{ProbePath: probePath})
	c := to("i-1", "a1")
	c.VouchedUntil = time.Now()
	a := p.Do(c)
	must.True(t, a.Misdirected() && !a.Wrote)
	must.Eq(t, 0, s.Ledger().Arrived("a1"))
}

// TestAnotherAtTheAddress: a request for a searcher whose address is another's is not sent, and its end says why.
func TestAnotherAtTheAddress(t *testing.T) {
	s, p := setup(t, faulty.Options{ID: "i-2"}, Options{ProbePath: probePath, VouchFor: time.Hour})
	for range 2 {
		a := p.Do(to("i-1", "a1"))
		must.Eq(t, NotExecuted, a.Outcome)
		must.True(t, a.Misdirected() && !a.Wrote)
		must.Eq(t, "i-2", a.SearcherID)
	}
	must.Eq(t, 0, s.Ledger().Arrived("a1"))
	must.Eq(t, 0, p.Open())

	// Where it was vouched for, the request finds out, and what answered before vouches no more.
	p.sign = time.Now()
	sent := to("i-1", "a2")
	a := p.Do(sent)
	must.True(t, a.Misdirected() && a.Wrote)
	must.Eq(t, 1, s.Ledger().Arrived("a2"))
	a = p.Do(to("i-1", "a3"))
	must.True(t, a.Misdirected() && !a.Wrote)
	must.Eq(t, 0, s.Ledger().Arrived("a3"))
}

// TestProbeThatComesToNothing: a connection whose other end does not say who it is carries nothing, for no longer than a connection may
// take; one that says nothing of itself is asked by the request, which names its searcher.
func TestProbeThatComesToNothing(t *testing.T) {
	for name, c := range map[string]struct {
		reply faulty.Reply
		out   Outcome
	}{
		"silence":        {faulty.Reply{Way: faulty.Hang}, NoConnect},
		"reset":          {faulty.Reply{Way: faulty.ResetRun}, NoConnect},
		"no answer":      {faulty.Reply{Way: faulty.Spoil}, NoConnect},
		"full":           {faulty.Reply{Way: faulty.Refuse}, NotExecuted},
		"it won't say":   {faulty.Reply{RawBack: []byte("HTTP/1.1 503 Ill\r\nContent-Length: 0\r\n\r\n")}, Answered},
		"closed after":   {faulty.Reply{Way: faulty.CloseAfter}, Answered},
		"it feels ill":   {faulty.Reply{Status: 503}, Answered},
		"none of a kind": {faulty.Reply{Way: faulty.NoLength, Status: 404}, NoConnect},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			script := func(call faulty.Call) faulty.Reply {
				if call.AttemptID == "" {
					return c.reply
				}
				return faulty.Reply{}
			}
			s, p := setup(t, faulty.Options{ID: "i-1", Script: script, ScriptProbes: true}, Options{ProbePath: probePath, VouchFor: time.Hour, ConnectTimeout: 200 * time.Millisecond})
			a := p.Do(to("i-1", "a1"))
			must.Eq(t, c.out, a.Outcome, must.Sprint(a.Err))
			must.Eq(t, a.Wrote, c.out == Answered)
			must.Eq(t, a.Wrote, s.Ledger().Arrived("a1") == 1)
			must.False(t, a.Misdirected())
		})
	}
}

// TestFullSearcherIsProbedAgain: the connection on which a full searcher turned a probe away is kept, and asked again before its first
// request.
func TestFullSearcherIsProbedAgain(t *testing.T) {
	s, p := setup(t, faulty.Options{ID: "i-1", Capacity: 1}, Options{ProbePath: probePath, VouchFor: time.Hour})
	other := NewPool(s.Addr(), Options{})
	t.Cleanup(other.Close)
	_, answers, release := busy(t, s, other, 1)
	a := p.Do(to("i-1", "a1"))
	must.Eq(t, NotExecuted, a.Outcome)
	must.Eq(t, 1, p.Idle())
	release()
	<-answers
	eventually(t, func() bool { running, _ := s.Load(); return running == 0 })
	must.Eq(t, Answered, p.Do(to("i-1", "a2")).Outcome)
	must.Eq(t, 2, s.Probes())
	must.Eq(t, 2, s.Accepted()) // the other pool's, and this one
	must.Eq(t, 0, s.Ledger().Arrived("a1"))
}

// TestCancelledProbe: a call that is called off while its connection is probed ends at once, and nothing of it goes out.
func TestCancelledProbe(t *testing.T) {
	at := make(chan bool, 1)
	s, p := setup(t, faulty.Options{ID: "i-1", ScriptProbes: true, Script: func(faulty.Call) faulty.Reply { at <- true; return faulty.Reply{Way: faulty.Hang} }},
		Options{ProbePath: probePath, ConnectTimeout: time.Hour})
	c := to("i-1", "a1")
	answer := make(chan Answer, 1)
	go func() { answer <- p.Do(c) }()
	<-at
	c.Cancel()
	a := <-answer
	must.Eq(t, Cancelled, a.Outcome)
	must.False(t, a.Wrote)
	must.Eq(t, 0, s.Ledger().Arrived("a1"))
	must.Eq(t, 0, p.Open())
}

// TestGivenUpIsTakenBack: a connection on which a call was given up is reset, so that what the kernel has not delivered is dropped.
func TestGivenUpIsTakenBack(t *testing.T) {
	for name, give := range map[string]func(c *Call){
		"called off": func(c *Call) { c.Cancel() },
		"too late":   func(c *Call) {},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer ln.Close()
			p := NewPool(ln.Addr().String(), Options{})
			defer p.Close()
			c := get("a1")
			if name == "too late" {
				c.Deadline = time.Now().Add(50 * time.Millisecond)
			}
			answer := make(chan Answer, 1)
			go func() { answer <- p.Do(c) }()
			far, err := ln.Accept()
			must.NoError(t, err)
			defer far.Close()
			far.SetReadDeadline(time.Now().Add(10 * time.Second))
			_, err = far.Read(make([]byte, 1000))
			must.NoError(t, err)
			give(c)
			<-answer
			_, err = io.Copy(io.Discard, far)
			must.True(t, errors.Is(err, syscall.ECONNRESET), must.Sprint(err))
		})
	}
}

// TestFollow: the bound on connections may change after the pool was made.
func TestFollow(t *testing.T) {
	s, p := setup(t, faulty.Options{}, Options{ConnMost: 1})
	_, _, release := busy(t, s, p, 1)
	defer release()
	must.ErrorIs(t, p.Do(get("a1")).Err, ErrFull)
	p.Follow(2, "")
	must.Eq(t, Answered, p.Do(get("a2")).Outcome)
	p.Follow(1, "")
	must.Eq(t, Answered, p.Do(get("a3")).Outcome) // over the one that is open
}

// TestUnreachable: an address where nobody listens, or nobody answers for as long as a connection may take, is unreachable; a call without
// that much time says nothing of it.
func TestUnreachable(t *testing.T) {
	s, p := setup(t, faulty.Options{}, Options{})
	s.Close()
	must.True(t, p.Do(get("a1")).Unreachable)

	for name, c := range map[string]struct {
		left, most time.Duration
		want       bool
	}{
		"the call's own time is over": {20 * time.Millisecond, 10 * time.Second, false},
		"nobody answers":              {10 * time.Second, 20 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			full := unanswered(t)
			p := NewPool(full, Options{ConnectTimeout: c.most})
			call := get("a1")
			call.Deadline = time.Now().Add(c.left)
			a := p.Do(call)
			must.Eq(t, NoConnect, a.Outcome)
			must.Eq(t, c.want, a.Unreachable, must.Sprint(a.Err))
		})
	}
}

// unanswered gives an address at which new connections get no answer: its queue of them is full.
func unanswered(t *testing.T) string {
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
