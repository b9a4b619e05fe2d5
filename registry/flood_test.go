package registry

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// TestUnknownIDsPushNoTombstoneOut: a caller that says of ever new ids that they have left takes no place from those that had
// been there: a late beat of one of these must not bring it back. The code before kept the youngest, whoever they were.
func TestUnknownIDsPushNoTombstoneOut(t *testing.T) {
	h := controller("h")
	real := Searcher{ID: "real", Plant: "p", Address: "a", Calls: 1}
	h.Beat(at(0), real)
	must.True(t, h.Leave(at(1), real.ID).News)
	for i := range 3 * h.cfg.MaxGone {
		h.Leave(at(2), fmt.Sprint("unknown-", i))
	}
	h.Tick(at(3))
	must.LessEq(t, h.cfg.MaxGone, h.gone)
	real.Calls = 2
	must.True(t, h.Beat(at(4), real).Gone)
	must.NoError(t, h.Check())
}
