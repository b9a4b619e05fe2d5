package proxy_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/internal/settings"
	"peathollow/internal/standin/faulty"
	"peathollow/internal/standin/rig"
)

// TestConnectionsWithoutEnd: clients that open connections and rest there take up half of the descriptors at most: those that
// rested longest make room, one that has a request in hand never does. Before, they took up all, and searchers could not be dialled.
func TestConnectionsWithoutEnd(t *testing.T) {
	t.Parallel()
	const descriptors, most, clients = 232, 16, 40
	r := rig.Start(t, brief, func(s *settings.Settings) { s.FileLimit = descriptors })
	hold, at := make(chan struct{}), make(chan bool, 1)
	r.Searcher("s", faulty.Options{Script: func(c faulty.Call) faulty.Reply {
		if c.Path == "/held" {
			at <- true
			return faulty.Reply{Hold: hold}
		}
		return faulty.Reply{}
	}})
	r.Put(rig.Route{Prefix: "/", Plant: "s", Mode: "non_idempotent"})
	busy := r.Dial()
	defer busy.Close()
	busy.Send(rig.Request{Path: "/held"})
	<-at
	var resting []*rig.Conn
	for range clients {
		c := r.Dial()
		defer c.Close()
		c.Send(rig.Request{Path: "/"})
		must.Eq(t, 200, c.Read().Status)
		resting = append(resting, c)
	}
	open := 0
	for _, c := range resting {
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := c.Conn.Read(make([]byte, 1)); isTimeout(err) {
			open++
		}
	}
	must.LessEq(t, most, open)
	must.Positive(t, open)
	close(hold)
	must.Eq(t, 200, busy.Read().Status)
	r.Judge()
}

func isTimeout(err error) bool {
	timeout, ok := err.(interface{ Timeout() bool })
	return ok && timeout.Timeout()
}
