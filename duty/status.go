package duty

import (
	"cmp"
	"slices"
	"time"
)

// sendResults sends the results of the runs since the last call.
func (s *Scheduler) sendResults() {
	s.nextResults = s.now + s.settings.shortestInterval()/resultsPerInterval
	for len(s.unsent) > 0 {
		n := min(len(s.unsent), maxBatchResults)
		results := make([]Result, 0, n)
		for _, i := range s.unsent[:n] {
			t := &s.targets[i]
			if t.unsent = false; t.generation == s.generation {
				results = append(results, s.latestResult(t))
			}
		}
		if s.unsent = s.unsent[n:]; len(results) > 0 {
			s.send("", Message{Kind: Results, Results: results})
		}
	}
	s.unsent = nil
}

// latestResult returns the result of the latest known run of a target. A run after lastResult has no result yet.
func (s *Scheduler) latestResult(t *targetState) Result {
	r := t.lastResult
	if t.lastRun > t.lastResultAt {
		r = Result{Outcome: Failed}
	}
	r.Kind, r.ID, r.Age = t.kind, t.id, max(0, s.now-t.lastRun)
	return r
}

func (s *Scheduler) send(to string, m Message) {
	m.From, m.Inc, m.Instances = s.settings.Name, s.settings.Incarnation, s.settings.Instances
	s.actions.Send(to, m)
}

// Leave hands over all shares that this instance holds. After it the instance does nothing more.
func (s *Scheduler) Leave() {
	if s.stopped {
		return
	}
	delete(s.peers, s.settings.Name)
	for i := range s.shares {
		if share := &s.shares[i]; s.holdsLease(share) {
			s.handOver(i, s.preferredMember(i))
		}
	}
	s.sendResults()
	s.stopped = true
}

// preferredMember returns the member with the highest weight for a share in the current view.
func (s *Scheduler) preferredMember(i int) (name string) {
	var bestWeight uint64
	for _, member := range s.names {
		p := s.peers[member]
		if p == nil {
			continue
		}
		if weight := rendezvousWeight(p.seed, i); name == "" || weight > bestWeight {
			name, bestWeight = member, weight
		}
	}
	return name
}

// CountUndecodable counts a message that could not be decoded.
func (s *Scheduler) CountUndecodable() { s.counts.Nonsense++ }

// Counts returns the counts of events so far.
func (s *Scheduler) Counts() Counts { return s.counts }

// Status is the status of one target for operators.
type Status struct {
	Kind    string
	Target  string
	Share   int
	Holder  string        // as far as this instance knows; empty if no holder is known
	Since   time.Duration // how long this instance has held the share, if it does
	Last    time.Duration // time since the start of the latest known run; -1 for none
	Witness string        // instance that did the latest known run
	Outcome Outcome
	Took    time.Duration
	Load    string
	Due     time.Duration // time until this instance would run it, by what it knows now
	Why     string        // explains Holder
}

// Statuses returns the status of all targets, sorted by kind and name.
func (s *Scheduler) Statuses() []Status {
	var rows []Status
	for i := range s.targets {
		t := &s.targets[i]
		if t.kind < 0 {
			continue
		}
		share := &s.shares[t.share]
		row := Status{Kind: s.settings.Kinds[t.kind].Name, Target: t.name, Share: int(t.share), Last: -1, Witness: t.lastRunBy,
			Outcome: t.lastResult.Outcome, Took: t.lastResult.Took, Load: t.lastResult.Load, Due: s.nextRun(t) - s.now}
		if t.lastRunBy != "" {
			row.Last = s.now - t.lastRun
		}
		switch {
		case s.holdsLease(share):
			row.Holder, row.Since, row.Why = s.settings.Name, s.now-share.leasedSince, "leased by a majority"
		case share.promisedUntil > s.now:
			row.Holder, row.Why = share.promisedTo, "promised by this instance"
		default:
			row.Why = "no known holder; run out of lease after a long time without a known answer"
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Target, b.Target))
	})
	return rows
}
