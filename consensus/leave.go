package consensus

import (
	"slices"
	"time"
)

// A process that shuts down as planned hands over first: an epoch drops a backup once there are enough copies without it,
// and a primary names another in-sync member as its successor. A planned shutdown therefore never removes the only copy,
// and the other nodes need not wait for a timeout to detect it.

// Leave announces that this process is shutting down. It should keep running until Left reports true or the caller's
// timeout ends.
func (n *Node) Leave(now time.Duration) {
	n.advanceClock(now)
	n.leaving = true
	n.changeEpochIfNeeded()
	n.deliverLocal()
}

// Left reports whether the process may stop: it is neither the primary nor in sync.
func (n *Node) Left() bool {
	return n.primary == nil && !slices.Contains(n.known.InSync, n.id)
}

// handOver names a successor in the epoch that a leaving primary wants, if enough copies remain without it.
func (n *Node) handOver(want *Epoch) {
	others := slices.DeleteFunc(slices.Clone(want.InSync), func(id ID) bool { return id == n.id })
	if !n.meetsTolerance(want.Members, others) {
		return
	}
	for _, id := range n.known.InSync {
		if id != n.id && slices.Contains(others, id) && n.recruitable(id) {
			want.Primary, want.InSync = id, others
			return
		}
	}
}

// announceEpoch sends the epoch in which this node has handed over to all of its members.
func (n *Node) announceEpoch() {
	for _, m := range n.known.allMembers() {
		if m.ID != n.id {
			epoch := *n.known
			n.send(m, Message{Kind: Hint, Epoch: &epoch})
		}
	}
}
