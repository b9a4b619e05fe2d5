package duty

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/xxh3"
)

// Settings are what an instance is told at its start.
type Settings struct {
	Me        string        // its name, kept over restarts
	Inc       uint64        // its incarnation, higher at each start
	Instances int           // how many instances run at the same time, at most
	Shares    int           // into which targets fall; a few for each instance
	Lease     time.Duration // how long a share is leased for
	Running   int           // duties at a time, at most
	Write     time.Duration // by which what is permitted has gone out, or never does
	Kinds     []Kind
}

// Kind is a registered kind of duty.
type Kind struct {
	Name     string
	Interval time.Duration // between duties at one target, over all instances
	Young    time.Duration // so long after its start a target is spared
	Gentle   float64       // times the interval then; 1 for no difference
}

// Check says what no instance could work with.
func (s *Settings) Check() error {
	switch {
	case s.Me == "" || len(s.Me) > nameMost:
		return fmt.Errorf("name: 1 to %d bytes", nameMost)
	case s.Instances < 1 || s.Instances > instancesMost:
		return fmt.Errorf("instances: 1 to %d", instancesMost)
	case s.Shares < 1 || s.Shares > sharesMost:
		return fmt.Errorf("shares: 1 to %d", sharesMost)
	case s.Lease < leaseLeast:
		return fmt.Errorf("lease: %v or more", leaseLeast)
	case s.Write < 0 || s.Write > s.Lease/2:
		return fmt.Errorf("write: up to half of the lease, %v", s.Lease/2)
	case s.Running < 1:
		return errors.New("running: 1 or more")
	case len(s.Kinds) == 0 || len(s.Kinds) > kindsMost:
		return fmt.Errorf("kinds: 1 to %d", kindsMost)
	}
	for _, k := range s.Kinds {
		if k.Interval < intervalLeast || k.Gentle < 1 || k.Young < 0 {
			return fmt.Errorf("kind %s: an interval of %v or more, and sparing at 1 or more", k.Name, intervalLeast)
		}
	}
	return nil
}

const (
	nameMost      = 64
	instancesMost = 1024
	sharesMost    = 1 << 14
	kindsMost     = 8
	leaseLeast    = 200 * time.Millisecond
	intervalLeast = 50 * time.Millisecond
	targetsMost   = 1 << 20
)

// Target is one thing that a kind of duty looks after.
type Target struct {
	Name  string
	Age   time.Duration // since it started; long for one that is not dated
	Since bool          // whether Age is known
}

// ID is how messages name a target.
func ID(kind int, name string) uint64 { return xxh3.HashStringSeed(name, uint64(kind)+1) }

// Outcome is how a duty ended.
type Outcome uint8

const (
	Reached  Outcome = iota // the target answered
	Refused                 // it answered that it would not
	Failed                  // nothing was heard: it may have been reached all the same
	NotBegun                // nothing left this instance
	outcomes
)

func (o Outcome) String() string {
	return [...]string{"reached", "refused", "failed", "not begun", ""}[min(o, outcomes)]
}

// Result is one duty done.
type Result struct {
	Kind    int
	ID      uint64
	Age     time.Duration // since it was begun, when this was said
	Took    time.Duration
	Outcome Outcome
	Load    string // what a target said of itself; short
}

// MessageKind tells messages apart.
type MessageKind uint8

const (
	Claim   MessageKind = iota + 1 // leases these shares to the sender
	Grant                          // these of a claim are leased to it
	Release                        // the sender gives these up, to To if that is named, and knows these results of them
	Results                        // what was done of late
	messageKinds
)

func (k MessageKind) String() string {
	return [...]string{"", "claim", "grant", "release", "results", ""}[min(k, messageKinds)]
}

// Message is what instances say to each other.
type Message struct {
	Kind      MessageKind
	From      string
	Inc       uint64
	Instances int
	Seq       uint64   // of a claim, of the grant that answers it, of the last claim that a release takes back
	Shares    []uint16 // in rising order
	To        string
	Results   []Result
}

// Actions is what a Core can have done. None may call back into it.
type Actions interface {
	Run(token uint64, kind int, target string)   // begin a duty: ask Permit at the write, and say Done in any case
	Send(to string, m Message)                   // to all others where no name is given
	Learned(target string, r Result, who string) // what anybody did, once, as soon as it is known here
	Note(n Note)                                 // for logs and tests; nothing depends on it
}

// Note says why what an instance does has changed.
type Note struct {
	Event Event
	Share int
	Peer  string
}

// Event is a kind of Note.
type Event uint8

const (
	Took      Event = iota // the lease on a share begins
	Lost                   // it ran out, or a pause ended it
	HandedOn               // it was given to another
	TurnTaken              // a duty without the lease, as nothing was heard for long
	Woken                  // time stood still, or jumped: plans are dropped
	Ignored                // a message that cannot be believed
)

func (e Event) String() string {
	return [...]string{"took", "lost", "handed on", "turn taken", "woken", "ignored"}[e]
}
