package controlplane

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
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
	"peathollow/internal/exporter"
	"peathollow/internal/keepalive"
	"peathollow/internal/logbound"
	"peathollow/internal/settings"
	"peathollow/internal/storage"
	"peathollow/manifest"
	"peathollow/registry"
)

// Offsets into the port range for traffic between the system's processes.
const (
	portConsensus    = 0 // messages of consensus
	portDistribution = 1 // pulls of the configuration and the list
	portCalls        = 3 // calls forwarded to the primary
)

// DistributionPort returns the port on which controllers serve pulls. It is the same on each core machine.
func DistributionPort(s *settings.Settings) string {
	return strconv.Itoa(s.PortFirst + portDistribution)
}

// Controller is the process of one core machine.
type Controller struct {
	settings    *settings.Settings
	log         *log.Logger
	incarnation string
	network     keepalive.Network
	replica     *distribution.Replica
	driver      *driver
	store       *storage.Store

	mu               sync.Mutex
	agents           map[string]*pullingAgent   // agents that pull or recently pulled from this controller, by incarnation
	arbiter          *failuredetector.Arbiter   // monitors the mixers that do not pull from any controller
	nodes            []failuredetector.Node     // the list as last given to the arbiter
	nodesGeneration  uint64                     // the registry's generation of that list
	peers            map[string]peer            // controllers that pull from this one, by node
	pullLoops        map[string]pullLoop        // pulls from the other controllers, by address
	lastResponse     map[string]time.Time       // send time of the last pull that a controller answered, by distribution address
	persisted        map[string]registry.Vector // what a controller has persisted, by distribution address
	persistedChanged chan struct{}              // closed when persisted changes, or when the own disk holds more
	contact          contact
	configSlots      chan struct{}                     // one slot for each pending configuration
	running          sync.WaitGroup                    // goroutines that use the store
	lastSubmitted    atomic.Pointer[manifest.Manifest] // the configuration that an operator last sent to this controller
	injected         InjectedFaults
	metrics          metrics
	restoredVersion  atomic.Uint64 // the version restored from disk at the start
}

// pullLoop is a running pull from another controller.
type pullLoop struct {
	stop  func()
	alive chan struct{} // buffered, capacity 1
}

// signalAlive reports that the other controller is alive. It does nothing on the zero value.
func (p pullLoop) signalAlive() {
	select {
	case p.alive <- struct{}{}:
	default:
	}
}

type peer struct {
	incarnation string
	ip          string
	lastPull    time.Time
}

// Platform is the environment that a controller runs on.
type Platform struct {
	Network keepalive.Network
	Files   vfs.FS
	Inject  InjectedFaults // for tests only
}

// New opens the store and returns the controller of this machine. While the store can't be opened, because the disk is full
// or failing, it retries for up to openTimeout.
func New(s *settings.Settings, incarnation string, l *log.Logger) (*Controller, error) {
	on := Platform{Network: keepalive.TCP{Relay: s.Relay, From: s.Node}, Files: vfs.Default}
	began := time.Now()
	for {
		c, err := NewWithPlatform(on, s, incarnation, l)
		if err == nil || time.Since(began) > openTimeout {
			return c, err
		}
		l.Error().Str("event", "open").Err(err).Msg("")
		time.Sleep(openRetryInterval)
	}
}

// A store that can't be opened is retried every openRetryInterval, for openTimeout.
const (
	openTimeout       = 20 * time.Second
	openRetryInterval = 500 * time.Millisecond
)

// NewWithPlatform opens the store and returns a controller that runs on the given platform.
func NewWithPlatform(on Platform, s *settings.Settings, incarnation string, l *log.Logger) (*Controller, error) {
	now := time.Now()
	c := &Controller{settings: s, log: l, incarnation: incarnation, agents: map[string]*pullingAgent{}, peers: map[string]peer{},
		pullLoops: map[string]pullLoop{}, lastResponse: map[string]time.Time{}, persisted: map[string]registry.Vector{},
		persistedChanged: make(chan struct{}), configSlots: make(chan struct{}, maxPendingConfigs),
		network: on.Network, injected: on.Inject,
		metrics: metrics{callLog: logbound.Limiter{PerSecond: refusedCallLines},
			foreignLog: logbound.Limiter{PerSecond: foreignMessageLines}, calls: map[callOutcome]uint64{}}}
	c.arbiter = failuredetector.NewArbiter(failuredetector.ArbiterConfig{Period: s.BeatPeriod})
	c.replica = distribution.NewReplica(registry.New(registry.Config{Name: incarnation, Period: s.BeatPeriod, Start: now}))
	c.replica.SetIsolated(true) // until a majority has been reached
	store, saved, lost, err := storage.OpenOn(on.Files, s.DataDir)
	if err != nil {
		return nil, errors.Wrap(err, "storage")
	}
	cold := s.ColdStart && !store.HadDamage()
	if lost != nil {
		l.Error().Str("event", "disk-lost").Str("folder", s.DataDir).Err(lost).Msg("")
	}
	c.store = store
	config := consensus.Config{ID: consensus.ID(randomID()), Addr: c.internalAddr(s.IP, portConsensus), Zone: s.Zone, Region: s.Region,
		Counts: s.CountsLoss, Losses: s.MachineLosses, Zones: s.ZoneLosses, Regions: s.RegionLosses, ColdStart: cold,
		Seed: uint64(now.UnixNano())}
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return nil, errors.Wrapf(err, "seed %s", seed)
		}
		config.Seeds = append(config.Seeds, c.internalAddr(host, portConsensus))
	}
	c.driver = &driver{node: consensus.New(config, saved, 0), store: store, log: l, start: now,
		inbox: make(chan consensus.Message, inboxSize), shutdown: make(chan struct{}), handedOver: make(chan struct{}),
		ackUnsynced: on.Inject.AckUnsynced, metrics: &c.metrics,
		calls: make(chan localCall, 64), writes: make(chan consensus.Write, 4), saved: make(chan uint64, 4),
		diskJobs:    make(chan func() error, 1),
		onCommitted: c.applyConfiguration, onEpochChange: c.applyMembers}
	c.replica.SetContactCheck(c.inContact)
	c.restore()
	l.Info().Str("event", "start").Str("id", string(c.driver.node.ID())).Bool("remembers", saved != nil).Bool("cold", cold).Msg("")
	return c, nil
}

func randomID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (c *Controller) internalAddr(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(c.settings.PortFirst+port))
}

// handoverTimeout bounds how long a controller that shuts down keeps running to hand over its duties.
const handoverTimeout = 2 * time.Second

// Run serves until shutdown ends and the controller has handed over its duties.
func (c *Controller) Run(shutdown context.Context) error {
	ctx, stop := context.WithCancel(context.WithoutCancel(shutdown))
	defer stop()
	var listeners [4]net.Listener
	for i, addr := range []string{c.internalAddr(c.settings.IP, portConsensus), c.internalAddr(c.settings.IP, portDistribution),
		c.internalAddr(c.settings.IP, portCalls), c.settings.Control} {
		ln, err := c.network.Listen(addr)
		if err != nil {
			return errors.Wrapf(err, "listen %s", addr)
		}
		listeners[i] = ln
	}
	c.driver.transport = newTransport(ctx, c.network)
	ended := make(chan error, 2)
	go receiveMessages(ctx, listeners[0], c.driver.inbox, c.driver.transport.peerAlive)
	distributionServer := distribution.Server{Replica: c.replica, OnRequest: c.handlePull}
	go distributionServer.Serve(ctx, listeners[1])
	go c.serveCalls(ctx, listeners[2])
	go exporter.ServeIfConfigured(ctx, c.log, c.settings.IP, c.settings.Metrics, c.emitMetrics)
	c.running.Go(func() { c.maintain(ctx) })
	c.running.Go(func() { c.persistLoop(ctx) })
	c.running.Go(func() { c.driver.writeLoop(ctx) })
	c.running.Go(func() {
		if err := c.driver.run(ctx); err != nil {
			ended <- err
		}
	})
	server := newServer(c.handler())
	connections := connlimit.New(c.settings.MaxClientConns())
	connections.Bind(server)
	go func() { ended <- errors.Wrap(server.Serve(connections.Listen(listeners[3])), "serve, control") }()
	c.log.Info().Str("event", "serving").Str("control", c.settings.Control).Msg("")
	select {
	case err := <-ended:
		return err
	case <-shutdown.Done():
	}
	close(c.driver.shutdown)
	select {
	case err := <-ended:
		return err
	case <-c.driver.handedOver:
	case <-time.After(min(handoverTimeout, c.settings.Grace/2)):
	}
	c.log.Info().Str("event", "left").Msg("")
	finishCalls(server, c.settings.Grace)
	return nil
}

// finishCalls waits for the calls in flight, each of which is answered within callTimeout, and closes the server. A call that is
// cut off instead may have taken effect without an acknowledgement.
func finishCalls(server *http.Server, grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), min(lastCallsTimeout, grace/4))
	defer cancel()
	server.Shutdown(ctx)
	server.Close()
}

// Close waits for the goroutines that use the store and closes it. It must be called after Run has returned.
func (c *Controller) Close() error {
	c.running.Wait()
	return c.store.Close()
}

// lastCallsTimeout is how long calls in flight may take once everything is handed over.
const lastCallsTimeout = callTimeout + 100*time.Millisecond

// maintain runs the periodic work: contact, expiry of the list and heartbeats for monitored mixers.
func (c *Controller) maintain(ctx context.Context) {
	t := time.NewTicker(c.settings.BeatPeriod / 6)
	defer t.Stop()
	contactTicker := time.NewTicker(contactInterval)
	defer contactTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-contactTicker.C: // only until there is contact: fronts may have no configuration to serve with
			if c.renewContact(ctx); c.inContact() {
				contactTicker.Stop()
			}
			continue
		case <-t.C:
		}
		isolated := !c.renewContact(ctx)
		c.replica.WithRegistry(func(r *registry.Registry) bool {
			c.adoptOrphans(r, isolated)
			changed := c.heartbeatMonitored(r, isolated)
			return r.Tick(time.Now()) || changed
		})
		c.replica.SetIsolated(!c.inContact())
	}
}

// applyConfiguration applies a configuration that is in force.
func (c *Controller) applyConfiguration(d consensus.Document) {
	m, err := c.parseDocument(d)
	if err != nil {
		c.log.Error().Str("event", "configuration").Uint64("version", d.Version).Err(err).Msg("")
		return
	}
	if c.replica.SetDocument(m) {
		c.log.Info().Str("event", "configuration").Uint64("version", d.Version).Int("routes", len(m.Routes)).Msg("")
	}
}

// parseDocument returns the parsed form of a committed configuration. The controller that received it from the operator has
// parsed it already.
func (c *Controller) parseDocument(d consensus.Document) (*manifest.Manifest, error) {
	if m := c.lastSubmitted.Load(); m != nil && m.Version == d.Version && xxh3.Hash(m.Raw) == d.Digest {
		return m, nil
	}
	return unpackManifest(d.Body)
}

func unpackManifest(packed []byte) (*manifest.Manifest, error) {
	raw, err := manifest.Unpack(packed, maxConfigBytes)
	if err != nil {
		return nil, err
	}
	return manifest.Parse(raw)
}

// applyMembers starts a pull from each other member, stops those from former members, and publishes the controllers'
// locations to the agents.
func (c *Controller) applyMembers(e consensus.Epoch) {
	var controllers []distribution.Location
	wanted := map[string]bool{}
	for _, m := range e.Members {
		host, _, err := net.SplitHostPort(m.Addr)
		if err != nil {
			continue
		}
		addr := c.distributionAddr(host)
		controllers = append(controllers, distribution.Location{Addr: addr, Zone: m.Zone, Region: m.Region})
		if host != c.settings.IP {
			wanted[addr] = true
		}
	}
	c.replica.SetSystem(uint64(e.System))
	c.replica.SetControllers(controllers)
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, p := range c.pullLoops {
		if !wanted[addr] {
			p.stop()
			delete(c.pullLoops, addr)
			delete(c.lastResponse, addr)
			delete(c.persisted, addr)
		}
	}
	for addr := range wanted {
		if _, pulling := c.pullLoops[addr]; !pulling {
			ctx, stop := context.WithCancel(c.driver.transport.ctx)
			alive := make(chan struct{}, 1)
			c.pullLoops[addr] = pullLoop{stop, alive}
			p := distribution.Puller{Replica: c.replica, Node: c.settings.Node, Incarnation: c.incarnation, IP: c.settings.IP,
				Kind: "controller", Peer: true, PrepareRequest: c.attachWatchReport,
				Choose:      func(int) string { return addr },
				OnResponse:  func(_ string, _ *distribution.PullResponse, sent time.Time) { c.recordResponse(addr, sent) },
				OnPersisted: c.recordPersisted, Network: c.network, Alive: alive}
			go p.Run(ctx)
		}
	}
}

func (c *Controller) handlePull(a *distribution.PullRequest) {
	switch a.Kind {
	case "agent":
		c.recordAgentPull(a)
	case "controller":
		e := c.driver.currentEpoch()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.expireContact(e)
		c.peers[a.Node] = peer{a.Life, a.IP, time.Now()}
		c.pullLoops[c.distributionAddr(a.IP)].signalAlive()
		if a.Word != nil {
			c.arbiter.ReceiveReport(time.Now(), a.Node, *a.Word)
		} else {
			c.arbiter.ReceiveReport(time.Now(), a.Node, failuredetector.WatchReport{})
		}
	}
}

// distributionAddr returns the address on which the controller at ip serves pulls.
func (c *Controller) distributionAddr(ip string) string {
	return net.JoinHostPort(ip, DistributionPort(c.settings))
}

// livenessTimeout is how long a process counts as present after it was last heard from.
const livenessTimeout = 5 * time.Second
