package standin

import (
	"fmt"
	"sync"
)

// Ledger knows, over all searchers of a fleet, which parts are out, as the protocol counts them: a dispatch is out
// from the moment its frame was read until its answer leaves, a frame that gives it up is read, or the end of its
// connection is. Each searcher books an end before its peer can see it, so that a second copy that the ledger tells
// of was one in any order of events.
type Ledger struct {
	mu     sync.Mutex
	out    map[string]map[any]int // by part and connection
	copies []string
	most   int
}

// NewLedger makes an empty one.
func NewLedger() *Ledger { return &Ledger{out: map[string]map[any]int{}} }

// Begin books a dispatch that was read whole on a connection.
func (l *Ledger) Begin(id string, conn any, where string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	on := l.out[id]
	if on == nil {
		on = map[any]int{}
		l.out[id] = on
	}
	on[conn]++
	n := 0
	for _, k := range on {
		n += k
	}
	if l.most = max(l.most, n); n > 1 {
		l.copies = append(l.copies, fmt.Sprintf("%s at %s: %d out", id, where, n))
	}
}

// End books that nothing of a part is out on a connection any more.
func (l *Ledger) End(id string, conn any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end(id, conn)
}

func (l *Ledger) end(id string, conn any) {
	if delete(l.out[id], conn); len(l.out[id]) == 0 {
		delete(l.out, id)
	}
}

// Gone books that a connection has ended, and all that was out on it.
func (l *Ledger) Gone(conn any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.out {
		l.end(id, conn)
	}
}

// Copies are the second copies there were, and how many dispatches of one part were out at once at the most.
func (l *Ledger) Copies() (found []string, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.copies...), l.most
}
