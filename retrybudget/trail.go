package retrybudget

import "time"

// Trail follows the dispatches of one request to one service. The first of them that a searcher reads is free, whichever was sent first;
// each other one is charged from when a second may be read, until a window after it was read, at the latest. What was given up
// may be read later, by a searcher that stood still, and counts for longer. A zero Trail is that of a request not yet sent.
type Trail struct {
	out, read, lost int // dispatches: under way, read, given up
	// Charges made for them.
	openCharges, readCharges, lostCharges int
}

// Sent notes that a dispatch is made.
func (b *Book) Sent(now time.Duration, service string, t *Trail) {
	if t.out+t.read+t.lost > 0 {
		if a := b.account(now, service); a != nil {
			a.seen.charged++
		}
	}
	t.out++
	b.settle(now, service, t)
}

// Read notes that a searcher of the service has read a dispatch.
func (b *Book) Read(now time.Duration, service string, t *Trail) {
	t.out--
	t.read++
	b.settle(now, service, t)
}

// Unsent notes that no searcher has read a dispatch, nor ever will.
func (b *Book) Unsent(now time.Duration, service string, t *Trail) {
	t.out--
	b.settle(now, service, t)
}

// Lost notes that a dispatch was given up, and may have been read or may be read yet.
func (b *Book) Lost(now time.Duration, service string, t *Trail) {
	t.out--
	t.lost++
	b.settle(now, service, t)
}

// settle makes the charges that follow from what has become of the dispatches. The free one is the one that was read first, at the latest.
func (b *Book) settle(now time.Duration, service string, t *Trail) {
	a := b.account(now, service)
	if a == nil {
		return // it gets no further dispatches
	}
	read, lost, open := max(0, t.read-1), t.lost, t.out
	switch {
	case t.read > 0:
	case t.lost > 0:
		lost--
	default:
		open = max(0, open-1)
	}
	for ; t.readCharges < read; t.readCharges++ {
		a.read.Add(now, b.terms.Window)
	}
	for ; t.lostCharges < lost; t.lostCharges++ {
		a.lost.Add(now, CountsFor(b.terms.Window))
	}
	a.open += open - t.openCharges
	t.openCharges = open
}
