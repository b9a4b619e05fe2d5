package consensus

import (
	"cmp"
	"slices"
	"time"
)

// ID identifies a disk, not a machine. It is drawn when the disk is first used, so a machine whose disk was wiped returns
// under a new ID.
type ID string

// Stamp orders copies of the state: by the epoch whose primary accepted them, then by revision. Each stamp identifies
// one content. A revision alone does not, since two primaries may have accepted different proposals under one number.
type Stamp struct{ Epoch, Revision uint64 }

// Less reports whether s is older than o.
func (s Stamp) Less(o Stamp) bool {
	return s.Epoch < o.Epoch || s.Epoch == o.Epoch && s.Revision < o.Revision
}

// Copy is the state as stored on one disk.
type Copy struct {
	Stamp Stamp
	State State
}

// Ballot orders the rounds in which witnesses vote on the next epoch.
type Ballot struct {
	Round uint64
	ID    ID
}

// Less reports whether b is older than o.
func (b Ballot) Less(o Ballot) bool { return b.Round < o.Round || b.Round == o.Round && b.ID < o.ID }

// Member is a machine that votes on epochs and may hold a copy of the state.
type Member struct {
	ID                 ID
	Addr, Zone, Region string
	Counts             bool // whether the tolerance covers this machine; any number of the others may be lost
}

// Epoch is the value that the witnesses agree on. Prev differs from Members while a change of members is in progress
// (a joint epoch); majorities of both are then required.
type Epoch struct {
	System  SystemID
	N       uint64
	Primary ID
	InSync  []ID
	Members []Member
	Prev    []Member
}

func memberIDs(ms []Member) []ID {
	out := make([]ID, len(ms))
	for i, m := range ms {
		out[i] = m.ID
	}
	return out
}

func memberIndex(ms []Member, id ID) int {
	return slices.IndexFunc(ms, func(m Member) bool { return m.ID == id })
}

func (e *Epoch) joint() bool { return !slices.Equal(memberIDs(e.Members), memberIDs(e.Prev)) }

func (e *Epoch) equal(o *Epoch) bool {
	return e.System == o.System && e.N == o.N && e.Primary == o.Primary && slices.Equal(e.InSync, o.InSync) &&
		slices.Equal(e.Members, o.Members) && slices.Equal(e.Prev, o.Prev)
}

// allMembers lists the members of both sets, ordered by ID.
func (e *Epoch) allMembers() []Member {
	out := slices.Clone(e.Members)
	for _, m := range e.Prev {
		if memberIndex(out, m.ID) < 0 {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

func byID(a, b Member) int { return cmp.Compare(a.ID, b.ID) }

// quorum reports whether yes holds for a majority of the members and, in a joint epoch, of the previous members.
func (e *Epoch) quorum(yes func(ID) bool) bool {
	return majority(e.Members, yes) && majority(e.Prev, yes)
}

// Quorum reports whether yes holds for a majority of the members and, while a change of members is in progress, of the
// previous ones. An epoch without members has no quorum.
func (e *Epoch) Quorum(yes func(Member) bool) bool {
	return majorityOfMembers(e.Members, yes) && majorityOfMembers(e.Prev, yes)
}

func majorityOfMembers(ms []Member, yes func(Member) bool) bool {
	return majority(ms, func(id ID) bool { return yes(ms[memberIndex(ms, id)]) })
}

func majority(ms []Member, yes func(ID) bool) bool {
	count := 0
	for _, m := range ms {
		if yes(m.ID) {
			count++
		}
	}
	return count > len(ms)/2
}

// Config holds the parameters of a node.
type Config struct {
	ID           ID // drawn by the caller; used only if the disk is empty and the node is not a founder
	Addr         string
	Zone, Region string
	Counts       bool
	// The losses to tolerate at one time: this many machines that count, or zones, or regions.
	Losses, Zones, Regions int
	ColdStart              bool     // set at the first start of the system only
	Seeds                  []string // addresses; at a cold start those of the founders
	Seed                   uint64   // of the random source that spreads takeovers
}

// Vote is the state of a witness. Known is not part of its vote: it is the newest epoch known to be chosen, kept for the
// addresses of its members.
type Vote struct {
	Promised, Accepted Ballot
	Value, Known       Epoch
}

// Saved is the state stored on a disk.
type Saved struct {
	ID   ID
	Vote Vote
	Copy Copy
}

// Write must be synced to disk, after which the caller calls Node.Saved with its token. Nil parts are unchanged. At most
// one write is in progress at a time.
type Write struct {
	Token uint64
	ID    ID
	Vote  *Vote
	Copy  *Copy
}

// Kind is the type of a message.
type Kind uint8

const (
	Prepare        Kind = iota + 1 // first phase of a round
	Promise                        // positive reply to Prepare
	Accept                         // second phase of a round
	Accepted                       // positive reply to Accept
	Reject                         // negative reply to Prepare or Accept
	Heartbeat                      // heartbeat from the primary to every node that it knows
	HeartbeatReply                 // reply to a heartbeat
	Store                          // a copy of the state
	Stored                         // the copy is synced
	Join                           // from a node that is not a member or receives no heartbeats from a primary
	Hint                           // a newer epoch that is known to be chosen
)

// Message is exchanged between nodes. It may be lost, delayed, duplicated or reordered.
type Message struct {
	Kind             Kind
	System           SystemID // the sender's system
	From, To         ID       // an empty To addresses any node at ToAddr
	FromAddr, ToAddr string
	N                uint64 // number of the epoch that the message refers to
	Ballot, Promised Ballot
	Epoch            *Epoch
	Seq              uint64
	At               time.Duration // the primary's monotonic time, returned unchanged
	Stamp, Committed Stamp
	State            State
	OK, Take         bool // OK: no higher ballot was promised; Take: the round is a takeover
	Stalled, Leaving bool
	Knows            uint64 // number of the newest epoch known to the sender of a HeartbeatReply or Join
	Member           Member
}

// Result is the outcome of a call.
type Result uint8

const (
	OK       Result = iota + 1 // a proposal is committed; a read returns the document
	Refused                    // not accepted here; retry at Primary if it is set, otherwise later
	Unknown                    // accepted, but the outcome is unknown: it may have taken effect, take effect later or never
	Conflict                   // another body has the same version; this is final
)

// Answer completes a call.
type Answer struct {
	Call    uint64
	Result  Result
	Doc     Document // the document read, or for Conflict the newest known document
	Primary string   // the primary's address, if known
}

// Actions are the operations that the caller must carry out.
type Actions struct {
	Writes    []Write
	Sends     []Message
	Answers   []Answer
	Committed *Document // set if newer than any document delivered before
}
