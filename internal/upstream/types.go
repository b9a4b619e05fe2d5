package upstream

import (
	"strconv"
	"sync"
	"time"
)

// Header is one header field.
type Header struct{ Name, Value string }

// Request is the request to send. Method, path and body are sent unchanged.
type Request struct {
	Method string
	Path   string // including the query
	Host   string // if empty, the searcher's address
	// Headers are the end-to-end fields to pass on. Fields that this package writes itself and hop-by-hop fields are
	// dropped: a second Content-Length would allow request smuggling.
	Headers []Header
	// AttemptID is sent as Attempt-Id, and the response must carry the same value. A request without an AttemptID is a
	// probe: its response must carry no id and needs no seal.
	AttemptID string
	Target    string // sent as Target-Searcher if not empty
	Body      []byte
}

// Outcome is the result of a request.
type Outcome uint8

const (
	Answered        Outcome = iota + 1 // a complete response to this request, with any status
	NotExecuted                        // the searcher states that it has not run the request
	ConnectFailed                      // no byte was written: connection refused or reset, no free connection, or timed out
	ConnectionLost                     // the connection failed after at least part of the request was written; it may have run
	TimedOut                           // the deadline passed after at least part of the request was written; it may have run
	InvalidResponse                    // the response is invalid; the request may have run
	Cancelled                          // cancelled by the caller; the request may have run if Wrote is set
	InvalidRequest                     // the request cannot be encoded as HTTP; nothing was written
)

var outcomeNames = [...]string{"none", "answered", "not executed", "no connect", "broken", "timed out", "garbled",
	"cancelled", "unsendable"}

func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "outcome " + strconv.Itoa(int(o))
}

// Load is the load that a searcher reports in Searcher-Load.
type Load struct{ Running, Waiting, Slots int }

// Response is a searcher's response, or the reason why there is none. The caller owns its strings and its body.
type Response struct {
	Outcome       Outcome
	Status        int    // also set if the response was cut off after its head; 0 if there was no head
	Seal          string // value of Answer-Seal
	SearcherID    string
	Headers       []Header // end-to-end fields as received; set for Answered and NotExecuted
	Body          []byte
	Load          Load
	HasLoad       bool
	NotExecuted   bool // the Not-Executed header was present, whether or not it was accepted
	RetryAfter    time.Duration
	Wrote         bool          // at least one byte of the request was passed to the kernel
	Unreachable   bool          // connecting failed although the full connect timeout was available
	NewConnection bool          // used, or would have used, a new connection
	IdleTime      time.Duration // how long the connection was idle before this request
	Err           error         // nil for Answered and NotExecuted
}

// NeverExecuted reports whether the searcher has certainly not run the request and never will.
func (r *Response) NeverExecuted() bool { return r.Outcome == NotExecuted || !r.Wrote }

// statusMisdirected is the status with which a searcher rejects a request intended for another one.
const statusMisdirected = 421

// Misdirected reports whether the address turned out to belong to another searcher.
func (r *Response) Misdirected() bool {
	return r.Outcome == NotExecuted && r.Status == statusMisdirected
}

// Exchange is one request in flight. It may be passed to Do only once.
type Exchange struct {
	Request
	// Deadline is when Do gives up; zero means no deadline.
	Deadline time.Time
	// AdvertisedDeadline is sent in Deadline-Ms as the time remaining when the request is written; zero means none. Once it
	// has passed, nothing is written.
	AdvertisedDeadline time.Time
	// AddressConfirmedUntil is the time before which a new connection to the address is assumed to reach the searcher;
	// see identity.go.
	AddressConfirmedUntil time.Time
	// Earlier holds the exchanges that have sent the same request, with the same AttemptID, to the searcher before. Their
	// connections are not used again; see carrier.go.
	Earlier []*Exchange

	mu        sync.Mutex
	cancelled bool
	abort     func() // interrupts the operation that the exchange is blocked on
	carrier   *conn  // the connection that the request was written to, or nil
}

// Cancel ends the exchange: Do returns promptly and closes the connection, because searchers drop work whose connection
// closes. Cancel may be called from any goroutine, before, during or after Do, any number of times.
func (e *Exchange) Cancel() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = true
	if e.abort != nil {
		e.abort()
		e.abort = nil
	}
}

// setAbort sets how Cancel interrupts the next operation. It returns false if the exchange was already cancelled.
func (e *Exchange) setAbort(abort func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelled {
		return false
	}
	e.abort = abort
	return true
}

// clearAbort removes the abort function, so that Cancel no longer affects the connection. It returns false if the
// exchange was cancelled before.
func (e *Exchange) clearAbort() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abort = nil
	return !e.cancelled
}
