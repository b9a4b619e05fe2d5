// Package link keeps one connection to a searcher: frames go out in order, answers come back in any order. It
// reports what happened and decides nothing.
package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"peathollow/internal/proto"
)

// Limits are the sizes and times of a connection.
type Limits struct {
	Frame   int           // bytes of a frame from a searcher
	Queue   int           // frames that wait to be written
	Connect time.Duration // for a connection to come up
	Write   time.Duration // for the searcher to take what is written
	Rest    time.Duration // for a frame from a searcher that has begun
	Keep    int           // bytes of a buffer that are kept for the next frame
}

// Events are told from the connection's own goroutines. Closed comes once, after all else.
type Events interface {
	Answered(c *Conn, a proto.Answer, more bool) // more: there are bytes right behind
	Told(c *Conn, seqs []uint64)                 // these frames, which give up a part each, were written together
	Closed(c *Conn, why error)
}

// frame is encoded only when it is written: till then parts may be taken out of it, and time passes.
type frame struct {
	seq   uint64
	calls []proto.Call
	stop  string // the id of a part that is given up, in place of calls
	end   int    // where it ends among the bytes being written
}

// Conn is one connection, perhaps still coming up.
type Conn struct {
	addr string
	lim  Limits
	ev   Events
	stop context.CancelCauseFunc
	wake chan struct{}
	part atomic.Bool // the searcher is in the midst of a frame

	mu      sync.Mutex
	queue   []frame
	last    uint64 // the last frame taken in
	written uint64 // the last frame whose last byte was written
	shut    bool
}

var (
	errShut  = errors.New("closed by this mixer")
	errFrame = errors.New("searcher could not use a frame")
)

// Open starts a connection; what is sent before it is up waits.
func Open(ctx context.Context, addr string, lim Limits, ev Events) *Conn {
	c := &Conn{addr: addr, lim: lim, ev: ev, wake: make(chan struct{}, 1)}
	ctx, c.stop = context.WithCancelCause(ctx)
	go c.run(ctx)
	return c
}

// Send queues one call and gives its frame's number; false if the connection takes no more.
func (c *Conn) Send(calls []proto.Call) (uint64, bool) { return c.put(frame{calls: calls}) }

// GiveUp queues word that a part is given up; Told follows.
func (c *Conn) GiveUp(id string) (uint64, bool) { return c.put(frame{stop: id}) }

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

// Recall takes a part back out of a frame that has not begun to be written: it never ran, and never will.
func (c *Conn) Recall(seq uint64, id string) bool {
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

// Ran tells whether a frame's last byte was written, so that it may have run.
func (c *Conn) Ran(seq uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return seq <= c.written
}

// Midway tells that the searcher has begun a frame that is not here whole. Most end at once; one that does not comes
// from a searcher that is out of step, and may read no more of what is sent to it here.
func (c *Conn) Midway() bool { return c.part.Load() }

// Close ends the connection; Closed follows.
func (c *Conn) Close() { c.Fail(errShut) }

// Fail ends it for a reason.
func (c *Conn) Fail(why error) { c.stop(why) }

func (c *Conn) run(ctx context.Context) {
	err := guard(func() error { return c.serve(ctx) })
	c.mu.Lock()
	c.shut = true
	c.mu.Unlock()
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	c.stop(err)
	c.ev.Closed(c, err)
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

func (c *Conn) serve(ctx context.Context) error {
	d := net.Dialer{Timeout: c.lim.Connect, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	// Closing is what ends a blocked read or write.
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	defer nc.Close()
	read := make(chan error, 1)
	go func() {
		err := guard(func() error { return c.read(nc) })
		c.stop(err)
		read <- err
	}()
	err = guard(func() error { return c.write(ctx, nc) })
	c.stop(err)
	nc.Close()
	// What the searcher said before the end still counts, and comes before Closed.
	if why := <-read; err == nil {
		err = why
	}
	return err
}

func (c *Conn) write(ctx context.Context, nc net.Conn) error {
	var buf []byte
	var batch []frame
	for {
		c.mu.Lock()
		batch, c.queue = append(batch[:0], c.queue...), c.queue[:0]
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
		for i := range batch {
			if f := &batch[i]; f.stop != "" {
				buf = proto.AppendGiveUp(buf, f.stop)
			} else {
				buf = proto.AppendCalls(buf, now, f.calls...)
			}
			batch[i].end = len(buf)
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
			if batch[i].stop != "" {
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
			c.part.Store(true)
			if err := nc.SetReadDeadline(time.Now().Add(c.lim.Rest)); err != nil {
				return err
			}
		}
		var letter byte
		var err error
		if letter, rest, buf, err = proto.ReadFrame(r, buf, c.lim.Frame); err != nil {
			return fmt.Errorf("read: %w", err)
		}
		if part {
			c.part.Store(false)
			if err := nc.SetReadDeadline(time.Time{}); err != nil {
				return err
			}
		}
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
		default:
			return fmt.Errorf("frame with letter %q", letter)
		}
		if cap(buf) > c.lim.Keep {
			buf = nil
		}
	}
}
