package controlplane

import (
	"context"
	"net"
	"time"

	"peathollow/consensus"
	"peathollow/internal/invariant"
)

// A controller hands out a configuration, and a list of searchers that counts as complete, only while it is in contact: a
// majority of the members pulls from it and has recently answered its pulls, and since that became true a read through the
// primary has returned the configuration in force. What is restored from disk, and what was known before a network
// partition, may be outdated.
//
// Contact is a lease, not a state that a timer renews: each user compares it with the clock at the time of use, and a
// response counts from the moment when its request was sent. A process that did not run for a while therefore finds its
// lease expired at its first step, and responses to requests sent before the pause renew nothing.

// contactLease is how long a response to a pull proves contact, counted from when the pull was sent. Pulls are answered
// within 0.8 s, so two in a row may be late.
const contactLease = 3 * time.Second

// pullTimeout is how long a controller counts as pulling after its last pull. Each connection carries a message at least
// once a second.
const pullTimeout = 2500 * time.Millisecond

// contactInterval is how often a controller that has just started checks whether it is in contact.
const contactInterval = 50 * time.Millisecond

// contact is the state of the contact lease.
type contact struct {
	reachable  bool   // a majority was reachable at the last check
	lapses     uint64 // incremented at each loss of the majority
	confirming bool
	confirmed  bool // the configuration in force was read since the majority became reachable
}

// recordResponse records that a controller has answered a pull that was sent at the given time.
func (c *Controller) recordResponse(addr string, sent time.Time) {
	e := c.driver.currentEpoch()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireContact(e)
	if sent.After(c.lastResponse[addr]) {
		c.lastResponse[addr] = sent
	}
}

// quorumReachable reports whether a majority of the members pulls from this controller and answers its pulls.
func (c *Controller) quorumReachable() bool {
	e := c.driver.currentEpoch()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quorumReachableIn(e)
}

// quorumReachableIn is quorumReachable for the members of an epoch. The caller holds c.mu.
func (c *Controller) quorumReachableIn(e consensus.Epoch) bool {
	now := time.Now()
	pulling := c.pullingIPsLocked(now)
	return quorumByIP(e, func(_ consensus.ID, ip string) bool {
		return ip == c.settings.IP || pulling[ip] && now.Sub(c.lastResponse[c.distributionAddr(ip)]) < contactLease
	})
}

// expireContact ends contact if its lease has expired. It must run before anything renews the lease, because a configuration
// that was read before the lapse has to be read again. The caller holds c.mu.
func (c *Controller) expireContact(e consensus.Epoch) (reachable bool) {
	state := &c.contact
	if reachable = c.quorumReachableIn(e); !reachable && state.reachable {
		state.reachable, state.confirmed = false, false
		state.lapses++
		c.metrics.contactLapses.Add(1)
	}
	return reachable
}

// quorumByIP is Epoch.Quorum with members identified by the IP address of their machine. A member without a valid address
// never counts.
func quorumByIP(e consensus.Epoch, counts func(id consensus.ID, ip string) bool) bool {
	return e.Quorum(func(m consensus.Member) bool {
		ip, _, err := net.SplitHostPort(m.Addr)
		return err == nil && counts(m.ID, ip)
	})
}

// renewContact updates the contact state. Once a majority is reachable again, it starts a read of the configuration in
// force.
func (c *Controller) renewContact(ctx context.Context) (reachable bool) {
	e := c.driver.currentEpoch()
	c.mu.Lock()
	defer c.mu.Unlock()
	reachable = c.expireContact(e)
	state := &c.contact
	state.reachable = reachable
	if reachable && !state.confirmed && !state.confirming {
		state.confirming = true
		go c.confirmContact(ctx, state.lapses)
	}
	return reachable
}

// confirmContact reads the configuration in force. The read is answered only after a majority has confirmed that it promised
// nothing newer.
func (c *Controller) confirmContact(ctx context.Context, lapses uint64) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	a, err := c.callPrimary(ctx, Call{Read: true})
	known := err == nil && a.Result == consensus.OK
	if known && a.Doc.Version > 0 {
		c.applyConfiguration(a.Doc)
		known = c.version() >= a.Doc.Version
	}
	if known {
		restored := c.restoredVersion.Load()
		invariant.Check(invariant.VersionMonotonic, a.Doc.Version >= restored, "version %d is in force, the disk holds %d",
			a.Doc.Version, restored)
	}
	e := c.driver.currentEpoch()
	c.mu.Lock()
	c.contact.confirming = false
	if known && c.expireContact(e) && c.contact.reachable && c.contact.lapses == lapses {
		c.contact.confirmed = true
	}
	c.mu.Unlock()
	c.replica.SetIsolated(!c.inContact()) // wakes waiting pulls; the replica evaluates contact again when it responds
}

// inContact reports whether this controller may hand out its configuration and its list.
func (c *Controller) inContact() bool {
	e := c.driver.currentEpoch()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expireContact(e) && c.contact.confirmed || c.injected.ServeBeforeContact
}

// pullingIPs returns the addresses of the controllers that pull from this one, its own included.
func (c *Controller) pullingIPs() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pullingIPsLocked(time.Now())
}

// pullingIPsLocked is pullingIPs for a caller that holds c.mu.
func (c *Controller) pullingIPsLocked(now time.Time) map[string]bool {
	ips := map[string]bool{c.settings.IP: true}
	for _, p := range c.peers {
		if now.Sub(p.lastPull) < pullTimeout {
			ips[p.ip] = true
		}
	}
	return ips
}
