package consensus

// Witnesses keep epochs in one register: promised ballot, accepted ballot and accepted value, synced before any reply. A
// node answers every request under its own ID. This is safe because its record is complete since its ID was drawn, and
// only the members of an epoch are counted. The comment on round explains why this holds while members change.

func (n *Node) handleBallot(m Message) {
	if m.Kind == Prepare && m.Take && n.sticky(m.From) {
		n.reply(m, Message{Kind: Reject, Ballot: m.Ballot, Epoch: n.newerEpoch(m.N)})
		return
	}
	if m.Ballot.Less(n.vote.Promised) {
		n.reply(m, Message{Kind: Reject, Ballot: m.Ballot, Promised: n.vote.Promised, Epoch: n.newerEpoch(m.N)})
		return
	}
	n.highestRound = max(n.highestRound, m.Ballot.Round)
	if m.Ballot != n.vote.Promised {
		n.vote.Promised, n.dirtyVote = m.Ballot, true
	}
	out := Message{Kind: Promise, Ballot: m.Ballot}
	if m.Kind == Prepare {
		v := n.vote.Value
		out.Promised, out.Epoch = n.vote.Accepted, &v // Promised carries the ballot under which Epoch was accepted
	} else {
		if m.Epoch == nil {
			return
		}
		if n.vote.Accepted != m.Ballot {
			n.vote.Accepted, n.vote.Value, n.dirtyVote = m.Ballot, *m.Epoch, true
		}
		out.Kind = Accepted
	}
	if n.faults.forgetPromise {
		n.reply(m, out)
		return
	}
	if n.faults.voteForLost && m.To != n.id {
		out.Member.ID = m.To
	}
	n.replyAfterSync(m, out)
}

// sticky prevents a node that alone lost contact with the primary from unseating it. This serves stability, not safety.
func (n *Node) sticky(from ID) bool {
	if from == n.known.Primary || from == n.id {
		return false
	}
	return n.primary != nil && n.hearsQuorum(stickyPeriod) || n.primary == nil && n.now-n.primaryHeardAt < stickyPeriod
}

// newerEpoch returns the known epoch if its number is above the given one.
func (n *Node) newerEpoch(than uint64) *Epoch {
	if n.known.N <= than {
		return nil
	}
	e := *n.known
	return &e
}
