package duty

import (
	"slices"
	"time"
)

// Shares are owned by majority leases. An instance claims a share from all instances, and each of them promises it to
// one claimant at a time. Any two majorities of one set of instances have a member in common, and that member doesn't
// promise the share again before the lease has expired by any clock. So no two instances hold a share at the same
// time, however wrong their views are.

// sendClaims claims the shares to be renewed or acquired. It runs claimsPerLease times per lease.
func (s *Scheduler) sendClaims() {
	s.nextClaim = s.now + s.settings.Lease/claimsPerLease
	var wanted []uint16
	for i := range s.shares {
		share := &s.shares[i]
		switch {
		case s.holdsLease(share):
			if to := share.preferred; to != s.settings.Name && s.shouldHandOver(share, to) {
				s.handOver(i, to)
				continue
			}
			wanted = append(wanted, uint16(i))
		case s.canClaim(share) &&
			(share.handedOverUntil > s.now || s.now-share.freeSince >= time.Duration(share.rank)*s.settings.Lease):
			wanted = append(wanted, uint16(i))
		}
	}
	s.releaseUnacquired()
	if len(wanted) == 0 {
		return
	}
	s.claimSeq++
	claim := pendingClaim{seq: s.claimSeq, sentAt: s.now, shares: wanted, votes: make([]int, len(wanted)), voters: map[string]bool{}}
	if len(s.pending) >= maxPendingClaims {
		s.pending = slices.Delete(s.pending, 0, 1)
	}
	s.pending = append(s.pending, claim)
	s.send("", Message{Kind: Claim, Seq: s.claimSeq, Shares: wanted})
	s.countVote(s.settings.Name, s.claimSeq, s.grant(s.settings.Name, s.settings.Incarnation, s.claimSeq, wanted))
}

// canClaim reports whether this instance has promised the share to no other instance.
func (s *Scheduler) canClaim(share *shareState) bool {
	return share.promisedUntil <= s.now || share.promisedTo == s.settings.Name && share.promisedIncarnation == s.settings.Incarnation
}

// shouldHandOver reports whether the share is to be handed over to its preferred member, and records the offer. A
// member that did not acquire the share is offered it again only after handOverRetryLeases: it may be in the view and
// still be unable to get a majority.
func (s *Scheduler) shouldHandOver(share *shareState, to string) bool {
	if s.now-share.leasedSince < 2*s.settings.Lease || share.lastOfferedTo == to && s.now < share.nextOffer {
		return false
	}
	share.lastOfferedTo, share.nextOffer = to, s.now+handOverRetryLeases*s.settings.Lease
	return true
}

// releaseUnacquired withdraws claims on shares that this instance did not acquire, so that another instance can.
func (s *Scheduler) releaseUnacquired() {
	var released []uint16
	for i := range s.shares {
		share := &s.shares[i]
		if !s.holdsLease(share) && share.promisedUntil > s.now && share.promisedTo == s.settings.Name {
			share.promisedUntil = 0
			share.freeSince = s.now
			released = append(released, uint16(i))
		}
	}
	if len(released) == 0 {
		return
	}
	// Grants that are still on their way must not count, because the votes behind them are released.
	for k := range s.pending {
		claim := &s.pending[k]
		for j, id := range claim.shares {
			if _, ok := slices.BinarySearch(released, id); ok {
				claim.votes[j] = -s.settings.Instances
			}
		}
	}
	s.send("", Message{Kind: Release, Seq: s.claimSeq, Shares: released})
}

// grant promises shares to a claimant and returns the granted ones.
func (s *Scheduler) grant(to string, incarnation, seq uint64, shares []uint16) (granted []uint16) {
	if s.now < s.grantsFrom {
		return nil
	}
	for _, i := range shares {
		share := &s.shares[i]
		if share.promisedUntil > s.now && (share.promisedTo != to || share.promisedIncarnation != incarnation) {
			continue
		}
		if to != s.settings.Name {
			s.discardHandOver(share)
		}
		if share.promisedTo != to || share.promisedIncarnation != incarnation {
			share.promisedSeq = 0
		}
		share.promisedTo, share.promisedIncarnation, share.promisedSeq, share.promisedUntil =
			to, incarnation, max(seq, share.promisedSeq), s.now+s.settings.promiseDuration()
		share.freeSince = share.promisedUntil
		granted = append(granted, i)
	}
	return granted
}

// discardHandOver ignores what the previous holder confirmed when it handed the share over.
func (s *Scheduler) discardHandOver(share *shareState) {
	if share.handedOverUntil == 0 {
		return
	}
	share.handedOverUntil = 0
	for _, i := range share.targets {
		s.targets[i].handedOver = false
	}
}

// countVote counts the grants of one voter for a claim. A lease starts when its claim was sent.
func (s *Scheduler) countVote(from string, seq uint64, granted []uint16) {
	k := slices.IndexFunc(s.pending, func(claim pendingClaim) bool { return claim.seq == seq })
	// A voter outside the view doesn't count: one peer could form a majority under invented names.
	if k < 0 || s.peers[from] == nil || s.pending[k].voters[from] || len(s.pending[k].voters) >= s.settings.Instances {
		return
	}
	claim := &s.pending[k]
	claim.voters[from] = true
	for _, id := range granted {
		j, ok := slices.BinarySearch(claim.shares, id)
		if !ok {
			continue
		}
		if claim.votes[j]++; claim.votes[j] >= s.settings.majority() {
			s.acquireLease(int(id), claim.sentAt)
		}
	}
}

// acquireLease starts or extends the lease of a share, counted from sentAt, when the claim was sent.
func (s *Scheduler) acquireLease(i int, sentAt time.Duration) {
	share := &s.shares[i]
	until := sentAt + s.settings.Lease
	if until <= s.now || until <= share.leasedUntil {
		return
	}
	renewal := s.holdsLease(share)
	share.leasedUntil = until
	if renewal {
		return
	}
	share.leasedSince = s.now
	s.counts.Took++
	s.actions.Record(EventRecord{Event: LeaseAcquired, Share: i})
	if sentAt > share.handedOverUntil {
		s.discardHandOver(share)
	}
	share.handedOverUntil = 0
	for _, k := range share.targets {
		s.scheduleFirstRun(&s.targets[k])
		s.schedule(k)
	}
}

// loseLease ends a lease that expired or that a clock jump invalidated.
func (s *Scheduler) loseLease(i int) {
	share := &s.shares[i]
	if share.leasedUntil == 0 {
		return
	}
	share.leasedUntil = 0
	s.counts.Lost++
	s.actions.Record(EventRecord{Event: LeaseLost, Share: i})
	s.rescheduleShare(share)
}

func (s *Scheduler) rescheduleShare(share *shareState) {
	for _, k := range share.targets {
		s.schedule(k)
	}
}

// handOver releases a share to a member together with the latest results of its targets, so that the new holder need
// not wait for a whole interval.
func (s *Scheduler) handOver(i int, to string) {
	share := &s.shares[i]
	share.leasedUntil, share.promisedUntil, share.freeSince = 0, 0, s.now
	m := Message{Kind: Release, Seq: s.claimSeq, Shares: []uint16{uint16(i)}, To: to}
	for _, k := range share.targets {
		if t := &s.targets[k]; t.lastRunCertain && t.generation == s.generation && len(m.Results) < maxBatchResults {
			m.Results = append(m.Results, s.latestResult(t))
		}
	}
	for k := range s.pending {
		if j, ok := slices.BinarySearch(s.pending[k].shares, uint16(i)); ok {
			s.pending[k].votes[j] = -s.settings.Instances
		}
	}
	s.counts.HandedOn++
	s.actions.Record(EventRecord{Event: HandedOver, Share: i, Peer: to})
	s.send("", m)
	s.rescheduleShare(share)
}

// Receive handles a message from a peer. Invalid messages are counted and have no effect.
func (s *Scheduler) Receive(m Message) {
	if err := s.validate(&m); err != nil {
		s.counts.Foreign++
		s.actions.Record(EventRecord{Event: MessageRejected, Share: -1, Peer: m.From})
		return
	}
	switch m.Kind {
	case Claim:
		if s.stopped {
			return
		}
		// A claimant that has restarted holds no lease from before, but its old process may: that promise must expire.
		s.send(m.From, Message{Kind: Grant, Seq: m.Seq, Shares: s.grant(m.From, m.Inc, m.Seq, m.Shares)})
	case Grant:
		s.countVote(m.From, m.Seq, m.Shares)
	case Release:
		if s.now < s.agesKnownFrom {
			m.To, m.Results = "", nil
		}
		for _, r := range m.Results {
			s.applyResult(m.From, r)
		}
		for _, i := range m.Shares {
			s.applyRelease(&s.shares[i], &m)
		}
	case Results:
		if s.now < s.agesKnownFrom {
			return
		}
		for _, r := range m.Results {
			s.applyResult(m.From, r)
		}
	}
}

// applyRelease ends the promise for a released share and prepares a claim if it is handed over to this instance.
func (s *Scheduler) applyRelease(share *shareState, m *Message) {
	// A release covers claims up to its sequence number. A later claim that arrived first stands, and so does its grant.
	if share.promisedUntil > s.now && share.promisedTo == m.From && share.promisedIncarnation == m.Inc &&
		m.Seq >= share.promisedSeq {
		share.promisedUntil, share.freeSince = 0, s.now
	}
	if m.To != s.settings.Name || len(m.Shares) != 1 {
		return
	}
	share.handedOverUntil = s.now + s.settings.Lease
	for _, r := range m.Results {
		if i, ok := s.byID[r.Kind][r.ID]; ok && s.targets[i].share == int32(m.Shares[0]) {
			s.targets[i].handedOver = true
		}
	}
	s.nextClaim = s.now
}

// applyResult records a result that a peer sent.
func (s *Scheduler) applyResult(from string, r Result) {
	i, ok := s.byID[r.Kind][r.ID]
	if !ok {
		s.counts.Unknown++
		return
	}
	t := &s.targets[i]
	at := s.now - r.Age
	s.counts.Heard++
	if r.Outcome == Reached || r.Outcome == Refused {
		t.lastReached = max(t.lastReached, at)
	}
	if at > t.lastRun {
		t.lastRun, t.lastRunBy, t.lastResult, t.lastResultAt, t.generation = at, from, r, at, s.generation
		s.actions.ObserveResult(t.name, r, from)
	}
}
