package faulty

import (
	"bytes"
	"fmt"
	"time"
)

// Call is one request as the searcher read it.
type Call struct {
	Conn       int // 1 for the first connection accepted
	Nth        int // 1 for the first request on its connection
	Method     string
	Path       string // with the query
	Head       string // as it came, up to the blank line
	Host       string
	AttemptID  string
	Target     string
	DeadlineMs int64 // -1 when absent
	Body       []byte
}

// Way is how a reply misbehaves.
type Way uint8

const (
	Good        Way = iota
	Refuse          // 503 with Not-Executed; does not run
	RefuseNoID      // the same without Attempt-Id
	Wrong421        // 421, as if another were meant; does not run
	ResetUnrun      // resets the connection and does not run the request
	ResetRun        // resets it having run
	CloseRun        // closes it having run, without a byte
	CutHead         // closes it in the middle of the head
	CutBody         // closes it in the middle of the body
	Spoil           // bytes that are no answer
	WrongID         // another request's id
	NoID            // no Attempt-Id
	NoSeal          // no Answer-Seal
	Hang            // says nothing until the connection closes
	Trickle         // a byte at a time
	Chunked         // in chunks, with a trailer
	BadChunks       // in chunks whose sizes lie
	BothLengths     // Content-Length and chunks
	NoLength        // neither, the connection stays open
	UntilClose      // neither, the body ends with the connection
	ShortLength     // Content-Length of half the body, so that half of it is surplus
	Surplus         // bytes after a whole answer
	ExtraNow        // a second answer right after the first
	ExtraLate       // a second answer in the place where the next one is due
	CloseAfter      // Connection: close, and does
	CloseUnsaid     // closes after the answer without having said so
)

// Reply is what the searcher does with a request. Its zero value is a good answer.
type Reply struct {
	Way     Way
	Status  int             // 0: 200; 500 or 504 are its own and count as run
	Body    []byte          // nil: bytes made from the path
	Header  []string        // further lines, "Name: value"
	Hold    <-chan struct{} // keeps working until this closes or the connection does
	Work    time.Duration   // works for so long
	OnDrop  func()          // the connection closed while the request was at work
	RawBack []byte          // goes out as it is in place of an answer
}

// Seal is the stamp a searcher puts on its answer to an attempt.
func Seal(searcher, attempt string) string { return "seal." + searcher + "." + attempt }

// Records makes n records of 16 bytes, in no order, that depend on the searcher and the path.
func Records(searcher, path string, n int) []byte {
	var b bytes.Buffer
	x := uint64(14695981039346656037)
	for _, c := range []byte(searcher + path) {
		x = (x ^ uint64(c)) * 1099511628211
	}
	for range n {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		fmt.Fprintf(&b, "%016x", x)
	}
	return b.Bytes()
}

// render makes the bytes that go out for a request.
func (s *Server) render(c *Call, r *Reply) []byte {
	status, body := r.Status, r.Body
	if status == 0 {
		status = 200
	}
	if body == nil {
		body = Records(s.ID(), c.Path, 4)
	}
	refusal := false
	switch r.Way {
	case Refuse, RefuseNoID:
		status, refusal, body = 503, true, []byte("full")
	case Wrong421:
		status, refusal, body = 421, true, []byte("another")
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d Status\r\n", status)
	id := c.AttemptID
	if r.Way == WrongID {
		id = "other-" + id
	}
	if id != "" && r.Way != NoID && r.Way != RefuseNoID {
		fmt.Fprintf(&b, "Attempt-Id: %s\r\n", id)
	}
	if refusal {
		b.WriteString("Not-Executed: 1\r\n")
	} else if r.Way != NoSeal && c.AttemptID != "" {
		fmt.Fprintf(&b, "Answer-Seal: %s\r\n", Seal(s.ID(), c.AttemptID))
	}
	if c.Path == s.opts.ProbePath && !refusal { // full, it says nothing of itself
		fmt.Fprintf(&b, "Searcher-Id: %s\r\n", s.ID())
	}
	if s.opts.TellLoad {
		running, waiting := s.Load()
		fmt.Fprintf(&b, "Searcher-Load: %d,%d,%d\r\n", running, waiting, s.opts.Capacity)
	}
	if s.opts.KeepAliveS > 0 {
		fmt.Fprintf(&b, "Keep-Alive: timeout=%d\r\n", s.opts.KeepAliveS)
	}
	for _, h := range r.Header {
		b.WriteString(h + "\r\n")
	}
	if r.Way == CloseAfter {
		b.WriteString("Connection: close\r\n")
	}
	switch r.Way {
	case Chunked, BadChunks, BothLengths:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case NoLength, UntilClose:
	case ShortLength:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body)/2)
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	if r.Way == BothLengths {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	head := b.Len()
	b.WriteString("\r\n")
	switch {
	case c.Method == "HEAD" || status == 204 || status == 304:
	case r.Way == Chunked:
		half := len(body) / 2
		fmt.Fprintf(&b, "%x;a=b\r\n%s\r\n%X\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	case r.Way == BadChunks:
		fmt.Fprintf(&b, "%x\r\n%s\r\n0\r\n\r\n", len(body)-1, body)
	case r.Way == BothLengths:
		fmt.Fprintf(&b, "%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	default:
		b.Write(body)
	}
	switch r.Way {
	case CutHead:
		return b.Bytes()[:head/2]
	case CutBody:
		return b.Bytes()[:b.Len()-len(body)/2-1]
	case Surplus:
		b.WriteString("and then some")
	case Spoil:
		return bytes.Repeat([]byte("\x00\xffnoise"), 20)
	}
	return b.Bytes()
}
