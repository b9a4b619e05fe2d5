// Package mixer implements the mixer service on real sockets. It accepts scans over HTTP, lets package policy decide
// where their parts go, and exchanges frames with searchers. Other programs embed it with New and Run.
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

// Config is the configuration that a mixer is started with.
type Config = config.Config

// Load reads the configuration from the environment and the files that the environment names.
func Load(env func(string) string, read func(string) ([]byte, error)) (Config, error) {
	return config.Load(env, read)
}

// Mixer is one instance of the mixer service.
type Mixer struct {
	cfg          Config
	limits       Limits
	log          *zap.Logger
	watch        *discovery.Watcher
	ready        atomic.Bool
	peers        atomic.Pointer[peerGroup] // nil if neither duties nor the fleet are enabled
	stopping     atomic.Bool               // /ready fails, all other requests are still served
	closeClients atomic.Bool               // responses ask clients to close their connections
}

// New creates a mixer. It opens no sockets before Run or Serve is called.
func New(c Config, log *zap.Logger) (*Mixer, error) {
	if len(c.Settings.Types) == 0 {
		return nil, errors.New("configuration without table types")
	}
	limits := newLimits(c)
	// A searcher that stays down would log at every dispatch, and the log counts towards the memory limit.
	log = log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, limits.LogFirst, limits.LogThereafter)
	}))
	return &Mixer{cfg: c, limits: limits, log: log, watch: discovery.New(c.Discovery, limits.Discovery)}, nil
}

// SetProcessLimits sets the processor and memory limits of the whole process. A program that embeds a mixer may set its own.
func (m *Mixer) SetProcessLimits() {
	runtime.GOMAXPROCS(m.limits.Processors)
	debug.SetMemoryLimit(m.limits.Memory)
}

// Run serves at the configured address until the context ends, then answers all accepted requests and returns.
func (m *Mixer) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", m.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return m.Serve(ctx, ln)
}

// Serve does the same as Run on a listener opened by the caller, and closes the listener.
func (m *Mixer) Serve(ctx context.Context, ln net.Listener) error {
	connCtx, closeConns := context.WithCancel(context.Background())
	o := newOwner(connCtx, &m.cfg, m.limits, m.log, m.watch.RetryNow)
	firstList := make(chan struct{})
	var once sync.Once
	onList := func(mode policy.ListMode, l proto.List) {
		o.post(func() { o.ApplyList(mode, l) })
		if mode != policy.Unavailable {
			o.post(func() { once.Do(func() { close(firstList) }) })
		}
	}
	closeStatus, err := m.joinPeers(o)
	if err != nil {
		closeConns()
		return err
	}
	defer closeStatus()
	o.ApplyList(policy.Cached, m.cfg.Known)
	o.Start()

	done := make(chan struct{})
	var workers sync.WaitGroup
	workers.Go(func() { o.run(done) })
	workers.Go(func() { m.watch.Run(connCtx, onList) })
	if peers := m.peers.Load(); peers != nil {
		workers.Go(func() { peers.run(connCtx) })
	}
	defer workers.Wait()
	defer close(done)
	defer closeConns()

	t := &scanTransport{owner: o, limits: &m.limits, log: m.log, closeClients: m.closeClients.Load,
		largeBodies: make(chan struct{}, m.limits.MaxLargeBodies)}
	limiter := newConnLimiter(ln, &m.limits)
	server := &http.Server{Handler: m.routes(limiter, t.handler()), ConnState: limiter.state, ConnContext: withClient,
		ReadHeaderTimeout: m.limits.HeadTimeout, ReadTimeout: m.limits.ReadTimeout, WriteTimeout: m.limits.WriteTimeout,
		IdleTimeout: m.limits.IdleTimeout, MaxHeaderBytes: m.limits.MaxHeadBytes, ErrorLog: zap.NewStdLog(m.log),
		DisableGeneralOptionsHandler: true} // each request must pass connLimiter.admit, see framing
	failed := make(chan error, 1)
	workers.Go(func() { failed <- server.Serve(limiter) })
	workers.Go(func() { m.whenReady(connCtx, firstList) })
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return m.finish(server, o)
}

// joinPeers starts the work that the settings share with other instances. It returns a function that closes the status socket.
func (m *Mixer) joinPeers(o *owner) (closeStatus func(), err error) {
	peers, err := m.newPeerGroup(o)
	if peers == nil {
		return func() {}, err
	}
	m.peers.Store(peers)
	if d := peers.duties; d != nil {
		o.onHosts = d.setTargets
		if path := m.cfg.Options.Duties.Show; path != "" {
			return d.serveStatus(path, m.cfg.Name)
		}
	}
	return func() {}, nil
}

// whenReady waits for the first list from discovery, or for a limited time if the configuration contains a list.
func (m *Mixer) whenReady(ctx context.Context, firstList <-chan struct{}) {
	var wait <-chan time.Time
	if len(m.cfg.Known.Hosts) > 0 {
		t := time.NewTimer(m.limits.FirstListTimeout)
		defer t.Stop()
		wait = t.C
	}
	select {
	case <-firstList:
	case <-wait:
	case <-ctx.Done():
		return
	}
	m.ready.Store(true)
	m.log.Info("ready", zap.String("name", m.cfg.Name), zap.String("listen", m.cfg.Listen))
}

func (m *Mixer) routes(limiter *connLimiter, scans http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := limiter.admit(r); err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if r.Method != http.MethodGet || r.URL.Path != "/ready" {
			scans.ServeHTTP(w, r)
			return
		}
		if !m.ready.Load() || m.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// finish keeps accepting requests for a while, then answers those in flight and shuts the server down.
func (m *Mixer) finish(server *http.Server, o *owner) error {
	m.stopping.Store(true)
	m.log.Info("stopping")
	o.post(func() { o.Stop(m.limits.StopTimeout) })
	peersLeft := make(chan struct{})
	go func() {
		defer close(peersLeft)
		if peers := m.peers.Load(); peers != nil {
			peers.leave()
		}
	}()
	defer func() { <-peersLeft }()
	time.Sleep(m.limits.CloseClientsAfter)
	m.closeClients.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), m.limits.StopTimeout-m.limits.CloseClientsAfter+m.limits.Slack)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		// Every scan has been answered by now: only connections that never sent a whole request are left.
		m.log.Warn("client connections closed by force", zap.Error(err))
		return server.Close()
	}
	m.log.Info("stopped")
	return nil
}
