package controlplane

import (
	"context"
	"slices"
	"time"

	"peathollow/distribution"
	"peathollow/registry"
)

// What a controller remembers beside consensus's records, so that after a loss of all power the system serves again at once:
// the configuration in force and the list of searchers. Neither is handed out before contact (contact.go). That a searcher
// leaves is on the disks of a majority before it is acknowledged (drains.go).

const (
	keepEvery   = 500 * time.Millisecond // how often a changed list is written
	entriesMost = 1000                   // of one write
)

// recall takes over what an earlier life kept.
func (c *Controller) recall() {
	doc, entries := c.store.Remembered()
	if doc != nil {
		if m, err := open(doc.Body); err == nil {
			c.board.SetDocument(m)
			c.recalled.Store(m.Version)
		} else {
			c.log.Error().Str("event", "recall").Err(err).Msg("")
		}
	}
	c.board.WithRegistry(func(r *registry.Registry) bool {
		r.Restore(time.Now(), entries)
		return len(entries) > 0
	})
}

// tombstones are the searchers that are gone and still on disk, in the order in which they were written.
type tombstones struct {
	ids []string
	at  []time.Time
}

// forgetGoneAfter is how long the disk keeps that a searcher is gone: longer than any list does.
const forgetGoneAfter = 5 * time.Minute

func (t *tombstones) add(now time.Time, entries []registry.Entry) {
	for i := range entries {
		if entries[i].State == registry.Gone {
			t.ids, t.at = append(t.ids, entries[i].ID), append(t.at, now)
		}
	}
}

// over takes out those that are to be forgotten.
func (t *tombstones) over(now time.Time) []string {
	n := 0
	for n < len(t.at) && now.Sub(t.at[n]) > forgetGoneAfter {
		n++
	}
	ids := t.ids[:n:n]
	t.ids, t.at = t.ids[n:], t.at[n:]
	return ids
}

// memory is how far the disk has followed the list and the configuration. The disk is one more reader of the list, with
// a cursor of its own.
type memory struct {
	want    registry.PullQuery
	version uint64
	last    time.Time // when the list was last written
	gone    tombstones
	waits   bool // a searcher leaves among what was written since the board was last told
}

// remember keeps what changes: at once where a searcher leaves, which its acknowledgement waits for, else now and then.
func (c *Controller) remember(ctx context.Context) {
	t := time.NewTicker(keepEvery)
	defer t.Stop()
	m := memory{want: registry.PullQuery{Name: "disk"}}
	for {
		changed := c.board.Changed()
		if !c.keep(ctx, &m) {
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

// keep writes what is due; false when ctx has ended.
func (c *Controller) keep(ctx context.Context, m *memory) bool {
	var d registry.Delta
	var held registry.Vector
	c.board.WithRegistry(func(r *registry.Registry) bool {
		m.want.By = r.Name()
		d, held = r.Since(m.want, entriesMost), r.Vector()
		return false
	})
	// Mixers show themselves again at once, and a list of them alone would be taken for the whole.
	entries := slices.DeleteFunc(d.Entries, func(e registry.Entry) bool { return distribution.Reserved(e.ID) })
	m.waits = m.waits || slices.ContainsFunc(entries, func(e registry.Entry) bool { return e.State != registry.Ready })
	now := time.Now()
	if !m.waits && now.Sub(m.last) < keepEvery {
		return true
	}
	doc := c.core.inForce.Load()
	newer := doc != nil && doc.Version != m.version
	if len(entries) == 0 && !newer && !m.waits {
		m.want.Cursor = d.Next
		return true
	}
	forget := m.gone.over(now)
	ok := c.core.do(ctx, func() error {
		if newer {
			if err := c.store.PutForce(*doc); err != nil {
				return err
			}
		}
		return c.store.PutSearchers(entries, forget)
	})
	if !ok {
		return false
	}
	m.gone.add(now, entries)
	m.want.Cursor, m.last = d.Next, now
	if newer {
		m.version = doc.Version
	}
	if m.waits && !d.More {
		m.waits = false
		c.board.SetPersisted(held)
		c.tellKept()
	}
	return true
}

// adopt minds the entries of controllers' lives that are over; the registry's lock is held. One that is alone can't tell whose
// life is over from who is beyond the cut, and what it called silent then would be told to all after it.
func (c *Controller) adopt(r *registry.Registry, alone bool) {
	if time.Since(c.core.start) < 2*c.set.BeatPeriod {
		return
	}
	live := c.lives()
	for name := range r.Vector() {
		if alone || live[name] {
			r.Release(name)
		} else {
			r.Adopt(time.Now(), name)
		}
	}
}

// lives names the controllers' lives that aren't over, this one among them.
func (c *Controller) lives() map[string]bool {
	live := map[string]bool{c.life: true}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		if time.Since(p.at) < forgetAfter {
			live[p.life] = true
		}
	}
	return live
}
