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

	"peathollow/brain"
	"peathollow/distribution"
	"peathollow/internal/figures"
	"peathollow/internal/invariant"
	"peathollow/internal/keepalive"
	"peathollow/internal/settings"
	"peathollow/internal/upstream"
	"peathollow/manifest"
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
	board *distribution.Board
	doc   atomic.Pointer[manifest.Manifest]

	mu      sync.Mutex
	life    *request.Life
	clock   *time.Timer
	armed   time.Duration
	pools   map[string]*upstream.Pool // by a searcher's id
	gen     uint64
	listed  bool
	mixers  int
	hosts   []request.Host
	leaving atomic.Bool
	sight   *sight
	plant   func(request.Step, []string) // a fault that a test plants in what decides
}

// New makes a proxy from what it is told.
func New(s *settings.Settings, life string, l *log.Logger) *Proxy {
	now := time.Now()
	q := &Proxy{set: s, name: life, log: l, start: now, pools: map[string]*upstream.Pool{},
		sight: newSight(), board: distribution.NewBoard(registry.New(registry.Config{Name: life, Relay: true, Period: s.BeatPeriod, Start: now}))}
	q.life = q.newLife(nil)
	q.clock = time.AfterFunc(time.Hour, q.due)
	q.clock.Stop()
	return q
}

// newLife starts what decides, on the retry budget's account of a life before if there was one.
func (q *Proxy) newLife(book *retrybudget.Book) *request.Life {
	return request.New(request.Terms{Seed: uint64(time.Now().UnixNano()),
		Book: book, Plant: q.plant, Budget: retrybudget.Terms{Ratio: q.set.RetryRatio, Slack: q.set.RetrySlack, Window: q.set.RetryWindow}}, q.now())
}

// AgentPort is where an agent feeds the proxy beside it, over loopback.
func AgentPort(s *settings.Settings) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(s.PortFirst+2))
}

// Run serves until ctx ends, then finishes what is in hand within the time of grace.
func (q *Proxy) Run(ctx context.Context) error {
	front, err := net.Listen("tcp", q.set.Front)
	if err != nil {
		return errors.Wrap(err, "listen, front")
	}
	ready, err := net.Listen("tcp", q.set.Readiness)
	if err != nil {
		return errors.Wrap(err, "listen, readiness")
	}
	all, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p := distribution.Puller{Board: q.board, Node: q.set.Node, Life: q.name, Kind: "proxy", Merged: q.merged,
		Choose: func(int) string { return AgentPort(q.set) }, Network: keepalive.TCP{Relay: q.set.Relay, From: q.set.Node}}
	go p.Run(all)
	go figures.ServeFor(all, q.log, q.set.IP, q.set.Metrics, q.figures)
	rs := &http.Server{Handler: http.HandlerFunc(q.ready), ReadTimeout: 2 * time.Second, WriteTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second}
	go rs.Serve(ready)
	fs := &http.Server{Handler: q, ReadHeaderTimeout: headSign, IdleTimeout: restSign, MaxHeaderBytes: headMost,
		DisableGeneralOptionsHandler: true}
	ended := make(chan error, 1)
	go func() { ended <- fs.Serve(limitedListener{front, q.limits}) }()
	q.log.Info().Str("event", "serving").Str("front", q.set.Front).Msg("")
	tally := time.NewTicker(10 * time.Second)
	defer tally.Stop()
	for {
		select {
		case err := <-ended:
			return errors.Wrap(err, "serve, front")
		case <-tally.C:
			q.tally()
		case <-ctx.Done():
			q.leave(fs)
			return nil
		}
	}
}

// leave goes on serving until the platform has stopped sending new connections, then until nothing is in hand.
func (q *Proxy) leave(fs *http.Server) {
	q.leaving.Store(true)
	began := time.Now()
	q.log.Info().Str("event", "leaving").Int("in-hand", q.inHand()).Msg("")
	time.Sleep(q.set.ProxyListensFor())
	ctx, stop := context.WithTimeout(context.Background(), max(time.Millisecond, q.set.ProxyEndsAfter()-time.Since(began)))
	defer stop()
	fs.Shutdown(ctx) // what is left after it is ended with the process
	q.tally()
	q.log.Info().Str("event", "left").Int("in-hand", q.inHand()).Msg("")
}

func (q *Proxy) inHand() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.life.InHand()
}

func (q *Proxy) ready(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/ready" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if q.leaving.Load() || q.doc.Load() == nil || !q.hasList() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (q *Proxy) hasList() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.listed
}

// merged takes over what the agent told.
func (q *Proxy) merged() {
	doc := q.board.Document()
	was := q.doc.Load()
	if doc != nil && was != nil && doc.Version < was.Version {
		invariant.Violated(invariant.VersionRises, "version %d after %d", doc.Version, was.Version)
	}
	if doc != nil && (was == nil || doc.Version > was.Version) {
		q.doc.Store(doc)
		q.sight.configured(q.now())
		q.log.Info().Str("event", "configuration").Uint64("version", doc.Version).Int("routes", len(doc.Routes)).Msg("")
	}
	var gen uint64
	var entries []registry.Entry
	whole := false
	q.board.With(func(r *registry.Registry) bool {
		gen, whole = r.Generation(), r.Complete()
		if gen != q.gen {
			for e := range r.All() {
				entries = append(entries, e)
			}
		}
		return false
	})
	n := q.board.Mixers()
	q.sight.told(q.now())
	spent := q.board.SlackSpent()
	q.do(func() {
		q.mixers = n
		q.life.Mixers(n)
		q.life.Book().SlackSpent(spent)
		if gen != q.gen {
			q.gen = gen
			q.list(entries)
		}
		q.listed = q.listed || whole
	})
}

// list hands over the searchers. Silent ones count as ready: a stale entry costs a try, a missing one the service.
func (q *Proxy) list(entries []registry.Entry) {
	hosts := make([]request.Host, 0, len(entries))
	ids := make(map[string]bool, len(entries))
	for i := range entries {
		e := &entries[i]
		if distribution.Reserved(e.Plant) {
			continue // a mixer, not a searcher
		}
		st := brain.Ready
		if e.State != registry.Ready {
			st = brain.Draining
		}
		hosts = append(hosts, request.Host{ID: e.ID, Address: e.Address, Service: e.Plant, State: st, Silent: e.Silent,
			Far: q.set.Far(e.Zone)})
		ids[e.ID] = true
	}
	q.hosts = hosts
	q.life.List(hosts)
	for id, p := range q.pools {
		if !ids[id] {
			delete(q.pools, id)
			go p.Retire()
		}
	}
}

func (q *Proxy) now() time.Duration { return time.Since(q.start) }

// due is the clock's call.
func (q *Proxy) due() {
	q.mu.Lock()
	q.armed = 0
	q.mu.Unlock()
	q.do(func() {})
}

// do hands the request an event and carries out what comes of it.
func (q *Proxy) do(event func()) {
	var buf [8]request.Act
	for _, a := range q.step(event, buf[:0]) {
		switch {
		case a.Dispatch.Call == nil: // a fault came before it was made ready, and has ended its request
		case a.Cancel:
			a.Dispatch.Call.(*sending).call.Cancel()
		default:
			go q.send(a.Dispatch)
		}
	}
}

func (q *Proxy) step(event func(), into []request.Act) (acts []request.Act) {
	q.mu.Lock()
	defer q.mu.Unlock()
	// Each by itself: a fault in what is due must not lose the event.
	acts = append(into, q.guard(func() { q.life.At(q.now()) })...)
	acts = append(acts, q.guard(event)...)
	calledOff := len(acts)
	faults := q.guard(func() {
		acts = q.life.Take(acts)
		for _, a := range acts[calledOff:] {
			if !a.Cancel {
				q.prepare(a.Dispatch)
			}
		}
	})
	q.arm()
	return append(acts, faults...)
}

// guard has something decided, and gives what a fault in it wants called off.
func (q *Proxy) guard(decide func()) (calledOff []request.Act) {
	defer func() {
		if e := recover(); e != nil {
			calledOff = q.restart(e)
		}
	}()
	decide()
	return nil
}

// restart keeps a fault in what decides from ending the process. One in the module of one set of services ends what is in hand
// for that set; any other ends all that is in hand, and a new life starts with the list as known and what is left of the retry
// budget. What ends does so as if it may have run, and is called off. The lock is held.
func (q *Proxy) restart(why any) []request.Act {
	q.sight.restarts.Add(1)
	acts, contained := q.life.Contain()
	q.log.Error().Str("event", "panic").Any("why", why).Bool("contained", contained).Bytes("stack", debug.Stack()).Msg("")
	if contained {
		return acts
	}
	old := q.life
	q.life, q.armed = q.newLife(old.Book()), 0
	q.life.Mixers(q.mixers)
	q.life.List(q.hosts)
	return old.Abandon()
}

func (q *Proxy) arm() {
	next, ok := q.life.Next()
	if !ok || q.armed != 0 && q.armed <= next {
		return
	}
	q.armed = max(next, 1)
	q.clock.Reset(max(0, next-q.now()))
}

func (q *Proxy) tally() {
	q.mu.Lock()
	c, n := q.life.Counts, q.life.InHand()
	q.life.CheckBalance()
	q.mu.Unlock()
	q.log.Info().Str("event", "tally").Int("taken", c.Taken).Int("relayed", c.Relayed).Int("gathered", c.Gathered).
		Int("partial", c.Partial).Int("refused", c.Refused).Int("failed", c.Failed).Int("left", c.Left).
		Int("sent", c.Sent).Int("further", c.Further).Int("in-hand", n).Ints("outcomes", c.Outcomes[:]).Ints("far", c.Far[:]).Msg("")
}
