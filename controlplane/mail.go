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
	queueMost   = 64
	peersMost   = 64
	unackedMost = 1200 * time.Millisecond
	dialMost    = 500 * time.Millisecond
	dialPause   = 200 * time.Millisecond // after a dial that failed
)

// mail carries messages between core machines, a connection for each direction. A message may be lost: what doesn't go
// out soon is worth nothing later.
type mail struct {
	ctx     context.Context
	network keepalive.Network

	mu    sync.Mutex
	boxes map[string]*mailbox // by address
}

// mailbox is what waits for one peer.
type mailbox struct {
	queue chan consensus.Message
	alive chan struct{} // of one place: the peer has been heard
	used  time.Time
	stop  func()
}

// idleMost is how long a peer that nothing is sent to keeps its place when another needs one.
const idleMost = 5 * time.Second

func newMail(ctx context.Context, network keepalive.Network) *mail {
	return &mail{ctx: ctx, network: network, boxes: map[string]*mailbox{}}
}

func (m *mail) send(x consensus.Message) {
	if x.ToAddr == "" {
		return
	}
	box := m.box(x.ToAddr)
	if box == nil {
		return
	}
	select {
	case box.queue <- x:
	default:
	}
}

// box gives the mailbox of an address; nil if there is no room for one more.
func (m *mail) box(addr string) *mailbox {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	box := m.boxes[addr]
	if box == nil {
		if len(m.boxes) >= peersMost && !m.forget(now) {
			return nil
		}
		box = &mailbox{queue: make(chan consensus.Message, queueMost), alive: make(chan struct{}, 1)}
		var ctx context.Context
		ctx, box.stop = context.WithCancel(m.ctx)
		m.boxes[addr] = box
		go m.deliver(ctx, addr, box)
	}
	box.used = now
	return box
}

// forget makes room by ending the link that has been idle for longest: machines come and go, each at a new address.
func (m *mail) forget(now time.Time) bool {
	oldest := ""
	for addr, box := range m.boxes {
		if oldest == "" || box.used.Before(m.boxes[oldest].used) {
			oldest = addr
		}
	}
	if oldest == "" || now.Sub(m.boxes[oldest].used) < idleMost {
		return false
	}
	m.boxes[oldest].stop()
	delete(m.boxes, oldest)
	return true
}

// deliver keeps a connection to one peer.
func (m *mail) deliver(ctx context.Context, addr string, box *mailbox) {
	for ctx.Err() == nil {
		c, err := keepalive.DialAgain(ctx, m.network, addr, dialMost, unackedMost, box.alive)
		if err != nil {
			drop(ctx, box, dialPause)
			continue
		}
		pump(ctx, c, box.queue)
	}
}

// heard notes that a peer lives, so that no link to it waits any longer.
func (m *mail) heard(addr string) {
	m.mu.Lock()
	box := m.boxes[addr]
	m.mu.Unlock()
	if box == nil {
		return
	}
	select {
	case box.alive <- struct{}{}:
	default:
	}
}

// drop throws away what waits: a peer that can't be reached should not be told old things first. It ends when the peer is
// heard.
func drop(ctx context.Context, box *mailbox, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	for {
		select {
		case <-box.queue:
		case <-box.alive:
			return
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func pump(ctx context.Context, c net.Conn, ch chan consensus.Message) {
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	w := bufio.NewWriterSize(c, 4096)
	out := gob.NewEncoder(w)
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-ch:
			c.SetWriteDeadline(time.Now().Add(time.Second))
			if out.Encode(&x) != nil {
				return
			}
			if len(ch) == 0 && w.Flush() != nil {
				return
			}
		}
	}
}

// receive takes messages from peers until ctx ends; heard is told from whom.
func receive(ctx context.Context, ln net.Listener, to chan<- consensus.Message, heard func(addr string)) {
	keepalive.Accept(ctx, ln, func(c net.Conn) {
		in := gob.NewDecoder(bufio.NewReaderSize(c, 4096))
		for {
			var x consensus.Message
			c.SetReadDeadline(time.Now().Add(10 * time.Second))
			if in.Decode(&x) != nil {
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
