package rig

import (
	"strings"
	"sync"
)

// Log keeps the lines of a process's log.
type Log struct {
	mu    sync.Mutex
	lines []string
}

// Write takes a line.
func (l *Log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(b))
	return len(b), nil
}

// With gives the lines that hold all of the texts.
func (l *Log) With(texts ...string) (found []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		holds := true
		for _, text := range texts {
			holds = holds && strings.Contains(line, text)
		}
		if holds {
			found = append(found, line)
		}
	}
	return found
}
