package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"time"

	"peathollow/internal/keepalive"
)

const (
	abuseInterval = 10 * time.Millisecond
	abuseTimeout  = 2 * time.Second
)

// malformedMessages are what misbehaving clients send. Each is sent on its own connection, which is then closed or reset.
var malformedMessages = []func(id string) []byte{
	func(string) []byte { return []byte("\x16\x03\x01\x00\xa5\x01\x00\x00\xa1") },
	func(string) []byte { return []byte("GET /get/1 HTTP/1.1\r\nHost: " + host) },
	func(string) []byte { return bytes.Repeat([]byte("A"), 64<<10) },
	func(id string) []byte { return requestHead("POST", "/single/1", id, "Content-Length: 1000") },
	func(id string) []byte {
		return append(requestHead("POST", "/get/1", id, "Transfer-Encoding: chunked"), "ffffffffffffffff\r\nx"...)
	},
	func(id string) []byte {
		return append(requestHead("POST", "/get/1", id, "Transfer-Encoding: chunked", "Content-Length: 4"), "0\r\n\r\nGET /get/9 HTTP/1.1\r\n\r\n"...)
	},
	func(id string) []byte {
		return requestHead("GET", "/get/1", id, "X: "+string(bytes.Repeat([]byte("x"), 40<<10)))
	},
	func(id string) []byte { return requestHead("GET", "/fan/1", id, "Deadline-Ms: -5") },
	func(id string) []byte { return requestHead("GET", "/fan/1", id, "Deadline-Ms: 99999999999999999999") },
	func(id string) []byte { return requestHead("GET", "/fan/1", id, "Deadline-Ms: NaN") },
	func(id string) []byte { return requestHead("GET", "/get/1", "", "Deadline-Ms: 100") },
	func(id string) []byte { return requestHead("POST", "/get/1", id, "Content-Length: 99999999") },
	func(id string) []byte { return requestHead("GET", "/fan/1", id) },
	func(id string) []byte {
		return append(requestHead("GET", "/get/1", id), requestHead("GET", "/get/1", id+"b")...)
	},
	func(id string) []byte {
		return requestHead("GET", "/get/1", id, "Target-Searcher: i-nobody", "Connection: Attempt-Id")
	},
}

func requestHead(method, path, id string, lines ...string) []byte {
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

// abuse makes clients send malformed requests for a while; some of them disconnect early.
func (r *run) abuse(duration time.Duration, variant int) {
	for end := time.Now().Add(duration); time.Now().Before(end) && r.ctx.Err() == nil; r.sleep(abuseInterval) {
		go r.abuseOnce(rand.IntN(len(malformedMessages)), rand.IntN(3))
	}
}

func (r *run) abuseOnce(index, behavior int) {
	dial := keepalive.TCP{Relay: r.relayAddress, From: clients}
	c, err := dial.Dial(r.ctx, r.system.Fronts[rand.IntN(len(r.system.Fronts))], abuseTimeout, abuseTimeout)
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(abuseTimeout))
	c.Write(malformedMessages[index](r.probeID()))
	switch behavior {
	case 0: // read the response
		var b [4096]byte
		for {
			if _, err := c.Read(b[:]); err != nil {
				return
			}
		}
	case 1: // reset the connection at once
		reset(c)
	default: // disconnect after a short while
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
	}
}
