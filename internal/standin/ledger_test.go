package standin

import (
	"slices"
	"testing"
)

// Tests the checker itself: which overlaps it must report, and what it must not report.
func TestLedgerReportsOverlaps(t *testing.T) {
	for _, c := range []struct {
		name   string
		events func(l *Ledger)
		want   []string
	}{
		{"one after another", func(l *Ledger) { l.Begin("a", 1, "x"); l.End("a", 1); l.Begin("a", 2, "y") }, nil},
		{"after the connection's end", func(l *Ledger) { l.Begin("a", 1, "x"); l.ConnectionEnded(1); l.Begin("a", 2, "y") }, nil},
		{"two parts", func(l *Ledger) { l.Begin("a", 1, "x"); l.Begin("b", 1, "x") }, nil},
		{"word on another connection", func(l *Ledger) { l.Begin("a", 1, "x"); l.End("a", 2); l.Begin("a", 2, "y") },
			[]string{"a at y: 2 in flight"}},
		{"no word at all", func(l *Ledger) { l.Begin("a", 1, "x"); l.Begin("a", 2, "y") }, []string{"a at y: 2 in flight"}},
		{"twice on one connection", func(l *Ledger) { l.Begin("a", 1, "x"); l.Begin("a", 1, "x") }, []string{"a at x: 2 in flight"}},
		{"another connection's end", func(l *Ledger) { l.Begin("a", 1, "x"); l.ConnectionEnded(2); l.Begin("a", 3, "z") },
			[]string{"a at z: 2 in flight"}},
	} {
		l := NewLedger()
		c.events(l)
		if got, maxInFlight := l.Overlaps(); !slices.Equal(got, c.want) || maxInFlight != 1+len(c.want) {
			t.Errorf("%s: %v, at most %d in flight", c.name, got, maxInFlight)
		}
	}
}
