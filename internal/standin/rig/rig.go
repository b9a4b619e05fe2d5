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

// Timeout is how long the rig waits for an event before the test fails. It is long, so that only a real fault exceeds it.
const Timeout = 20 * time.Second

// Route is a route of the configuration in its JSON form. Fields left empty take the defaults set by Rig.Config.
type Route struct {
	Name         string            `json:"name"`
	Host         string            `json:"host"`
	Prefix       string            `json:"path-prefix"`
	Mode         string            `json:"mode"`
	HorizonMs    int               `json:"horizon-ms"`
	SetpointMs   int               `json:"setpoint-ms"`
	Service      string            `json:"plant,omitempty"`
	Distribution []WeightedService `json:"distribution,omitempty"`
	FanOut       []string          `json:"fan-out,omitempty"`
	Retries      int               `json:"retries"`
	TopK         int               `json:"top-k,omitempty"`
	MinCoverage  *float64          `json:"min-coverage,omitempty"`
}

// WeightedService is one weighted service of a route that distributes requests over several.
type WeightedService struct {
	Service string  `json:"plant"`
	Weight  float64 `json:"gain"`
}

// Limits are the limits of the configuration for clients.
type Limits struct {
	MaxHeaderBytes  int `json:"max-header-bytes"`
	MaxBodyBytes    int `json:"max-body-bytes"`
	HeaderTimeoutMs int `json:"header-timeout-ms"`
	IdleTimeoutMs   int `json:"idle-timeout-ms"`
}

// Host is the default host of routes and requests.
const Host = "h.example"

// Rig is a proxy under test with its searchers, clients and configuration source.
type Rig struct {
	Front, Ready string
	MetricsURL   string // URL of the proxy's metrics
	Log          *Log   // log of the proxy
	Ledger       *faulty.Ledger
	Limits       Limits // used by the configurations made from now on

	t       testing.TB
	replica *distribution.Replica
	stop    context.CancelFunc
	ended   chan error
	version uint64

	mu          sync.Mutex
	lastRequest distribution.PullRequest // last pull request of the proxy
	requested   chan struct{}
	callCount   uint64
	services    map[string]string // service by searcher ID
	configs     []*manifest.Manifest
	sent        map[string]*Request
	responses   []Response
	lastID      int
	replies     map[string][]scriptedReply // by attempt ID
	violations  []string
}

var rigCount atomic.Int32

// Start starts a proxy without configuration and searchers; these are added by Put and Searcher. Each change function
// modifies its settings.
func Start(t testing.TB, grace time.Duration, change ...func(*settings.Settings)) *Rig {
	t.Helper()
	r := &Rig{t: t, Log: &Log{}, Ledger: &faulty.Ledger{}, Limits: Limits{16384, 4096, 3000, 15000}, requested: make(chan struct{}),
		services: map[string]string{}, sent: map[string]*Request{}, replies: map[string][]scriptedReply{}}
	start := time.Now().Add(-time.Minute)
	source := registry.New(registry.Config{Name: "source", Period: time.Second, Start: start})
	r.replica = distribution.NewReplica(source)
	for i := range 4 { // makes the searcher list count as complete from the start
		source.Tick(start.Add(time.Duration(i) * time.Second))
	}
	r.replica.SetMixerCount(1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	serving, stopServing := context.WithCancel(context.Background())
	serveResult := make(chan error, 1)
	go func() {
		serveResult <- (&distribution.Server{Replica: r.replica, OnRequest: r.onRequest}).Serve(serving, listener)
	}()
	t.Cleanup(func() {
		stop()
		stopServing()
		must.NoError(t, <-serveResult)
		must.NoError(t, r.Wait())
	})
	for attempt := 0; ; attempt++ {
		// Uses loopback addresses of this process alone: on a shared address, a port that was found free may be taken by
		// another process before it is used.
		n := int(rigCount.Add(1))
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%150, n/200%250, 2+n%200)
		r.Front, r.Ready, r.MetricsURL = ip+":8080", ip+":8081", "http://"+ip+":8082/metrics"
		s := &settings.Settings{Node: "front-0", Role: "proxy", IP: ip, Metrics: exporter.Address{Port: 8082, Path: "/metrics"}, Front: r.Front, Readiness: r.Ready, Zone: "z",
			Zones: map[string]string{"z": "r"}, PortFirst: listener.Addr().(*net.TCPAddr).Port - 2, BeatPeriod: time.Second, Grace: grace,
			RetryRatio: 1, RetrySlack: 1e6, RetryWindow: 10 * time.Second, FileLimit: 4096}
		for _, f := range change {
			f(s)
		}
		r.ended = make(chan error, 1)
		instance := proxy.New(s, fmt.Sprint("proxy-", n), &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: r.Log}})
		go func(to chan error) { to <- instance.Run(ctx) }(r.ended)
		listening := func() bool {
			c, err := net.Dial("tcp", r.Ready)
			if err == nil {
				c.Close()
			}
			return err == nil || len(r.ended) > 0
		}
		Eventually(t, listening)
		if len(r.ended) == 0 {
			return r
		}
		must.Less(t, 5, attempt, must.Sprint(<-r.ended))
	}
}

// Eventually waits until a condition holds and fails the test after Timeout.
func Eventually(t testing.TB, holds func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(holds), wait.Timeout(Timeout), wait.Gap(2*time.Millisecond)))
}

// onRequest records a pull request of the proxy and wakes Sync.
func (r *Rig) onRequest(a *distribution.PullRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRequest = *a
	close(r.requested)
	r.requested = make(chan struct{})
}

// Sync waits until the proxy has applied all updates, which its pull request for newer ones shows.
func (r *Rig) Sync() {
	r.t.Helper()
	var expected registry.Vector
	r.replica.WithRegistry(func(x *registry.Registry) bool { expected = x.Vector(); return false })
	timeout := time.After(Timeout)
	for {
		r.mu.Lock()
		request, requested := r.lastRequest, r.requested
		r.mu.Unlock()
		if request.Version >= r.version && request.Want.Have.Covers(expected) && request.Kind != "" {
			return
		}
		select {
		case <-requested:
		case <-timeout:
			r.t.Fatalf("proxy has version %d and list %v, want version %d and list %v", request.Version, request.Want.Have, r.version, expected)
		}
	}
}

// Put publishes the next configuration version and waits until the proxy has applied it.
func (r *Rig) Put(routes ...Route) {
	r.t.Helper()
	r.version += 3
	r.replica.SetDocument(r.Config(r.version, routes...))
	r.Sync()
}

// PutStale publishes a version older than the current one, which must have no effect.
func (r *Rig) PutStale(routes ...Route) { r.replica.SetDocument(r.Config(r.version-1, routes...)) }

// Config builds a configuration and adds it to those that Check accepts.
func (r *Rig) Config(version uint64, routes ...Route) *manifest.Manifest {
	r.t.Helper()
	services := map[string]bool{}
	for i := range routes {
		x := &routes[i]
		for _, field := range []struct {
			target *string
			value  string
		}{{&x.Name, fmt.Sprint("r", i)}, {&x.Host, Host}, {&x.Mode, "idempotent"}} {
			if *field.target == "" {
				*field.target = field.value
			}
		}
		if x.HorizonMs == 0 {
			x.HorizonMs, x.SetpointMs = 15_000, 1000
		}
		x.Retries = max(1, x.Retries)
		for _, s := range x.Distribution {
			services[s.Service] = true
		}
		for _, service := range append(x.FanOut, x.Service) {
			services[service] = service != ""
		}
	}
	document := struct {
		Version  uint64              `json:"config-version"`
		Routes   []Route             `json:"routes"`
		Services []map[string]string `json:"plants"`
		Limits   Limits              `json:"limits"`
	}{version, routes, nil, r.Limits}
	for service, used := range services {
		if used {
			document.Services = append(document.Services, map[string]string{"name": service, "probe-path": "/health"})
		}
	}
	raw, err := json.Marshal(document)
	must.NoError(r.t, err)
	m, err := manifest.Parse(raw)
	must.NoError(r.t, err)
	r.mu.Lock()
	r.configs = append(r.configs, m)
	r.mu.Unlock()
	return m
}

// Searcher starts a searcher of a service and adds it to the searcher list. Sync or Put waits until the proxy has received
// the list.
func (r *Rig) Searcher(service string, o faulty.Options) *faulty.Server {
	r.t.Helper()
	o.Ledger = r.Ledger
	r.mu.Lock()
	r.callCount++
	if o.ID == "" {
		o.ID = fmt.Sprint("i-", service, "-", r.callCount)
	}
	id, script := o.ID, o.Script
	r.services[id] = service
	r.mu.Unlock()
	o.Script = r.recordCalls(id, script)
	s, err := faulty.Start(o)
	must.NoError(r.t, err)
	r.t.Cleanup(s.Close)
	r.UpdateSearcher(service, id, s.Addr(), registry.Ready)
	return s
}

// Script replaces the script of a searcher from its next request on.
func (r *Rig) Script(s *faulty.Server, f func(faulty.Call) faulty.Reply) {
	s.SetScript(r.recordCalls(s.ID(), f))
}

// UpdateSearcher updates a searcher in the list, as its own heartbeat would.
func (r *Rig) UpdateSearcher(service, id, addr string, st registry.State) {
	r.mu.Lock()
	r.callCount++
	callCount := r.callCount
	r.mu.Unlock()
	r.replica.WithRegistry(func(x *registry.Registry) bool {
		x.Heartbeat(time.Now(), registry.Searcher{ID: id, Plant: service, Address: addr, Zone: "z", Capacity: 8, State: st, Calls: callCount})
		return true
	})
}

// IsReady queries the readiness endpoint as the platform does.
func (r *Rig) IsReady() bool {
	res, err := http.Get("http://" + r.Ready + "/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == 200
}

// Terminate shuts the proxy down as SIGTERM would.
func (r *Rig) Terminate() { r.stop() }

// Wait waits until the proxy has ended and returns its error.
func (r *Rig) Wait() error {
	select {
	case err := <-r.ended:
		r.ended <- err
		return err
	case <-time.After(Timeout):
		return fmt.Errorf("proxy did not end in time")
	}
}

// violation records a violated rule, which Check reports.
func (r *Rig) violation(f string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, strings.TrimSpace(fmt.Sprintf(f, a...)))
}
