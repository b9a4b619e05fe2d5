package registry

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// TestUnknownIDsPushNoTombstoneOut: a caller that reports ever new unknown ids as having left must not evict the tombstones
// of searchers that existed, or a late heartbeat of one of these would bring it back. This happened when the bound kept the
// youngest tombstones regardless of whether their ids had been known.
func TestUnknownIDsPushNoTombstoneOut(t *testing.T) {
	h := controller("h")
	real := Searcher{ID: "real", Plant: "p", Address: "a", Calls: 1}
	h.Heartbeat(at(0), real)
	must.True(t, h.Leave(at(1), real.ID).Published)
	for i := range 3 * h.cfg.MaxTombstones {
		h.Leave(at(2), fmt.Sprint("unknown-", i))
	}
	h.Tick(at(3))
	must.LessEq(t, h.cfg.MaxTombstones, h.tombstones)
	real.Calls = 2
	must.True(t, h.Heartbeat(at(4), real).Gone)
	must.NoError(t, h.Check())
}
