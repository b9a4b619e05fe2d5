// Package logbound limits the rate of log lines of one kind: the first lines of each second are written, the others are only
// counted.
package logbound

import (
	"sync"
	"time"
)

// Limiter allows PerSecond lines per second. Its zero value allows none.
type Limiter struct {
	PerSecond int

	mu          sync.Mutex
	windowStart time.Time
	lines       int
	suppressed  int
}

// Allow reports whether a line may be written, and how many lines were suppressed since the last one that was allowed.
func (l *Limiter) Allow(now time.Time) (ok bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= time.Second || now.Before(l.windowStart) {
		l.windowStart, l.lines = now, 0
	}
	if l.lines >= l.PerSecond {
		l.suppressed++
		return false, 0
	}
	l.lines++
	suppressed, l.suppressed = l.suppressed, 0
	return true, suppressed
}
