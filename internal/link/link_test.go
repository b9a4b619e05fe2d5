package link

import (
	"context"
	"errors"
	"net"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"peathollow/internal/proto"
	"peathollow/internal/standin"
)

type heard struct {
	answers chan proto.Answer
	told    chan []uint64
	closed  chan error // why it was closing, once it is closed
	ended   chan bool  // and whether the searcher's end was heard
	why     chan error
}

func (h heard) Answered(_ *Conn, a proto.Answer, _ bool) { h.answers <- a }
func (h heard) Told(_ *Conn, seqs []uint64)              { h.told <- seqs }
func (h heard) Closing(_ *Conn, why error)               { h.why <- why }
func (h heard) Closed(_ *Conn, heard bool)               { h.ended <- heard; h.closed <- <-h.why }

func open(t *testing.T, addr string, lim Limits) (*Conn, heard) {
	h := heard{make(chan proto.Answer, 99), make(chan []uint64, 99), make(chan error, 1), make(chan bool, 1), make(chan error, 1)}
	ctx, stop := context.WithCancel(context.Background())
	c := Open(ctx, addr, lim, h)
	t.Cleanup(stop)
	return c, h
}

var usual = Limits{Frame: 1 << 10, Queue: 10, Connect: 5 * time.Second, Write: 5 * time.Second, Rest: 5 * time.Second,
	Receipt: 5 * time.Second, Linger: 5 * time.Second, Word: 256}

func call(id string) []proto.Call {
	return []proto.Call{{ID: id, Until: time.Now().Add(time.Second), Text: "x"}}
}

func searcher(t *testing.T, reply func(proto.Call) standin.Reply) *standin.Searcher {
	s, err := standin.NewSearcher("127.0.0.1:0", reply, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// What a refused connection held never ran; what was written before a reset may have.
func TestNeverRanAgainstMayHaveRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	c, h := open(t, ln.Addr().String(), usual)
	seq, ok := c.Send(call("a"))
	if err := <-h.closed; err == nil || ok && c.Written(seq) {
		t.Errorf("refused: %v, ran %v", err, c.Written(seq))
	}
	s := searcher(t, func(proto.Call) standin.Reply { return standin.Reply{Reset: true} })
	c, h = open(t, s.Addr(), usual)
	seq, _ = c.Send(call("a"))
	if err := <-h.closed; err == nil || !c.Written(seq) {
		t.Errorf("reset: %v, ran %v", err, c.Written(seq))
	}
	if _, ok := c.Send(call("b")); ok {
		t.Error("a closed connection took a frame")
	}
}

// A searcher that reads nothing holds up its own connection alone, and that only for the time to write.
func TestAPeerThatDoesNotRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, h := open(t, ln.Addr().String(), Limits{Frame: 1 << 10, Queue: 3, Connect: 5 * time.Second, Write: 50 * time.Millisecond})
	big := []proto.Call{{ID: "a", Text: string(make([]byte, 32<<20))}}
	first, _ := c.Send(big)
	n := 1
	for ; n < 100; n++ {
		if _, ok := c.Send(big); !ok {
			break
		}
	}
	if n == 100 {
		t.Error("the queue has no bound")
	}
	if err := <-h.closed; !errors.Is(err, os.ErrDeadlineExceeded) || c.Written(first) {
		t.Errorf("%v, ran %v", err, c.Written(first))
	}
}

func TestWhatIsTakenBackIsNeverSent(t *testing.T) {
	c := &Conn{lim: usual, wake: make(chan struct{}, 1)}
	one, _ := c.Send(call("a"))
	two, _ := c.Send(append(call("b"), call("c")...))
	if !c.Withdraw(one, "a") || c.Withdraw(one, "a") || !c.Withdraw(two, "b") {
		t.Error("not taken back")
	}
	if len(c.queue) != 1 || len(c.queue[0].calls) != 1 || c.queue[0].calls[0].ID != "c" {
		t.Errorf("left: %+v", c.queue)
	}
}

func TestAnswersComeBeforeTheEnd(t *testing.T) {
	n := 0
	s := searcher(t, func(proto.Call) standin.Reply {
		n++
		return standin.Reply{End: 200, Reset: n == 3}
	})
	c, h := open(t, s.Addr(), usual)
	for _, id := range []string{"a", "b", "c"} {
		c.Send(call(id))
	}
	<-h.closed
	if len(h.answers) != 2 || (<-h.answers).ID != "a" {
		t.Errorf("%d answers", len(h.answers))
	}
}

// Noise that reads as the length of a long frame must not swallow what else is due on a connection that looks sound:
// a frame that has begun ends soon. One that has not begun may take as long as it likes.
func TestAFrameThatNeverEnds(t *testing.T) {
	for _, noise := range []string{"\x10", "\x10\x00\x00\x00", "\xf0\x01\x00\x00Oa 200 7 -\nvalue and no more"} {
		s := searcher(t, func(proto.Call) standin.Reply { return standin.Reply{Junk: []byte(noise)} })
		lim := usual
		lim.Rest = 30 * time.Millisecond
		c, h := open(t, s.Addr(), lim)
		seq, _ := c.Send(call("a"))
		if err := <-h.closed; !errors.Is(err, os.ErrDeadlineExceeded) || !c.Written(seq) || len(h.answers) > 0 {
			t.Errorf("%q: %v", noise, err)
		}
	}
	s := searcher(t, func(c proto.Call) standin.Reply { return standin.Reply{End: 200, After: 100 * time.Millisecond} })
	lim := usual
	lim.Rest = time.Nanosecond
	c, h := open(t, s.Addr(), lim)
	c.Send(call("slow"))
	select {
	case <-h.answers:
	case err := <-h.closed:
		t.Error(err)
	}
}

// A frame that claims gigabytes costs none, and ends its connection at once.
func TestAFrameOfThreeGigabytes(t *testing.T) {
	s := searcher(t, func(proto.Call) standin.Reply {
		return standin.Reply{Junk: append([]byte("\x00\x00\x00\xc0Oa 200 7 -\n"), make([]byte, 1<<20)...)}
	})
	c, h := open(t, s.Addr(), usual)
	c.Send(call("a"))
	if err := <-h.closed; err == nil || !strings.Contains(err.Error(), "frame of 3221225472 bytes") {
		t.Error(err)
	}
}

// Word of giving up is told once it is read, not once it is written: the receipt is the answer to a probe behind it.
func TestGivingUpIsToldOnceRead(t *testing.T) {
	var read atomic.Int32
	s, err := standin.NewSearcher("127.0.0.1:0", func(proto.Call) standin.Reply {
		return standin.Reply{Silent: true, Late: 30 * time.Millisecond}
	}, func(string) { read.Add(1) })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c, h := open(t, s.Addr(), usual)
	seq, _ := c.Send(call("a"))
	for !c.Written(seq) {
		runtime.Gosched()
	}
	one, _ := c.Cancel("a", true)
	two, _ := c.Cancel("b", true)
	for told := []uint64{}; len(told) < 2; {
		told = append(told, <-h.told...)
		if n := int(read.Load()); n < len(told) || told[0] != one || len(told) > 1 && told[1] != two {
			t.Errorf("told %v of %d, %d read", told, one, n)
		}
	}
	// Without proof the last byte written will do.
	three, _ := c.Cancel("c", false)
	if told := <-h.told; len(told) != 1 || told[0] != three {
		t.Errorf("told %v", told)
	}
}

// A searcher that says nothing when asked for a receipt ends its connection; while it says anything it does not.
func TestAMuteConnectionEnds(t *testing.T) {
	s := searcher(t, func(c proto.Call) standin.Reply { return standin.Reply{Silent: true, Mute: true} })
	lim := usual
	lim.Receipt = 30 * time.Millisecond
	c, h := open(t, s.Addr(), lim)
	c.Send(call("a"))
	c.Cancel("a", true)
	if err := <-h.closed; !errors.Is(err, proto.ErrMute) || len(h.told) > 0 || !<-h.ended {
		t.Errorf("%v, told %d", err, len(h.told))
	}
}

// A searcher's end is told from this mixer's own: only the first shows that nothing is out there any more.
func TestWhoseEndWasHeard(t *testing.T) {
	s := searcher(t, func(c proto.Call) standin.Reply {
		return standin.Reply{Reset: c.ID == "reset", Silent: c.ID != "reset",
			Late: map[string]time.Duration{"deaf": time.Minute}[c.ID]}
	})
	lim := usual
	lim.Linger = 50 * time.Millisecond
	for _, id := range []string{"usual", "reset", "deaf"} {
		c, h := open(t, s.Addr(), lim)
		seq, _ := c.Send(call(id))
		for !c.Written(seq) {
			runtime.Gosched()
		}
		if id != "reset" {
			c.Close()
		}
		if heard := <-h.ended; heard != (id != "deaf") {
			t.Errorf("%s: heard %v", id, heard)
		}
	}
}

// What answers a probe that was never sent is out of step.
func TestAnAnswerToNoProbe(t *testing.T) {
	s := searcher(t, func(proto.Call) standin.Reply {
		return standin.Reply{Junk: proto.AppendProbed(nil, proto.LetterProbe, "200")}
	})
	c, h := open(t, s.Addr(), usual)
	c.Send(call("a"))
	if err := <-h.closed; !errors.Is(err, errProbe) {
		t.Error(err)
	}
}

// A probe goes out only if it may at the write, is answered by its own letter, and is told once in any case.
func TestProbesAreToldOnce(t *testing.T) {
	s := searcher(t, func(c proto.Call) standin.Reply { return standin.Reply{Silent: true, Mute: true} })
	lim := usual
	lim.Receipt = 20 * time.Millisecond
	for _, k := range []struct {
		name string
		load bool
		may  bool
		mute bool
		want Probed
	}{
		{"life", false, true, false, Probed{Sent: true, Answered: true, Word: "200"}},
		{"load", true, true, false, Probed{Sent: true, Answered: true, Word: "inflight=0,util=0.10"}},
		{"not allowed", false, false, false, Probed{}},
		{"mute", false, true, true, Probed{Sent: true}},
	} {
		c, _ := open(t, s.Addr(), lim)
		if k.mute {
			c.Send(call("a"))
		}
		done := make(chan Probed, 2)
		asked := make(chan bool, 2)
		if !c.Probe(Probe{Load: k.load, Permit: func() bool { asked <- true; return k.may }, Done: func(p Probed) { done <- p }}) {
			t.Fatalf("%s: not taken", k.name)
		}
		got := <-done
		if got.Took = 0; got != k.want || len(asked) != 1 {
			t.Errorf("%s: %+v, asked %d times", k.name, got, len(asked))
		}
		c.Close()
		if c.Probe(Probe{}) {
			t.Errorf("%s: taken after the end", k.name)
		}
		if len(done) > 0 {
			t.Errorf("%s: told twice", k.name)
		}
	}
}
