// Package storage keeps a controller's state on disk: its identity, its vote and its copy of the configuration. Each record
// has a format version and a checksum, and is synced before it is acknowledged. The store is pebble. Records that are
// provably wrong are set aside, and the machine starts like one with an empty disk; any other failure to open is an error
// and changes nothing (open.go). A disk that refuses writes for a while delays them and has no other effect (retryfs.go).
// The package makes no decisions: consensus determines what is written and when.
package storage

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"

	"github.com/cockroachdb/pebble/v2"
	"github.com/go-faster/errors"
	"github.com/zeebo/xxh3"

	"peathollow/consensus"
	"peathollow/registry"
)

// format is the format version of all records. A record of another format is an error: it belongs to another version of the
// program.
const format = 2

// Keys of the records.
const (
	keyID   = "id"
	keyVote = "vote"
	keyCopy = "copy"
	// keyForce holds the configuration last known to be in force. It may be older than that of the copy, which may not be
	// decided yet.
	keyForce = "force"
	// keySearchers is the prefix of the searchers' keys; the searcher's id follows.
	keySearchers = "yard/"
)

// Store is an open data folder.
type Store struct {
	db          *pebble.DB
	predecessor bool
}

// read decodes the record of a key into destination and reports whether there is one.
func (s *Store) read(key string, destination any) (bool, error) {
	value, closer, err := s.db.Get([]byte(key))
	if errors.Is(err, pebble.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer closer.Close()
	return true, decode(value, destination)
}

// Write stores and syncs the parts that a write contains, atomically.
func (s *Store) Write(w *consensus.Write) error {
	b := s.db.NewBatch()
	defer b.Close()
	if w.ID != "" {
		if err := b.Set([]byte(keyID), encode(w.ID), nil); err != nil {
			return errors.Wrap(err, "write id")
		}
	}
	if w.Vote != nil {
		if err := b.Set([]byte(keyVote), encode(w.Vote), nil); err != nil {
			return errors.Wrap(err, "write vote")
		}
	}
	if w.Copy != nil {
		if err := b.Set([]byte(keyCopy), encode(w.Copy), nil); err != nil {
			return errors.Wrap(err, "write copy")
		}
	}
	if err := b.Commit(pebble.Sync); err != nil {
		return errors.Wrap(err, "sync") // errors.Wrap returns an error for nil too
	}
	return nil
}

// PutConfiguration stores the configuration that is in force.
func (s *Store) PutConfiguration(d consensus.Document) error {
	if err := s.db.Set([]byte(keyForce), encode(d), pebble.Sync); err != nil {
		return errors.Wrap(err, "sync configuration")
	}
	return nil
}

// PutSearchers stores changed entries of the list of searchers, also those of removed ones, and deletes the entries of the
// ids in forget. A removed searcher keeps its entry so that it doesn't come back from another disk that missed the removal.
func (s *Store) PutSearchers(changed []registry.Entry, forget []string) error {
	b := s.db.NewBatch()
	defer b.Close()
	for i := range changed {
		e := &changed[i]
		if err := b.Set([]byte(keySearchers+e.ID), encode(e), nil); err != nil {
			return errors.Wrap(err, "write searchers")
		}
	}
	for _, id := range forget {
		if err := b.Delete([]byte(keySearchers+id), nil); err != nil {
			return errors.Wrap(err, "forget searchers")
		}
	}
	// Synced, although no caller depends on the durability of these records: after a loss of power unsynced bytes may
	// be restored in part, and these records share their log with those that must be durable.
	if err := b.Commit(pebble.Sync); err != nil {
		return errors.Wrap(err, "sync searchers")
	}
	return nil
}

// LastStored returns the configuration and the searchers that were stored last. A record that can't be read is skipped:
// other machines send both again.
func (s *Store) LastStored() (*consensus.Document, []registry.Entry) {
	var doc *consensus.Document
	var d consensus.Document
	if ok, err := s.read(keyForce, &d); ok && err == nil {
		doc = &d
	}
	it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: []byte(keySearchers), UpperBound: []byte("yard0")})
	if err != nil {
		return doc, nil
	}
	defer it.Close()
	var list []registry.Entry
	for it.First(); it.Valid(); it.Next() {
		var e registry.Entry
		if v, err := it.ValueAndErr(); err == nil && decode(v, &e) == nil {
			list = append(list, e)
		}
	}
	return doc, list
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// encode returns a record: format, checksum of the contents, contents in gob encoding.
func encode(x any) []byte {
	var out bytes.Buffer
	out.Write(make([]byte, 9))
	if err := gob.NewEncoder(&out).Encode(x); err != nil {
		panic(err) // can't happen for the plain types stored here
	}
	b := out.Bytes()
	b[0] = format
	binary.LittleEndian.PutUint64(b[1:], xxh3.Hash(b[9:]))
	return b
}

// decode checks a record and decodes its contents into destination.
func decode(b []byte, destination any) error {
	switch {
	case len(b) < 9:
		return damaged("record is truncated")
	case b[0] != format:
		return errors.Errorf("record of format %d, %d is known", b[0], format)
	case binary.LittleEndian.Uint64(b[1:]) != xxh3.Hash(b[9:]):
		return damaged("checksum does not match")
	}
	return gob.NewDecoder(bytes.NewReader(b[9:])).Decode(destination)
}
