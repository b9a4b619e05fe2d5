package faulty

import (
	"bytes"
	"fmt"
	"time"
)

// Call is a request as the searcher read it.
type Call struct {
	Conn       int // number of the connection, from 1 in the order of acceptance
	Nth        int // number of the request on its connection, from 1
	Method     string
	Path       string // including the query
	Head       string // request line and headers as received, without the blank line
	Host       string
	AttemptID  string
	Target     string
	DeadlineMs int64 // -1 when absent
	Body       []byte
}

// Fault is a kind of wrong behaviour that a reply can show.
type Fault uint8

// The faults of a reply.
const (
	NoFault          Fault = iota // a good response
	Refuse                        // 503 with Not-Executed; does not run
	RefuseNoID                    // like Refuse, without Attempt-Id
	Misdirected                   // 421, as if the request were for another searcher; does not run
	ResetBeforeRun                // resets the connection and does not run the request
	ResetAfterRun                 // runs the request, then resets the connection
	CloseAfterRun                 // runs the request, then closes the connection without a response
	TruncateHead                  // closes the connection in the middle of the response head
	TruncateBody                  // closes the connection in the middle of the response body
	Garbage                       // sends bytes that are not an HTTP response
	WrongID                       // Attempt-Id of another request
	NoID                          // no Attempt-Id
	NoSeal                        // no Answer-Seal
	Hang                          // sends nothing until the connection closes
	Trickle                       // writes the response byte by byte
	Chunked                       // chunked body with a chunk extension and a trailer
	InvalidChunkSize              // chunked body with a wrong chunk size
	LengthAndChunks               // both Content-Length and a chunked body
	NoLength                      // neither Content-Length nor chunks; the connection stays open
	UntilClose                    // neither Content-Length nor chunks; the body ends with the connection
	ShortLength                   // Content-Length of half the body, so that the other half is surplus
	TrailingBytes                 // extra bytes after a complete response
	CloseAnnounced                // sends Connection: close and closes the connection
	CloseUnannounced              // closes the connection after the response without announcing it
)

// SecondCopy says whether and when a second copy of a response is sent, be it good, faulty or a refusal.
type SecondCopy uint8

// The times of a second copy.
const (
	NoCopy   SecondCopy = iota
	CopyNow             // right after the first
	CopyLate            // once the next request has been read, before its response
)

// Reply says how the searcher handles a request. The zero value is a good response.
type Reply struct {
	Fault        Fault
	SecondCopy   SecondCopy      // also of the refusal of a full searcher
	Status       int             // default 200; 500 and 504 are sent by the searcher itself and count as run
	Body         []byte          // nil: Records for the searcher and the path
	Header       []string        // additional header lines, "Name: value"
	Hold         <-chan struct{} // runs until this channel or the connection closes
	Work         time.Duration   // how long the request runs
	OnDisconnect func()          // called if the connection closes while the request runs
	RawResponse  []byte          // sent unchanged instead of a response
}

// Seal returns the Answer-Seal value of a searcher's response to an attempt.
func Seal(searcher, attempt string) string { return "seal." + searcher + "." + attempt }

// Records returns n unsorted records of 16 bytes each, derived from the searcher ID and the path.
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

// render encodes the response to a request.
func (s *Server) render(c *Call, r *Reply) []byte {
	status, body := r.Status, r.Body
	if status == 0 {
		status = 200
	}
	if body == nil {
		body = Records(s.ID(), c.Path, 4)
	}
	refusal := false
	switch r.Fault {
	case Refuse, RefuseNoID:
		status, refusal, body = 503, true, []byte("full")
	case Misdirected:
		status, refusal, body = 421, true, []byte("another")
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d Status\r\n", status)
	id := c.AttemptID
	if r.Fault == WrongID {
		id = "other-" + id
	}
	if id != "" && r.Fault != NoID && r.Fault != RefuseNoID {
		fmt.Fprintf(&b, "Attempt-Id: %s\r\n", id)
	}
	if refusal {
		b.WriteString("Not-Executed: 1\r\n")
	} else if r.Fault != NoSeal && c.AttemptID != "" {
		fmt.Fprintf(&b, "Answer-Seal: %s\r\n", Seal(s.ID(), c.AttemptID))
	}
	if c.Path == s.opts.ProbePath && !refusal { // a refused probe does not identify the searcher
		fmt.Fprintf(&b, "Searcher-Id: %s\r\n", s.ID())
	}
	if s.opts.ReportLoad {
		running, waiting := s.Load()
		fmt.Fprintf(&b, "Searcher-Load: %d,%d,%d\r\n", running, waiting, s.opts.Capacity)
	}
	if s.opts.KeepAliveSeconds > 0 {
		fmt.Fprintf(&b, "Keep-Alive: timeout=%d\r\n", s.opts.KeepAliveSeconds)
	}
	for _, h := range r.Header {
		b.WriteString(h + "\r\n")
	}
	if r.Fault == CloseAnnounced {
		b.WriteString("Connection: close\r\n")
	}
	switch r.Fault {
	case Chunked, InvalidChunkSize, LengthAndChunks:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case NoLength, UntilClose:
	case ShortLength:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body)/2)
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	if r.Fault == LengthAndChunks {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	head := b.Len()
	b.WriteString("\r\n")
	switch {
	case c.Method == "HEAD" || status == 204 || status == 304:
	case r.Fault == Chunked:
		half := len(body) / 2
		fmt.Fprintf(&b, "%x;a=b\r\n%s\r\n%X\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	case r.Fault == InvalidChunkSize:
		fmt.Fprintf(&b, "%x\r\n%s\r\n0\r\n\r\n", len(body)-1, body)
	case r.Fault == LengthAndChunks:
		fmt.Fprintf(&b, "%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	default:
		b.Write(body)
	}
	switch r.Fault {
	case TruncateHead:
		return b.Bytes()[:head/2]
	case TruncateBody:
		return b.Bytes()[:b.Len()-len(body)/2-1]
	case TrailingBytes:
		b.WriteString("and then some")
	case Garbage:
		return bytes.Repeat([]byte("\x00\xffnoise"), 20)
	}
	return b.Bytes()
}
