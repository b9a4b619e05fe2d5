package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	KillProcess          Kind = "kill"              // SIGKILL, then restart
	KillMachine          Kind = "kill-machine"      // kills all processes of one machine
	KillControllers      Kind = "kill-core"         // kills all controllers at the same moment
	KillAll              Kind = "kill-all"          // kills all processes
	KillRepeatedly       Kind = "kill-repeatedly"   // kills a process several times, soon after each start
	Freeze               Kind = "freeze"            // SIGSTOP, later SIGCONT
	FreezeMachine        Kind = "freeze-machine"    // stops all processes of one machine
	Terminate            Kind = "terminate"         // SIGTERM, restart after the process has exited
	TerminateTwice       Kind = "terminate-twice"   // SIGTERM, then a second one during shutdown
	TerminateEarly       Kind = "terminate-early"   // SIGTERM during startup
	Reload               Kind = "reload"            // SIGHUP
	ReloadEarly          Kind = "reload-early"      // SIGHUP during startup
	ReloadTorn           Kind = "reload-torn"       // SIGHUP while the settings file is half written, then while it is missing
	Partition            Kind = "cut"               // partitions two machines in both directions
	PartitionOneWay      Kind = "cut-one-way"       // blocks traffic from one machine to another
	Isolate              Kind = "isolate"           // separates a machine from all other machines of the system
	IsolateOutside       Kind = "isolate-outside"   // separates a controller from searchers and operators
	SplitControllers     Kind = "split-core"        // splits the controllers into two groups; all other machines reach both
	SlowLinks            Kind = "slow"              // delays all traffic of a machine
	ResetConnections     Kind = "reset"             // resets all connections of a machine
	DropResponses        Kind = "lose-answers"      // drops the responses of controllers to searchers and operators
	WipeDisk             Kind = "wipe-disk"         // kills a controller and deletes its disk
	WipeAndKillAll       Kind = "wipe-and-kill"     // the same while all other processes are killed
	ReplaceController    Kind = "replace-core"      // removes a controller for good; an empty one starts at another address
	SearcherCrash        Kind = "searcher-crash"    // a searcher crashes; another one replaces it
	SearcherUnresponsive Kind = "searcher-mute"     // a searcher accepts requests and never answers, then crashes
	SearcherDrain        Kind = "searcher-drain"    // a searcher drains and deregisters
	SearcherDelete       Kind = "searcher-delete"   // a searcher deregisters without draining first
	SearcherReassign     Kind = "searcher-replace"  // a searcher crashes; its address is reassigned to another service
	SearcherMisbehaving  Kind = "searcher-rude"     // a searcher violates the HTTP protocol
	SearcherReset        Kind = "searcher-reset"    // a searcher's connections are reset
	SearcherSlow         Kind = "searcher-slow"     // a searcher takes many times as long for each request
	SearcherQueue        Kind = "searcher-queue"    // all searchers of a service get slow and have queues, while a front terminates
	SearcherRefusing     Kind = "searcher-refusing" // all searchers of a service refuse some of their requests and send second copies of responses
	SearcherFailing      Kind = "searcher-failing"  // a searcher fails some of its requests
	SearcherFreeze       Kind = "searcher-freeze"   // a searcher pauses, neither reading nor writing, and resumes where it stopped
	FreezeMany           Kind = "freeze-many"       // many searchers pause and resume, several times
	ReassignMany         Kind = "replace-many"      // many searchers crash; their addresses are reassigned to one other service
	FreezeFronts         Kind = "freeze-fronts"     // many fronts pause and resume, several times
	Reshard              Kind = "reshard"           // the configuration switches to the other set of shards
	LoadBurst            Kind = "burst"             // clients send more requests than usual
	ConfigRace           Kind = "race"              // two operators send different configurations under one version
	ConfigStorm          Kind = "storm"             // configurations in quick succession
	MalformedRequests    Kind = "abuse"             // clients send malformed requests
)

// Kinds lists all kinds of faults.
var Kinds = []Kind{KillProcess, KillMachine, KillControllers, KillAll, KillRepeatedly, Freeze, FreezeMachine, Terminate,
	TerminateTwice, TerminateEarly, Reload, ReloadEarly, ReloadTorn, Partition, PartitionOneWay, Isolate, IsolateOutside,
	SplitControllers, SlowLinks, ResetConnections, DropResponses, WipeDisk, WipeAndKillAll, ReplaceController, SearcherCrash,
	SearcherUnresponsive, SearcherDrain, SearcherDelete, SearcherReassign, SearcherMisbehaving, SearcherReset, SearcherSlow,
	SearcherFailing, LoadBurst, ConfigRace, ConfigStorm, MalformedRequests, SearcherFreeze, FreezeMany, ReassignMany,
	FreezeFronts, Reshard, SearcherQueue,
	SearcherRefusing}

// PlannedKinds lists the kinds that are planned maintenance: they must not make any client request fail.
var PlannedKinds = []Kind{Terminate, TerminateTwice, Reload, ReloadTorn, SearcherDrain, SearcherDelete, ConfigRace,
	ConfigStorm, Reshard}

// ParseKinds parses a comma-separated list of kinds; "planned" stands for PlannedKinds.
func ParseKinds(text string) (kinds []Kind, err error) {
	for word := range strings.SplitSeq(text, ",") {
		switch word = strings.TrimSpace(word); {
		case word == "":
		case word == "planned":
			kinds = append(kinds, PlannedKinds...)
		case slices.Contains(Kinds, Kind(word)):
			kinds = append(kinds, Kind(word))
		default:
			return nil, errors.Errorf("unknown kind of fault %q: expected planned or some of %v", word, Kinds)
		}
	}
	return kinds, nil
}

// Shape is the size of the system under test.
type Shape struct {
	Controllers, Fronts, Spares int
	Shards, Copies              int // shards per set, searchers per service
	RetrySlack                  int // retried arrivals that a service may get in each window in addition to its share of requests
}

// Defaults of the shape. Controllers and fronts that the options don't set are drawn from the seed.
const (
	defaultShards     = 3
	defaultCopies     = 3
	defaultRetrySlack = 58

	largeFronts     = 20 // from this number of fronts on, largeRetrySlack applies
	largeRetrySlack = 152
)

// shape returns the drawn shape with the values that the options set.
func (o *Options) shape(drawn Shape) Shape {
	if o.Fronts > 0 {
		drawn.Fronts = o.Fronts
	}
	if o.Controllers > 0 {
		drawn.Controllers, drawn.Spares = o.Controllers, min(drawn.Spares, maxControllers-o.Controllers)
	}
	drawn.Shards, drawn.Copies, drawn.RetrySlack = cmp.Or(o.Shards, defaultShards), cmp.Or(o.Copies, defaultCopies), defaultRetrySlack
	if drawn.Fronts >= largeFronts {
		drawn.RetrySlack = largeRetrySlack
	}
	return drawn
}

// Fault is one entry of a schedule.
type Fault struct {
	At       time.Duration
	Duration time.Duration
	Kind     Kind
	// Target, SecondTarget and Variant select what the fault affects and how; each kind interprets them in its own way.
	Target, SecondTarget, Variant int
}

func (f Fault) String() string {
	return fmt.Sprintf("%8.3f s  %-17s for %5.3f s (%d, %d, %d)", f.At.Seconds(), f.Kind, f.Duration.Seconds(), f.Target, f.SecondTarget, f.Variant)
}

// Schedule lists all faults of a run, by start time.
type Schedule struct {
	Shape  Shape
	Faults []Fault
}

// longest returns how long a fault may be active, without waiting for another one.
func (f Fault) longest() time.Duration {
	switch f.Kind {
	case FreezeMany, FreezeFronts: // in series
		return maxSeries * (f.Duration + maxSeriesGap)
	case SearcherQueue:
		return queueLead + drainGrace + f.Duration
	}
	return f.Duration
}

// pausesProcesses reports whether a fault keeps other faults away from the processes that it pauses.
func (f Fault) pausesProcesses() bool {
	return f.Kind == Freeze || f.Kind == FreezeMachine || f.Kind == FreezeFronts
}

// latestEnd returns by when all faults are over, except for the time that processes and searchers take to end and to start.
func (s Schedule) latestEnd() (latest time.Duration) {
	pausedUntil := time.Duration(0) // if each pause of a process waits for the one before
	for _, f := range s.Faults {
		latest = max(latest, f.At+f.longest())
		if f.pausesProcesses() {
			pausedUntil = max(pausedUntil, f.At) + f.longest()
		}
	}
	return max(latest, pausedUntil)
}

// planned reports whether the schedule holds planned maintenance only, in which case no request may fail.
func (s Schedule) planned() bool {
	return !slices.ContainsFunc(s.Faults, func(f Fault) bool { return !slices.Contains(PlannedKinds, f.Kind) })
}

const (
	firstFaultAt     = 300 * time.Millisecond
	meanGap          = 700 * time.Millisecond
	minFaultDuration = 50 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	maxLongFault     = 20 * time.Second // the longest duration in a long run
	// Only one disk may be lost at a time, and the next one only after the first controller has recovered.
	minWipeInterval    = 15 * time.Second
	minTimeAfterWipe   = 3 * time.Second // from a disk loss to the end of fault injection
	choiceRange        = 1 << 16
	defaultConcurrency = 3
	longFaultRatio     = 8 // one fault in this many has the longest duration
	largerShapeRatio   = 4 // one shape in this many has more controllers and fronts
)

// DrawSchedule draws a schedule from a seed. The result depends only on its arguments.
func DrawSchedule(seed uint64, length time.Duration, kinds []Kind, concurrency int) Schedule {
	if concurrency == 0 {
		concurrency = defaultConcurrency
	}
	if len(kinds) == 0 {
		kinds = Kinds
	}
	random := rand.New(rand.NewPCG(seed, uint64(len(kinds))))
	s := Schedule{Shape: Shape{Controllers: 3, Fronts: 2, Spares: 2}}
	if random.IntN(largerShapeRatio) == 0 {
		s.Shape = Shape{Controllers: 4, Fronts: 3 + random.IntN(2), Spares: 1}
		if random.IntN(2) == 0 {
			s.Shape.Controllers, s.Shape.Spares = 5, 0
		}
	}
	var activeUntil []time.Duration // of the faults that are active
	lastWipe, spares := -minWipeInterval, s.Shape.Spares
	gap := float64(meanGap) * defaultConcurrency / float64(concurrency)
	for at := firstFaultAt; at < length; at += time.Duration(random.ExpFloat64() * gap) {
		f := Fault{At: at, Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(choiceRange), SecondTarget: random.IntN(choiceRange),
			Variant: random.IntN(choiceRange)}
		f.Duration = minFaultDuration + time.Duration(random.Float64()*random.Float64()*float64(maxFaultDuration-minFaultDuration))
		if random.IntN(longFaultRatio) == 0 {
			f.Duration = max(maxFaultDuration, min(maxLongFault, length/3))
		}
		activeUntil = slices.DeleteFunc(activeUntil, func(end time.Duration) bool { return end <= at })
		if len(activeUntil) >= concurrency {
			continue
		}
		if f.Kind == WipeDisk || f.Kind == WipeAndKillAll || f.Kind == ReplaceController {
			if at-lastWipe < minWipeInterval || at+minTimeAfterWipe > length || f.Kind == ReplaceController && spares == 0 {
				continue
			}
			lastWipe = at
			if f.Kind == ReplaceController {
				spares--
			}
		}
		activeUntil = append(activeUntil, at+f.Duration)
		s.Faults = append(s.Faults, f)
	}
	return s
}
