// Package logbound bounds how many log lines of one kind are written: the first of each second are, the rest is counted.
package logbound

import (
	"sync"
	"time"
)

// Limiter lets through so many lines a second. Its zero value lets none through.
type Limiter struct {
	PerSecond int

	mu         sync.Mutex
	second     time.Time
	lines      int
	suppressed int
}

// Allow tells whether a line may be written, and how many weren't since the last one that was.
func (l *Limiter) Allow(now time.Time) (ok bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second || now.Before(l.second) {
		l.second, l.lines = now, 0
	}
	if l.lines >= l.PerSecond {
		l.suppressed++
		return false, 0
	}
	l.lines++
	suppressed, l.suppressed = l.suppressed, 0
	return true, suppressed
}
