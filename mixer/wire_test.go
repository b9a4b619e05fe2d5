package mixer

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"peathollow/internal/proto"
)

// Scripted searchers on connections in memory, that a test's clock drives. They do what is seen on real sockets: words
// overtake each other, a write returns after its answer was read, and who ends one side of a connection reads on.

// stream is one direction of a wire.
type stream struct {
	data []byte
	fin  bool
}

type wire struct {
	mu    sync.Mutex
	moved *sync.Cond
	reset bool
}

// wireEnd is one end of a wire: a net.Conn that can be closed in one direction.
type wireEnd struct {
	w        *wire
	in, out  *stream
	hold     func() time.Duration // how long after its bytes are out a write returns; may be nil
	rd, wd   time.Time
	rdClock  *time.Timer
	isClosed bool
	peer     *wireEnd
}

func newWire(hold func() time.Duration) (mixer, searcher *wireEnd) {
	w := &wire{}
	w.moved = sync.NewCond(&w.mu)
	up, down := &stream{}, &stream{}
	mixer = &wireEnd{w: w, in: down, out: up, hold: hold}
	searcher = &wireEnd{w: w, in: up, out: down, peer: mixer}
	mixer.peer = searcher
	return mixer, searcher
}

func over(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

func (e *wireEnd) Read(b []byte) (int, error) {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	for {
		switch {
		case e.isClosed:
			return 0, net.ErrClosed
		case over(e.rd):
			return 0, os.ErrDeadlineExceeded
		case len(e.in.data) > 0:
			n := copy(b, e.in.data)
			e.in.data = e.in.data[n:]
			return n, nil
		case e.w.reset:
			return 0, syscall.ECONNRESET
		case e.in.fin:
			return 0, io.EOF
		}
		e.w.moved.Wait()
	}
}

func (e *wireEnd) Write(b []byte) (int, error) {
	e.w.mu.Lock()
	if e.isClosed || over(e.wd) || e.w.reset || e.out.fin || e.peer.isClosed {
		defer e.w.mu.Unlock()
		switch {
		case e.isClosed:
			return 0, net.ErrClosed
		case over(e.wd):
			return 0, os.ErrDeadlineExceeded
		case e.out.fin:
			return 0, syscall.EPIPE
		}
		e.w.reset = true
		e.w.moved.Broadcast()
		return 0, syscall.EPIPE
	}
	e.out.data = append(e.out.data, b...)
	e.w.moved.Broadcast()
	e.w.mu.Unlock()
	if e.hold != nil {
		time.Sleep(e.hold())
	}
	return len(b), nil
}

func (e *wireEnd) CloseWrite() error {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	if e.isClosed || e.w.reset {
		return syscall.ENOTCONN
	}
	e.out.fin = true
	e.w.moved.Broadcast()
	return nil
}

func (e *wireEnd) Close() error {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	if !e.isClosed {
		e.isClosed, e.out.fin = true, true
		e.w.reset = e.w.reset || len(e.in.data) > 0
		e.w.moved.Broadcast()
	}
	return nil
}

// Reset ends both directions with nothing more to be read at the other end.
func (e *wireEnd) Reset() {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	e.w.reset, e.out.data, e.in.data = true, nil, nil
	e.w.moved.Broadcast()
}

func (e *wireEnd) SetDeadline(t time.Time) error {
	e.SetWriteDeadline(t)
	return e.SetReadDeadline(t)
}

func (e *wireEnd) SetReadDeadline(t time.Time) error {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	e.rd = t
	if e.rdClock != nil {
		e.rdClock.Stop()
	}
	if !t.IsZero() {
		e.rdClock = time.AfterFunc(time.Until(t), e.w.moved.Broadcast)
	}
	return nil
}

func (e *wireEnd) SetWriteDeadline(t time.Time) error {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	e.wd = t
	return nil
}

func (e *wireEnd) LocalAddr() net.Addr  { return &net.TCPAddr{} }
func (e *wireEnd) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// sheet notes which dispatches are out, as searchers see it: from the last byte read till the answer has left, the word
// that gives it up is read in time, or the connection is over.
type sheet struct {
	mu     sync.Mutex
	out    map[string]*running
	copies []string
	again  int // dispatches of a part that went out before
	seen   map[string]bool
	story  map[string][]string // by part: what its searchers saw
}

func newSheet() *sheet {
	return &sheet{out: map[string]*running{}, seen: map[string]bool{}, story: map[string][]string{}}
}

func (s *sheet) note(id, at, what string) {
	s.story[id] = append(s.story[id], fmt.Sprintf("%.3f ms: %s %s", float64(time.Now().UnixMicro()%1e7)/1e3, at, what))
}

// running is one dispatch at a searcher.
type running struct {
	id, at string
	work   *time.Timer
}

func (s *sheet) begin(id, at string) *running {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(id, at, "takes it")
	if r := s.out[id]; r != nil {
		s.copies = append(s.copies, id)
	}
	if s.seen[id] {
		s.again++
	}
	s.seen[id] = true
	s.out[id] = &running{id: id, at: at}
	return s.out[id]
}

func (s *sheet) end(r *running, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(r.id, r.at, why)
	if s.out[r.id] == r {
		delete(s.out, r.id)
	}
}

// scripted serves one connection as the dice have it. Nothing is on its way for as long as most.
type scripted struct {
	name  string
	end   *wireEnd
	sheet *sheet
	most  time.Duration
	mu    sync.Mutex
	dice  *rand.Rand
	over  bool
	held  map[string]*running // what came on this connection last, by id
}

func (p *scripted) roll(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dice.IntN(n)
}

func (p *scripted) flight() time.Duration { return time.Duration(p.roll(int(p.most))) }

// later says something after its flight: what was said before may come after.
func (p *scripted) later(b []byte, then func()) {
	time.AfterFunc(p.flight(), func() {
		then()
		p.end.Write(b)
	})
}

func (p *scripted) serve() {
	defer p.letGo()
	r := bufio.NewReader(p.end)
	if p.roll(6) == 0 { // ends its side some time, and reads on for a moment
		time.AfterFunc(time.Duration(p.roll(int(200*time.Millisecond))), func() {
			p.end.CloseWrite()
			time.AfterFunc(p.flight(), func() { p.end.Reset(); p.letGo() })
		})
	}
	for {
		if p.roll(3) == 0 {
			time.Sleep(p.flight()) // what was written waits unread
		}
		letter, rest, _, err := proto.ReadFrame(r, nil, 1<<16)
		if err != nil {
			p.end.Close()
			return
		}
		switch letter {
		case proto.LetterCall:
			calls, err := proto.ReadCalls(rest, time.Now())
			if err != nil {
				p.end.Close()
				return
			}
			for _, k := range calls {
				p.begin(k)
			}
			if p.roll(40) == 0 {
				p.end.Reset()
				p.letGo()
			}
		case proto.LetterGiveUp:
			p.giveUp(string(rest))
		case proto.LetterProbe:
			p.later(proto.AppendProbed(nil, letter, "200"), func() {})
		}
	}
}

// letGo ends all that is out on the connection, and all that may yet be read.
func (p *scripted) letGo() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	for _, r := range p.held {
		p.sheet.end(r, "has its connection ended")
	}
}

func (p *scripted) giveUp(id string) {
	goesOn := p.roll(3) == 0
	took := time.Duration(p.roll(int(60 * time.Millisecond)))
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.held[id]; r != nil && r.work.Stop() { // else its answer is on its way
		if p.sheet.end(r, "reads that it is given up"); goesOn {
			r.work.Reset(took) // the work is done all the same, and answered
		}
	}
}

func (p *scripted) begin(k proto.Call) {
	end := []int{200, 200, 200, 500, 503}[p.roll(5)]
	took := time.Duration(p.roll(int(80 * time.Millisecond)))
	if end == 503 {
		took = 0
	}
	say := proto.AppendAnswer(nil, k.ID, end, 1, "v")
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return
	}
	r := p.sheet.begin(k.ID, p.name)
	p.held[k.ID] = r
	r.work = time.AfterFunc(took, func() { p.later(say, func() { p.sheet.end(r, "has answered") }) })
}
