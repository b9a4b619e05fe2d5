package registry

import (
	"iter"
	"maps"
	"slices"
	"time"
)

// Generation returns a counter that rises with each change that a reader of the list can see.
func (r *Registry) Generation() uint64 { return r.generation }

// Complete reports whether the list may be taken as complete. A source that has just started
// knows few searchers until all of them had time to send a heartbeat; a relay relies on its peer.
func (r *Registry) Complete() bool { return r.complete }

// Len returns the number of listed searchers.
func (r *Registry) Len() int { return len(r.records) - r.tombstones }

// All yields the listed searchers, including the silent ones, ordered by id.
func (r *Registry) All() iter.Seq[Entry] { return r.list(r.records) }

// Service yields the listed searchers of one service, ordered by id.
func (r *Registry) Service(name string) iter.Seq[Entry] { return r.list(r.services[name]) }

// Services returns the names of the services that have a listed searcher, sorted.
func (r *Registry) Services() []string { return slices.Sorted(maps.Keys(r.services)) }

// Get returns the entry held for an id, also when the searcher has left.
func (r *Registry) Get(id string) (Entry, bool) {
	rec := r.records[id]
	if rec == nil {
		return Entry{}, false
	}
	return r.listedEntry(rec), true
}

func (r *Registry) list(records map[string]*record) iter.Seq[Entry] {
	return func(yield func(Entry) bool) {
		for _, id := range slices.Sorted(maps.Keys(records)) {
			// Looked up again: the caller may have changed the registry during the iteration.
			if rec := records[id]; rec != nil && rec.State != Gone && !yield(r.listedEntry(rec)) {
				return
			}
		}
	}
}

// listedEntry returns the entry as readers of the list see it, with age and warm-up as of now.
func (r *Registry) listedEntry(rec *record) Entry {
	e := rec.Entry
	e.Age = r.now.Sub(rec.publishedAt)
	e.WarmupLeft = warmupLeftAt(rec, r.now)
	return e
}

// warmupLeftAt returns what is left at now of the published warm-up.
func warmupLeftAt(rec *record, now time.Time) time.Duration {
	return max(0, rec.WarmupLeft-now.Sub(rec.publishedAt))
}
