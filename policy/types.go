// Package policy implements the dispatch policy of a routing instance (mixer): it decides whether each scan is admitted, which
// searchers get its parts, when parts are retried, hedged or cancelled, and when the scan ends. It reads no clock, does no I/O.
//
// The owner creates one Engine per routing instance with New, sets its clock with Advance before each batch of events, and passes
// events in the order in which they arrive: list entries, scans and their parts, outcomes of dispatches, wake-ups. The policy
// responds by calling the Actions given to New, before the event method returns.
//
// This file holds the interface, state.go the state, slab.go helpers. The decisions are made in engine.go (events and ticks),
// admit.go (admission), pick.go (choice of a searcher), send.go (dispatches, retries, hedges and cancellations), end.go (when
// and how a scan ends) and learn.go (what outcomes show about searchers).
package policy

import "time"

// Outcome is the result of one dispatch.
type Outcome uint8

const (
	Succeeded      Outcome = iota // an answer was returned
	Failed                        // an error was returned; may have run
	Overloaded                    // refused as full; never ran
	TimedOut                      // no answer in time; may have run, may still be running
	Unreachable                   // no connection; never ran
	ConnectionLost                // the connection broke; may have run
	Cancelled                     // cancelled by the policy; may have run
	Expired                       // never left this mixer
)

// Effect is the effect of running a part more than once.
type Effect uint8

const (
	Idempotent      Effect = iota // harmless at any time
	IdempotentByKey               // harmless within TableType.RepeatWindow of the first run
	NonIdempotent                 // not harmless
)

// ListMode is the kind of a searcher list update.
type ListMode uint8

const (
	Changes     ListMode = iota // only the entries that changed
	Full                        // all entries
	Cached                      // all entries, from an earlier list
	Unavailable                 // the list could not be had
)

// SearcherState is the state of a searcher according to the list.
type SearcherState uint8

const (
	Ready    SearcherState = iota // accepts parts
	Draining                      // finishes its parts and accepts no further ones
	Gone                          // not in the list any more
)

// LongAgo is a time before all events: the start of a searcher that the list doesn't date, and the time of events that haven't
// happened.
const LongAgo = time.Duration(-1 << 62)

// TableType holds the settings of one table type. Need and Floor are coverages: sums of the weights of answered parts.
type TableType struct {
	Target, Timeout, RepeatWindow time.Duration // RepeatWindow: how long a part with a key may be sent again
	LateShare, Benefit            float64       // LateShare: value of an answer after the target; Benefit: value of a scan
	Stretch                       float64       // how much of a scan's announced work is added to its target
	Effect                        Effect
	Need, Floor                   float64 // of a whole answer, and of any answer
	SecondStep                    int     // parts in the second step; 0: there is none
	MaxAttempts                   int     // dispatches allowed per part; 0: Settings.MaxAttempts
}

// Settings holds the parameters of New.
type Settings struct {
	Seed                                     uint64
	Instance, Mixers                         int // index of this mixer, and number of mixers
	Types                                    []TableType
	Quotas                                   []float64 // scans per second within each tenant's share, over all mixers
	Shards, ShardSpan, PartsPerCall          int       // ShardSpan: number of consecutive shards whose searchers hold a shard
	MaxAttempts                              int
	MayHedge, RetryAdvice, Subscribe         bool // whether hedging, advice on retries and a subscription to the list are used
	MayCancel, MayGossip                     bool
	MaxRetryAfter, Granularity, ListInterval time.Duration // limit of the advice, interval between events, interval between lists
	WarmUp, OverloadSpan                     time.Duration // how long a searcher is cold; span in which it can be overloaded
	ColdShare, OverloadMultiple              float64       // capacity at the start; multiple of it that overloads
	Budgeted                                 bool          // whether this mixer limits its own retries as follows
	BudgetFree, BudgetShare                  float64       // retries allowed in BudgetSpan: BudgetFree + BudgetShare*requests
	BudgetSpan                               time.Duration

	// WaitToDeadline lets dispatches run until the scan's deadline, for systems in which aborting a running one is expensive.
	WaitToDeadline bool
	// InFlightAllowance is the number of scans in flight that are no sign of congestion. Where there are many mixers, each sees
	// few scans.
	InFlightAllowance float64
	// RankByExpectedAnswer orders parts of equal weight by the expected answer time of their best searcher.
	RankByExpectedAnswer bool
	// BudgetAllows reports whether the fleet's retry budget allows another dispatch. Nil allows every dispatch.
	BudgetAllows func(shard int, until time.Duration) bool
}

// Actions is implemented by the owner to carry out the policy's decisions. Ids are those passed in with Scan and Part;
// searchers are given by their indices in the list. A part is never sent to a searcher at which one of its dispatches is in
// flight.
type Actions interface {
	Dispatch(part uint64, searcher int, until time.Duration)
	Cancel(part uint64, attempt int)
	Complete(scan uint64, whole bool)
	Throttle(scan uint64, retryAfter time.Duration)
	Abandon(scan uint64)
	Renew(searcher int) // use a new connection for the next dispatch
	Wake(at time.Duration, token uint64)
	Subscribe()
	Gossip(idleSteps []byte) // to all other mixers; only if Settings.MayGossip
}
