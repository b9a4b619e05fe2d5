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

// Options set a server up; its zero value will do.
type Options struct {
	ID         string        // "i-" and the port if empty
	Addr       string        // a free port of 127.0.0.1 if empty
	Capacity   int           // requests at work; 8 if 0
	Queue      int           // requests waiting beyond them
	ConnLimit  int           // connections beyond it are reset; none if 0
	Idle       time.Duration // idle connections are closed after it; never if 0
	KeepAliveS int           // told in Keep-Alive; not if 0
	ProbePath  string        // "/health" if empty
	TellLoad   bool          // adds Searcher-Load
	Ledger     *Ledger       // its own if nil
	Script     func(Call) Reply
	// ScriptProbes has the script asked for probes too; else they are answered well, and neither they nor the script know of each other.
	ScriptProbes bool
}

// Server is one faulty searcher.
type Server struct {
	opts   Options
	ln     net.Listener
	ledger *Ledger
	slots  chan struct{}
	done   chan struct{}
	all    sync.WaitGroup

	mu        sync.Mutex
	script    func(Call) Reply
	connLimit int
	accepted  int
	probes    int
	waiting   int
	open      map[*peer]struct{}
	closed    bool
	thawed    chan struct{} // closed when it goes on; nil: it does not stand still
}

// peer is one connection.
type peer struct {
	*net.TCPConn
	in   *bufio.Reader
	nth  int
	idle bool   // under the server's mutex
	owed []byte // goes out before the next answer
}

// Start listens and serves until Close.
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
	s.all.Go(s.accept)
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// ID is what Target-Searcher must name.
func (s *Server) ID() string { return s.opts.ID }

// Ledger is where its requests are booked.
func (s *Server) Ledger() *Ledger { return s.ledger }

// SetScript changes what is asked from the next request on; nil: good answers.
func (s *Server) SetScript(f func(Call) Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = f
}

// SetConnLimit changes how many connections may be open; 0: any number.
func (s *Server) SetConnLimit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connLimit = n
}

// Accepted tells how many connections there ever were, those reset at once included.
func (s *Server) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Probes tells how often it was probed.
func (s *Server) Probes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes
}

func (s *Server) isProbe(c *Call) bool { return c.Path == s.opts.ProbePath && c.AttemptID == "" }

// CloseIdle ends the connections that have no request under way, by a reset if so wanted, and tells how many.
func (s *Server) CloseIdle(reset bool) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.open {
		if p.idle {
			p.end(reset)
			n++
		}
	}
	return n
}

// Break resets all connections.
func (s *Server) Break() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.open {
		p.end(true)
	}
}

// Say writes bytes that nobody asked for to the connections that have no request under way, and tells to how many.
func (s *Server) Say(b []byte) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.open {
		if p.idle {
			p.Write(b)
			n++
		}
	}
	return n
}

// Close ends it like a crash: the port is dead and all connections are reset.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.done)
	}
	s.mu.Unlock()
	s.ln.Close()
	s.Break()
	s.all.Wait()
}

// Freeze has it stand still, like a process that was stopped: its kernel goes on taking connections and bytes, and it reads and says
// nothing until Thaw. What its callers have given up by then it reads all the same.
func (s *Server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed == nil {
		s.thawed = make(chan struct{})
	}
}

// Thaw lets it go on.
func (s *Server) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed != nil {
		close(s.thawed)
		s.thawed = nil
	}
}

// run waits while the server stands still.
func (s *Server) run() {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	if thawed == nil {
		return
	}
	select {
	case <-thawed:
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
		s.run()
		p := &peer{TCPConn: c.(*net.TCPConn), in: bufio.NewReader(c), idle: true}
		s.mu.Lock()
		s.accepted++
		if s.closed || s.connLimit > 0 && len(s.open) >= s.connLimit {
			p.end(true)
		} else {
			s.open[p] = struct{}{}
			n := s.accepted
			s.all.Go(func() { s.serve(p, n) })
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
		var until time.Time
		if s.opts.Idle > 0 {
			until = time.Now().Add(s.opts.Idle)
		}
		p.SetReadDeadline(until)
		c, err := readCall(p.in)
		if err != nil {
			return
		}
		s.run() // the bytes that were taken just now count as read when it goes on
		p.nth++
		c.Conn, c.Nth = conn, p.nth
		s.mu.Lock()
		p.idle = false
		script := s.script
		s.mu.Unlock()
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

// Load tells how many requests are at work and how many wait.
func (s *Server) Load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.slots), s.waiting
}

// write sends an answer's bytes, what is owed from before first; the connection counts as idle from then on.
func (s *Server) write(p *peer, b []byte) bool {
	if p.owed != nil {
		b, p.owed = append(p.owed, b...), nil
	}
	s.mu.Lock()
	p.idle = true
	s.mu.Unlock()
	s.run()
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
