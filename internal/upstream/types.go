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
	Answered    Outcome = iota + 1 // a complete response to this request, with any status
	NotExecuted                    // the searcher states that it has not run the request
	NoConnect                      // no byte was written: connection refused or reset, no free connection, or timed out
	Broken                         // the connection failed after at least part of the request was written; it may have run
	TimedOut                       // the deadline passed after at least part of the request was written; it may have run
	Garbled                        // the response is invalid; the request may have run
	Cancelled                      // cancelled by the caller; the request may have run if Wrote is set
	Unsendable                     // the request cannot be encoded as HTTP; nothing was written
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

// Answer is a searcher's response, or the reason why there is none. The caller owns its strings and its body.
type Answer struct {
	Outcome     Outcome
	Status      int    // also set if the response was cut off after its head; 0 if there was no head
	Seal        string // value of Answer-Seal
	SearcherID  string
	Headers     []Header // end-to-end fields as received; set for Answered and NotExecuted
	Body        []byte
	Load        Load
	HasLoad     bool
	NotExecuted bool // the Not-Executed header was present, whether or not it was accepted
	RetryAfter  time.Duration
	Wrote       bool          // at least one byte of the request was passed to the kernel
	Unreachable bool          // connecting failed although the full connect timeout was available
	Fresh       bool          // used, or would have used, a new connection
	Idle        time.Duration // how long the connection was idle before this request
	Err         error         // nil for Answered and NotExecuted
}

// NeverRan reports whether the searcher has certainly not run the request and never will.
func (a *Answer) NeverRan() bool { return a.Outcome == NotExecuted || !a.Wrote }

// statusMisdirected is the status with which a searcher rejects a request intended for another one.
const statusMisdirected = 421

// Misdirected reports whether the address turned out to belong to another searcher.
func (a *Answer) Misdirected() bool { return a.Outcome == NotExecuted && a.Status == statusMisdirected }

// Call is one request in flight. It may be passed to Do only once.
type Call struct {
	Request
	// Deadline is when Do gives up; zero means no deadline.
	Deadline time.Time
	// ToldDeadline is sent in Deadline-Ms as the time remaining when the request is written; zero means none. Once it
	// has passed, nothing is written.
	ToldDeadline time.Time
	// VouchedUntil is the time before which a new connection to the address is assumed to reach the searcher; see identity.go.
	VouchedUntil time.Time

	mu        sync.Mutex
	cancelled bool
	abort     func() // interrupts the operation that the call is blocked on
}

// Cancel ends the call: Do returns promptly and closes the connection, because searchers drop work whose connection
// closes. Cancel may be called from any goroutine, before, during or after Do, any number of times.
func (c *Call) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	if c.abort != nil {
		c.abort()
		c.abort = nil
	}
}

// setAbort sets how Cancel interrupts the next operation. It returns false if the call was already cancelled.
func (c *Call) setAbort(abort func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return false
	}
	c.abort = abort
	return true
}

// clearAbort removes the abort function, so that Cancel no longer affects the connection. It returns false if the call was
// cancelled before.
func (c *Call) clearAbort() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abort = nil
	return !c.cancelled
}
