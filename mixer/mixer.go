// Package mixer is the service on sockets: it takes scans over HTTP, has the module of package policy decide, and
// speaks frames with searchers. Others embed it by New and Run.
package mixer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"peathollow/internal/config"
	"peathollow/internal/discovery"
	"peathollow/internal/proto"
	"peathollow/policy"
)

// Config is what a mixer is told at its start.
type Config = config.Config

// Load reads a configuration as the platform hands it over.
func Load(env func(string) string, read func(string) ([]byte, error)) (Config, error) {
	return config.Load(env, read)
}

// Mixer is one service.
type Mixer struct {
	cfg      Config
	lim      Limits
	log      *zap.Logger
	watch    *discovery.Watcher
	ready    atomic.Bool
	crowd    atomic.Pointer[crowd] // nil where nothing is wanted of other mixers
	stopping atomic.Bool           // /ready says so, all else goes on
	leaving  atomic.Bool           // clients are told to go
}

// New makes a mixer; nothing is opened before Run.
func New(c Config, log *zap.Logger) (*Mixer, error) {
	if len(c.Settings.Types) == 0 {
		return nil, errors.New("configuration without table types")
	}
	lim := newLimits(c)
	// A searcher that is down for long would say so at every dispatch, and the log counts as memory.
	log = log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, lim.LogFirst, lim.LogThereafter)
	}))
	return &Mixer{cfg: c, lim: lim, log: log, watch: discovery.New(c.Discovery, lim.Discovery)}, nil
}

// Confine sets the process's own bounds from the limits; a program that embeds a mixer may set its own.
func (m *Mixer) Confine() {
	runtime.GOMAXPROCS(m.lim.Processors)
	debug.SetMemoryLimit(m.lim.Memory)
}

// Run serves at the configured address until the context ends, then answers all that was taken and returns.
func (m *Mixer) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", m.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return m.Serve(ctx, ln)
}

// Serve is Run on a listener that the caller opened; it closes it.
func (m *Mixer) Serve(ctx context.Context, ln net.Listener) error {
	links, closeLinks := context.WithCancel(context.Background())
	o := newOwner(links, &m.cfg, m.lim, m.log, m.watch.Ask)
	first := make(chan struct{})
	var once sync.Once
	told := func(mode policy.ListMode, l proto.List) {
		o.post(func() { o.ApplyList(mode, l) })
		if mode != policy.Unavailable {
			o.post(func() { once.Do(func() { close(first) }) })
		}
	}
	unshow, err := m.share(o)
	if err != nil {
		closeLinks()
		return err
	}
	defer unshow()
	o.ApplyList(policy.Cached, m.cfg.Known)
	o.Start()

	done := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() { o.run(done) })
	all.Go(func() { m.watch.Run(links, told) })
	if c := m.crowd.Load(); c != nil {
		all.Go(func() { c.run(links) })
	}
	defer all.Wait()
	defer close(done)
	defer closeLinks()

	t := &takeIn{o: o, lim: &m.lim, log: m.log, leaving: m.leaving.Load, big: make(chan struct{}, m.lim.Big)}
	gate := newGate(ln, &m.lim)
	srv := &http.Server{Handler: m.routes(gate, t.front()), ConnState: gate.state, ConnContext: withClient,
		ReadHeaderTimeout: m.lim.ClientHead, ReadTimeout: m.lim.ClientRead, WriteTimeout: m.lim.ClientWrite,
		IdleTimeout: m.lim.ClientIdle, MaxHeaderBytes: m.lim.Head, ErrorLog: zap.NewStdLog(m.log),
		DisableGeneralOptionsHandler: true} // each request must pass the gate, see heads
	failed := make(chan error, 1)
	all.Go(func() { failed <- srv.Serve(gate) })
	all.Go(func() { m.whenReady(links, first) })
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return m.finish(srv, o)
}

// share begins to do with other instances what the settings want done with them.
func (m *Mixer) share(o *owner) (unshow func(), err error) {
	c, err := m.gather(o)
	if c == nil {
		return func() {}, err
	}
	m.crowd.Store(c)
	if d := c.minder; d != nil {
		o.targets = d.targets
		if path := m.cfg.Ours.Duties.Show; path != "" {
			return d.show(path, m.cfg.Name)
		}
	}
	return func() {}, nil
}

// whenReady waits for discovery's first list; one known from before will do if that does not come.
func (m *Mixer) whenReady(ctx context.Context, first <-chan struct{}) {
	var wait <-chan time.Time
	if len(m.cfg.Known.Hosts) > 0 {
		t := time.NewTimer(m.lim.ReadyWait)
		defer t.Stop()
		wait = t.C
	}
	select {
	case <-first:
	case <-wait:
	case <-ctx.Done():
		return
	}
	m.ready.Store(true)
	m.log.Info("ready", zap.String("name", m.cfg.Name), zap.String("listen", m.cfg.Listen))
}

func (m *Mixer) routes(gate *gate, front http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := gate.pass(r); err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if r.Method != http.MethodGet || r.URL.Path != "/ready" {
			front.ServeHTTP(w, r)
			return
		}
		if !m.ready.Load() || m.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// finish answers what still comes for a while, then what is in hand, and leaves.
func (m *Mixer) finish(srv *http.Server, o *owner) error {
	m.stopping.Store(true)
	m.log.Info("stopping")
	o.post(func() { o.Stop(m.lim.StopFinish) })
	left := make(chan struct{})
	go func() {
		defer close(left)
		if c := m.crowd.Load(); c != nil {
			c.leave()
		}
	}()
	defer func() { <-left }()
	time.Sleep(m.lim.StopTell)
	m.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), m.lim.StopFinish-m.lim.StopTell+m.lim.Slack)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		// By now every scan is answered: what is left are connections that never sent a whole request.
		m.log.Warn("clients cut off", zap.Error(err))
		return srv.Close()
	}
	m.log.Info("stopped")
	return nil
}
