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
	"peathollow/internal/figures"
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

// headMost bounds a client's head whatever the configuration says, which comes after the start and may change.
const headMost = 256 << 10

// Proxy is one proxy.
type Proxy struct {
	set   *settings.Settings
	log   *log.Logger
	name  string
	start time.Time
	board *distribution.Replica
	doc   atomic.Pointer[manifest.Manifest]

	mu      sync.Mutex
	life    *request.Coordinator
	clock   *time.Timer
	armed   time.Duration
	pools   map[string]*upstream.Pool // by a searcher's id
	gen     uint64
	listed  bool
	mixers  int
	hosts   []request.Searcher
	leaving atomic.Bool
	sight   *sight
	probes  upstream.ProbeCounts
	callers *connlimit.Limit
	plant   func(request.Step, []string) // a fault that a test plants in what decides
}

// New makes a proxy from what it is told.
func New(s *settings.Settings, life string, l *log.Logger) *Proxy {
	now := time.Now()
	p := &Proxy{set: s, name: life, log: l, start: now, pools: map[string]*upstream.Pool{},
		sight: newSight(), callers: connlimit.New(s.CallersMost()), board: distribution.NewReplica(registry.New(registry.Config{Name: life, Relay: true, Period: s.BeatPeriod, Start: now}))}
	p.life = p.newLife(nil)
	p.clock = time.AfterFunc(time.Hour, p.due)
	p.clock.Stop()
	return p
}

// newLife starts what decides, with what must not be forgotten of a life before if there was one.
func (p *Proxy) newLife(before *request.Coordinator) *request.Coordinator {
	return request.New(request.Config{Seed: uint64(time.Now().UnixNano()),
		Previous: before, InjectFault: p.plant, Budget: retrybudget.Config{Ratio: p.set.RetryRatio, Slack: p.set.RetrySlack, Window: p.set.RetryWindow}}, p.now())
}

// AgentPort is where an agent feeds the proxy beside it, over loopback.
func AgentPort(s *settings.Settings) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(s.PortFirst+2))
}

// Run serves until ctx ends, then finishes what is in hand within the time of grace.
func (p *Proxy) Run(ctx context.Context) error {
	front, err := net.Listen("tcp", p.set.Front)
	if err != nil {
		return errors.Wrap(err, "listen, front")
	}
	ready, err := net.Listen("tcp", p.set.Readiness)
	if err != nil {
		return errors.Wrap(err, "listen, readiness")
	}
	all, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	puller := distribution.Puller{Replica: p.board, Node: p.set.Node, Incarnation: p.name, Kind: "proxy", OnMerge: p.merged,
		Choose: func(int) string { return AgentPort(p.set) }, Network: keepalive.TCP{Relay: p.set.Relay, From: p.set.Node}}
	go puller.Run(all)
	go p.pulse(all)
	go figures.ServeFor(all, p.log, p.set.IP, p.set.Metrics, p.figures)
	rs := &http.Server{Handler: http.HandlerFunc(p.ready), ReadTimeout: 2 * time.Second, WriteTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second}
	go rs.Serve(ready)
	fs := &http.Server{Handler: p, ReadHeaderTimeout: headSign, IdleTimeout: restSign, MaxHeaderBytes: headMost,
		DisableGeneralOptionsHandler: true, ConnContext: withConnection}
	ended := make(chan error, 1)
	p.callers.Bind(fs)
	go func() { ended <- fs.Serve(limitedListener{p.callers.Listen(front), p.limits}) }()
	p.log.Info().Str("event", "serving").Str("front", p.set.Front).Msg("")
	tally := time.NewTicker(10 * time.Second)
	defer tally.Stop()
	for {
		select {
		case err := <-ended:
			return errors.Wrap(err, "serve, front")
		case <-tally.C:
			p.tally()
		case <-ctx.Done():
			p.leave(fs)
			return nil
		}
	}
}

// leave goes on serving until the platform has stopped sending new connections, then until nothing is in hand.
func (p *Proxy) leave(fs *http.Server) {
	p.leaving.Store(true)
	began := time.Now()
	p.log.Info().Str("event", "leaving").Int("in-hand", p.inHand()).Msg("")
	time.Sleep(p.set.ProxyListensFor())
	ctx, stop := context.WithTimeout(context.Background(), max(time.Millisecond, p.set.ProxyEndsAfter()-time.Since(began)))
	defer stop()
	fs.Shutdown(ctx) // what is left after it is ended with the process
	p.tally()
	p.log.Info().Str("event", "left").Int("in-hand", p.inHand()).Msg("")
}

func (p *Proxy) inHand() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life.InFlight()
}

func (p *Proxy) ready(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/ready" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if p.leaving.Load() || p.doc.Load() == nil || !p.hasList() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *Proxy) hasList() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed
}

// merged takes over what the agent told.
func (p *Proxy) merged() {
	doc := p.board.Document()
	was := p.doc.Load()
	if doc != nil && was != nil && doc.Version < was.Version {
		invariant.Violated(invariant.VersionRises, "version %d after %d", doc.Version, was.Version)
	}
	if doc != nil && (was == nil || doc.Version > was.Version) {
		p.doc.Store(doc)
		p.sight.configured(p.now())
		p.log.Info().Str("event", "configuration").Uint64("version", doc.Version).Int("routes", len(doc.Routes)).Msg("")
	}
	var gen uint64
	var entries []registry.Entry
	whole := false
	p.board.WithRegistry(func(r *registry.Registry) bool {
		gen, whole = r.Generation(), r.Complete()
		if gen != p.gen {
			for e := range r.All() {
				entries = append(entries, e)
			}
		}
		return false
	})
	n := p.board.MixerCount()
	p.sight.told(p.now())
	spent := p.board.SlackSpent()
	p.do(func() {
		follow := n != p.mixers || doc != was
		p.mixers = n
		p.life.SetMixerCount(n)
		p.life.Budget().SetSlackSpent(spent)
		if gen != p.gen {
			p.gen = gen
			p.list(entries)
		}
		if follow {
			p.followPools()
		}
		p.listed = p.listed || whole
	})
}

// list hands over the searchers. Silent ones count as ready: a stale entry costs a try, a missing one the service.
func (p *Proxy) list(entries []registry.Entry) {
	hosts := make([]request.Searcher, 0, len(entries))
	ids := make(map[string]bool, len(entries))
	for i := range entries {
		e := &entries[i]
		if distribution.Reserved(e.Plant) {
			continue // a mixer, not a searcher
		}
		st := policy.Ready
		if e.State != registry.Ready {
			st = policy.Draining
		}
		hosts = append(hosts, request.Searcher{ID: e.ID, Address: e.Address, Service: e.Plant, State: st, Calls: e.Calls, Silent: e.Silent,
			Distance: p.set.Far(e.Zone)})
		ids[e.ID] = true
	}
	p.hosts = hosts
	p.life.SetSearchers(hosts)
	for id, pool := range p.pools {
		if !ids[id] {
			delete(p.pools, id)
			go pool.Retire()
		}
	}
}

func (p *Proxy) now() time.Duration { return time.Since(p.start) }

// pulse moves the clock of what decides, so that it notices when the process did not run.
func (p *Proxy) pulse(ctx context.Context) {
	periodic.Each(ctx, request.MaxAdvanceInterval, func() { p.do(func() {}) })
}

// due is the clock's call.
func (p *Proxy) due() {
	p.mu.Lock()
	p.armed = 0
	p.mu.Unlock()
	p.do(func() {})
}

// do hands the request an event and carries out what comes of it.
func (p *Proxy) do(event func()) {
	var buf [8]request.Action
	acts, exhausted := p.step(event, buf[:0])
	p.explainExhausted(exhausted)
	for _, a := range acts {
		switch {
		case a.Dispatch.Data == nil: // a fault came before it was made ready, and has ended its request
		case a.Cancel:
			a.Dispatch.Data.(*sending).call.Cancel()
		default:
			go p.send(a.Dispatch)
		}
	}
}

// step hands over an event under the lock. It gives what is to be done, and the services whose retry budget was found exhausted.
func (p *Proxy) step(event func(), into []request.Action) (acts []request.Action, exhausted []retrybudget.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Each by itself: a fault in what is due must not lose the event.
	acts = append(into, p.guard(func() { p.life.Advance(p.now()) })...)
	acts = append(acts, p.guard(event)...)
	calledOff := len(acts)
	faults := p.guard(func() {
		acts = p.life.TakeActions(acts)
		for _, a := range acts[calledOff:] {
			if !a.Cancel {
				p.prepare(a.Dispatch)
			}
		}
	})
	p.arm()
	return append(acts, faults...), p.life.Budget().TakeRefusals()
}

// guard has something decided, and gives what a fault in it wants called off.
func (p *Proxy) guard(decide func()) (calledOff []request.Action) {
	defer func() {
		if e := recover(); e != nil {
			calledOff = p.restart(e)
		}
	}()
	decide()
	return nil
}

// restart keeps a fault in what decides from ending the process. One in the module of one set of services ends what is in hand
// for that set; any other ends all that is in hand, and a new life starts with the list as known and what is left of the retry
// budget. What ends does so as if it may have run, and is called off. The lock is held.
func (p *Proxy) restart(why any) []request.Action {
	p.sight.restarts.Add(1)
	acts, contained := p.life.Contain()
	p.log.Error().Str("event", "panic").Any("why", why).Bool("contained", contained).Bytes("stack", debug.Stack()).Msg("")
	if contained {
		return acts
	}
	old := p.life
	p.life, p.armed = p.newLife(old), 0
	p.life.SetMixerCount(p.mixers)
	p.life.SetSearchers(p.hosts)
	return old.Abandon()
}

func (p *Proxy) arm() {
	next, ok := p.life.NextTimer()
	if !ok || p.armed != 0 && p.armed <= next {
		return
	}
	p.armed = max(next, 1)
	p.clock.Reset(max(0, next-p.now()))
}

func (p *Proxy) tally() {
	p.mu.Lock()
	c, n := p.life.Counts, p.life.InFlight()
	p.life.CheckBalance()
	p.mu.Unlock()
	p.log.Info().Str("event", "tally").Int("taken", c.Taken).Int("relayed", c.Relayed).Int("gathered", c.Gathered).
		Int("partial", c.Partial).Int("refused", c.Refused).Int("failed", c.Failed).Int("left", c.ClientsLeft).
		Int("sent", c.Sent).Int("further", c.Retries).Int("in-hand", n).Ints("outcomes", c.Outcomes[:]).Ints("far", c.ByDistance[:]).
		Uint64("probes-first", p.probes.First.Load()).Uint64("probes-old", p.probes.Old.Load()).Int64("probes-took-ms", p.probes.TotalNanoseconds.Load()/int64(time.Millisecond)).Msg("")
}
