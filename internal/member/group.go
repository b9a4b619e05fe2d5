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

// Limits are the sizes and times of a group.
type Limits struct {
	Packet int           // bytes that go as one datagram; longer messages take a connection
	Queue  int           // messages waiting for one peer; beyond it the oldest go
	Send   time.Duration // for a peer to take a message on a connection
	Rejoin time.Duration // between tries to reach seeds, while nobody else is known
	Leave  time.Duration // for others to hear that this one leaves
	Probe  time.Duration // between signs of life asked of one peer
}

// Config is what a group is joined with.
type Config struct {
	Name  string
	Inc   uint64 // this start's incarnation, higher than the one before
	Bind  string // address and port, for datagrams and connections alike
	Seeds []string
	Keys  string // path of the key file
}

// Events are told from the group's own goroutines, and must not block.
type Events interface {
	View(others map[string]uint64) // name and incarnation of all that seem alive but this one
	Message(b []byte)              // b is the receiver's
}

// Group is this instance among the others.
type Group struct {
	cfg  Config
	lim  Limits
	ev   Events
	log  *zap.Logger
	list *memberlist.Memberlist
	ring *memberlist.Keyring

	mu     sync.Mutex
	peers  map[string]*peer
	closed chan struct{}
	all    sync.WaitGroup
	told   counts
}

type counts struct{ dropped, unsent, sent uint64 }

type peer struct {
	node  *memberlist.Node
	inc   uint64
	queue [][]byte
	wake  chan struct{}
	gone  chan struct{}
}

// Join begins to take part. That no seed can be reached is no error: it goes on trying.
func Join(cfg Config, lim Limits, ev Events, log *zap.Logger) (*Group, error) {
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
	g := &Group{cfg: cfg, lim: lim, ev: ev, log: log, peers: map[string]*peer{}, closed: make(chan struct{})}
	if g.ring, err = memberlist.NewKeyring(keys, keys[0]); err != nil {
		return nil, errors.New("members: keys that can't be used")
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort, c.AdvertisePort = cfg.Name, host, n, n
	c.AdvertiseAddr = host
	c.Keyring, c.GossipVerifyIncoming, c.GossipVerifyOutgoing = g.ring, true, true
	c.Delegate, c.Events = delegate{g}, delegate{g}
	c.Logger = zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.WarnLevel)))
	c.LogOutput = nil
	c.ProbeInterval, c.ProbeTimeout = lim.Probe, lim.Probe/2
	c.TCPTimeout, c.GossipInterval = lim.Send, lim.Probe/5
	c.UDPBufferSize = lim.Packet
	// A process that starts again under its name, maybe elsewhere, takes the place of the dead one at once.
	c.DeadNodeReclaimTime = lim.Probe
	if g.list, err = memberlist.Create(c); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	g.all.Go(g.join)
	return g, nil
}

// join looks for others: all seeds while nobody is known, then one at a time of those not there. Seeds may be dead, this
// one's own address, or all there will be. Against two sides that were cut off for so long that each holds the other for
// dead: with some known on either side, nobody would ask there again.
func (g *Group) join() {
	wait := time.NewTimer(0)
	defer wait.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-g.closed:
			return
		case <-wait.C:
		}
		seeds := g.missing()
		if g.list.NumMembers() > 1 && len(seeds) > 1 {
			seeds = seeds[turn%len(seeds):][:1]
		}
		if len(seeds) > 0 {
			n, err := g.list.Join(seeds)
			if err != nil {
				g.log.Debug("seeds not reached", zap.Int("reached", n), zap.Error(err))
			}
		}
		wait.Reset(g.lim.Rejoin)
	}
}

// missing are the seeds at whose addresses nobody is known to live.
func (g *Group) missing() []string {
	there := map[string]bool{}
	for _, n := range g.list.Members() {
		there[n.Address()] = true
	}
	var seeds []string
	for _, s := range g.cfg.Seeds {
		if !there[s] {
			seeds = append(seeds, s)
		}
	}
	return seeds
}

// Send hands a message over for one peer, or for all others where no name is given. It never waits: what a peer does
// not take in time is dropped, oldest first, as lost messages are what package duty is made for.
func (g *Group) Send(to string, b []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, p := range g.peers {
		if to != "" && name != to {
			continue
		}
		if len(p.queue) >= g.lim.Queue {
			p.queue = p.queue[1:]
			g.told.dropped++
		}
		p.queue = append(p.queue, b)
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// serve sends what waits for one peer. A slow one holds up only itself.
func (g *Group) serve(p *peer) {
	for {
		select {
		case <-p.gone:
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
			if len(b) <= g.lim.Packet/2 {
				err = g.list.SendBestEffort(node, b)
			} else {
				err = g.list.SendReliable(node, b)
			}
			g.mu.Lock()
			if g.told.sent++; err != nil {
				g.told.unsent++
			}
			g.mu.Unlock()
		}
	}
}

// Rotate reads the key file again. Keys that are new are understood from now on, the first seals, and those no longer
// there are forgotten. A file that can't be used changes nothing.
func (g *Group) Rotate() error {
	keys, err := ReadKeys(g.cfg.Keys)
	if err != nil {
		return err
	}
	for _, k := range keys {
		if err := g.ring.AddKey(k); err != nil {
			return errors.New("members: a key that can't be used")
		}
	}
	if err := g.ring.UseKey(keys[0]); err != nil {
		return errors.New("members: the first key can't be used")
	}
	for _, old := range g.ring.GetKeys() {
		if !contains(keys, old) {
			if err := g.ring.RemoveKey(old); err != nil {
				return errors.New("members: an old key can't be removed")
			}
		}
	}
	g.log.Info("keys read again", zap.Int("keys", len(keys)))
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

// Counts are messages given to peers, not taken by them, and dropped before.
func (g *Group) Counts() (sent, unsent, dropped uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.told.sent, g.told.unsent, g.told.dropped
}

// Leave says goodbye, after what is queued has gone out or its time is over, and ends the group.
func (g *Group) Leave() error {
	until := time.Now().Add(g.lim.Leave / 2)
	for g.waiting() && time.Now().Before(until) {
		time.Sleep(time.Millisecond) // no event says that all queues are empty, and only a leaving process waits
	}
	err := g.list.Leave(g.lim.Leave / 2)
	close(g.closed)
	err = errors.Join(err, g.list.Shutdown())
	g.all.Wait()
	return err
}

func (g *Group) waiting() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if len(p.queue) > 0 {
			return true
		}
	}
	return false
}

// delegate is the library's side of it.
type delegate struct{ g *Group }

func (d delegate) NodeMeta(int) []byte { return binary.LittleEndian.AppendUint64(nil, d.g.cfg.Inc) }

func (d delegate) NotifyMsg(b []byte) { d.g.ev.Message(bytes.Clone(b)) } // the buffer is the library's

func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d delegate) LocalState(bool) []byte          { return nil }
func (d delegate) MergeRemoteState([]byte, bool)   {}

func (d delegate) NotifyJoin(n *memberlist.Node)   { d.g.change(n, true) }
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.g.change(n, true) }
func (d delegate) NotifyLeave(n *memberlist.Node)  { d.g.change(n, false) }

// change follows what the library believes. One whose incarnation can't be read is not of this program.
func (g *Group) change(n *memberlist.Node, alive bool) {
	if n.Name == g.cfg.Name {
		return
	}
	g.mu.Lock()
	p := g.peers[n.Name]
	switch {
	case !alive || len(n.Meta) != 8:
		if p != nil {
			close(p.gone)
			delete(g.peers, n.Name)
		}
	default:
		if p == nil {
			p = &peer{wake: make(chan struct{}, 1), gone: make(chan struct{})}
			g.peers[n.Name] = p
			g.all.Go(func() { g.serve(p) })
		}
		at := *n // the library goes on writing to its own
		p.node, p.inc = &at, binary.LittleEndian.Uint64(n.Meta)
	}
	view := make(map[string]uint64, len(g.peers))
	for name, p := range g.peers {
		view[name] = p.inc
	}
	g.mu.Unlock()
	g.ev.View(view)
}
