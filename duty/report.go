package duty

import (
	"cmp"
	"slices"
	"time"
)

// tell says what was done since the last time.
func (c *Core) tell() {
	c.batch = c.now + c.set.shortest()/sharePart
	for len(c.say) > 0 {
		n := min(len(c.say), batchMost)
		rs := make([]Result, 0, n)
		for _, i := range c.say[:n] {
			it := &c.items[i]
			if it.unsaid = false; it.gen == c.gen {
				rs = append(rs, c.result(it))
			}
		}
		if c.say = c.say[n:]; len(rs) > 0 {
			c.send("", Message{Kind: Results, Results: rs})
		}
	}
	c.say = nil
}

// result is the last word on a target. Of a duty begun since, nothing is known yet.
func (c *Core) result(it *item) Result {
	r := it.last
	if it.any > it.lastAt {
		r = Result{Outcome: Failed}
	}
	r.Kind, r.ID, r.Age = it.kind, it.id, max(0, c.now-it.any)
	return r
}

func (c *Core) send(to string, m Message) {
	m.From, m.Inc, m.Instances = c.set.Me, c.set.Inc, c.set.Instances
	c.act.Send(to, m)
}

// Leave hands on all that is held and ends: nothing is done any more.
func (c *Core) Leave() {
	if c.left {
		return
	}
	delete(c.peers, c.set.Me)
	for i := range c.shares {
		if s := &c.shares[i]; c.holds(s) {
			c.handOn(i, c.best(i))
		}
	}
	c.tell()
	c.left = true
}

// best is who looks after a share by the present view.
func (c *Core) best(i int) (name string) {
	var most uint64
	for _, n := range c.names {
		p := c.peers[n]
		if p == nil {
			continue
		}
		if w := weight(p.seed, i); name == "" || w > most {
			name, most = n, w
		}
	}
	return name
}

// Unreadable counts a message that could not even be decoded.
func (c *Core) Unreadable() { c.counts.Nonsense++ }

// Counts are what happened so far.
func (c *Core) Counts() Counts { return c.counts }

// Row is one target, as an operator sees it.
type Row struct {
	Kind    string
	Target  string
	Share   int
	Holder  string        // as far as this instance knows; empty if it knows of none
	Since   time.Duration // it has held it, where it is this instance
	Last    time.Duration // since the last duty anybody is known to have begun; -1 for none
	Witness string        // who did
	Outcome Outcome
	Took    time.Duration
	Load    string
	Due     time.Duration // till this instance would do it, by what it knows now
	Why     string
}

// Rows are all targets, by kind and name.
func (c *Core) Rows() []Row {
	var rows []Row
	for i := range c.items {
		it := &c.items[i]
		if it.kind < 0 {
			continue
		}
		s := &c.shares[it.share]
		r := Row{Kind: c.set.Kinds[it.kind].Name, Target: it.name, Share: int(it.share), Last: -1, Witness: it.who,
			Outcome: it.last.Outcome, Took: it.last.Took, Load: it.last.Load, Due: c.due(it) - c.now}
		if it.who != "" {
			r.Last = c.now - it.any
		}
		switch {
		case c.holds(s):
			r.Holder, r.Since, r.Why = c.set.Me, c.now-s.since, "leased by a majority"
		case s.promise > c.now:
			r.Holder, r.Why = s.holder, "promised by this instance"
		default:
			r.Why = "nobody known; a turn is taken once nothing was heard for long"
		}
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Target, b.Target))
	})
	return rows
}
