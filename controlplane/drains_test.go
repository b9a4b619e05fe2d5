package controlplane

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"peathollow/consensus"
	"peathollow/internal/keepalive"
	"peathollow/internal/settings"
	"peathollow/registry"
)

// stopped is a controller that doesn't run, of the first of some members.
func stopped(t *testing.T, members int) *Controller {
	t.Helper()
	s := &settings.Settings{Node: "core-0", IP: "10.0.0.1", Zone: "z", Region: "r", PortFirst: 7080, PortLast: 7095, DataDir: t.TempDir(),
		Seeds: []string{"10.0.0.1:8047"}, ColdStart: true, CountsLoss: true, BeatPeriod: time.Second}
	h, err := New(s, "controller/core-0/0", &log.Logger{Level: log.PanicLevel})
	must.NoError(t, err)
	t.Cleanup(func() { h.Close() })
	e := consensus.Epoch{N: 7}
	for i := range members {
		m := consensus.Member{ID: consensus.ID(fmt.Sprint("member-", i)), Addr: fmt.Sprintf("10.0.0.%d:7080", i+1)}
		if i == 0 {
			m.ID = h.core.node.ID()
		}
		e.Members = append(e.Members, m)
	}
	e.Prev = e.Members
	h.core.epoch = e
	return h
}

// A drain is known once a majority of the members holds it on disk; who is no member doesn't count, nor does who only
// heard of it. The code before counted every controller that pulled here, against half of the list of the core.
func TestDrainKnownToMembers(t *testing.T) {
	h := stopped(t, 5)
	news := registry.Vector{"controller/core-0/0": 4}
	must.False(t, h.onDisks(news))
	h.board.SetPersisted(news)
	for _, ip := range []string{"10.0.0.8", "10.0.0.9", "10.0.0.10"} { // members of an epoch that is over
		h.keeps(h.newsAddr(ip), news)
	}
	h.keeps(h.newsAddr("10.0.0.2"), registry.Vector{"controller/core-0/0": 3})
	must.False(t, h.onDisks(news))
	h.keeps(h.newsAddr("10.0.0.3"), news)
	must.False(t, h.onDisks(news))
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	known := make(chan bool, 1)
	go func() { known <- h.known(ctx, news) }()
	h.keeps(h.newsAddr("10.0.0.2"), news)
	must.True(t, <-known)

	// While members change, majorities of both sets hold it.
	for i := range h.core.epoch.Members {
		h.core.epoch.Prev = append(h.core.epoch.Prev[:i:i], consensus.Member{ID: "former", Addr: fmt.Sprintf("10.0.1.%d:7080", i)})
	}
	must.False(t, h.onDisks(news))
}

// A machine that holds the address of a member but not its disk counts for nothing.
func TestDrainNeedsTheMembersDisk(t *testing.T) {
	h := stopped(t, 3)
	news := registry.Vector{"s": 1}
	h.board.SetPersisted(news)
	h.keeps(h.newsAddr("10.0.0.2"), news)
	must.True(t, h.onDisks(news))
	h.core.epoch.Members[0].ID = "the disk that was here before"
	must.False(t, h.onDisks(news))
}

// A long list is written in parts, and the one that leaves may be in the first: what waits for it is told after the last.
// A first form of this told it only where the last part had one.
func TestDrainInALongList(t *testing.T) {
	h := stopped(t, 1)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	h.running.Go(func() { h.core.write(ctx) })
	var news registry.Vector
	h.board.WithRegistry(func(r *registry.Registry) bool {
		for i := range 3*entriesMost + 1 {
			s := registry.Searcher{ID: fmt.Sprint("s", i), Plant: "p", Address: fmt.Sprint("10.8.0.1:", i+1), Calls: 1}
			if i == 0 {
				s.State = registry.Draining
			}
			if b := r.Heartbeat(time.Now(), s); i == 0 {
				news = b.Vector()
			}
		}
		return true
	})
	m := memory{want: registry.PullQuery{Name: "disk"}}
	for range 4 {
		must.False(t, h.onDisks(news))
		must.True(t, h.keep(ctx, &m))
	}
	must.True(t, h.onDisks(news))
}

// Machines come and go, each at a new address: there is always a way to a newcomer. The code before kept the first 64.
func TestMailReachesNewcomers(t *testing.T) {
	m := newMail(t.Context(), keepalive.TCP{})
	now := time.Now()
	for i := range 3 * peersMost {
		box := m.box(fmt.Sprintf("127.0.0.1:%d", i+1))
		if box == nil {
			must.Eq(t, peersMost, len(m.boxes))
			for _, b := range m.boxes { // time passes
				b.used = b.used.Add(-2 * idleMost)
			}
			box = m.box(fmt.Sprintf("127.0.0.1:%d", i+1))
		}
		must.NotNil(t, box)
		must.LessEq(t, peersMost, len(m.boxes))
	}
	must.Less(t, time.Minute, time.Since(now))
}
