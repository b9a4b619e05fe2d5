package mixer

import (
	"fmt"
	"time"

	"peathollow/brain"
)

// The second stage: a scan that fits the settings and the open count goes to the module.

func (o *owner) admit(s *scan, came time.Time) {
	ty, err := o.fits(s)
	if err != nil {
		o.book.tally.scans[unfit]++
		s.reply <- answer{kind: unfit, fault: err}
		return
	}
	// So many are held as the settings allow; what comes beyond never reaches the module.
	if o.book.open >= o.lim.Open {
		o.book.tally.full++
		s.reply <- answer{kind: throttled}
		return
	}
	left := s.q.Wait - time.Since(came)
	if o.stopAt > 0 {
		left = min(left, o.stopAt-o.now)
	}
	if left <= 0 {
		s.reply <- answer{kind: throttled}
		return
	}
	s.class = ty
	tenant, ok := o.set.Tenants[s.q.Tenant]
	if !ok {
		tenant = -1
	}
	var work time.Duration
	for _, p := range s.q.Parts {
		work += p.Hint
	}
	o.book.addScan(s)
	o.m.Scan(s.id, s.no, ty, tenant, left, work, len(s.q.Parts), s.q.Retry)
	for _, p := range s.q.Parts {
		o.m.Part(o.book.addPart(s, p.Shard, fmt.Sprintf("%s.%d", s.q.ID, p.Shard)).id, s.no, p.Shard, p.Weight)
	}
}

// fits checks what only the settings can tell.
func (o *owner) fits(s *scan) (int, error) {
	ty, ok := o.set.Types[s.q.Class]
	if !ok {
		return 0, fmt.Errorf("path: unknown class %.60q", s.q.Class)
	}
	if o.set.Brain.Types[ty].Effect == brain.Keyed && s.q.Key == "" {
		return 0, fmt.Errorf("Idempotency-Key: missing")
	}
	if _, ok := o.book.byReq[s.q.ID]; ok {
		return 0, fmt.Errorf("Req-Id: %.60q is in hand already", s.q.ID)
	}
	seen := make(map[int]bool, len(s.q.Parts))
	for _, p := range s.q.Parts {
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

// left ends a scan whose client is gone.
func (o *owner) left(s *scan) {
	if o.book.scans[s.id] == s {
		o.book.tally.left++
		o.m.Left(s.id)
		o.end(s, answer{kind: abandoned})
	}
}

// stop makes everything end by then: new scans get no more time than that, and what is left is abandoned.
func (o *owner) stop(by time.Duration) {
	o.stopAt = o.now + by
	o.timers.add(o.stopAt, func() {
		for _, s := range o.book.scans {
			o.left(s)
		}
	})
}
