package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/shoenig/test/must"
)

// Request is one try of a client. What is left out takes a default.
type Request struct {
	Method, Path, Host, ID string
	DeadlineMs             int // 10 s
	Body                   string
	Chunked                bool
	Header                 []string // further lines
}

// Answer is what the client got. Err tells of a connection that ended within it.
type Answer struct {
	Of     *Request
	Status int
	Header http.Header
	Body   string
	Close  bool // the connection ends with it
	Err    error
}

// Conn is a client's connection.
type Conn struct {
	net.Conn
	r    *Rig
	in   *bufio.Reader
	open []*Request
}

// Dial connects as a client does.
func (r *Rig) Dial() *Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.Front)
	must.NoError(r.t, err)
	must.NoError(r.t, c.SetDeadline(time.Now().Add(Patience)))
	return &Conn{Conn: c, r: r, in: bufio.NewReader(c)}
}

// Send writes a request.
func (c *Conn) Send(q Request) *Request {
	if q.Method == "" {
		q.Method = "GET"
	}
	if q.Host == "" {
		q.Host = Host
	}
	if q.DeadlineMs == 0 {
		q.DeadlineMs = 10_000
	}
	c.r.mu.Lock()
	if q.ID == "" {
		c.r.ids++
		q.ID = fmt.Sprintf("%08x", c.r.ids)
	}
	c.r.sent[q.ID] = &q
	c.r.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.Method, q.Path, q.Host, q.ID, q.DeadlineMs)
	for _, h := range q.Header {
		b.WriteString(h + "\r\n")
	}
	switch {
	case q.Chunked:
		half := len(q.Body) / 2
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for _, part := range []string{q.Body[:half], q.Body[half:]} {
			if part != "" {
				fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
			}
		}
		b.WriteString("0\r\n\r\n")
	case q.Body != "":
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.Body), q.Body)
	default:
		b.WriteString("\r\n")
	}
	io.WriteString(c, b.String()) // an early answer and close may cut this off
	c.open = append(c.open, &q)
	return &q
}

// Read takes the answer to the first request that has none.
func (c *Conn) Read() Answer {
	a := Answer{Of: c.open[0]}
	c.open = c.open[1:]
	res, err := http.ReadResponse(c.in, &http.Request{Method: a.Of.Method})
	for err == nil && res.StatusCode == 100 {
		res, err = http.ReadResponse(c.in, &http.Request{Method: a.Of.Method})
	}
	if err == nil {
		var body []byte
		body, err = io.ReadAll(res.Body)
		a.Status, a.Header, a.Body, a.Close = res.StatusCode, res.Header, string(body), res.Close
	}
	if a.Err = err; err == nil && len(c.open) == 0 && c.in.Buffered() > 0 {
		c.r.note("%s: bytes follow its answer", a.Of.ID)
	}
	c.r.mu.Lock()
	c.r.got = append(c.r.got, a)
	c.r.mu.Unlock()
	return a
}

// Do sends a request on a connection of its own and waits for the answer.
func (r *Rig) Do(q Request) Answer {
	r.t.Helper()
	c := r.Dial()
	defer c.Close()
	c.Send(q)
	return c.Read()
}
