package controlplane

import (
	"context"
	"net"
	"time"

	"peathollow/consensus"
	"peathollow/internal/invariant"
)

// A controller hands out a configuration, and a list of searchers that may be taken for the whole, only in contact: a
// majority of the members pulls here and has lately answered its pulls, and since that began a read through the primary has
// told it what is in force. What its disk remembers, and what it knew before a cut, may be old.
//
// Contact is a lease, not a state that a timer renews: whoever needs it looks at the clock then, and an answer counts from
// when its question was sent. A process that did not run for a while finds it over at its first step, and what was asked
// before renews nothing.

// contactLease is how long an answer to a pull proves contact, from when the pull was sent. Pulls are answered within
// 0.8 s, so that two in a row may be late.
const contactLease = 3 * time.Second

// pullsFor is how long a controller that pulls here counts as one that does. Links say something at least once a second.
const pullsFor = 2500 * time.Millisecond

// contactEvery is how often a controller that has just started looks whether it is in touch.
const contactEvery = 50 * time.Millisecond

// contact is what a controller knows of its standing among the members.
type contact struct {
	touch     bool   // a majority was in touch when that was last looked at
	since     uint64 // rises with each loss of touch
	asking    bool
	confirmed bool // what is in force was learned since
}

// answers notes that a controller has answered a pull, asked at some time.
func (c *Controller) answers(addr string, asked time.Time) {
	e := c.core.members()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noticeLapse(e)
	if asked.After(c.answered[addr]) {
		c.answered[addr] = asked
	}
}

// inTouch tells whether a majority of the members pulls here and answers pulls from here.
func (c *Controller) inTouch() bool {
	e := c.core.members()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.touches(e)
}

// touches tells so of the members of an epoch; the lock is held.
func (c *Controller) touches(e consensus.Epoch) bool {
	now := time.Now()
	pulls := c.pullers(now)
	return quorumByIP(e, func(_ consensus.ID, ip string) bool {
		return ip == c.set.IP || pulls[ip] && now.Sub(c.answered[c.newsAddr(ip)]) < contactLease
	})
}

// noticeLapse ends contact whose lease is over, before anything renews the lease; the lock is held. What was learned before
// the lapse has to be learned anew.
func (c *Controller) noticeLapse(e consensus.Epoch) (touch bool) {
	state := &c.contact
	if touch = c.touches(e); !touch && state.touch {
		state.touch, state.confirmed = false, false
		state.since++
		c.sight.lapses.Add(1)
	}
	return touch
}

// quorumByIP is Quorum where members are told apart by their machine's address; one without an address never counts.
func quorumByIP(e consensus.Epoch, yes func(id consensus.ID, ip string) bool) bool {
	return e.Quorum(func(m consensus.Member) bool {
		ip, _, err := net.SplitHostPort(m.Addr)
		return err == nil && yes(m.ID, ip)
	})
}

// renew follows whether this controller is in contact; in touch again, it asks what is in force.
func (c *Controller) renew(ctx context.Context) (touch bool) {
	e := c.core.members()
	c.mu.Lock()
	defer c.mu.Unlock()
	touch = c.noticeLapse(e)
	state := &c.contact
	state.touch = touch
	if touch && !state.confirmed && !state.asking {
		state.asking = true
		go c.confirm(ctx, state.since)
	}
	return touch
}

// confirm learns what is in force. The read is answered only after a majority said that it had promised nothing newer.
func (c *Controller) confirm(ctx context.Context, since uint64) {
	ctx, stop := context.WithTimeout(ctx, callMost)
	defer stop()
	a, err := c.call(ctx, Call{Read: true})
	known := err == nil && a.Result == consensus.OK
	if known && a.Doc.Version > 0 {
		c.committed(a.Doc)
		known = c.version() >= a.Doc.Version
	}
	if known {
		recalled := c.recalled.Load()
		invariant.Check(invariant.VersionRises, a.Doc.Version >= recalled, "version %d is in force, the disk remembers %d", a.Doc.Version, recalled)
	}
	e := c.core.members()
	c.mu.Lock()
	c.contact.asking = false
	if known && c.noticeLapse(e) && c.contact.touch && c.contact.since == since {
		c.contact.confirmed = true
	}
	c.mu.Unlock()
	c.board.SetIsolated(!c.inContact()) // wakes those that wait; what they get the board asks at that moment
}

// inContact tells whether this controller may hand out what it knows.
func (c *Controller) inContact() bool {
	e := c.core.members()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.noticeLapse(e) && c.contact.confirmed || c.plant.ServeBeforeContact
}

// fresh gives the addresses of the controllers that pull here.
func (c *Controller) fresh() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pullers(time.Now())
}

// pullers does so with the lock held.
func (c *Controller) pullers(now time.Time) map[string]bool {
	ips := map[string]bool{c.set.IP: true}
	for _, p := range c.peers {
		if now.Sub(p.at) < pullsFor {
			ips[p.ip] = true
		}
	}
	return ips
}
