package proxy

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"peathollow/distribution"
	"peathollow/internal/connlimit"
	"peathollow/internal/exporter"
	"peathollow/internal/invariant"
	"peathollow/internal/keepalive"
	"peathollow/internal/periodic"
	"peathollow/internal/settings"
	"peathollow/internal/upstream"
	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/registry"
	"peathollow/request"
	"peathollow/retrybudget"
)

// maxHeaderBytes bounds the header of a client's request regardless of the configuration, which arrives after the start and may
// change. The configured limit is checked for each request.
const maxHeaderBytes = 256 << 10

// Proxy serves clients' requests. Its HTTP handler is ServeHTTP.
type Proxy struct {
	settings    *settings.Settings
	log         *log.Logger
	incarnation string
	start       time.Time
	replica     *distribution.Replica
	config      atomic.Pointer[manifest.Manifest]

	mu            sync.Mutex
	coordinator   *request.Coordinator
	timer         *time.Timer
	timerDue      time.Duration
	pools         map[string]*upstream.Pool // keyed by searcher ID
	generation    uint64
	listComplete  bool
	mixerCount    int
	searchers     []request.Searcher
	shuttingDown  atomic.Bool
	draining      atomic.Bool // client connections are closed once they have their answers
	observability *observability
	probes        upstream.ProbeCounts
	clientConns   *connlimit.Limit
	injectFault   func(request.Step, []string) // set by tests to inject faults into the coordinator
}

// New returns a proxy with the given settings. The incarnation names this run of the process.
func New(s *settings.Settings, incarnation string, l *log.Logger) *Proxy {
	now := time.Now()
	p := &Proxy{settings: s, incarnation: incarnation, log: l, start: now, pools: map[string]*upstream.Pool{},
		observability: newObservability(), clientConns: connlimit.New(s.MaxClientConns()),
		replica: distribution.NewReplica(registry.New(registry.Config{Name: incarnation, Relay: true, KeepUnheard: true,
			Period: s.BeatPeriod, Start: now}))}
	p.coordinator = p.newCoordinator(nil)
	p.timer = time.AfterFunc(time.Hour, p.onTimer)
	p.timer.Stop()
	return p
}

// newCoordinator returns a coordinator that keeps the state that must survive a restart, if there was a previous one.
func (p *Proxy) newCoordinator(previous *request.Coordinator) *request.Coordinator {
	return request.New(request.Config{Seed: uint64(time.Now().UnixNano()), Previous: previous, InjectFault: p.injectFault,
		Budget: retrybudget.Config{Ratio: p.settings.RetryRatio, Slack: p.settings.RetrySlack, Window: p.settings.RetryWindow}}, p.now())
}

// AgentAddress returns the loopback address at which the proxy pulls updates from the agent on its machine.
func AgentAddress(s *settings.Settings) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(s.PortFirst+2))
}

// countersInterval is the interval between log lines with the counters.
const countersInterval = 10 * time.Second

// Run serves until ctx ends, then finishes the requests in flight within the grace period.
func (p *Proxy) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", p.settings.Front)
	if err != nil {
		return errors.Wrap(err, "listen on the front address")
	}
	readiness, err := net.Listen("tcp", p.settings.Readiness)
	if err != nil {
		return errors.Wrap(err, "listen on the readiness address")
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p.startBackground(background)
	go newReadinessServer(http.HandlerFunc(p.serveReady)).Serve(readiness)
	frontServer, front := p.newFrontServer(), newTimeoutListener(ln, p.timeouts)
	ended := make(chan error, 1)
	go func() { ended <- frontServer.Serve(p.clientConns.Listen(front)) }()
	p.log.Info().Str("event", "serving").Str("front", p.settings.Front).Msg("")
	ticker := time.NewTicker(countersInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			return errors.Wrap(err, "serve on the front address")
		case <-ticker.C:
			p.logCounters()
		case <-ctx.Done():
			p.shutDown(frontServer, front)
			return nil
		}
	}
}

// startBackground starts what runs beside the servers until ctx ends: the pull from the agent, the clock and the metrics.
func (p *Proxy) startBackground(ctx context.Context) {
	puller := distribution.Puller{Replica: p.replica, Node: p.settings.Node, Incarnation: p.incarnation, Kind: "proxy", OnMerge: p.onMerge,
		Choose: func(int) string { return AgentAddress(p.settings) }, Network: keepalive.TCP{Relay: p.settings.Relay, From: p.settings.Node}}
	go puller.Run(ctx)
	go p.advancePeriodically(ctx)
	go exporter.ServeIfConfigured(ctx, p.log, p.settings.IP, p.settings.Metrics, p.emitMetrics)
}

// newFrontServer returns the server for clients' requests.
func (p *Proxy) newFrontServer() *http.Server {
	server := &http.Server{Handler: p, ReadHeaderTimeout: headerTimeoutPlaceholder, IdleTimeout: idleTimeoutPlaceholder,
		MaxHeaderBytes: maxHeaderBytes, DisableGeneralOptionsHandler: true, ConnContext: withConnection}
	p.clientConns.Bind(server)
	return server
}

// newReadinessServer returns the server at which the platform asks whether the proxy gets new connections.
func newReadinessServer(handler http.Handler) *http.Server {
	const timeout, idleTimeout = 2 * time.Second, 10 * time.Second
	return &http.Server{Handler: handler, ReadTimeout: timeout, WriteTimeout: timeout, IdleTimeout: idleTimeout}
}

func (p *Proxy) inFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.coordinator.InFlight()
}

func (p *Proxy) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/ready" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if p.shuttingDown.Load() || p.config.Load() == nil || !p.hasCompleteList() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *Proxy) hasCompleteList() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listComplete
}

// onMerge applies the state received from the agent.
func (p *Proxy) onMerge() {
	config := p.replica.Document()
	previous := p.config.Load()
	if config != nil && previous != nil && config.Version < previous.Version {
		invariant.Violated(invariant.VersionMonotonic, "version %d after %d", config.Version, previous.Version)
	}
	if config != nil && (previous == nil || config.Version > previous.Version) {
		p.config.Store(config)
		p.observability.configurationChanged(p.now())
		p.log.Info().Str("event", "configuration").Uint64("version", config.Version).Int("routes", len(config.Routes)).Msg("")
	}
	var generation uint64
	var entries []registry.Entry
	complete := false
	p.replica.WithRegistry(func(r *registry.Registry) bool {
		r.Tick(time.Now()) // removes searchers that were not heard for long
		generation, complete = r.Generation(), r.Complete()
		if generation != p.generation {
			for e := range r.All() {
				entries = append(entries, e)
			}
		}
		return false
	})
	mixers := p.replica.MixerCount()
	p.observability.agentAnswered(p.now())
	slackSpent := p.replica.SlackSpent()
	p.handle(func() {
		reconfigure := mixers != p.mixerCount || config != previous
		p.mixerCount = mixers
		p.coordinator.SetMixerCount(mixers)
		p.coordinator.Budget().SetSlackSpent(slackSpent)
		if generation != p.generation {
			p.generation = generation
			p.setSearchers(entries)
		}
		if reconfigure {
			p.reconfigurePools()
		}
		p.listComplete = p.listComplete || complete
	})
}

// setSearchers passes the list of searchers to the coordinator and retires the pools of removed ones. Silent searchers count as
// ready: a stale entry costs one attempt, a missing entry makes the service unavailable.
func (p *Proxy) setSearchers(entries []registry.Entry) {
	searchers := make([]request.Searcher, 0, len(entries))
	ids := make(map[string]bool, len(entries))
	for i := range entries {
		e := &entries[i]
		if distribution.Reserved(e.Plant) {
			continue // a mixer, not a searcher
		}
		state := policy.Ready
		if e.State != registry.Ready {
			state = policy.Draining
		}
		searchers = append(searchers, request.Searcher{ID: e.ID, Address: e.Address, Service: e.Plant, State: state,
			Calls: e.Calls, Silent: e.Silent, Distance: p.settings.DistanceTo(e.Zone)})
		ids[e.ID] = true
	}
	p.searchers = searchers
	p.coordinator.SetSearchers(searchers)
	for id, pool := range p.pools {
		if !ids[id] {
			delete(p.pools, id)
			go pool.Retire()
		}
	}
}

func (p *Proxy) now() time.Duration { return time.Since(p.start) }

// advancePeriodically advances the coordinator's clock, so that the coordinator detects intervals in which the process did not
// run.
func (p *Proxy) advancePeriodically(ctx context.Context) {
	periodic.Run(ctx, request.MaxAdvanceInterval, func() { p.handle(func() {}) })
}

// onTimer is called when the coordinator's next timer is due.
func (p *Proxy) onTimer() {
	p.mu.Lock()
	p.timerDue = 0
	p.mu.Unlock()
	p.handle(func() {})
}

// handle applies an event to the coordinator and carries out the resulting actions.
func (p *Proxy) handle(event func()) {
	var buf [8]request.Action
	actions, refusals := p.decide(event, buf[:0])
	p.logBudgetRefusals(refusals)
	for _, action := range actions {
		switch {
		case action.Dispatch.Data == nil: // a fault occurred before it was prepared, and has ended its request
		case action.Cancel:
			action.Dispatch.Data.(*outgoing).exchange.Cancel()
		default:
			go p.send(action.Dispatch)
		}
	}
}

// decide applies an event under the lock. It returns the actions to carry out and the services that were
// refused a retry because their budget was exhausted.
func (p *Proxy) decide(event func(), into []request.Action) (actions []request.Action, refusals []retrybudget.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Guarded separately, so that a fault in a due timer does not lose the event.
	actions = append(into, p.runGuarded(func() { p.coordinator.Advance(p.now()) })...)
	actions = append(actions, p.runGuarded(event)...)
	before := len(actions)
	cancelled := p.runGuarded(func() {
		actions = p.coordinator.TakeActions(actions)
		for _, action := range actions[before:] {
			if !action.Cancel {
				p.prepare(action.Dispatch)
			}
		}
	})
	p.armTimer()
	return append(actions, cancelled...), p.coordinator.Budget().TakeRefusals()
}

// runGuarded runs a function of the coordinator and returns the cancellations that result if it panics.
func (p *Proxy) runGuarded(run func()) (cancelled []request.Action) {
	defer func() {
		if e := recover(); e != nil {
			cancelled = p.recoverFrom(e)
		}
	}()
	run()
	return nil
}

// recoverFrom keeps a panic in the coordinator from ending the process. A fault in the policy engine of one set of services ends
// the requests in flight for that set. Any other fault ends all requests in flight, and a new coordinator starts with the known
// list of searchers and the remaining retry budget. These requests end as if they may have run, and their dispatches are
// cancelled. The caller must hold the lock.
func (p *Proxy) recoverFrom(panicValue any) []request.Action {
	p.observability.restarts.Add(1)
	actions, contained := p.coordinator.Contain()
	p.log.Error().Str("event", "panic").Any("why", panicValue).Bool("contained", contained).Bytes("stack", debug.Stack()).Msg("")
	if contained {
		return actions
	}
	failed := p.coordinator
	p.coordinator, p.timerDue = p.newCoordinator(failed), 0
	p.coordinator.SetMixerCount(p.mixerCount)
	p.coordinator.SetSearchers(p.searchers)
	return failed.Abandon()
}

func (p *Proxy) armTimer() {
	next, ok := p.coordinator.NextTimer()
	if !ok || p.timerDue != 0 && p.timerDue <= next {
		return
	}
	p.timerDue = max(next, 1)
	p.timer.Reset(max(0, next-p.now()))
}

func (p *Proxy) logCounters() {
	p.mu.Lock()
	counts, inFlight := p.coordinator.Counts, p.coordinator.InFlight()
	p.coordinator.CheckBalance()
	p.mu.Unlock()
	p.log.Info().Str("event", "tally").Int("taken", counts.Taken).Int("relayed", counts.Relayed).Int("gathered", counts.Gathered).
		Int("partial", counts.Partial).Int("refused", counts.Refused).Int("failed", counts.Failed).Int("left", counts.ClientsLeft).
		Int("sent", counts.Sent).Int("further", counts.Retries).Int("in-hand", inFlight).Ints("outcomes", counts.Outcomes[:]).
		Ints("far", counts.ByDistance[:]).Uint64("probes-first", p.probes.First.Load()).Uint64("probes-old", p.probes.Old.Load()).
		Int64("probes-took-ms", p.probes.TotalNanoseconds.Load()/int64(time.Millisecond)).Msg("")
}
