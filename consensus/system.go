package consensus

import (
	"hash/fnv"
	"strings"
)

// SystemID tells one system from another, founded elsewhere. It is derived from the founders' addresses, so that all founders
// know it without a message, and handed on with each epoch. 0 stands for a disk that belongs to no system yet, or was written
// before there were such ids: it takes the id of the first epoch that it learns.
type SystemID uint64

// systemOf derives the id from the founders' addresses, which are sorted.
func systemOf(addrs []string) SystemID {
	h := fnv.New64a()
	h.Write([]byte(strings.Join(addrs, "\n")))
	return SystemID(max(h.Sum64(), 1))
}

// differs tells whether two ids are of different systems for certain.
func (s SystemID) differs(o SystemID) bool { return s != 0 && o != 0 && s != o }

// fromElsewhere tells whether a message is from another system: nothing of it may count here, neither epochs, whose numbers say
// nothing across systems, nor ballots.
func (n *Node) fromElsewhere(m *Message) bool {
	here := n.known.System
	return m.System.differs(here) || m.Epoch != nil && m.Epoch.System.differs(here)
}

// Elsewhere counts the messages that came from other systems and were dropped.
func (n *Node) Elsewhere() uint64 { return n.elsewhere }
