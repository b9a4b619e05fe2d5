package controlplane

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/zeebo/xxh3"

	"peathollow/consensus"
	"peathollow/distribution"
	"peathollow/failuredetector"
	"peathollow/internal/connlimit"
	"peathollow/internal/figures"
	"peathollow/internal/keepalive"
	"peathollow/internal/logbound"
	"peathollow/internal/settings"
	"peathollow/internal/storage"
	"peathollow/manifest"
	"peathollow/registry"
)

// Ports within the range for use between the system's processes.
const (
	portMail  = 0 // consensus's messages
	portNews  = 1 // news
	portCalls = 3 // calls passed on to the primary
)

// NewsPort is where a controller serves news, the same on each core machine.
func NewsPort(s *settings.Settings) string { return strconv.Itoa(s.PortFirst + portNews) }

// Controller is one core machine's process.
type Controller struct {
	set     *settings.Settings
	log     *log.Logger
	life    string
	network keepalive.Network
	board   *distribution.Replica
	core    *core
	store   *storage.Store

	mu       sync.Mutex
	fronts   map[string]*front          // agents that pull here, or did, by life
	judge    *failuredetector.Arbiter   // of the mixers that don't
	nodes    []failuredetector.Node     // the list as the judge knows it
	nodesAt  uint64                     // and its generation
	peers    map[string]peer            // by node
	pulls    map[string]pull            // from each other controller, by address
	answered map[string]time.Time       // when a controller last answered a pull, by where it serves news
	kept     map[string]registry.Vector // what its disk holds, by the same
	told     chan struct{}              // closed when kept changes, or the own disk holds more
	contact  contact
	orders   chan struct{}                     // a place for each configuration in hand
	running  sync.WaitGroup                    // what uses the store
	taken    atomic.Pointer[manifest.Manifest] // the configuration that an operator sent here last
	plant    PlantedFaults
	sight    sight
	recalled atomic.Uint64 // the version that the disk remembered at the start
}

// pull is what follows the news of another controller.
type pull struct {
	stop  func()
	alive chan struct{} // of one place
}

// heard tells it that the other controller lives. The zero value has nobody to tell.
func (p pull) heard() {
	select {
	case p.alive <- struct{}{}:
	default:
	}
}

type peer struct {
	life string
	ip   string
	at   time.Time
}

// Platform is what a controller stands on.
type Platform struct {
	Network keepalive.Network
	Files   vfs.FS
	Plant   PlantedFaults // none in service
}

// New opens the store and makes a controller of this machine. A store that can't be opened now, by a disk that is full or
// in trouble, is waited for.
func New(s *settings.Settings, life string, l *log.Logger) (*Controller, error) {
	on := Platform{Network: keepalive.TCP{Relay: s.Relay, From: s.Node}, Files: vfs.Default}
	began := time.Now()
	for {
		h, err := NewOn(on, s, life, l)
		if err == nil || time.Since(began) > openMost {
			return h, err
		}
		l.Error().Str("event", "open").Err(err).Msg("")
		time.Sleep(openEvery)
	}
}

// How long a store that can't be opened is waited for, and how often it is tried meanwhile.
const (
	openMost  = 20 * time.Second
	openEvery = 500 * time.Millisecond
)

// NewOn opens the store and makes a controller on a platform.
func NewOn(on Platform, s *settings.Settings, life string, l *log.Logger) (*Controller, error) {
	now := time.Now()
	c := &Controller{set: s, log: l, life: life, fronts: map[string]*front{}, peers: map[string]peer{},
		pulls: map[string]pull{}, answered: map[string]time.Time{}, kept: map[string]registry.Vector{}, told: make(chan struct{}), orders: make(chan struct{}, ordersMost),
		network: on.Network, plant: on.Plant,
		sight: sight{lines: logbound.Limiter{PerSecond: refusalLines}, strangers: logbound.Limiter{PerSecond: strangerLines}, calls: map[answered]uint64{}}}
	c.judge = failuredetector.NewArbiter(failuredetector.ArbiterConfig{Period: s.BeatPeriod})
	c.board = distribution.NewReplica(registry.New(registry.Config{Name: life, Period: s.BeatPeriod, Start: now}))
	c.board.SetIsolated(true) // until a majority is met
	store, saved, lost, err := storage.OpenOn(on.Files, s.DataDir)
	if err != nil {
		return nil, errors.Wrap(err, "storage")
	}
	cold := s.ColdStart && !store.Predecessor()
	if lost != nil {
		l.Error().Str("event", "disk-lost").Str("folder", s.DataDir).Err(lost).Msg("")
	}
	c.store = store
	config := consensus.Config{ID: consensus.ID(drawn()), Addr: c.at(s.IP, portMail), Zone: s.Zone, Region: s.Region, Counts: s.CountsLoss,
		Losses: s.MachineLosses, Zones: s.ZoneLosses, Regions: s.RegionLosses, ColdStart: cold, Seed: uint64(now.UnixNano())}
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return nil, errors.Wrapf(err, "seed %s", seed)
		}
		config.Seeds = append(config.Seeds, c.at(host, portMail))
	}
	c.core = &core{node: consensus.New(config, saved, 0), store: store, log: l, start: now, inbox: make(chan consensus.Message, inboxMost), leave: make(chan struct{}), left: make(chan struct{}),
		ackUnsynced: on.Plant.AckUnsynced, sight: &c.sight,
		calls: make(chan call, 64), writes: make(chan consensus.Write, 4), saved: make(chan uint64, 4), jobs: make(chan func() error, 1),
		committed: c.committed, changed: c.members}
	c.board.SetContactCheck(c.inContact)
	c.recall()
	l.Info().Str("event", "start").Str("id", string(c.core.node.ID())).Bool("remembers", saved != nil).Bool("cold", cold).Msg("")
	return c, nil
}

func drawn() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (c *Controller) at(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(c.set.PortFirst+port))
}

// handOverMost is how long a controller that is to end goes on until it has handed over.
const handOverMost = 2 * time.Second

// Run serves until ctx ends, and until it has handed over what hangs on it.
func (c *Controller) Run(told context.Context) error {
	ctx, stop := context.WithCancel(context.WithoutCancel(told))
	defer stop()
	var lns [4]net.Listener
	for i, addr := range []string{c.at(c.set.IP, portMail), c.at(c.set.IP, portNews), c.at(c.set.IP, portCalls), c.set.Control} {
		ln, err := c.network.Listen(addr)
		if err != nil {
			return errors.Wrapf(err, "listen %s", addr)
		}
		lns[i] = ln
	}
	c.core.mail = newMail(ctx, c.network)
	ended := make(chan error, 2)
	go receive(ctx, lns[0], c.core.inbox, c.core.mail.heard)
	news := distribution.Server{Replica: c.board, OnRequest: c.met}
	go news.Serve(ctx, lns[1])
	go c.serveCalls(ctx, lns[2])
	go figures.ServeFor(ctx, c.log, c.set.IP, c.set.Metrics, c.figures)
	c.running.Go(func() { c.tend(ctx) })
	c.running.Go(func() { c.remember(ctx) })
	c.running.Go(func() { c.core.write(ctx) })
	c.running.Go(func() {
		if err := c.core.run(ctx); err != nil {
			ended <- err
		}
	})
	doors := newServer(c.doors())
	callers := connlimit.New(c.set.CallersMost())
	callers.Bind(doors)
	go func() { ended <- errors.Wrap(doors.Serve(callers.Listen(lns[3])), "serve, control") }()
	c.log.Info().Str("event", "serving").Str("control", c.set.Control).Msg("")
	select {
	case err := <-ended:
		return err
	case <-told.Done():
	}
	close(c.core.leave)
	select {
	case err := <-ended:
		return err
	case <-c.core.left:
	case <-time.After(min(handOverMost, c.set.Grace/2)):
	}
	c.log.Info().Str("event", "left").Msg("")
	last, end := context.WithTimeout(ctx, lastAnswers)
	defer end()
	doors.Shutdown(last)
	doors.Close()
	return nil
}

// Close closes the store, once Run has returned and what uses the store has ended.
func (c *Controller) Close() error {
	c.running.Wait()
	return c.store.Close()
}

// lastAnswers is how long calls in hand may take once everything is handed over.
const lastAnswers = 300 * time.Millisecond

// tend looks after what only time changes.
func (c *Controller) tend(ctx context.Context) {
	t := time.NewTicker(c.set.BeatPeriod / 6)
	defer t.Stop()
	soon := time.NewTicker(contactEvery)
	defer soon.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-soon.C: // only until there is contact: fronts may have nothing to serve by
			if c.renew(ctx); c.inContact() {
				soon.Stop()
			}
			continue
		case <-t.C:
		}
		alone := !c.renew(ctx)
		c.board.WithRegistry(func(r *registry.Registry) bool {
			c.adopt(r, alone)
			revived := c.mind(r, alone)
			return r.Tick(time.Now()) || revived
		})
		c.board.SetIsolated(!c.inContact())
	}
}

// committed takes a configuration that is in force.
func (c *Controller) committed(d consensus.Document) {
	m, err := c.parsed(d)
	if err != nil {
		c.log.Error().Str("event", "configuration").Uint64("version", d.Version).Err(err).Msg("")
		return
	}
	if c.board.SetDocument(m) {
		c.log.Info().Str("event", "configuration").Uint64("version", d.Version).Int("routes", len(m.Routes)).Msg("")
	}
}

// parsed gives a configuration that consensus holds; the machine that took the order has parsed it already.
func (c *Controller) parsed(d consensus.Document) (*manifest.Manifest, error) {
	if m := c.taken.Load(); m != nil && m.Version == d.Version && xxh3.Hash(m.Raw) == d.Digest {
		return m, nil
	}
	return open(d.Body)
}

func open(packed []byte) (*manifest.Manifest, error) {
	raw, err := manifest.Unpack(packed, bodyMost)
	if err != nil {
		return nil, err
	}
	return manifest.Parse(raw)
}

// members has news pulled from each other member, and tells the agents where controllers are.
func (c *Controller) members(e consensus.Epoch) {
	var core []distribution.Location
	want := map[string]bool{}
	for _, m := range e.Members {
		host, _, err := net.SplitHostPort(m.Addr)
		if err != nil {
			continue
		}
		at := c.newsAddr(host)
		core = append(core, distribution.Location{Addr: at, Zone: m.Zone, Region: m.Region})
		if host != c.set.IP {
			want[at] = true
		}
	}
	c.board.SetSystem(uint64(e.System))
	c.board.SetControllers(core)
	c.mu.Lock()
	defer c.mu.Unlock()
	for at, p := range c.pulls {
		if !want[at] {
			p.stop()
			delete(c.pulls, at)
			delete(c.answered, at)
			delete(c.kept, at)
		}
	}
	for at := range want {
		if _, pulling := c.pulls[at]; !pulling {
			ctx, stop := context.WithCancel(c.core.mail.ctx)
			alive := make(chan struct{}, 1)
			c.pulls[at] = pull{stop, alive}
			p := distribution.Puller{Replica: c.board, Node: c.set.Node, Incarnation: c.life, IP: c.set.IP, Kind: "controller", Peer: true, PrepareRequest: c.say,
				Choose: func(int) string { return at }, OnResponse: func(_ string, _ *distribution.PullResponse, asked time.Time) { c.answers(at, asked) }, OnPersisted: c.keeps, Network: c.network,
				Alive: alive}
			go p.Run(ctx)
		}
	}
}

func (c *Controller) met(a *distribution.PullRequest) {
	switch a.Kind {
	case "agent":
		c.pulled(a)
	case "controller":
		e := c.core.members()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.noticeLapse(e)
		c.peers[a.Node] = peer{a.Life, a.IP, time.Now()}
		c.pulls[c.newsAddr(a.IP)].heard()
		if a.Word != nil {
			c.judge.ReceiveReport(time.Now(), a.Node, *a.Word)
		} else {
			c.judge.ReceiveReport(time.Now(), a.Node, failuredetector.WatchReport{})
		}
	}
}

// newsAddr is where the controller at an address serves news.
func (c *Controller) newsAddr(ip string) string { return net.JoinHostPort(ip, NewsPort(c.set)) }

// forgetAfter is how long a process that isn't heard any more is counted.
const forgetAfter = 5 * time.Second
