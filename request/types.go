package request

import (
	"time"

	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/retrybudget"
)

// Header is one field of a message.
type Header struct{ Name, Value string }

// Reply is what a searcher answered, whole and checked.
type Reply struct {
	Status  int
	Seal    string
	Headers []Header
	Body    []byte
}

// Host is one life of a searcher.
type Host struct {
	ID, Address, Service string
	State                policy.SearcherState
	Calls                uint64 // of its reports, as last told: it rises
	Silent               bool   // it has not been heard of lately
	Far                  int    // 0 in this zone, 1 in this region, 2 elsewhere
}

// Kind says how a request ended.
type Kind uint8

const (
	Relayed  Kind = iota // Reply is the searcher's answer
	Gathered             // Seals, Missing and Body are the parts' answer
	Refused              // it has not run, or may run again: come back In
	Failed               // it may have run and must not again
)

// Final is the one answer of a request.
type Final struct {
	Kind    Kind
	Reply   *Reply
	Seals   []string
	Missing int
	Body    []byte
	In      time.Duration
	Late    bool // its time was over
	Reason  Reason
	Tries   []Try // of one that was refused or has failed
}

// Reason says why a request was refused or has failed.
type Reason string

// The reasons.
const (
	NoSearcher    Reason = "no searcher of a service it needs is listed"
	TurnedAway    Reason = "the searchers tried turned it away or could not be reached"
	BudgetSpent   Reason = "a try failed, and the retry budget has no room for another"
	NotAdmitted   Reason = "not admitted: its searchers answer too late or are full"
	TimeOver      Reason = "its time was over"
	MayHaveRun    Reason = "it may have run and cannot be sent again"
	NoTryLeft     Reason = "no further try was left or allowed by the budget"
	ProcessFailed Reason = "a fault in the proxy ended all that was in hand"
)

// Try is one dispatch made for a request, as it stood when the request ended.
type Try struct {
	Searcher string
	Out      bool // its outcome was still open
	Outcome  policy.Outcome
	Took     time.Duration // until its outcome, or until the request ended
}

// Request is one try of a client.
type Request struct {
	Route *manifest.Route
	Until time.Duration // when it is given up at the latest, by the life's clock: the client's deadline, and its route's horizon
	Done  func(Final)   // called once, with the caller's lock held
	Data  any           // the caller's

	id     uint64
	group  *group
	shards []string // services asked, fixed when the request was taken
	parts  []*part
	ended  bool
	refuse *Reply // the last answer of a searcher that could not count
}

// Dispatch is one part on its way to one searcher.
type Dispatch struct {
	Request *Request
	Host    *Host
	Until   time.Duration // by the request's clock
	Vouched bool          // nothing speaks against the address of the searcher; else who is there is to be made out first
	Call    any           // the caller's

	part   *part
	no     int
	at     time.Duration
	paused time.Duration // for how long the process had not run by then, in all
	out    bool
	// Once it is not out any more: what became of it, and how long that took.
	outcome policy.Outcome
	took    time.Duration
	host    *host
}

// part is what a request wants from one service.
type part struct {
	id      uint64
	req     *Request
	service string
	tries   []*Dispatch
	reply   *Reply
	trail   retrybudget.AttemptHistory
}

// Reading says whether a searcher has read a dispatch, which counts for the retry budget.
type Reading uint8

// The readings.
const (
	MayRead Reading = iota // it was given up, or its connection was lost: it may have been read, or may be yet
	WasRead                // its searcher, or another one at its address, has answered
	NotRead                // nothing of it was written
)

// Act is one thing to be done: Send or call off a dispatch.
type Act struct {
	Dispatch *Dispatch
	Cancel   bool
}

// Counts are running totals, for logs and status.
type Counts struct {
	Taken, Relayed, Gathered, Partial, Refused, Failed, Left int
	Sent, Further                                            int
	Outcomes                                                 [policy.Expired + 1]int
	Far                                                      [3]int // dispatches, by how far they went
}
