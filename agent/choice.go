package agent

import (
	"cmp"
	"hash/fnv"
	"net"
	"slices"
	"time"

	"peathollow/controlplane"
	"peathollow/distribution"
	"peathollow/internal/settings"
)

// Choice says which controller to pull from, for a distribution.Puller. It is used by that one alone, from one goroutine.
type Choice struct {
	Set   *settings.Settings
	Board *distribution.Replica
	Seeds []string // where the seeds' controllers serve news

	since time.Time // when the link was last chosen
}

// seedNews gives the addresses at which the seeds serve news; they are told by those of control.
func seedNews(s *settings.Settings) (addrs []string) {
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			addrs = append(addrs, net.JoinHostPort(host, controlplane.DistributionPort(s)))
		}
	}
	return addrs
}

// Choose goes through the controllers: those of this zone, this region, all others, each in an order of this machine's
// own, so that agents spread; then the seeds, in case all that were known are gone.
func (c *Choice) Choose(tried int) string {
	c.since = time.Now()
	places := slices.Clone(c.Board.Controllers())
	slices.SortFunc(places, func(a, b distribution.Location) int {
		return cmp.Or(cmp.Compare(c.far(a), c.far(b)), cmp.Compare(c.mark(a.Addr), c.mark(b.Addr)))
	})
	var addrs []string
	for _, p := range places {
		addrs = append(addrs, p.Addr)
	}
	seeds := slices.Clone(c.Seeds)
	slices.SortFunc(seeds, func(a, b string) int { return cmp.Compare(c.mark(a), c.mark(b)) })
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

func (c *Choice) far(p distribution.Location) int { return c.Set.Far(p.Zone) }

// settleFor is how long a link to a far controller is kept before a nearer one is tried: one that was just left for a
// fault is not returned to at once.
const settleFor = 3 * time.Second

// Better tells that a controller nearer than the present one is known. News crosses zones at a price.
func (c *Choice) Better(addr string) bool {
	if time.Since(c.since) < settleFor {
		return false
	}
	now, best := 3, 3
	for _, p := range c.Board.Controllers() {
		best = min(best, c.far(p))
		if p.Addr == addr {
			now = c.far(p)
		}
	}
	if best < now {
		c.since = time.Now()
		return true
	}
	return false
}

func (c *Choice) mark(addr string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(c.Set.Node))
	h.Write([]byte(addr))
	return h.Sum32()
}
