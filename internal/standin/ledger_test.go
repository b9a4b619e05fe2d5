package standin

import (
	"slices"
	"testing"
)

// The checker itself: what it must tell, and what it must not.
func TestLedgerTellsSecondCopies(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(l *Ledger)
		want []string
	}{
		{"one after another", func(l *Ledger) { l.Begin("a", 1, "x"); l.End("a", 1); l.Begin("a", 2, "y") }, nil},
		{"after the connection's end", func(l *Ledger) { l.Begin("a", 1, "x"); l.Gone(1); l.Begin("a", 2, "y") }, nil},
		{"two parts", func(l *Ledger) { l.Begin("a", 1, "x"); l.Begin("b", 1, "x") }, nil},
		{"word on another connection", func(l *Ledger) { l.Begin("a", 1, "x"); l.End("a", 2); l.Begin("a", 2, "y") },
			[]string{"a at y: 2 out"}},
		{"no word at all", func(l *Ledger) { l.Begin("a", 1, "x"); l.Begin("a", 2, "y") }, []string{"a at y: 2 out"}},
		{"twice on one connection", func(l *Ledger) { l.Begin("a", 1, "x"); l.Begin("a", 1, "x") }, []string{"a at x: 2 out"}},
		{"another connection's end", func(l *Ledger) { l.Begin("a", 1, "x"); l.Gone(2); l.Begin("a", 3, "z") },
			[]string{"a at z: 2 out"}},
	} {
		l := NewLedger()
		c.play(l)
		if got, most := l.Copies(); !slices.Equal(got, c.want) || most != 1+len(c.want) {
			t.Errorf("%s: %v, %d at most", c.name, got, most)
		}
	}
}
