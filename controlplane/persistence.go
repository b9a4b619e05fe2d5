package controlplane

import (
	"context"
	"slices"
	"time"

	"peathollow/distribution"
	"peathollow/registry"
)

// Besides the records of consensus, a controller persists the configuration in force and the list of searchers, so that the
// system serves again at once after a power loss of all machines. Neither is handed out before contact (contact.go). A
// searcher's leaving is on the disks of a majority before it is acknowledged (drains.go).

const (
	persistInterval    = 500 * time.Millisecond // how often a changed list is written
	maxEntriesPerWrite = 1000                   // bounds one write
)

// restore loads what an earlier incarnation persisted.
func (c *Controller) restore() {
	doc, entries := c.store.LastStored()
	if doc != nil {
		if m, err := unpackManifest(doc.Body); err == nil {
			c.replica.SetDocument(m)
			c.restoredVersion.Store(m.Version)
		} else {
			c.log.Error().Str("event", "recall").Err(err).Msg("")
		}
	}
	c.replica.WithRegistry(func(r *registry.Registry) bool {
		r.Restore(time.Now(), entries)
		return len(entries) > 0
	})
}

// tombstones holds the removed searchers that are still on disk, in the order in which they were written.
type tombstones struct {
	ids       []string
	writtenAt []time.Time
}

// tombstoneTTL is how long the disk holds the tombstone of a searcher. It is longer than any list holds it.
const tombstoneTTL = 5 * time.Minute

func (t *tombstones) add(now time.Time, entries []registry.Entry) {
	for i := range entries {
		if entries[i].State == registry.Gone {
			t.ids, t.writtenAt = append(t.ids, entries[i].ID), append(t.writtenAt, now)
		}
	}
}

// expire removes and returns the IDs whose tombstones have expired.
func (t *tombstones) expire(now time.Time) []string {
	n := 0
	for n < len(t.writtenAt) && now.Sub(t.writtenAt[n]) > tombstoneTTL {
		n++
	}
	ids := t.ids[:n:n]
	t.ids, t.writtenAt = t.ids[n:], t.writtenAt[n:]
	return ids
}

// persistState tracks how much of the list and of the configuration is on disk. The disk is one more reader of the list,
// with a cursor of its own.
type persistState struct {
	query        registry.PullQuery
	version      uint64
	lastWrite    time.Time // when the list was last written
	tombstones   tombstones
	drainPending bool // the writes since the last SetPersisted include a searcher that leaves
}

// persistLoop writes changes to disk: at once if a searcher leaves, since its acknowledgement waits for the write, otherwise
// every persistInterval.
func (c *Controller) persistLoop(ctx context.Context) {
	t := time.NewTicker(persistInterval)
	defer t.Stop()
	m := persistState{query: registry.PullQuery{Name: "disk"}}
	for {
		changed := c.replica.Changed()
		if !c.persist(ctx, &m) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-changed:
		}
	}
}

// persist writes what is due. It returns false if ctx has ended.
func (c *Controller) persist(ctx context.Context, m *persistState) bool {
	var d registry.Delta
	var held registry.Vector
	c.replica.WithRegistry(func(r *registry.Registry) bool {
		m.query.By = r.Name()
		d, held = r.Since(m.query, maxEntriesPerWrite), r.Vector()
		return false
	})
	// Mixers report themselves again soon after a restart, and a restored list of them alone would be taken for the complete
	// one.
	entries := slices.DeleteFunc(d.Entries, func(e registry.Entry) bool { return distribution.Reserved(e.ID) })
	m.drainPending = m.drainPending || slices.ContainsFunc(entries, func(e registry.Entry) bool { return e.State != registry.Ready })
	now := time.Now()
	if !m.drainPending && now.Sub(m.lastWrite) < persistInterval {
		return true
	}
	doc := c.driver.committedDoc.Load()
	newer := doc != nil && doc.Version != m.version
	if len(entries) == 0 && !newer && !m.drainPending {
		m.query.Cursor = d.Next
		return true
	}
	forget := m.tombstones.expire(now)
	ok := c.driver.writeToDisk(ctx, func() error {
		if newer {
			if err := c.store.PutConfiguration(*doc); err != nil {
				return err
			}
		}
		return c.store.PutSearchers(entries, forget)
	})
	if !ok {
		return false
	}
	m.tombstones.add(now, entries)
	m.query.Cursor, m.lastWrite = d.Next, now
	if newer {
		m.version = doc.Version
	}
	if m.drainPending && !d.More {
		m.drainPending = false
		c.replica.SetPersisted(held)
		c.notifyPersisted()
	}
	return true
}

// adoptOrphans takes over the entries of controller incarnations that have ended. An isolated controller can't distinguish
// an ended incarnation from one on the other side of a partition, and the entries that it marked as silent would spread to
// all others after the partition. The registry's lock is held.
func (c *Controller) adoptOrphans(r *registry.Registry, isolated bool) {
	if time.Since(c.driver.start) < 2*c.settings.BeatPeriod {
		return
	}
	live := c.liveIncarnations()
	for name := range r.Vector() {
		if isolated || live[name] {
			r.Release(name)
		} else {
			r.Adopt(time.Now(), name)
		}
	}
}

// liveIncarnations returns the controller incarnations that have not ended, including this one.
func (c *Controller) liveIncarnations() map[string]bool {
	live := map[string]bool{c.incarnation: true}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		if time.Since(p.lastPull) < livenessTimeout {
			live[p.incarnation] = true
		}
	}
	return live
}
