package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"peathollow/client"
)

// searcher is a stand-in searcher. It follows PROTOCOL.md: it works on slots requests at a time, queues a few more, turns the
// others away with Not-Executed, and answers 421 to a request that names another searcher.
type searcher struct {
	id, service, zone string
	slots, queue      int
	work              func(attempt, path string) time.Duration
	idle              time.Duration // idle connections are closed after this time, which Keep-Alive tells
	rec               *record
	control           *client.Client
	beat              time.Duration

	ln     net.Listener
	stop   context.CancelFunc
	beaten chan struct{}

	mu        sync.Mutex
	running   int
	waiting   int
	freed     *sync.Cond
	line      []int // places of those that wait, in order
	lastPlace int
	calls     int
	state     string
	conns     map[net.Conn]bool
	closed    bool
}

// start listens and begins to send beats.
func (s *searcher) start(addr string, control []string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.ln, s.state, s.conns, s.beaten = ln, "ready", map[net.Conn]bool{}, make(chan struct{})
	s.freed = sync.NewCond(&s.mu)
	s.control = client.New(control...)
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go s.beats(ctx)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if s.closed {
				c.Close()
			} else {
				s.conns[c] = true
				go s.serve(c)
			}
			s.mu.Unlock()
		}
	}()
	return nil
}

func (s *searcher) address() string { return s.ln.Addr().String() }

// beats sends a beat each period, except while one is late.
func (s *searcher) beats(ctx context.Context) {
	defer close(s.beaten)
	t := time.NewTicker(s.beat)
	defer t.Stop()
	for {
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		s.report(callCtx)
		cancel()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (s *searcher) report(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	body, _ := json.Marshal(map[string]any{"plant": s.service, "address": s.address(), "zone": s.zone, "config-version": "v1",
		"capacity": s.slots, "state": s.state, "warmup-left-ms": 0, "call-count": s.calls})
	s.mu.Unlock()
	_, _, err := s.control.Call(ctx, http.MethodPut, "/searchers/"+s.id, body)
	return err
}

// crash ends the searcher without a word.
func (s *searcher) crash() {
	s.stop()
	s.mu.Lock()
	s.closed = true
	s.ln.Close()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	s.freed.Broadcast()
	s.mu.Unlock()
	<-s.beaten
	s.control.Close()
}

// acquire takes a slot, or waits for one in the queue, first come first served. It returns false if the queue is full, or if
// the connection of the call has closed while it waited.
func (s *searcher) acquire(gone func() bool) (ok, dropped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots || s.waiting > 0 {
		if s.waiting >= s.queue {
			return false, false
		}
		s.waiting++
		place := s.lastPlace + 1
		s.lastPlace = place
		s.line = append(s.line, place)
		for (s.running >= s.slots || s.line[0] != place) && !s.closed && !gone() {
			s.freed.Wait()
		}
		s.line = slices.DeleteFunc(s.line, func(p int) bool { return p == place })
		s.waiting--
		if s.closed || gone() {
			s.freed.Broadcast()
			return false, true
		}
	}
	s.running++
	s.freed.Broadcast()
	return true, false
}

func (s *searcher) release() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	s.freed.Broadcast()
}

func (s *searcher) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(s.idle))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id, target := r.Header.Get("Attempt-Id"), r.Header.Get("Target-Searcher")
		probe := id == "" && r.URL.Path == "/health"
		var out []byte
		stop, gone := s.watch(c, in)
		admitted, dropped := true, false
		if (target == "" || target == s.id) && (id != "" || probe) {
			admitted, dropped = s.acquire(gone)
		}
		if dropped {
			stop()
			s.rec.add("searcher %s drops %s %s from its queue: its connection has closed", s.id, kind(probe), id)
			return
		}
		switch {
		case target != "" && target != s.id:
			out = s.answer(421, id, "Not-Executed: 1\r\n", nil)
		case id == "" && !probe:
			out = s.answer(400, id, "Not-Executed: 1\r\n", nil)
		case !admitted:
			out = s.answer(503, id, "Not-Executed: 1\r\n", nil)
			s.rec.add("searcher %s full: %s %s turned away, answered 503 Not-Executed", s.id, kind(probe), id)
		case probe:
			time.Sleep(time.Millisecond)
			s.release()
			out = s.answer(200, "", "Searcher-Id: "+s.id+"\r\n", nil)
		default:
			s.rec.ran(id, s.id)
			time.Sleep(s.work(id, r.URL.Path))
			s.release()
			reply := bytes.Repeat([]byte("0123456789abcdef"), 4)
			out = s.answer(200, id, "Answer-Seal: seal."+s.id+"."+id+"\r\n", append(reply, body...))
			s.rec.add("searcher %s answers %s with 200", s.id, id)
		}
		stop()
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// watch notices the end of a connection. stop ends it, and must be called before the next read.
func (s *searcher) watch(c net.Conn, in *bufio.Reader) (stop func(), gone func() bool) {
	var closed atomic.Bool
	finished := make(chan struct{})
	c.SetReadDeadline(time.Time{})
	go func() {
		defer close(finished)
		if _, err := in.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			closed.Store(true)
			s.mu.Lock()
			s.freed.Broadcast()
			s.mu.Unlock()
		}
	}()
	return func() {
		c.SetReadDeadline(time.Unix(1, 0))
		<-finished
		c.SetReadDeadline(time.Time{})
	}, closed.Load
}

func kind(probe bool) string {
	if probe {
		return "probe"
	}
	return "request"
}

// answer encodes an answer.
func (s *searcher) answer(status int, id, more string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d Status\r\n", status)
	if id != "" {
		b.WriteString("Attempt-Id: " + id + "\r\n")
	}
	b.WriteString(more)
	fmt.Fprintf(&b, "Keep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n", int(s.idle.Seconds()), len(body))
	b.Write(body)
	return b.Bytes()
}

// httpAnswer is what a client read.
type httpAnswer struct {
	status  int
	headers map[string]string
	body    []byte
	closed  bool // the connection is to be closed after it
}

// readAnswer reads one answer from a connection.
func readAnswer(in *bufio.Reader) (a httpAnswer, err error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return a, err
	}
	parts := strings.SplitN(strings.TrimSpace(line), " ", 3)
	if len(parts) < 2 || !strings.HasPrefix(parts[0], "HTTP/1.") {
		return a, fmt.Errorf("no answer: %q", line)
	}
	a.status, _ = strconv.Atoi(parts[1])
	a.headers = map[string]string{}
	length := 0
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return a, err
		}
		line = strings.TrimSpace(line)
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		a.headers[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	if v := a.headers["content-length"]; v != "" {
		length, _ = strconv.Atoi(v)
	}
	a.closed = strings.EqualFold(a.headers["connection"], "close")
	a.body = make([]byte, length)
	_, err = io.ReadFull(in, a.body)
	return a, err
}
