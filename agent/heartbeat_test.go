package agent

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"peathollow/distribution"
	"peathollow/failuredetector"
	"peathollow/internal/settings"
	"peathollow/registry"
)

// TestHeartbeatsOverUDP checks that a mixer sends heartbeats to the other mixer of the list, reports it as missed, and
// hears it again, but only from that mixer's own address, and that datagrams which aren't heartbeats have no effect.
func TestHeartbeatsOverUDP(t *testing.T) {
	t.Parallel()
	// Loopback addresses that only this process uses, and a port below the kernel's ephemeral range.
	at := func(n int) netip.AddrPort {
		return netip.MustParseAddrPort(fmt.Sprintf("127.%d.%d.%d:%d", 64+os.Getpid()%150, 100+os.Getpid()/150%100, n,
			10_004+os.Getpid()%20_000))
	}
	open := func(n int) *net.UDPConn {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at(n)))
		must.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	eventually := func(holds func() bool) {
		t.Helper()
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(holds), wait.Timeout(20*time.Second), wait.Gap(2*time.Millisecond)))
	}
	self := &Agent{incarnation: "agent/a/1", settings: &settings.Settings{Node: "a", IP: at(1).Addr().String(), Zone: "z",
		PortFirst: int(at(1).Port()) - heartbeatPortOffset},
		replica: distribution.NewReplica(registry.New(registry.Config{Name: "h", Start: time.Now()}))}
	other, stranger := open(2), open(3)
	self.replica.WithRegistry(func(r *registry.Registry) bool {
		for n, incarnation := range []string{self.incarnation, "agent/b/2"} {
			m := distribution.Mixer{Incarnation: incarnation, Zone: "z", Addr: at(n + 1), Calls: 1}
			r.Heartbeat(time.Now(), m.Searcher())
		}
		return true
	})
	h, err := newHeartbeater(self, 50*time.Millisecond)
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { h.run(ctx) })
	t.Cleanup(func() { stop(); all.Wait() })

	last := uint64(0)
	for range 3 {
		var b [64]byte
		must.NoError(t, other.SetReadDeadline(time.Now().Add(20*time.Second)))
		n, from, err := other.ReadFromUDPAddrPort(b[:])
		must.NoError(t, err)
		key, sequence, ok := failuredetector.ReadHeartbeat(b[:n])
		must.True(t, ok && key == failuredetector.Key(self.incarnation) && sequence > last && netip.AddrPortFrom(from.Addr().Unmap(),
			from.Port()) == at(1))
		last = sequence
	}

	missed := func() []string {
		a, b := distribution.PullRequest{}, distribution.PullRequest{}
		h.addToRequest(&a, true)
		h.addToRequest(&b, false)
		must.True(t, a.Mixer.Addr == at(1).String() && a.Mixer.Zone == "z" && b.Mixer.Addr == "" && b.Mixer.Calls > a.Mixer.Calls)
		return b.Mixer.Missed
	}
	eventually(func() bool { return len(missed()) == 1 })
	key := failuredetector.Key("agent/b/2")
	for _, junk := range [][]byte{{}, []byte("hello"), make([]byte, 1400), failuredetector.AppendHeartbeat(nil, key+1, 1),
		failuredetector.AppendHeartbeat(nil, key, 1000)} {
		_, err := stranger.WriteToUDPAddrPort(junk, at(1))
		must.NoError(t, err)
	}
	sequence := uint64(0)
	eventually(func() bool {
		sequence++
		_, err := other.WriteToUDPAddrPort(failuredetector.AppendHeartbeat(nil, key, sequence), at(1))
		must.NoError(t, err)
		return len(missed()) == 0
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	must.True(t, h.detector.ReceiveHeartbeat(time.Now(), key, 999, at(2)),
		must.Sprint("the sequence number of an unknown sender was accepted"))
	must.NoError(t, h.detector.Check())
}
