package soak

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"peathollow/internal/keepalive"
)

// Names of participants that aren't machines of the system.
const (
	outside = "outside" // searchers and operators
	clients = "clients"
)

// network is the relay for all connections of a run. It forwards bytes, holds them back on partitioned links and resets
// connections.
type network struct {
	onError   func(error)              // receives errors of accept
	resolve   atomic.Pointer[resolver] // nil until the system is started
	crossings *crossings

	mu         sync.Mutex
	changed    chan struct{} // closed when a condition is added or removed
	conditions map[*condition]struct{}
	pairs      map[*connPair]struct{}
	listeners  []net.Listener
	closed     bool
}

// resolver maps an address that a process dials to the real address and the machine there.
type resolver func(from, address string) (to, machine string, err error)

// condition is a fault of some links.
type condition struct {
	applies func(from, to string) bool // sender and receiver of the bytes
	hold    bool                       // bytes wait until the condition ends
	delay   time.Duration
	drop    bool // the connection is reset when bytes arrive
}

// connPair is one connection through the relay.
type connPair struct {
	callerConn, calleeConn net.Conn
	caller, callee         string
	once                   sync.Once
}

func newNetwork(onError func(error)) *network {
	return &network{onError: onError, crossings: newCrossings(), changed: make(chan struct{}), conditions: map[*condition]struct{}{}, pairs: map[*connPair]struct{}{}}
}

// apply adds a condition, calls during and removes the condition.
func (n *network) apply(c condition, during func()) {
	n.mu.Lock()
	n.conditions[&c] = struct{}{}
	n.notify()
	n.mu.Unlock()
	during()
	n.mu.Lock()
	delete(n.conditions, &c)
	n.notify()
	n.mu.Unlock()
}

// notify wakes the connections that wait for a change of conditions. The caller holds mu.
func (n *network) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// conditionFor combines the conditions for bytes from one participant to another.
func (n *network) conditionFor(from, to string) (hold, drop bool, delay time.Duration, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conditions {
		if c.applies(from, to) {
			hold, drop, delay = hold || c.hold, drop || c.drop, max(delay, c.delay)
		}
	}
	return hold || n.closed, drop, delay, n.changed
}

// reset resets the connections that match.
func (n *network) reset(matches func(caller, callee string) bool) {
	n.mu.Lock()
	var matching []*connPair
	for p := range n.pairs {
		if matches(p.caller, p.callee) {
			matching = append(matching, p)
		}
	}
	n.mu.Unlock()
	for _, p := range matching {
		p.end(true)
	}
}

// openForward returns an address at which the relay accepts connections from a caller. For each one, to returns the callee.
func (n *network) openForward(caller string, to func() (address, callee string)) (string, error) {
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

// openRouted returns an address at which callers name the callee on each connection; see keepalive.TCP.
func (n *network) openRouted() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "relay")
	}
	n.accept(ln, func(c net.Conn) {
		const introductionTimeout = 5 * time.Second
		c.SetReadDeadline(time.Now().Add(introductionTimeout))
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
			c.Close() // the caller retries
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
			if err != nil { // the caller reset the connection, or no file descriptor is left
				n.onError(err)
				time.Sleep(acceptRetryDelay)
				continue
			}
			go serve(c)
		}
	}()
}

// connect dials the callee and forwards bytes in both directions. A partition delays the dial, too.
func (n *network) connect(callerConn net.Conn, caller, callee, address string, greeting []byte) {
	if !n.await(caller, callee) || !n.await(callee, caller) {
		reset(callerConn)
		return
	}
	const dialTimeout = 3 * time.Second
	calleeConn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		reset(callerConn)
		return
	}
	p := &connPair{callerConn: callerConn, calleeConn: calleeConn, caller: caller, callee: callee}
	n.mu.Lock()
	n.pairs[p] = struct{}{}
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.pairs, p)
		n.mu.Unlock()
	}()
	if len(greeting) > 0 {
		callerConn.Write(greeting)
	}
	var wg sync.WaitGroup
	wg.Go(func() { n.copy(p, calleeConn, callerConn, caller, callee) })
	wg.Go(func() { n.copy(p, callerConn, calleeConn, callee, caller) })
	wg.Wait()
	p.end(false)
}

// await waits until bytes may pass. It returns false if the connection must be reset.
func (n *network) await(from, to string) bool {
	for {
		hold, drop, delay, changed := n.conditionFor(from, to)
		if drop {
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

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

// relayBuffer is small because there are many connections.
const relayBuffer = 4 << 10

// copy forwards bytes until one end closes.
func (n *network) copy(p *connPair, to, from net.Conn, sender, receiver string) {
	b := make([]byte, relayBuffer)
	for {
		count, err := from.Read(b)
		if count > 0 {
			if !n.await(sender, receiver) {
				p.end(true)
				return
			}
			if from == p.callerConn && keepalive.PeerClosed(to) {
				n.crossings.record(from.RemoteAddr())
			}
			if _, err := to.Write(b[:count]); err != nil {
				p.end(true)
				return
			}
		}
		if err != nil {
			// Forward a regular end of the stream as such, after the bytes before it.
			if !n.await(sender, receiver) || !closedCleanly(err) {
				p.end(true)
				return
			}
			if from == p.callerConn { // callers close both directions at once; a paused callee would keep the pair open
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

func closedCleanly(err error) bool { return err.Error() == "EOF" }

func (p *connPair) end(abruptly bool) {
	p.once.Do(func() {
		if abruptly {
			reset(p.callerConn)
			reset(p.calleeConn)
			return
		}
		p.callerConn.Close()
		p.calleeConn.Close()
	})
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// close closes the listeners and resets all connections.
func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	for _, ln := range n.listeners {
		ln.Close()
	}
	n.notify()
	n.mu.Unlock()
	n.reset(func(string, string) bool { return true })
}
