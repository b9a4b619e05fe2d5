package duty

import (
	"slices"
	"time"
)

// Who holds which share: leases by majority. An instance claims a share from all; each promises it to one at a time.
// Two majorities of one set of instances have a member in common, and that one does not promise the share again
// before the lease has run out by any clock: so no two hold it at once, whatever anybody believes of the others.

// claims asks for what is held, and for what should be, once every part of a lease.
func (c *Core) claims() {
	c.claim = c.now + c.set.Lease/renewPart
	var want []uint16
	for i := range c.shares {
		s := &c.shares[i]
		switch {
		case c.holds(s):
			if to := s.first; to != c.set.Me && c.handOver(s, to) {
				c.handOn(i, to)
				continue
			}
			want = append(want, uint16(i))
		case c.open(s) && (s.handed > c.now || c.now-s.unheld >= time.Duration(s.rank)*c.set.Lease):
			want = append(want, uint16(i))
		}
	}
	c.withdraw()
	if len(want) == 0 {
		return
	}
	c.seq++
	a := ask{seq: c.seq, at: c.now, shares: want, votes: make([]int, len(want)), voters: map[string]bool{}}
	if len(c.asks) >= claimsKept {
		c.asks = slices.Delete(c.asks, 0, 1)
	}
	c.asks = append(c.asks, a)
	c.send("", Message{Kind: Claim, Seq: c.seq, Shares: want})
	c.vote(c.set.Me, c.seq, c.promise(c.set.Me, c.set.Inc, c.seq, want))
}

// open tells that this instance has promised a share to nobody else.
func (c *Core) open(s *share) bool {
	return s.promise <= c.now || s.holder == c.set.Me && s.holderInc == c.set.Inc
}

// handOver tells whether a share goes to the one that is first for it now. One that did not take it when it could
// is not offered it again for long: it may be seen and yet not get a majority.
func (c *Core) handOver(s *share, to string) bool {
	if c.now-s.since < 2*c.set.Lease || s.offered == to && c.now < s.notYet {
		return false
	}
	s.offered, s.notYet = to, c.now+holdOff*c.set.Lease
	return true
}

// withdraw lets voters go that promised what this instance did not get: it may be another that can.
func (c *Core) withdraw() {
	var lost []uint16
	for i := range c.shares {
		s := &c.shares[i]
		if !c.holds(s) && s.promise > c.now && s.holder == c.set.Me {
			s.promise = 0
			s.unheld = c.now
			lost = append(lost, uint16(i))
		}
	}
	if len(lost) == 0 {
		return
	}
	// Grants that are still under way must not count: the votes they rest on are given back.
	for k := range c.asks {
		a := &c.asks[k]
		for j, sh := range a.shares {
			if _, ok := slices.BinarySearch(lost, sh); ok {
				a.votes[j] = -c.set.Instances
			}
		}
	}
	c.send("", Message{Kind: Release, Seq: c.seq, Shares: lost})
}

// promise promises shares to a claimant, and says which.
func (c *Core) promise(to string, inc, seq uint64, shares []uint16) (granted []uint16) {
	if c.now < c.mute {
		return nil
	}
	for _, i := range shares {
		s := &c.shares[i]
		if s.promise > c.now && (s.holder != to || s.holderInc != inc) {
			continue
		}
		if to != c.set.Me {
			c.unsure(s)
		}
		if s.holder != to || s.holderInc != inc {
			s.holderSeq = 0
		}
		s.holder, s.holderInc, s.holderSeq, s.promise = to, inc, max(seq, s.holderSeq), c.now+c.set.promise()
		s.unheld = s.promise
		granted = append(granted, i)
	}
	return granted
}

// unsure forgets what was handed on with a share.
func (c *Core) unsure(s *share) {
	if s.handed == 0 {
		return
	}
	s.handed = 0
	for _, i := range s.items {
		c.items[i].sure = false
	}
}

// vote counts what a voter granted of a claim. The lease runs from when the claim went out.
func (c *Core) vote(from string, seq uint64, granted []uint16) {
	k := slices.IndexFunc(c.asks, func(a ask) bool { return a.seq == seq })
	// Names that are in nobody's view would let one peer be a majority.
	if k < 0 || c.peers[from] == nil || c.asks[k].voters[from] || len(c.asks[k].voters) >= c.set.Instances {
		return
	}
	a := &c.asks[k]
	a.voters[from] = true
	for _, sh := range granted {
		j, ok := slices.BinarySearch(a.shares, sh)
		if !ok {
			continue
		}
		if a.votes[j]++; a.votes[j] >= c.set.majority() {
			c.take(int(sh), a.at)
		}
	}
}

// take begins or extends a lease by a claim that went out at a time.
func (c *Core) take(i int, asked time.Duration) {
	s := &c.shares[i]
	until := asked + c.set.Lease
	if until <= c.now || until <= s.until {
		return
	}
	held := c.holds(s)
	s.until = until
	if held {
		return
	}
	s.since = c.now
	c.counts.Took++
	c.act.Note(Note{Event: Took, Share: i})
	if asked > s.handed {
		c.unsure(s)
	}
	s.handed = 0
	for _, k := range s.items {
		c.begin(&c.items[k])
		c.plan(k)
	}
}

// lose ends a lease that ran out, or that a pause made worthless.
func (c *Core) lose(i int) {
	s := &c.shares[i]
	if s.until == 0 {
		return
	}
	s.until = 0
	c.counts.Lost++
	c.act.Note(Note{Event: Lost, Share: i})
	c.replan(s)
}

func (c *Core) replan(s *share) {
	for _, k := range s.items {
		c.plan(k)
	}
}

// handOn gives a share up, with all that is known of it: who takes it need not wait a whole interval.
func (c *Core) handOn(i int, to string) {
	s := &c.shares[i]
	s.until, s.promise, s.unheld = 0, 0, c.now
	m := Message{Kind: Release, Seq: c.seq, Shares: []uint16{uint16(i)}, To: to}
	for _, k := range s.items {
		if it := &c.items[k]; it.known && it.gen == c.gen && len(m.Results) < batchMost {
			m.Results = append(m.Results, c.result(it))
		}
	}
	for k := range c.asks {
		if j, ok := slices.BinarySearch(c.asks[k].shares, uint16(i)); ok {
			c.asks[k].votes[j] = -c.set.Instances
		}
	}
	c.counts.HandedOn++
	c.act.Note(Note{Event: HandedOn, Share: i, Peer: to})
	c.send("", m)
	c.replan(s)
}

// Heard takes a message of a peer. What cannot be believed is counted and does nothing.
func (c *Core) Heard(m Message) {
	if err := c.plausible(&m); err != nil {
		c.counts.Foreign++
		c.act.Note(Note{Event: Ignored, Share: -1, Peer: m.From})
		return
	}
	switch m.Kind {
	case Claim:
		if c.left {
			return
		}
		// Who claims after a restart holds nothing from before it, but its old process might: that has to run out.
		c.send(m.From, Message{Kind: Grant, Seq: m.Seq, Shares: c.promise(m.From, m.Inc, m.Seq, m.Shares)})
	case Grant:
		c.vote(m.From, m.Seq, m.Shares)
	case Release:
		if c.now < c.dim {
			m.To, m.Results = "", nil
		}
		for _, r := range m.Results {
			c.believe(m.From, r)
		}
		for _, i := range m.Shares {
			c.released(&c.shares[i], &m)
		}
	case Results:
		if c.now < c.dim {
			return
		}
		for _, r := range m.Results {
			c.believe(m.From, r)
		}
	}
}

func (c *Core) released(s *share, m *Message) {
	// Of claims up to that one: a later claim that came first stands, and its grant with it.
	if s.promise > c.now && s.holder == m.From && s.holderInc == m.Inc && m.Seq >= s.holderSeq {
		s.promise, s.unheld = 0, c.now
	}
	if m.To != c.set.Me || len(m.Shares) != 1 {
		return
	}
	s.handed = c.now + c.set.Lease
	for _, r := range m.Results {
		if i, ok := c.byID[r.Kind][r.ID]; ok && c.items[i].share == int32(m.Shares[0]) {
			c.items[i].sure = true
		}
	}
	c.claim = c.now
}

// believe takes one result of a peer.
func (c *Core) believe(from string, r Result) {
	i, ok := c.byID[r.Kind][r.ID]
	if !ok {
		c.counts.Unknown++
		return
	}
	it := &c.items[i]
	at := c.now - r.Age
	c.counts.Heard++
	if r.Outcome == Reached || r.Outcome == Refused {
		it.reached = max(it.reached, at)
	}
	if at > it.any {
		it.any, it.who, it.last, it.lastAt, it.gen = at, from, r, at, c.gen
		c.act.Learned(it.name, r, from)
	}
}
