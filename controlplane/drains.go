package controlplane

import (
	"context"

	"peathollow/consensus"
	"peathollow/registry"
)

// recordPersisted records what part of the list a controller has persisted, by its distribution address.
func (c *Controller) recordPersisted(addr string, v registry.Vector) {
	c.mu.Lock()
	c.persisted[addr] = v
	c.mu.Unlock()
	c.notifyPersisted()
}

// notifyPersisted wakes the callers that wait for updates to be persisted.
func (c *Controller) notifyPersisted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.persistedChanged)
	c.persistedChanged = make(chan struct{})
}

// awaitPersisted waits until a majority of the members has persisted the updates in v. After that no network partition, no
// loss within the tolerance and no power loss of all machines makes a searcher whose drain was acknowledged return as a
// ready one.
func (c *Controller) awaitPersisted(ctx context.Context, v registry.Vector) bool {
	for {
		c.mu.Lock()
		changed := c.persistedChanged
		c.mu.Unlock()
		if c.persistedByQuorum(v) || c.injected.DrainsInMemory {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// persistedByQuorum reports whether a majority of the members has persisted the updates in v.
func (c *Controller) persistedByQuorum(v registry.Vector) bool {
	e, own := c.driver.currentEpoch(), c.replica.Persisted()
	c.mu.Lock()
	defer c.mu.Unlock()
	return quorumByIP(e, func(id consensus.ID, ip string) bool {
		if ip == c.settings.IP {
			return id == c.driver.node.ID() && own.Covers(v)
		}
		return c.persisted[c.distributionAddr(ip)].Covers(v)
	})
}
