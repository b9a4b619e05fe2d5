package registry

import (
	"cmp"
	"slices"
	"time"
)

// Config configures a Registry. Zero durations and bounds take the defaults.
type Config struct {
	// Name is unique to this incarnation of the process (it contains a nonce): its numbers start
	// from the beginning.
	Name string
	// Relay marks a registry that passes updates on and is not a source of any.
	Relay bool
	// KeepUnheard keeps the silent entries of a service for good while no searcher of it is heard: the one who routes by
	// them has nothing better.
	KeepUnheard bool
	Period      time.Duration // between two heartbeats of a searcher
	Start       time.Time

	SilenceTimeout time.Duration // without a heartbeat for this long a searcher becomes Silent (2.5 periods)
	SilentTTL      time.Duration // Silent for this long, an entry is removed (60 s)
	TombstoneTTL   time.Duration // how long tombstones of ids that left are kept (120 s)
	SourceTTL      time.Duration // how long vector components of sources without entries are kept (10 min)
	MaxEntries     int           // 20,000
	MaxTombstones  int           // 5,000
	MaxSources     int           // 256
}

func (c Config) withDefaults() Config {
	c.Period = cmp.Or(c.Period, time.Second)
	c.SilenceTimeout = cmp.Or(c.SilenceTimeout, c.Period*5/2)
	c.SilentTTL = cmp.Or(c.SilentTTL, time.Minute)
	c.TombstoneTTL = cmp.Or(c.TombstoneTTL, 2*time.Minute)
	c.SourceTTL = cmp.Or(c.SourceTTL, 10*time.Minute)
	c.MaxEntries = cmp.Or(c.MaxEntries, 20_000)
	c.MaxTombstones = cmp.Or(c.MaxTombstones, 5_000)
	c.MaxSources = cmp.Or(c.MaxSources, 256)
	return c
}

// record is the entry held for an id, and the state of it that is local to this registry.
type record struct {
	Entry
	publishedAt time.Time // when it was published, derived from Age
	seq         uint64    // position in the log; 0 once dropped
	leaf        uint16
	hash        uint64
	receivedAt  time.Time // when this version was received here

	lastHeartbeat time.Time // last heartbeat received first-hand
	lastCalls     uint64    // its call count: repeats raise it without an update
	// suspect is set when this registry was without contact for so long that every other registry
	// may have forgotten the searcher's tombstone before it could reach this one.
	suspect bool
}

type logItem struct {
	seq    uint64
	record *record
}

// source is the state of one component of the vector.
type source struct {
	number    uint64
	changedAt time.Time
	entries   int // records with this source
}

// Registry holds the searchers that exist. It is not safe for concurrent use.
type Registry struct {
	cfg          Config
	now          time.Time
	runningSince time.Time // since when the process has run without a gap
	lastTick     time.Time
	lastScan     time.Time
	complete     bool
	lastFullPull time.Time // when the last delta of a pull was merged

	records    map[string]*record
	sources    map[string]*source
	services   map[string]map[string]*record // listed records by service
	addresses  map[string]map[string]*record // listed records by address
	adopted    map[string]time.Time
	cursors    map[string]*peerCursor
	log        []logItem
	leaves     [leafCount]leaf
	seq        uint64
	generation uint64
	tombstones int // number of records in state Gone
}

// New returns an empty registry.
func New(c Config) *Registry {
	c = c.withDefaults()
	r := &Registry{
		cfg: c, now: c.Start, runningSince: c.Start, lastTick: c.Start, lastScan: c.Start, lastFullPull: c.Start,
		records: map[string]*record{}, sources: map[string]*source{}, services: map[string]map[string]*record{},
		addresses: map[string]map[string]*record{}, adopted: map[string]time.Time{}, cursors: map[string]*peerCursor{},
	}
	if !c.Relay {
		r.sources[c.Name] = &source{changedAt: c.Start}
	}
	return r
}

// advanceClock sets the registry's time; it never goes back.
func (r *Registry) advanceClock(now time.Time) {
	if now.After(r.now) {
		r.now = now
	}
}

// join stores e if it is greater than the entry held for its id. It returns false only when the
// registry is full.
func (r *Registry) join(e Entry) bool {
	at := r.now.Add(-max(e.Age, 0))
	e.Age = 0
	rec := r.records[e.ID]
	if rec != nil {
		c := compare(&e, &rec.Entry)
		if c == 0 && at.Before(rec.publishedAt) {
			rec.publishedAt = at // the same entry, received by a slower path
		}
		if c >= 0 {
			rec.suspect = false
		}
		if c <= 0 {
			return true
		}
	} else if len(r.records) >= r.cfg.MaxEntries && !r.evict() {
		return false
	}
	if rec == nil {
		rec = &record{leaf: leafOf(e.ID)}
		r.records[e.ID] = rec
		if e.State != Gone {
			r.generation++
		}
	} else {
		r.removeFromIndexes(rec)
		if !sameListing(&rec.Entry, &e) {
			r.generation++
		}
	}
	rec.Entry, rec.publishedAt, rec.receivedAt = e, at, r.now
	r.addToIndexes(rec)
	return true
}

// addToIndexes puts rec into the indexes and at the end of the log.
func (r *Registry) addToIndexes(rec *record) {
	r.seq++
	rec.seq, rec.hash = r.seq, rec.sum()
	r.log = append(r.log, logItem{rec.seq, rec})
	l := &r.leaves[rec.leaf]
	l.sum += rec.hash
	l.count++
	s := r.sources[rec.Source]
	if s == nil {
		s = &source{}
		r.sources[rec.Source] = s
	}
	s.entries++
	s.changedAt = r.now
	if rec.State == Gone {
		r.tombstones++
	} else {
		index(r.services, rec.Plant, rec)
		index(r.addresses, rec.Address, rec)
	}
	// Readers skip superseded log items; compacting the log pays off only once about half of it is superseded.
	if len(r.log) > 2*len(r.records)+64 {
		r.log = slices.DeleteFunc(r.log, func(i logItem) bool { return i.record.seq != i.seq })
	}
}

// removeFromIndexes takes rec out of the indexes; its log item becomes superseded.
func (r *Registry) removeFromIndexes(rec *record) {
	rec.seq = 0
	l := &r.leaves[rec.leaf]
	l.sum -= rec.hash
	l.count--
	s := r.sources[rec.Source]
	s.entries--
	s.changedAt = r.now
	if rec.State == Gone {
		r.tombstones--
	} else {
		unindex(r.services, rec.Plant, rec)
		unindex(r.addresses, rec.Address, rec)
	}
}

// drop forgets an id. The vector still covers its entry, so that a late copy doesn't bring it back.
func (r *Registry) drop(rec *record) {
	if rec.State != Gone {
		r.generation++
	}
	r.removeFromIndexes(rec)
	delete(r.records, rec.ID)
}

// evict removes tombstones and silent entries, those that matter least first, and several at once so
// that a full registry isn't searched at each heartbeat. Entries of responsive searchers are never
// evicted. It returns false if there was nothing to evict.
func (r *Registry) evict() bool {
	var evictable []*record
	for _, rec := range r.records {
		if rec.State == Gone || rec.Silent {
			evictable = append(evictable, rec)
		}
	}
	slices.SortFunc(evictable, func(a, b *record) int {
		return cmp.Or(-cmp.Compare(a.State/Gone, b.State/Gone), cmp.Compare(evictionRank(a), evictionRank(b)),
			a.publishedAt.Compare(b.publishedAt), cmp.Compare(a.ID, b.ID))
	})
	for _, rec := range evictable[:min(len(evictable), r.cfg.MaxEntries/16+1)] {
		r.drop(rec)
	}
	return len(evictable) > 0
}

// index adds rec to m under key.
func index(m map[string]map[string]*record, key string, rec *record) {
	if m[key] == nil {
		m[key] = map[string]*record{}
	}
	m[key][rec.ID] = rec
}

// unindex removes rec from m, and key with its last record.
func unindex(m map[string]map[string]*record, key string, rec *record) {
	delete(m[key], rec.ID)
	if len(m[key]) == 0 {
		delete(m, key)
	}
}
