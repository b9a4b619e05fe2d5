package proxy_test

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/internal/standin/faulty"
	"peathollow/internal/standin/rig"
)

// held is a proxy before a searcher that works on each request until its connection closes; at is told of each request that it gets,
// dropped of each that it drops.
func held(t *testing.T) (r *rig.Rig, at, dropped chan string) {
	t.Helper()
	r = rig.Start(t, brief)
	at, dropped = make(chan string, 9), make(chan string, 9)
	r.Searcher("s", faulty.Options{Script: func(c faulty.Call) faulty.Reply {
		at <- c.Path
		return faulty.Reply{Hold: make(chan struct{}), OnDrop: func() { dropped <- c.Path }}
	}})
	r.Put(rig.Route{Prefix: "/", Plant: "s"})
	return r, at, dropped
}

// soon takes what is told well before the deadline of any request.
func soon(t *testing.T, what <-chan string) string {
	t.Helper()
	select {
	case path := <-what:
		return path
	case <-time.After(5 * time.Second):
		t.Fatal("nothing for long")
		return ""
	}
}

// TestPipeliningClientLeaves: a client that has sent its next request before the first is answered, and then leaves, is noticed like any
// other: the work for it is called off, and its next request goes nowhere. The code before worked on for it until its time was over:
// what waits unread hid the end of the connection.
func TestPipeliningClientLeaves(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(c *net.TCPConn){
		"closed": func(*net.TCPConn) {},
		"reset":  func(c *net.TCPConn) { c.SetLinger(0) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, at, dropped := held(t)
			c := r.Dial()
			c.Send(rig.Request{Path: "/first", DeadlineMs: 15_000})
			must.Eq(t, "/first", soon(t, at))
			c.Send(rig.Request{Path: "/second", DeadlineMs: 15_000})
			leave(c.Conn.(*net.TCPConn))
			c.Close()
			must.Eq(t, "/first", soon(t, dropped))
			must.Eq(t, 0, len(at))
		})
	}
}

// TestHalfClosedClientGetsNoSuccess: a client that ends its side of the connection behind its request has left, and gets nothing that it
// could take for its answer; the code before ended the request with an empty 200 of its own.
func TestHalfClosedClientGetsNoSuccess(t *testing.T) {
	t.Parallel()
	r, at, dropped := held(t)
	c := r.Dial()
	defer c.Close()
	c.Send(rig.Request{Path: "/first", DeadlineMs: 15_000})
	must.Eq(t, "/first", soon(t, at))
	must.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
	must.Eq(t, "/first", soon(t, dropped))
	a := c.Read()
	must.Error(t, a.Err)
	must.Eq(t, 0, a.Status)
}
