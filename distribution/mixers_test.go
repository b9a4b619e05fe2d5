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

const window = 10 * time.Second

// TestCountMixers: machines count, not lives, and what is silent counts until the window has passed.
func TestCountMixers(t *testing.T) {
	t.Parallel()
	now := time.Unix(1e9, 0)
	r := registry.New(registry.Config{Name: "h", Period: time.Second, Start: now})
	calls := uint64(0)
	beat := func(machine, life int, leaving bool) {
		calls++
		m := distribution.Mixer{Life: fmt.Sprintf("agent/m%d/%d", machine, life), Zone: "z", Calls: calls, Leaving: leaving,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(machine)}), 7084)}
		must.True(t, r.Heartbeat(now, m.Searcher()).Published)
		got, ok := distribution.GetMixer(r, m.Life)
		must.True(t, ok)
		must.Eq(t, distribution.Mixer{Life: m.Life, Zone: "z", Addr: m.Addr, Calls: calls, Leaving: leaving, Source: "h"}, got)
	}
	count := func(want int) {
		t.Helper()
		must.Eq(t, want, distribution.CountMixers(r, window))
	}
	beat(1, 1, false)
	count(0) // not yet the whole
	for range 8 {
		now = now.Add(250 * time.Millisecond)
		r.Tick(now)
	}
	beat(2, 1, false)
	r.Heartbeat(now, registry.Searcher{ID: "i", Plant: "s", Address: "a", Calls: 1})
	count(2)
	beat(1, 2, false) // a restart: the life before is silent at once
	count(2)
	beat(1, 3, false)
	count(3) // more than two lives of a machine spend more than its part
	beat(2, 1, true)
	count(3) // one that leaves serves on
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		r.Tick(now)
	}
	count(2) // all are silent, but only what is two lives back is past the window
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		r.Tick(now)
	}
	count(0)
}

// TestWhoDoesNotCountIsNotAskedOn: a controller counts no mixers; an agent that does must not be answered at once for that.
func TestWhoDoesNotCountIsNotAskedOn(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	met := make(chan distribution.Pulse, 9)
	go (&distribution.Server{Board: newBoard("h", false), Met: func(a *distribution.Ask) { met <- *a.Mixer }}).Serve(ctx, ln)
	c, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	out, in := gob.NewEncoder(c), gob.NewDecoder(c)
	for i, addr := range []string{"1.2.3.4:5", "", ""} {
		began := time.Now()
		must.NoError(t, out.Encode(distribution.Ask{Life: "l", Kind: "agent", Mixers: 7, Want: registry.PullQuery{Name: "l"}, Mixer: &distribution.Pulse{Addr: addr}}))
		var cargo distribution.Cargo
		must.NoError(t, in.Decode(&cargo))
		must.GreaterEq(t, 400*time.Millisecond, time.Since(began), must.Sprint(i))
		must.Eq(t, "1.2.3.4:5", (<-met).Addr, must.Sprint("it is told once for a link"))
	}
}
