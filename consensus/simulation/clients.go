package simulation

import (
	"fmt"
	"time"

	"github.com/zeebo/xxh3"

	"peathollow/consensus"
)

// op is one call of a client, including its retries on other machines.
type op struct {
	client     int
	read       bool
	doc        consensus.Document // proposed or read
	from, to   time.Duration
	completed  bool // with a clear result
	attempts   int
	ended      bool
	refused    bool   // another body has the same version
	minVersion uint64 // the newest version acknowledged before the call began
	timeout    time.Duration
}

type clients struct {
	lastCall            uint64
	answers             map[uint64]*op
	history             []*op
	highestProposed     uint64
	highestAcknowledged uint64 // highest version acknowledged or read
}

const clientTimeout = 5 * time.Second

// client makes one call after another and waits for each result.
func (w *World) client(id int) {
	if w.now >= w.faultsUntil {
		return
	}
	var o *op
	if w.chance(0.55) {
		o = w.startCall(id, true, consensus.Document{})
	} else {
		o = w.startCall(id, false, w.drawDocument())
	}
	var wait func()
	wait = func() {
		if !o.ended && w.now-o.from < o.timeout {
			w.after(20*ms, wait)
			return
		}
		o.ended = true
		w.after(w.randomDuration(0, 400*ms), func() { w.client(id) })
	}
	wait()
}

// drawDocument returns mostly a higher version, sometimes one that another client sends with another body, and sometimes
// an old one.
func (w *World) drawDocument() consensus.Document {
	c := &w.clients
	if len(c.history) > 0 && w.chance(0.1) {
		if o := c.history[w.rng.IntN(len(c.history))]; !o.read {
			return o.doc // repeated unchanged
		}
	}
	v := c.highestProposed + 1
	switch {
	case w.options.Scenario == Successors:
		v = max(2, c.highestProposed+uint64(w.rng.IntN(3))) - 1
	case c.highestProposed > 0 && w.chance(0.25):
		v = c.highestProposed
	case c.highestProposed > 2 && w.chance(0.1):
		v = c.highestProposed - 1
	}
	c.highestProposed = max(c.highestProposed, v)
	return document(v, fmt.Sprintf("v%d-%d", v, w.rng.IntN(1000)))
}

func (w *World) startCall(client int, read bool, d consensus.Document) *op {
	o := &op{client: client, read: read, doc: d, from: w.now, minVersion: w.clients.highestAcknowledged, timeout: clientTimeout}
	if read && !w.options.NoFaults {
		o.timeout = w.randomDuration(100*ms, clientTimeout)
	}
	w.clients.history = append(w.clients.history, o)
	w.attempt(o, w.hosts[w.rng.IntN(len(w.hosts))])
	return o
}

func (w *World) attempt(o *op, h *host) {
	if o.ended || w.now-o.from > o.timeout {
		o.ended = true
		return
	}
	if h == nil || h.node == nil {
		w.after(50*ms, func() { w.attempt(o, w.hosts[w.rng.IntN(len(w.hosts))]) })
		return
	}
	o.attempts++
	w.clients.lastCall++
	id := w.clients.lastCall
	w.clients.answers[id] = o
	w.runOn(h, h.incarnation, func(n *consensus.Node, now time.Duration) {
		if o.read {
			n.Read(now, id)
		} else {
			n.Propose(now, id, o.doc)
		}
	})
}

func (c *clients) onAnswer(w *World, h *host, a consensus.Answer) {
	o := c.answers[a.Call]
	delete(c.answers, a.Call)
	if o == nil || o.ended {
		return
	}
	switch a.Result {
	case consensus.Refused:
		w.after(w.randomDuration(5*ms, 60*ms), func() {
			next := w.hostAt(a.Primary)
			if next == nil || next == h || w.chance(0.1) {
				next = w.hosts[w.rng.IntN(len(w.hosts))]
			}
			w.attempt(o, next)
		})
	case consensus.Unknown:
		// The operator repeats the call, since proposals and reads may both be retried.
		w.after(w.randomDuration(5*ms, 60*ms), func() { w.attempt(o, w.hosts[w.rng.IntN(len(w.hosts))]) })
	case consensus.Conflict:
		o.ended, o.completed, o.refused, o.to = true, true, true, w.now
	case consensus.OK:
		o.ended, o.completed, o.to = true, true, w.now
		if !o.read {
			w.checkAcknowledgedBody(o)
		}
		if o.read {
			o.doc = a.Doc
			w.checkRead(o)
		}
		c.highestAcknowledged = max(c.highestAcknowledged, o.doc.Version)
		w.Log("%v %s answers %+v %d", w.now, h.addr, a.Result, o.doc.Version)
	}
}

func document(version uint64, body string) consensus.Document {
	return consensus.Document{Version: version, Digest: xxh3.HashString(body), Body: []byte(body)}
}
