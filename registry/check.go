package registry

import (
	"fmt"
)

// Check verifies the registry's invariants and returns the first violation, or nil. It walks over all
// records.
func (r *Registry) Check() error {
	var (
		tombstones int
		leaves     [leafCount]leaf
		entries    = map[string]int{}
	)
	for id, rec := range r.records {
		if rec.ID != id || !validEntry(&rec.Entry) {
			return fmt.Errorf("record %q holds %+v", id, rec.Entry)
		}
		if rec.hash != rec.sum() || rec.leaf != leafOf(id) {
			return fmt.Errorf("%s: record changed without join", id)
		}
		if rec.seq == 0 || rec.seq > r.seq {
			return fmt.Errorf("%s: position %d in a log of length %d", id, rec.seq, r.seq)
		}
		if rec.Source == r.cfg.Name && (r.cfg.Relay || rec.No > r.numberOf(rec.Source)) {
			return fmt.Errorf("%s: number %d was not issued by this registry", id, rec.No)
		}
		if rec.publishedAt.After(r.now) || rec.receivedAt.After(r.now) || rec.lastHeartbeat.After(r.now) {
			return fmt.Errorf("%s: a timestamp lies in the future", id)
		}
		entries[rec.Source]++
		leaves[rec.leaf].sum += rec.hash
		leaves[rec.leaf].count++
		listed := rec.State != Gone
		if !listed {
			tombstones++
		}
		if (r.services[rec.Plant][id] == rec) != listed || (r.addresses[rec.Address][id] == rec) != listed {
			return fmt.Errorf("%s: listed is %v, but the indexes disagree", id, listed)
		}
	}
	if tombstones != r.tombstones || leaves != r.leaves {
		return fmt.Errorf("counts or digests don't match the records (%d tombstones, counted %d)", tombstones, r.tombstones)
	}
	if err := r.checkIndexes(tombstones); err != nil {
		return err
	}
	for name, s := range r.sources {
		if s.entries != entries[name] {
			return fmt.Errorf("source %s: has %d records, counted %d", name, entries[name], s.entries)
		}
		delete(entries, name)
	}
	if len(entries) > 0 {
		return fmt.Errorf("records of unknown sources: %v", entries)
	}
	if len(r.records) > r.cfg.MaxEntries || len(r.cursors) > maxCursors || len(r.adopted) > r.cfg.MaxSources {
		return fmt.Errorf("a bound is exceeded: %d records, %d cursors, %d adopted sources",
			len(r.records), len(r.cursors), len(r.adopted))
	}
	return nil
}

// checkIndexes verifies the indexes and the log against the records.
func (r *Registry) checkIndexes(tombstones int) error {
	for name, m := range map[string]map[string]map[string]*record{"plants": r.services, "places": r.addresses} {
		n := 0
		for _, set := range m {
			n += len(set)
		}
		if n != len(r.records)-tombstones {
			return fmt.Errorf("index %s holds %d records, %d are listed", name, n, len(r.records)-tombstones)
		}
	}
	current, last := 0, uint64(0)
	for _, it := range r.log {
		if it.seq <= last {
			return fmt.Errorf("log positions don't rise: %d is followed by %d", last, it.seq)
		}
		last = it.seq
		if it.record.seq == it.seq {
			current++
			if r.records[it.record.ID] != it.record {
				return fmt.Errorf("%s: is in the log but not held", it.record.ID)
			}
		}
	}
	if current != len(r.records) || len(r.log) > 2*len(r.records)+64 && len(r.log) > 2*r.cfg.MaxEntries+64 {
		return fmt.Errorf("log of %d items, of which %d are current, for %d records", len(r.log), current, len(r.records))
	}
	return nil
}
