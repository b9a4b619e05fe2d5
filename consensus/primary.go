package consensus

import (
	"maps"
	"slices"
	"time"
)

// primaryState is the state of an active primary. A node becomes one only through a round of its current incarnation, even
// if the epoch already names it: whatever an earlier incarnation proposed without completing must be settled first.
type primaryState struct {
	startedAt     time.Duration
	firstEpoch    uint64 // the first epoch of this leadership; it also owns all later ones up to the known epoch
	ballot        Ballot // under which the known epoch was chosen, or a lower one
	ready         bool   // the copy that the leadership started with is committed, so that calls may be answered
	renewBallot   bool   // a witness promised a higher ballot
	pendingInSync []ID   // members of the in-sync sets of proposed children of the known epoch; one may be chosen unnoticed
	peers         map[ID]*peer
	readSeq       uint64
	heartbeatAt   time.Duration
}

// peer is the primary's view of a member, or of a node that wants to become one.
type peer struct {
	Member
	lastHeard    time.Duration // when the newest heartbeat that it replied to was sent
	lastJoin     time.Duration // when its newest Join arrived
	knownEpoch   uint64
	stamp        Stamp // of the copy on its disk
	confirmedSeq uint64
	stalled      bool
	leaving      bool          // its process is shutting down as planned
	behindSince  time.Duration // when it began to lack the current copy; never if it has it
	lastSent     time.Duration // when the copy was last sent to it
}

func (n *Node) becomePrimary(ballot Ballot, previous ID) {
	n.primary = &primaryState{startedAt: n.now, firstEpoch: n.known.N, ballot: ballot, peers: map[ID]*peer{}}
	n.resetPeersForEpoch()
	if p := n.primary.peers[previous]; p != nil {
		p.lastHeard = max(n.primaryHeardAt, n.now-takeoverTimeout) // it has been silent for some time already
	}
	if !n.faults.noStamp {
		n.copy.Stamp = Stamp{n.known.N, n.copy.State.Revision}
		n.dirtyCopy = true
	}
	if n.faults.trustOwn {
		n.setCommitted(n.copy)
		n.primary.ready = true
	}
	n.sendHeartbeats()
	n.sendCopies(true)
}

// stepDown ends this node's leadership. Pending proposals may or may not be committed later.
func (n *Node) stepDown() {
	n.primary, n.round = nil, nil
	n.takeoverAt = n.now + n.takeoverDelay()
	for _, c := range n.calls {
		n.answer(c, Unknown, Document{})
	}
	n.calls = nil
}

// resetPeersForEpoch prepares the peers for a new epoch of this primary.
func (n *Node) resetPeersForEpoch() {
	primary := n.primary
	primary.pendingInSync = nil
	for _, p := range primary.peers {
		p.confirmedSeq = 0
	}
	for _, m := range n.known.allMembers() {
		if m.ID == n.id {
			continue
		}
		if p := primary.peers[m.ID]; p == nil {
			primary.peers[m.ID] = &peer{Member: m, lastHeard: n.now, lastJoin: never, behindSince: never, lastSent: never}
		}
	}
}

func (n *Node) peerIDs() []ID { return slices.Sorted(maps.Keys(n.primary.peers)) }

func (n *Node) hearsQuorum(within time.Duration) bool {
	return n.known.quorum(func(id ID) bool {
		p := n.primary.peers[id]
		return id == n.id || p != nil && n.now-p.lastHeard < within
	})
}

func (n *Node) tickPrimary() {
	if n.primary == nil {
		return
	}
	if n.diskStalled(diskStallTimeout) || !n.hearsQuorum(quorumLossTimeout) {
		n.stepDown()
		return
	}
	n.expireJoiners()
	if n.now-n.primary.heartbeatAt >= heartbeatInterval {
		n.sendHeartbeats()
	}
	n.sendCopies(false)
	n.changeEpochIfNeeded()
}

func (n *Node) expireJoiners() {
	for _, id := range n.peerIDs() {
		p := n.primary.peers[id]
		if memberIndex(n.known.Members, id) < 0 && memberIndex(n.known.Prev, id) < 0 &&
			n.now-max(p.lastHeard, p.lastJoin) > 3*time.Second {
			delete(n.primary.peers, id)
		}
	}
}

func (n *Node) sendHeartbeats() {
	n.primary.heartbeatAt = n.now
	for _, id := range n.peerIDs() {
		p := n.primary.peers[id]
		n.sendHeartbeat(p)
		if n.now-p.lastHeard > dropTimeout { // a new disk there may know no other node, if all seeds lost their disks
			e := *n.known
			n.send(Member{Addr: p.Addr}, Message{Kind: Hint, Epoch: &e})
		}
	}
}

func (n *Node) sendHeartbeat(p *peer) {
	primary := n.primary
	m := Message{Kind: Heartbeat, N: n.known.N, Ballot: primary.ballot, Seq: primary.readSeq, At: n.now,
		Committed: n.committed.Stamp}
	if p.knownEpoch != n.known.N {
		e := *n.known
		m.Epoch = &e
	}
	n.send(p.Member, m)
}

func (n *Node) onHeartbeat(m Message) {
	if m.Epoch != nil {
		n.learn(*m.Epoch)
	}
	if e := n.newerEpoch(m.N); e != nil {
		n.reply(m, Message{Kind: Hint, Epoch: e})
		return
	}
	if n.primary == nil && m.N == n.known.N && m.From == n.known.Primary {
		n.primaryHeardAt = n.now
		n.takeoverAt = n.now + n.takeoverDelay()
	}
	n.markCommitted(m.Committed)
	n.reply(m, Message{Kind: HeartbeatReply, N: m.N, Seq: m.Seq, At: m.At, OK: !m.Ballot.Less(n.vote.Promised),
		Promised: n.vote.Promised, Stamp: n.synced, Knows: n.known.N, Stalled: n.diskStalled(dropTimeout), Leaving: n.leaving,
		Member: n.self()})
}

func (n *Node) onHeartbeatReply(m Message) {
	primary := n.primary
	if primary == nil || primary.peers[m.From] == nil || m.N < primary.firstEpoch || m.N > n.known.N || m.At > n.now {
		return
	}
	p := primary.peers[m.From]
	if m.At >= p.lastHeard {
		p.lastHeard, p.stalled, p.leaving = m.At, m.Stalled, m.Leaving
		p.Member = m.Member
	}
	p.knownEpoch = max(p.knownEpoch, m.Knows)
	n.highestRound = max(n.highestRound, m.Promised.Round)
	if m.N == n.known.N {
		if m.OK {
			p.confirmedSeq = max(p.confirmedSeq, m.Seq)
		} else if primary.ballot.Less(m.Promised) && n.round == nil {
			primary.renewBallot = true
		}
	}
	n.onStored(m)
	n.answerReads()
	n.changeEpochIfNeeded()
}

// changeEpochIfNeeded starts the next change of the epoch if the desired epoch differs from the known one.
func (n *Node) changeEpochIfNeeded() {
	if n.primary == nil || n.round != nil || n.now < n.primary.startedAt {
		return
	}
	if n.primary.renewBallot || n.desiredEpoch().N > n.known.N {
		n.primary.renewBallot = false
		n.startRound(false)
	}
}

// desiredEpoch returns the epoch that the primary wants: the known one, or one step away from it.
func (n *Node) desiredEpoch() Epoch {
	want := *n.known
	want.Members = n.withReportedMembers(n.known.Members)
	want.Prev = want.Members
	if !n.known.joint() {
		if members := n.desiredMembers(want.Members); members != nil {
			want.Members = members
		}
	}
	want.InSync = n.chooseInSync(want.Members)
	for _, id := range want.InSync {
		if memberIndex(want.Members, id) < 0 { // the copy of a member that is to be removed is still needed: recruit first
			want.Members = want.Prev
			want.InSync = n.chooseInSync(want.Members)
			break
		}
	}
	if n.leaving {
		n.handOver(&want)
	}
	if n.faults.skipJoint {
		want.Prev = want.Members
	}
	if !want.equal(n.known) {
		want.N++
	}
	return want
}

// withReportedMembers fills in what members reported about themselves. At the founding only their addresses are known.
func (n *Node) withReportedMembers(ms []Member) []Member {
	out := slices.Clone(ms)
	for i, m := range out {
		if m.ID == n.id {
			out[i] = n.self()
		} else if p := n.primary.peers[m.ID]; p != nil {
			out[i] = p.Member
		}
	}
	return out
}
