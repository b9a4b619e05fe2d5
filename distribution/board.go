package distribution

import (
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"peathollow/manifest"
	"peathollow/registry"
)

// Place is a core machine: where its controller talks to other processes of the system.
type Place struct {
	Addr, Zone, Region string
}

// keptDocuments is how many configurations a board remembers, so that a difference does where a whole isn't needed.
const keptDocuments = 8

// Board is what one process knows. Its methods may be called from any goroutine.
type Board struct {
	mu         sync.Mutex
	system     uint64 // see SetSystem
	registry   *registry.Registry
	doc        *manifest.Manifest
	packed     []byte // doc, when somebody has needed it whole
	earlier    []*manifest.Manifest
	patches    map[uint64]*manifest.Patch // to doc, by the version they start from
	core       []Place
	coreSum    uint64
	mixers     int
	slackSpent bool
	alone      bool        // as last told
	guard      func() bool // whether this process may hand out what it knows; nil: always
	aloneSince time.Time
	kept       registry.Vector // news that the disk of this process holds
	keptNo     uint64          // rises with each change of kept
	changed    chan struct{}
}

// NewBoard makes a board that knows nothing.
func NewBoard(r *registry.Registry) *Board {
	return &Board{registry: r, changed: make(chan struct{})}
}

// Changed is closed when the board next changes.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// With runs f on the registry; f tells whether there is news to pass on.
func (b *Board) With(f func(r *registry.Registry) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f(b.registry) {
		b.tell()
	}
}

func (b *Board) tell() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Document is the newest configuration known to be in force; nil before the first.
func (b *Board) Document() *manifest.Manifest {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.doc
}

// Put takes a configuration that is in force. An older one than that held changes nothing: within one life of a
// process the version never goes back.
func (b *Board) Put(m *manifest.Manifest) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.put(m)
}

func (b *Board) put(m *manifest.Manifest) bool {
	if b.doc != nil && m.Version <= b.doc.Version {
		return false
	}
	if b.doc != nil {
		b.earlier = append(b.earlier, b.doc)
		b.earlier = b.earlier[max(0, len(b.earlier)-keptDocuments):]
	}
	b.doc, b.packed, b.patches = m, nil, map[uint64]*manifest.Patch{}
	b.tell()
	return true
}

// Core is the list of core machines as last told.
func (b *Board) Core() []Place {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core
}

// SetCore tells of the core machines; an empty list changes nothing.
func (b *Board) SetCore(core []Place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.setCore(core) {
		b.tell()
	}
}

func (b *Board) setCore(core []Place) (changed bool) {
	if len(core) == 0 || slices.Equal(b.core, core) {
		return false
	}
	b.core, b.coreSum = slices.Clone(core), digest(core)
	return true
}

// Mixers is how many mixers run, 0 while that isn't known. An agent counts them, for its proxy.
func (b *Board) Mixers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mixers
}

// SetMixers tells how many mixers run.
func (b *Board) SetMixers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.setMixers(n) {
		b.tell()
	}
}

func (b *Board) setMixers(n int) (changed bool) {
	if n <= 0 || n == b.mixers {
		return false
	}
	b.mixers = n
	return true
}

// SetSlackSpent tells whether earlier lives of the proxy here have had this machine's part of the retry budget's slack. An
// agent knows, for its proxy.
func (b *Board) SetSlackSpent(spent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if spent != b.slackSpent {
		b.slackSpent = spent
		b.tell()
	}
}

// SlackSpent tells whether earlier lives of the proxy here have had this machine's part of the retry budget's slack.
func (b *Board) SlackSpent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slackSpent
}

// SetAlone tells that this process is out of touch with most of the core, or has not yet learned since it is in touch what
// is in force: who pulls here had better move on. Until it is told otherwise, agents get no configuration and
// no list that may be taken for the whole: both may be old.
func (b *Board) SetAlone(alone bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if alone != b.alone {
		b.markAlone(alone)
		b.tell()
	}
}

func (b *Board) markAlone(alone bool) {
	if alone != b.alone {
		b.alone, b.aloneSince = alone, time.Now()
	}
}

// Guard sets what is asked, each time and with nothing else in between, whether agents may be handed what the board holds.
// SetAlone alone says how that was at some time before.
func (b *Board) Guard(inContact func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.guard = inContact
}

// SetKept tells what news the disk of this process holds.
func (b *Board) SetKept(v registry.Vector) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kept = v
	b.keptNo++
	b.tell()
}

// Kept gives what SetKept told.
func (b *Board) Kept() registry.Vector {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kept
}

// Entries copies the searchers that are listed.
func (b *Board) Entries() []registry.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.DeleteFunc(slices.Collect(b.registry.All()), func(e registry.Entry) bool { return Reserved(e.Plant) })
}

// Complete tells whether the list of searchers may be taken for the whole.
func (b *Board) Complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.registry.Complete()
}

// cargo answers an ask with what the asker lacks; false if there is nothing.
func (b *Board) cargo(a *Ask) (Cargo, bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.Peer && b.guard != nil && !b.guard() {
		b.markAlone(true)
	}
	if b.alone && !a.Peer {
		return b.cargoAlone(a)
	}
	c := Cargo{System: b.system, News: b.registry.Since(a.Want, entriesMost)}
	some := !c.News.Empty()
	if a.Mend != nil {
		c.Mend, some = b.compare(a.Mend, time.Now()), true
	}
	if a.Peer && a.Kept != b.keptNo {
		c.Kept, c.KeptNo, some = b.kept.Clone(), b.keptNo, true
	}
	if !a.Peer {
		c.Alone, c.Mixers, c.SlackSpent = b.alone, b.mixers, b.slackSpent
		some = some || b.alone != a.Alone || b.slackSpent != a.SlackSpent || b.mixers > 0 && b.mixers != a.Mixers // who doesn't count has nothing to say
		if a.Core != b.coreSum {
			c.Core, some = b.core, true
		}
	}
	if a.Peer {
		return c, some, b.changed // controllers learn the configuration in force from consensus alone
	}
	if b.doc != nil && b.doc.Version > a.Version {
		some = true
		c.Version = b.doc.Version
		if i := slices.IndexFunc(b.earlier, func(m *manifest.Manifest) bool { return m.Version == a.Version }); i >= 0 && !a.Whole {
			if b.patches[a.Version] == nil {
				p := manifest.Delta(b.earlier[i], b.doc)
				b.patches[a.Version] = &p
			}
			c.Patch = b.patches[a.Version]
		} else {
			if b.packed == nil {
				b.packed = manifest.Pack(b.doc.Raw)
			}
			c.Whole = b.packed
		}
	}
	return c, some, b.changed
}

// aloneNewsAfter is how long a process is out of contact before it tells those that wait there what it knows of
// searchers: it may be all there is. Before, nothing that costs anything is sent: all agents come by while all
// controllers start.
const aloneNewsAfter = 3 * time.Second

// cargoAlone answers an agent's ask out of contact; the lock is held.
func (b *Board) cargoAlone(a *Ask) (Cargo, bool, <-chan struct{}) {
	c := Cargo{System: b.system, Alone: true, News: registry.Delta{By: b.registry.Name()}}
	some := !a.Alone
	if a.Core != b.coreSum {
		c.Core, some = b.core, true
	}
	if a.Alone && time.Since(b.aloneSince) > aloneNewsAfter {
		c.News = b.registry.Since(a.Want, entriesMost)
		c.News.Whole = false
		some = some || !c.News.Empty()
	}
	return c, some, b.changed
}

// take merges a cargo; an error means that the asker should ask for the whole configuration.
func (b *Board) take(c *Cargo, peer bool, now time.Time) error {
	var m *manifest.Manifest
	var err error
	if c.Whole != nil {
		raw, e := manifest.Unpack(c.Whole, documentMost)
		if e == nil {
			m, e = manifest.Parse(raw)
		}
		err = e
	} else if c.Patch != nil {
		if base := b.Document(); base != nil {
			m, err = c.Patch.Apply(base)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := b.registry.Merge(now, c.News)
	if m != nil && err == nil {
		b.put(m)
	}
	if !peer {
		changed = b.setCore(c.Core) || changed
		changed = b.setMixers(c.Mixers) || changed
	}
	if changed || !c.News.Empty() {
		b.tell()
	}
	return err
}

func digest(core []Place) uint64 {
	var h xxh3.Hasher
	for _, p := range core {
		h.WriteString(p.Addr + "," + p.Zone + "," + p.Region + ";")
	}
	return h.Sum64()
}
