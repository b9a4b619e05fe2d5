package distribution

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/registry"
)

// An entry that only an agent still holds, because its source controller died, returns to a controller by the comparison of
// digests. Pulls transfer entries from server to client only, so that the controller would never see it.
func TestRepairReturnsEntriesToServer(t *testing.T) {
	now := time.Now()
	server := NewReplica(registry.New(registry.Config{Name: "above", Start: now}))
	client := NewReplica(registry.New(registry.Config{Name: "below", Relay: true, Start: now}))
	server.WithRegistry(func(r *registry.Registry) bool {
		return r.Heartbeat(now, registry.Searcher{ID: "known", Plant: "p", Address: "a:1", Calls: 1}).Published
	})
	left := registry.Entry{Searcher: registry.Searcher{ID: "left", Plant: "p", Address: "a:2", Calls: 3, State: registry.Draining}, Source: "dead", No: 7}
	client.WithRegistry(func(r *registry.Registry) bool { return r.Merge(now, registry.Delta{Entries: []registry.Entry{left}}) })

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go (&Server{Replica: server}).Serve(ctx, ln)
	go (&Puller{Replica: client, Choose: func(int) string { return ln.Addr().String() }}).Run(ctx)

	timeout := time.After(20 * time.Second)
	for len(server.Entries()) < 2 || len(client.Entries()) < 2 {
		serverChanged, clientChanged := server.Changed(), client.Changed()
		if len(server.Entries()) == 2 && len(client.Entries()) == 2 {
			break
		}
		select {
		case <-serverChanged:
		case <-clientChanged:
		case <-timeout:
			t.Fatalf("the server holds %d of 2 entries, the client %d", len(server.Entries()), len(client.Entries()))
		}
	}
	must.Eq(t, registry.Draining, server.Entries()[1].State)
}
