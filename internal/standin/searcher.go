// Package standin provides stand-ins for the peers of a mixer, for tests and examples: searchers that implement the frame
// protocol, and a discovery service. They replace external systems and measure nothing.
package standin

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"sync"
	"time"

	"peathollow/internal/proto"
)

// Reply describes how a searcher handles one part.
type Reply struct {
	Delay   time.Duration // time before the answer is sent
	Status  int           // 200, 500 or 503
	Silent  bool          // no answer is sent
	Reset   bool          // the connection is closed instead of an answer
	Half    bool          // with Reset: half of the answer is sent before the close
	Garbage []byte        // bytes sent instead of an answer
	// ReadPause is how long the searcher stops reading on this connection. Meanwhile it neither receives what is written
	// there nor notices that it was closed.
	ReadPause    time.Duration
	IgnoreProbes bool // no probe on this connection is answered from here on, though frames are still read
}

// Searcher is a stand-in searcher on one address.
type Searcher struct {
	ln        net.Listener
	reply     func(proto.Call) Reply
	cancelled func(id string)
	ledger    *Ledger           // may be nil
	probed    func(letter byte) // may be nil
	mu        sync.Mutex
	open      map[net.Conn]bool
	wait      sync.WaitGroup
	closed    bool
	done      chan struct{}
}

// NewSearcher starts a searcher at an address. reply is called for each part and must be safe for concurrent use.
// cancelled, which may be nil, is called for each part that the mixer cancels.
func NewSearcher(addr string, reply func(proto.Call) Reply, cancelled func(id string)) (*Searcher, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in searcher: %w", err)
	}
	s := &Searcher{ln: ln, reply: reply, cancelled: cancelled, open: map[net.Conn]bool{}, done: make(chan struct{})}
	s.wait.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if s.closed {
				c.Close()
			} else {
				s.open[c] = true
				s.wait.Go(func() { s.serve(c) })
			}
			s.mu.Unlock()
		}
	})
	return s, nil
}

// Addr returns the address at which the searcher listens.
func (s *Searcher) Addr() string { return s.ln.Addr().String() }

// SetLedger makes the searcher record its dispatches in a ledger, from the next connection on.
func (s *Searcher) SetLedger(l *Ledger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger = l
}

// OnProbe sets a function that is called for each probe as it is read.
func (s *Searcher) OnProbe(f func(letter byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probed = f
}

// CloseConnections closes all open connections.
func (s *Searcher) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Close()
	}
}

// Close stops the searcher and closes its connections.
func (s *Searcher) Close() {
	s.ln.Close()
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.done)
	}
	s.mu.Unlock()
	s.CloseConnections()
	s.wait.Wait()
}

func (s *Searcher) serve(c net.Conn) {
	var write sync.Mutex
	var delayed []*time.Timer
	s.mu.Lock()
	ledger := s.ledger
	s.mu.Unlock()
	if ledger == nil {
		ledger = NewLedger()
	}
	defer func() {
		for _, t := range delayed {
			t.Stop()
		}
		ledger.ConnectionEnded(c)
		c.Close()
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}()
	send := func(b []byte) {
		write.Lock()
		defer write.Unlock()
		c.Write(b) // a mixer that has disconnected needs no answer
	}
	r := bufio.NewReader(c)
	var buf []byte
	var pause time.Duration
	mute := false
	for {
		s.sleep(pause)
		pause = 0
		letter, rest, grown, err := proto.ReadFrame(r, buf, 1<<20)
		if buf = grown; err != nil {
			return
		}
		switch letter {
		case proto.LetterCall:
			calls, err := proto.ReadCalls(rest, time.Now())
			if err != nil {
				send([]byte("\x04\x00\x00\x00Zbad"))
				return
			}
			for _, call := range calls {
				ledger.Begin(call.ID, c, s.Addr())
				reply := s.reply(call)
				pause, mute = max(pause, reply.ReadPause), mute || reply.IgnoreProbes
				answer := reply.Garbage
				if answer == nil {
					answer = proto.AppendAnswer(nil, call.ID, reply.Status, Score(call), Value(call))
				}
				switch {
				case reply.Silent:
				case reply.Reset:
					ledger.ConnectionEnded(c)
					if reply.Half {
						send(answer[:len(answer)/2])
					}
					return
				case reply.Delay > 0:
					delayed = append(delayed, time.AfterFunc(reply.Delay, func() {
						ledger.End(call.ID, c)
						send(answer)
					}))
				default:
					ledger.End(call.ID, c)
					send(answer)
				}
			}
		case proto.LetterProbe, proto.LetterLoad:
			text := "200"
			if letter == proto.LetterLoad {
				text = "inflight=0,util=0.10"
			}
			s.mu.Lock()
			probed := s.probed
			s.mu.Unlock()
			if probed != nil {
				probed(letter)
			}
			if !mute {
				send(proto.AppendProbeReply(nil, letter, text))
			}
		case proto.LetterCancel:
			ledger.End(string(rest), c)
			if s.cancelled != nil {
				s.cancelled(string(rest))
			}
		}
	}
}

// sleep waits for a duration, or until the searcher stops.
func (s *Searcher) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.done:
	}
}

// Value returns the value that a healthy searcher computes for a part. All searchers of a shard return the same one.
func Value(c proto.Call) string {
	h := fnv.New64a()
	fmt.Fprint(h, c.Shard, c.Text, len(c.From) > 0)
	return fmt.Sprintf("%016x", h.Sum64())
}

// Score returns the score that ranks a part for the second step.
func Score(c proto.Call) uint64 {
	h := fnv.New32a()
	io.WriteString(h, Value(c))
	return uint64(h.Sum32())
}
