package storage

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/pebble/v2"
	"github.com/shoenig/test/must"

	"peathollow/consensus"
	"peathollow/registry"
)

// reopen closes a store, unless it is nil, and opens its folder again.
func reopen(t *testing.T, s *Store, dir string) (*Store, *consensus.Saved, error) {
	t.Helper()
	if s != nil {
		must.NoError(t, s.Close())
	}
	s, saved, damage, err := Open(dir)
	must.NoError(t, err)
	return s, saved, damage
}

func TestRecordsAreRestored(t *testing.T) {
	dir := t.TempDir()
	s, saved, damage := reopen(t, nil, dir)
	must.NoError(t, damage)
	must.Nil(t, saved)
	vote := consensus.Vote{Promised: consensus.Ballot{Round: 3, ID: "a"}, Known: consensus.Epoch{N: 2, Primary: "a"}}
	kept := consensus.Copy{Stamp: consensus.Stamp{Epoch: 2, Revision: 7},
		State: consensus.State{Revision: 7, Doc: consensus.Document{Version: 7, Body: []byte("seven")}}}
	must.NoError(t, s.Write(&consensus.Write{Token: 1, ID: "me", Vote: &vote, Copy: &kept}))
	s, saved, damage = reopen(t, s, dir)
	must.NoError(t, damage)
	must.Eq(t, &consensus.Saved{ID: "me", Vote: vote, Copy: kept}, saved)

	// Records that a write leaves out are unchanged.
	vote.Promised.Round = 4
	must.NoError(t, s.Write(&consensus.Write{Token: 2, Vote: &vote}))
	s, saved, _ = reopen(t, s, dir)
	must.Eq(t, &consensus.Saved{ID: "me", Vote: vote, Copy: kept}, saved)
	must.NoError(t, s.Close())
}

func TestSearchersAndConfigurationAreRestored(t *testing.T) {
	dir := t.TempDir()
	s, _, _ := reopen(t, nil, dir)
	doc, list := s.LastStored()
	must.Nil(t, doc)
	must.SliceEmpty(t, list)
	entry := func(id string, st registry.State) registry.Entry {
		return registry.Entry{Searcher: registry.Searcher{ID: id, Plant: "p", Address: "a:1", State: st, Calls: 4}, Source: "h", No: 9}
	}
	must.NoError(t, s.PutConfiguration(consensus.Document{Version: 5, Body: []byte("five")}))
	must.NoError(t, s.PutSearchers([]registry.Entry{entry("i", registry.Ready), entry("j", registry.Draining)}, nil))
	must.NoError(t, s.PutSearchers([]registry.Entry{entry("i", registry.Gone)}, nil))
	_, list = s.LastStored()
	must.Eq(t, []registry.Entry{entry("i", registry.Gone), entry("j", registry.Draining)}, list) // a removed searcher keeps its entry
	must.NoError(t, s.PutSearchers(nil, []string{"i"}))
	s, saved, damage := reopen(t, s, dir)
	must.NoError(t, damage)
	must.Nil(t, saved) // neither record is part of the control state
	doc, list = s.LastStored()
	must.Eq(t, &consensus.Document{Version: 5, Body: []byte("five")}, doc)
	must.Eq(t, []registry.Entry{entry("j", registry.Draining)}, list)

	// A searcher whose record can't be read is skipped.
	must.NoError(t, s.db.Set([]byte(keySearchers+"j"), []byte("torn"), pebble.Sync))
	_, list = s.LastStored()
	must.SliceEmpty(t, list)
	must.NoError(t, s.Close())
}

// TestDamagedRecordEmptiesStore checks that a damaged record is never used: the machine starts like one with an empty disk.
func TestDamagedRecordEmptiesStore(t *testing.T) {
	good := encode(consensus.ID("me"))
	flip := append([]byte(nil), good...)
	flip[len(flip)-1] ^= 1
	for name, record := range map[string][]byte{"a bit": flip, "cut short": good[:5]} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s, _, _ := reopen(t, nil, dir)
			must.NoError(t, s.Write(&consensus.Write{ID: "me", Vote: &consensus.Vote{}}))
			must.NoError(t, s.db.Set([]byte(keyID), record, pebble.Sync))
			s, saved, damage := reopen(t, s, dir)
			must.Error(t, damage)
			must.Nil(t, saved)
			// The store works again and keeps what is written from here on.
			must.NoError(t, s.Write(&consensus.Write{ID: "anew"}))
			s, saved, damage = reopen(t, s, dir)
			must.NoError(t, damage)
			must.Eq(t, "anew", saved.ID)
			must.NoError(t, s.Close())
		})
	}
	t.Run("records without an id", func(t *testing.T) {
		dir := t.TempDir()
		s, _, _ := reopen(t, nil, dir)
		must.NoError(t, s.Write(&consensus.Write{Vote: &consensus.Vote{}}))
		s, saved, damage := reopen(t, s, dir)
		must.Error(t, damage)
		must.Nil(t, saved)
		must.NoError(t, s.Close())
	})
	t.Run("a foreign folder", func(t *testing.T) { // not written by this program, so it must not be removed
		dir := t.TempDir()
		at := filepath.Join(dir, "hold")
		must.NoError(t, os.MkdirAll(at, 0o700))
		must.NoError(t, os.WriteFile(filepath.Join(at, "CURRENT"), []byte("MANIFEST-something\n"), 0o600))
		_, _, damage, err := Open(dir)
		must.ErrorContains(t, err, "hold")
		must.NoError(t, damage)
		left, err := os.ReadFile(filepath.Join(at, "CURRENT"))
		must.NoError(t, err)
		must.Eq(t, "MANIFEST-something\n", string(left))
	})
}
