// Package storage keeps a core machine's control state on disk: its identity, its vote and its copy of the configuration,
// each record with a format version and a checksum, synced before it is answered for. The store is pebble. Records that
// are provably wrong are set aside, and the machine starts as one with an empty disk; any other fault of opening is an
// error and changes nothing (open.go). A disk that takes no writes for a while holds them up, and nothing else
// (patient.go). The package decides nothing: consensus says what is written and when.
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

// format is that of all records. A record of another format is an error: it belongs to another version of the program.
const format = 2

// The records, by key.
const (
	keyID   = "id"
	keyVote = "vote"
	keyCopy = "copy"
	// keyForce holds the configuration last known to be in force. It may lag behind the copy, which may hold one whose
	// fate is open.
	keyForce = "force"
	// keySearchers begins the keys of searchers, by id.
	keySearchers = "yard/"
)

// Store is an open folder.
type Store struct {
	db          *pebble.DB
	predecessor bool
}

func (s *Store) read(key string, to any) (bool, error) {
	v, done, err := s.db.Get([]byte(key))
	if errors.Is(err, pebble.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer done.Close()
	return true, decode(v, to)
}

// Write syncs what a write holds, all of it or nothing.
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
		return errors.Wrap(err, "sync") // of nil it would be an error too
	}
	return nil
}

// PutForce keeps the configuration that is in force.
func (s *Store) PutForce(d consensus.Document) error {
	if err := s.db.Set([]byte(keyForce), encode(d), pebble.Sync); err != nil {
		return errors.Wrap(err, "sync configuration")
	}
	return nil
}

// PutSearchers keeps what has changed in the list of searchers, also that one is gone, and forgets the ids named: a
// searcher that is gone must not come back from another disk that was not told in time.
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
	// Synced, though nothing hangs on it: after a loss of power unsynced bytes may come back in part, and these
	// records share their log with those that count.
	if err := b.Commit(pebble.Sync); err != nil {
		return errors.Wrap(err, "sync searchers")
	}
	return nil
}

// Remembered gives the configuration and the searchers last kept. A record that can't be read is passed over: both are
// told again by others.
func (s *Store) Remembered() (*consensus.Document, []registry.Entry) {
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

// Close closes the folder.
func (s *Store) Close() error { return s.db.Close() }

// encode gives a record: format, checksum of the rest, contents.
func encode(x any) []byte {
	var out bytes.Buffer
	out.Write(make([]byte, 9))
	if err := gob.NewEncoder(&out).Encode(x); err != nil {
		panic(err) // our own plain types
	}
	b := out.Bytes()
	b[0] = format
	binary.LittleEndian.PutUint64(b[1:], xxh3.Hash(b[9:]))
	return b
}

func decode(b []byte, to any) error {
	switch {
	case len(b) < 9:
		return damaged("record is cut short")
	case b[0] != format:
		return errors.Errorf("record of format %d, %d is known", b[0], format)
	case binary.LittleEndian.Uint64(b[1:]) != xxh3.Hash(b[9:]):
		return damaged("checksum does not match")
	}
	return gob.NewDecoder(bytes.NewReader(b[9:])).Decode(to)
}
