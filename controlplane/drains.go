package controlplane

import (
	"context"

	"peathollow/consensus"
	"peathollow/registry"
)

// keeps notes what news a controller's disk holds, by where it serves news.
func (c *Controller) keeps(addr string, v registry.Vector) {
	c.mu.Lock()
	c.kept[addr] = v
	c.mu.Unlock()
	c.tellKept()
}

// tellKept wakes those that wait for news to be on disks.
func (c *Controller) tellKept() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.told)
	c.told = make(chan struct{})
}

// known waits until a majority of the members holds on disk what v names. Then no cut, no loss within the tolerance and
// no loss of all power makes a searcher that was told that it may leave come back as one that is ready.
func (c *Controller) known(ctx context.Context, v registry.Vector) bool {
	for {
		c.mu.Lock()
		told := c.told
		c.mu.Unlock()
		if c.onDisks(v) || c.plant.DrainsInMemory {
			return true
		}
		select {
		case <-told:
		case <-ctx.Done():
			return false
		}
	}
}

// onDisks tells whether a majority of the members holds on disk what v names.
func (c *Controller) onDisks(v registry.Vector) bool {
	e, own := c.core.members(), c.board.Persisted()
	c.mu.Lock()
	defer c.mu.Unlock()
	return quorumByIP(e, func(id consensus.ID, ip string) bool {
		if ip == c.set.IP {
			return id == c.core.node.ID() && own.Covers(v)
		}
		return c.kept[c.newsAddr(ip)].Covers(v)
	})
}
