package registry

import (
	"cmp"
	"slices"
	"time"
)

// Config sets a registry up. Zero durations and bounds take the defaults.
type Config struct {
	// Name is unique to this life of the process (it carries a nonce): numbers start anew with it.
	Name string
	// Relay: it passes news on and is no source of any.
	Relay  bool
	Period time.Duration // between two beats of a searcher
	Start  time.Time

	Silence    time.Duration // unheard that long: Silent (2.5 periods)
	Expire     time.Duration // Silent that long: forgotten (60 s)
	Keep       time.Duration // tombstones of ids that left (120 s)
	SourceKeep time.Duration // vector components of sources without entries (10 min)
	MaxEntries int           // 20,000
	MaxGone    int           // 5,000
	MaxSources int           // 256
}

func (c Config) withDefaults() Config {
	c.Period = cmp.Or(c.Period, time.Second)
	c.Silence = cmp.Or(c.Silence, c.Period*5/2)
	c.Expire = cmp.Or(c.Expire, time.Minute)
	c.Keep = cmp.Or(c.Keep, 2*time.Minute)
	c.SourceKeep = cmp.Or(c.SourceKeep, 10*time.Minute)
	c.MaxEntries = cmp.Or(c.MaxEntries, 20_000)
	c.MaxGone = cmp.Or(c.MaxGone, 5_000)
	c.MaxSources = cmp.Or(c.MaxSources, 256)
	return c
}

// record is the entry held for an id and what only this registry knows of it.
type record struct {
	Entry
	at    time.Time // when it was told, by Age
	seq   uint64    // place in the log; 0 once dropped
	leaf  uint16
	hash  uint64
	since time.Time // when this version came in here

	heard time.Time // last first-hand beat here
	calls uint64    // its count: repeats rise it without news
	// doubt: we were out of touch so long that the news of its leaving may have been forgotten by
	// all before we could hear of it.
	doubt bool
}

type logItem struct {
	seq uint64
	rec *record
}

// source is one component of the vector.
type source struct {
	no    uint64
	moved time.Time
	held  int // records with this source
}

// Registry holds which searchers exist. It is not safe for concurrent use.
type Registry struct {
	cfg     Config
	now     time.Time
	awake   time.Time // since when we have run without a gap
	lastRun time.Time
	scanned time.Time
	whole   bool
	touched time.Time // when a last part came in

	recs    map[string]*record
	sources map[string]*source
	plants  map[string]map[string]*record // listed ones only
	places  map[string]map[string]*record // by address, listed ones only
	adopted map[string]time.Time
	chains  map[string]*chain
	log     []logItem
	leaves  [leafCount]leaf
	seq     uint64
	gen     uint64
	gone    int
}

// New returns an empty registry.
func New(c Config) *Registry {
	c = c.withDefaults()
	r := &Registry{
		cfg: c, now: c.Start, awake: c.Start, lastRun: c.Start, scanned: c.Start, touched: c.Start,
		recs: map[string]*record{}, sources: map[string]*source{}, plants: map[string]map[string]*record{},
		places: map[string]map[string]*record{}, adopted: map[string]time.Time{}, chains: map[string]*chain{},
	}
	if !c.Relay {
		r.sources[c.Name] = &source{moved: c.Start}
	}
	return r
}

// step moves the registry's time on; it never goes back.
func (r *Registry) step(now time.Time) {
	if now.After(r.now) {
		r.now = now
	}
}

// join takes e in if it is greater than what is held for the id. It reports false only when
// there is no room.
func (r *Registry) join(e Entry) bool {
	at := r.now.Add(-max(e.Age, 0))
	e.Age = 0
	rec := r.recs[e.ID]
	if rec != nil {
		c := compare(&e, &rec.Entry)
		if c == 0 && at.Before(rec.at) {
			rec.at = at // the same news by a longer road
		}
		if c >= 0 {
			rec.doubt = false
		}
		if c <= 0 {
			return true
		}
	} else if len(r.recs) >= r.cfg.MaxEntries && !r.makeRoom() {
		return false
	}
	if rec == nil {
		rec = &record{leaf: leafOf(e.ID)}
		r.recs[e.ID] = rec
		if e.State != Gone {
			r.gen++
		}
	} else {
		r.unlink(rec)
		if !alike(&rec.Entry, &e) {
			r.gen++
		}
	}
	rec.Entry, rec.at, rec.since = e, at, r.now
	r.link(rec)
	return true
}

// link puts rec into the indexes and at the end of the log.
func (r *Registry) link(rec *record) {
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
	s.held++
	s.moved = r.now
	if rec.State == Gone {
		r.gone++
	} else {
		index(r.plants, rec.Plant, rec)
		index(r.places, rec.Address, rec)
	}
	// Superseded places in the log are skipped by readers; half of them may be such before it
	// pays to write it anew.
	if len(r.log) > 2*len(r.recs)+64 {
		r.log = slices.DeleteFunc(r.log, func(i logItem) bool { return i.rec.seq != i.seq })
	}
}

func (r *Registry) unlink(rec *record) {
	rec.seq = 0
	l := &r.leaves[rec.leaf]
	l.sum -= rec.hash
	l.count--
	s := r.sources[rec.Source]
	s.held--
	s.moved = r.now
	if rec.State == Gone {
		r.gone--
	} else {
		unindex(r.plants, rec.Plant, rec)
		unindex(r.places, rec.Address, rec)
	}
}

// drop forgets an id. The vector still covers its entry, so that a late copy doesn't bring it back.
func (r *Registry) drop(rec *record) {
	if rec.State != Gone {
		r.gen++
	}
	r.unlink(rec)
	delete(r.recs, rec.ID)
}

// makeRoom forgets the oldest of what is least missed, many at once so that a full registry isn't
// searched at each beat. Entries of searchers that are heard are never forgotten.
func (r *Registry) makeRoom() bool {
	var spare []*record
	for _, rec := range r.recs {
		if rec.State == Gone || rec.Silent {
			spare = append(spare, rec)
		}
	}
	slices.SortFunc(spare, func(a, b *record) int {
		return cmp.Or(-cmp.Compare(a.State/Gone, b.State/Gone), cmp.Compare(known(a), known(b)), a.at.Compare(b.at), cmp.Compare(a.ID, b.ID))
	})
	for _, rec := range spare[:min(len(spare), r.cfg.MaxEntries/16+1)] {
		r.drop(rec)
	}
	return len(spare) > 0
}

func index(m map[string]map[string]*record, key string, rec *record) {
	if m[key] == nil {
		m[key] = map[string]*record{}
	}
	m[key][rec.ID] = rec
}

func unindex(m map[string]map[string]*record, key string, rec *record) {
	delete(m[key], rec.ID)
	if len(m[key]) == 0 {
		delete(m, key)
	}
}
