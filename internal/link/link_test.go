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

// recorder passes the events of a connection to channels.
type recorder struct {
	answers    chan proto.Answer
	confirmed  chan []uint64
	closed     chan error // receives the reason of Closing, after Closed
	peerClosed chan bool  // receives the argument of Closed
	reason     chan error
}

func (r recorder) AnswerReceived(_ *Conn, a proto.Answer, _ bool) { r.answers <- a }
func (r recorder) CancelsConfirmed(_ *Conn, seqs []uint64)        { r.confirmed <- seqs }
func (r recorder) Closing(_ *Conn, reason error)                  { r.reason <- reason }
func (r recorder) Closed(_ *Conn, peerClosed bool) {
	r.peerClosed <- peerClosed
	r.closed <- <-r.reason
}

func open(t *testing.T, addr string, limits Limits) (*Conn, recorder) {
	r := recorder{make(chan proto.Answer, 99), make(chan []uint64, 99), make(chan error, 1), make(chan bool, 1), make(chan error, 1)}
	ctx, stop := context.WithCancel(context.Background())
	c := Open(ctx, addr, limits, r)
	t.Cleanup(stop)
	return c, r
}

var defaultLimits = Limits{MaxFrameBytes: 1 << 10, QueueLength: 10, ConnectTimeout: 5 * time.Second,
	WriteTimeout: 5 * time.Second, FrameTimeout: 5 * time.Second,
	ReceiptTimeout: 5 * time.Second, LingerTimeout: 5 * time.Second, MaxProbeAnswer: 256}

func call(id string) []proto.Call {
	return []proto.Call{{ID: id, Deadline: time.Now().Add(time.Second), Text: "x"}}
}

func searcher(t *testing.T, reply func(proto.Call) standin.Reply) *standin.Searcher {
	s, err := standin.NewSearcher("127.0.0.1:0", reply, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// Calls queued on a refused connection never ran. Calls written before a reset may have run.
func TestWrittenAfterRefusalAndReset(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	c, r := open(t, ln.Addr().String(), defaultLimits)
	seq, ok := c.Send(call("a"))
	if err := <-r.closed; err == nil || ok && c.Written(seq) {
		t.Errorf("refused: %v, ran %v", err, c.Written(seq))
	}
	s := searcher(t, func(proto.Call) standin.Reply { return standin.Reply{Reset: true} })
	c, r = open(t, s.Addr(), defaultLimits)
	seq, _ = c.Send(call("a"))
	if err := <-r.closed; err == nil || !c.Written(seq) {
		t.Errorf("reset: %v, ran %v", err, c.Written(seq))
	}
	if _, ok := c.Send(call("b")); ok {
		t.Error("a closed connection took a frame")
	}
}

// A searcher that reads nothing delays only its own connection, and only for the write timeout.
func TestPeerThatDoesNotRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, r := open(t, ln.Addr().String(), Limits{MaxFrameBytes: 1 << 10, QueueLength: 3, ConnectTimeout: 5 * time.Second,
		WriteTimeout: 50 * time.Millisecond})
	large := []proto.Call{{ID: "a", Text: string(make([]byte, 32<<20))}}
	first, _ := c.Send(large)
	n := 1
	for ; n < 100; n++ {
		if _, ok := c.Send(large); !ok {
			break
		}
	}
	if n == 100 {
		t.Error("the queue has no bound")
	}
	if err := <-r.closed; !errors.Is(err, os.ErrDeadlineExceeded) || c.Written(first) {
		t.Errorf("%v, ran %v", err, c.Written(first))
	}
}

func TestWithdrawnPartIsNeverSent(t *testing.T) {
	c := &Conn{limits: defaultLimits, wake: make(chan struct{}, 1)}
	one, _ := c.Send(call("a"))
	two, _ := c.Send(append(call("b"), call("c")...))
	if !c.Withdraw(one, "a") || c.Withdraw(one, "a") || !c.Withdraw(two, "b") {
		t.Error("not withdrawn")
	}
	if len(c.queue) != 1 || len(c.queue[0].calls) != 1 || c.queue[0].calls[0].ID != "c" {
		t.Errorf("left: %+v", c.queue)
	}
}

func TestAnswersAreReportedBeforeClosing(t *testing.T) {
	n := 0
	s := searcher(t, func(proto.Call) standin.Reply {
		n++
		return standin.Reply{Status: 200, Reset: n == 3}
	})
	c, r := open(t, s.Addr(), defaultLimits)
	for _, id := range []string{"a", "b", "c"} {
		c.Send(call(id))
	}
	<-r.closed
	if len(r.answers) != 2 || (<-r.answers).ID != "a" {
		t.Errorf("%d answers", len(r.answers))
	}
}

// Garbage that reads as the length of a long frame must not swallow the other answers of a connection that looks healthy:
// a frame that has begun must end soon. There is no limit on the time before a frame begins.
func TestFrameThatNeverEnds(t *testing.T) {
	for _, noise := range []string{"\x10", "\x10\x00\x00\x00", "\xf0\x01\x00\x00Oa 200 7 -\nvalue and no more"} {
		s := searcher(t, func(proto.Call) standin.Reply { return standin.Reply{Garbage: []byte(noise)} })
		limits := defaultLimits
		limits.FrameTimeout = 30 * time.Millisecond
		c, r := open(t, s.Addr(), limits)
		seq, _ := c.Send(call("a"))
		if err := <-r.closed; !errors.Is(err, os.ErrDeadlineExceeded) || !c.Written(seq) || len(r.answers) > 0 {
			t.Errorf("%q: %v", noise, err)
		}
	}
	s := searcher(t, func(c proto.Call) standin.Reply { return standin.Reply{Status: 200, Delay: 100 * time.Millisecond} })
	limits := defaultLimits
	limits.FrameTimeout = time.Nanosecond
	c, r := open(t, s.Addr(), limits)
	c.Send(call("slow"))
	select {
	case <-r.answers:
	case err := <-r.closed:
		t.Error(err)
	}
}

// A frame whose length claims gigabytes is not allocated, and ends its connection at once.
func TestFrameOfThreeGigabytes(t *testing.T) {
	s := searcher(t, func(proto.Call) standin.Reply {
		return standin.Reply{Garbage: append([]byte("\x00\x00\x00\xc0Oa 200 7 -\n"), make([]byte, 1<<20)...)}
	})
	c, r := open(t, s.Addr(), defaultLimits)
	c.Send(call("a"))
	if err := <-r.closed; err == nil || !strings.Contains(err.Error(), "frame of 3221225472 bytes") {
		t.Error(err)
	}
}

// A cancellation is confirmed once it is read, not once it is written: the receipt is the answer to a probe sent behind it.
func TestCancelIsConfirmedOnceRead(t *testing.T) {
	var read atomic.Int32
	s, err := standin.NewSearcher("127.0.0.1:0", func(proto.Call) standin.Reply {
		return standin.Reply{Silent: true, ReadPause: 30 * time.Millisecond}
	}, func(string) { read.Add(1) })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c, r := open(t, s.Addr(), defaultLimits)
	seq, _ := c.Send(call("a"))
	for !c.Written(seq) {
		runtime.Gosched()
	}
	one, _ := c.Cancel("a", true)
	two, _ := c.Cancel("b", true)
	for confirmed := []uint64{}; len(confirmed) < 2; {
		confirmed = append(confirmed, <-r.confirmed...)
		if n := int(read.Load()); n < len(confirmed) || confirmed[0] != one || len(confirmed) > 1 && confirmed[1] != two {
			t.Errorf("confirmed %v of %d, %d read", confirmed, one, n)
		}
	}
	// Without confirm it is enough that the last byte is written.
	three, _ := c.Cancel("c", false)
	if confirmed := <-r.confirmed; len(confirmed) != 1 || confirmed[0] != three {
		t.Errorf("confirmed %v", confirmed)
	}
}

// The connection of a searcher that sends nothing when asked for a receipt ends. Anything that it sends keeps it open.
func TestUnresponsiveConnectionEnds(t *testing.T) {
	s := searcher(t, func(c proto.Call) standin.Reply { return standin.Reply{Silent: true, IgnoreProbes: true} })
	limits := defaultLimits
	limits.ReceiptTimeout = 30 * time.Millisecond
	c, r := open(t, s.Addr(), limits)
	c.Send(call("a"))
	c.Cancel("a", true)
	if err := <-r.closed; !errors.Is(err, proto.ErrUnresponsive) || len(r.confirmed) > 0 || !<-r.peerClosed {
		t.Errorf("%v, confirmed %d", err, len(r.confirmed))
	}
}

// A close by the searcher is distinguished from one by this mixer: only the former shows that nothing is in flight there.
func TestCloseByPeerIsReported(t *testing.T) {
	s := searcher(t, func(c proto.Call) standin.Reply {
		return standin.Reply{Reset: c.ID == "reset", Silent: c.ID != "reset",
			ReadPause: map[string]time.Duration{"deaf": time.Minute}[c.ID]}
	})
	limits := defaultLimits
	limits.LingerTimeout = 50 * time.Millisecond
	for _, id := range []string{"usual", "reset", "deaf"} {
		c, r := open(t, s.Addr(), limits)
		seq, _ := c.Send(call(id))
		for !c.Written(seq) {
			runtime.Gosched()
		}
		if id != "reset" {
			c.Close()
		}
		if peerClosed := <-r.peerClosed; peerClosed != (id != "deaf") {
			t.Errorf("%s: closed by peer: %v", id, peerClosed)
		}
	}
}

// An answer to a probe that was never sent is a protocol error.
func TestAnswerToNoProbe(t *testing.T) {
	s := searcher(t, func(proto.Call) standin.Reply {
		return standin.Reply{Garbage: proto.AppendProbeReply(nil, proto.LetterProbe, "200")}
	})
	c, r := open(t, s.Addr(), defaultLimits)
	c.Send(call("a"))
	if err := <-r.closed; !errors.Is(err, errUnexpectedAnswer) {
		t.Error(err)
	}
}

// A probe is sent only if it is permitted at the write, matches answers with its own letter, and has exactly one result.
func TestProbeResultsAreReportedOnce(t *testing.T) {
	s := searcher(t, func(c proto.Call) standin.Reply { return standin.Reply{Silent: true, IgnoreProbes: true} })
	limits := defaultLimits
	limits.ReceiptTimeout = 20 * time.Millisecond
	for _, tc := range []struct {
		name      string
		load      bool
		permitted bool
		mute      bool
		want      ProbeResult
	}{
		{"life", false, true, false, ProbeResult{Sent: true, Answered: true, Text: "200"}},
		{"load", true, true, false, ProbeResult{Sent: true, Answered: true, Text: "inflight=0,util=0.10"}},
		{"not allowed", false, false, false, ProbeResult{}},
		{"mute", false, true, true, ProbeResult{Sent: true}},
	} {
		c, _ := open(t, s.Addr(), limits)
		if tc.mute {
			c.Send(call("a"))
		}
		done := make(chan ProbeResult, 2)
		permitCalls := make(chan bool, 2)
		if !c.Probe(Probe{Load: tc.load, Permit: func() bool { permitCalls <- true; return tc.permitted },
			Done: func(p ProbeResult) { done <- p }}) {
			t.Fatalf("%s: not accepted", tc.name)
		}
		got := <-done
		if got.Took = 0; got != tc.want || len(permitCalls) != 1 {
			t.Errorf("%s: %+v, permit called %d times", tc.name, got, len(permitCalls))
		}
		c.Close()
		if c.Probe(Probe{}) {
			t.Errorf("%s: accepted after the end", tc.name)
		}
		if len(done) > 0 {
			t.Errorf("%s: reported twice", tc.name)
		}
	}
}
