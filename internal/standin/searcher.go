// Package standin holds toy peers of a mixer, for tests and examples: searchers that speak frames and a discovery
// service. They stand in for outside systems and measure nothing.
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

// Reply is what a searcher does with one part.
type Reply struct {
	After  time.Duration
	End    int // 200, 500 or 503
	Silent bool
	Reset  bool   // the connection breaks
	Half   bool   // and only after half of the answer
	Junk   []byte // goes out in place of an answer
	// Late is how long it reads nothing more on this connection; meanwhile it neither takes what is written there nor
	// notices its end.
	Late time.Duration
	Mute bool // it answers no probes on this connection from here on, though it reads
}

// Searcher is a toy searcher on one address.
type Searcher struct {
	ln     net.Listener
	reply  func(proto.Call) Reply
	gaveUp func(id string)
	ledger *Ledger           // may be nil
	probed func(letter byte) // may be nil
	mu     sync.Mutex
	open   map[net.Conn]bool
	all    sync.WaitGroup
	shut   bool
	done   chan struct{}
}

// NewSearcher listens at an address; reply is asked for each part and must be safe for use by many goroutines.
// gaveUp, which may be nil, hears of parts that the mixer gives up.
func NewSearcher(addr string, reply func(proto.Call) Reply, gaveUp func(id string)) (*Searcher, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in searcher: %w", err)
	}
	s := &Searcher{ln: ln, reply: reply, gaveUp: gaveUp, open: map[net.Conn]bool{}, done: make(chan struct{})}
	s.all.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if s.shut {
				c.Close()
			} else {
				s.open[c] = true
				s.all.Go(func() { s.serve(c) })
			}
			s.mu.Unlock()
		}
	})
	return s, nil
}

// Addr is where it listens.
func (s *Searcher) Addr() string { return s.ln.Addr().String() }

// Book has the searcher's dispatches counted, from the next connection on.
func (s *Searcher) Book(l *Ledger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger = l
}

// Probed has probes told, each as it is read.
func (s *Searcher) Probed(f func(letter byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probed = f
}

// Break ends all connections there are.
func (s *Searcher) Break() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Close()
	}
}

// Close ends it.
func (s *Searcher) Close() {
	s.ln.Close()
	s.mu.Lock()
	if !s.shut {
		s.shut = true
		close(s.done)
	}
	s.mu.Unlock()
	s.Break()
	s.all.Wait()
}

func (s *Searcher) serve(c net.Conn) {
	var write sync.Mutex
	var late []*time.Timer
	s.mu.Lock()
	book := s.ledger
	s.mu.Unlock()
	if book == nil {
		book = NewLedger()
	}
	defer func() {
		for _, t := range late {
			t.Stop()
		}
		book.Gone(c)
		c.Close()
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}()
	say := func(b []byte) {
		write.Lock()
		defer write.Unlock()
		c.Write(b) // a mixer that has gone needs no answer
	}
	r := bufio.NewReader(c)
	var buf []byte
	var pause time.Duration
	mute := false
	for {
		s.rest(pause)
		pause = 0
		letter, rest, grown, err := proto.ReadFrame(r, buf, 1<<20)
		if buf = grown; err != nil {
			return
		}
		switch letter {
		case proto.LetterCall:
			calls, err := proto.ReadCalls(rest, time.Now())
			if err != nil {
				say([]byte("\x04\x00\x00\x00Zbad"))
				return
			}
			for _, k := range calls {
				book.Begin(k.ID, c, s.Addr())
				p := s.reply(k)
				pause, mute = max(pause, p.Late), mute || p.Mute
				out := p.Junk
				if out == nil {
					out = proto.AppendAnswer(nil, k.ID, p.End, Score(k), Value(k))
				}
				switch {
				case p.Silent:
				case p.Reset:
					book.Gone(c)
					if p.Half {
						say(out[:len(out)/2])
					}
					return
				case p.After > 0:
					late = append(late, time.AfterFunc(p.After, func() {
						book.End(k.ID, c)
						say(out)
					}))
				default:
					book.End(k.ID, c)
					say(out)
				}
			}
		case proto.LetterProbe, proto.LetterLoad:
			word := "200"
			if letter == proto.LetterLoad {
				word = "inflight=0,util=0.10"
			}
			s.mu.Lock()
			probed := s.probed
			s.mu.Unlock()
			if probed != nil {
				probed(letter)
			}
			if !mute {
				say(proto.AppendProbed(nil, letter, word))
			}
		case proto.LetterGiveUp:
			book.End(string(rest), c)
			if s.gaveUp != nil {
				s.gaveUp(string(rest))
			}
		}
	}
}

// rest passes time, unless the searcher ends.
func (s *Searcher) rest(d time.Duration) {
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

// Value is what a sound searcher makes of a part: the same at each holder of its shard.
func Value(c proto.Call) string {
	h := fnv.New64a()
	fmt.Fprint(h, c.Shard, c.Text, len(c.From) > 0)
	return fmt.Sprintf("%016x", h.Sum64())
}

// Score ranks a part for a second step.
func Score(c proto.Call) uint64 {
	h := fnv.New32a()
	io.WriteString(h, Value(c))
	return uint64(h.Sum32())
}
