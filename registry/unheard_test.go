package registry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against two faults of a proxy's list: crashed searchers that stay in it for good, and a service that loses all of its
// searchers because no controller has heard any of them for long.
func TestUnheardSearchersAreKeptWhileThereIsNoOther(t *testing.T) {
	c := controller("c")
	p := New(Config{Name: "proxy", Relay: true, KeepUnheard: true, Period: time.Second, Start: epoch})
	var sequence uint64
	heartbeat := func(now float64, ids ...string) {
		sequence++
		for _, id := range ids {
			c.Heartbeat(at(now), Searcher{ID: id, Plant: "s", Address: "address of " + id, Calls: sequence})
		}
	}
	pull := func(now float64) {
		c.Tick(at(now))
		p.Merge(at(now), c.Since(p.PullQuery("c"), 100))
		p.Tick(at(now))
		must.NoError(t, p.Check())
	}
	heartbeat(0, "alive", "crashed")
	for now := 1.0; now < 70; now++ {
		heartbeat(now, "alive")
		pull(now)
	}
	must.Eq(t, 1, p.Len())
	for now := 70.0; now < 170; now++ {
		pull(now)
	}
	must.Eq(t, 0, c.Len())
	must.Eq(t, 1, p.Len())
	heartbeat(170, "replacement")
	pull(170)
	must.Eq(t, 1, p.Len())
	_, listed := p.Get("replacement")
	must.True(t, listed)
}
