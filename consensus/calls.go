package consensus

import (
	"slices"
	"time"
)

type call struct {
	id       uint64
	read     bool
	doc      Document
	seq      uint64 // a read waits until a majority has replied to this sequence number or a later one
	deadline time.Duration
}

// Propose submits a document: the register becomes d if its version is the highest, and no other body may ever have that
// version. A node that knows of an earlier acceptance acknowledges it again, and a conflicting proposal is refused for
// good. Both results are final, so they need no contact with other nodes.
func (n *Node) Propose(now time.Duration, id uint64, d Document) {
	n.advanceClock(now)
	c := call{id: id, doc: d, deadline: n.now + callTimeout}
	switch {
	case d.Version == 0 || n.violation != nil:
		n.answer(c, Refused, Document{})
	case n.answerIfDecided(c):
	case !n.acceptsCalls():
		n.answer(c, Refused, Document{})
	default:
		n.calls = append(n.calls, c)
		n.applyProposals()
	}
	n.deliverLocal()
}

// answerIfDecided answers a proposal whose result already follows from the committed state.
func (n *Node) answerIfDecided(c call) bool {
	switch n.committed.State.classify(c.doc) {
	case alreadyAccepted:
		n.answer(c, OK, Document{})
	case conflicting:
		if n.faults.anyBody {
			n.answer(c, OK, Document{})
			break
		}
		n.answer(c, Conflict, n.committed.State.Doc)
	default:
		return false
	}
	return true
}

// Read requests the committed document, at least as new as the newest one acknowledged before this call.
func (n *Node) Read(now time.Duration, id uint64) {
	n.advanceClock(now)
	c := call{id: id, read: true, deadline: n.now + callTimeout}
	if !n.acceptsCalls() {
		n.answer(c, Refused, Document{})
		return
	}
	n.primary.readSeq++ // a new query to the witnesses; heartbeats repeat it until it is answered
	c.seq = n.primary.readSeq
	n.calls = append(n.calls, c)
	n.sendHeartbeats()
	n.answerReads()
	n.deliverLocal()
}

func (n *Node) acceptsCalls() bool {
	return n.primary != nil && n.violation == nil && len(n.calls) < maxCalls
}

func (n *Node) answer(c call, r Result, d Document) {
	_, addr, _ := n.Primary()
	n.actions.Answers = append(n.actions.Answers, Answer{Call: c.id, Result: r, Doc: d, Primary: addr})
}

func (n *Node) answerProposals() {
	n.calls = slices.DeleteFunc(n.calls, func(c call) bool { return !c.read && n.answerIfDecided(c) })
}

// answerReads completes the reads for which a majority has confirmed, after they began, that it promised no ballot beyond
// this epoch. No later primary can then have acknowledged anything before they began.
func (n *Node) answerReads() {
	if n.primary == nil || !n.primary.ready || n.violation != nil {
		return
	}
	n.calls = slices.DeleteFunc(n.calls, func(c call) bool {
		answered := c.read && (n.faults.blindRead || n.leadershipConfirmed(c.seq))
		if answered {
			n.answer(c, OK, n.committed.State.Doc)
		}
		return answered
	})
}

func (n *Node) leadershipConfirmed(seq uint64) bool {
	return n.known.quorum(func(id ID) bool {
		if id == n.id {
			return !n.primary.ballot.Less(n.vote.Promised)
		}
		p := n.primary.peers[id]
		return p != nil && p.confirmedSeq >= seq
	})
}

func (n *Node) expireCalls() {
	n.calls = slices.DeleteFunc(n.calls, func(c call) bool {
		expired := n.now >= c.deadline
		if expired {
			n.answer(c, Unknown, Document{})
		}
		return expired
	})
}
