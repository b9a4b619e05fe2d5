package agent

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"peathollow/distribution"
	"peathollow/failuredetector"
	"peathollow/registry"
)

// portHeartbeat is where mixers tell each other that they live, over UDP, within the range between the system's
// processes.
const portHeartbeat = 4

// heartbeatEvery is the time between two heartbeats to one watcher.
const heartbeatEvery = 500 * time.Millisecond

// heart moves the heartbeats that failuredetector decides on.
type heart struct {
	agent *Agent
	conn  *net.UDPConn
	start time.Time
	every time.Duration

	mu    sync.Mutex
	look  *failuredetector.Detector
	me    failuredetector.Node
	gen   uint64
	nodes []failuredetector.Node
	calls uint64
}

// newHeart listens; without a socket it beats not, and the mixer is known by its pulls alone.
func newHeart(a *Agent, every time.Duration) (*heart, error) {
	h := &heart{agent: a, start: time.Now(), every: every, me: failuredetector.Node{Incarnation: a.life, Zone: a.set.Zone, Region: a.set.Region}}
	ip, err := netip.ParseAddr(a.set.IP)
	if err == nil {
		h.me.Addr = netip.AddrPortFrom(ip, uint16(a.set.PortFirst+portHeartbeat))
		h.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(h.me.Addr))
	}
	if err != nil {
		err = errors.Wrapf(err, "listen, heartbeats at %s", h.me.Addr)
		h.me.Addr = netip.AddrPort{}
	}
	h.look = failuredetector.New(failuredetector.Config{Self: h.me, Interval: every}, h.start)
	return h, err
}

// run beats until ctx ends.
func (h *heart) run(ctx context.Context) {
	if h.conn == nil {
		return
	}
	defer h.conn.Close()
	go h.listen()
	k := time.NewTicker(h.every)
	defer k.Stop()
	var buf [failuredetector.MaxDatagram]byte
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.C:
		}
		h.know()
		h.mu.Lock()
		no, to := h.look.Tick(time.Now())
		h.mu.Unlock()
		b := failuredetector.AppendHeartbeat(buf[:0], failuredetector.Key(h.agent.life), no)
		for _, addr := range to {
			h.conn.WriteToUDPAddrPort(b, addr) // lost ones don't matter
		}
	}
}

// listen takes heartbeats until the socket is closed.
func (h *heart) listen() {
	var buf [failuredetector.MaxDatagram + 1]byte // one more than any heartbeat has shows those that are too long
	for {
		n, from, err := h.conn.ReadFromUDPAddrPort(buf[:])
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // a peer's port that is closed shows here, too
			continue
		}
		if key, no, ok := failuredetector.ReadHeartbeat(buf[:n]); ok {
			h.mu.Lock()
			h.look.ReceiveHeartbeat(time.Now(), key, no, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
			h.mu.Unlock()
		}
	}
}

// know hands over the list of mixers when it has changed.
func (h *heart) know() {
	var nodes []failuredetector.Node
	same := false
	h.agent.board.WithRegistry(func(r *registry.Registry) bool {
		gen := r.Generation()
		if same = gen == h.gen; same {
			return false
		}
		h.gen = gen
		for m := range distribution.Mixers(r) {
			nodes = append(nodes, failuredetector.Node{Incarnation: m.Incarnation, Addr: m.Addr, Zone: m.Zone, Region: h.agent.set.Zones[m.Zone],
				Silent: m.Silent, Leaving: m.Leaving})
		}
		return false
	})
	// Most changes of the list are of searchers.
	if same || slices.Equal(nodes, h.nodes) {
		return
	}
	h.nodes = nodes
	h.mu.Lock()
	h.look.SetNodes(time.Now(), nodes)
	h.mu.Unlock()
}

// say adds to an ask what a mixer tells of itself and of those that it watches.
func (h *heart) say(a *distribution.PullRequest, first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// By time, so that there is room for the beats that a controller gives in our name while we are out of its reach.
	h.calls = max(h.calls+1, uint64(time.Since(h.start)/time.Microsecond))
	p := &distribution.AgentHeartbeat{Calls: h.calls, Leaving: h.agent.leaving.Load(), Missed: h.look.Missed(), Seen: h.look.Seen()}
	if first {
		p.Zone = h.agent.set.Zone
		if h.me.Addr.IsValid() {
			p.Addr = h.me.Addr.String()
		}
	}
	a.Mixer = p
}
