package ferry

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/roster"
)

// What only a tender still holds flows back up to a harbour: by pulls alone it never would.
func TestDigestsMendWhatPullsCannotBring(t *testing.T) {
	now := time.Now()
	above := NewBoard(roster.New(roster.Config{Name: "above", Start: now}))
	below := NewBoard(roster.New(roster.Config{Name: "below", Relay: true, Start: now}))
	above.With(func(r *roster.Roster) bool {
		return r.Beat(now, roster.Searcher{ID: "known", Plant: "p", Address: "a:1", Calls: 1}).News
	})
	left := roster.Entry{Searcher: roster.Searcher{ID: "left", Plant: "p", Address: "a:2", Calls: 3, State: roster.Draining}, Source: "dead", No: 7}
	below.With(func(r *roster.Roster) bool { return r.Merge(now, roster.Delta{Entries: []roster.Entry{left}}) })

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go (&Server{Board: above}).Serve(ctx, ln)
	go (&Puller{Board: below, Choose: func(int) string { return ln.Addr().String() }}).Run(ctx)

	late := time.After(20 * time.Second)
	for len(above.Entries()) < 2 || len(below.Entries()) < 2 {
		a, b := above.Changed(), below.Changed()
		if len(above.Entries()) == 2 && len(below.Entries()) == 2 {
			break
		}
		select {
		case <-a:
		case <-b:
		case <-late:
			t.Fatalf("above holds %d, below %d of 2", len(above.Entries()), len(below.Entries()))
		}
	}
	must.Eq(t, roster.Draining, above.Entries()[1].State)
}
