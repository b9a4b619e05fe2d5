package distribution_test

import (
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/distribution"
	"peathollow/registry"
)

const chargeLifetime = 10 * time.Second

// TestCountMixers checks that mixers are counted by machine and not by incarnation, and that a silent one counts until
// chargeLifetime has passed. The machines' names hold a slash, which once made each incarnation count as a machine.
func TestCountMixers(t *testing.T) {
	t.Parallel()
	now := time.Unix(1e9, 0)
	r := registry.New(registry.Config{Name: "h", Period: time.Second, Start: now})
	calls := uint64(0)
	heartbeat := func(machine, incarnation int, leaving bool) {
		calls++
		m := distribution.Mixer{Incarnation: fmt.Sprintf("agent/hall/m%d/%d", machine, incarnation), Zone: "z", Calls: calls, Leaving: leaving,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(machine)}), 7084)}
		must.True(t, r.Heartbeat(now, m.Searcher()).Published)
		got, ok := distribution.GetMixer(r, m.Incarnation)
		must.True(t, ok)
		must.Eq(t, distribution.Mixer{Incarnation: m.Incarnation, Zone: "z", Addr: m.Addr, Calls: calls, Leaving: leaving, Source: "h"}, got)
	}
	count := func(want int) {
		t.Helper()
		must.Eq(t, want, distribution.CountMixers(r, chargeLifetime))
	}
	heartbeat(1, 1, false)
	count(0) // the list is not yet complete
	for range 8 {
		now = now.Add(250 * time.Millisecond)
		r.Tick(now)
	}
	heartbeat(2, 1, false)
	r.Heartbeat(now, registry.Searcher{ID: "i", Plant: "s", Address: "a", Calls: 1})
	count(2)
	heartbeat(1, 2, false) // after a restart the former incarnation is silent at once
	count(2)
	heartbeat(1, 3, false)
	count(3) // a third incarnation of a machine exceeds its share of the budgets
	heartbeat(2, 1, true)
	count(3) // a mixer that leaves keeps serving
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		r.Tick(now)
	}
	count(2) // all are silent, but only the incarnations replaced by restarts have been so for chargeLifetime
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		r.Tick(now)
	}
	count(0)
}

// TestUnknownMixerCountDoesNotEndLongPoll guards against a busy loop between an agent and a controller: the controller doesn't
// count mixers, and its 0 must not be an update for an agent that does, since each of its requests would be answered at once.
func TestUnknownMixerCountDoesNotEndLongPoll(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	received := make(chan distribution.AgentHeartbeat, 9)
	go (&distribution.Server{Replica: newBoard("h", false), OnRequest: func(req *distribution.PullRequest) { received <- *req.Mixer }}).Serve(ctx, ln)
	conn, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.SetDeadline(time.Now().Add(timeout)))
	encoder, decoder := gob.NewEncoder(conn), gob.NewDecoder(conn)
	for i, addr := range []string{"1.2.3.4:5", "", ""} {
		start := time.Now()
		must.NoError(t, encoder.Encode(distribution.PullRequest{Life: "l", Kind: "agent", Mixers: 7, Want: registry.PullQuery{Name: "l"}, Mixer: &distribution.AgentHeartbeat{Addr: addr}}))
		var resp distribution.PullResponse
		must.NoError(t, decoder.Decode(&resp))
		must.GreaterEq(t, 400*time.Millisecond, time.Since(start), must.Sprint(i))
		must.Eq(t, "1.2.3.4:5", (<-received).Addr, must.Sprint("the address is sent once for each connection"))
	}
}
