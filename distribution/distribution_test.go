package distribution_test

import (
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"peathollow/distribution"
	"peathollow/manifest"
	"peathollow/registry"
)

const timeout = 20 * time.Second

func config(t *testing.T, version int) *manifest.Manifest {
	t.Helper()
	m, err := manifest.Parse(fmt.Appendf(nil, `{"config-version":%d,"routes":[{"name":"r%d","host":"h","path-prefix":"/%s/","mode":"idempotent","horizon-ms":900,"plant":"s"}],"plants":[{"name":"s"}]}`,
		version, version, strings.Repeat("same ", 100)))
	must.NoError(t, err)
	return m
}

// testServer serves a replica whose registry receives heartbeats of searchers.
type testServer struct {
	*distribution.Replica
	addr     string
	ln       net.Listener
	stop     context.CancelFunc
	done     chan error
	requests chan distribution.PullRequest
}

func newBoard(name string, relay bool) *distribution.Replica {
	return distribution.NewReplica(registry.New(registry.Config{Name: name, Relay: relay, Period: time.Second, Start: time.Now()}))
}

// serve starts a server for a replica, at a free port if addr is empty.
func serve(t *testing.T, replica *distribution.Replica, addr string) *testServer {
	t.Helper()
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	s := &testServer{Replica: replica, addr: ln.Addr().String(), ln: ln, stop: stop, done: make(chan error, 1), requests: make(chan distribution.PullRequest, 10_000)}
	server := distribution.Server{Replica: replica, OnRequest: func(req *distribution.PullRequest) { s.requests <- *req }}
	go func() { s.done <- server.Serve(ctx, ln) }()
	t.Cleanup(func() { s.shutdown(t) })
	return s
}

func (s *testServer) shutdown(t *testing.T) {
	s.stop()
	select {
	case err := <-s.done:
		must.NoError(t, err)
		s.done <- nil
	case <-time.After(timeout):
		t.Fatal("the server does not stop")
	}
}

func (s *testServer) heartbeat(id string, calls uint64, state registry.State) {
	s.WithRegistry(func(r *registry.Registry) bool {
		r.Heartbeat(time.Now(), registry.Searcher{ID: id, Plant: "s", Address: "127.0.0.1:9", Calls: calls, State: state})
		return true
	})
}

// pull runs a puller until the test ends.
func pull(t *testing.T, p distribution.Puller) {
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { p.Run(ctx) })
	t.Cleanup(func() { stop(); running.Wait() })
}

func chooseFrom(addrs ...string) func(int) string {
	return func(failures int) string { return addrs[failures%len(addrs)] }
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(timeout), wait.Gap(2*time.Millisecond)))
}

func version(replica *distribution.Replica) uint64 {
	if d := replica.Document(); d != nil {
		return d.Version
	}
	return 0
}

func states(replica *distribution.Replica) (s []string) {
	for _, e := range replica.Entries() {
		s = append(s, e.ID+" "+e.State.String())
	}
	slices.Sort(s)
	return s
}

func hasStates(replica *distribution.Replica, want ...string) func() bool {
	return func() bool { return slices.Equal(states(replica), want) }
}

// TestUpdates checks that updates reach a client, also through a relay: first the whole configuration, then only patches. An
// older configuration changes nothing.
func TestUpdates(t *testing.T) {
	t.Parallel()
	source := serve(t, newBoard("source", false), "")
	middle, end := newBoard("middle", true), newBoard("end", true)
	relay := serve(t, middle, "")
	pull(t, distribution.Puller{Replica: middle, Incarnation: "m", Kind: "agent", Choose: chooseFrom(source.addr)})
	merged := make(chan bool, 10_000)
	pull(t, distribution.Puller{Replica: end, Incarnation: "e", Kind: "proxy", Choose: chooseFrom(relay.addr), OnMerge: func() { merged <- true }})
	source.SetControllers([]distribution.Location{{Addr: "a:1", Zone: "z"}})
	source.SetMixerCount(4)
	source.SetDocument(config(t, 5))
	source.heartbeat("i", 1, registry.Ready)
	source.heartbeat("j", 1, registry.Ready)
	eventually(t, hasStates(end, "i ready", "j ready"))
	eventually(t, func() bool { return version(end) == 5 && end.MixerCount() == 4 && len(end.Controllers()) == 1 })
	source.heartbeat("i", 2, registry.Draining)
	source.WithRegistry(func(r *registry.Registry) bool { r.Leave(time.Now(), "j"); return true })
	eventually(t, hasStates(end, "i draining"))
	for v := 6; v < 30; v++ {
		source.SetDocument(config(t, v))
		must.False(t, source.SetDocument(config(t, v-1)))
		eventually(t, func() bool { return version(end) == uint64(v) })
		must.Eq(t, string(config(t, v).Raw), string(end.Document().Raw))
	}
	must.False(t, end.SetDocument(config(t, 28)))
	must.Positive(t, len(merged))
	for len(source.requests) > 0 {
		must.False(t, (<-source.requests).Whole) // every patch could be applied
	}
}

// TestRestarts checks that either side may restart: it receives what it lacks from the other, and no version goes back.
func TestRestarts(t *testing.T) {
	t.Parallel()
	first := serve(t, newBoard("first", false), "")
	end := newBoard("end", true)
	pull(t, distribution.Puller{Replica: end, Incarnation: "e", Kind: "proxy", Choose: chooseFrom(first.addr)})
	first.SetDocument(config(t, 9))
	first.heartbeat("i", 1, registry.Ready)
	eventually(t, hasStates(end, "i ready"))
	eventually(t, func() bool { return version(end) == 9 })
	first.shutdown(t)
	// The next incarnation holds an older version and fewer searchers, and must not undo anything at the client.
	second := serve(t, newBoard("second", false), first.addr)
	second.SetDocument(config(t, 3))
	second.heartbeat("j", 1, registry.Ready)
	eventually(t, hasStates(end, "i ready", "j ready"))
	must.Eq(t, 9, version(end))
	second.SetDocument(config(t, 10))
	eventually(t, func() bool { return version(end) == 10 })
	// A client that restarts receives all that its server holds.
	fresh := newBoard("fresh", true)
	pull(t, distribution.Puller{Replica: fresh, Incarnation: "f", Kind: "proxy", Choose: chooseFrom(second.addr)})
	eventually(t, func() bool {
		return slices.Contains(states(fresh), "j ready") && slices.Equal(states(fresh), states(second.Replica))
	})
	eventually(t, func() bool { return version(fresh) == 10 })
}

// TestLeavesIsolatedServer checks that a puller leaves an isolated server for another one, as it does one that refuses connections
// or never answers. If there is no other server, it still takes updates from the isolated one.
func TestLeavesIsolatedServer(t *testing.T) {
	t.Parallel()
	isolated, healthy := serve(t, newBoard("alone", false), ""), serve(t, newBoard("sound", false), "")
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer unresponsive.Close()
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	refusing.Close()
	end := newBoard("end", true)
	isolated.heartbeat("i", 1, registry.Ready)
	faults := make(chan string, 10_000)
	pull(t, distribution.Puller{Replica: end, Incarnation: "e", Kind: "agent", LeaveIsolated: true, OnError: func(peer string, _ error) { faults <- peer },
		Choose: chooseFrom(isolated.addr, refusing.Addr().String(), unresponsive.Addr().String(), healthy.addr)})
	eventually(t, hasStates(end, "i ready"))
	isolated.SetIsolated(true)
	healthy.heartbeat("j", 1, registry.Ready)
	eventually(t, hasStates(end, "i ready", "j ready"))
	var failedPeers []string
	for len(faults) > 0 {
		// A refused connection may go unreported. A server that never answers costs the whole timeout, so it must not be tried
		// again while there is another.
		if peer := <-faults; peer != refusing.Addr().String() {
			failedPeers = append(failedPeers, peer)
		}
	}
	must.Eq(t, []string{isolated.addr, unresponsive.Addr().String()}, failedPeers)

	only := newBoard("only", true)
	pull(t, distribution.Puller{Replica: only, Incarnation: "o", Kind: "agent", LeaveIsolated: true, Choose: chooseFrom(isolated.addr)})
	eventually(t, hasStates(only, "i ready"))
	isolated.heartbeat("k", 1, registry.Ready)
	eventually(t, hasStates(only, "i ready", "k ready"))
}

// TestChangesToBetterAddress checks that the puller changes to a preferred address while the present one still answers.
func TestChangesToBetterAddress(t *testing.T) {
	t.Parallel()
	far, near := serve(t, newBoard("far", false), ""), serve(t, newBoard("near", false), "")
	near.heartbeat("n", 1, registry.Ready)
	far.heartbeat("f", 1, registry.Ready)
	end, addr := newBoard("end", true), far.addr
	pull(t, distribution.Puller{Replica: end, Incarnation: "e", Kind: "agent", Choose: func(int) string { return addr },
		HasBetter: func(present string) bool { addr = near.addr; return present != near.addr }})
	eventually(t, hasStates(end, "f ready", "n ready"))
}

// TestUnusablePatch checks that a patch that can't be applied leads to a request for the whole configuration, while the other
// updates of the response are applied.
func TestUnusablePatch(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	end := newBoard("end", true)
	must.True(t, end.SetDocument(config(t, 4)))
	pull(t, distribution.Puller{Replica: end, Incarnation: "e", Kind: "proxy", Choose: chooseFrom(ln.Addr().String())})
	conn, err := ln.Accept()
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.SetDeadline(time.Now().Add(timeout)))
	decoder, encoder := gob.NewDecoder(conn), gob.NewEncoder(conn)
	readRequest := func() (req distribution.PullRequest) { must.NoError(t, decoder.Decode(&req)); return req }
	req := readRequest()
	must.Eq(t, 4, req.Version)
	must.False(t, req.Whole)
	patch := manifest.Delta(config(t, 2), config(t, 5)) // does not start from the version that the client holds
	must.NoError(t, encoder.Encode(distribution.PullResponse{Version: 5, Patch: &patch, Mixers: 3}))
	req = readRequest()
	must.True(t, req.Whole)
	must.Eq(t, 4, req.Version)
	must.Eq(t, 3, req.Mixers)
	must.NoError(t, encoder.Encode(distribution.PullResponse{Version: 5, Whole: manifest.Pack(config(t, 5).Raw)}))
	req = readRequest()
	must.False(t, req.Whole)
	must.Eq(t, 5, req.Version)
	must.NoError(t, encoder.Encode(distribution.PullResponse{Version: 3, Whole: manifest.Pack(config(t, 3).Raw)})) // an older version
	must.Eq(t, 5, readRequest().Version)
	must.Eq(t, 5, version(end))
}

// TestUnreadableConfiguration guards against a busy loop: a server with an unreadable configuration would send it in response to
// each request at once. The puller closes the connection as after any other error, waits and tries another server if there is one.
func TestUnreadableConfiguration(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	healthy := serve(t, newBoard("sound", false), "")
	healthy.SetDocument(config(t, 6))
	end := newBoard("end", true)
	pull(t, distribution.Puller{Replica: end, Incarnation: "e", Kind: "proxy", Choose: chooseFrom(ln.Addr().String(), healthy.addr)})
	conn, err := ln.Accept()
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.SetDeadline(time.Now().Add(timeout)))
	decoder, encoder := gob.NewDecoder(conn), gob.NewEncoder(conn)
	requests := 0
	for req := (distribution.PullRequest{}); requests < 20 && decoder.Decode(&req) == nil; requests++ {
		encoder.Encode(distribution.PullResponse{Version: 5, Whole: []byte("not one")})
	}
	must.Less(t, 20, requests)
	eventually(t, func() bool { return version(end) == 6 })
}

// TestIdle checks that a request is answered within its bound even without updates, and that the response is then empty. The end
// of a connection is reported once, with its last request.
func TestIdle(t *testing.T) {
	t.Parallel()
	replica := newBoard("quiet", false)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	left := make(chan string, 9)
	go (&distribution.Server{Replica: replica, OnDisconnect: func(req *distribution.PullRequest) { left <- req.Life }}).Serve(ctx, ln)
	conn, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	must.NoError(t, conn.SetDeadline(time.Now().Add(timeout)))
	encoder, decoder := gob.NewEncoder(conn), gob.NewDecoder(conn)
	for range 2 {
		must.NoError(t, encoder.Encode(distribution.PullRequest{Life: "l", Kind: "proxy", Want: registry.PullQuery{Name: "l"}}))
		var resp distribution.PullResponse
		must.NoError(t, decoder.Decode(&resp))
		must.SliceEmpty(t, resp.News.Entries)
		must.Eq(t, 0, resp.Version)
	}
	must.NoError(t, encoder.Encode(distribution.PullRequest{Life: "m", Kind: "proxy", Want: registry.PullQuery{Name: "l"}}))
	conn.Close()
	must.Eq(t, "m", <-left)
}
