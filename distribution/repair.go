package distribution

import (
	"time"

	"peathollow/registry"
)

// repairInterval is how often two replicas compare digests over a connection that stays up; they do so at its beginning as
// well. Pulls by version vector transfer all updates from server to client. Repair finds those that reached only clients before
// their controller died, and entries that all others forgot while one replica was out of contact.
const repairInterval = 15 * time.Second

// Mend is one step of the comparison of two lists (anti-entropy): the digests to compare, the entries of ranges that differ,
// and the ranges whose entries are requested in return.
type Mend struct {
	Digests []registry.Digest
	Patch   *registry.Patch
	Want    []registry.Range
}

// repairLocked takes a peer's step and returns the next one, or nil when the comparison is complete. The caller holds r.mu.
func (r *Board) repairLocked(m *Mend, now time.Time) *Mend {
	if m.Patch != nil && r.registry.Repair(now, *m.Patch) {
		r.notifyLocked()
	}
	finer, differ := r.registry.Compare(m.Digests)
	next := &Mend{Digests: finer, Want: differ}
	if ranges := append(differ, m.Want...); len(ranges) > 0 {
		p := r.registry.Patch(ranges, maxEntries)
		next.Patch = &p
	}
	if len(next.Digests) == 0 && next.Patch == nil {
		return nil
	}
	return next
}

// startRepair returns the first step: the digest of the whole list.
func (r *Board) startRepair() *Mend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Mend{Digests: []registry.Digest{r.registry.Digest(registry.Range{})}}
}

// continueRepair takes a step that a server sent in its response and returns the next one.
func (r *Board) continueRepair(m *Mend) *Mend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.repairLocked(m, time.Now())
}
