package soak

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Names of those that aren't machines of the system.
const (
	outside = "outside" // searchers and operators
	clients = "clients"
)

// network is the relay that all connections of a run go through. It passes bytes on, holds them up where a link is cut,
// and resets connections.
type network struct {
	fault   func(error)              // is told why a connection was not taken
	resolve atomic.Pointer[resolver] // nil until the system is there

	mu         sync.Mutex
	changed    chan struct{} // closed when a condition comes or goes
	conditions map[*condition]struct{}
	pairs      map[*pair]struct{}
	listeners  []net.Listener
	closed     bool
}

// resolver finds what a process means by an address.
type resolver func(from, address string) (to, machine string, err error)

// condition is something that is wrong with some links.
type condition struct {
	applies func(from, to string) bool // from whom the bytes come and for whom they are
	hold    bool                       // bytes wait until it is over
	delay   time.Duration
	lose    bool // the connection ends when bytes come
}

// pair is one connection through the relay.
type pair struct {
	near, far      net.Conn
	caller, callee string
	once           sync.Once
}

func newNetwork(fault func(error)) *network {
	return &network{fault: fault, changed: make(chan struct{}), conditions: map[*condition]struct{}{}, pairs: map[*pair]struct{}{}}
}

// impose has a condition hold for a while.
func (n *network) impose(c condition, during func()) {
	n.mu.Lock()
	n.conditions[&c] = struct{}{}
	n.tell()
	n.mu.Unlock()
	during()
	n.mu.Lock()
	delete(n.conditions, &c)
	n.tell()
	n.mu.Unlock()
}

// tell wakes what waits for a condition; the lock is held.
func (n *network) tell() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// state is what holds for bytes from one to another.
func (n *network) state(from, to string) (hold, lose bool, delay time.Duration, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conditions {
		if c.applies(from, to) {
			hold, lose, delay = hold || c.hold, lose || c.lose, max(delay, c.delay)
		}
	}
	return hold || n.closed, lose, delay, n.changed
}

// reset ends the connections of a machine, or of two with each other.
func (n *network) reset(strikes func(caller, callee string) bool) {
	n.mu.Lock()
	var struck []*pair
	for p := range n.pairs {
		if strikes(p.caller, p.callee) {
			struck = append(struck, p)
		}
	}
	n.mu.Unlock()
	for _, p := range struck {
		p.end(true)
	}
}

// open gives an address at which connections from one are passed on to another; to gives where that is at the moment.
func (n *network) open(caller string, to func() (address, callee string)) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "relay")
	}
	n.accept(ln, func(c net.Conn) {
		address, callee := to()
		n.connect(c, caller, callee, address, nil)
	})
	return ln.Addr().String(), nil
}

// openThrough gives an address at which processes say whom they call; see keepalive.TCP.
func (n *network) openThrough() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "relay")
	}
	n.accept(ln, func(c net.Conn) {
		const introduceWithin = 5 * time.Second
		c.SetReadDeadline(time.Now().Add(introduceWithin))
		in := bufio.NewReaderSize(c, 256)
		line, err := in.ReadString('\n')
		from, address, ok := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if err != nil || !ok || in.Buffered() > 0 {
			c.Close()
			return
		}
		c.SetReadDeadline(time.Time{})
		resolve := n.resolve.Load()
		if resolve == nil {
			c.Close() // it tries again
			return
		}
		to, callee, err := (*resolve)(from, address)
		if err != nil {
			c.Close()
			return
		}
		n.connect(c, from, callee, to, []byte{'+'})
	})
	return ln.Addr().String(), nil
}

func (n *network) accept(ln net.Listener, serve func(net.Conn)) {
	n.mu.Lock()
	n.listeners = append(n.listeners, ln)
	n.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // a caller's reset, or no descriptor left
				n.fault(err)
				time.Sleep(acceptPause)
				continue
			}
			go serve(c)
		}
	}()
}

// connect joins a caller's connection with one to the callee, both of which a cut holds up.
func (n *network) connect(near net.Conn, caller, callee, address string, greeting []byte) {
	if !n.await(caller, callee) || !n.await(callee, caller) {
		reset(near)
		return
	}
	const connectWithin = 3 * time.Second
	far, err := net.DialTimeout("tcp", address, connectWithin)
	if err != nil {
		reset(near)
		return
	}
	p := &pair{near: near, far: far, caller: caller, callee: callee}
	n.mu.Lock()
	n.pairs[p] = struct{}{}
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.pairs, p)
		n.mu.Unlock()
	}()
	if len(greeting) > 0 {
		near.Write(greeting)
	}
	var both sync.WaitGroup
	both.Go(func() { n.copy(p, far, near, caller, callee) })
	both.Go(func() { n.copy(p, near, far, callee, caller) })
	both.Wait()
	p.end(false)
}

// await waits until bytes may pass; false if the connection is to end.
func (n *network) await(from, to string) bool {
	for {
		hold, lose, delay, changed := n.state(from, to)
		if lose {
			return false
		}
		if !hold {
			time.Sleep(delay)
			return true
		}
		n.mu.Lock()
		closed := n.closed
		n.mu.Unlock()
		if closed {
			return false
		}
		<-changed
	}
}

// acceptPause is how long the relay waits after it could not take a connection.
const acceptPause = 10 * time.Millisecond

// relayBuffer is small, as connections are many.
const relayBuffer = 4 << 10

// copy passes bytes on until either end closes.
func (n *network) copy(p *pair, to, from net.Conn, sender, receiver string) {
	b := make([]byte, relayBuffer)
	for {
		k, err := from.Read(b)
		if k > 0 {
			if !n.await(sender, receiver) {
				p.end(true)
				return
			}
			if _, err := to.Write(b[:k]); err != nil {
				p.end(true)
				return
			}
		}
		if err != nil {
			// An end that comes in order is passed on as one, after the bytes before it.
			if !n.await(sender, receiver) || !closedInOrder(err) {
				p.end(true)
				return
			}
			if from == p.near { // callers end both ways at once; one that stands still at the other end would hold the pair
				p.end(false)
				return
			}
			if half, ok := to.(*net.TCPConn); ok {
				half.CloseWrite()
			}
			return
		}
	}
}

func closedInOrder(err error) bool { return err.Error() == "EOF" }

func (p *pair) end(abruptly bool) {
	p.once.Do(func() {
		if abruptly {
			reset(p.near)
			reset(p.far)
			return
		}
		p.near.Close()
		p.far.Close()
	})
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// close ends everything.
func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	for _, ln := range n.listeners {
		ln.Close()
	}
	n.tell()
	n.mu.Unlock()
	n.reset(func(string, string) bool { return true })
}
