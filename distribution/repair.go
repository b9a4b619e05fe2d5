package distribution

import (
	"time"

	"peathollow/registry"
)

// repairInterval is how often two replicas compare digests over a connection that stays up; they do so at its beginning as
// well. Pulls by version vector transfer all updates from server to client. Repair finds those that reached only clients before
// their controller died, and entries that all others forgot while one replica was out of contact.
const repairInterval = 15 * time.Second

// Repair is one step of the comparison of two lists (anti-entropy): the digests to compare, the entries of ranges that differ,
// and the ranges whose entries are requested in return.
type Repair struct {
	Digests []registry.Digest
	Patch   *registry.Patch
	Want    []registry.Range
}

// repairLocked takes a peer's step and returns the next one, or nil when the comparison is complete. The caller holds r.mu.
func (r *Replica) repairLocked(step *Repair, now time.Time) *Repair {
	if step.Patch != nil && r.registry.Repair(now, *step.Patch) {
		r.notifyLocked()
	}
	finer, differ := r.registry.Compare(step.Digests)
	next := &Repair{Digests: finer, Want: differ}
	if ranges := append(differ, step.Want...); len(ranges) > 0 {
		p := r.registry.Patch(ranges, maxEntries)
		next.Patch = &p
	}
	if len(next.Digests) == 0 && next.Patch == nil {
		return nil
	}
	return next
}

// startRepair returns the first step: the digest of the whole list.
func (r *Replica) startRepair() *Repair {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Repair{Digests: []registry.Digest{r.registry.Digest(registry.Range{})}}
}

// continueRepair takes a step that a server sent in its response and returns the next one.
func (r *Replica) continueRepair(step *Repair) *Repair {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.repairLocked(step, time.Now())
}
