package attempt

import (
	"fmt"
	"time"

	"peathollow/policy"
)

// The second stage: a scan that fits the settings and the open count goes to the module.

// Admit takes a scan that its client sent so long ago.
func (o *Life) Admit(s *Scan, ago time.Duration) {
	ty, err := o.fits(s)
	if err != nil {
		o.book.tally.Scans[Unfit]++
		s.Reply(Answer{Kind: Unfit, Fault: err})
		return
	}
	tenant, ok := o.set.Tenants[s.Query.Tenant]
	if !ok {
		tenant = -1
	}
	if s.class = ty; o.sees != nil {
		o.sees.Came(ty, tenant, len(s.Query.Parts), s.Query.Retry)
	}
	// So many are held as the settings allow; what comes beyond never reaches the module.
	if o.book.open >= o.lim.Open {
		o.book.tally.Full++
		o.refuse(s)
		return
	}
	left := s.Query.Wait - ago
	if o.stopAt > 0 {
		left = min(left, o.stopAt-o.now)
	}
	if left <= 0 {
		o.refuse(s)
		return
	}
	var work time.Duration
	for _, p := range s.Query.Parts {
		work += p.Hint
	}
	s.at = o.now
	o.book.addScan(s)
	o.m.Scan(s.id, s.no, ty, tenant, left, work, len(s.Query.Parts), s.Query.Retry)
	for _, p := range s.Query.Parts {
		o.m.Part(o.book.addPart(s, p.Shard, fmt.Sprintf("%s.%d", s.Query.ID, p.Shard)).id, s.no, p.Shard, p.Weight)
	}
}

// refuse answers a scan that never gets to the module.
func (o *Life) refuse(s *Scan) {
	if o.sees != nil {
		o.sees.Ended(Throttled, s.class, 0)
	}
	s.Reply(Answer{Kind: Throttled})
}

// fits checks what only the settings can tell.
func (o *Life) fits(s *Scan) (int, error) {
	ty, ok := o.set.Types[s.Query.Class]
	if !ok {
		return 0, fmt.Errorf("path: unknown class %.60q", s.Query.Class)
	}
	if o.set.Brain.Types[ty].Effect == policy.IdempotentByKey && s.Query.Key == "" {
		return 0, fmt.Errorf("Idempotency-Key: missing")
	}
	if _, ok := o.book.byReq[s.Query.ID]; ok {
		return 0, fmt.Errorf("Req-Id: %.60q is in hand already", s.Query.ID)
	}
	seen := make(map[int]bool, len(s.Query.Parts))
	for _, p := range s.Query.Parts {
		if p.Shard >= o.set.Shards {
			return 0, fmt.Errorf("body: part %d is outside the %d shards", p.Shard, o.set.Shards)
		}
		if seen[p.Shard] {
			return 0, fmt.Errorf("body: part %d comes twice", p.Shard)
		}
		seen[p.Shard] = true
	}
	return ty, nil
}

// Left ends a scan whose client is gone.
func (o *Life) Left(s *Scan) {
	if o.book.scans[s.id] == s {
		o.book.tally.Left++
		o.m.ClientLeft(s.id)
		o.end(s, Answer{Kind: Abandoned})
	}
}

// Stop makes everything end by then: new scans get no more time than that, and what is left is Abandoned.
func (o *Life) Stop(by time.Duration) {
	o.stopAt = o.now + by
	o.timers.add(o.stopAt, task{what: leaveAll})
}
