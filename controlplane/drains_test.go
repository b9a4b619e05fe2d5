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

// stopped returns a controller that does not run and is the first of the given number of members.
func stopped(t *testing.T, members int) *Controller {
	t.Helper()
	s := &settings.Settings{Node: "core-0", IP: "10.0.0.1", Zone: "z", Region: "r", PortFirst: 7080, PortLast: 7095, DataDir: t.TempDir(),
		Seeds: []string{"10.0.0.1:8047"}, ColdStart: true, CountsLoss: true, BeatPeriod: time.Second}
	c, err := New(s, "controller/core-0/0", &log.Logger{Level: log.PanicLevel})
	must.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	e := consensus.Epoch{N: 7}
	for i := range members {
		m := consensus.Member{ID: consensus.ID(fmt.Sprint("member-", i)), Addr: fmt.Sprintf("10.0.0.%d:7080", i+1)}
		if i == 0 {
			m.ID = c.driver.node.ID()
		}
		e.Members = append(e.Members, m)
	}
	e.Prev = e.Members
	c.driver.epoch = e
	return c
}

// A drain is acknowledged once a majority of the members has persisted it. A controller that is no member does not count,
// nor does one that only received the update. Earlier code counted every controller that pulled, against half of the list of
// controllers.
func TestDrainKnownToMembers(t *testing.T) {
	c := stopped(t, 5)
	updates := registry.Vector{"controller/core-0/0": 4}
	must.False(t, c.persistedByQuorum(updates))
	c.replica.SetPersisted(updates)
	for _, ip := range []string{"10.0.0.8", "10.0.0.9", "10.0.0.10"} { // members of a former epoch
		c.recordPersisted(c.distributionAddr(ip), updates)
	}
	c.recordPersisted(c.distributionAddr("10.0.0.2"), registry.Vector{"controller/core-0/0": 3})
	must.False(t, c.persistedByQuorum(updates))
	c.recordPersisted(c.distributionAddr("10.0.0.3"), updates)
	must.False(t, c.persistedByQuorum(updates))
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	known := make(chan bool, 1)
	go func() { known <- c.awaitPersisted(ctx, updates) }()
	c.recordPersisted(c.distributionAddr("10.0.0.2"), updates)
	must.True(t, <-known)

	// During a change of members, majorities of both sets must have persisted it.
	for i := range c.driver.epoch.Members {
		c.driver.epoch.Prev = append(c.driver.epoch.Prev[:i:i], consensus.Member{ID: "former", Addr: fmt.Sprintf("10.0.1.%d:7080", i)})
	}
	must.False(t, c.persistedByQuorum(updates))
}

// A machine that has a member's address but not its disk does not count.
func TestDrainNeedsTheMembersDisk(t *testing.T) {
	c := stopped(t, 3)
	updates := registry.Vector{"s": 1}
	c.replica.SetPersisted(updates)
	c.recordPersisted(c.distributionAddr("10.0.0.2"), updates)
	must.True(t, c.persistedByQuorum(updates))
	c.driver.epoch.Members[0].ID = "the disk that was here before"
	must.False(t, c.persistedByQuorum(updates))
}

// A long list is written in several parts, and the searcher that leaves may be in the first one. Its waiters are notified
// after the last part. An earlier version notified them only if the last part held such a searcher.
func TestDrainInALongList(t *testing.T) {
	c := stopped(t, 1)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	c.running.Go(func() { c.driver.writeLoop(ctx) })
	var updates registry.Vector
	c.replica.WithRegistry(func(r *registry.Registry) bool {
		for i := range 3*maxEntriesPerWrite + 1 {
			s := registry.Searcher{ID: fmt.Sprint("s", i), Plant: "p", Address: fmt.Sprint("10.8.0.1:", i+1), Calls: 1}
			if i == 0 {
				s.State = registry.Draining
			}
			if b := r.Heartbeat(time.Now(), s); i == 0 {
				updates = b.Vector()
			}
		}
		return true
	})
	m := persistState{query: registry.PullQuery{Name: "disk"}}
	for range 4 {
		must.False(t, c.persistedByQuorum(updates))
		must.True(t, c.persist(ctx, &m))
	}
	must.True(t, c.persistedByQuorum(updates))
}

// Machines come and go, each at a new address, and a new one must always get an outbox. Earlier code kept the first 64
// addresses.
func TestMailReachesNewcomers(t *testing.T) {
	m := newTransport(t.Context(), keepalive.TCP{})
	now := time.Now()
	for i := range 3 * maxPeers {
		box := m.outbox(fmt.Sprintf("127.0.0.1:%d", i+1))
		if box == nil {
			must.Eq(t, maxPeers, len(m.outboxes))
			for _, b := range m.outboxes { // the outboxes become idle
				b.lastUsed = b.lastUsed.Add(-2 * outboxIdleTimeout)
			}
			box = m.outbox(fmt.Sprintf("127.0.0.1:%d", i+1))
		}
		must.NotNil(t, box)
		must.LessEq(t, maxPeers, len(m.outboxes))
	}
	must.Less(t, time.Minute, time.Since(now))
}
