package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"time"

	"peathollow/internal/keepalive"
)

const (
	abuseEvery  = 10 * time.Millisecond
	abuseWithin = 2 * time.Second
)

// abuses are things that a client may do wrong. Each is said on a connection of its own, which then closes or is reset.
var abuses = []func(id string) []byte{
	func(string) []byte { return []byte("\x16\x03\x01\x00\xa5\x01\x00\x00\xa1") },
	func(string) []byte { return []byte("GET /get/1 HTTP/1.1\r\nHost: " + host) },
	func(string) []byte { return bytes.Repeat([]byte("A"), 64<<10) },
	func(id string) []byte { return head("POST", "/single/1", id, "Content-Length: 1000") },
	func(id string) []byte {
		return append(head("POST", "/get/1", id, "Transfer-Encoding: chunked"), "ffffffffffffffff\r\nx"...)
	},
	func(id string) []byte {
		return append(head("POST", "/get/1", id, "Transfer-Encoding: chunked", "Content-Length: 4"), "0\r\n\r\nGET /get/9 HTTP/1.1\r\n\r\n"...)
	},
	func(id string) []byte {
		return head("GET", "/get/1", id, "X: "+string(bytes.Repeat([]byte("x"), 40<<10)))
	},
	func(id string) []byte { return head("GET", "/fan/1", id, "Deadline-Ms: -5") },
	func(id string) []byte { return head("GET", "/fan/1", id, "Deadline-Ms: 99999999999999999999") },
	func(id string) []byte { return head("GET", "/fan/1", id, "Deadline-Ms: NaN") },
	func(id string) []byte { return head("GET", "/get/1", "", "Deadline-Ms: 100") },
	func(id string) []byte { return head("POST", "/get/1", id, "Content-Length: 99999999") },
	func(id string) []byte { return head("GET", "/fan/1", id) },
	func(id string) []byte {
		return append(head("GET", "/get/1", id), head("GET", "/get/1", id+"b")...)
	},
	func(id string) []byte {
		return head("GET", "/get/1", id, "Target-Searcher: i-nobody", "Connection: Attempt-Id")
	},
}

func head(method, path, id string, lines ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	if id != "" {
		fmt.Fprintf(&b, "Attempt-Id: %s\r\n", id)
	}
	for _, line := range lines {
		b.WriteString(line + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// abuse has clients do wrong things for a while, and some of them leave midway.
func (r *run) abuse(span time.Duration, chance int) {
	for end := time.Now().Add(span); time.Now().Before(end) && r.ctx.Err() == nil; r.pause(abuseEvery) {
		go r.abuseOnce(rand.IntN(len(abuses)), rand.IntN(3))
	}
}

func (r *run) abuseOnce(which, then int) {
	dial := keepalive.TCP{Relay: r.through, From: clients}
	c, err := dial.Dial(r.ctx, r.system.Fronts[rand.IntN(len(r.system.Fronts))], abuseWithin, abuseWithin)
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(abuseWithin))
	c.Write(abuses[which](r.probeID()))
	switch then {
	case 0: // it reads what comes
		var b [4096]byte
		for {
			if _, err := c.Read(b[:]); err != nil {
				return
			}
		}
	case 1: // it leaves at once
		reset(c)
	default: // it leaves midway
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
	}
}
