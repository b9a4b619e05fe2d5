package duty

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/xxh3"
)

// Settings configures an instance at its start.
type Settings struct {
	Name          string        // name of this instance, stable over restarts
	Incarnation   uint64        // incarnation of this instance, higher at each start
	Instances     int           // maximum number of instances that run at the same time
	Shares        int           // number of shares that targets are assigned to; a few per instance
	Lease         time.Duration // duration of the lease on a share
	MaxConcurrent int           // maximum number of concurrent duties
	WriteTimeout  time.Duration // a permitted write completes within this time or fails
	Kinds         []Kind
}

// Kind is a registered kind of duty.
type Kind struct {
	Name          string
	Interval      time.Duration // between runs at one target, over all instances
	StartupPeriod time.Duration // length of the startup period, in which a target is run less often
	StartupFactor float64       // factor on the interval in the startup period; 1 for no difference
}

// Validate returns an error if no instance could work with the settings.
func (s *Settings) Validate() error {
	switch {
	case s.Name == "" || len(s.Name) > maxNameLength:
		return fmt.Errorf("name: 1 to %d bytes", maxNameLength)
	case s.Instances < 1 || s.Instances > maxInstances:
		return fmt.Errorf("instances: 1 to %d", maxInstances)
	case s.Shares < 1 || s.Shares > maxShares:
		return fmt.Errorf("shares: 1 to %d", maxShares)
	case s.Lease < minLease:
		return fmt.Errorf("lease: %v or more", minLease)
	case s.WriteTimeout < 0 || s.WriteTimeout > s.Lease/2:
		return fmt.Errorf("write: up to half of the lease, %v", s.Lease/2)
	case s.MaxConcurrent < 1:
		return errors.New("running: 1 or more")
	case len(s.Kinds) == 0 || len(s.Kinds) > maxKinds:
		return fmt.Errorf("kinds: 1 to %d", maxKinds)
	}
	for _, k := range s.Kinds {
		if k.Interval < minInterval || k.StartupFactor < 1 || k.StartupPeriod < 0 {
			return fmt.Errorf("kind %s: interval %v or more, gentle 1 or more, young 0 or more", k.Name, minInterval)
		}
	}
	return nil
}

// Limits on settings, targets and messages.
const (
	maxNameLength = 64
	maxInstances  = 1024
	maxShares     = 1 << 14
	maxKinds      = 8
	minLease      = 200 * time.Millisecond
	minInterval   = 50 * time.Millisecond
	maxTargets    = 1 << 20
)

// Target is something that a kind of duty is run for, such as a searcher to be probed.
type Target struct {
	Name     string
	Age      time.Duration // time since the target started, if known
	AgeKnown bool          // whether Age is known
}

// ID returns the identifier of a target in messages.
func ID(kind int, name string) uint64 { return xxh3.HashStringSeed(name, uint64(kind)+1) }

// Outcome is the result of a run.
type Outcome uint8

// The outcomes of a run.
const (
	Reached Outcome = iota // the target answered
	Refused                // the target answered with a refusal
	Failed                 // no answer; the target may have been reached nevertheless
	NotSent                // nothing was sent
	outcomeCount
)

func (o Outcome) String() string {
	return [...]string{"reached", "refused", "failed", "not begun", ""}[min(o, outcomeCount)]
}

// Result reports one run of a duty.
type Result struct {
	Kind    int
	ID      uint64
	Age     time.Duration // time from the start of the run to the sending of this result
	Took    time.Duration
	Outcome Outcome
	Load    string // short load report of the target
}

// MessageKind is the type of a message.
type MessageKind uint8

// The kinds of messages.
const (
	Claim   MessageKind = iota + 1 // claims the leases on Shares for the sender
	Grant                          // grants the listed shares of a claim
	Release                        // gives up Shares, to member To if set; Results holds their latest results
	Results                        // reports recent runs
	messageKindCount
)

func (k MessageKind) String() string {
	return [...]string{"", "claim", "grant", "release", "results", ""}[min(k, messageKindCount)]
}

// Message is a message between instances.
type Message struct {
	Kind      MessageKind
	From      string
	Inc       uint64 // incarnation of the sender
	Instances int
	Seq       uint64   // number of the claim, of the claim that a grant answers, or of the last claim that a release covers
	Shares    []uint16 // in ascending order
	To        string
	Results   []Result
}

// Actions are the effects that a Scheduler requests. The implementations must not call back into it.
type Actions interface {
	// Run starts a duty. The implementation must ask Permit at the write, and call Done in any case.
	Run(token uint64, kind int, target string)
	// Send sends a message to an instance, or to all others if to is empty.
	Send(to string, m Message)
	// ObserveResult reports a run by any instance, once, as soon as it is known here.
	ObserveResult(target string, r Result, by string)
	// Record reports an event for logs and tests. No decision depends on it.
	Record(e EventRecord)
}

// EventRecord describes an event that changes or explains the behavior of an instance.
type EventRecord struct {
	Event Event
	Share int // index of the share, or -1
	Peer  string
}

// Event is a kind of EventRecord.
type Event uint8

// The events that are reported.
const (
	LeaseAcquired   Event = iota // a lease on a share begins
	LeaseLost                    // the lease expired, or a clock jump ended it
	HandedOver                   // the share was handed over to another instance
	RanOutOfLease                // a duty runs out of lease, after a long time without a known answer
	ClockJumped                  // the clock jumped or the process was paused; planned runs are void
	MessageRejected              // an invalid message was rejected
)

func (e Event) String() string {
	return [...]string{"took", "lost", "handed on", "turn taken", "woken", "ignored"}[e]
}
