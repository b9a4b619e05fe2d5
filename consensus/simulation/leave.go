package simulation

import (
	"time"

	"peathollow/consensus"
)

// leave shuts down a process as planned: it is notified, and ends once it has handed over or the timeout has passed.
func (w *World) leave(h *host, d time.Duration) {
	w.Log("%v %s is asked to leave", w.now, h.addr)
	w.markLost(h, d+handOverTimeout)
	w.handOver(h, func() { w.down(h, d) })
}

// handOverTimeout is how long a process may continue after it was asked to leave.
const handOverTimeout = 2 * time.Second

// handOver asks a process to leave and ends it once it has handed over.
func (w *World) handOver(h *host, end func()) {
	incarnation, deadline := h.incarnation, w.now+handOverTimeout
	w.runOn(h, incarnation, func(n *consensus.Node, now time.Duration) { n.Leave(now) })
	var poll func()
	poll = func() {
		if h.incarnation != incarnation || h.node == nil {
			return
		}
		if h.node.Left() || w.now >= deadline {
			w.Log("%v %s leaves, handed over: %v", w.now, h.addr, h.node.Left())
			end()
			return
		}
		w.after(20*ms, poll)
	}
	poll()
}
