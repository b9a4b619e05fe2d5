package proxy_test

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/internal/standin/faulty"
	"peathollow/internal/standin/rig"
)

// startHolding starts a proxy with a searcher that holds each request until its connection closes. The path of each request is
// sent to arrived when the searcher receives it, and to dropped when it drops it.
func startHolding(t *testing.T) (r *rig.Rig, arrived, dropped chan string) {
	t.Helper()
	r = rig.Start(t, brief)
	arrived, dropped = make(chan string, 9), make(chan string, 9)
	r.Searcher("s", faulty.Options{Script: func(c faulty.Call) faulty.Reply {
		arrived <- c.Path
		return faulty.Reply{Hold: make(chan struct{}), OnDisconnect: func() { dropped <- c.Path }}
	}})
	r.Put(rig.Route{Prefix: "/", Service: "s"})
	return r, arrived, dropped
}

// receive returns the next value, which must come well before the deadline of any request.
func receive(t *testing.T, paths <-chan string) string {
	t.Helper()
	select {
	case path := <-paths:
		return path
	case <-time.After(5 * time.Second):
		t.Fatal("nothing was received within 5 s")
		return ""
	}
}

// TestPipeliningClientLeaves: a client that sends its next request before the first is answered, and then disconnects, is
// detected like any other: its first request is cancelled, and its second is not dispatched. An earlier version kept working
// until the deadline, because the unread second request hid the end of the connection.
func TestPipeliningClientLeaves(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(c *net.TCPConn){
		"closed": func(*net.TCPConn) {},
		"reset":  func(c *net.TCPConn) { c.SetLinger(0) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, arrived, dropped := startHolding(t)
			c := r.Dial()
			c.Send(rig.Request{Path: "/first", DeadlineMs: 15_000})
			must.Eq(t, "/first", receive(t, arrived))
			c.Send(rig.Request{Path: "/second", DeadlineMs: 15_000})
			leave(c.Conn.(*net.TCPConn))
			c.Close()
			must.Eq(t, "/first", receive(t, dropped))
			must.Eq(t, 0, len(arrived))
		})
	}
}

// TestHalfClosedClientGetsNoSuccess: a client that closes its side of the connection after its request counts as disconnected,
// and receives nothing that it could take for an answer. An earlier version ended the request with an empty 200.
func TestHalfClosedClientGetsNoSuccess(t *testing.T) {
	t.Parallel()
	r, arrived, dropped := startHolding(t)
	c := r.Dial()
	defer c.Close()
	c.Send(rig.Request{Path: "/first", DeadlineMs: 15_000})
	must.Eq(t, "/first", receive(t, arrived))
	must.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
	must.Eq(t, "/first", receive(t, dropped))
	a := c.Read()
	must.Error(t, a.Err)
	must.Eq(t, 0, a.Status)
}
