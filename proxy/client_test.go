package proxy_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/internal/standin/faulty"
	"peathollow/internal/standin/rig"
	"peathollow/registry"
)

// TestUnchanged: a searcher receives what the client sent, except for fields that concern a single connection.
func TestUnchanged(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	headers := make(chan string, 9)
	r.Searcher("s", faulty.Options{Script: func(c faulty.Call) faulty.Reply { headers <- c.Head; return faulty.Reply{} }})
	r.Put(rig.Route{Prefix: "/", Service: "s"})
	for _, q := range []rig.Request{
		{Path: "/a/%2e%2E//b/../c;p=1?x=%20&&y"}, {Method: "DELETE", Path: "//"}, {Method: "M-SEARCH", Path: "/" + strings.Repeat("x", 9000)},
		{Method: "POST", Path: "/", Body: "\x00\r\n\r\nGET / HTTP/1.1\r\n\r\n"}, {Method: "PUT", Path: "/", Body: strings.Repeat("b", 4096), Chunked: true},
		{Method: "PATCH", Path: "/?", Body: "p", Header: []string{"Expect: 100-continue"}, Host: "H.EXAMPLE:8080"},
		{Path: "/", Header: []string{"Target-Searcher: i-other", "Keep-Alive: timeout=9", "TE: trailers", "Upgrade: x", "X-One: 1", "X-One: 2"}},
		{Path: "/", Header: []string{"Connection: keep-alive, X-Hop", "X-Hop: mine", "X-End: theirs"}},
	} {
		a := r.Do(q)
		must.Eq(t, 200, a.Status, must.Sprint(q))
		must.Eq(t, a.Request.ID, a.Header.Get("Attempt-Id"))
		header := <-headers
		must.Eq(t, strings.Count(strings.Join(q.Header, ""), "X-One"), strings.Count(header, "X-One"))
		must.Eq(t, strings.Contains(strings.Join(q.Header, ""), "X-End"), strings.Contains(header, "X-End: theirs"))
		for _, hop := range []string{"Keep-Alive", "TE:", "Upgrade", "X-Hop", "Transfer-Encoding", "Connection: keep-alive"} {
			must.StrNotContains(t, header, hop)
		}
	}
	r.Check()
}

// TestSmuggled: no bytes of one request are interpreted as another request (request smuggling).
func TestSmuggled(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	r.Searcher("s", faulty.Options{})
	r.Put(rig.Route{Prefix: "/", Service: "s"})
	inner := "0\r\n\r\nGET /inner HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: evil\r\nDeadline-Ms: 900\r\n\r\n"
	for name, lines := range map[string][]string{
		"both lengths":     {"Transfer-Encoding: chunked"},
		"both, spaced":     {"Transfer-Encoding : chunked"},
		"both, odd":        {"Transfer-Encoding: xchunked"},
		"both, twice":      {"Transfer-Encoding: chunked", "Transfer-Encoding: identity"},
		"lengths differ":   {"Content-Length: 5"},
		"length is signed": {"Content-Length: +5"},
		"folded":           {"X-A: b", " Content-Length: 5"},
		"bare LF":          {"X-A: b\nContent-Length: 5"},
	} {
		c := r.Dial()
		c.Send(rig.Request{Method: "POST", Path: "/" + strings.ReplaceAll(name, " ", "-"), Body: inner, Header: lines})
		c.Send(rig.Request{Path: "/after"})
		c.Read()
		c.Read() // anything in the body that was parsed as a request would be answered by now
		c.Close()
		must.Eq(t, 0, r.Ledger.Arrived("evil"), must.Sprint(name))
	}
}

// TestDenied: a request within the configured limits and routes is never rejected, and any other is rejected with the right
// status.
func TestDenied(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	r.Limits.MaxBodyBytes = 1000
	r.Searcher("s", faulty.Options{})
	r.Searcher("t", faulty.Options{})
	r.Put(rig.Route{Prefix: "/a/", Service: "s"}, rig.Route{Name: "deeper", Prefix: "/a/b/", Service: "t"})
	for _, c := range []struct {
		q      rig.Request
		status int
	}{
		{rig.Request{Path: "/a/"}, 200}, {rig.Request{Path: "/a/b"}, 200}, {rig.Request{Path: "/a/b/c", Host: "H.Example:99"}, 200},
		{rig.Request{Path: "/a"}, 404}, {rig.Request{Path: "/"}, 404}, {rig.Request{Path: "/b/a/b/"}, 404},
		{rig.Request{Path: "/a/", Host: "other.example"}, 404}, {rig.Request{Path: "/x?/a/b/"}, 404},
		{rig.Request{Method: "POST", Path: "/a/", Body: strings.Repeat("x", 1000)}, 200},
		{rig.Request{Method: "POST", Path: "/a/", Body: strings.Repeat("x", 1000), Chunked: true}, 200},
		{rig.Request{Method: "POST", Path: "/a/", Body: strings.Repeat("x", 1001)}, 413},
		{rig.Request{Method: "POST", Path: "/a/", Body: strings.Repeat("x", 1001), Chunked: true}, 413},
		{rig.Request{Path: "/a/", Header: headerLines(15_000)}, 200}, {rig.Request{Path: "/a/", Header: headerLines(80_000)}, 431},
		{rig.Request{Path: "/a/", DeadlineMs: 1 << 52}, 200},
	} {
		a := r.Do(c.q)
		must.Eq(t, c.status, a.Status, must.Sprintf("%.200v", c.q))
		must.Eq(t, c.status == 200, r.Ledger.Arrived(a.Request.ID) == 1)
	}
	for _, e := range r.Ledger.Entries() {
		must.Eq(t, strings.HasPrefix(e.Path, "/a/b/"), strings.HasPrefix(e.Searcher, "i-t"), must.Sprint(e)) // the longest prefix wins
	}
	r.Check()
}

func headerLines(n int) (lines []string) {
	for i := range n / 1000 {
		lines = append(lines, fmt.Sprintf("X-%d: %s", i, strings.Repeat("h", 990)))
	}
	return lines
}

// TestHeaderLimit: the maximum size of a request header comes from the configuration and is not fixed in the program.
func TestHeaderLimit(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	r.Limits.MaxHeaderBytes = 64 << 10
	r.Searcher("s", faulty.Options{})
	r.Put(rig.Route{Prefix: "/", Service: "s"})
	must.Eq(t, 200, r.Do(rig.Request{Path: "/", Header: headerLines(60_000)}).Status)
	r.Check()
}

// TestNoSearchers: without a searcher the answer is a refusal with a Retry-After that clients can parse, and the request does not
// wait for a searcher.
func TestNoSearchers(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	r.Put(rig.Route{Prefix: "/", Service: "s", Mode: "non_idempotent"})
	for range 3 {
		a := r.Do(rig.Request{Path: "/"})
		must.Eq(t, 503, a.Status)
		retryAfter, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		must.NoError(t, err)
		must.Between(t, 0.001, retryAfter, 2)
	}
}

// TestClientDisconnect: when a client disconnects, its request is cancelled, so that the searcher may drop it.
func TestClientDisconnect(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	arrived, dropped := make(chan string), make(chan bool, 9)
	r.Searcher("s", faulty.Options{Script: func(c faulty.Call) faulty.Reply {
		arrived <- c.AttemptID
		return faulty.Reply{Hold: make(chan struct{}), OnDisconnect: func() { dropped <- true }}
	}})
	// Nothing but the disconnect ends the requests while the test waits.
	r.Put(rig.Route{Prefix: "/", Service: "s", Mode: "non_idempotent", HorizonMs: 600_000, SetpointMs: 300_000},
		rig.Route{Name: "g", Prefix: "/g/", FanOut: []string{"s"}, HorizonMs: 600_000, SetpointMs: 300_000})
	for _, path := range []string{"/", "/g/"} {
		c := r.Dial()
		q := c.Send(rig.Request{Path: path, DeadlineMs: 600_000})
		must.Eq(t, q.ID, <-arrived)
		c.Close()
		select {
		case <-dropped:
		case <-time.After(rig.Timeout):
			t.Fatal("the request was not cancelled after its client disconnected")
		}
	}
	r.Check()
}

// TestKeepAlive: a connection serves many requests, in order, also when the client pipelines them.
func TestKeepAlive(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	r.Searcher("s", faulty.Options{Script: func(c faulty.Call) faulty.Reply {
		if strings.HasPrefix(c.Path, "/empty") {
			return faulty.Reply{Status: 204, Body: []byte{}}
		}
		return faulty.Reply{}
	}})
	r.Put(rig.Route{Prefix: "/", Service: "s"})
	c := r.Dial()
	defer c.Close()
	for _, p := range []string{"/1", "/empty", "/2", "/3"} {
		c.Send(rig.Request{Path: p})
	}
	for range 4 {
		must.NoError(t, c.Read().Err)
	}
	c.Send(rig.Request{Method: "POST", Path: "/4", Body: "x", Chunked: true})
	must.Eq(t, 200, c.Read().Status)
	r.Check()
}

// TestAddressReuse: once another searcher uses an address, requests for the former one are not run there, and its 421 reaches no
// client. Services run only the requests that a configuration version routes to them.
func TestAddressReuse(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	first := r.Searcher("s", faulty.Options{})
	r.Put(rig.Route{Prefix: "/", Service: "s", Mode: "non_idempotent", Retries: 2})
	must.Eq(t, 200, r.Do(rig.Request{Path: "/"}).Status)
	first.Close()
	r.Searcher("other", faulty.Options{Addr: first.Addr()})
	r.Sync()
	for range 3 {
		must.Eq(t, http.StatusServiceUnavailable, r.Do(rig.Request{Path: "/", DeadlineMs: 500}).Status)
	}
	second := r.Searcher("s", faulty.Options{})
	r.Sync()
	must.Eq(t, 200, r.Do(rig.Request{Path: "/"}).Status)
	// A list that still names the former searcher costs later requests no attempt, since that searcher never comes back.
	n := len(r.Ledger.Entries())
	r.UpdateSearcher("s", second.ID(), second.Addr(), registry.Ready)
	r.Sync()
	for range 3 {
		must.Eq(t, 200, r.Do(rig.Request{Path: "/"}).Status)
	}
	must.Eq(t, n+3, len(r.Ledger.Entries()))
	r.Check()
}

// TestBodyThatDoesNotCome: a client that sends half of its body gets a 408 when its deadline has passed, and nothing has run. An
// earlier version waited for as long as the connection was open.
func TestBodyThatDoesNotCome(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	r.Searcher("s", faulty.Options{})
	r.Put(rig.Route{Prefix: "/", Service: "s", Mode: "non_idempotent"})
	c := r.Dial()
	defer c.Close()
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: %s\r\nAttempt-Id: slow\r\nDeadline-Ms: 200\r\nContent-Length: 10\r\n\r\nhalf", rig.Host)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c.Conn), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusRequestTimeout, res.StatusCode)
	must.True(t, res.Close)
	must.Eq(t, 0, r.Ledger.Arrived("slow"))
}
