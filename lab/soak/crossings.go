package soak

import (
	"net"
	"sync"
	"time"
)

// crossings records on which connections a caller's bytes were forwarded after the callee had closed the connection. The callee
// cannot have read these bytes.
type crossings struct {
	mu   sync.Mutex
	last map[string]time.Time // by the caller's address
}

func newCrossings() *crossings { return &crossings{last: map[string]time.Time{}} }

// record records that bytes of a caller crossed the end of its connection.
func (c *crossings) record(caller net.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last[caller.String()] = time.Now()
}

// between reports whether bytes of a caller crossed the end of its connection within a time.
func (c *crossings) between(caller string, from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.last[caller]
	return ok && !at.Before(from) && !at.After(to)
}
