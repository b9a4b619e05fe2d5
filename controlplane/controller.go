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
	board   *distribution.Board
	core    *core
	store   *storage.Store

	mu       sync.Mutex
	fronts   map[string]*front          // agents that pull here, or did, by life
	judge    *failuredetector.Judge     // of the mixers that don't
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
	h := &Controller{set: s, log: l, life: life, fronts: map[string]*front{}, peers: map[string]peer{},
		pulls: map[string]pull{}, answered: map[string]time.Time{}, kept: map[string]registry.Vector{}, told: make(chan struct{}), orders: make(chan struct{}, ordersMost),
		network: on.Network, plant: on.Plant,
		sight: sight{lines: logbound.Limiter{PerSecond: refusalLines}, strangers: logbound.Limiter{PerSecond: strangerLines}, calls: map[answered]uint64{}}}
	h.judge = failuredetector.NewJudge(failuredetector.JudgeConfig{Period: s.BeatPeriod})
	h.board = distribution.NewBoard(registry.New(registry.Config{Name: life, Period: s.BeatPeriod, Start: now}))
	h.board.SetAlone(true) // until a majority is met
	store, saved, lost, err := storage.OpenOn(on.Files, s.DataDir)
	if err != nil {
		return nil, errors.Wrap(err, "storage")
	}
	cold := s.ColdStart && !store.Predecessor()
	if lost != nil {
		l.Error().Str("event", "disk-lost").Str("folder", s.DataDir).Err(lost).Msg("")
	}
	h.store = store
	c := consensus.Config{ID: consensus.ID(drawn()), Addr: h.at(s.IP, portMail), Zone: s.Zone, Region: s.Region, Counts: s.CountsLoss,
		Losses: s.MachineLosses, Zones: s.ZoneLosses, Regions: s.RegionLosses, ColdStart: cold, Seed: uint64(now.UnixNano())}
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return nil, errors.Wrapf(err, "seed %s", seed)
		}
		c.Seeds = append(c.Seeds, h.at(host, portMail))
	}
	h.core = &core{node: consensus.New(c, saved, 0), store: store, log: l, start: now, inbox: make(chan consensus.Message, inboxMost), leave: make(chan struct{}), left: make(chan struct{}),
		ackUnsynced: on.Plant.AckUnsynced, sight: &h.sight,
		calls: make(chan call, 64), writes: make(chan consensus.Write, 4), saved: make(chan uint64, 4), jobs: make(chan func() error, 1),
		committed: h.committed, changed: h.members}
	h.board.Guard(h.inContact)
	h.recall()
	l.Info().Str("event", "start").Str("id", string(h.core.node.ID())).Bool("remembers", saved != nil).Bool("cold", cold).Msg("")
	return h, nil
}

func drawn() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (h *Controller) at(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(h.set.PortFirst+port))
}

// handOverMost is how long a controller that is to end goes on until it has handed over.
const handOverMost = 2 * time.Second

// Run serves until ctx ends, and until it has handed over what hangs on it.
func (h *Controller) Run(told context.Context) error {
	ctx, stop := context.WithCancel(context.WithoutCancel(told))
	defer stop()
	var lns [4]net.Listener
	for i, addr := range []string{h.at(h.set.IP, portMail), h.at(h.set.IP, portNews), h.at(h.set.IP, portCalls), h.set.Control} {
		ln, err := h.network.Listen(addr)
		if err != nil {
			return errors.Wrapf(err, "listen %s", addr)
		}
		lns[i] = ln
	}
	h.core.mail = newMail(ctx, h.network)
	ended := make(chan error, 2)
	go receive(ctx, lns[0], h.core.inbox, h.core.mail.heard)
	news := distribution.Server{Board: h.board, Met: h.met}
	go news.Serve(ctx, lns[1])
	go h.serveCalls(ctx, lns[2])
	go figures.ServeFor(ctx, h.log, h.set.IP, h.set.Metrics, h.figures)
	h.running.Go(func() { h.tend(ctx) })
	h.running.Go(func() { h.remember(ctx) })
	h.running.Go(func() { h.core.write(ctx) })
	h.running.Go(func() {
		if err := h.core.run(ctx); err != nil {
			ended <- err
		}
	})
	doors := newServer(h.doors())
	go func() { ended <- errors.Wrap(doors.Serve(lns[3]), "serve, control") }()
	h.log.Info().Str("event", "serving").Str("control", h.set.Control).Msg("")
	select {
	case err := <-ended:
		return err
	case <-told.Done():
	}
	close(h.core.leave)
	select {
	case err := <-ended:
		return err
	case <-h.core.left:
	case <-time.After(min(handOverMost, h.set.Grace/2)):
	}
	h.log.Info().Str("event", "left").Msg("")
	last, end := context.WithTimeout(ctx, lastAnswers)
	defer end()
	doors.Shutdown(last)
	doors.Close()
	return nil
}

// Close closes the store, once Run has returned and what uses the store has ended.
func (h *Controller) Close() error {
	h.running.Wait()
	return h.store.Close()
}

// lastAnswers is how long calls in hand may take once everything is handed over.
const lastAnswers = 300 * time.Millisecond

// tend looks after what only time changes.
func (h *Controller) tend(ctx context.Context) {
	t := time.NewTicker(h.set.BeatPeriod / 6)
	defer t.Stop()
	soon := time.NewTicker(contactEvery)
	defer soon.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-soon.C: // only until there is contact: fronts may have nothing to serve by
			if h.renew(ctx); h.inContact() {
				soon.Stop()
			}
			continue
		case <-t.C:
		}
		alone := !h.renew(ctx)
		h.board.With(func(r *registry.Registry) bool {
			h.adopt(r, alone)
			revived := h.mind(r, alone)
			return r.Tick(time.Now()) || revived
		})
		h.board.SetAlone(!h.inContact())
	}
}

// committed takes a configuration that is in force.
func (h *Controller) committed(d consensus.Doc) {
	m, err := h.parsed(d)
	if err != nil {
		h.log.Error().Str("event", "configuration").Uint64("version", d.Version).Err(err).Msg("")
		return
	}
	if h.board.Put(m) {
		h.log.Info().Str("event", "configuration").Uint64("version", d.Version).Int("routes", len(m.Routes)).Msg("")
	}
}

// parsed gives a configuration that consensus holds; the machine that took the order has parsed it already.
func (h *Controller) parsed(d consensus.Doc) (*manifest.Manifest, error) {
	if m := h.taken.Load(); m != nil && m.Version == d.Version && xxh3.Hash(m.Raw) == d.Digest {
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
func (h *Controller) members(e consensus.Epoch) {
	var core []distribution.Place
	want := map[string]bool{}
	for _, m := range e.Members {
		host, _, err := net.SplitHostPort(m.Addr)
		if err != nil {
			continue
		}
		at := h.newsAddr(host)
		core = append(core, distribution.Place{Addr: at, Zone: m.Zone, Region: m.Region})
		if host != h.set.IP {
			want[at] = true
		}
	}
	h.board.SetSystem(uint64(e.System))
	h.board.SetCore(core)
	h.mu.Lock()
	defer h.mu.Unlock()
	for at, p := range h.pulls {
		if !want[at] {
			p.stop()
			delete(h.pulls, at)
			delete(h.answered, at)
			delete(h.kept, at)
		}
	}
	for at := range want {
		if _, pulling := h.pulls[at]; !pulling {
			ctx, stop := context.WithCancel(h.core.mail.ctx)
			alive := make(chan struct{}, 1)
			h.pulls[at] = pull{stop, alive}
			p := distribution.Puller{Board: h.board, Node: h.set.Node, Life: h.life, IP: h.set.IP, Kind: "controller", Peer: true, Say: h.say,
				Choose: func(int) string { return at }, Answered: func(_ string, _ *distribution.Cargo, asked time.Time) { h.answers(at, asked) }, Keeps: h.keeps, Network: h.network,
				Alive: alive}
			go p.Run(ctx)
		}
	}
}

func (h *Controller) met(a *distribution.Ask) {
	switch a.Kind {
	case "agent":
		h.pulled(a)
	case "controller":
		e := h.core.members()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.noticeLapse(e)
		h.peers[a.Node] = peer{a.Life, a.IP, time.Now()}
		h.pulls[h.newsAddr(a.IP)].heard()
		if a.Word != nil {
			h.judge.Told(time.Now(), a.Node, *a.Word)
		} else {
			h.judge.Told(time.Now(), a.Node, failuredetector.Word{})
		}
	}
}

// newsAddr is where the controller at an address serves news.
func (h *Controller) newsAddr(ip string) string { return net.JoinHostPort(ip, NewsPort(h.set)) }

// forgetAfter is how long a process that isn't heard any more is counted.
const forgetAfter = 5 * time.Second
