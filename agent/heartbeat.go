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

// heartbeatPortOffset is the UDP port on which mixers exchange heartbeats, relative to the first port of the range for
// traffic between the system's processes.
const heartbeatPortOffset = 4

// heartbeatInterval is the time between two heartbeats to one watcher.
const heartbeatInterval = 500 * time.Millisecond

// heartbeater sends and receives the heartbeats on which the failure detector decides.
type heartbeater struct {
	agent    *Agent
	conn     *net.UDPConn
	start    time.Time
	interval time.Duration

	mu         sync.Mutex
	detector   *failuredetector.Detector
	self       failuredetector.Node
	generation uint64
	nodes      []failuredetector.Node
	calls      uint64
}

// newHeartbeater opens the heartbeat socket. If that fails, it returns the error along with a heartbeater that sends
// nothing; controllers then know the mixer by its pulls alone.
func newHeartbeater(a *Agent, interval time.Duration) (*heartbeater, error) {
	h := &heartbeater{agent: a, start: time.Now(), interval: interval,
		self: failuredetector.Node{Incarnation: a.incarnation, Zone: a.settings.Zone, Region: a.settings.Region}}
	ip, err := netip.ParseAddr(a.settings.IP)
	if err == nil {
		h.self.Addr = netip.AddrPortFrom(ip, uint16(a.settings.PortFirst+heartbeatPortOffset))
		h.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(h.self.Addr))
	}
	if err != nil {
		err = errors.Wrapf(err, "listen for heartbeats at %s", h.self.Addr)
		h.self.Addr = netip.AddrPort{}
	}
	h.detector = failuredetector.New(failuredetector.Config{Self: h.self, Interval: interval}, h.start)
	return h, err
}

// run sends and receives heartbeats until ctx ends.
func (h *heartbeater) run(ctx context.Context) {
	if h.conn == nil {
		return
	}
	defer h.conn.Close()
	go h.receive()
	ticker := time.NewTicker(h.interval)
	defer ticker.Stop()
	var buf [failuredetector.MaxDatagram]byte
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		h.updateNodes()
		h.mu.Lock()
		sequence, targets := h.detector.Tick(time.Now())
		h.mu.Unlock()
		b := failuredetector.AppendHeartbeat(buf[:0], failuredetector.Key(h.agent.incarnation), sequence)
		for _, addr := range targets {
			h.conn.WriteToUDPAddrPort(b, addr) // a lost heartbeat does no harm
		}
	}
}

// receive reads heartbeats until the socket is closed.
func (h *heartbeater) receive() {
	var buf [failuredetector.MaxDatagram + 1]byte // one byte more than a heartbeat may have, to detect those that are too long
	for {
		n, from, err := h.conn.ReadFromUDPAddrPort(buf[:])
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // a closed port of a peer also shows up as a read error
			continue
		}
		if key, sequence, ok := failuredetector.ReadHeartbeat(buf[:n]); ok {
			h.mu.Lock()
			h.detector.ReceiveHeartbeat(time.Now(), key, sequence, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
			h.mu.Unlock()
		}
	}
}

// updateNodes passes the list of mixers to the failure detector if it has changed.
func (h *heartbeater) updateNodes() {
	var nodes []failuredetector.Node
	unchanged := false
	h.agent.replica.WithRegistry(func(r *registry.Registry) bool {
		generation := r.Generation()
		if unchanged = generation == h.generation; unchanged {
			return false
		}
		h.generation = generation
		for m := range distribution.Mixers(r) {
			nodes = append(nodes, failuredetector.Node{Incarnation: m.Incarnation, Addr: m.Addr, Zone: m.Zone,
				Region: h.agent.settings.Zones[m.Zone],
				Silent: m.Silent, Leaving: m.Leaving})
		}
		return false
	})
	// Most changes of the list concern searchers and leave the mixers as they were.
	if unchanged || slices.Equal(nodes, h.nodes) {
		return
	}
	h.nodes = nodes
	h.mu.Lock()
	h.detector.SetNodes(time.Now(), nodes)
	h.mu.Unlock()
}

// addToRequest adds to a pull request this mixer's own heartbeat and its reports on the mixers that it watches. Only the
// first request on a connection carries its zone and address.
func (h *heartbeater) addToRequest(request *distribution.PullRequest, first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The counter follows the clock, which leaves numbers for the heartbeats that a controller issues on behalf of this
	// mixer while it can't reach the controller.
	h.calls = max(h.calls+1, uint64(time.Since(h.start)/time.Microsecond))
	p := &distribution.AgentHeartbeat{Calls: h.calls, Leaving: h.agent.leaving.Load(), Missed: h.detector.Missed(),
		Seen: h.detector.Seen()}
	if first {
		p.Zone = h.agent.settings.Zone
		if h.self.Addr.IsValid() {
			p.Addr = h.self.Addr.String()
		}
	}
	request.Mixer = p
}
