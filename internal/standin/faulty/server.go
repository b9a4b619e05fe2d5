package faulty

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Options configures a Server. The zero value is valid.
type Options struct {
	ID               string        // default: "i-" followed by the port
	Addr             string        // default: a free port of 127.0.0.1
	Capacity         int           // requests that run at the same time; default 8
	Queue            int           // further requests that may wait for a slot
	ConnLimit        int           // connections above the limit are reset; 0: no limit
	IdleTimeout      time.Duration // closes idle connections after this time; 0: never
	KeepAliveSeconds int           // timeout in the Keep-Alive header; 0: no header
	ProbePath        string        // default: "/health"
	ReportLoad       bool          // adds the Searcher-Load header to responses
	Ledger           *Ledger       // default: a new one
	Script           func(Call) Reply
	// ScriptProbes calls the script for health probes too. Otherwise probes always get a good response and the script
	// does not see them.
	ScriptProbes bool
}

// Server is a searcher on loopback whose faults are scripted.
type Server struct {
	opts       Options
	ln         net.Listener
	ledger     *Ledger
	slots      chan struct{}
	done       chan struct{}
	goroutines sync.WaitGroup

	mu        sync.Mutex
	script    func(Call) Reply
	dropped   int // how often late copies were dropped
	connLimit int
	accepted  int
	probes    int
	waiting   int
	open      map[*peer]struct{}
	closed    bool
	resumed   chan struct{} // closed when the server resumes; nil while it is not paused
}

// peer is one client connection.
type peer struct {
	*net.TCPConn
	in       *bufio.Reader
	nth      int    // requests read so far
	idle     bool   // guarded by Server.mu
	dropped  int    // Server.dropped when the last request was read
	lateCopy []byte // written once the next request has been read, if it was not dropped
}

// Start starts a Server that listens and serves until Close is called.
func Start(o Options) (*Server, error) {
	if o.Addr == "" {
		o.Addr = "127.0.0.1:0"
	}
	if o.Capacity == 0 {
		o.Capacity = 8
	}
	if o.ProbePath == "" {
		o.ProbePath = "/health"
	}
	if o.Ledger == nil {
		o.Ledger = &Ledger{}
	}
	ln, err := net.Listen("tcp", o.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "faulty searcher")
	}
	if o.ID == "" {
		o.ID = "i-" + strconv.Itoa(ln.Addr().(*net.TCPAddr).Port)
	}
	s := &Server{opts: o, ln: ln, ledger: o.Ledger, slots: make(chan struct{}, o.Capacity), done: make(chan struct{}),
		script: o.Script, connLimit: o.ConnLimit, open: map[*peer]struct{}{}}
	s.goroutines.Go(s.accept)
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// ID returns the searcher ID that the Target-Searcher header of a request must name.
func (s *Server) ID() string { return s.opts.ID }

// Ledger returns the ledger that records the requests of the server.
func (s *Server) Ledger() *Ledger { return s.ledger }

// SetScript replaces the script from the next request on. Without a script (nil) every response is good.
func (s *Server) SetScript(f func(Call) Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = f
}

// DropLateCopies drops the late copies of responses to requests read so far, if they were not sent yet.
func (s *Server) DropLateCopies() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped++
}

// SetConnLimit sets the maximum number of open connections; 0 means no limit.
func (s *Server) SetConnLimit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connLimit = n
}

// Accepted returns the number of connections accepted so far, including those that were reset at once.
func (s *Server) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Probes returns the number of health probes received.
func (s *Server) Probes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes
}

func (s *Server) isProbe(c *Call) bool { return c.Path == s.opts.ProbePath && c.AttemptID == "" }

// eachIdle calls a function for each connection that has no request in flight, and returns their number.
func (s *Server) eachIdle(do func(*peer)) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.open {
		if p.idle {
			do(p)
			n++
		}
	}
	return n
}

// CloseIdle closes the connections that have no request in flight, with a TCP reset if reset is set, and returns
// their number.
func (s *Server) CloseIdle(reset bool) int {
	return s.eachIdle(func(p *peer) { p.end(reset) })
}

// ResetConns resets all open connections.
func (s *Server) ResetConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.open {
		p.end(true)
	}
}

// WriteUnsolicited writes unsolicited bytes to the connections that have no request in flight, and returns their number.
func (s *Server) WriteUnsolicited(b []byte) int {
	return s.eachIdle(func(p *peer) { p.Write(b) })
}

// Close stops the server as a crash would: the port is closed and all connections are reset.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.done)
	}
	s.mu.Unlock()
	s.ln.Close()
	s.ResetConns()
	s.goroutines.Wait()
}

// Pause pauses the server like a process stopped by SIGSTOP: the kernel still accepts connections and bytes, but the
// server reads and writes nothing until Resume. It then also reads requests that its clients have abandoned meanwhile.
func (s *Server) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed == nil {
		s.resumed = make(chan struct{})
	}
}

// Resume resumes a paused server.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed != nil {
		close(s.resumed)
		s.resumed = nil
	}
}

// waitWhilePaused blocks until the server is not paused or is closed.
func (s *Server) waitWhilePaused() {
	s.mu.Lock()
	resumed := s.resumed
	s.mu.Unlock()
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
	case <-s.done:
	}
}

func (p *peer) end(reset bool) {
	if reset {
		p.SetLinger(0)
	}
	p.TCPConn.Close()
}

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.waitWhilePaused()
		p := &peer{TCPConn: c.(*net.TCPConn), in: bufio.NewReader(c), idle: true}
		s.mu.Lock()
		s.accepted++
		if s.closed || s.connLimit > 0 && len(s.open) >= s.connLimit {
			p.end(true)
		} else {
			s.open[p] = struct{}{}
			n := s.accepted
			s.goroutines.Go(func() { s.serve(p, n) })
		}
		s.mu.Unlock()
	}
}

func (s *Server) serve(p *peer, conn int) {
	defer func() {
		s.mu.Lock()
		delete(s.open, p)
		s.mu.Unlock()
		p.end(false)
	}()
	for {
		var idleDeadline time.Time
		if s.opts.IdleTimeout > 0 {
			idleDeadline = time.Now().Add(s.opts.IdleTimeout)
		}
		p.SetReadDeadline(idleDeadline)
		c, err := readCall(p.in)
		if err != nil {
			return
		}
		s.waitWhilePaused() // bytes received during a pause count as read once it ends
		p.nth++
		c.Conn, c.Nth = conn, p.nth
		s.mu.Lock()
		p.idle = false
		script, dropped := s.script, s.dropped
		s.mu.Unlock()
		if dropped == p.dropped {
			p.Write(p.lateCopy)
		}
		p.dropped, p.lateCopy = dropped, nil
		var r Reply
		if s.isProbe(c) {
			s.mu.Lock()
			s.probes++
			s.mu.Unlock()
			if !s.opts.ScriptProbes {
				script = nil
			}
		}
		if script != nil {
			r = script(*c)
		}
		if !s.answer(p, c, &r) {
			return
		}
	}
}

// Load returns the number of running and of queued requests.
func (s *Server) Load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.slots), s.waiting
}

// write sends the bytes of a response. The connection counts as idle from then on.
func (s *Server) write(p *peer, b []byte) bool {
	s.mu.Lock()
	p.idle = true
	s.mu.Unlock()
	s.waitWhilePaused()
	_, err := p.Write(b)
	return err == nil
}

func readCall(in *bufio.Reader) (*Call, error) {
	var head strings.Builder
	length := 0
	c := &Call{DeadlineMs: -1}
	for first := true; ; first = false {
		line, err := in.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimSuffix(line, "\r\n")
		if line == "" {
			break
		}
		head.WriteString(line + "\n")
		if first {
			var ok bool
			c.Method, line, ok = strings.Cut(line, " ")
			c.Path, line, _ = strings.Cut(line, " ")
			if !ok || line != "HTTP/1.1" {
				return nil, errors.New("not a request line")
			}
			continue
		}
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case "Host":
			c.Host = value
		case "Attempt-Id":
			c.AttemptID = value
		case "Target-Searcher":
			c.Target = value
		case "Deadline-Ms":
			c.DeadlineMs, err = strconv.ParseInt(value, 10, 64)
		case "Content-Length":
			length, err = strconv.Atoi(value)
		}
		if err != nil {
			return nil, err
		}
	}
	c.Head = head.String()
	if length > 0 {
		c.Body = make([]byte, length)
		if _, err := io.ReadFull(in, c.Body); err != nil {
			return nil, err
		}
	}
	return c, nil
}
