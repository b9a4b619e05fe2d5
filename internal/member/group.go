package member

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"
)

// Limits holds the size limits and timings of a group.
type Limits struct {
	MaxDatagram    int           // maximum size of a datagram; longer messages go over a connection
	MaxQueue       int           // maximum number of messages queued for one peer; beyond it the oldest are dropped
	SendTimeout    time.Duration // timeout for a peer to accept a message on a connection
	RejoinInterval time.Duration // interval between attempts to reach missing seeds
	LeaveTimeout   time.Duration // time limit for notifying the others that this instance leaves
	ProbeInterval  time.Duration // interval between probes of one peer
}

// Config describes how to join a group.
type Config struct {
	Name        string
	Incarnation uint64 // incarnation of this start, higher than the previous one
	Bind        string // address and port, for both datagrams and connections
	Seeds       []string
	Keys        string // path of the key file
}

// Events receives notifications from the group's own goroutines. Its methods must not block.
type Events interface {
	View(others map[string]uint64) // names and incarnations of all other instances that appear to be alive
	Message(b []byte)              // the receiver owns b
}

// Group is this instance's membership among the other instances.
type Group struct {
	cfg     Config
	limits  Limits
	events  Events
	log     *zap.Logger
	list    *memberlist.Memberlist
	keyring *memberlist.Keyring

	mu         sync.Mutex
	peers      map[string]*peer
	closed     chan struct{}
	leaving    bool // no further goroutines are started
	goroutines sync.WaitGroup
	counts     counts
}

// counts are the numbers of messages that were dropped from full queues, could not be delivered, and were sent.
type counts struct{ dropped, unsent, sent uint64 }

// peer is another instance and the queue of messages for it.
type peer struct {
	node        *memberlist.Node
	incarnation uint64
	queue       [][]byte
	wake        chan struct{}
	removed     chan struct{}
}

// Join joins the group. Unreachable seeds are not an error: the group keeps trying to reach them.
func Join(cfg Config, limits Limits, events Events, log *zap.Logger) (*Group, error) {
	host, port, err := net.SplitHostPort(cfg.Bind)
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return nil, fmt.Errorf("members: port %q", port)
	}
	keys, err := ReadKeys(cfg.Keys)
	if err != nil {
		return nil, err
	}
	g := &Group{cfg: cfg, limits: limits, events: events, log: log, peers: map[string]*peer{}, closed: make(chan struct{})}
	if g.keyring, err = memberlist.NewKeyring(keys, keys[0]); err != nil {
		return nil, errors.New("members: keys that can't be used")
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort, c.AdvertisePort = cfg.Name, host, n, n
	c.AdvertiseAddr = host
	c.Keyring, c.GossipVerifyIncoming, c.GossipVerifyOutgoing = g.keyring, true, true
	c.Delegate, c.Events = delegate{g}, delegate{g}
	c.Logger = zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.WarnLevel)))
	c.LogOutput = nil
	c.ProbeInterval, c.ProbeTimeout = limits.ProbeInterval, limits.ProbeInterval/2
	c.TCPTimeout, c.GossipInterval = limits.SendTimeout, limits.ProbeInterval/5
	c.UDPBufferSize = limits.MaxDatagram
	// A process that restarts under the same name, possibly at another address, replaces its dead predecessor at once.
	c.DeadNodeReclaimTime = limits.ProbeInterval
	if g.list, err = memberlist.Create(c); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	g.goroutines.Go(g.join)
	return g, nil
}

// join contacts seeds: all of them while no other instance is known, and after that one missing seed at a time. Seeds may be
// dead, this instance's own address, or all the instances that there will be. Missing seeds are contacted although others
// are known, since after a long network partition each side considers the other dead: with known instances on both sides,
// neither would contact the other again.
func (g *Group) join() {
	wait := time.NewTimer(0)
	defer wait.Stop()
	for round := 0; ; round++ {
		select {
		case <-g.closed:
			return
		case <-wait.C:
		}
		seeds := g.missing()
		if g.list.NumMembers() > 1 && len(seeds) > 1 {
			seeds = seeds[round%len(seeds):][:1]
		}
		if len(seeds) > 0 {
			n, err := g.list.Join(seeds)
			if err != nil {
				g.log.Debug("seeds not reached", zap.Int("reached", n), zap.Error(err))
			}
		}
		wait.Reset(g.limits.RejoinInterval)
	}
}

// missing returns the seeds at whose addresses no live instance is known.
func (g *Group) missing() []string {
	known := map[string]bool{}
	for _, n := range g.list.Members() {
		known[n.Address()] = true
	}
	var seeds []string
	for _, s := range g.cfg.Seeds {
		if !known[s] {
			seeds = append(seeds, s)
		}
	}
	return seeds
}

// Send queues a message for one peer, or for all peers if the name is empty. It never blocks: messages that a peer doesn't
// accept in time are dropped, oldest first, as package duty is designed for lost messages.
func (g *Group) Send(to string, b []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, p := range g.peers {
		if to != "" && name != to {
			continue
		}
		if len(p.queue) >= g.limits.MaxQueue {
			p.queue = p.queue[1:]
			g.counts.dropped++
		}
		p.queue = append(p.queue, b)
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// serve sends the messages queued for one peer. Each peer has its own goroutine, so that a slow one delays no other.
func (g *Group) serve(p *peer) {
	for {
		select {
		case <-p.removed:
			return
		case <-g.closed:
			return
		case <-p.wake:
		}
		for {
			g.mu.Lock()
			if len(p.queue) == 0 {
				g.mu.Unlock()
				break
			}
			b := p.queue[0]
			p.queue = p.queue[1:]
			node := p.node
			g.mu.Unlock()
			var err error
			if len(b) <= g.limits.MaxDatagram/2 {
				err = g.list.SendBestEffort(node, b)
			} else {
				err = g.list.SendReliable(node, b)
			}
			g.mu.Lock()
			if g.counts.sent++; err != nil {
				g.counts.unsent++
			}
			g.mu.Unlock()
		}
	}
}

// Rotate reads the key file again. New keys are accepted for decryption, the first key of the file encrypts from now on, and
// keys that are no longer in the file are removed. An invalid file changes nothing.
func (g *Group) Rotate() error {
	keys, err := ReadKeys(g.cfg.Keys)
	if err != nil {
		return err
	}
	for _, k := range keys {
		if err := g.keyring.AddKey(k); err != nil {
			return errors.New("members: a key that can't be used")
		}
	}
	if err := g.keyring.UseKey(keys[0]); err != nil {
		return errors.New("members: the first key can't be used")
	}
	for _, old := range g.keyring.GetKeys() {
		if !contains(keys, old) {
			if err := g.keyring.RemoveKey(old); err != nil {
				return errors.New("members: an old key can't be removed")
			}
		}
	}
	g.log.Info("keys reloaded", zap.Int("keys", len(keys)))
	return nil
}

func contains(keys [][]byte, k []byte) bool {
	for _, x := range keys {
		if bytes.Equal(x, k) {
			return true
		}
	}
	return false
}

// Counts returns the numbers of messages sent to peers, of those among them that failed, and of those dropped from full
// queues.
func (g *Group) Counts() (sent, unsent, dropped uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts.sent, g.counts.unsent, g.counts.dropped
}

// Leave waits for a limited time until queued messages are sent, notifies the others, and ends the group.
func (g *Group) Leave() error {
	deadline := time.Now().Add(g.limits.LeaveTimeout / 2)
	for g.hasQueued() && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond) // no event signals that all queues are empty, and only a leaving process waits
	}
	err := g.list.Leave(g.limits.LeaveTimeout / 2)
	g.stopServing()
	err = errors.Join(err, g.list.Shutdown())
	g.goroutines.Wait()
	return err
}

// stopServing ends the goroutines. The library may still report a change, which must start none while Leave waits for their end.
func (g *Group) stopServing() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	close(g.closed)
}

// hasQueued reports whether any message is queued.
func (g *Group) hasQueued() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if len(p.queue) > 0 {
			return true
		}
	}
	return false
}

// delegate implements the library's callback interfaces.
type delegate struct{ g *Group }

func (d delegate) NodeMeta(int) []byte {
	return binary.LittleEndian.AppendUint64(nil, d.g.cfg.Incarnation)
}

func (d delegate) NotifyMsg(b []byte) { d.g.events.Message(bytes.Clone(b)) } // the library reuses the buffer

func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d delegate) LocalState(bool) []byte          { return nil }
func (d delegate) MergeRemoteState([]byte, bool)   {}

func (d delegate) NotifyJoin(n *memberlist.Node)   { d.g.change(n, true) }
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.g.change(n, true) }
func (d delegate) NotifyLeave(n *memberlist.Node)  { d.g.change(n, false) }

// change applies a membership change that the library reports. A node without a readable incarnation doesn't belong to this
// program and is treated as absent.
func (g *Group) change(n *memberlist.Node, alive bool) {
	if n.Name == g.cfg.Name {
		return
	}
	g.mu.Lock()
	p := g.peers[n.Name]
	switch {
	case !alive || len(n.Meta) != 8:
		if p != nil {
			close(p.removed)
			delete(g.peers, n.Name)
		}
	case g.leaving && p == nil: // nothing would be sent to it any more
	default:
		if p == nil {
			p = &peer{wake: make(chan struct{}, 1), removed: make(chan struct{})}
			g.peers[n.Name] = p
			g.goroutines.Go(func() { g.serve(p) })
		}
		node := *n // the library keeps modifying its own copy
		p.node, p.incarnation = &node, binary.LittleEndian.Uint64(n.Meta)
	}
	view := make(map[string]uint64, len(g.peers))
	for name, p := range g.peers {
		view[name] = p.incarnation
	}
	g.mu.Unlock()
	g.events.View(view)
}
