package distribution

import (
	"time"

	"peathollow/registry"
)

// mendEvery is how often two boards compare digests over a link that stays up; they do so at its beginning as well.
// Pulls by vector bring all news that flows down; digests find what flowed only down before its controller died, and what
// was forgotten by all while one was out of touch.
const mendEvery = 15 * time.Second

// Mend is one step of comparing two lists: digests to be compared, entries of ranges that differ, and the ranges whose
// entries are wanted in return.
type Mend struct {
	Digests []registry.Digest
	Patch   *registry.Patch
	Want    []registry.Range
}

// compare takes a peer's step and gives the next one; nil when there is nothing left to say. The lock is held.
func (b *Board) compare(m *Mend, now time.Time) *Mend {
	if m.Patch != nil && b.registry.Repair(now, *m.Patch) {
		b.tell()
	}
	finer, differ := b.registry.Compare(m.Digests)
	next := &Mend{Digests: finer, Want: differ}
	if give := append(differ, m.Want...); len(give) > 0 {
		p := b.registry.Patch(give, entriesMost)
		next.Patch = &p
	}
	if len(next.Digests) == 0 && next.Patch == nil {
		return nil
	}
	return next
}

// begin is the first step.
func (b *Board) begin() *Mend {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &Mend{Digests: []registry.Digest{b.registry.Digest(registry.Range{})}}
}

// step takes a peer's step outside of a pull.
func (b *Board) step(m *Mend) *Mend {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.compare(m, time.Now())
}
