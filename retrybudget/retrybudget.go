// Package retrybudget divides the fleet's budget of further dispatches. For each service all mixers together may have no more of them
// read by searchers, in any window, than a share of its requests and a fixed slack. A mixer spends the share of the
// requests it has itself taken, and an equal part of the slack; so the sum holds whatever mixers know of each other, as long as no
// more of them run than Mixers was told, and however late a searcher reads what was sent to it: a further dispatch counts from when
// it is sent until a window after it can't be read any more (Trail). docs/retry-budget.md has the argument and its assumptions.
// It decides only: no I/O, no clock. request asks it before a part goes again.
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
	// readLate is how long after its mixer gave it up a dispatch may be read, in windows: a searcher that stands still has
	// it in its socket, and reads it when it goes on.
	readLate = 1
	// readMargin is how long it may take a request from its client to a mixer, and a dispatch to its end after its deadline.
	readMargin = time.Second
)

// Terms are the bounds of the rule: Ratio of the requests and Slack, in any Window.
type Terms struct {
	Ratio, Slack float64
	Window       time.Duration
}

// CountsFor is for how long what a mixer has sent may count: it may be read late, and counts for a window then. For so long a mixer that
// has ended is to be counted among those that share the slack.
func CountsFor(window time.Duration) time.Duration { return (1 + readLate) * window }

// Book counts for one mixer.
type Book struct {
	terms      Terms
	mixers     int
	slackSpent bool // by earlier lives of this mixer
	of         map[string]*account
	strays     sliding.Window // dispatches that were read by another service's searcher; which service's is not known
	exhausted  []Exhausted
}

// account is what a book holds of one service. Its charges are further dispatches.
type account struct {
	asked tally
	open  int            // charges for what may still be read, or will be told of
	read  sliding.Window // charges for what has been read, by when that was known
	lost  sliding.Window // charges for what was given up and may be read later, by when it was given up
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

// Room tells whether one more further dispatch to the service, which is given up at some time if nothing comes of it, is within this
// mixer's part.
func (b *Book) Room(now time.Duration, service string, until time.Duration) bool {
	a := b.account(now, service)
	if a == nil || b.terms.Window <= 0 {
		return a != nil
	}
	// What is open may be read in a window that begins only later, and is held against the requests of that one.
	counting, room := b.counting(now, a), b.room(now, a, 0, b.terms.Window)
	mayCome := a.open + a.lost.High(now, CountsFor(b.terms.Window))
	roomLater := b.room(now, a, b.terms.Window, b.terms.Window+max(0, until-now)+readMargin)
	if float64(counting+1) <= room && float64(mayCome+1) <= roomLater {
		return true
	}
	b.noteExhausted(now, service, a)
	return false
}

// Stray notes that a dispatch was read by a searcher of another service than it was meant for. Any service may be that one, so it counts for
// all of them.
func (b *Book) Stray(now time.Duration) { b.strays.Add(now, b.terms.Window) }

// counting is how many charges count at the moment.
func (b *Book) counting(now time.Duration, a *account) int {
	return b.strays.High(now, b.terms.Window) + a.open + a.read.High(now, b.terms.Window) + a.lost.High(now, CountsFor(b.terms.Window))
}

// room is how many charges may count in any window that ends in a span from now on.
func (b *Book) room(now time.Duration, a *account, from, to time.Duration) float64 {
	room := spareShare * b.terms.Ratio * float64(a.asked.least(now, b.terms.Window, from, to))
	if !b.slackSpent {
		room += b.terms.Slack / float64(lives*b.mixers)
	}
	return room
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
		if a.open == 0 && now-a.used > 2*b.terms.Window {
			delete(b.of, s)
		}
	}
}
