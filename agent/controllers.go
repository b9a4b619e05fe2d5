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

// ControllerSelector selects the controller that a distribution.Puller pulls from. It isn't safe for concurrent use: only
// that puller may call it, from one goroutine.
type ControllerSelector struct {
	Settings *settings.Settings
	Replica  *distribution.Replica
	Seeds    []string // distribution addresses of the seeds' controllers

	selectedAt time.Time // when a controller was last selected
}

// seedAddresses returns the distribution addresses of the seeds, which are configured by their control addresses.
func seedAddresses(s *settings.Settings) (addrs []string) {
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			addrs = append(addrs, net.JoinHostPort(host, controlplane.DistributionPort(s)))
		}
	}
	return addrs
}

// Choose returns the controller for an attempt. Attempts go through the controllers of this zone, of this region and then
// all others, each group in an order that depends on the node, so that agents spread over them. The seeds come last, in
// case all known controllers are gone.
func (c *ControllerSelector) Choose(attempt int) string {
	c.selectedAt = time.Now()
	locations := slices.Clone(c.Replica.Controllers())
	slices.SortFunc(locations, func(a, b distribution.Location) int {
		return cmp.Or(cmp.Compare(c.distance(a), c.distance(b)), cmp.Compare(c.hash(a.Addr), c.hash(b.Addr)))
	})
	var addrs []string
	for _, location := range locations {
		addrs = append(addrs, location.Addr)
	}
	seeds := slices.Clone(c.Seeds)
	slices.SortFunc(seeds, func(a, b string) int { return cmp.Compare(c.hash(a), c.hash(b)) })
	for _, s := range seeds {
		if !slices.Contains(addrs, s) {
			addrs = append(addrs, s)
		}
	}
	if len(addrs) == 0 {
		return ""
	}
	return addrs[attempt%len(addrs)]
}

func (c *ControllerSelector) distance(location distribution.Location) int {
	return c.Settings.DistanceTo(location.Zone)
}

// minTimeOnController is how long the agent stays on a distant controller before it tries a nearer one, so that it doesn't
// return at once to a controller that it has just left because of an error.
const minTimeOnController = 3 * time.Second

// HasBetter reports whether a controller nearer than the current one is known. Traffic between zones costs money.
func (c *ControllerSelector) HasBetter(addr string) bool {
	if time.Since(c.selectedAt) < minTimeOnController {
		return false
	}
	current, best := 3, 3
	for _, location := range c.Replica.Controllers() {
		best = min(best, c.distance(location))
		if location.Addr == addr {
			current = c.distance(location)
		}
	}
	if best < current {
		c.selectedAt = time.Now()
		return true
	}
	return false
}

// hash orders addresses differently on each node.
func (c *ControllerSelector) hash(addr string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(c.Settings.Node))
	h.Write([]byte(addr))
	return h.Sum32()
}
