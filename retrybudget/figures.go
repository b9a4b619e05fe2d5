package retrybudget

import (
	"maps"
	"slices"
	"time"
)

// counts are running totals of one service, for figures alone: nothing is decided by them.
type counts struct {
	requests, charged, starved, misdirected uint64
	ended                                   uint64
	took, longest                           time.Duration
	exhaustedAt                             time.Duration
	wasExhausted                            bool
}

// Figures tell what a book has counted for one service since it was made, and how it stands.
type Figures struct {
	Service  string
	Requests uint64 // first dispatches that were to reach it
	Charged  uint64 // further dispatches
	Starved  uint64 // parts that ended without an answer and could have gone again but for want of budget
	// Misdirected counts dispatches whose address turned out to be another searcher's (421).
	Misdirected uint64
	Ended       uint64        // further dispatches that have ended
	Took        time.Duration // all of these together, from being charged to their end
	Longest     time.Duration // the longest of them
	Counting    int           // further dispatches that count at the moment
	Open        int           // those of them that are under way
	Lost        int           // those that were given up, and may be read later
	Room        float64       // how many may count
}

// Exhausted tells that a service's further dispatches were refused for want of budget, as it stood then.
type Exhausted struct {
	Service              string
	Requests             int // that count at the least
	Counting, Open, Lost int // see Figures
	Room                 float64
}

// Starved counts a part that ended without an answer and could have gone again but for want of budget.
func (b *Book) Starved(now time.Duration, service string) {
	if a := b.account(now, service); a != nil {
		a.seen.starved++
	}
}

// Misdirected counts a dispatch that was answered by another searcher, at the address of the one meant.
func (b *Book) Misdirected(now time.Duration, service string) {
	if a := b.account(now, service); a != nil {
		a.seen.misdirected++
	}
}

// Ended counts a further dispatch that has ended, and how long that took.
func (b *Book) Ended(now time.Duration, service string, took time.Duration) {
	if a := b.account(now, service); a != nil {
		a.seen.ended++
		a.seen.took += took
		a.seen.longest = max(a.seen.longest, took)
	}
}

// KnownMixers is for how many mixers the slack is divided.
func (b *Book) KnownMixers() int { return b.mixers }

// SlackIsSpent tells whether this life goes without its part of the slack.
func (b *Book) SlackIsSpent() bool { return b.slackSpent }

// Figures gives those of all services that the book knows, by name.
func (b *Book) Figures(now time.Duration) []Figures {
	all := make([]Figures, 0, len(b.of))
	for _, service := range slices.Sorted(maps.Keys(b.of)) {
		a := b.of[service]
		all = append(all, Figures{Service: service, Requests: a.seen.requests, Charged: a.seen.charged, Starved: a.seen.starved,
			Misdirected: a.seen.misdirected, Ended: a.seen.ended, Took: a.seen.took, Longest: a.seen.longest,
			Counting: b.counting(now, a), Open: a.open, Lost: a.lost.High(now, CountsFor(b.terms.Window)), Room: b.room(now, a, 0, b.terms.Window)})
	}
	return all
}

// exhaustedMost bounds what waits to be taken.
const exhaustedMost = 64

// noteExhausted notes a refusal, once in a window for each service.
func (b *Book) noteExhausted(now time.Duration, service string, a *account) {
	if a.seen.wasExhausted && now-a.seen.exhaustedAt < b.terms.Window || len(b.exhausted) >= exhaustedMost {
		return
	}
	a.seen.wasExhausted, a.seen.exhaustedAt = true, now
	b.exhausted = append(b.exhausted, Exhausted{Service: service, Requests: a.asked.least(now, b.terms.Window, 0, b.terms.Window),
		Counting: b.counting(now, a), Open: a.open, Lost: a.lost.High(now, CountsFor(b.terms.Window)), Room: b.room(now, a, 0, b.terms.Window)})
}

// TakeExhausted gives the services that were refused since it was last called.
func (b *Book) TakeExhausted() []Exhausted {
	all := b.exhausted
	b.exhausted = nil
	return all
}
