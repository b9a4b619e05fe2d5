package tender

import (
	"context"
	"hash/fnv"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"peathollow/ferry"
	"peathollow/harbour"
	"peathollow/internal/settings"
	"peathollow/quay"
	"peathollow/roster"
)

// Tender is one agent.
type Tender struct {
	set   *settings.Settings
	log   *log.Logger
	life  string
	board *ferry.Board
	since time.Time // when the link was last chosen
	heart *heart

	leaving atomic.Bool
}

// New makes an agent from what it is told.
func New(s *settings.Settings, life string, l *log.Logger) *Tender {
	return &Tender{set: s, log: l, life: life,
		board: ferry.NewBoard(roster.New(roster.Config{Name: life, Relay: true, Period: s.BeatPeriod, Start: time.Now()}))}
}

// Run serves until ctx ends, and for most of the time of grace after it: the proxy leaves at the same time, and what it
// still sends must follow the news.
func (t *Tender) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", quay.TenderPort(t.set))
	if err != nil {
		return errors.Wrap(err, "listen, loopback")
	}
	all, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	s := ferry.Server{Board: t.board}
	go s.Serve(all, ln)
	if t.heart, err = newHeart(t, heartbeatEvery); err != nil {
		t.log.Error().Str("event", "heartbeats").Err(err).Msg("")
	}
	go t.heart.run(all)
	p := ferry.Puller{Board: t.board, Node: t.set.Node, Life: t.life, Kind: "tender", Choose: t.choose, MoveOn: true, Better: t.better,
		Say: t.heart.say,
		Fault: func(peer string, err error) {
			t.log.Warn().Str("event", "link").Str("peer", peer).Err(err).Msg("")
		}}
	go p.Run(all)
	go t.tick(all)
	t.log.Info().Str("event", "serving").Msg("")
	<-ctx.Done()
	t.leaving.Store(true)
	time.Sleep(max(0, t.set.Grace-700*time.Millisecond))
	return nil
}

func (t *Tender) tick(ctx context.Context) {
	k := time.NewTicker(t.set.BeatPeriod / 2)
	defer k.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.C:
			n := 0
			t.board.With(func(r *roster.Roster) bool {
				n = ferry.CountMixers(r, t.set.RetryWindow)
				return r.Tick(time.Now())
			})
			t.board.SetMixers(n)
		}
	}
}

// choose goes through the harbours: those of this zone, this region, all others, each in an order of this machine's
// own, so that tenders spread; then the seeds, in case all that were known are gone.
func (t *Tender) choose(tried int) string {
	t.since = time.Now()
	places := slices.Clone(t.board.Core())
	slices.SortFunc(places, func(a, b ferry.Place) int {
		if d := t.far(a) - t.far(b); d != 0 {
			return d
		}
		return int(int64(t.mark(a.Addr)) - int64(t.mark(b.Addr)))
	})
	var addrs []string
	for _, p := range places {
		addrs = append(addrs, p.Addr)
	}
	var seeds []string
	for _, s := range t.set.Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			seeds = append(seeds, net.JoinHostPort(host, harbour.NewsPort(t.set)))
		}
	}
	slices.SortFunc(seeds, func(a, b string) int { return int(int64(t.mark(a)) - int64(t.mark(b))) })
	for _, s := range seeds {
		if !slices.Contains(addrs, s) {
			addrs = append(addrs, s)
		}
	}
	if len(addrs) == 0 {
		return ""
	}
	return addrs[tried%len(addrs)]
}

func (t *Tender) far(p ferry.Place) int { return t.set.Far(p.Zone) }

// settleFor is how long a link to a far harbour is kept before a nearer one is tried: one that was just left for a
// fault is not returned to at once.
const settleFor = 3 * time.Second

// better tells that a harbour nearer than the present one is known. News crosses zones at a price.
func (t *Tender) better(addr string) bool {
	if time.Since(t.since) < settleFor {
		return false
	}
	now, best := 3, 3
	for _, p := range t.board.Core() {
		best = min(best, t.far(p))
		if p.Addr == addr {
			now = t.far(p)
		}
	}
	if best < now {
		t.since = time.Now()
		return true
	}
	return false
}

func (t *Tender) mark(addr string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(t.set.Node))
	h.Write([]byte(addr))
	return h.Sum32()
}
