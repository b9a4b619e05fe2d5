package upstream

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// scratchBuffer is the memory of one exchange: first for the request head, then for the response. It belongs to the
// exchange rather than to the connection, because there are many idle connections and memory is costly.
type scratchBuffer struct{ buf []byte }

const scratchSize = 4096

var scratchBuffers = sync.Pool{New: func() any { return &scratchBuffer{buf: make([]byte, 0, scratchSize)} }}

func (s *scratchBuffer) release() {
	if cap(s.buf) > scratchSize { // do not retain the memory of one large head
		return
	}
	s.buf = s.buf[:0]
	scratchBuffers.Put(s)
}

// encodeHead appends the request head except for the fields that depend on the time of writing.
func encodeHead(b []byte, request *Request, addr string) ([]byte, error) {
	if request.Method == "" || !isToken(request.Method) {
		return b, errors.Errorf("invalid method %q", request.Method)
	}
	if !isRequestTarget(request.Path) {
		return b, errors.Errorf("invalid path %q", request.Path)
	}
	host := request.Host
	if host == "" {
		host = addr
	}
	if !isFieldValue(host) || strings.ContainsAny(host, " \t") || !isFieldValue(request.AttemptID) || !isFieldValue(request.Target) {
		return b, errors.Errorf("invalid host %q, attempt id %q or target %q", host, request.AttemptID, request.Target)
	}
	b = append(b, request.Method...)
	b = append(b, ' ')
	b = append(b, request.Path...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", host)
	for i := range request.Headers {
		h := &request.Headers[i]
		if h.Name == "" || !isToken(h.Name) || !isFieldValue(h.Value) {
			return b, errors.Errorf("invalid header %q: %q", h.Name, h.Value)
		}
		if !isReserved(h.Name) {
			b = appendField(b, h.Name, h.Value)
		}
	}
	if request.AttemptID != "" {
		b = appendField(b, "Attempt-Id", request.AttemptID)
	}
	if request.Target != "" {
		b = appendField(b, "Target-Searcher", request.Target)
	}
	if len(request.Body) > 0 || request.Method == "POST" || request.Method == "PUT" {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(request.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return b, nil
}

var errDeadlinePassed = errors.New("deadline passed before the request was written")

// finishHead completes the head with the time remaining at now. It fails if less than one millisecond remains.
func finishHead(b []byte, deadline, now time.Time) ([]byte, error) {
	if !deadline.IsZero() {
		left := deadline.Sub(now).Milliseconds()
		if left < 1 {
			return b, errDeadlinePassed
		}
		b = append(b, "Deadline-Ms: "...)
		b = strconv.AppendInt(b, left, 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...), nil
}

// writeRequest writes head and body in one operation and returns the number of bytes that the kernel accepted.
func writeRequest(w net.Conn, head, body []byte) (int64, error) {
	if len(head)+len(body) <= cap(head) {
		n, err := w.Write(append(head, body...))
		return int64(n), err
	}
	both := net.Buffers{head, body}
	return both.WriteTo(w)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// isReserved reports whether a request field is written by this package itself or is hop-by-hop.
func isReserved(name string) bool {
	switch len(name) {
	case 2:
		return strings.EqualFold(name, "TE")
	case 4:
		return strings.EqualFold(name, "Host")
	case 6:
		return strings.EqualFold(name, "Expect") // the body is sent at once, without waiting for a 100
	case 10:
		return strings.EqualFold(name, "Attempt-Id") || isHopByHop(name)
	case 11:
		return strings.EqualFold(name, "Deadline-Ms")
	case 15:
		return strings.EqualFold(name, "Target-Searcher")
	}
	return isHopByHop(name)
}

// isHopByHop reports whether a field concerns only one connection or the message framing on it.
func isHopByHop(name string) bool {
	switch len(name) {
	case 7:
		return strings.EqualFold(name, "Trailer") || strings.EqualFold(name, "Upgrade")
	case 10:
		return strings.EqualFold(name, "Connection") || strings.EqualFold(name, "Keep-Alive")
	case 14:
		return strings.EqualFold(name, "Content-Length")
	case 16:
		return strings.EqualFold(name, "Proxy-Connection")
	case 17:
		return strings.EqualFold(name, "Transfer-Encoding")
	}
	return false
}

// tokenByte marks the bytes that RFC 9110 allows in a token.
var tokenByte = func() (t [256]bool) {
	for c := '0'; c <= 'z'; c++ {
		t[c] = c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a'
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		t[c] = true
	}
	return t
}()

func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		if !tokenByte[s[i]] {
			return false
		}
	}
	return true
}

// isFieldValue reports whether s is valid as a field value: it contains no control character but tab, and so cannot end
// a line.
func isFieldValue(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isRequestTarget reports whether s is valid as the target of a request line.
func isRequestTarget(s string) bool {
	if s == "" || s[0] != '/' {
		return false
	}
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}
