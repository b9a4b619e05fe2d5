package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"peathollow/distribution"
	"peathollow/internal/exporter"
	"peathollow/internal/settings"
	"peathollow/internal/standin/faulty"
	"peathollow/manifest"
	"peathollow/proxy"
	"peathollow/registry"
)

// Patience is how long the rig waits for anything before the test fails: long, so that only a fault is ever met.
const Patience = 20 * time.Second

// Route is a route as the operator writes it. What is left out takes the rig's default.
type Route struct {
	Name       string   `json:"name"`
	Host       string   `json:"host"`
	Prefix     string   `json:"path-prefix"`
	Mode       string   `json:"mode"`
	HorizonMs  int      `json:"horizon-ms"`
	SetpointMs int      `json:"setpoint-ms"`
	Plant      string   `json:"plant,omitempty"`
	Split      []Share  `json:"distribution,omitempty"`
	FanOut     []string `json:"fan-out,omitempty"`
	Retries    int      `json:"retries"`
	TopK       int      `json:"top-k,omitempty"`
	Coverage   *float64 `json:"min-coverage,omitempty"`
}

// Share is one service of a route that goes to several by weight.
type Share struct {
	Plant string  `json:"plant"`
	Gain  float64 `json:"gain"`
}

// Limits are those for clients.
type Limits struct {
	Header int `json:"max-header-bytes"`
	Body   int `json:"max-body-bytes"`
	Wait   int `json:"header-timeout-ms"`
	Idle   int `json:"idle-timeout-ms"`
}

// Host is that of every route without one.
const Host = "h.example"

// Rig is one proxy and what is around it.
type Rig struct {
	Front, Ready string
	Figures      string // where the proxy tells its figures
	Log          *Log   // what it logged
	Ledger       *faulty.Ledger
	Limits       Limits // of the versions to come

	t       testing.TB
	board   *distribution.Replica
	stop    context.CancelFunc
	ended   chan error
	version uint64

	mu       sync.Mutex
	asked    distribution.PullRequest // the proxy's last
	news     chan struct{}
	calls    uint64
	services map[string]string // by searcher
	configs  []*manifest.Manifest
	sent     map[string]*Request
	got      []Answer
	ids      int
	replies  map[string][]reply // by attempt
	wrong    []string
}

var rigs atomic.Int32

// Start starts a proxy that has news of nothing but the version and searchers told later; change alters its settings.
func Start(t testing.TB, grace time.Duration, change ...func(*settings.Settings)) *Rig {
	t.Helper()
	r := &Rig{t: t, Log: &Log{}, Ledger: &faulty.Ledger{}, Limits: Limits{16384, 4096, 3000, 15000}, news: make(chan struct{}),
		services: map[string]string{}, sent: map[string]*Request{}, replies: map[string][]reply{}}
	start := time.Now().Add(-time.Minute)
	source := registry.New(registry.Config{Name: "source", Period: time.Second, Start: start})
	r.board = distribution.NewReplica(source)
	for i := range 4 { // its list counts as whole from the start
		source.Tick(start.Add(time.Duration(i) * time.Second))
	}
	r.board.SetMixerCount(1)
	feed, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	feeding, unfeed := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- (&distribution.Server{Replica: r.board, OnRequest: r.met}).Serve(feeding, feed) }()
	t.Cleanup(func() {
		stop()
		unfeed()
		must.NoError(t, <-served)
		must.NoError(t, r.Ended())
	})
	for try := 0; ; try++ {
		// Addresses of this process's own: a port found free on a shared one may be somebody else's by the time it is used.
		n := int(rigs.Add(1))
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%150, n/200%250, 2+n%200)
		r.Front, r.Ready, r.Figures = ip+":8080", ip+":8081", "http://"+ip+":8082/metrics"
		s := &settings.Settings{Node: "front-0", Role: "proxy", IP: ip, Metrics: exporter.Address{Port: 8082, Path: "/metrics"}, Front: r.Front, Readiness: r.Ready, Zone: "z",
			Zones: map[string]string{"z": "r"}, PortFirst: feed.Addr().(*net.TCPAddr).Port - 2, BeatPeriod: time.Second, Grace: grace,
			RetryRatio: 1, RetrySlack: 1e6, RetryWindow: 10 * time.Second, FileLimit: 4096}
		for _, f := range change {
			f(s)
		}
		r.ended = make(chan error, 1)
		q := proxy.New(s, fmt.Sprint("proxy-", n), &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: r.Log}})
		go func(to chan error) { to <- q.Run(ctx) }(r.ended)
		listens := func() bool {
			c, err := net.Dial("tcp", r.Ready)
			if err == nil {
				c.Close()
			}
			return err == nil || len(r.ended) > 0
		}
		Eventually(t, listens)
		if len(r.ended) == 0 {
			return r
		}
		must.Less(t, 5, try, must.Sprint(<-r.ended))
	}
}

// Eventually waits until something holds.
func Eventually(t testing.TB, holds func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(holds), wait.Timeout(Patience), wait.Gap(2*time.Millisecond)))
}

func (r *Rig) met(a *distribution.PullRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked = *a
	close(r.news)
	r.news = make(chan struct{})
}

// Sync waits until the proxy has taken over all that was told: it asks for what is newer.
func (r *Rig) Sync() {
	r.t.Helper()
	var want registry.Vector
	r.board.WithRegistry(func(x *registry.Registry) bool { want = x.Vector(); return false })
	late := time.After(Patience)
	for {
		r.mu.Lock()
		a, news := r.asked, r.news
		r.mu.Unlock()
		if a.Version >= r.version && a.Want.Have.Covers(want) && a.Kind != "" {
			return
		}
		select {
		case <-news:
		case <-late:
			r.t.Fatalf("proxy holds version %d and %v, told were %d and %v", a.Version, a.Want.Have, r.version, want)
		}
	}
}

// Put has the next version in force, and waits for the proxy to hold it.
func (r *Rig) Put(routes ...Route) {
	r.t.Helper()
	r.version += 3
	r.board.SetDocument(r.Config(r.version, routes...))
	r.Sync()
}

// Stale sends a version that was overtaken; it must change nothing.
func (r *Rig) Stale(routes ...Route) { r.board.SetDocument(r.Config(r.version-1, routes...)) }

// Config makes a configuration.
func (r *Rig) Config(version uint64, routes ...Route) *manifest.Manifest {
	r.t.Helper()
	plants := map[string]bool{}
	for i := range routes {
		x := &routes[i]
		for _, d := range []struct {
			to *string
			v  string
		}{{&x.Name, fmt.Sprint("r", i)}, {&x.Host, Host}, {&x.Mode, "idempotent"}} {
			if *d.to == "" {
				*d.to = d.v
			}
		}
		if x.HorizonMs == 0 {
			x.HorizonMs, x.SetpointMs = 15_000, 1000
		}
		x.Retries = max(1, x.Retries)
		for _, s := range x.Split {
			plants[s.Plant] = true
		}
		for _, p := range append(x.FanOut, x.Plant) {
			plants[p] = p != ""
		}
	}
	doc := struct {
		Version uint64              `json:"config-version"`
		Routes  []Route             `json:"routes"`
		Plants  []map[string]string `json:"plants"`
		Limits  Limits              `json:"limits"`
	}{version, routes, nil, r.Limits}
	for p, is := range plants {
		if is {
			doc.Plants = append(doc.Plants, map[string]string{"name": p, "probe-path": "/health"})
		}
	}
	raw, err := json.Marshal(doc)
	must.NoError(r.t, err)
	m, err := manifest.Parse(raw)
	must.NoError(r.t, err)
	r.mu.Lock()
	r.configs = append(r.configs, m)
	r.mu.Unlock()
	return m
}

// Searcher starts one of a service and lists it; Sync or Put waits until the proxy knows of it.
func (r *Rig) Searcher(service string, o faulty.Options) *faulty.Server {
	r.t.Helper()
	o.Ledger = r.Ledger
	r.mu.Lock()
	r.calls++
	if o.ID == "" {
		o.ID = fmt.Sprint("i-", service, "-", r.calls)
	}
	id, script := o.ID, o.Script
	r.services[id] = service
	r.mu.Unlock()
	o.Script = r.watched(id, script)
	s, err := faulty.Start(o)
	must.NoError(r.t, err)
	r.t.Cleanup(s.Close)
	r.Tell(service, id, s.Addr(), registry.Ready)
	return s
}

// Script changes what a searcher does from its next request on.
func (r *Rig) Script(s *faulty.Server, f func(faulty.Call) faulty.Reply) {
	s.SetScript(r.watched(s.ID(), f))
}

// Tell lists a searcher's state, as its own beat would.
func (r *Rig) Tell(service, id, addr string, st registry.State) {
	r.mu.Lock()
	r.calls++
	calls := r.calls
	r.mu.Unlock()
	r.board.WithRegistry(func(x *registry.Registry) bool {
		x.Heartbeat(time.Now(), registry.Searcher{ID: id, Plant: service, Address: addr, Zone: "z", Capacity: 8, State: st, Calls: calls})
		return true
	})
}

// IsReady asks as the platform does.
func (r *Rig) IsReady() bool {
	res, err := http.Get("http://" + r.Ready + "/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == 200
}

// Terminate does what SIGTERM does.
func (r *Rig) Terminate() { r.stop() }

// Ended waits for the proxy to end.
func (r *Rig) Ended() error {
	select {
	case err := <-r.ended:
		r.ended <- err
		return err
	case <-time.After(Patience):
		return fmt.Errorf("proxy does not end")
	}
}

func (r *Rig) note(f string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrong = append(r.wrong, strings.TrimSpace(fmt.Sprintf(f, a...)))
}
