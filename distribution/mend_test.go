package distribution

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/registry"
)

// What only an agent still holds flows back up to a controller: by pulls alone it never would.
func TestDigestsMendWhatPullsCannotBring(t *testing.T) {
	now := time.Now()
	above := NewBoard(registry.New(registry.Config{Name: "above", Start: now}))
	below := NewBoard(registry.New(registry.Config{Name: "below", Relay: true, Start: now}))
	above.With(func(r *registry.Registry) bool {
		return r.Heartbeat(now, registry.Searcher{ID: "known", Plant: "p", Address: "a:1", Calls: 1}).Published
	})
	left := registry.Entry{Searcher: registry.Searcher{ID: "left", Plant: "p", Address: "a:2", Calls: 3, State: registry.Draining}, Source: "dead", No: 7}
	below.With(func(r *registry.Registry) bool { return r.Merge(now, registry.Delta{Entries: []registry.Entry{left}}) })

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
	must.Eq(t, registry.Draining, above.Entries()[1].State)
}
