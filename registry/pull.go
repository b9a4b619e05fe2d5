package registry

import (
	"sort"
	"time"
)

// peerCursor is the position up to which the log of one incarnation of a peer was read without a gap.
type peerCursor struct {
	cursor  uint64
	lastUse uint64 // this registry's log position at the last use; the least recent is evicted
}

const maxCursors = 64

// PullQuery returns the query to send to a peer; peer is the name that the peer gave in its last delta, or "".
func (r *Registry) PullQuery(peer string) PullQuery {
	query := PullQuery{Name: r.cfg.Name, Have: r.Vector()}
	if c := r.cursors[peer]; c != nil {
		query.By, query.Cursor = peer, c.cursor
	}
	return query
}

// Since answers a peer's PullQuery with at most limit entries.
func (r *Registry) Since(query PullQuery, limit int) Delta {
	d := Delta{For: query.Name, By: r.cfg.Name}
	if query.By == r.cfg.Name && query.Cursor <= r.seq {
		d.Start = query.Cursor
	}
	d.Next = d.Start
	for _, it := range r.log[sort.Search(len(r.log), func(i int) bool { return r.log[i].seq > d.Start }):] {
		if it.record.seq != it.seq || it.record.No <= query.Have[it.record.Source] {
			continue
		}
		if len(d.Entries) >= max(limit, 1) {
			d.More = true
			return d
		}
		d.Entries = append(d.Entries, r.wireEntry(it.record))
		d.Next = it.seq
	}
	d.Next, d.Whole = r.seq, r.complete
	for name, s := range r.sources {
		if s.number <= query.Have[name] {
			continue
		}
		if d.Upto == nil {
			d.Upto = Vector{}
		}
		d.Upto[name] = s.number
		// Without the idle time, two peers would pass a dead source back and forth for ever.
		if idle := r.now.Sub(s.changedAt); s.entries == 0 && name != r.cfg.Name && idle > r.cfg.Period {
			if d.Idle == nil {
				d.Idle = map[string]time.Duration{}
			}
			d.Idle[name] = idle
		}
	}
	return d
}

// wireEntry returns the entry as it is sent to peers.
func (r *Registry) wireEntry(rec *record) Entry {
	e := rec.Entry
	if e.Silent || e.State == Gone || e.WarmupLeft > 0 {
		e.Age = r.now.Sub(rec.publishedAt)
	}
	return e
}

// Merge joins a delta. Entries are taken from any delta, even if it is late, duplicated or intended for
// a former incarnation. The vector rises only by a delta that this incarnation asked for and whose log
// was read up to its Start, so that no entry is lost in a gap. Merge reports whether the list changed.
func (r *Registry) Merge(now time.Time, d Delta) bool {
	r.advanceClock(now)
	generation := r.generation
	requested := d.For == r.cfg.Name
	if requested && r.now.Sub(r.lastFullPull) > min(r.cfg.TombstoneTTL, r.cfg.SilentTTL)/2 {
		r.suspectAll()
	}
	stored := true
	for _, e := range d.Entries {
		if !r.accepts(&e) {
			continue
		}
		// Covered by the vector yet not held: the entry was known, ended, and was forgotten.
		if r.records[e.ID] == nil && e.No <= r.numberOf(e.Source) {
			continue
		}
		stored = r.join(e) && stored
	}
	if requested && stored {
		r.recordProgress(&d)
	}
	return r.generation != generation
}

// Restore joins entries that an earlier incarnation of this process saved. The list was complete then and counts as
// complete now: a stale entry costs an attempt, while waiting for the heartbeats of all searchers costs the service. It
// doesn't raise the vector; entries that no controller hears of again become silent once their source is adopted.
func (r *Registry) Restore(now time.Time, entries []Entry) {
	r.advanceClock(now)
	for _, e := range entries {
		if r.accepts(&e) {
			r.join(e)
		}
	}
	r.complete = r.complete || len(r.records) > r.tombstones
}

// recordProgress moves the cursor of the peer's log and, at the last delta of a pull, raises the vector.
func (r *Registry) recordProgress(d *Delta) {
	c := r.cursors[d.By]
	if c == nil {
		if d.Start > 0 {
			return
		}
		if len(r.cursors) >= maxCursors {
			r.evictCursor()
		}
		c = &peerCursor{}
		r.cursors[d.By] = c
	}
	if d.Start > c.cursor {
		return
	}
	c.cursor, c.lastUse = max(c.cursor, d.Next), r.seq
	if d.More {
		return
	}
	for name, no := range d.Upto {
		if name == r.cfg.Name {
			continue // this registry's own number is always the most recent
		}
		idle := d.Idle[name]
		s := r.sources[name]
		if s == nil {
			if idle >= r.cfg.SourceTTL {
				continue
			}
			s = &source{}
			r.sources[name] = s
		}
		if no > s.number {
			s.number, s.changedAt = no, r.now.Add(-idle)
		}
	}
	r.lastFullPull = r.now
	r.complete = r.complete || d.Whole
}

// evictCursor forgets the least recently used cursor.
func (r *Registry) evictCursor() {
	var least string
	for by, c := range r.cursors {
		if l := r.cursors[least]; l == nil || c.lastUse < l.lastUse || c.lastUse == l.lastUse && by < least {
			least = by
		}
	}
	delete(r.cursors, least)
}

// suspectAll marks all entries of other sources as suspect.
func (r *Registry) suspectAll() {
	r.lastFullPull = r.now // once for each period without contact
	for _, rec := range r.records {
		rec.suspect = rec.Source != r.cfg.Name
	}
}

// validEntry rejects entries that no registry sends; whatever a connection delivers is checked before it
// is joined.
func validEntry(e *Entry) bool {
	return e.ID != "" && e.Source != "" && e.No > 0 && e.State <= Gone && e.Capacity >= 0
}

// accepts also rejects entries under this registry's name whose number it never gave out: another
// process uses the same name.
func (r *Registry) accepts(e *Entry) bool {
	return validEntry(e) && (e.Source != r.cfg.Name || !r.cfg.Relay && e.No <= r.numberOf(e.Source))
}

// numberOf returns the number up to which the entries of a source are held, 0 for an unknown source.
func (r *Registry) numberOf(name string) uint64 {
	if s := r.sources[name]; s != nil {
		return s.number
	}
	return 0
}

// Vector returns up to which number the entries of each source are held: for every entry of a source up
// to its number, that entry is held here, or a greater one, or it was forgotten after its time.
func (r *Registry) Vector() Vector {
	v := make(Vector, len(r.sources))
	for name, s := range r.sources {
		if s.number > 0 {
			v[name] = s.number
		}
	}
	return v
}

// Holds reports whether everything that v covers is held.
func (r *Registry) Holds(v Vector) bool {
	for name, no := range v {
		if r.numberOf(name) < no {
			return false
		}
	}
	return true
}

// Name returns the name of this incarnation.
func (r *Registry) Name() string { return r.cfg.Name }
