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

const patience = 20 * time.Second

// shore stands in for the controllers of one system and for the proxy beside an agent.
type shore struct {
	t     *testing.T
	set   *settings.Settings
	addr  func(n int) string    // of controller n
	proxy *distribution.Replica // what the proxy holds
	stop  context.CancelFunc
	done  chan error
}

type berth struct {
	*distribution.Replica
	asked chan distribution.PullRequest
	end   func()
}

var shores struct {
	sync.Mutex
	n int
}

// newShore starts an agent whose seed is controller 0, and a proxy that pulls from it.
func newShore(t *testing.T) *shore {
	shores.Lock()
	shores.n++
	n := shores.n
	shores.Unlock()
	// Addresses of this process's own, and ports that the kernel gives nobody by itself.
	ip := func(k int) string { return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%150, 200+n, 10+k) }
	s := &shore{t: t, set: &settings.Settings{Node: "front", IP: ip(9), Zone: "here", Zones: map[string]string{"here": "r", "there": "r", "far": "q"},
		PortFirst: 10_000 + (os.Getpid()*7+n*131)%20_000, BeatPeriod: 400 * time.Millisecond, Grace: 2 * time.Second, RetryWindow: 10 * time.Second}}
	s.addr = func(k int) string { return net.JoinHostPort(ip(k), controlplane.DistributionPort(s.set)) }
	s.set.Seeds = []string{ip(0) + ":1"}
	for try := 0; ; try++ {
		ln, err := net.Listen("tcp", proxy.AgentAddress(s.set))
		if err == nil {
			ln.Close()
			break
		}
		must.Less(t, 20, try)
		s.set.PortFirst += 17
	}
	s.start("agent-1")
	s.proxy = s.newProxySide()
	return s
}

// start starts a life of the agent.
func (s *shore) start(life string) {
	ctx, stop := context.WithCancel(context.Background())
	s.stop, s.done = stop, make(chan error, 1)
	l := &log.Logger{Level: log.FatalLevel, Writer: log.IOWriter{Writer: io.Discard}}
	done := s.done
	go func() {
		err := agent.New(s.set, life, l).Run(ctx)
		// The life before has ended, but in this process its listener may close a moment later.
		for late := time.Now().Add(patience); err != nil && errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(late); {
			time.Sleep(time.Millisecond)
			err = agent.New(s.set, life, l).Run(ctx)
		}
		done <- err
	}()
	s.t.Cleanup(func() { stop(); s.ended() })
}

func (s *shore) ended() {
	select {
	case err := <-s.done:
		must.NoError(s.t, err)
		s.done <- nil
	case <-time.After(patience):
		s.t.Fatal("agent does not end")
	}
}

// newProxySide starts a proxy's side, which holds nothing.
func (s *shore) newProxySide() *distribution.Replica { return s.proxySide("q") }

// proxySide does so for one life of the proxy.
func (s *shore) proxySide(life string) *distribution.Replica {
	b := distribution.NewReplica(registry.New(registry.Config{Name: fmt.Sprint("proxy-", time.Now().UnixNano()), Relay: true, Period: time.Second, Start: time.Now()}))
	p := distribution.Puller{Replica: b, Incarnation: life, Kind: "proxy", Choose: func(int) string { return proxy.AgentAddress(s.set) }}
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { p.Run(ctx) })
	s.t.Cleanup(func() { stop(); all.Wait() })
	return b
}

// controller starts one that serves.
func (s *shore) controller(n int, life string) *berth {
	b := &berth{Replica: distribution.NewReplica(registry.New(registry.Config{Name: life, Period: time.Second, Start: time.Now()})), asked: make(chan distribution.PullRequest, 10_000)}
	ln, err := net.Listen("tcp", s.addr(n))
	must.NoError(s.t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- (&distribution.Server{Replica: b.Replica, OnRequest: func(a *distribution.PullRequest) { b.asked <- *a }}).Serve(ctx, ln)
	}()
	b.end = sync.OnceFunc(func() { stop(); must.NoError(s.t, <-done) })
	s.t.Cleanup(b.end)
	return b
}

func (b *berth) beat(id string) {
	b.WithRegistry(func(r *registry.Registry) bool {
		r.Heartbeat(time.Now(), registry.Searcher{ID: id, Plant: "s", Address: "127.0.0.1:9", Calls: 1})
		return true
	})
}

func (s *shore) config(version int) *manifest.Manifest {
	m, err := manifest.Parse([]byte(`{"config-version":` + strconv.Itoa(version) + `,"routes":[],"plants":[]}`))
	must.NoError(s.t, err)
	return m
}

func (s *shore) eventually(holds func() bool) {
	s.t.Helper()
	must.Wait(s.t, wait.InitialSuccess(wait.BoolFunc(holds), wait.Timeout(patience), wait.Gap(5*time.Millisecond)))
}

// holds tells whether a board has a version at least, and searchers.
func holds(b *distribution.Replica, version uint64, ids ...string) func() bool {
	return func() bool {
		var have []string
		for _, e := range b.Entries() {
			have = append(have, e.ID)
		}
		d := b.Document()
		return d != nil && d.Version == version && !slices.ContainsFunc(ids, func(id string) bool { return !slices.Contains(have, id) })
	}
}

// next waits for an ask of the agent.
func (b *berth) next(t *testing.T) distribution.PullRequest {
	t.Helper()
	select {
	case a := <-b.asked:
		return a
	case <-time.After(patience):
		t.Fatal("nobody asks")
		return distribution.PullRequest{}
	}
}

// TestFeeds: from the seed on, through a controller that is alone, one that ends, and restarts of the agent and of the
// proxy, the proxy has the news and no version goes back.
func TestFeeds(t *testing.T) {
	t.Parallel()
	s := newShore(t)
	core := []distribution.Location{{Addr: s.addr(1), Zone: "here"}, {Addr: s.addr(2), Zone: "there"}}
	seed, near, mid := s.controller(0, "h0"), s.controller(1, "h1"), s.controller(2, "h2")
	for _, h := range []*berth{seed, near, mid} {
		h.SetControllers(core)
		h.SetDocument(s.config(3))
	}
	seed.beat("i0")
	s.eventually(holds(s.proxy, 3, "i0"))
	must.Eq(t, "agent", seed.next(t).Kind)

	seed.SetIsolated(true) // the nearest that it told of is next
	near.beat("i1")
	s.eventually(holds(s.proxy, 3, "i0", "i1"))
	near.end()
	mid.beat("i2")
	mid.SetDocument(s.config(4))
	s.eventually(holds(s.proxy, 4, "i0", "i1", "i2"))

	s.stop() // the agent's next life knows nothing but the seed, which is behind
	s.ended()
	seed.SetIsolated(false) // before it is asked: an agent that finds it alone goes on to the others, which lack i3
	seed.beat("i3")
	s.start("agent-2")
	s.eventually(holds(s.proxy, 4, "i3"))
	seed.SetDocument(s.config(5))
	mid.SetDocument(s.config(5)) // controllers share it, and the agent prefers those of the core after a while
	s.eventually(holds(s.proxy, 5))
	s.eventually(holds(s.newProxySide(), 5, "i3")) // and so does a proxy's
}

// TestNearest: with all sound the agent settles at the controller of its zone, whichever it met first.
func TestNearest(t *testing.T) {
	t.Parallel()
	s := newShore(t)
	seed, near := s.controller(0, "h0"), s.controller(1, "h1")
	for _, h := range []*berth{seed, near} {
		h.SetControllers([]distribution.Location{{Addr: s.addr(0), Zone: "far"}, {Addr: s.addr(1), Zone: "here"}})
		h.SetDocument(s.config(1))
	}
	must.Eq(t, "agent", seed.next(t).Kind)
	must.Eq(t, "front", near.next(t).Node)
	near.beat("i")
	s.eventually(holds(s.proxy, 1, "i"))
}

// TestGrace: an agent that is told to end feeds its proxy for most of the grace: what the proxy still sends must follow
// the news.
func TestGrace(t *testing.T) {
	t.Parallel()
	s := newShore(t)
	h := s.controller(0, "h0")
	h.SetDocument(s.config(1))
	s.eventually(holds(s.proxy, 1))
	began := time.Now()
	s.stop()
	h.SetDocument(s.config(2))
	h.beat("i")
	s.eventually(holds(s.proxy, 2, "i"))
	s.ended()
	must.GreaterEq(t, s.set.Grace/2, time.Since(began))
}

// TestNoCore: with no controller to be had the proxy keeps what it has, and hears of news once there is one.
func TestNoCore(t *testing.T) {
	t.Parallel()
	s := newShore(t)
	h := s.controller(0, "h0")
	h.SetDocument(s.config(7))
	h.beat("i")
	s.eventually(holds(s.proxy, 7, "i"))
	h.end()
	again := s.controller(0, "h0-2")
	must.Eq(t, 7, again.next(t).Version)
	must.True(t, holds(s.proxy, 7, "i")())
	again.SetDocument(s.config(8))
	s.eventually(holds(s.proxy, 8, "i"))
}

// TestProxyLivesShareOneBudget: a proxy that is started again beside the same agent gets no slack of the retry budget anew
// while what the life before spent still counts. The code before gave each life of a proxy its own: only agents' lives were
// counted.
func TestProxyLivesShareOneBudget(t *testing.T) {
	t.Parallel()
	s := newShore(t)
	h := s.controller(0, "h0")
	h.WithRegistry(func(r *registry.Registry) bool {
		r.Heartbeat(time.Now(), (&distribution.Mixer{Incarnation: "agent/front/1", Calls: 1}).Searcher())
		return true
	})
	h.SetDocument(s.config(1))
	s.eventually(holds(s.proxy, 1))
	must.False(t, s.proxy.SlackSpent())
	for _, life := range []string{"second", "third"} {
		again := s.proxySide(life)
		s.eventually(holds(again, 1))
		must.True(t, again.SlackSpent(), must.Sprint(life))
	}
	// It is the proxy's to know: a controller that were asked about it would answer at once, again and again.
	for len(h.asked) > 0 {
		<-h.asked
	}
	for range 3 {
		must.False(t, h.next(t).SlackSpent)
	}
}
