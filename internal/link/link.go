// Package link manages one connection to a searcher. Frames are sent in order, answers arrive in any order. The package
// reports events and takes no decisions about them.
package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"peathollow/internal/proto"
)

// Limits contains the size limits and timeouts of a connection.
type Limits struct {
	ReceiptTimeout time.Duration // for a searcher to send anything after it was asked for a receipt
	LingerTimeout  time.Duration // for the searcher to close a connection that this mixer has closed
	MaxFrameBytes  int           // largest frame from a searcher, in bytes
	QueueLength    int           // frames waiting to be written
	ConnectTimeout time.Duration // for a connection to be established
	WriteTimeout   time.Duration // for one write to the searcher
	FrameTimeout   time.Duration // for the rest of a frame from a searcher, once its first byte has arrived
	MaxProbeAnswer int           // largest answer to a probe, in bytes
	MaxKeptBuffer  int           // largest buffer kept for the next frame, in bytes
}

// Events receives the events of a connection, on the connection's own goroutines: AnswerReceived and CancelsConfirmed as
// they happen, then Closing once, after which nothing more is sent or accepted, then Closed once, after the connection has
// ended.
type Events interface {
	AnswerReceived(c *Conn, a proto.Answer, more bool) // more: further bytes have already been received
	CancelsConfirmed(c *Conn, seqs []uint64)           // the frames with these numbers, each a cancellation, took effect, see Cancel
	Closing(c *Conn, reason error)
	// peerClosed: the searcher closed the connection too, or it was never established, so that nothing on it is in flight.
	Closed(c *Conn, peerClosed bool)
}

// frame is encoded only when it is written, because until then parts can be withdrawn and remaining times shrink.
type frame struct {
	seq      uint64
	calls    []proto.Call
	cancelID string // the ID of a cancelled part, instead of calls
	confirm  bool   // the searcher must confirm that it has read the cancellation
	probe    *Probe // instead of calls and a cancellation
	end      int    // offset of its end in the bytes being written
}

// Conn is one connection to a searcher, which may still be connecting.
type Conn struct {
	addr       string
	limits     Limits
	events     Events
	parent     context.Context
	cancel     context.CancelCauseFunc
	wake       chan struct{}
	framesRead atomic.Uint64

	mu            sync.Mutex
	queue         []frame
	pendingProbes []sentProbe // not answered yet, oldest first
	lastSeq       uint64      // number of the last queued frame
	startedSeq    uint64      // number of the last frame whose write has started
	writtenSeq    uint64      // number of the last frame that was written completely
	closing       bool
}

var (
	errClosed           = errors.New("closed by this mixer")
	errFrameRejected    = errors.New("searcher could not use a frame")
	errUnexpectedAnswer = errors.New("answer to a probe that was not sent")
)

// Open starts a connection. Frames sent before it is established wait in the queue.
func Open(ctx context.Context, addr string, limits Limits, events Events) *Conn {
	c := &Conn{addr: addr, limits: limits, events: events, parent: ctx, wake: make(chan struct{}, 1)}
	ctx, c.cancel = context.WithCancelCause(ctx)
	go c.run(ctx)
	return c
}

// Send queues the calls as one frame and returns its number, or false if the connection accepts no more frames.
func (c *Conn) Send(calls []proto.Call) (uint64, bool) { return c.enqueue(frame{calls: calls}) }

// Cancel queues the cancellation of a part. CancelsConfirmed follows once the cancellation is written or, with confirm,
// once the searcher has confirmed that it has read it. If the searcher sends nothing at all when asked, the connection
// ends.
func (c *Conn) Cancel(id string, confirm bool) (uint64, bool) {
	return c.enqueue(frame{cancelID: id, confirm: confirm})
}

func (c *Conn) enqueue(f frame) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || len(c.queue) >= c.limits.QueueLength {
		return 0, false
	}
	c.lastSeq++
	f.seq = c.lastSeq
	c.queue = append(c.queue, f)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return c.lastSeq, true
}

// Withdraw removes a part from a frame whose write has not started, so that the part never runs. It returns false if the
// frame is no longer queued.
func (c *Conn) Withdraw(seq uint64, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.queue {
		f := &c.queue[i]
		if f.seq != seq {
			continue
		}
		f.calls = slices.DeleteFunc(f.calls, func(call proto.Call) bool { return call.ID == id })
		if len(f.calls) == 0 {
			c.queue = slices.Delete(c.queue, i, i+1)
		}
		return true
	}
	return false
}

// Written reports whether a frame was written completely, so that its calls may have run.
func (c *Conn) Written(seq uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return seq <= c.writtenSeq
}

// WriteStarted reports whether the write of a frame has started. Its answer may be read before the write has returned,
// and so before Written reports it.
func (c *Conn) WriteStarted(seq uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return seq <= c.startedSeq
}

// Close ends the connection; Closing and Closed follow.
func (c *Conn) Close() { c.Fail(errClosed) }

// Fail ends the connection for a reason, which Closing passes on.
func (c *Conn) Fail(reason error) {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.cancel(reason)
}

// Closing reports whether the connection has begun to end and accepts no more frames.
func (c *Conn) Closing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

func (c *Conn) run(ctx context.Context) {
	d := net.Dialer{Timeout: c.limits.ConnectTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		c.end(ctx, fmt.Errorf("connect: %w", err))
		c.events.Closed(c, true)
		return
	}
	defer nc.Close()
	// A deadline in the past ends a blocked read or write.
	deadlineSet := make(chan struct{})
	context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)); close(deadlineSet) })
	peerClosed := make(chan bool, 1)
	go func() {
		err := guard(func() error { return c.read(nc) })
		c.Fail(err)
		peerClosed <- closedByPeer(err)
	}()
	c.end(ctx, guard(func() error { return c.write(ctx, nc) }))
	<-deadlineSet
	c.events.Closed(c, <-peerClosed || c.linger(nc))
}

// end stops both directions. What the searcher sent before still counts, and is reported before Closing.
func (c *Conn) end(ctx context.Context, err error) {
	c.Fail(err)
	c.mu.Lock()
	pendingProbes, queue := c.pendingProbes, c.queue
	c.pendingProbes, c.queue = nil, nil
	c.mu.Unlock()
	for i := range pendingProbes {
		pendingProbes[i].timer.Stop()
		pendingProbes[i].report(ProbeResult{Sent: true})
	}
	for _, f := range queue {
		if f.probe != nil {
			f.probe.Done(ProbeResult{})
		}
	}
	c.events.Closing(c, context.Cause(ctx))
}

// closedByPeer reports whether a read failed because the searcher, and not this mixer, closed the connection.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// linger closes the write side, waits for the searcher to close its side, and reports whether it did. Closing alone does
// not show when the searcher notices it: it may still read what was written here after a retry was sent elsewhere. If
// the whole mixer stops, nothing more is sent and there is no wait.
func (c *Conn) linger(nc net.Conn) bool {
	tc, ok := nc.(*net.TCPConn)
	if !ok || tc.CloseWrite() != nil || nc.SetReadDeadline(time.Now().Add(c.limits.LingerTimeout)) != nil {
		return false
	}
	defer context.AfterFunc(c.parent, func() { nc.Close() })()
	_, err := io.Copy(io.Discard, nc)
	return err == nil || closedByPeer(err)
}

// guard turns a panic into an error, so that it ends this connection only.
func guard(f func() error) (err error) {
	defer func() {
		if e := recover(); e != nil {
			err = fmt.Errorf("panic: %v", e)
		}
	}()
	return f()
}

func (c *Conn) write(ctx context.Context, nc net.Conn) error {
	var buf []byte
	var batch []frame
	for {
		c.mu.Lock()
		batch = batch[:0]
		if !c.closing { // else its deadline may not be set yet, and queued frames would still be written
			batch, c.queue = append(batch, c.queue...), c.queue[:0]
		}
		if n := len(batch); n > 0 {
			c.startedSeq = batch[n-1].seq
		}
		c.mu.Unlock()
		if len(batch) == 0 {
			select {
			case <-c.wake:
				continue
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		}
		buf = buf[:0]
		now := time.Now()
		var toConfirm []uint64
		for i := range batch {
			f := &batch[i]
			switch {
			case f.probe != nil:
				buf = c.appendProbe(buf, f.probe)
			case f.cancelID == "":
				buf = proto.AppendCalls(buf, now, f.calls...)
			default:
				if buf = proto.AppendCancel(buf, f.cancelID); f.confirm {
					toConfirm = append(toConfirm, f.seq)
				}
			}
			f.end = len(buf)
		}
		if len(toConfirm) > 0 {
			buf = proto.AppendProbe(buf, proto.LetterProbe)
			// This precedes the write because the answer may be read at once.
			c.expect(sentProbe{letter: proto.LetterProbe, seqs: toConfirm}, 0)
		}
		if err := nc.SetWriteDeadline(now.Add(c.limits.WriteTimeout)); err != nil {
			return err
		}
		n, err := nc.Write(buf)
		var confirmed []uint64
		for i := range batch {
			if n < batch[i].end {
				break
			}
			c.mu.Lock()
			c.writtenSeq = batch[i].seq
			c.mu.Unlock()
			if batch[i].cancelID != "" && !batch[i].confirm {
				confirmed = append(confirmed, batch[i].seq)
			}
		}
		if len(confirmed) > 0 {
			c.events.CancelsConfirmed(c, confirmed)
		}
		if err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
}

func (c *Conn) read(nc net.Conn) error {
	r := bufio.NewReaderSize(nc, 4096)
	var buf, rest []byte
	for {
		if _, err := r.Peek(1); err != nil {
			return fmt.Errorf("read: %w", err)
		}
		// Garbage that reads as a length would swallow all later answers, and the searcher would look unresponsive.
		// So a frame that has begun must end soon. Most frames arrive whole and need no deadline.
		partial := !proto.HoldsFrame(r)
		if partial {
			if err := c.setReadDeadline(nc, time.Now().Add(c.limits.FrameTimeout)); err != nil {
				return err
			}
		}
		var letter byte
		var err error
		if letter, rest, buf, err = proto.ReadFrame(r, buf, c.limits.MaxFrameBytes); err != nil {
			return fmt.Errorf("read: %w", err)
		}
		if partial {
			if err := c.setReadDeadline(nc, time.Time{}); err != nil {
				return err
			}
		}
		c.framesRead.Add(1)
		switch letter {
		case proto.LetterAnswer:
			a, err := proto.ReadAnswer(rest)
			if err != nil {
				return err
			}
			c.events.AnswerReceived(c, a, r.Buffered() > 0)
		case proto.LetterEnd:
			return fmt.Errorf("%w: %.100q", errFrameRejected, rest)
		case proto.LetterProbe, proto.LetterLoad:
			if len(rest) > c.limits.MaxProbeAnswer {
				return fmt.Errorf("probe answer of %d bytes is too long", len(rest))
			}
			if !c.answered(letter, string(rest)) {
				return errUnexpectedAnswer
			}
		default:
			return fmt.Errorf("frame with letter %q", letter)
		}
		if cap(buf) > c.limits.MaxKeptBuffer {
			buf = nil
		}
	}
}

// setReadDeadline sets the deadline of reads, unless the connection is ending, whose deadline must not be reset.
func (c *Conn) setReadDeadline(nc net.Conn, at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return errClosed
	}
	return nc.SetReadDeadline(at)
}
