package consensus

import (
	"cmp"
	"slices"
	"time"
)

// ID names a disk, not a machine: it is drawn when the disk is first used, so a wiped machine is somebody new.
type ID string

// Stamp orders copies of the state: first by the epoch whose primary took them in, then by revision. One stamp means
// one content, which a revision alone does not: two primaries may have seen different orders under one number.
type Stamp struct{ Epoch, Revision uint64 }

// Less reports whether s is older than o.
func (s Stamp) Less(o Stamp) bool {
	return s.Epoch < o.Epoch || s.Epoch == o.Epoch && s.Revision < o.Revision
}

// Copy is the state as one disk holds it.
type Copy struct {
	Stamp Stamp
	State State
}

// Ballot orders rounds at the witnesses.
type Ballot struct {
	Round uint64
	ID    ID
}

// Less reports whether b is older than o.
func (b Ballot) Less(o Ballot) bool { return b.Round < o.Round || b.Round == o.Round && b.ID < o.ID }

// Member is a machine that keeps epochs and may keep documents.
type Member struct {
	ID                 ID
	Addr, Zone, Region string
	Counts             bool // the tolerance speaks of this machine; any number of others may go
}

// Epoch is the value that the witnesses keep. Prev differs from Members while a change of members is under way: then
// majorities of both are needed.
type Epoch struct {
	System  SystemID
	N       uint64
	Primary ID
	InSync  []ID
	Members []Member
	Prev    []Member
}

func idsOf(ms []Member) []ID {
	out := make([]ID, len(ms))
	for i, m := range ms {
		out[i] = m.ID
	}
	return out
}

func find(ms []Member, id ID) int {
	return slices.IndexFunc(ms, func(m Member) bool { return m.ID == id })
}

func (e *Epoch) joint() bool { return !slices.Equal(idsOf(e.Members), idsOf(e.Prev)) }

func (e *Epoch) equal(o *Epoch) bool {
	return e.System == o.System && e.N == o.N && e.Primary == o.Primary && slices.Equal(e.InSync, o.InSync) &&
		slices.Equal(e.Members, o.Members) && slices.Equal(e.Prev, o.Prev)
}

// everyone lists the members of both sets, by id.
func (e *Epoch) everyone() []Member {
	out := slices.Clone(e.Members)
	for _, m := range e.Prev {
		if find(out, m.ID) < 0 {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

func byID(a, b Member) int { return cmp.Compare(a.ID, b.ID) }

// quorum reports whether those that say yes are a majority of the members and, in a joint epoch, of the former ones.
func (e *Epoch) quorum(yes func(ID) bool) bool {
	return majority(e.Members, yes) && majority(e.Prev, yes)
}

// Quorum reports whether the members for which yes holds are a majority of the members and, while a change of members is
// under way, of the former ones. Of an epoch that names nobody there is none.
func (e *Epoch) Quorum(yes func(Member) bool) bool {
	return majorityOf(e.Members, yes) && majorityOf(e.Prev, yes)
}

func majorityOf(ms []Member, yes func(Member) bool) bool {
	return majority(ms, func(id ID) bool { return yes(ms[find(ms, id)]) })
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

// Config is what a node is told at its start.
type Config struct {
	ID           ID // drawn by the caller; used only if the disk is empty and the node is no founder
	Addr         string
	Zone, Region string
	Counts       bool
	// What may be lost at once: so many machines that count, or zones, or regions.
	Losses, Zones, Regions int
	ColdStart              bool     // the system's very first start
	Seeds                  []string // addresses; at a cold start the founders
	Seed                   uint64   // of the chance that spreads take-overs
}

// Vote is a witness's memory; Known is no vote but the newest epoch known to be chosen, kept for the addresses.
type Vote struct {
	Promised, Accepted Ballot
	Value, Known       Epoch
}

// Saved is what a disk remembers.
type Saved struct {
	ID   ID
	Vote Vote
	Copy Copy
}

// Write is to be synced; then Saved is called with its token. Nil parts are unchanged. At most one is under way.
type Write struct {
	Token uint64
	ID    ID
	Vote  *Vote
	Copy  *Copy
}

// Kind tells messages apart.
type Kind uint8

const (
	Prepare  Kind = iota + 1 // round, first phase
	Promise                  // its yes
	Accept                   // round, second phase
	Accepted                 // its yes
	Reject                   // the no to either
	Beat                     // primary to everyone it knows
	Pulse                    // answer to a beat
	Store                    // a copy of the state
	Stored                   // it is synced
	Join                     // a node that is no member, or hears no primary
	Hint                     // a newer epoch that is known to be chosen
)

// Message is what nodes say to each other. It may be lost, late, doubled or overtaken.
type Message struct {
	Kind             Kind
	System           SystemID // of the sender
	From, To         ID       // an empty To is for whoever lives at the address
	FromAddr, ToAddr string
	N                uint64 // the epoch this is about
	Ballot, Promised Ballot
	Epoch            *Epoch
	Seq              uint64
	At               time.Duration // the primary's steady time, returned as it came
	Stamp, Committed Stamp
	State            State
	OK, Take         bool
	Stalled, Leaving bool
	Knows            uint64 // number of the newest epoch that the sender of a Pulse or Join knows
	Member           Member
}

// Result is what became of a call.
type Result uint8

const (
	OK       Result = iota + 1 // proposed: committed; read: here it is
	Refused                    // not taken here; try Primary if told, else again later
	Unknown                    // taken, but its fate is not known: it may be in force now, later or never
	Conflict                   // another body stands under its version, for good
)

// Answer ends a call.
type Answer struct {
	Call    uint64
	Result  Result
	Doc     Doc    // of a read, or the newest known where the result is Conflict
	Primary string // the primary's address as far as known
}

// Actions are what the caller is to do now.
type Actions struct {
	Writes    []Write
	Sends     []Message
	Answers   []Answer
	Committed *Doc // newer than any told before
}
