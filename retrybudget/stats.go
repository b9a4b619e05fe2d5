package retrybudget

import (
	"maps"
	"slices"
	"time"
)

// counters are running totals of one service. They serve metrics only; no decision depends on them.
type counters struct {
	requests, retries, deniedParts, misdirected uint64
	endedRetries                                uint64
	totalDuration, longestDuration              time.Duration
	refusedAt                                   time.Duration
	wasRefused                                  bool
}

// Figures holds the totals of one service since its account was made, and its charges at the moment.
type Figures struct {
	Service  string
	Requests uint64 // requests to the service
	Charged  uint64 // attempts sent beyond the first of a part
	Starved  uint64 // parts that ended without an answer and were not retried only because the budget was exhausted
	// Misdirected counts attempts whose address turned out to belong to another searcher (status 421).
	Misdirected uint64
	Ended       uint64        // retries that have ended
	Took        time.Duration // total duration of the ended retries, from charge to end
	Longest     time.Duration // the longest duration of an ended retry
	Counting    int           // charges that count at the moment
	Open        int           // those of them for attempts in flight
	Lost        int           // those of them for abandoned attempts, which may be read later
	Room        float64       // how many charges may count
}

// Exhausted describes the account of a service at the time when a retry was refused because the budget was exhausted.
type Exhausted struct {
	Service              string
	Requests             int // lower bound of the requests credited
	Counting, Open, Lost int // see Figures
	Room                 float64
}

// Starved counts a part that ended without an answer and was not retried only because the budget was exhausted.
func (b *Book) Starved(now time.Duration, service string) {
	if a := b.account(now, service); a != nil {
		a.counters.deniedParts++
	}
}

// Misdirected counts an attempt that another searcher answered at the address of the intended one.
func (b *Book) Misdirected(now time.Duration, service string) {
	if a := b.account(now, service); a != nil {
		a.counters.misdirected++
	}
}

// Ended counts a retry that has ended and adds its duration.
func (b *Book) Ended(now time.Duration, service string, took time.Duration) {
	if a := b.account(now, service); a != nil {
		a.counters.endedRetries++
		a.counters.totalDuration += took
		a.counters.longestDuration = max(a.counters.longestDuration, took)
	}
}

// KnownMixers returns the number of mixers that the slack is divided among.
func (b *Book) KnownMixers() int { return b.mixerCount }

// SlackIsSpent reports whether this incarnation has no share of the slack.
func (b *Book) SlackIsSpent() bool { return b.slackSpent }

// Figures returns the figures of all services that have an account, sorted by name.
func (b *Book) Figures(now time.Duration) []Figures {
	all := make([]Figures, 0, len(b.accounts))
	for _, service := range slices.Sorted(maps.Keys(b.accounts)) {
		a := b.accounts[service]
		all = append(all, Figures{Service: service, Requests: a.counters.requests, Charged: a.counters.retries,
			Starved: a.counters.deniedParts, Misdirected: a.counters.misdirected, Ended: a.counters.endedRetries,
			Took: a.counters.totalDuration, Longest: a.counters.longestDuration,
			Counting: b.charges(now, a), Open: a.open, Lost: a.abandoned.High(now, CountsFor(b.config.Window)),
			Room: b.limit(now, a, 0, b.config.Window)})
	}
	return all
}

// maxRefusals bounds the refusals kept until they are taken.
const maxRefusals = 64

// recordRefusal records a refusal, at most once per window for each service.
func (b *Book) recordRefusal(now time.Duration, service string, a *account) {
	if a.counters.wasRefused && now-a.counters.refusedAt < b.config.Window || len(b.refusals) >= maxRefusals {
		return
	}
	a.counters.wasRefused, a.counters.refusedAt = true, now
	b.refusals = append(b.refusals, Exhausted{Service: service,
		Requests: a.requests.minCredited(now, b.config.Window, 0, b.config.Window),
		Counting: b.charges(now, a), Open: a.open, Lost: a.abandoned.High(now, CountsFor(b.config.Window)),
		Room: b.limit(now, a, 0, b.config.Window)})
}

// TakeExhausted returns the refusals recorded since the previous call.
func (b *Book) TakeExhausted() []Exhausted {
	refusals := b.refusals
	b.refusals = nil
	return refusals
}
