package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// connection is a client's kept connection to a front.
type connection struct {
	addr string
	c    net.Conn
	in   *bufio.Reader
	rec  *record
}

var lastAttempt atomic.Uint64

// newAttempt returns an id that no other try has.
func newAttempt() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastAttempt.Add(1)) }

// send sends one request and waits for its answer, on the kept connection if there is one.
func (c *connection) send(method, path, id string, deadline time.Duration, body string) (a httpAnswer, err error) {
	if c.c == nil {
		if c.c, err = net.DialTimeout("tcp", c.addr, time.Second); err != nil {
			c.c = nil
			c.rec.answered(id, "no connection: "+err.Error())
			return a, err
		}
		c.in = bufio.NewReader(c.c)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	c.rec.add("client sends %s %s %s, Deadline-Ms %d", method, path, id, deadline.Milliseconds())
	c.c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	_, err = c.c.Write([]byte(b.String()))
	if err == nil {
		a, err = readAnswer(c.in)
	}
	if err != nil {
		c.close()
		c.rec.answered(id, "no answer: "+err.Error())
		return a, err
	}
	c.rec.answered(id, fmt.Sprint(a.status))
	if a.closed {
		c.close()
	}
	return a, nil
}

func (c *connection) close() {
	if c.c != nil {
		c.c.Close()
		c.c = nil
	}
}
