package schema

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Lowest is the version that every peer understands that states no range.
const Lowest = 1

// Range is the range of versions that a peer understands. The zero value is the lowest version alone.
type Range struct {
	Low  int `json:"l,omitempty"`
	High int `json:"h,omitempty"`
}

func (r Range) low() int  { return max(r.Low, Lowest) }
func (r Range) high() int { return max(r.High, r.low()) }

// Contains reports whether the range includes a version.
func (r Range) Contains(v int) bool { return v >= r.low() && v <= r.high() }

// Settings configures the negotiation. All fields but Own must be the same for all instances.
type Settings struct {
	Own        Range
	Reserve    int           // healthy searchers per shard that must understand a version, so that a part can be retried elsewhere
	RaiseDelay time.Duration // all must understand a version for this long before the fleet is raised to it
	Cooldown   time.Duration // after being lowered, the fleet is not raised for this long
}

// Check returns an error if no instance can work with the settings.
func (s *Settings) Check() error {
	if s.Reserve < 1 || s.RaiseDelay < 0 || s.Cooldown < 0 {
		return fmt.Errorf("schema: reserve %d, raise delay %v, cooldown %v: the reserve must be at least 1 and the times not negative",
			s.Reserve, s.RaiseDelay, s.Cooldown)
	}
	return nil
}

// Announcement is what each instance sends to the others: the versions that it understands, and the fleet's version as
// far as it knows.
type Announcement struct {
	Own     Range  `json:"own"`
	Epoch   uint64 `json:"epoch"`
	Version int    `json:"version"`
}

// newer reports whether a supersedes o as the fleet's version. The later epoch wins. If two instances changed the version
// in the same epoch, the lower version wins, as any instance that understands the higher one understands it too.
func (a Announcement) newer(o Announcement) bool {
	return cmp.Or(cmp.Compare(a.Epoch, o.Epoch), cmp.Compare(o.Version, a.Version)) > 0
}

// Searcher describes a searcher: its range as listed, the shards it holds, and whether parts can be sent to it.
type Searcher struct {
	Name        string
	Incarnation uint64 // differs after each restart
	Range       Range
	Shards      []int
	Healthy     bool // parts can be sent to it
}

// results holds what a searcher's responses show about the range it claims.
type results struct {
	incarnation uint64
	failures    map[int]int // consecutive, by version
}

const maxFailures = 3 // consecutive: from here on a version counts as not understood, whatever the list states

// Negotiator holds one instance's state of the version negotiation.
type Negotiator struct {
	settings       Settings
	now            time.Duration
	epoch          uint64
	version        int
	loweredAt      time.Duration         // the last known lowering; starts a Cooldown in the past, so that a raise is allowed
	supportedSince map[int]time.Duration // by higher version: since when all mixers support it and every shard has its reserve
	results        map[string]*results
	searchers      []Searcher
	others         map[string]Announcement
	unknownPeers   bool // some instances are taken to be alive whose range is unknown
}

// New makes the state of an instance that speaks the lowest version it understands until it hears of a later epoch.
func New(settings Settings, now time.Duration) (*Negotiator, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &Negotiator{settings: settings, now: now, version: settings.Own.low(), loweredAt: now - settings.Cooldown,
		supportedSince: map[int]time.Duration{}, results: map[string]*results{}, others: map[string]Announcement{}}, nil
}

// Advance advances the clock, which never goes back.
func (c *Negotiator) Advance(now time.Duration) { c.now = max(c.now, now) }

// Announcement returns the announcement to send to the others.
func (c *Negotiator) Announcement() Announcement {
	return Announcement{c.settings.Own, c.epoch, c.version}
}

// Version returns the version that the fleet speaks, as far as this instance knows.
func (c *Negotiator) Version() int { return c.version }

// Epoch returns the number of the change that led to the current version.
func (c *Negotiator) Epoch() uint64 { return c.epoch }

// SetPeers takes the announcements of all other instances whose data may be used, and the number of further instances that
// are taken to be alive. Those may serve the same clients, and which versions they understand is unknown. A newer
// version of the fleet is adopted; one that this instance does not understand is lowered at once.
func (c *Negotiator) SetPeers(announcements map[string]Announcement, unknown int) {
	c.others, c.unknownPeers = maps.Clone(announcements), unknown > 0
	for _, n := range slices.Sorted(maps.Keys(announcements)) {
		if s := announcements[n]; s.newer(c.Announcement()) {
			if s.Version < c.version {
				c.loweredAt = c.now
			}
			c.epoch, c.version = s.Epoch, s.Version
		}
	}
	c.update()
}

// SetSearchers takes the list of searchers.
func (c *Negotiator) SetSearchers(list []Searcher) {
	c.searchers = slices.Clone(list)
	names := map[string]bool{}
	for _, s := range list {
		names[s.Name] = true
		if r := c.results[s.Name]; r == nil || r.incarnation != s.Incarnation {
			c.results[s.Name] = &results{s.Incarnation, map[int]int{}} // results of an earlier process say nothing about this one
		}
	}
	maps.DeleteFunc(c.results, func(n string, _ *results) bool { return !names[n] })
	c.update()
}

// RecordResult records whether a searcher answered a part in a version. A searcher that repeatedly fails in a version that it
// claims counts as not understanding it; a single answer shows that it does.
func (c *Negotiator) RecordResult(name string, v int, ok bool) {
	r := c.results[name]
	if r == nil || v <= Lowest {
		return
	}
	if ok {
		delete(r.failures, v)
	} else if len(r.failures) < 16 || r.failures[v] > 0 {
		r.failures[v]++
	}
	c.update()
}

// Understands reports whether a searcher understands a version, by its range and its results.
func (c *Negotiator) Understands(s *Searcher, v int) bool {
	r := c.results[s.Name]
	return s.Range.Contains(v) && (r == nil || r.failures[v] < maxFailures)
}

// hasReserve reports whether every shard has its reserve in a version. For a shard with fewer healthy searchers than the
// reserve, all of them must understand it.
func (c *Negotiator) hasReserve(v int) bool {
	healthy, understanding := map[int]int{}, map[int]int{}
	for i := range c.searchers {
		s := &c.searchers[i]
		for _, shard := range s.Shards {
			if s.Healthy {
				healthy[shard]++
			}
			if s.Healthy && c.Understands(s, v) {
				understanding[shard]++
			}
		}
	}
	for shard, n := range healthy {
		if understanding[shard] < min(c.settings.Reserve, n) {
			return false
		}
	}
	return true
}

// mixersSupport reports whether this instance and all others that it hears understand a version.
func (c *Negotiator) mixersSupport(v int) bool {
	if !c.settings.Own.Contains(v) {
		return false
	}
	for _, s := range c.others {
		if !s.Own.Contains(v) {
			return false
		}
	}
	return true
}

// update lowers the version at once if it is no longer supported, and records since when higher versions are. Any instance
// that notices may lower the version: in one that is not understood, scans fail or are misread.
func (c *Negotiator) update() {
	if !c.mixersSupport(c.version) || !c.hasReserve(c.version) {
		if v, ok := c.lowerVersion(); ok {
			c.epoch, c.version, c.loweredAt = c.epoch+1, v, c.now
		}
	}
	for v := c.version + 1; v <= c.settings.Own.high(); v++ {
		if !c.mixersSupport(v) || !c.hasReserve(v) {
			delete(c.supportedSince, v)
		} else if _, ok := c.supportedSince[v]; !ok {
			c.supportedSince[v] = c.now
		}
	}
	maps.DeleteFunc(c.supportedSince, func(v int, _ time.Duration) bool { return v <= c.version })
}

// lowerVersion returns the highest lower version that all mixers understand and that has its reserve. If none has, it
// returns the highest that all mixers understand, provided that the current one is not: without a reserve, scans are
// refused one by one in any version.
func (c *Negotiator) lowerVersion() (int, bool) {
	best, ok := 0, false
	for v := c.version - 1; v >= c.settings.Own.low(); v-- {
		if !c.mixersSupport(v) {
			continue
		}
		if c.hasReserve(v) {
			return v, true
		}
		if !ok {
			best, ok = v, true
		}
	}
	return best, ok && !c.mixersSupport(c.version)
}

// Raise raises the fleet's version and reports whether it did. That requires that this instance is permitted to
// (fleet/view's Raise, which takes a settled majority), that all others are heard and understand the version and every
// shard has its reserve, both for the raise delay, and that the fleet was not lowered recently.
func (c *Negotiator) Raise(permitted bool) bool {
	if !permitted || c.unknownPeers || c.now-c.loweredAt < c.settings.Cooldown {
		return false
	}
	best := 0
	for v, since := range c.supportedSince {
		if c.now-since >= c.settings.RaiseDelay {
			best = max(best, v)
		}
	}
	if best == 0 {
		return false
	}
	c.epoch, c.version = c.epoch+1, best
	c.update()
	return true
}

// ChooseVersion returns the version of a new scan: the highest, up to the fleet's version, that its client understands. A
// scan that its client sends again within the retry window keeps the version of its first attempt (pinned, 0 for none). It
// returns false if this instance may not speak any version that the client needs: the scan is refused at once, to be
// retried.
func (c *Negotiator) ChooseVersion(client Range, pinned int) (v int, ok bool) {
	if pinned > 0 {
		return pinned, c.settings.Own.Contains(pinned) && client.Contains(pinned)
	}
	v = min(c.version, client.high())
	return v, client.Contains(v) && c.settings.Own.Contains(v)
}

// CanSend reports whether a part of a scan in the given version may be sent to a searcher. All parts of a scan, in both steps
// and in every retry or hedge, are checked with the scan's one version.
func (c *Negotiator) CanSend(name string, v int) bool {
	i := slices.IndexFunc(c.searchers, func(s Searcher) bool { return s.Name == name })
	return i >= 0 && c.searchers[i].Healthy && c.Understands(&c.searchers[i], v)
}

// CanServe reports whether each of the shards has a healthy searcher that understands a version. Otherwise a scan of them
// is refused at once, and never sent in a version that could be misread.
func (c *Negotiator) CanServe(shards []int, v int) bool {
	return !slices.ContainsFunc(shards, func(shard int) bool {
		return !slices.ContainsFunc(c.searchers, func(s Searcher) bool {
			return s.Healthy && slices.Contains(s.Shards, shard) && c.Understands(&s, v)
		})
	})
}
