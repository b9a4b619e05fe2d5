package controlplane

import (
	"context"
	"net"
	"time"

	"peathollow/consensus"
)

// A controller hands out a configuration, and a list of searchers that may be taken for the whole, only in contact: a
// majority of the members pulls here and answers its pulls, and since that began a read through the primary has told it
// what is in force. What its disk remembers, and what it knew before a cut, may be old.

// aloneAfter is how long a controller that doesn't pull here any more, or doesn't answer, counts as in touch. Links say
// something at least once a second.
const aloneAfter = 2500 * time.Millisecond

// contactEvery is how often a controller that has just started looks whether it is in touch.
const contactEvery = 50 * time.Millisecond

// contact is what a controller knows of its standing among the members.
type contact struct {
	touch     bool   // a majority is in touch
	since     uint64 // rises with each loss of touch
	asking    bool
	confirmed bool // in touch, and what is in force was learned since
}

// answers notes that a controller has answered a pull, asked at some time.
func (h *Controller) answers(addr string, _ time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answered[addr] = time.Now()
}

// inTouch tells whether a majority of the members pulls here and answers pulls from here.
func (h *Controller) inTouch() bool {
	pulls := h.fresh()
	e := h.core.members()
	h.mu.Lock()
	defer h.mu.Unlock()
	return quorumByIP(e, func(_ consensus.ID, ip string) bool {
		at, answered := h.answered[h.newsAddr(ip)]
		return ip == h.set.IP || pulls[ip] && answered && time.Since(at) < aloneAfter
	})
}

// quorumByIP is Quorum where members are told apart by their machine's address; one without an address never counts.
func quorumByIP(e consensus.Epoch, yes func(id consensus.ID, ip string) bool) bool {
	return e.Quorum(func(m consensus.Member) bool {
		ip, _, err := net.SplitHostPort(m.Addr)
		return err == nil && yes(m.ID, ip)
	})
}

// renew follows whether this controller is in contact; in touch again, it asks what is in force.
func (h *Controller) renew(ctx context.Context) (touch bool) {
	touch = h.inTouch()
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &h.contact
	if !touch && c.touch {
		c.since++
		c.confirmed = false
	}
	c.touch = touch
	if touch && !c.confirmed && !c.asking {
		c.asking = true
		go h.confirm(ctx, c.since)
	}
	return touch
}

// confirm learns what is in force. The read is answered only after a majority said that it had promised nothing newer.
func (h *Controller) confirm(ctx context.Context, since uint64) {
	ctx, stop := context.WithTimeout(ctx, callMost)
	defer stop()
	a, err := h.call(ctx, Call{Read: true})
	known := err == nil && a.Result == consensus.OK
	if known && a.Doc.Version > 0 {
		h.committed(a.Doc)
		known = h.version() >= a.Doc.Version
	}
	h.mu.Lock()
	h.contact.asking = false
	if known && h.contact.touch && h.contact.since == since {
		h.contact.confirmed = true
	}
	confirmed := h.contact.confirmed
	h.mu.Unlock()
	if confirmed {
		h.board.SetAlone(false)
	}
}

// inContact tells whether this controller may hand out what it knows.
func (h *Controller) inContact() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.contact.confirmed || h.plant.ServeBeforeContact
}

// fresh gives the addresses of the controllers that pull here.
func (h *Controller) fresh() map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	ips := map[string]bool{h.set.IP: true}
	for _, p := range h.peers {
		if time.Since(p.at) < aloneAfter {
			ips[p.ip] = true
		}
	}
	return ips
}
