package stand

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Searcher is a stand-in searcher. It follows the pages: it works on Slots requests at a time, queues a few more and refuses
// the rest with Not-Executed, answers with Attempt-Id and Answer-Seal, and checks Target-Searcher.
type Searcher struct {
	ID, Plant, Zone string
	Slots, Queue    int
	// Work returns how long a request runs.
	Work func(path string) time.Duration
	// Surplus reports whether the answer that is about to be sent is sent once more, late: in the place where the next
	// answer on its connection is due.
	// An answer to a probe has no Attempt-Id. Nil means never.
	Surplus func(id string, status int) bool

	system *System
	ln     net.Listener
	slots  chan struct{}
	mu     sync.Mutex
	queued int
	calls  int
	runs   map[string]int // by Attempt-Id
	stop   chan struct{}
	crash  sync.Once
	conns  map[*net.TCPConn]bool
}

// Start starts the searcher on a free port of an address, and its beats.
func (s *Searcher) Start(system *System, host int) error {
	ln, err := net.Listen("tcp", system.IP(host)+":0")
	if err != nil {
		return err
	}
	s.system, s.ln, s.slots, s.runs, s.stop = system, ln, make(chan struct{}, s.Slots), map[string]int{}, make(chan struct{})
	s.conns = map[*net.TCPConn]bool{}
	system.OnStop(s.Crash)
	go s.accept()
	go s.beat()
	return nil
}

// Crash ends the searcher without a word: its port is closed, its connections are reset, and it sends no more beats.
func (s *Searcher) Crash() {
	s.crash.Do(func() {
		close(s.stop)
		s.ln.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.SetLinger(0)
			c.Close()
		}
	})
}

// beat reports the searcher as the pages say: to one controller, and to the next one after a failure.
func (s *Searcher) beat() {
	client := &http.Client{Timeout: time.Second}
	for at := 0; ; {
		s.calls++
		body, _ := json.Marshal(map[string]any{"plant": s.Plant, "address": s.ln.Addr().String(), "zone": s.Zone, "config-version": "v1",
			"capacity": s.Slots, "state": "ready", "warmup-left-ms": 0, "call-count": s.calls})
		wait := 1200 * time.Millisecond
		req, _ := http.NewRequest(http.MethodPut, "http://"+s.system.Control()[at%3]+"/searchers/"+s.ID, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		res, err := client.Do(req)
		if err == nil {
			io.Copy(io.Discard, res.Body)
			res.Body.Close()
		}
		if err != nil || res.StatusCode != http.StatusOK {
			at++
			wait = 100 * time.Millisecond
		}
		select {
		case <-s.stop:
			return
		case <-time.After(wait):
		}
	}
}

// Runs returns how often the searcher has run a request with this Attempt-Id.
func (s *Searcher) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *Searcher) accept() {
	for n := 1; ; n++ {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c.(*net.TCPConn)] = true
		s.mu.Unlock()
		go s.serve(c.(*net.TCPConn), n)
	}
}

// call is a request as it was read.
type call struct {
	method, path, id, target string
}

func readCall(in *bufio.Reader) (call, error) {
	var c call
	text := textproto.NewReader(in)
	line, err := text.ReadLine()
	if err != nil {
		return c, err
	}
	parts := strings.Fields(line)
	if len(parts) != 3 {
		return c, fmt.Errorf("not a request line: %q", line)
	}
	header, err := text.ReadMIMEHeader()
	if err != nil {
		return c, err
	}
	c.method, c.path, c.id, c.target = parts[0], parts[1], header.Get("Attempt-Id"), header.Get("Target-Searcher")
	if n, _ := strconv.Atoi(header.Get("Content-Length")); n > 0 {
		if _, err := io.CopyN(io.Discard, in, int64(n)); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (s *Searcher) serve(c *net.TCPConn, n int) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	var surplus []byte
	for {
		r, err := readCall(in)
		if err != nil {
			return
		}
		if surplus != nil { // the late second copy, in the place where the next answer is due
			s.system.Record.Printf("searcher %s: connection %d: sends the surplus copy of its answer before the one to %s", s.ID, n, r.id)
			if _, err := c.Write(surplus); err != nil {
				return
			}
			surplus = nil
		}
		status, answer := s.answer(r, n)
		if s.Surplus != nil && s.Surplus(r.id, status) {
			surplus = answer
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// answer handles a request and returns its answer.
func (s *Searcher) answer(r call, n int) (int, []byte) {
	id := ""
	if r.id != "" {
		id = "Attempt-Id: " + r.id + "\r\n"
	}
	reply := func(status int, fields, body string) (int, []byte) {
		return status, fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s%sSearcher-Load: %d,%d,%d\r\nContent-Length: %d\r\n\r\n%s", status,
			http.StatusText(status), id, fields, len(s.slots), s.waiting(), s.Slots, len(body), body)
	}
	switch {
	case r.target != "" && r.target != s.ID:
		return reply(421, "Not-Executed: 1\r\n", "")
	case r.path == "/health":
		// It waits for a slot, or is turned away, as a request would be.
		if !s.takeSlot() {
			s.system.Record.Printf("searcher %s: connection %d: probe refused, full (503, Not-Executed)", s.ID, n)
			return reply(503, "Not-Executed: 1\r\n", "")
		}
		<-s.slots
		s.system.Record.Printf("searcher %s: connection %d: probe answered 200", s.ID, n)
		return reply(200, "Searcher-Id: "+s.ID+"\r\n", "")
	case r.id == "":
		return reply(400, "Not-Executed: 1\r\n", "")
	}
	if !s.takeSlot() {
		s.system.Record.Printf("searcher %s: connection %d: %s refused, full (503, Not-Executed)", s.ID, n, r.id)
		return reply(503, "Not-Executed: 1\r\n", "")
	}
	s.mu.Lock()
	s.runs[r.id]++
	s.mu.Unlock()
	s.system.Record.Printf("searcher %s: connection %d: %s begins to run", s.ID, n, r.id)
	time.Sleep(s.Work(r.path))
	<-s.slots
	s.system.Record.Printf("searcher %s: connection %d: %s has run, 200", s.ID, n, r.id)
	return reply(200, "Answer-Seal: seal-"+s.ID+"-"+r.id+"\r\n", "0123456789abcdef")
}

// takeSlot waits for a slot. It returns false if the queue is full.
func (s *Searcher) takeSlot() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	if !s.enqueue() {
		return false
	}
	s.slots <- struct{}{}
	s.mu.Lock()
	s.queued--
	s.mu.Unlock()
	return true
}

func (s *Searcher) enqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queued >= s.Queue {
		return false
	}
	s.queued++
	return true
}

func (s *Searcher) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queued
}
