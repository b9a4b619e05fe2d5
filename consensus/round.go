package consensus

import (
	"slices"
	"time"
)

// round is an attempt to change the epoch. It has two phases, after which its value is chosen. Three rules make changes of
// members safe:
//   - The first phase needs a quorum of the epoch that is the highest among its replies (Members and Prev).
//   - A new value is always the child of an epoch known to be chosen. A highest value that is not known to be chosen is
//     proposed again unchanged and so becomes known. At most one epoch is therefore chosen per number, and the chosen
//     epochs form a chain.
//   - A child of (M, M) is (M, M) or (M2, M); a child of (M2, M) is (M2, M) or (M2, M2). A node that still uses the older
//     set therefore finds, in any majority of it, a member that accepted the newer one.
type round struct {
	ballot          Ballot
	takeover        bool
	phase           Kind // Prepare or Accept
	startedAt       time.Duration
	requiredToken   uint64 // the write that persists the ballot; nothing is sent before it is synced
	sentAt          time.Duration
	promised        map[ID]bool
	accepted        map[ID]bool
	highestAccepted Ballot // under which the highest value seen was accepted
	value           Epoch
	ownValue        bool // value was created by this round, not proposed again
	participants    []Member
}

// startRound begins a round under a new ballot. The node first promises the ballot to itself and syncs that promise before
// it sends the ballot to any other node. A later incarnation therefore starts above it, and a ballot never stands for two
// values.
func (n *Node) startRound(takeover bool) {
	n.highestRound++
	r := &round{ballot: Ballot{n.highestRound, n.id}, takeover: takeover, phase: Prepare, startedAt: n.now,
		promised: map[ID]bool{}, accepted: map[ID]bool{}, value: *n.known}
	n.round = r
	if !n.faults.reuseBallots {
		n.vote.Promised, n.dirtyVote = r.ballot, true
		r.requiredToken = n.pendingToken()
	}
	n.addParticipants(n.known)
	n.addParticipants(&n.vote.Value)
	n.sendRound()
}

// addParticipants adds the members of an epoch to the nodes that the round queries.
func (n *Node) addParticipants(e *Epoch) {
	for _, m := range e.allMembers() {
		if memberIndex(n.round.participants, m.ID) < 0 {
			n.round.participants = append(n.round.participants, m)
		}
	}
}

func (n *Node) sendRound() {
	r := n.round
	if n.savedToken < r.requiredToken {
		return
	}
	r.sentAt = n.now
	done := r.promised
	if r.phase == Accept {
		done = r.accepted
	}
	for _, to := range slices.Clone(r.participants) {
		if done[to.ID] {
			continue
		}
		m := Message{Kind: r.phase, Ballot: r.ballot, Take: r.takeover, N: n.known.N}
		if r.phase == Accept {
			v := r.value
			m.Epoch = &v
		}
		n.send(to, m)
	}
}

func (n *Node) tickRound() {
	r := n.round
	switch {
	case r == nil:
	case n.now-r.startedAt > roundTimeout:
		n.abandonRound()
	case n.now-r.sentAt >= resendInterval:
		n.sendRound()
	}
}

// abandonRound gives up the round. Its value may still be chosen by another node's round that finds it.
func (n *Node) abandonRound() {
	n.round = nil
	n.takeoverAt = max(n.takeoverAt, n.now+n.jitter(150*time.Millisecond, 300*time.Millisecond))
}

func (n *Node) jitter(minimum, spread time.Duration) time.Duration {
	return minimum + time.Duration(n.rng.Int64N(int64(spread)))
}

func (n *Node) onRoundReply(m Message) {
	if m.Member.ID != "" && n.faults.voteForLost {
		m.From = m.Member.ID
	}
	r := n.round
	if m.Kind == Reject && m.Epoch != nil {
		n.learn(*m.Epoch)
	}
	if r == nil || n.round != r || m.Ballot != r.ballot {
		return
	}
	switch {
	case m.Kind == Reject:
		n.highestRound = max(n.highestRound, m.Promised.Round)
		if r.ballot.Less(m.Promised) {
			n.abandonRound()
		}
	case m.Kind == Promise && r.phase == Prepare && m.Epoch != nil:
		n.onPromise(m)
	case m.Kind == Accepted && r.phase == Accept:
		r.accepted[m.From] = true
		if r.value.quorum(func(id ID) bool { return r.accepted[id] }) {
			n.onChosen()
		}
	}
}

func (n *Node) onPromise(m Message) {
	r := n.round
	r.promised[m.From] = true
	if r.highestAccepted.Less(m.Promised) {
		r.highestAccepted, r.value = m.Promised, *m.Epoch
	}
	if m.Promised != (Ballot{}) {
		before := len(r.participants)
		n.addParticipants(m.Epoch)
		if len(r.participants) > before {
			n.sendRound()
		}
	}
	if r.highestAccepted == (Ballot{}) || !r.value.quorum(func(id ID) bool { return r.promised[id] }) {
		return
	}
	n.finishPrepare()
}

// finishPrepare ends the first phase and selects the value for the second.
func (n *Node) finishPrepare() {
	r := n.round
	if r.value.N < n.known.N {
		n.abandonRound() // other nodes have moved to a newer epoch meanwhile
		return
	}
	if r.value.equal(n.known) {
		n.chooseValue()
		if n.round == nil {
			return
		}
	}
	r.phase = Accept
	n.addParticipants(&r.value)
	n.sendRound()
}

// chooseValue replaces the chosen epoch by the change that this node wants. Without a change the epoch is proposed again,
// which lifts it above the ballots of nodes whose rounds failed.
func (n *Node) chooseValue() {
	r := n.round
	switch {
	case n.primary != nil:
		r.value = n.desiredEpoch()
		if r.value.N > n.known.N {
			n.primary.pendingInSync = union(n.primary.pendingInSync, r.value.InSync)
		}
	case r.takeover && (slices.Contains(n.known.InSync, n.id) || n.faults.takeOutside) && !n.diskStalled(dropTimeout):
		r.value = *n.known
		r.value.N++
		r.value.Primary = n.id
		r.value.InSync = n.takeoverInSync(r)
	default:
		n.abandonRound()
		return
	}
	r.ownValue = r.value.N > n.known.N
}

// takeoverInSync returns the in-sync set for a takeover: the responsive members of the old set if they satisfy the
// tolerance, otherwise the whole old set. Keeping unresponsive members does not slow anything down, since nothing may be
// committed below the required copies anyway, and it preserves their right to take over while they hold everything that
// was committed.
func (n *Node) takeoverInSync(r *round) []ID {
	var responsive []ID
	for _, id := range n.known.InSync {
		if id == n.id || r.promised[id] {
			responsive = append(responsive, id)
		}
	}
	if n.faults.takeOutside {
		responsive = union(responsive, []ID{n.id})
	}
	if n.faults.dropBelow || n.meetsTolerance(n.known.Members, responsive) {
		return responsive
	}
	return n.known.InSync
}

func (n *Node) onChosen() {
	r := n.round
	n.round = nil
	wasPrimary, previous := n.primary != nil, n.known.Primary
	n.learn(r.value)
	if !n.known.equal(&r.value) {
		return
	}
	switch {
	case wasPrimary && n.primary == nil:
		n.announceEpoch()
	case n.primary != nil:
		n.primary.ballot = r.ballot
		n.sendHeartbeats()
		n.tryCommit()
		n.changeEpochIfNeeded()
	case !wasPrimary && r.ownValue && r.takeover:
		n.becomePrimary(r.ballot, previous)
	case !wasPrimary && r.takeover:
		n.takeoverAt = n.now // the unfinished epoch is settled; now propose the takeover
	}
}

// takeoverDelay returns how long to wait for a silent primary before a takeover.
func (n *Node) takeoverDelay() time.Duration {
	if n.known.Primary == n.id {
		return n.jitter(50*time.Millisecond, takeoverJitter)
	}
	rank := max(0, slices.Index(n.known.InSync, n.id))
	return takeoverTimeout + takeoverRankDelay*time.Duration(min(rank, 2)) + n.jitter(0, takeoverJitter)
}

func (n *Node) tickTakeover() {
	if n.primary != nil || n.round != nil || n.now < n.takeoverAt || n.diskStalled(dropTimeout) || n.leaving {
		return
	}
	if slices.Contains(n.known.InSync, n.id) || slices.Contains(n.vote.Value.InSync, n.id) ||
		n.faults.takeOutside && n.known.N > 0 {
		n.startRound(true)
	}
}
