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

// Stats holds the totals of one service since its account was made, and its charges at the moment.
type Stats struct {
	Service     string
	Requests    uint64 // requests with a part for the service
	Retries     uint64 // attempts sent beyond the first of a part
	DeniedParts uint64 // parts that ended without an answer and were not retried only because the budget was exhausted
	// Misdirected counts attempts whose address turned out to belong to another searcher (status 421).
	Misdirected      uint64
	EndedRetries     uint64        // retries that have ended
	TotalDuration    time.Duration // total duration of the ended retries, from charge to end
	LongestDuration  time.Duration // the longest duration of an ended retry
	Charges          int           // charges that count at the moment
	OpenCharges      int           // those of them for attempts in flight
	AbandonedCharges int           // those of them for abandoned attempts, which may be read later
	Limit            float64       // how many charges may count
}

// Refusal describes the account of a service at the time when a retry was refused because the budget was exhausted.
type Refusal struct {
	Service                                string
	Requests                               int // lower bound of the requests credited
	Charges, OpenCharges, AbandonedCharges int // see Stats
	Limit                                  float64
}

// PartDenied counts a part that ended without an answer and was not retried only because the budget was exhausted.
func (b *Budget) PartDenied(now time.Duration, service string) {
	if a := b.account(now, service); a != nil {
		a.counters.deniedParts++
	}
}

// AttemptMisdirected counts an attempt that another searcher answered at the address of the intended one. It charges
// nothing; see Misrouted.
func (b *Budget) AttemptMisdirected(now time.Duration, service string) {
	if a := b.account(now, service); a != nil {
		a.counters.misdirected++
	}
}

// RetryEnded counts a retry that has ended and adds its duration.
func (b *Budget) RetryEnded(now time.Duration, service string, took time.Duration) {
	if a := b.account(now, service); a != nil {
		a.counters.endedRetries++
		a.counters.totalDuration += took
		a.counters.longestDuration = max(a.counters.longestDuration, took)
	}
}

// MixerCount returns the number of mixers that the slack is divided among.
func (b *Budget) MixerCount() int { return b.mixerCount }

// SlackSpent reports whether earlier incarnations of this mixer spent its share of the slack, so that this one has none.
func (b *Budget) SlackSpent() bool { return b.slackSpent }

// Stats returns the statistics of all services that have an account, sorted by name.
func (b *Budget) Stats(now time.Duration) []Stats {
	all := make([]Stats, 0, len(b.accounts))
	for _, service := range slices.Sorted(maps.Keys(b.accounts)) {
		a := b.accounts[service]
		all = append(all, Stats{Service: service, Requests: a.counters.requests, Retries: a.counters.retries,
			DeniedParts: a.counters.deniedParts, Misdirected: a.counters.misdirected, EndedRetries: a.counters.endedRetries,
			TotalDuration: a.counters.totalDuration, LongestDuration: a.counters.longestDuration,
			Charges: b.charges(now, a), OpenCharges: a.open, AbandonedCharges: a.abandoned.High(now, ChargeLifetime(b.config.Window)),
			Limit: b.limit(now, a, 0, b.config.Window)})
	}
	return all
}

// maxRefusals bounds the refusals kept until they are taken.
const maxRefusals = 64

// recordRefusal records a refusal, at most once per window for each service.
func (b *Budget) recordRefusal(now time.Duration, service string, a *account) {
	if a.counters.wasRefused && now-a.counters.refusedAt < b.config.Window || len(b.refusals) >= maxRefusals {
		return
	}
	a.counters.wasRefused, a.counters.refusedAt = true, now
	b.refusals = append(b.refusals, Refusal{Service: service,
		Requests: a.requests.minCredited(now, b.config.Window, 0, b.config.Window),
		Charges:  b.charges(now, a), OpenCharges: a.open, AbandonedCharges: a.abandoned.High(now, ChargeLifetime(b.config.Window)),
		Limit: b.limit(now, a, 0, b.config.Window)})
}

// TakeRefusals returns the refusals recorded since the previous call.
func (b *Budget) TakeRefusals() []Refusal {
	refusals := b.refusals
	b.refusals = nil
	return refusals
}
