package proxy_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/internal/settings"
	"peathollow/internal/standin/faulty"
	"peathollow/internal/standin/rig"
)

// TestConnectionsWithoutEnd: clients that open connections and leave them idle use at most half of the file descriptors. The
// connections that were idle longest are closed first, and one with a request in flight is never closed. An earlier version let
// them use all descriptors, and searchers could not be dialled.
func TestConnectionsWithoutEnd(t *testing.T) {
	t.Parallel()
	const descriptors, maxOpen, clients = 232, 16, 40
	r := rig.Start(t, brief, func(s *settings.Settings) { s.FileLimit = descriptors })
	hold, arrived := make(chan struct{}), make(chan bool, 1)
	r.Searcher("s", faulty.Options{Script: func(c faulty.Call) faulty.Reply {
		if c.Path == "/held" {
			arrived <- true
			return faulty.Reply{Hold: hold}
		}
		return faulty.Reply{}
	}})
	r.Put(rig.Route{Prefix: "/", Service: "s", Mode: "non_idempotent"})
	busy := r.Dial()
	defer busy.Close()
	busy.Send(rig.Request{Path: "/held"})
	<-arrived
	var idle []*rig.Conn
	for range clients {
		c := r.Dial()
		defer c.Close()
		c.Send(rig.Request{Path: "/"})
		must.Eq(t, 200, c.Read().Status)
		idle = append(idle, c)
	}
	open := 0
	for _, c := range idle {
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := c.Conn.Read(make([]byte, 1)); isTimeout(err) {
			open++
		}
	}
	must.LessEq(t, maxOpen, open)
	must.Positive(t, open)
	close(hold)
	must.Eq(t, 200, busy.Read().Status)
	r.Check()
}

func isTimeout(err error) bool {
	timeout, ok := err.(interface{ Timeout() bool })
	return ok && timeout.Timeout()
}
