package registry

import (
	"cmp"
	"slices"
	"time"
)

// Beat takes in a first-hand beat. A plain repeat makes no news and no number: it only proves
// that the searcher lives.
func (r *Registry) Beat(now time.Time, s Searcher) Beaten {
	r.step(now)
	if s.State >= Gone {
		return r.Leave(now, s.ID)
	}
	if r.cfg.Relay {
		return Beaten{Refused: true}
	}
	rec := r.recs[s.ID]
	first := rec == nil || rec.heard.IsZero() || rec.Address != s.Address
	if rec != nil {
		if rec.State == Gone {
			return Beaten{Gone: true, State: rec.State, Source: rec.Source, No: rec.No}
		}
		// Repeats raise calls without news, so the entry alone doesn't show that a beat is late.
		known := max(rec.Calls, rec.calls)
		if s.Calls < known || s.Calls == known && s.State <= rec.State {
			return Beaten{Late: true, State: rec.State, Source: rec.Source, No: rec.No}
		}
	}
	e := Entry{Searcher: s, Source: r.cfg.Name}
	if rec == nil || rec.Source != r.cfg.Name || !alike(&e, &rec.Entry) || r.warmupMoved(rec, s.WarmupLeft) {
		if !r.publish(e) {
			return Beaten{Refused: true}
		}
		rec = r.recs[s.ID]
		rec.heard, rec.calls, rec.doubt = r.now, s.Calls, false
		if first {
			r.supersede(rec)
		}
		return Beaten{News: true, State: rec.State, Source: rec.Source, No: rec.No}
	}
	rec.heard, rec.calls, rec.doubt = r.now, s.Calls, false
	return Beaten{State: rec.State, Source: rec.Source, No: rec.No}
}

// warmupMoved tells whether the time left differs from what the told one has run down to.
func (r *Registry) warmupMoved(rec *record, left time.Duration) bool {
	return (left - warmupAt(rec, r.now)).Abs() > r.cfg.Period
}

// supersede marks the others at the address of rec, which was just heard there for the first
// time here, as Silent. They aren't put down as Gone, which is final: the beat may have been on
// its way for long and the other be the one that lives. It comes back with its next beat, and a
// wrong guess costs a searcher named in Target-Searcher one 421; only first hearings guess, so
// two ids that claim one address don't take it from each other at each beat.
func (r *Registry) supersede(rec *record) {
	var older []*record
	for _, o := range r.places[rec.Address] {
		if o.ID != rec.ID && !o.Silent && o.Address != "" {
			older = append(older, o)
		}
	}
	slices.SortFunc(older, func(a, b *record) int { return cmp.Compare(a.ID, b.ID) })
	for _, o := range older {
		r.silence(o)
	}
}

// Leave takes in that a searcher has ended. It is final, also for an id that wasn't known: its
// entry may still be under way from another source.
func (r *Registry) Leave(now time.Time, id string) Beaten {
	r.step(now)
	if r.cfg.Relay {
		return Beaten{Refused: true}
	}
	e := Entry{Searcher: Searcher{ID: id, State: Gone}, Source: r.cfg.Name}
	if rec := r.recs[id]; rec != nil {
		if rec.State == Gone {
			return Beaten{Gone: true, State: rec.State, Source: rec.Source, No: rec.No}
		}
		e.Calls, e.Plant = max(rec.Calls, rec.calls), rec.Plant
	}
	if !r.publish(e) {
		return Beaten{Refused: true}
	}
	rec := r.recs[id]
	return Beaten{News: true, Gone: true, State: rec.State, Source: rec.Source, No: rec.No}
}

// publish tells e under the next number.
func (r *Registry) publish(e Entry) bool {
	s := r.sources[r.cfg.Name]
	s.no++
	e.No = s.no
	return r.join(e) // a number spent on a refused entry is a gap, which is fine
}

func (r *Registry) silence(rec *record) {
	e := rec.Entry
	e.Source, e.Silent, e.WarmupLeft = r.cfg.Name, true, 0
	// On the last call heard: a late copy of an earlier one must not undo the mark.
	e.Calls = max(rec.Calls, rec.calls)
	r.publish(e)
}

// refute answers a mark of silence that somebody set on an earlier call than the last heard here.
func (r *Registry) refute(rec *record) {
	e := rec.Entry
	e.Source, e.Silent, e.Calls = r.cfg.Name, false, rec.calls
	r.publish(e)
}

// Adopt makes this registry mind the entries of a source that the caller takes for dead: those
// that no controller hears within the time of silence are marked Silent. Until then, and without
// Adopt for ever, they stay as they are. A wrong call is mended by the next beats.
func (r *Registry) Adopt(now time.Time, name string) {
	r.step(now)
	if _, ok := r.adopted[name]; ok || r.cfg.Relay || name == r.cfg.Name || len(r.adopted) >= r.cfg.MaxSources {
		return
	}
	r.adopted[name] = r.now
}

// Release ends an adoption: the source is heard again, and minds its entries itself. Else those that it hears and that
// make no news would be called silent here for ever.
func (r *Registry) Release(name string) { delete(r.adopted, name) }

// Tick marks who has fallen silent and forgets what is long over. Call it several times in a
// period: a longer gap means that this process didn't run, and that nobody could be heard. It
// reports whether the list changed.
func (r *Registry) Tick(now time.Time) bool {
	r.step(now)
	if r.now.Sub(r.lastRun) > r.cfg.Period {
		r.awake = r.now
	}
	r.lastRun = r.now
	if !r.whole && !r.cfg.Relay && r.now.Sub(r.awake) >= r.cfg.Period*3/2 {
		r.whole = true
	}
	if r.now.Sub(r.scanned) < r.cfg.Period/8 {
		return false
	}
	r.scanned = r.now
	gen := r.gen
	var over, unheard, lives []*record
	for _, rec := range r.recs {
		switch {
		case rec.State == Gone && r.now.Sub(rec.at) >= r.cfg.Keep, rec.Silent && r.now.Sub(rec.at) >= r.cfg.Expire:
			over = append(over, rec)
		case rec.State != Gone && !rec.Silent && r.unheard(rec):
			unheard = append(unheard, rec)
		case rec.Silent && rec.calls > rec.Calls && r.now.Sub(rec.heard) <= r.cfg.Silence:
			lives = append(lives, rec)
		}
	}
	for _, rec := range over {
		r.drop(rec)
	}
	// By id, so that the same events give the same numbers.
	byID := func(a, b *record) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(unheard, byID)
	for _, rec := range unheard {
		r.silence(rec)
	}
	slices.SortFunc(lives, byID)
	for _, rec := range lives {
		r.refute(rec)
	}
	r.boundGone()
	r.pruneSources()
	return r.gen != gen
}

// unheard tells whether it falls to us to call the searcher silent. Once another source has
// heard it, it is theirs to mind.
func (r *Registry) unheard(rec *record) bool {
	from := later(rec.heard, rec.since)
	if rec.Source != r.cfg.Name {
		since, ok := r.adopted[rec.Source]
		if !ok {
			return false
		}
		from = later(from, since)
	}
	return !r.cfg.Relay && r.now.Sub(later(from, r.awake)) > r.cfg.Silence
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// boundGone keeps the youngest tombstones, those of ids that never had an entry last, and makes room for a quarter more at
// once.
func (r *Registry) boundGone() {
	if r.gone <= r.cfg.MaxGone {
		return
	}
	var tombs []*record
	for _, rec := range r.recs {
		if rec.State == Gone {
			tombs = append(tombs, rec)
		}
	}
	slices.SortFunc(tombs, func(a, b *record) int {
		return cmp.Or(cmp.Compare(known(a), known(b)), a.at.Compare(b.at), cmp.Compare(a.ID, b.ID))
	})
	for _, rec := range tombs[:len(tombs)-r.cfg.MaxGone*3/4] {
		r.drop(rec)
	}
}

// known orders records of ids that had an entry, which names its service, behind those that never had.
func known(rec *record) int {
	if rec.Plant == "" {
		return 0
	}
	return 1
}

// pruneSources forgets components of sources without entries. What a copy that late could bring
// back is a stale entry, which costs a try. Above the bound the longest idle go first.
func (r *Registry) pruneSources() {
	var idle []string
	for name, s := range r.sources {
		if s.held > 0 || name == r.cfg.Name {
			continue
		}
		if r.now.Sub(s.moved) >= r.cfg.SourceKeep {
			delete(r.sources, name)
			continue
		}
		idle = append(idle, name)
	}
	if n := len(r.sources) - r.cfg.MaxSources; n > 0 {
		slices.SortFunc(idle, func(a, b string) int {
			return cmp.Or(r.sources[a].moved.Compare(r.sources[b].moved), cmp.Compare(a, b))
		})
		for _, name := range idle[:min(n, len(idle))] {
			delete(r.sources, name)
		}
	}
	for name := range r.adopted {
		if r.sources[name] == nil {
			delete(r.adopted, name)
		}
	}
}
