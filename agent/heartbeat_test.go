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

// TestHeartbeatsOverUDP: a mixer beats to the other of the list, misses it, and hears it again, but only from its own
// address; what is no heartbeat does nothing.
func TestHeartbeatsOverUDP(t *testing.T) {
	t.Parallel()
	// Addresses of this process's own, and a port that the kernel gives nobody by itself.
	at := func(n int) netip.AddrPort {
		return netip.MustParseAddrPort(fmt.Sprintf("127.%d.%d.%d:%d", 64+os.Getpid()%150, 100+os.Getpid()/150%100, n, 10_004+os.Getpid()%20_000))
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
	me := &Agent{life: "agent/a/1", set: &settings.Settings{Node: "a", IP: at(1).Addr().String(), Zone: "z", PortFirst: int(at(1).Port()) - portHeartbeat},
		board: distribution.NewReplica(registry.New(registry.Config{Name: "h", Start: time.Now()}))}
	other, stranger := open(2), open(3)
	me.board.WithRegistry(func(r *registry.Registry) bool {
		for n, life := range []string{me.life, "agent/b/2"} {
			m := distribution.Mixer{Incarnation: life, Zone: "z", Addr: at(n + 1), Calls: 1}
			r.Heartbeat(time.Now(), m.Searcher())
		}
		return true
	})
	h, err := newHeart(me, 50*time.Millisecond)
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
		key, no, ok := failuredetector.ReadHeartbeat(b[:n])
		must.True(t, ok && key == failuredetector.Key(me.life) && no > last && netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) == at(1))
		last = no
	}

	missed := func() []string {
		a, b := distribution.PullRequest{}, distribution.PullRequest{}
		h.say(&a, true)
		h.say(&b, false)
		must.True(t, a.Mixer.Addr == at(1).String() && a.Mixer.Zone == "z" && b.Mixer.Addr == "" && b.Mixer.Calls > a.Mixer.Calls)
		return b.Mixer.Missed
	}
	eventually(func() bool { return len(missed()) == 1 })
	key := failuredetector.Key("agent/b/2")
	for _, junk := range [][]byte{{}, []byte("hello"), make([]byte, 1400), failuredetector.AppendHeartbeat(nil, key+1, 1), failuredetector.AppendHeartbeat(nil, key, 1000)} {
		_, err := stranger.WriteToUDPAddrPort(junk, at(1))
		must.NoError(t, err)
	}
	no := uint64(0)
	eventually(func() bool {
		no++
		_, err := other.WriteToUDPAddrPort(failuredetector.AppendHeartbeat(nil, key, no), at(1))
		must.NoError(t, err)
		return len(missed()) == 0
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	must.True(t, h.look.ReceiveHeartbeat(time.Now(), key, 999, at(2)), must.Sprint("the stranger's number was taken"))
	must.NoError(t, h.look.Check())
}
