// Package retrybudget divides the fleet's budget of further dispatches. For each service all mixers together may send no
// more of them in any window than a share of its requests and a fixed slack. A mixer spends the share of the requests it
// has itself taken, and an equal part of the slack; so the sum holds whatever mixers know of each other, as long as no
// more of them run than Mixers was told. It decides only: no I/O, no clock. request asks it before a part goes again.
package retrybudget

import (
	"time"

	"peathollow/sliding"
)

const (
	// kept back from the share: requests are counted in slices here, and at the searchers later than at the mixer.
	spareShare = 0.92
	// One that has just started spends its slack anew while what it spent before still counts.
	lives = 2
	// unknownMixers is how many there are held to be until that is told.
	unknownMixers = 128
	// servicesMost bounds what is remembered; services beyond it get no further dispatches.
	servicesMost = 4096
)

// Terms are the bounds of the rule: Ratio of the requests and Slack, in any Window.
type Terms struct {
	Ratio, Slack float64
	Window       time.Duration
}

// Book counts for one mixer.
type Book struct {
	terms      Terms
	mixers     int
	slackSpent bool // by earlier lives of this mixer
	of         map[string]*account
	exhausted  []Exhausted
}

type account struct {
	asked tally
	spent sliding.Window
	used  time.Duration
	seen  counts
}

// New makes the book of a mixer that has just started.
func New(t Terms) *Book {
	return &Book{terms: t, mixers: unknownMixers, of: map[string]*account{}}
}

// Mixers tells how many mixers may be running; 0 or less means that it isn't known.
func (b *Book) Mixers(n int) {
	if b.mixers = n; n <= 0 {
		b.mixers = unknownMixers
	}
}

// SlackSpent tells whether earlier lives of this mixer have had its part of the slack, in a window that still counts. Until it
// is told otherwise this one has none then, and only what the requests that it takes allow.
func (b *Book) SlackSpent(spent bool) { b.slackSpent = spent }

// Asked counts a request that is to reach the service.
func (b *Book) Asked(now time.Duration, service string) {
	if a := b.account(now, service); a != nil {
		a.asked.add(now, b.terms.Window)
		a.seen.requests++
	}
}

// Room tells whether one more further dispatch to the service is within this mixer's part.
func (b *Book) Room(now time.Duration, service string) bool {
	a := b.account(now, service)
	if a == nil || b.terms.Window <= 0 {
		return a != nil
	}
	room := b.room(now, a)
	spent := a.spent.High(now, b.terms.Window)
	if float64(spent+1) <= room {
		return true
	}
	b.noteExhausted(now, service, a, spent, room)
	return false
}

// room is how many further dispatches may count at the moment.
func (b *Book) room(now time.Duration, a *account) float64 {
	room := spareShare * b.terms.Ratio * float64(a.asked.least(now, b.terms.Window))
	if !b.slackSpent {
		room += b.terms.Slack / float64(lives*b.mixers)
	}
	return room
}

// Spend counts a further dispatch.
func (b *Book) Spend(now time.Duration, service string) {
	if a := b.account(now, service); a != nil {
		a.spent.Add(now, b.terms.Window)
		a.seen.charged++
	}
}

func (b *Book) account(now time.Duration, service string) *account {
	a := b.of[service]
	if a == nil {
		if len(b.of) >= servicesMost {
			b.forget(now)
		}
		if len(b.of) >= servicesMost {
			return nil
		}
		a = &account{}
		b.of[service] = a
	}
	a.used = now
	return a
}

// forget drops what no window can reach any more.
func (b *Book) forget(now time.Duration) {
	for s, a := range b.of {
		if now-a.used > 2*b.terms.Window {
			delete(b.of, s)
		}
	}
}
