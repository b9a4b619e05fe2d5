package faulty

import (
	"fmt"
	"sync"
	"time"
)

// Entry is what became of one request that a searcher read whole.
type Entry struct {
	At                     time.Time
	ID, Method, Path, Host string
	Searcher               string
	Target                 string // the searcher that was meant, if the request names one
	Conn                   int    // which of the searcher's connections
	Ran                    bool
	Dropped                bool      // it ran until its connection closed
	Ended                  time.Time // when the work on it did; zero: it has not run, or not ended
	DeadlineMs             int64     // as it was told; -1: not at all
}

// Ledger keeps all entries, in order; several searchers may share one.
type Ledger struct {
	mu      sync.Mutex
	entries []*Entry
}

func (l *Ledger) add(e *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
}

func (l *Ledger) set(e *Entry, f func(*Entry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(e)
}

// Entries gives a copy of all.
func (l *Ledger) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Entry, len(l.entries))
	for i, e := range l.entries {
		all[i] = *e
	}
	return all
}

func (l *Ledger) count(is func(*Entry) bool) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if is(e) {
			n++
		}
	}
	return n
}

// Ran tells how often requests of an id were run.
func (l *Ledger) Ran(id string) int {
	return l.count(func(e *Entry) bool { return e.ID == id && e.Ran })
}

// Arrived tells how often requests of an id arrived, whether or not they were run.
func (l *Ledger) Arrived(id string) int { return l.count(func(e *Entry) bool { return e.ID == id }) }

// Dropped tells how often requests of an id were dropped as their connection closed.
func (l *Ledger) Dropped(id string) int {
	return l.count(func(e *Entry) bool { return e.ID == id && e.Dropped })
}

// Twice names the requests, without an id of which repeats are allowed, that ran more than once.
func (l *Ledger) Twice(mayRepeat func(id string) bool) (out []string) {
	ran := map[string]int{}
	for _, e := range l.Entries() {
		if e.Ran && e.ID != "" && (mayRepeat == nil || !mayRepeat(e.ID)) {
			if ran[e.ID]++; ran[e.ID] == 2 {
				out = append(out, fmt.Sprintf("%s %s %s", e.ID, e.Method, e.Path))
			}
		}
	}
	return out
}
