package faulty

import (
	"fmt"
	"sync"
	"time"
)

// Entry records what happened to one request that a searcher read completely.
type Entry struct {
	At                     time.Time
	ID, Method, Path, Host string
	Searcher               string
	Target                 string // searcher that the request names, if any
	Conn                   int    // number of the connection at the searcher
	Ran                    bool
	Dropped                bool      // the connection closed while the request ran
	Ended                  time.Time // when the run ended; zero if it did not run or has not ended
	DeadlineMs             int64     // Deadline-Ms of the request; -1 if absent
}

// Ledger records entries in order of arrival. Several searchers may share one.
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

// Entries returns a copy of all entries.
func (l *Ledger) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Entry, len(l.entries))
	for i, e := range l.entries {
		all[i] = *e
	}
	return all
}

func (l *Ledger) count(match func(*Entry) bool) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if match(e) {
			n++
		}
	}
	return n
}

// Ran returns how many requests with the given attempt ID ran.
func (l *Ledger) Ran(id string) int {
	return l.count(func(e *Entry) bool { return e.ID == id && e.Ran })
}

// Arrived returns how many requests with the given attempt ID arrived, whether or not they ran.
func (l *Ledger) Arrived(id string) int { return l.count(func(e *Entry) bool { return e.ID == id }) }

// Dropped returns how many requests with the given attempt ID were abandoned because their connection closed.
func (l *Ledger) Dropped(id string) int {
	return l.count(func(e *Entry) bool { return e.ID == id && e.Dropped })
}

// RanTwice describes the requests that ran more than once, except those that mayRepeat allows to repeat.
func (l *Ledger) RanTwice(mayRepeat func(id string) bool) (out []string) {
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
