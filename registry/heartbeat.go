package registry

import (
	"cmp"
	"slices"
	"time"
)

// Heartbeat processes a heartbeat received first-hand. A mere repeat publishes nothing and takes no
// number: it only shows that the searcher is alive.
func (r *Registry) Heartbeat(now time.Time, s Searcher) HeartbeatResult {
	r.advanceClock(now)
	if s.State >= Gone {
		return r.Leave(now, s.ID)
	}
	if r.cfg.Relay {
		return HeartbeatResult{Refused: true}
	}
	rec := r.records[s.ID]
	first := rec == nil || rec.lastHeartbeat.IsZero() || rec.Address != s.Address
	if rec != nil {
		if rec.State == Gone {
			return HeartbeatResult{Gone: true, State: rec.State, Source: rec.Source, No: rec.No}
		}
		// Repeats raise calls without an update, so the entry alone doesn't show that a heartbeat is late.
		lastKnown := max(rec.Calls, rec.lastCalls)
		if s.Calls < lastKnown || s.Calls == lastKnown && s.State <= rec.State {
			return HeartbeatResult{Late: true, State: rec.State, Source: rec.Source, No: rec.No}
		}
	}
	e := Entry{Searcher: s, Source: r.cfg.Name}
	if rec == nil || rec.Source != r.cfg.Name || !sameListing(&e, &rec.Entry) || r.warmupDrifted(rec, s.WarmupLeft) {
		if !r.publish(e) {
			return HeartbeatResult{Refused: true}
		}
		rec = r.records[s.ID]
		rec.lastHeartbeat, rec.lastCalls, rec.suspect = r.now, s.Calls, false
		if first {
			r.silenceOthersAt(rec)
		}
		return HeartbeatResult{Published: true, State: rec.State, Source: rec.Source, No: rec.No}
	}
	rec.lastHeartbeat, rec.lastCalls, rec.suspect = r.now, s.Calls, false
	return HeartbeatResult{State: rec.State, Source: rec.Source, No: rec.No}
}

// warmupDrifted reports whether the reported time left differs from what the published one has run
// down to.
func (r *Registry) warmupDrifted(rec *record, left time.Duration) bool {
	return (left - warmupLeftAt(rec, r.now)).Abs() > r.cfg.Period
}

// silenceOthersAt marks the other searchers at the address of rec as Silent; rec just sent its first
// heartbeat from there to this registry. They aren't marked Gone, which is final: the heartbeat may
// have been delayed for long and the other searcher be the live one. That one returns with its next
// heartbeat, and a wrong guess costs a searcher named in Target-Searcher one 421. Only first
// heartbeats have this effect, so that two ids that claim one address don't displace each other at
// each heartbeat.
func (r *Registry) silenceOthersAt(rec *record) {
	var others []*record
	for _, o := range r.addresses[rec.Address] {
		if o.ID != rec.ID && !o.Silent && o.Address != "" {
			others = append(others, o)
		}
	}
	slices.SortFunc(others, func(a, b *record) int { return cmp.Compare(a.ID, b.ID) })
	for _, o := range others {
		r.markSilent(o)
	}
}

// Leave records that a searcher has ended. It is final, also for an id that wasn't known: its entry
// may still be on its way from another source.
func (r *Registry) Leave(now time.Time, id string) HeartbeatResult {
	r.advanceClock(now)
	if r.cfg.Relay {
		return HeartbeatResult{Refused: true}
	}
	e := Entry{Searcher: Searcher{ID: id, State: Gone}, Source: r.cfg.Name}
	if rec := r.records[id]; rec != nil {
		if rec.State == Gone {
			return HeartbeatResult{Gone: true, State: rec.State, Source: rec.Source, No: rec.No}
		}
		e.Calls, e.Plant = max(rec.Calls, rec.lastCalls), rec.Plant
	}
	if !r.publish(e) {
		return HeartbeatResult{Refused: true}
	}
	rec := r.records[id]
	return HeartbeatResult{Published: true, Gone: true, State: rec.State, Source: rec.Source, No: rec.No}
}

// publish joins e under this registry's next number.
func (r *Registry) publish(e Entry) bool {
	s := r.sources[r.cfg.Name]
	s.number++
	e.No = s.number
	return r.join(e) // a refused entry leaves a gap in the numbers, which does no harm
}

// markSilent publishes rec as Silent.
func (r *Registry) markSilent(rec *record) {
	e := rec.Entry
	e.Source, e.Silent, e.WarmupLeft = r.cfg.Name, true, 0
	// On the last call received: a late copy of an earlier one must not undo the mark.
	e.Calls = max(rec.Calls, rec.lastCalls)
	r.publish(e)
}

// refuteSilence clears a silence mark that another source set on an earlier call than the last one
// received here.
func (r *Registry) refuteSilence(rec *record) {
	e := rec.Entry
	e.Source, e.Silent, e.Calls = r.cfg.Name, false, rec.lastCalls
	r.publish(e)
}

// Adopt makes this registry monitor the entries of a source that the caller considers dead: those
// that no controller receives heartbeats for within the silence timeout are marked Silent. Until
// then, and for ever without Adopt, they stay as they are. The next heartbeats correct a wrong call.
func (r *Registry) Adopt(now time.Time, name string) {
	r.advanceClock(now)
	if _, ok := r.adopted[name]; ok || r.cfg.Relay || name == r.cfg.Name || len(r.adopted) >= r.cfg.MaxSources {
		return
	}
	r.adopted[name] = r.now
}

// Release ends an adoption: the source is back in contact and monitors its entries itself. Without
// it, searchers that the source hears from, and that publish no updates, would be marked silent here
// for ever.
func (r *Registry) Release(name string) { delete(r.adopted, name) }

// Tick marks unresponsive searchers as Silent and removes expired entries. Call it several times in a
// period: a longer gap means that this process didn't run and couldn't receive heartbeats. It
// reports whether the list changed.
func (r *Registry) Tick(now time.Time) bool {
	r.advanceClock(now)
	if r.now.Sub(r.lastTick) > r.cfg.Period {
		r.runningSince = r.now
	}
	r.lastTick = r.now
	if !r.complete && !r.cfg.Relay && r.now.Sub(r.runningSince) >= r.cfg.Period*3/2 {
		r.complete = true
	}
	if r.now.Sub(r.lastScan) < r.cfg.Period/8 {
		return false
	}
	r.lastScan = r.now
	generation := r.generation
	var expired, unresponsive, alive []*record
	for _, rec := range r.records {
		switch {
		case rec.State == Gone && r.now.Sub(rec.publishedAt) >= r.cfg.TombstoneTTL,
			rec.Silent && r.now.Sub(rec.publishedAt) >= r.cfg.SilentTTL && !r.keepsUnheard(rec.Plant):
			expired = append(expired, rec)
		case rec.State != Gone && !rec.Silent && r.shouldMarkSilent(rec):
			unresponsive = append(unresponsive, rec)
		case rec.Silent && rec.lastCalls > rec.Calls && r.now.Sub(rec.lastHeartbeat) <= r.cfg.SilenceTimeout:
			alive = append(alive, rec)
		}
	}
	for _, rec := range expired {
		r.drop(rec)
	}
	// By id, so that the same events give the same numbers.
	byID := func(a, b *record) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(unresponsive, byID)
	for _, rec := range unresponsive {
		r.markSilent(rec)
	}
	slices.SortFunc(alive, byID)
	for _, rec := range alive {
		r.refuteSilence(rec)
	}
	r.trimTombstones()
	r.pruneSources()
	return r.generation != generation
}

// keepsUnheard reports whether the silent entries of a service are kept, since no searcher of it is heard.
func (r *Registry) keepsUnheard(service string) bool {
	if !r.cfg.KeepUnheard {
		return false
	}
	for _, rec := range r.services[service] {
		if !rec.Silent {
			return false
		}
	}
	return true
}

// shouldMarkSilent reports whether this registry has to mark the searcher as Silent. Once another
// source has received its heartbeat, that source monitors it.
func (r *Registry) shouldMarkSilent(rec *record) bool {
	from := later(rec.lastHeartbeat, rec.receivedAt)
	if rec.Source != r.cfg.Name {
		since, ok := r.adopted[rec.Source]
		if !ok {
			return false
		}
		from = later(from, since)
	}
	return !r.cfg.Relay && r.now.Sub(later(from, r.runningSince)) > r.cfg.SilenceTimeout
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// trimTombstones enforces MaxTombstones. It removes tombstones of ids that never had an entry first, then
// the oldest, and leaves a quarter of the bound free so that the next tombstones don't trigger it again.
func (r *Registry) trimTombstones() {
	if r.tombstones <= r.cfg.MaxTombstones {
		return
	}
	var tombstones []*record
	for _, rec := range r.records {
		if rec.State == Gone {
			tombstones = append(tombstones, rec)
		}
	}
	slices.SortFunc(tombstones, func(a, b *record) int {
		return cmp.Or(cmp.Compare(evictionRank(a), evictionRank(b)), a.publishedAt.Compare(b.publishedAt), cmp.Compare(a.ID, b.ID))
	})
	for _, rec := range tombstones[:len(tombstones)-r.cfg.MaxTombstones*3/4] {
		r.drop(rec)
	}
}

// evictionRank orders records of ids that had an entry, which names its service, behind those that
// never had one.
func evictionRank(rec *record) int {
	if rec.Plant == "" {
		return 0
	}
	return 1
}

// pruneSources forgets vector components of sources without entries. A copy that arrives even later
// can bring back a stale entry, which costs an attempt. Above MaxSources the longest idle are
// forgotten first.
func (r *Registry) pruneSources() {
	var idle []string
	for name, s := range r.sources {
		if s.entries > 0 || name == r.cfg.Name {
			continue
		}
		if r.now.Sub(s.changedAt) >= r.cfg.SourceTTL {
			delete(r.sources, name)
			continue
		}
		idle = append(idle, name)
	}
	if n := len(r.sources) - r.cfg.MaxSources; n > 0 {
		slices.SortFunc(idle, func(a, b string) int {
			return cmp.Or(r.sources[a].changedAt.Compare(r.sources[b].changedAt), cmp.Compare(a, b))
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
