// Package simnet is an in-memory network for processes that run in one test under simulated time. It simulates links with
// delays, partitions in one or both directions, machines that lose power and processes that are killed. It is for tests only
// and designed for a bubble of testing/synctest: it waits for nothing but channels and timers.
package simnet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// resendInterval is the interval at which bytes and connection attempts that a partition holds up are retried.
	resendInterval = 200 * time.Millisecond
	backlog        = 128
)

// Network is a set of machines and the links between them.
type Network struct {
	mu          sync.Mutex
	rng         *rand.Rand
	minDelay    time.Duration
	maxDelay    time.Duration
	partitioned map[[2]string]bool // partitioned links, as from and to
	hosts       map[string]*Host   // the current process of each machine, by IP address
}

// New returns a network whose links have random delays between low and high.
func New(seed uint64, low, high time.Duration) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, 11)), minDelay: low, maxDelay: high, partitioned: map[[2]string]bool{}, hosts: map[string]*Host{}}
}

// SetPartition partitions a link in one direction, or restores it.
func (n *Network) SetPartition(from, to string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{from, to}] = partitioned
}

// Heal restores all links.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.partitioned)
}

// delay draws the delay of a segment. Within a machine it is a short constant.
func (n *Network) delay(from, to string) time.Duration {
	if from == to {
		return 20 * time.Microsecond
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.minDelay + time.Duration(n.rng.Int64N(int64(n.maxDelay-n.minDelay)+1))
}

// connected reports whether a segment can currently get from one process to another.
func (n *Network) connected(from, to *Host) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.partitioned[[2]string{from.ip, to.ip}] && !from.poweredOff && !to.poweredOff
}

// Host is one incarnation of a process on a machine.
type Host struct {
	net *Network
	ip  string

	// Guarded by the network's lock.
	poweredOff bool // without power: the machine neither sends nor replies
	ended      bool // ended; unless the power is off, the machine replies with resets
	listeners  map[string]*listener
	conns      map[*conn]bool
}

// Start starts a new incarnation of a process at an IP address.
func (n *Network) Start(ip string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &Host{net: n, ip: ip, listeners: map[string]*listener{}, conns: map[*conn]bool{}}
	n.hosts[ip] = h
	return h
}

// Kill ends the process. Its connections are reset.
func (h *Host) Kill() { h.end(false) }

// PowerOff ends the process and its machine without notifying any peer.
func (h *Host) PowerOff() { h.end(true) }

func (h *Host) end(poweredOff bool) {
	h.net.mu.Lock()
	h.ended, h.poweredOff = true, poweredOff
	conns, listeners := h.conns, h.listeners
	h.conns, h.listeners = map[*conn]bool{}, map[string]*listener{}
	h.net.mu.Unlock()
	for _, l := range listeners {
		l.stopAccepting()
	}
	for c := range conns {
		c.fail(syscall.ECONNRESET)
		if !poweredOff {
			c.resetPeer()
		}
	}
}

// address returns addr as a net.Addr, or ip with port 0 if addr doesn't parse.
func address(ip, addr string) net.Addr {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		ap = netip.AddrPortFrom(netip.MustParseAddr(ip), 0)
	}
	return net.TCPAddrFromAddrPort(ap)
}

// Listen accepts connections at an address.
func (h *Host) Listen(addr string) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.ended {
		return nil, errors.Wrap(net.ErrClosed, "listen")
	}
	if h.listeners[addr] != nil {
		return nil, errors.Wrap(syscall.EADDRINUSE, "listen")
	}
	l := &listener{host: h, addr: addr, incoming: make(chan net.Conn, backlog), closed: make(chan struct{})}
	h.listeners[addr] = l
	return l, nil
}

// Dial connects to an address within the time limit connect. Sent bytes that stay undelivered for longer than userTimeout end
// the connection, if it isn't 0; see keepalive.Network.
func (h *Host) Dial(ctx context.Context, addr string, connect, userTimeout time.Duration) (net.Conn, error) {
	ip, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(ctx, connect)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil, errors.Wrapf(os.ErrDeadlineExceeded, "dial %s", addr)
		case <-time.After(2 * h.net.delay(h.ip, ip)):
		}
		c, err, answered := h.open(ip, addr, userTimeout)
		if answered {
			return c, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(resendInterval):
		}
	}
}

// open makes a connection. answered is false if the other machine doesn't reply at all.
func (h *Host) open(ip, addr string, userTimeout time.Duration) (near net.Conn, err error, answered bool) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.ended {
		return nil, net.ErrClosed, true
	}
	to := h.net.hosts[ip]
	if to == nil || to.poweredOff || h.net.partitioned[[2]string{h.ip, ip}] || h.net.partitioned[[2]string{ip, h.ip}] {
		return nil, nil, false
	}
	l := to.listeners[addr]
	if l == nil {
		return nil, syscall.ECONNREFUSED, true
	}
	a, b := pair(h, to, addr, userTimeout)
	select {
	case l.incoming <- b:
	default:
		return nil, nil, false // a full queue drops the opening packet
	}
	h.conns[a], to.conns[b] = true, true
	return a, nil, true
}

// listener queues the connections made to an address of a process.
type listener struct {
	host     *Host
	addr     string
	incoming chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) stopAccepting() { l.once.Do(func() { close(l.closed) }) }

func (l *listener) Close() error {
	l.host.net.mu.Lock()
	delete(l.host.listeners, l.addr)
	l.host.net.mu.Unlock()
	l.stopAccepting()
	for {
		select {
		case c := <-l.incoming:
			c.Close()
		default:
			return nil
		}
	}
}

func (l *listener) Addr() net.Addr { return address(l.host.ip, l.addr) }
