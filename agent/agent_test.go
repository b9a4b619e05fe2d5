package agent_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"peathollow/agent"
	"peathollow/controlplane"
	"peathollow/distribution"
	"peathollow/internal/settings"
	"peathollow/manifest"
	"peathollow/proxy"
	"peathollow/registry"
)

const waitTimeout = 20 * time.Second

// testBed runs an agent between simulated controllers and a simulated proxy.
type testBed struct {
	t        *testing.T
	settings *settings.Settings
	addr     func(n int) string    // returns the address of controller n
	proxy    *distribution.Replica // the proxy's copy
	stop     context.CancelFunc
	done     chan error
}

// controllerServer is a simulated controller.
type controllerServer struct {
	*distribution.Replica
	requests chan distribution.PullRequest
	end      func()
}

var testBeds struct {
	sync.Mutex
	n int
}

// newTestBed starts an agent with controller 0 as its seed and a proxy that pulls from the agent.
func newTestBed(t *testing.T) *testBed {
	testBeds.Lock()
	testBeds.n++
	n := testBeds.n
	testBeds.Unlock()
	// Loopback addresses that only this process uses, and ports below the kernel's ephemeral range.
	ip := func(k int) string { return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%150, 200+n, 10+k) }
	s := &testBed{t: t, settings: &settings.Settings{Node: "front", IP: ip(9), Zone: "here",
		Zones:     map[string]string{"here": "r", "there": "r", "far": "q"},
		PortFirst: 10_000 + (os.Getpid()*7+n*131)%20_000, BeatPeriod: 400 * time.Millisecond, Grace: 2 * time.Second, RetryWindow: 10 * time.Second}}
	s.addr = func(k int) string { return net.JoinHostPort(ip(k), controlplane.DistributionPort(s.settings)) }
	s.settings.Seeds = []string{ip(0) + ":1"}
	for attempt := 0; ; attempt++ {
		ln, err := net.Listen("tcp", proxy.AgentAddress(s.settings))
		if err == nil {
			ln.Close()
			break
		}
		must.Less(t, 20, attempt)
		s.settings.PortFirst += 17
	}
	s.start("agent-1")
	s.proxy = s.startProxy()
	return s
}

// start starts an incarnation of the agent.
func (s *testBed) start(incarnation string) {
	ctx, stop := context.WithCancel(context.Background())
	s.stop, s.done = stop, make(chan error, 1)
	l := &log.Logger{Level: log.FatalLevel, Writer: log.IOWriter{Writer: io.Discard}}
	done := s.done
	go func() {
		err := agent.New(s.settings, incarnation, l).Run(ctx)
		// The previous incarnation has ended, but as both run in this process its listener may close a moment later.
		for deadline := time.Now().Add(waitTimeout); err != nil && errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
			err = agent.New(s.settings, incarnation, l).Run(ctx)
		}
		done <- err
	}()
	s.t.Cleanup(func() { stop(); s.waitEnded() })
}

func (s *testBed) waitEnded() {
	select {
	case err := <-s.done:
		must.NoError(s.t, err)
		s.done <- nil
	case <-time.After(waitTimeout):
		s.t.Fatal("the agent has not ended")
	}
}

// startProxy starts a proxy with an empty replica.
func (s *testBed) startProxy() *distribution.Replica { return s.startProxyIncarnation("q") }

// startProxyIncarnation starts the given incarnation of the proxy with an empty replica.
func (s *testBed) startProxyIncarnation(incarnation string) *distribution.Replica {
	b := distribution.NewReplica(registry.New(registry.Config{Name: fmt.Sprint("proxy-", time.Now().UnixNano()), Relay: true,
		Period: time.Second, Start: time.Now()}))
	p := distribution.Puller{Replica: b, Incarnation: incarnation, Kind: "proxy",
		Choose: func(int) string { return proxy.AgentAddress(s.settings) }}
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { p.Run(ctx) })
	s.t.Cleanup(func() { stop(); all.Wait() })
	return b
}

// startController starts simulated controller n.
func (s *testBed) startController(n int, incarnation string) *controllerServer {
	b := &controllerServer{
		Replica:  distribution.NewReplica(registry.New(registry.Config{Name: incarnation, Period: time.Second, Start: time.Now()})),
		requests: make(chan distribution.PullRequest, 10_000)}
	ln, err := net.Listen("tcp", s.addr(n))
	must.NoError(s.t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- (&distribution.Server{Replica: b.Replica, OnRequest: func(a *distribution.PullRequest) { b.requests <- *a }}).Serve(ctx, ln)
	}()
	b.end = sync.OnceFunc(func() { stop(); must.NoError(s.t, <-done) })
	s.t.Cleanup(b.end)
	return b
}

func (b *controllerServer) heartbeat(id string) {
	b.WithRegistry(func(r *registry.Registry) bool {
		r.Heartbeat(time.Now(), registry.Searcher{ID: id, Plant: "s", Address: "127.0.0.1:9", Calls: 1})
		return true
	})
}

func (s *testBed) config(version int) *manifest.Manifest {
	m, err := manifest.Parse([]byte(`{"config-version":` + strconv.Itoa(version) + `,"routes":[],"plants":[]}`))
	must.NoError(s.t, err)
	return m
}

func (s *testBed) eventually(holds func() bool) {
	s.t.Helper()
	must.Wait(s.t, wait.InitialSuccess(wait.BoolFunc(holds), wait.Timeout(waitTimeout), wait.Gap(5*time.Millisecond)))
}

// holds returns a condition: the replica has the given configuration version and at least the given searchers.
func holds(replica *distribution.Replica, version uint64, ids ...string) func() bool {
	return func() bool {
		var have []string
		for _, e := range replica.Entries() {
			have = append(have, e.ID)
		}
		d := replica.Document()
		return d != nil && d.Version == version && !slices.ContainsFunc(ids, func(id string) bool { return !slices.Contains(have, id) })
	}
}

// nextRequest waits for a pull request of the agent.
func (b *controllerServer) nextRequest(t *testing.T) distribution.PullRequest {
	t.Helper()
	select {
	case a := <-b.requests:
		return a
	case <-time.After(waitTimeout):
		t.Fatal("no pull request arrived")
		return distribution.PullRequest{}
	}
}

// TestFeeds checks that the proxy receives every update, and never an older version, while the agent starts from its seed,
// leaves a controller that is isolated and one that ends, and while agent and proxy restart.
func TestFeeds(t *testing.T) {
	t.Parallel()
	s := newTestBed(t)
	controllers := []distribution.Location{{Addr: s.addr(1), Zone: "here"}, {Addr: s.addr(2), Zone: "there"}}
	seed, near, mid := s.startController(0, "h0"), s.startController(1, "h1"), s.startController(2, "h2")
	for _, h := range []*controllerServer{seed, near, mid} {
		h.SetControllers(controllers)
		h.SetDocument(s.config(3))
	}
	seed.heartbeat("i0")
	s.eventually(holds(s.proxy, 3, "i0"))
	must.Eq(t, "agent", seed.nextRequest(t).Kind)

	seed.SetIsolated(true) // the agent moves to the nearest controller that the seed has listed
	near.heartbeat("i1")
	s.eventually(holds(s.proxy, 3, "i0", "i1"))
	near.end()
	mid.heartbeat("i2")
	mid.SetDocument(s.config(4))
	s.eventually(holds(s.proxy, 4, "i0", "i1", "i2"))

	s.stop() // the agent's next incarnation knows only the seed, which is behind
	s.waitEnded()
	seed.SetIsolated(false) // before the agent pulls from it: an agent that finds it isolated moves to the others, which lack i3
	seed.heartbeat("i3")
	s.start("agent-2")
	s.eventually(holds(s.proxy, 4, "i3"))
	seed.SetDocument(s.config(5))
	mid.SetDocument(s.config(5)) // controllers replicate it, and the agent moves to a listed controller after a while
	s.eventually(holds(s.proxy, 5))
	s.eventually(holds(s.startProxy(), 5, "i3")) // a restarted proxy gets it, too
}

// TestNearest checks that, with all controllers healthy, the agent settles on the one in its zone, whichever it found first.
func TestNearest(t *testing.T) {
	t.Parallel()
	s := newTestBed(t)
	seed, near := s.startController(0, "h0"), s.startController(1, "h1")
	for _, h := range []*controllerServer{seed, near} {
		h.SetControllers([]distribution.Location{{Addr: s.addr(0), Zone: "far"}, {Addr: s.addr(1), Zone: "here"}})
		h.SetDocument(s.config(1))
	}
	must.Eq(t, "agent", seed.nextRequest(t).Kind)
	must.Eq(t, "front", near.nextRequest(t).Node)
	near.heartbeat("i")
	s.eventually(holds(s.proxy, 1, "i"))
}

// TestGrace checks that an agent that is shutting down feeds its proxy for most of the grace period: the requests that the
// proxy still sends need current data.
func TestGrace(t *testing.T) {
	t.Parallel()
	s := newTestBed(t)
	h := s.startController(0, "h0")
	h.SetDocument(s.config(1))
	s.eventually(holds(s.proxy, 1))
	began := time.Now()
	s.stop()
	h.SetDocument(s.config(2))
	h.heartbeat("i")
	s.eventually(holds(s.proxy, 2, "i"))
	s.waitEnded()
	must.GreaterEq(t, s.settings.Grace/2, time.Since(began))
}

// TestNoController checks that the proxy keeps its data while no controller is reachable, and receives updates once there is
// one.
func TestNoController(t *testing.T) {
	t.Parallel()
	s := newTestBed(t)
	h := s.startController(0, "h0")
	h.SetDocument(s.config(7))
	h.heartbeat("i")
	s.eventually(holds(s.proxy, 7, "i"))
	h.end()
	again := s.startController(0, "h0-2")
	must.Eq(t, 7, again.nextRequest(t).Version)
	must.True(t, holds(s.proxy, 7, "i")())
	again.SetDocument(s.config(8))
	s.eventually(holds(s.proxy, 8, "i"))
}

// TestProxyIncarnationsShareOneBudget checks that a proxy that restarts beside the same agent doesn't receive the slack of
// the retry budget again while the attempts of its previous incarnation are still charged. Each incarnation used to receive
// its own slack, because only the incarnations of agents were counted.
func TestProxyIncarnationsShareOneBudget(t *testing.T) {
	t.Parallel()
	s := newTestBed(t)
	h := s.startController(0, "h0")
	h.WithRegistry(func(r *registry.Registry) bool {
		r.Heartbeat(time.Now(), (&distribution.Mixer{Incarnation: "agent/front/1", Calls: 1}).Searcher())
		return true
	})
	h.SetDocument(s.config(1))
	s.eventually(holds(s.proxy, 1))
	must.False(t, s.proxy.SlackSpent())
	for _, incarnation := range []string{"second", "third"} {
		again := s.startProxyIncarnation(incarnation)
		s.eventually(holds(again, 1))
		must.True(t, again.SlackSpent(), must.Sprint(incarnation))
	}
	// The flag must not reach the controller: a controller that received it would answer every pull at once, in a busy loop.
	for len(h.requests) > 0 {
		<-h.requests
	}
	for range 3 {
		must.False(t, h.nextRequest(t).SlackSpent)
	}
}
