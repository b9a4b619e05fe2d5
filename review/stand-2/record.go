package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
	runs  map[string][]string // searchers that ran a request, by Attempt-Id
	final map[string]string   // what the client saw, by Attempt-Id
}

func newRecord() *record {
	return &record{start: time.Now(), runs: map[string][]string{}, final: map[string]string{}}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

// ran notes that a searcher began work on a request.
func (r *record) ran(id, searcher string) {
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], searcher)
	r.mu.Unlock()
	r.add("searcher %s runs %s", searcher, id)
}

// answered notes what the client saw.
func (r *record) answered(id, saw string) {
	r.mu.Lock()
	r.final[id] = saw
	r.mu.Unlock()
	r.add("client of %s saw: %s", id, saw)
}

func (r *record) write(dir string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(filepath.Join(dir, "record.txt"), []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
