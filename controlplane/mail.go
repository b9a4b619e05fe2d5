package controlplane

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"sync"
	"time"

	"peathollow/consensus"
	"peathollow/internal/keepalive"
)

const (
	maxQueued      = 64
	maxPeers       = 64
	userTimeout    = 1200 * time.Millisecond
	dialTimeout    = 500 * time.Millisecond
	dialRetryDelay = 200 * time.Millisecond // after a failed dial
)

// transport carries messages between controllers, over one connection for each direction. A message may be lost: one that is
// not sent soon has no value later.
type transport struct {
	ctx     context.Context
	network keepalive.Network

	mu       sync.Mutex
	outboxes map[string]*outbox // by address
}

// outbox holds the messages that wait for one peer.
type outbox struct {
	queue    chan consensus.Message
	alive    chan struct{} // buffered, capacity 1: a message has arrived from the peer
	lastUsed time.Time
	stop     func()
}

// outboxIdleTimeout is how long an unused outbox is kept when another peer needs its slot.
const outboxIdleTimeout = 5 * time.Second

func newTransport(ctx context.Context, network keepalive.Network) *transport {
	return &transport{ctx: ctx, network: network, outboxes: map[string]*outbox{}}
}

func (t *transport) send(x consensus.Message) {
	if x.ToAddr == "" {
		return
	}
	box := t.outbox(x.ToAddr)
	if box == nil {
		return
	}
	select {
	case box.queue <- x:
	default:
	}
}

// outbox returns the outbox of an address, or nil if there are too many.
func (t *transport) outbox(addr string) *outbox {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	box := t.outboxes[addr]
	if box == nil {
		if len(t.outboxes) >= maxPeers && !t.evictIdle(now) {
			return nil
		}
		box = &outbox{queue: make(chan consensus.Message, maxQueued), alive: make(chan struct{}, 1)}
		var ctx context.Context
		ctx, box.stop = context.WithCancel(t.ctx)
		t.outboxes[addr] = box
		go t.deliver(ctx, addr, box)
	}
	box.lastUsed = now
	return box
}

// evictIdle frees a slot by closing the outbox that has been unused for longest, since machines come and go, each at a new
// address.
func (t *transport) evictIdle(now time.Time) bool {
	oldest := ""
	for addr, box := range t.outboxes {
		if oldest == "" || box.lastUsed.Before(t.outboxes[oldest].lastUsed) {
			oldest = addr
		}
	}
	if oldest == "" || now.Sub(t.outboxes[oldest].lastUsed) < outboxIdleTimeout {
		return false
	}
	t.outboxes[oldest].stop()
	delete(t.outboxes, oldest)
	return true
}

// deliver keeps a connection to one peer and sends its messages.
func (t *transport) deliver(ctx context.Context, addr string, box *outbox) {
	for ctx.Err() == nil {
		c, err := keepalive.DialAgain(ctx, t.network, addr, dialTimeout, userTimeout, box.alive)
		if err != nil {
			discardQueued(ctx, box, dialRetryDelay)
			continue
		}
		writeMessages(ctx, c, box.queue)
	}
}

// peerAlive reports a message from a peer, so that a waiting dial to it is retried at once.
func (t *transport) peerAlive(addr string) {
	t.mu.Lock()
	box := t.outboxes[addr]
	t.mu.Unlock()
	if box == nil {
		return
	}
	select {
	case box.alive <- struct{}{}:
	default:
	}
}

// discardQueued drops the queued messages for the length of pause, so that a peer that was unreachable does not receive
// outdated messages first. It ends early when the peer is heard from.
func discardQueued(ctx context.Context, box *outbox, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-box.queue:
		case <-box.alive:
			return
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func writeMessages(ctx context.Context, c net.Conn, ch chan consensus.Message) {
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	w := bufio.NewWriterSize(c, 4096)
	encoder := gob.NewEncoder(w)
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-ch:
			c.SetWriteDeadline(time.Now().Add(time.Second))
			if encoder.Encode(&x) != nil {
				return
			}
			if len(ch) == 0 && w.Flush() != nil {
				return
			}
		}
	}
}

// receiveMessages accepts messages from peers until ctx ends, and calls heard with the sender's address of each.
func receiveMessages(ctx context.Context, ln net.Listener, to chan<- consensus.Message, heard func(addr string)) {
	keepalive.Accept(ctx, ln, func(c net.Conn) {
		decoder := gob.NewDecoder(bufio.NewReaderSize(c, 4096))
		for {
			var x consensus.Message
			c.SetReadDeadline(time.Now().Add(10 * time.Second))
			if decoder.Decode(&x) != nil {
				return
			}
			heard(x.FromAddr)
			select {
			case to <- x:
			case <-ctx.Done():
				return
			}
		}
	})
}
