package rig

import (
	"strings"
	"sync"
)

// Log collects the log lines of the proxy in memory.
type Log struct {
	mu    sync.Mutex
	lines []string
}

// Write implements io.Writer; each call appends one line.
func (l *Log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(b))
	return len(b), nil
}

// Find returns the lines that contain all of the given texts.
func (l *Log) Find(texts ...string) (found []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		matches := true
		for _, text := range texts {
			matches = matches && strings.Contains(line, text)
		}
		if matches {
			found = append(found, line)
		}
	}
	return found
}
