package standin

import (
	"fmt"
	"sync"
)

// Ledger records the parts in flight at all searchers of a fleet, by the rules of the protocol: a dispatch is in flight
// from the moment its frame was read until its answer is sent, or its cancellation or the end of its connection is read.
// Each searcher records an end before its peer can see it. So any overlap of two attempts that the ledger reports is real,
// whatever the order of events.
type Ledger struct {
	mu          sync.Mutex
	inFlight    map[string]map[any]int // number of dispatches, by part and connection
	copies      []string
	maxInFlight int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{inFlight: map[string]map[any]int{}} }

// Begin records a dispatch whose frame was read completely on a connection.
func (l *Ledger) Begin(id string, conn any, where string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byConn := l.inFlight[id]
	if byConn == nil {
		byConn = map[any]int{}
		l.inFlight[id] = byConn
	}
	byConn[conn]++
	n := 0
	for _, k := range byConn {
		n += k
	}
	if l.maxInFlight = max(l.maxInFlight, n); n > 1 {
		l.copies = append(l.copies, fmt.Sprintf("%s at %s: %d in flight", id, where, n))
	}
}

// End records that no dispatch of a part is in flight on a connection any more.
func (l *Ledger) End(id string, conn any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end(id, conn)
}

func (l *Ledger) end(id string, conn any) {
	if delete(l.inFlight[id], conn); len(l.inFlight[id]) == 0 {
		delete(l.inFlight, id)
	}
}

// ConnectionEnded records that a connection has ended, and with it all dispatches in flight on it.
func (l *Ledger) ConnectionEnded(conn any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.inFlight {
		l.end(id, conn)
	}
}

// Overlaps returns a description of each dispatch of a part that overlapped another one, and the largest number of
// dispatches of one part that were in flight at once.
func (l *Ledger) Overlaps() (found []string, maxInFlight int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.copies...), l.maxInFlight
}
