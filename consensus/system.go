package consensus

import (
	"hash/fnv"
	"strings"
)

// SystemID distinguishes systems that were founded separately. It is derived from the founders' addresses, so that all
// founders know it without a message, and is passed on with each epoch. 0 marks a disk that belongs to no system yet or was
// written before these IDs existed: it adopts the ID of the first epoch that it learns.
type SystemID uint64

// systemOf derives the ID from the sorted addresses of the founders.
func systemOf(addrs []string) SystemID {
	h := fnv.New64a()
	h.Write([]byte(strings.Join(addrs, "\n")))
	return SystemID(max(h.Sum64(), 1))
}

// differs reports whether two IDs certainly belong to different systems.
func (s SystemID) differs(o SystemID) bool { return s != 0 && o != 0 && s != o }

// fromOtherSystem reports whether a message comes from another system. Such a message is ignored: epoch numbers and ballots
// are not comparable across systems.
func (n *Node) fromOtherSystem(m *Message) bool {
	here := n.known.System
	return m.System.differs(here) || m.Epoch != nil && m.Epoch.System.differs(here)
}

// ForeignMessages returns the number of messages from other systems that were dropped.
func (n *Node) ForeignMessages() uint64 { return n.foreignMessages }
