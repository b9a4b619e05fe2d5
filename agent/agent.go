package agent

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"peathollow/distribution"
	"peathollow/internal/figures"
	"peathollow/internal/keepalive"
	"peathollow/internal/periodic"
	"peathollow/internal/settings"
	"peathollow/proxy"
	"peathollow/registry"
	"peathollow/retrybudget"
)

// Agent is one agent.
type Agent struct {
	set   *settings.Settings
	log   *log.Logger
	life  string
	board *distribution.Replica
	heart *heart

	leaving atomic.Bool
	link    link
	proxies *proxyLives
}

// New makes an agent from what it is told.
func New(s *settings.Settings, life string, l *log.Logger) *Agent {
	return &Agent{set: s, log: l, life: life, proxies: newProxyLives(retrybudget.ChargeLifetime(s.RetryWindow), time.Now()),
		board: distribution.NewReplica(registry.New(registry.Config{Name: life, Relay: true, Period: s.BeatPeriod, Start: time.Now()}))}
}

// Run serves until ctx ends, and for most of the time of grace after it: the proxy leaves at the same time, and what it
// still sends must follow the news.
func (a *Agent) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", proxy.AgentAddress(a.set))
	if err != nil {
		return errors.Wrap(err, "listen, loopback")
	}
	all, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	s := distribution.Server{Replica: a.board, OnRequest: func(ask *distribution.PullRequest) {
		now := time.Now()
		a.proxies.met(now, ask)
		a.board.SetSlackSpent(a.proxies.slackSpent(now)) // before the answer to ask new life
	}}
	go s.Serve(all, ln)
	if a.heart, err = newHeart(a, heartbeatEvery); err != nil {
		a.log.Error().Str("event", "heartbeats").Err(err).Msg("")
	}
	go a.heart.run(all)
	go figures.ServeFor(all, a.log, a.set.IP, a.set.Metrics, a.figures)
	choice := Choice{Set: a.set, Board: a.board, Seeds: seedNews(a.set)}
	p := distribution.Puller{Replica: a.board, Node: a.set.Node, Incarnation: a.life, Kind: "agent", Choose: choice.Choose, LeaveIsolated: true, HasBetter: choice.Better,
		PrepareRequest: a.heart.say, OnResponse: a.link.answered, Network: keepalive.TCP{Relay: a.set.Relay, From: a.set.Node},
		OnError: func(peer string, err error) {
			a.link.faults.Add(1)
			a.log.Warn().Str("event", "link").Str("peer", peer).Err(err).Msg("")
		}}
	go p.Run(all)
	go a.tick(all)
	a.log.Info().Str("event", "serving").Msg("")
	<-ctx.Done()
	a.leaving.Store(true)
	time.Sleep(a.set.AgentEndsAfter())
	return nil
}

func (a *Agent) tick(ctx context.Context) {
	periodic.Each(ctx, a.set.BeatPeriod/2, func() {
		n := 0
		a.board.WithRegistry(func(r *registry.Registry) bool {
			n = distribution.CountMixers(r, retrybudget.ChargeLifetime(a.set.RetryWindow))
			return r.Tick(time.Now())
		})
		a.board.SetMixerCount(n)
		a.board.SetSlackSpent(a.proxies.slackSpent(time.Now()))
	})
}
