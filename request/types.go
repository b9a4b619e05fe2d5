package request

import (
	"time"

	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/retrybudget"
)

// Header is one header field of a message.
type Header struct{ Name, Value string }

// Reply is a complete and validated response of a searcher.
type Reply struct {
	Status  int
	Seal    string
	Headers []Header
	Body    []byte
}

// Searcher is one incarnation of a searcher.
type Searcher struct {
	ID, Address, Service string
	State                policy.SearcherState
	Calls                uint64 // call count of its last known report; rises with each report
	Silent               bool   // its heartbeats have stopped
	Distance             int    // 0 in this zone, 1 in this region, 2 elsewhere
}

// Kind is the way in which a request ended.
type Kind uint8

const (
	Relayed  Kind = iota // Reply holds the searcher's response
	Gathered             // Seals, Missing and Body hold the merged responses of the parts
	Refused              // it has not run, or may run again: the client may retry after RetryAfter
	Failed               // it may have run and must not be sent again
)

// Final is the final answer to a request.
type Final struct {
	Kind            Kind
	Reply           *Reply
	Seals           []string
	Missing         int
	Body            []byte
	RetryAfter      time.Duration
	DeadlineReached bool // it failed because of its deadline
	Reason          Reason
	Attempts        []Attempt // only if it was refused or failed
}

// Reason states why a request was refused or failed.
type Reason string

// Values of Reason.
const (
	NoSearcher      Reason = "no searcher of a service it needs is listed"
	Rejected        Reason = "the searchers tried turned it away or could not be reached"
	BudgetExhausted Reason = "a try failed, and the retry budget has no room for another"
	NotAdmitted     Reason = "not admitted: its searchers answer too late or are full"
	DeadlinePassed  Reason = "its time was over"
	MayHaveRun      Reason = "it may have run and cannot be sent again"
	NoAttemptLeft   Reason = "no further try was left or allowed by the budget"
	Stopping        Reason = "the proxy was stopped before it was answered"
	InternalFault   Reason = "a fault in the proxy ended all that was in hand"
)

// Attempt describes one dispatch of a request as of the end of the request.
type Attempt struct {
	Searcher string
	InFlight bool // without an outcome yet
	Outcome  policy.Outcome
	Elapsed  time.Duration // time until its outcome, or until the request ended
}

// Request is one request of a client. A repetition by the client is another Request.
type Request struct {
	Route *manifest.Route
	// Latest end on the clock of the Coordinator: the earlier of the client's deadline and the route's horizon.
	Deadline time.Duration
	Done     func(Final) // called once, with the caller's lock held; not called after ClientLeft
	Data     any         // for use by the caller

	id         uint64
	group      *group
	services   []string // set by Begin
	parts      []*part
	ended      bool
	errorReply *Reply // the last error response of a searcher
}

// Dispatch is one attempt of a part at one searcher.
type Dispatch struct {
	Request        *Request
	Searcher       *Searcher
	Deadline       time.Duration // on the clock of the Coordinator
	AddressTrusted bool          // the listed address is trusted; otherwise the searcher's identity must be probed before sending
	Data           any           // for use by the caller

	part         *part
	attempt      int
	sentAt       time.Duration
	pausedBefore time.Duration // total time of pauses of the process before sentAt
	inFlight     bool
	// Valid once the dispatch is no longer in flight: its outcome, and the time until then without pauses of the process.
	outcome policy.Outcome
	elapsed time.Duration
	member  *member
}

// Earlier returns the dispatches of the same part that were sent to the same searcher before.
func (d *Dispatch) Earlier() (earlier []*Dispatch) {
	if d.attempt == 0 {
		return nil
	}
	for _, previous := range d.part.dispatches[:d.attempt] {
		if previous.Searcher.ID == d.Searcher.ID {
			earlier = append(earlier, previous)
		}
	}
	return earlier
}

// part is the piece of a request that goes to one service.
type part struct {
	id         uint64
	request    *Request
	service    string
	dispatches []*Dispatch
	reply      *Reply
	history    retrybudget.AttemptHistory
}

// ReadStatus states whether a searcher has read a dispatch, which determines its charge on the retry budget.
type ReadStatus uint8

// Values of ReadStatus.
const (
	MaybeRead ReadStatus = iota // abandoned, or its connection was lost: it may have been read, or may still be
	WasRead                     // its searcher, or another one at the same address, responded
	NotRead                     // none of it was written to a connection
)

// Action is an instruction to the caller: it sends a dispatch or cancels one.
type Action struct {
	Dispatch *Dispatch
	Cancel   bool
}

// Counts holds running totals for logs and metrics.
type Counts struct {
	Taken, Relayed, Gathered, Partial, Refused, Failed, ClientsLeft int
	Sent, Retries                                                   int
	Outcomes                                                        [policy.Expired + 1]int
	ByDistance                                                      [3]int // dispatches by distance of the searcher
}
