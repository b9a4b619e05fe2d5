package upstream

import (
	"strconv"
	"sync"
	"time"
)

// Header is one header field.
type Header struct{ Name, Value string }

// Request is what goes out. The method, path and body go as they are.
type Request struct {
	Method string
	Path   string // with the query
	Host   string // empty: the searcher's address
	// Headers are the end-to-end ones to pass on. Fields that this package writes itself, or that concern one
	// connection, are left out whatever is given: a second length would let one request hide inside another.
	Headers []Header
	// AttemptID goes out as Attempt-Id and must come back. Without one the request is a probe: its answer must
	// carry no id and needs no seal.
	AttemptID string
	Target    string // Target-Searcher, if not empty
	Body      []byte
}

// Outcome is what became of a request.
type Outcome uint8

const (
	Answered    Outcome = iota + 1 // a whole answer to this request, of any status
	NotExecuted                    // the searcher says that it has not run it
	NoConnect                      // no byte was written: refused, reset, no free connection or out of time
	Broken                         // written at least partly, then the connection failed; may have run
	TimedOut                       // written at least partly, then the deadline passed; may have run
	Garbled                        // what came back can't be trusted; may have run
	Cancelled                      // may have run if Wrote
	Unsendable                     // the request can't be put on the wire as it is; nothing was written
)

var outcomeNames = [...]string{"none", "answered", "not executed", "no connect", "broken", "timed out", "garbled",
	"cancelled", "unsendable"}

func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "outcome " + strconv.Itoa(int(o))
}

// Load is what a searcher says of itself in Searcher-Load.
type Load struct{ Running, Waiting, Slots int }

// Answer is a searcher's answer, or why there is none. Strings and body are the caller's to keep.
type Answer struct {
	Outcome     Outcome
	Status      int    // also of an answer that was cut after its head; 0 without one
	Seal        string // Answer-Seal
	SearcherID  string
	Headers     []Header // the end-to-end ones, as sent, of Answered and NotExecuted
	Body        []byte
	Load        Load
	HasLoad     bool
	NotExecuted bool // the Not-Executed header was there, believed or not
	RetryAfter  time.Duration
	Wrote       bool          // at least one byte of the request was handed to the kernel
	Unreachable bool          // no connection to the address came about, though the call had the time that one may take
	Fresh       bool          // went over a new connection, or would have
	Idle        time.Duration // how long the connection had lain idle
	Err         error         // nil for Answered and NotExecuted
}

// NeverRan tells whether the searcher has surely not run the request and never will.
func (a *Answer) NeverRan() bool { return a.Outcome == NotExecuted || !a.Wrote }

// misdirected is the status by which a searcher says that another one was meant.
const misdirected = 421

// Misdirected tells whether the searcher's address turned out to be another's.
func (a *Answer) Misdirected() bool { return a.Outcome == NotExecuted && a.Status == misdirected }

// Call is one request under way. It serves for one Do.
type Call struct {
	Request
	// Deadline is when Do gives up; none if zero.
	Deadline time.Time
	// ToldDeadline goes out in Deadline-Ms as what is left of it at the moment of writing; none if zero. Once it has
	// passed, nothing is written.
	ToldDeadline time.Time
	// VouchedUntil is until when a connection that is made to the address may be taken for one to the searcher; see identity.go.
	VouchedUntil time.Time

	mu        sync.Mutex
	cancelled bool
	abort     func() // ends what the call waits for now
}

// Cancel ends the call: its Do returns promptly and its connection is closed, as searchers drop work whose connection
// closes. It may come from any goroutine, before, during or after Do, any number of times.
func (c *Call) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	if c.abort != nil {
		c.abort()
		c.abort = nil
	}
}

// attach says how Cancel ends what comes next; false if the call is cancelled already.
func (c *Call) attach(abort func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return false
	}
	c.abort = abort
	return true
}

// detach takes abort back: after it Cancel touches nothing. False if the call was cancelled before.
func (c *Call) detach() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abort = nil
	return !c.cancelled
}
