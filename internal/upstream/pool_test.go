package upstream

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"peathollow/internal/standin/faulty"
)

// setup starts a faulty searcher and a pool to it.
// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 0x12

func setup(t *testing.T, ro faulty.Options, o Options) (*faulty.Server, *Pool) {
	s, err := faulty.Start(ro)
	must.NoError(t, err)
	p := NewPool(s.Addr(), o)
	t.Cleanup(func() { p.Close(); s.Close() })
	return s, p
}

func get(id string) *Call {
	return &Call{Request: Request{Method: "GET", Path: "/p/" + id, Host: "h.example", AttemptID: id},
		Deadline: time.Now().Add(20 * time.Second)}
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
}

// heard waits until there is something to read on every idle connection.
func heard(t *testing.T, p *Pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		must.NoError(t, c.nc.SetDeadline(time.Now().Add(10*time.Second)))
		must.NoError(t, c.raw.Read(func(fd uintptr) bool {
			b := [1]byte{}
			n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK)
			return n >= 0 || err != syscall.EAGAIN
		}))
	}
}

// TestStale: an idle connection that ended or spoke up is found out before anything is written to it.
func TestStale(t *testing.T) {
	for name, spoil := range map[string]func(*faulty.Server) int{
		"closed": func(s *faulty.Server) int { return s.CloseIdle(false) },
		"reset":  func(s *faulty.Server) int { return s.CloseIdle(true) },
		"spoke":  func(s *faulty.Server) int { return s.Say([]byte("HTTP/1.1 408 Timeout\r\n\r\n")) },
	} {
		s, p := setup(t, faulty.Options{}, Options{})
		must.Eq(t, Answered, p.Do(get("a1")).Outcome)
		must.Eq(t, 1, spoil(s), must.Sprint(name))
		heard(t, p)
		a := p.Do(get("a2"))
		must.Eq(t, Answered, a.Outcome, must.Sprint(name, a.Err))
		must.True(t, a.Fresh)
		must.Eq(t, 1, s.Ledger().Arrived("a2"))
		must.Eq(t, 1, p.Open())
	}
}

// busy sends n requests that stay at work until release is called, and gives a channel of their answers.
func busy(t *testing.T, s *faulty.Server, p *Pool, n int) (calls []*Call, answers chan Answer, release func()) {
	hold, at := make(chan struct{}), make(chan struct{})
	s.SetScript(func(faulty.Call) faulty.Reply { at <- struct{}{}; return faulty.Reply{Hold: hold} })
	answers = make(chan Answer, n)
	for i := range n {
		c := get(fmt.Sprint("busy", i))
		calls = append(calls, c)
		go func() { answers <- p.Do(c) }()
	}
	for range n {
		<-at
	}
	s.SetScript(nil)
	return calls, answers, sync.OnceFunc(func() { close(hold) })
}

// TestBounds: connections are never more than may be, the last used goes first, and the others age out.
func TestBounds(t *testing.T) {
	s, p := setup(t, faulty.Options{}, Options{ConnMost: 3})
	_, answers, release := busy(t, s, p, 3)
	a := p.Do(get("a1"))
	must.Eq(t, NoConnect, a.Outcome)
	must.ErrorIs(t, a.Err, ErrFull)
	must.True(t, a.NeverRan())
	must.Eq(t, 3, p.Open())
	release()
	for range 3 {
		must.Eq(t, Answered, (<-answers).Outcome)
	}
	must.Eq(t, 3, p.Idle())
	oldest, last := p.idle[0], p.idle[2]
	for range 5 {
		must.Eq(t, Answered, p.Do(get("a2")).Outcome)
		must.True(t, p.idle[2] == last)
	}
	must.Eq(t, 3, s.Accepted())
	p.mu.Lock()
	oldest.since = oldest.since.Add(-time.Hour)
	p.mu.Unlock()
	p.sweep()
	must.Eq(t, 2, p.Open())
	p.mu.Lock()
	for _, c := range p.idle {
		c.since = c.since.Add(-time.Hour)
	}
	p.mu.Unlock()
	a = p.Do(get("a3")) // too old, whether or not a sweep came by
	must.True(t, a.Outcome == Answered && a.Fresh)
	must.Eq(t, 1, p.Open())
}

func TestIdleEnds(t *testing.T) {
	s, p := setup(t, faulty.Options{KeepAliveS: 1}, Options{IdleMost: time.Hour})
	must.Eq(t, Answered, p.Do(get("a1")).Outcome)
	eventually(t, func() bool { return p.Open() == 0 }) // by the sweep alone
	_, p = setup(t, faulty.Options{}, Options{IdleMost: 20 * time.Millisecond})
	must.Eq(t, Answered, p.Do(get("a1")).Outcome)
	eventually(t, func() bool { return p.Open() == 0 })
	s.SetScript(func(faulty.Call) faulty.Reply { return faulty.Reply{Header: []string{"Keep-Alive: timeout=0"}} })
	p = NewPool(s.Addr(), Options{})
	must.Eq(t, Answered, p.Do(get("a2")).Outcome)
	must.Eq(t, 0, p.Open())
}

func TestRetireAndClose(t *testing.T) {
	s, p := setup(t, faulty.Options{}, Options{})
	must.Eq(t, Answered, p.Do(get("a1")).Outcome)
	p.Retire()
	must.Eq(t, 0, p.Open())
	_, answers, release := busy(t, s, p, 2)
	p.Retire()
	release()
	for range 2 {
		must.Eq(t, Answered, (<-answers).Outcome)
	}
	must.Eq(t, 0, p.Open())
	must.Eq(t, Answered, p.Do(get("a2")).Outcome)
	must.Eq(t, 1, p.Idle())
	p.Close()
	must.Eq(t, 0, p.Open())
	a := p.Do(get("a3"))
	must.True(t, a.Outcome == NoConnect && a.NeverRan())
	must.ErrorIs(t, a.Err, ErrClosed)
}

// TestCancel: Do returns, and the searcher sees the connection close and drops the work.
func TestCancel(t *testing.T) {
	s, p := setup(t, faulty.Options{}, Options{})
	c := get("a0")
	c.Cancel()
	a := p.Do(c)
	must.True(t, a.Outcome == Cancelled && a.NeverRan())
	must.Eq(t, 0, s.Ledger().Arrived("a0"))

	calls, answers, release := busy(t, s, p, 1)
	defer release()
	calls[0].Cancel()
	calls[0].Cancel()
	a = <-answers
	must.True(t, a.Outcome == Cancelled && a.Wrote && !a.NeverRan(), must.Sprint(a))
	must.Eq(t, 0, p.Open())
	eventually(t, func() bool { return s.Ledger().Dropped("busy0") == 1 })

	c = get("a1")
	must.Eq(t, Answered, p.Do(c).Outcome)
	c.Cancel() // too late to touch a connection that is another's by now
	c = get("a2")
	c.Cancel()
	must.Eq(t, Cancelled, p.Do(c).Outcome) // and one never begun leaves the idle one be
	a = p.Do(get("a3"))
	must.True(t, a.Outcome == Answered && !a.Fresh)
}

func TestDeadlines(t *testing.T) {
	dropped := make(chan struct{})
	s, p := setup(t, faulty.Options{}, Options{})
	must.Eq(t, Answered, p.Do(get("a0")).Outcome)
	s.SetScript(func(faulty.Call) faulty.Reply {
		return faulty.Reply{Way: faulty.Hang, OnDrop: func() { close(dropped) }}
	})
	c := get("a1")
	c.Deadline = time.Now().Add(500 * time.Millisecond)
	a := p.Do(c)
	must.True(t, a.Outcome == TimedOut && a.Wrote && !a.NeverRan(), must.Sprint(a))
	must.Eq(t, 0, p.Open())
	<-dropped

	s.SetScript(nil)
	must.Eq(t, Answered, p.Do(get("a2")).Outcome)
	for _, change := range []func(c *Call){
		func(c *Call) { c.Deadline = time.Now().Add(-time.Second) },
		func(c *Call) { c.ToldDeadline = time.Now() },
	} {
		c := get("a3")
		change(c)
		a := p.Do(c)
		must.True(t, a.Outcome == NoConnect && a.NeverRan(), must.Sprint(a))
		must.Eq(t, 0, s.Ledger().Arrived("a3"))
		must.Eq(t, 1, p.Idle()) // nothing happened to it
	}
	must.Eq(t, Answered, p.Do(get("a4")).Outcome)
	must.Eq(t, 2, s.Accepted())
}

// deaf gives an address whose queue of new connections is full, so that dials hang.
func deaf(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	must.NoError(t, err)
	t.Cleanup(func() { syscall.Close(fd) })
	must.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	must.NoError(t, err)
	addr := fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port)
	for range 8 {
		c, err := net.DialTimeout("tcp", addr, 500*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the queue never fills")
	return ""
}

func TestNoConnect(t *testing.T) {
	s, p := setup(t, faulty.Options{}, Options{})
	s.Close()
	a := p.Do(get("a1"))
	must.True(t, a.Outcome == NoConnect && a.NeverRan())
	must.ErrorIs(t, a.Err, syscall.ECONNREFUSED)
	must.StrContains(t, a.Err.Error(), s.Addr())

	p = NewPool(deaf(t), Options{ConnectTimeout: 30 * time.Millisecond})
	a = p.Do(get("a2"))
	must.True(t, a.Outcome == NoConnect && a.NeverRan())
	p.opts.ConnectTimeout = time.Hour
	c := get("a3")
	c.Deadline = time.Now().Add(30 * time.Millisecond)
	must.Eq(t, NoConnect, p.Do(c).Outcome)
	c = get("a4")
	done := make(chan Answer)
	go func() { done <- p.Do(c) }()
	eventually(t, func() bool { return p.Open() == 1 })
	c.Cancel()
	a = <-done
	must.True(t, a.Outcome == Cancelled && a.NeverRan())
	must.Eq(t, 0, p.Open())

	s, p = setup(t, faulty.Options{ConnLimit: 1}, Options{})
	_, answers, release := busy(t, s, p, 1)
	a = p.Do(get("a5")) // reset at the door: whether before or after the write is the kernel's affair
	must.True(t, a.Outcome == NoConnect && !a.Wrote || a.Outcome == Broken && a.Wrote, must.Sprint(a))
	must.Eq(t, 0, s.Ledger().Arrived("a5"))
	release()
	must.Eq(t, Answered, (<-answers).Outcome)
}

func TestSocketOptions(t *testing.T) {
	_, p := setup(t, faulty.Options{}, Options{})
	must.Eq(t, Answered, p.Do(get("a1")).Outcome)
	must.NoError(t, p.idle[0].raw.Control(func(fd uintptr) {
		for opt, want := range map[int]int{tcpUserTimeout: 3000, syscall.TCP_NODELAY: 1, syscall.TCP_KEEPIDLE: 2, syscall.TCP_KEEPINTVL: 1} {
			got, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, opt)
			must.NoError(t, err)
			must.Eq(t, want, got)
		}
		on, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
		must.True(t, err == nil && on == 1)
	}))
}

// TestHammer: whatever a searcher and the callers do at once, an answer is the request's own, nothing is sent twice and
// no connection is lost count of.
func TestHammer(t *testing.T) {
	s, p := setup(t, faulty.Options{Capacity: 4, Queue: 2, KeepAliveS: 5}, Options{ConnMost: 12})
	s.SetScript(func(c faulty.Call) faulty.Reply {
		var way faulty.Way
		if n := rand.IntN(60); n <= int(faulty.CloseUnsaid) {
			way = faulty.Way(n)
		}
		return faulty.Reply{Way: way, Work: time.Duration(rand.IntN(300)) * time.Microsecond}
	})
	var all sync.WaitGroup
	for g := range 16 {
		all.Go(func() {
			for i := range 60 {
				c := get(fmt.Sprintf("g%d-%d", g, i))
				c.Deadline = time.Now().Add(200 * time.Millisecond)
				if i%7 == 0 {
					stop := time.AfterFunc(time.Duration(rand.IntN(500))*time.Microsecond, c.Cancel)
					defer stop.Stop()
				}
				a := p.Do(c)
				if a.NeverRan() && s.Ledger().Ran(c.AttemptID) > 0 {
					t.Error("ran though it never did", c.AttemptID, a)
				}
				whole := faulty.Records(s.ID(), c.Path, 4)
				if a.Outcome == Answered && a.Status == 200 && !bytes.HasPrefix(whole, a.Body) {
					t.Error("another's answer", c.AttemptID, a)
				}
				if p.Open() > 12 {
					t.Error("too many connections")
				}
			}
		})
	}
	all.Wait()
	must.SliceEmpty(t, s.Ledger().Twice(nil))
	must.Eq(t, p.Idle(), p.Open())
}

// TestShortWrite: of a request that only partly went out, nobody knows.
func TestShortWrite(t *testing.T) {
	for want, end := range map[Outcome]func(*net.TCPConn){
		Broken:   func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		TimedOut: func(c *net.TCPConn) {}, // reads no more
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		defer ln.Close()
		go func() {
			if c, err := ln.Accept(); err == nil {
				io.CopyN(io.Discard, c, 1000)
				end(c.(*net.TCPConn))
				ln.Accept() // keeps c
				c.Close()
			}
		}()
		p := NewPool(ln.Addr().String(), Options{})
		c := get("a1")
		c.Method, c.Body = "POST", []byte(strings.Repeat("x", 64<<20))
		if want == TimedOut {
			c.Deadline = time.Now().Add(time.Second)
		}
		a := p.Do(c)
		must.True(t, a.Outcome == want && a.Wrote && !a.NeverRan(), must.Sprint(a.Outcome, a.Err))
		must.Eq(t, 0, p.Open())
	}
}
