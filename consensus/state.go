package consensus

import (
	"encoding/binary"
	"sort"
)

// Document is a versioned document. Digest identifies the body as its author sent it; Body may be compressed.
type Document struct {
	Version, Digest uint64
	Body            []byte
}

// State is replicated by the members: the document with the highest version, and the history of accepted proposals.
// Revision rises with each change, even if the document stays the same.
type State struct {
	Revision uint64
	Doc      Document
	Orders   History
}

// verdict classifies a proposal against a state.
type verdict uint8

const (
	ahead           verdict = iota // its version is above that of the document, which it would replace
	superseded                     // its version is lower and unused: it is only recorded
	alreadyAccepted                // accepted before, or too old for the history to tell: nothing changes
	conflicting                    // another body has the same version
)

// classify decides what becomes of a proposal. alreadyAccepted and conflicting are final: no later state decides otherwise.
func (s *State) classify(d Document) verdict {
	digest, known := s.Orders.find(d.Version)
	switch {
	case known && digest == d.Digest:
		return alreadyAccepted
	case known:
		return conflicting
	case d.Version > s.Doc.Version:
		return ahead
	case s.Orders.forgotten(d.Version):
		return alreadyAccepted
	}
	return superseded
}

// apply returns the state after accepting a proposal, or false if nothing changes.
func (s State) apply(d Document) (State, bool) {
	switch s.classify(d) {
	case ahead:
		s.Doc = d
	case superseded:
	default:
		return s, false
	}
	s.Orders = s.Orders.add(d.Version, d.Digest)
	return s, true
}

const (
	// maxHistoryEntries bounds memory, disk and messages. The proposals with the highest versions are kept.
	maxHistoryEntries = 512
	historyEntrySize  = 16 // bytes: version, digest
)

// History lists versions in rising order, each with the digest of its body. It is packed because it is sent and written
// with each change.
type History []byte

func (h History) size() int            { return len(h) / historyEntrySize }
func (h History) version(i int) uint64 { return binary.BigEndian.Uint64(h[i*historyEntrySize:]) }
func (h History) digest(i int) uint64  { return binary.BigEndian.Uint64(h[i*historyEntrySize+8:]) }
func (h History) position(version uint64) int {
	return sort.Search(h.size(), func(i int) bool { return h.version(i) >= version })
}

// find returns the digest recorded for a version.
func (h History) find(version uint64) (digest uint64, known bool) {
	i := h.position(version)
	if i == h.size() || h.version(i) != version {
		return 0, false
	}
	return h.digest(i), true
}

// forgotten reports whether proposals of this version are no longer in the history.
func (h History) forgotten(version uint64) bool {
	return h.size() == maxHistoryEntries && version < h.version(0)
}

// add returns the history with one more entry, without the lowest one if there are too many.
func (h History) add(version, digest uint64) History {
	i := h.position(version) * historyEntrySize
	out := make(History, 0, len(h)+historyEntrySize)
	out = append(out, h[:i]...)
	out = binary.BigEndian.AppendUint64(out, version)
	out = binary.BigEndian.AppendUint64(out, digest)
	out = append(out, h[i:]...)
	return out[max(0, len(out)-maxHistoryEntries*historyEntrySize):]
}
