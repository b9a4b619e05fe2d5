// Package link keeps one connection to a searcher: frames go out in order, answers come back in any order. It
// reports what happened and decides nothing.
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

// Limits are the sizes and times of a connection.
type Limits struct {
	Receipt time.Duration // for a searcher to say anything once it is asked for a receipt
	Linger  time.Duration // for the searcher's end of a connection that this mixer has ended
	Frame   int           // bytes of a frame from a searcher
	Queue   int           // frames that wait to be written
	Connect time.Duration // for a connection to come up
	Write   time.Duration // for the searcher to take what is written
	Rest    time.Duration // for a frame from a searcher that has begun
	Word    int           // bytes of the answer to a probe
	Keep    int           // bytes of a buffer that are kept for the next frame
}

// Events are told from the connection's own goroutines: Answered and Told as they happen, then Closing once, when
// nothing more is sent or believed, then Closed once, when the connection is gone.
type Events interface {
	Answered(c *Conn, a proto.Answer, more bool) // more: there are bytes right behind
	Told(c *Conn, seqs []uint64)                 // these frames, which give up a part each, ended together, see Cancel
	Closing(c *Conn, why error)
	Closed(c *Conn, heard bool) // heard: the searcher ended it too, or it never came up, so nothing on it is out there
}

// frame is encoded only when it is written: till then parts may be taken out of it, and time passes.
type frame struct {
	seq   uint64
	calls []proto.Call
	stop  string // the id of a part that is given up, in place of calls
	proof bool   // and the searcher is to say that it has read so
	probe *Probe // in place of both
	end   int    // where it ends among the bytes being written
}

// Conn is one connection, perhaps still coming up.
type Conn struct {
	addr  string
	lim   Limits
	ev    Events
	all   context.Context
	stop  context.CancelCauseFunc
	wake  chan struct{}
	heard atomic.Uint64 // frames read

	mu      sync.Mutex
	queue   []frame
	asked   []ask  // not answered yet, oldest first
	last    uint64 // the last frame taken in
	begun   uint64 // the last frame taken up to be written
	written uint64 // the last frame whose last byte was written
	shut    bool
}

var (
	errShut  = errors.New("closed by this mixer")
	errFrame = errors.New("searcher could not use a frame")
	errProbe = errors.New("answer to a probe never sent")
)

// Open starts a connection; what is sent before it is up waits.
func Open(ctx context.Context, addr string, lim Limits, ev Events) *Conn {
	c := &Conn{addr: addr, lim: lim, ev: ev, all: ctx, wake: make(chan struct{}, 1)}
	ctx, c.stop = context.WithCancelCause(ctx)
	go c.run(ctx)
	return c
}

// Send queues one call and gives its frame's number; false if the connection takes no more.
func (c *Conn) Send(calls []proto.Call) (uint64, bool) { return c.put(frame{calls: calls}) }

// Cancel queues word that a part is given up. Told follows once that is written or, with proof, once the searcher
// has said that it has read it. A connection that says nothing at all when asked ends.
func (c *Conn) Cancel(id string, proof bool) (uint64, bool) {
	return c.put(frame{stop: id, proof: proof})
}

func (c *Conn) put(f frame) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut || len(c.queue) >= c.lim.Queue {
		return 0, false
	}
	c.last++
	f.seq = c.last
	c.queue = append(c.queue, f)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return c.last, true
}

// Withdraw takes a part back out of a frame that has not begun to be written: it never ran, and never will.
func (c *Conn) Withdraw(seq uint64, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.queue {
		f := &c.queue[i]
		if f.seq != seq {
			continue
		}
		f.calls = slices.DeleteFunc(f.calls, func(k proto.Call) bool { return k.ID == id })
		if len(f.calls) == 0 {
			c.queue = slices.Delete(c.queue, i, i+1)
		}
		return true
	}
	return false
}

// Written tells whether a frame's last byte was written, so that it may have run.
func (c *Conn) Written(seq uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return seq <= c.written
}

// WriteStarted tells whether a frame was taken up to be written. Its answer may be read before the write has returned, and so
// before Written tells of it.
func (c *Conn) WriteStarted(seq uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return seq <= c.begun
}

// Close ends the connection; Closing and Closed follow.
func (c *Conn) Close() { c.Fail(errShut) }

// Fail ends it for a reason.
func (c *Conn) Fail(why error) {
	c.mu.Lock()
	c.shut = true
	c.mu.Unlock()
	c.stop(why)
}

// Closing tells that it takes nothing more.
func (c *Conn) Closing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shut
}

func (c *Conn) run(ctx context.Context) {
	d := net.Dialer{Timeout: c.lim.Connect, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		c.end(ctx, fmt.Errorf("connect: %w", err))
		c.ev.Closed(c, true)
		return
	}
	defer nc.Close()
	// A deadline is what ends a blocked read or write.
	cut := make(chan struct{})
	context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)); close(cut) })
	peer := make(chan bool, 1)
	go func() {
		err := guard(func() error { return c.read(nc) })
		c.Fail(err)
		peer <- ended(err)
	}()
	c.end(ctx, guard(func() error { return c.write(ctx, nc) }))
	<-cut
	c.ev.Closed(c, <-peer || c.linger(nc))
}

// end stops both directions. What the searcher said before still counts, and comes before Closing.
func (c *Conn) end(ctx context.Context, err error) {
	c.Fail(err)
	c.mu.Lock()
	asked, queue := c.asked, c.queue
	c.asked, c.queue = nil, nil
	c.mu.Unlock()
	for i := range asked {
		asked[i].clock.Stop()
		asked[i].tell(Probed{Sent: true})
	}
	for _, f := range queue {
		if f.probe != nil {
			f.probe.Done(Probed{})
		}
	}
	c.ev.Closing(c, context.Cause(ctx))
}

// ended tells that a read failed since the searcher has ended the connection, and not since this mixer has.
func ended(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// linger ends this side and waits for the searcher's end. Closing alone says nothing of when the searcher hears of
// it: it may yet read what was written here, after what went out elsewhere. Where all is ended at once, nothing
// goes out any more and nobody waits.
func (c *Conn) linger(nc net.Conn) bool {
	tc, ok := nc.(*net.TCPConn)
	if !ok || tc.CloseWrite() != nil || nc.SetReadDeadline(time.Now().Add(c.lim.Linger)) != nil {
		return false
	}
	defer context.AfterFunc(c.all, func() { nc.Close() })()
	_, err := io.Copy(io.Discard, nc)
	return err == nil || ended(err)
}

// guard makes a panic the end of this connection alone.
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
		if !c.shut { // else its deadline may not be set yet, and what waits would still leave
			batch, c.queue = append(batch, c.queue...), c.queue[:0]
		}
		if n := len(batch); n > 0 {
			c.begun = batch[n-1].seq
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
		var proof []uint64
		for i := range batch {
			f := &batch[i]
			switch {
			case f.probe != nil:
				buf = c.probe(buf, f.probe)
			case f.stop == "":
				buf = proto.AppendCalls(buf, now, f.calls...)
			default:
				if buf = proto.AppendGiveUp(buf, f.stop); f.proof {
					proof = append(proof, f.seq)
				}
			}
			f.end = len(buf)
		}
		if len(proof) > 0 {
			buf = proto.AppendProbe(buf, proto.LetterProbe)
			// Before it is written: the answer may be read at once.
			c.expect(ask{letter: proto.LetterProbe, seqs: proof}, 0)
		}
		if err := nc.SetWriteDeadline(now.Add(c.lim.Write)); err != nil {
			return err
		}
		n, err := nc.Write(buf)
		var told []uint64
		for i := range batch {
			if n < batch[i].end {
				break
			}
			c.mu.Lock()
			c.written = batch[i].seq
			c.mu.Unlock()
			if batch[i].stop != "" && !batch[i].proof {
				told = append(told, batch[i].seq)
			}
		}
		if len(told) > 0 {
			c.ev.Told(c, told)
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
		// Noise that reads as a length would swallow all answers to come and look like a silent searcher: a frame
		// that has begun ends soon. Most come whole, and need no clock.
		part := !proto.HoldsFrame(r)
		if part {
			if err := c.until(nc, time.Now().Add(c.lim.Rest)); err != nil {
				return err
			}
		}
		var letter byte
		var err error
		if letter, rest, buf, err = proto.ReadFrame(r, buf, c.lim.Frame); err != nil {
			return fmt.Errorf("read: %w", err)
		}
		if part {
			if err := c.until(nc, time.Time{}); err != nil {
				return err
			}
		}
		c.heard.Add(1)
		switch letter {
		case proto.LetterAnswer:
			a, err := proto.ReadAnswer(rest)
			if err != nil {
				return err
			}
			c.ev.Answered(c, a, r.Buffered() > 0)
		case proto.LetterEnd:
			return fmt.Errorf("%w: %.100q", errFrame, rest)
		case proto.LetterProbe, proto.LetterLoad:
			if len(rest) > c.lim.Word {
				return fmt.Errorf("answer of %d bytes to a probe", len(rest))
			}
			if !c.receipt(letter, string(rest)) {
				return errProbe
			}
		default:
			return fmt.Errorf("frame with letter %q", letter)
		}
		if cap(buf) > c.lim.Keep {
			buf = nil
		}
	}
}

// until sets when a read ends, unless the connection ends: that is not to be undone.
func (c *Conn) until(nc net.Conn, at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut {
		return errShut
	}
	return nc.SetReadDeadline(at)
}
