package agent

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"peathollow/distribution"
	"peathollow/internal/exporter"
	"peathollow/internal/keepalive"
	"peathollow/internal/periodic"
	"peathollow/internal/settings"
	"peathollow/proxy"
	"peathollow/registry"
	"peathollow/retrybudget"
)

// Agent relays the searcher list and the configuration from a controller to the proxy on the same machine.
type Agent struct {
	settings    *settings.Settings
	log         *log.Logger
	incarnation string
	replica     *distribution.Replica
	heartbeats  *heartbeater

	leaving atomic.Bool
	link    linkStats
	proxies *proxyIncarnations
}

// New returns an agent with the given settings and name of its incarnation. It does nothing until Run is called.
func New(s *settings.Settings, incarnation string, l *log.Logger) *Agent {
	return &Agent{settings: s, log: l, incarnation: incarnation,
		proxies: newProxyIncarnations(retrybudget.ChargeLifetime(s.RetryWindow), time.Now()),
		replica: distribution.NewReplica(registry.New(
			registry.Config{Name: incarnation, Relay: true, Period: s.BeatPeriod, Start: time.Now()}))}
}

// Run serves until ctx ends and for most of the grace period after that: the proxy shuts down at the same time, and the
// requests that it still sends need current data.
func (a *Agent) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", proxy.AgentAddress(a.settings))
	if err != nil {
		return errors.Wrap(err, "listen for the proxy on loopback")
	}
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	s := distribution.Server{Replica: a.replica, OnRequest: func(request *distribution.PullRequest) {
		now := time.Now()
		a.proxies.recordPull(now, request)
		a.replica.SetSlackSpent(a.proxies.slackSpent(now)) // before the response to a new incarnation is built
	}}
	go s.Serve(serveCtx, ln)
	if a.heartbeats, err = newHeartbeater(a, heartbeatInterval); err != nil {
		a.log.Error().Str("event", "heartbeats").Err(err).Msg("")
	}
	go a.heartbeats.run(serveCtx)
	go exporter.ServeIfConfigured(serveCtx, a.log, a.settings.IP, a.settings.Metrics, a.emitMetrics)
	selector := ControllerSelector{Settings: a.settings, Replica: a.replica, Seeds: seedAddresses(a.settings)}
	p := distribution.Puller{Replica: a.replica, Node: a.settings.Node, Incarnation: a.incarnation, Kind: "agent",
		Choose: selector.Choose, LeaveIsolated: true, HasBetter: selector.HasBetter,
		PrepareRequest: a.heartbeats.addToRequest, OnResponse: a.link.recordResponse,
		Network: keepalive.TCP{Relay: a.settings.Relay, From: a.settings.Node},
		OnError: func(peer string, err error) {
			a.link.faults.Add(1)
			a.log.Warn().Str("event", "link").Str("peer", peer).Err(err).Msg("")
		}}
	go p.Run(serveCtx)
	go a.runTicks(serveCtx)
	a.log.Info().Str("event", "serving").Msg("")
	<-ctx.Done()
	a.leaving.Store(true)
	time.Sleep(a.settings.AgentExitTime())
	return nil
}

func (a *Agent) runTicks(ctx context.Context) {
	periodic.Run(ctx, a.settings.BeatPeriod/2, func() {
		mixers := 0
		a.replica.WithRegistry(func(r *registry.Registry) bool {
			mixers = distribution.CountMixers(r, retrybudget.ChargeLifetime(a.settings.RetryWindow))
			return r.Tick(time.Now())
		})
		a.replica.SetMixerCount(mixers)
		a.replica.SetSlackSpent(a.proxies.slackSpent(time.Now()))
	})
}
