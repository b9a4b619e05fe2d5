package retrybudget

import "time"

// AttemptHistory tracks the attempts of one part of a request at one service. The first attempt that a searcher reads is free,
// whichever was sent first. Every other one is charged from the time at which a second one may be read until, at the latest,
// one window after it was read. An abandoned attempt counts for longer, since a stalled searcher may read it later. The zero
// value is the history of a part that has not been sent yet.
type AttemptHistory struct {
	inFlight, read, abandoned int // attempts
	// Charges made for these attempts.
	openCharges, readCharges, abandonedCharges int
}

// AttemptSent records that an attempt is sent.
func (b *Budget) AttemptSent(now time.Duration, service string, history *AttemptHistory) {
	if history.inFlight+history.read+history.abandoned > 0 {
		if a := b.account(now, service); a != nil {
			a.counters.retries++
		}
	}
	history.inFlight++
	b.updateCharges(now, service, history)
}

// AttemptRead records that a searcher of the service has read an attempt.
func (b *Budget) AttemptRead(now time.Duration, service string, history *AttemptHistory) {
	history.inFlight--
	history.read++
	b.updateCharges(now, service, history)
}

// AttemptUnsent records that no searcher has read an attempt or ever will.
func (b *Budget) AttemptUnsent(now time.Duration, service string, history *AttemptHistory) {
	history.inFlight--
	b.updateCharges(now, service, history)
}

// AttemptAbandoned records that an attempt was abandoned, and that a searcher may have read it or may still read it.
func (b *Budget) AttemptAbandoned(now time.Duration, service string, history *AttemptHistory) {
	history.inFlight--
	history.abandoned++
	b.updateCharges(now, service, history)
}

// updateCharges makes the charges that follow from the states of the attempts. All attempts but one are charged. The free one
// is the first that was read; as long as none was read, it is an abandoned one or else one in flight.
func (b *Budget) updateCharges(now time.Duration, service string, history *AttemptHistory) {
	a := b.account(now, service)
	if a == nil {
		return // a service without an account gets no retries
	}
	read, abandoned, open := max(0, history.read-1), history.abandoned, history.inFlight
	switch {
	case history.read > 0:
	case history.abandoned > 0:
		abandoned--
	default:
		open = max(0, open-1)
	}
	for ; history.readCharges < read; history.readCharges++ {
		a.read.Add(now, b.config.Window)
	}
	for ; history.abandonedCharges < abandoned; history.abandonedCharges++ {
		a.abandoned.Add(now, ChargeLifetime(b.config.Window))
	}
	a.open += open - history.openCharges
	history.openCharges = open
}
