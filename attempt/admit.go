package attempt

import (
	"fmt"
	"time"

	"peathollow/policy"
)

// admit.go validates scans and passes them to the policy.

// Admit takes a scan that its client sent sentAgo ago.
func (c *Coordinator) Admit(s *Scan, sentAgo time.Duration) {
	class, err := c.validate(s)
	if err != nil {
		c.pending.counters.Scans[Invalid]++
		s.Reply(Answer{Kind: Invalid, Err: err})
		return
	}
	tenant, ok := c.settings.Tenants[s.Query.Tenant]
	if !ok {
		tenant = -1
	}
	if s.class = class; c.observer != nil {
		c.observer.ScanArrived(class, tenant, len(s.Query.Parts), s.Query.Retry)
	}
	// Scans beyond the limit never reach the policy.
	if c.pending.open >= c.limits.Open {
		c.pending.counters.Rejected++
		c.reject(s)
		return
	}
	remaining := s.Query.Wait - sentAgo
	if c.stopAt > 0 {
		remaining = min(remaining, c.stopAt-c.now)
	}
	if remaining <= 0 {
		c.reject(s)
		return
	}
	var work time.Duration
	for _, part := range s.Query.Parts {
		work += part.Hint
	}
	s.admittedAt = c.now
	c.pending.addScan(s)
	c.policy.Scan(s.id, s.number, class, tenant, remaining, work, len(s.Query.Parts), s.Query.Retry)
	for _, part := range s.Query.Parts {
		c.policy.Part(c.pending.addPart(s, part.Shard, fmt.Sprintf("%s.%d", s.Query.ID, part.Shard)).id, s.number, part.Shard,
			part.Weight)
	}
}

// reject throttles a scan that does not reach the policy.
func (c *Coordinator) reject(s *Scan) {
	if c.observer != nil {
		c.observer.ScanEnded(Throttled, s.class, 0)
	}
	s.Reply(Answer{Kind: Throttled})
}

// validate checks a scan against the settings and returns the index of its table type.
func (c *Coordinator) validate(s *Scan) (int, error) {
	class, ok := c.settings.Types[s.Query.Class]
	if !ok {
		return 0, fmt.Errorf("path: unknown class %.60q", s.Query.Class)
	}
	if c.settings.Policy.Types[class].Effect == policy.IdempotentByKey && s.Query.Key == "" {
		return 0, fmt.Errorf("Idempotency-Key: missing")
	}
	if _, ok := c.pending.byRequestID[s.Query.ID]; ok {
		return 0, fmt.Errorf("Req-Id: %.60q is in hand already", s.Query.ID)
	}
	seen := make(map[int]bool, len(s.Query.Parts))
	for _, p := range s.Query.Parts {
		if p.Shard >= c.settings.Shards {
			return 0, fmt.Errorf("body: part %d is outside the %d shards", p.Shard, c.settings.Shards)
		}
		if seen[p.Shard] {
			return 0, fmt.Errorf("body: part %d comes twice", p.Shard)
		}
		seen[p.Shard] = true
	}
	return class, nil
}

// ClientLeft ends a scan whose client has disconnected.
func (c *Coordinator) ClientLeft(s *Scan) {
	if c.pending.scans[s.id] == s {
		c.pending.counters.ClientsLeft++
		c.policy.ClientLeft(s.id)
		c.end(s, Answer{Kind: Abandoned})
	}
}

// Stop ends all scans within the given time: new scans get no more time than that, and those left then are Abandoned.
func (c *Coordinator) Stop(within time.Duration) {
	c.stopAt = c.now + within
	c.timers.add(c.stopAt, task{kind: abandonAll})
}
