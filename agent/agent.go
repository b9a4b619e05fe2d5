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
	"peathollow/internal/settings"
	"peathollow/proxy"
	"peathollow/registry"
)

// Agent is one agent.
type Agent struct {
	set   *settings.Settings
	log   *log.Logger
	life  string
	board *distribution.Board
	heart *heart

	leaving atomic.Bool
	link    link
	proxies *proxyLives
}

// New makes an agent from what it is told.
func New(s *settings.Settings, life string, l *log.Logger) *Agent {
	return &Agent{set: s, log: l, life: life, proxies: newProxyLives(s.RetryWindow, time.Now()),
		board: distribution.NewBoard(registry.New(registry.Config{Name: life, Relay: true, Period: s.BeatPeriod, Start: time.Now()}))}
}

// Run serves until ctx ends, and for most of the time of grace after it: the proxy leaves at the same time, and what it
// still sends must follow the news.
func (t *Agent) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", proxy.AgentPort(t.set))
	if err != nil {
		return errors.Wrap(err, "listen, loopback")
	}
	all, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	s := distribution.Server{Board: t.board, Met: func(a *distribution.Ask) {
		now := time.Now()
		t.proxies.met(now, a)
		t.board.SetSlackSpent(t.proxies.slackSpent(now)) // before the answer to a new life
	}}
	go s.Serve(all, ln)
	if t.heart, err = newHeart(t, heartbeatEvery); err != nil {
		t.log.Error().Str("event", "heartbeats").Err(err).Msg("")
	}
	go t.heart.run(all)
	go figures.ServeFor(all, t.log, t.set.IP, t.set.Metrics, t.figures)
	choice := Choice{Set: t.set, Board: t.board, Seeds: seedNews(t.set)}
	p := distribution.Puller{Board: t.board, Node: t.set.Node, Life: t.life, Kind: "agent", Choose: choice.Choose, MoveOn: true, Better: choice.Better,
		Say: t.heart.say, Answered: t.link.answered, Network: keepalive.TCP{Relay: t.set.Relay, From: t.set.Node},
		Fault: func(peer string, err error) {
			t.link.faults.Add(1)
			t.log.Warn().Str("event", "link").Str("peer", peer).Err(err).Msg("")
		}}
	go p.Run(all)
	go t.tick(all)
	t.log.Info().Str("event", "serving").Msg("")
	<-ctx.Done()
	t.leaving.Store(true)
	time.Sleep(t.set.AgentEndsAfter())
	return nil
}

func (t *Agent) tick(ctx context.Context) {
	k := time.NewTicker(t.set.BeatPeriod / 2)
	defer k.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.C:
			n := 0
			t.board.With(func(r *registry.Registry) bool {
				n = distribution.CountMixers(r, t.set.RetryWindow)
				return r.Tick(time.Now())
			})
			t.board.SetMixers(n)
			t.board.SetSlackSpent(t.proxies.slackSpent(time.Now()))
		}
	}
}
