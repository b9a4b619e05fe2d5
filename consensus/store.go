package consensus

import (
	"slices"
	"time"
)

// sendCopies sends the copy to all peers that lack it: at once if it is fresh, and repeatedly after a pause. Peers outside
// the in-sync set receive it too, so that they can be recruited without delay.
func (n *Node) sendCopies(fresh bool) {
	for _, id := range n.peerIDs() {
		p := n.primary.peers[id]
		resendAfter := 200 * time.Millisecond
		if !slices.Contains(n.known.InSync, id) {
			resendAfter = 2 * resendAfter
		}
		if n.holds(id, n.copy.Stamp) || !fresh && n.now-p.lastSent < resendAfter {
			continue
		}
		n.sendCopy(p)
	}
}

func (n *Node) sendCopy(p *peer) {
	if p.behindSince == never {
		p.behindSince = n.now
	}
	p.lastSent = n.now
	e := *n.known
	n.send(p.Member, Message{Kind: Store, N: n.known.N, Epoch: &e, Stamp: n.copy.Stamp, State: n.copy.State,
		Committed: n.committed.Stamp})
}

func (n *Node) onStore(m Message) {
	if m.Epoch != nil {
		n.learn(*m.Epoch)
	}
	if e := n.newerEpoch(m.N); e != nil && !n.faults.oldEpochs {
		n.reply(m, Message{Kind: Hint, Epoch: e})
		return
	}
	if n.primary != nil && !n.faults.oldEpochs {
		return // a duplicate from an earlier leadership of this node
	}
	n.markCommitted(m.Committed)
	if n.copy.Stamp.Less(m.Stamp) || n.faults.oldEpochs && n.copy.State.Revision < m.State.Revision {
		n.copy, n.dirtyCopy = Copy{m.Stamp, m.State}, true
	}
	if n.faults.ackUnsynced {
		n.reply(m, Message{Kind: Stored, N: m.N, Stamp: m.Stamp})
		return
	}
	n.replyAfterSync(m, Message{Kind: Stored, N: m.N, Stamp: n.copy.Stamp})
}

// markCommitted handles the primary's report that the copy with this stamp is committed. A stamp identifies one content.
func (n *Node) markCommitted(s Stamp) {
	if s == n.copy.Stamp {
		n.setCommitted(n.copy)
	}
}

func (n *Node) setCommitted(c Copy) {
	if n.committed.Stamp.Less(c.Stamp) {
		if c.State.Revision < n.committed.State.Revision || c.State.Doc.Version < n.committed.State.Doc.Version {
			n.recordViolation("committed copy regressed from %v to %v", n.committed.Stamp, c.Stamp)
			return
		}
		n.committed = c
	}
}

func (n *Node) onStored(m Message) {
	if n.primary == nil || n.primary.peers[m.From] == nil {
		return
	}
	p := n.primary.peers[m.From]
	if p.stamp.Less(m.Stamp) {
		p.stamp = m.Stamp
	}
	if n.holds(p.ID, n.copy.Stamp) {
		p.behindSince = never
	}
	n.tryCommit()
}

// holds reports whether a node's disk has a copy with this stamp or a later one of this leadership. A stamp of an epoch
// beyond the known one comes from another primary and proves nothing about this one's copies.
func (n *Node) holds(id ID, s Stamp) bool {
	if id == n.id {
		return !n.synced.Less(s)
	}
	p := n.primary.peers[id]
	return p != nil && p.stamp.Epoch <= n.known.N && !p.stamp.Less(s)
}

// tryCommit commits the copy once it is held by every node that may take over: the in-sync set and that of any proposed
// change, since that change may be chosen without this node learning of it.
func (n *Node) tryCommit() {
	primary := n.primary
	if primary == nil || n.violation != nil {
		return
	}
	required := union(n.known.InSync, primary.pendingInSync)
	if n.faults.forgetNext {
		required = n.known.InSync
	}
	if n.faults.ackEarly {
		required = []ID{n.id}
	}
	for _, id := range append(required, n.id) {
		if !n.holds(id, n.copy.Stamp) {
			return
		}
	}
	if !n.canAcknowledge() {
		return
	}
	if n.copy.Stamp.Less(n.committed.Stamp) {
		n.recordViolation("copy %v of the active primary is older than the committed copy %v", n.copy.Stamp, n.committed.Stamp)
		return
	}
	if n.committed.Stamp != n.copy.Stamp {
		n.setCommitted(n.copy)
		n.sendHeartbeats()
	}
	primary.ready = true
	n.answerProposals()
	n.answerReads()
	n.applyProposals()
}

// applyProposals applies all pending proposals once the state before them is committed. Together they form one revision.
func (n *Node) applyProposals() {
	if !n.primary.ready || n.committed.Stamp != n.copy.Stamp {
		return
	}
	next, changed := n.copy.State, false
	for _, c := range n.calls {
		if c.read {
			continue
		}
		var accepted bool
		next, accepted = next.apply(c.doc)
		changed = changed || accepted
	}
	if !changed {
		return
	}
	next.Revision++
	n.copy = Copy{Stamp{n.known.N, next.Revision}, next}
	n.dirtyCopy = true
	n.sendCopies(true)
}
