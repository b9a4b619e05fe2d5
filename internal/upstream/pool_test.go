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

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 0x12

// setup starts a faulty searcher and a pool of connections to it.
func setup(t *testing.T, serverOptions faulty.Options, options Options) (*faulty.Server, *Pool) {
	server, err := faulty.Start(serverOptions)
	must.NoError(t, err)
	pool := NewPool(server.Addr(), options)
	t.Cleanup(func() { pool.Close(); server.Close() })
	return server, pool
}

// newExchange returns an exchange with a deadline of 20 s.
func newExchange(id string) *Exchange {
	return &Exchange{Request: Request{Method: "GET", Path: "/p/" + id, Host: "h.example", AttemptID: id},
		Deadline: time.Now().Add(20 * time.Second)}
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
}

// waitReadable waits until every idle connection has something to read.
func waitReadable(t *testing.T, p *Pool) {
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

// TestStale checks that an idle connection that was closed or has received data is detected before a request is written
// to it.
func TestStale(t *testing.T) {
	for name, disturb := range map[string]func(*faulty.Server) int{
		"closed": func(s *faulty.Server) int { return s.CloseIdle(false) },
		"reset":  func(s *faulty.Server) int { return s.CloseIdle(true) },
		"spoke":  func(s *faulty.Server) int { return s.WriteUnsolicited([]byte("HTTP/1.1 408 Timeout\r\n\r\n")) },
	} {
		s, p := setup(t, faulty.Options{}, Options{})
		must.Eq(t, Answered, p.Do(newExchange("a1")).Outcome)
		must.Eq(t, 1, disturb(s), must.Sprint(name))
		waitReadable(t, p)
		response := p.Do(newExchange("a2"))
		must.Eq(t, Answered, response.Outcome, must.Sprint(name, response.Err))
		must.True(t, response.NewConnection)
		must.Eq(t, 1, s.Ledger().Arrived("a2"))
		must.Eq(t, 1, p.OpenConns())
	}
}

// startBlocked sends n requests that block at the searcher until release is called. Their responses go to the channel.
func startBlocked(t *testing.T, server *faulty.Server, pool *Pool, n int) (exchanges []*Exchange,
	responses chan Response, release func()) {
	unblock, arrived := make(chan struct{}), make(chan struct{})
	server.SetScript(func(faulty.Call) faulty.Reply { arrived <- struct{}{}; return faulty.Reply{Hold: unblock} })
	responses = make(chan Response, n)
	for i := range n {
		c := newExchange(fmt.Sprint("busy", i))
		exchanges = append(exchanges, c)
		go func() { responses <- pool.Do(c) }()
	}
	for range n {
		<-arrived
	}
	server.SetScript(nil)
	return exchanges, responses, sync.OnceFunc(func() { close(unblock) })
}

// TestConnectionLimit checks the maximum number of connections, the reuse of the most recently used one, and the idle
// timeout.
func TestConnectionLimit(t *testing.T) {
	s, p := setup(t, faulty.Options{}, Options{MaxConns: 3})
	_, responses, release := startBlocked(t, s, p, 3)
	response := p.Do(newExchange("a1"))
	must.Eq(t, ConnectFailed, response.Outcome)
	must.ErrorIs(t, response.Err, ErrFull)
	must.True(t, response.NeverExecuted())
	must.Eq(t, 3, p.OpenConns())
	release()
	for range 3 {
		must.Eq(t, Answered, (<-responses).Outcome)
	}
	must.Eq(t, 3, p.IdleConns())
	oldest, last := p.idle[0], p.idle[2]
	for range 5 {
		must.Eq(t, Answered, p.Do(newExchange("a2")).Outcome)
		must.True(t, p.idle[2] == last)
	}
	must.Eq(t, 3, s.Accepted())
	p.mu.Lock()
	oldest.idleSince = oldest.idleSince.Add(-time.Hour)
	p.mu.Unlock()
	p.sweep()
	must.Eq(t, 2, p.OpenConns())
	p.mu.Lock()
	for _, c := range p.idle {
		c.idleSince = c.idleSince.Add(-time.Hour)
	}
	p.mu.Unlock()
	response = p.Do(newExchange("a3")) // expired, whether or not a sweep has run
	must.True(t, response.Outcome == Answered && response.NewConnection)
	must.Eq(t, 1, p.OpenConns())
}

func TestIdleTimeout(t *testing.T) {
	s, p := setup(t, faulty.Options{KeepAliveSeconds: 1}, Options{IdleTimeout: time.Hour})
	must.Eq(t, Answered, p.Do(newExchange("a1")).Outcome)
	eventually(t, func() bool { return p.OpenConns() == 0 }) // closed by the sweep alone
	_, p = setup(t, faulty.Options{}, Options{IdleTimeout: 20 * time.Millisecond})
	must.Eq(t, Answered, p.Do(newExchange("a1")).Outcome)
	eventually(t, func() bool { return p.OpenConns() == 0 })
	s.SetScript(func(faulty.Call) faulty.Reply { return faulty.Reply{Header: []string{"Keep-Alive: timeout=0"}} })
	p = NewPool(s.Addr(), Options{})
	must.Eq(t, Answered, p.Do(newExchange("a2")).Outcome)
	must.Eq(t, 0, p.OpenConns())
}

func TestRetireAndClose(t *testing.T) {
	s, p := setup(t, faulty.Options{}, Options{})
	must.Eq(t, Answered, p.Do(newExchange("a1")).Outcome)
	p.Retire()
	must.Eq(t, 0, p.OpenConns())
	_, responses, release := startBlocked(t, s, p, 2)
	p.Retire()
	release()
	for range 2 {
		must.Eq(t, Answered, (<-responses).Outcome)
	}
	must.Eq(t, 0, p.OpenConns())
	must.Eq(t, Answered, p.Do(newExchange("a2")).Outcome)
	must.Eq(t, 1, p.IdleConns())
	p.Close()
	must.Eq(t, 0, p.OpenConns())
	response := p.Do(newExchange("a3"))
	must.True(t, response.Outcome == ConnectFailed && response.NeverExecuted())
	must.ErrorIs(t, response.Err, ErrClosed)
}

// TestCancel checks that Do returns, and that the searcher sees the connection close and drops the work.
func TestCancel(t *testing.T) {
	s, p := setup(t, faulty.Options{}, Options{})
	c := newExchange("a0")
	c.Cancel()
	response := p.Do(c)
	must.True(t, response.Outcome == Cancelled && response.NeverExecuted())
	must.Eq(t, 0, s.Ledger().Arrived("a0"))

	exchanges, responses, release := startBlocked(t, s, p, 1)
	defer release()
	exchanges[0].Cancel()
	exchanges[0].Cancel()
	response = <-responses
	must.True(t, response.Outcome == Cancelled && response.Wrote && !response.NeverExecuted(), must.Sprint(response))
	must.Eq(t, 0, p.OpenConns())
	eventually(t, func() bool { return s.Ledger().Dropped("busy0") == 1 })

	c = newExchange("a1")
	must.Eq(t, Answered, p.Do(c).Outcome)
	c.Cancel() // too late: the connection may already serve another exchange
	c = newExchange("a2")
	c.Cancel()
	must.Eq(t, Cancelled, p.Do(c).Outcome) // an exchange cancelled before it began leaves the idle connection alone
	response = p.Do(newExchange("a3"))
	must.True(t, response.Outcome == Answered && !response.NewConnection)
}

func TestDeadlines(t *testing.T) {
	dropped := make(chan struct{})
	s, p := setup(t, faulty.Options{}, Options{})
	must.Eq(t, Answered, p.Do(newExchange("a0")).Outcome)
	s.SetScript(func(faulty.Call) faulty.Reply {
		return faulty.Reply{Fault: faulty.Hang, OnDisconnect: func() { close(dropped) }}
	})
	c := newExchange("a1")
	c.Deadline = time.Now().Add(500 * time.Millisecond)
	response := p.Do(c)
	must.True(t, response.Outcome == TimedOut && response.Wrote && !response.NeverExecuted(), must.Sprint(response))
	must.Eq(t, 0, p.OpenConns())
	<-dropped

	s.SetScript(nil)
	must.Eq(t, Answered, p.Do(newExchange("a2")).Outcome)
	for _, change := range []func(c *Exchange){
		func(c *Exchange) { c.Deadline = time.Now().Add(-time.Second) },
		func(c *Exchange) { c.AdvertisedDeadline = time.Now() },
	} {
		c := newExchange("a3")
		change(c)
		response := p.Do(c)
		must.True(t, response.Outcome == ConnectFailed && response.NeverExecuted(), must.Sprint(response))
		must.Eq(t, 0, s.Ledger().Arrived("a3"))
		must.Eq(t, 1, p.IdleConns()) // the connection was not used
	}
	must.Eq(t, Answered, p.Do(newExchange("a4")).Outcome)
	must.Eq(t, 2, s.Accepted())
}

// unansweredAddress returns an address whose accept queue is full, so that dials hang.
func unansweredAddress(t *testing.T) string {
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
	t.Fatal("accept queue does not fill up")
	return ""
}

func TestNoConnect(t *testing.T) {
	s, p := setup(t, faulty.Options{}, Options{})
	s.Close()
	response := p.Do(newExchange("a1"))
	must.True(t, response.Outcome == ConnectFailed && response.NeverExecuted())
	must.ErrorIs(t, response.Err, syscall.ECONNREFUSED)
	must.StrContains(t, response.Err.Error(), s.Addr())

	p = NewPool(unansweredAddress(t), Options{ConnectTimeout: 30 * time.Millisecond})
	response = p.Do(newExchange("a2"))
	must.True(t, response.Outcome == ConnectFailed && response.NeverExecuted())
	p.opts.ConnectTimeout = time.Hour
	c := newExchange("a3")
	c.Deadline = time.Now().Add(30 * time.Millisecond)
	must.Eq(t, ConnectFailed, p.Do(c).Outcome)
	c = newExchange("a4")
	done := make(chan Response)
	go func() { done <- p.Do(c) }()
	eventually(t, func() bool { return p.OpenConns() == 1 })
	c.Cancel()
	response = <-done
	must.True(t, response.Outcome == Cancelled && response.NeverExecuted())
	must.Eq(t, 0, p.OpenConns())

	s, p = setup(t, faulty.Options{ConnLimit: 1}, Options{})
	_, responses, release := startBlocked(t, s, p, 1)
	response = p.Do(newExchange("a5")) // reset by the searcher, seen before or after the write depending on the kernel
	must.True(t, response.Outcome == ConnectFailed && !response.Wrote ||
		response.Outcome == ConnectionLost && response.Wrote, must.Sprint(response))
	must.Eq(t, 0, s.Ledger().Arrived("a5"))
	release()
	must.Eq(t, Answered, (<-responses).Outcome)
}

func TestSocketOptions(t *testing.T) {
	_, p := setup(t, faulty.Options{}, Options{})
	must.Eq(t, Answered, p.Do(newExchange("a1")).Outcome)
	must.NoError(t, p.idle[0].raw.Control(func(fd uintptr) {
		for opt, want := range map[int]int{tcpUserTimeout: 3000, syscall.TCP_NODELAY: 1, syscall.TCP_KEEPIDLE: 2,
			syscall.TCP_KEEPINTVL: 1} {
			got, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, opt)
			must.NoError(t, err)
			must.Eq(t, want, got)
		}
		on, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
		must.True(t, err == nil && on == 1)
	}))
}

// TestConcurrentFaults checks under random faults and cancellations that a response belongs to its request, no request
// is sent twice, and the count of open connections stays correct.
func TestConcurrentFaults(t *testing.T) {
	s, p := setup(t, faulty.Options{Capacity: 4, Queue: 2, KeepAliveSeconds: 5}, Options{MaxConns: 12})
	s.SetScript(func(c faulty.Call) faulty.Reply {
		var way faulty.Fault
		if n := rand.IntN(60); n <= int(faulty.CloseUnannounced) {
			way = faulty.Fault(n)
		}
		return faulty.Reply{Fault: way, Work: time.Duration(rand.IntN(300)) * time.Microsecond}
	})
	var workers sync.WaitGroup
	for g := range 16 {
		workers.Go(func() {
			for i := range 60 {
				c := newExchange(fmt.Sprintf("g%d-%d", g, i))
				c.Deadline = time.Now().Add(200 * time.Millisecond)
				if i%7 == 0 {
					stop := time.AfterFunc(time.Duration(rand.IntN(500))*time.Microsecond, c.Cancel)
					defer stop.Stop()
				}
				response := p.Do(c)
				if response.NeverExecuted() && s.Ledger().Ran(c.AttemptID) > 0 {
					t.Error("reported as not run, but ran", c.AttemptID, response)
				}
				whole := faulty.Records(s.ID(), c.Path, 4)
				if response.Outcome == Answered && response.Status == 200 && !bytes.HasPrefix(whole, response.Body) {
					t.Error("response to another request", c.AttemptID, response)
				}
				if p.OpenConns() > 12 {
					t.Error("too many connections")
				}
			}
		})
	}
	workers.Wait()
	must.SliceEmpty(t, s.Ledger().RanTwice(nil))
	must.Eq(t, p.IdleConns(), p.OpenConns())
}

// TestShortWrite checks that a request that was written only partly is reported as one that may have run.
func TestShortWrite(t *testing.T) {
	for want, endConn := range map[Outcome]func(*net.TCPConn){
		ConnectionLost: func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		TimedOut:       func(c *net.TCPConn) {}, // stops reading
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		defer ln.Close()
		go func() {
			if c, err := ln.Accept(); err == nil {
				io.CopyN(io.Discard, c, 1000)
				endConn(c.(*net.TCPConn))
				ln.Accept() // blocks, so that c stays open
				c.Close()
			}
		}()
		p := NewPool(ln.Addr().String(), Options{})
		c := newExchange("a1")
		c.Method, c.Body = "POST", []byte(strings.Repeat("x", 64<<20))
		if want == TimedOut {
			c.Deadline = time.Now().Add(time.Second)
		}
		response := p.Do(c)
		must.True(t, response.Outcome == want && response.Wrote && !response.NeverExecuted(),
			must.Sprint(response.Outcome, response.Err))
		must.Eq(t, 0, p.OpenConns())
	}
}
