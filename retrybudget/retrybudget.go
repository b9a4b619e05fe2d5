// Package retrybudget divides the fleet's retry budget among the mixers. A retry is any attempt of a part at a service beyond
// the first one that a searcher reads, hedges included. In any window, the searchers of a service may read no more retries from
// all mixers together than a ratio of the service's requests plus a fixed slack. Each mixer spends the ratio of the requests
// that it receives itself and an equal share of the slack. The sum therefore holds whatever mixers know of one another, as long
// as no more of them run than SetMixerCount was given, and however late a searcher reads what was sent to it: a retry is
// charged from when it is sent until one window after it can no longer be read (see AttemptHistory). docs/retry-budget.md has
// the argument and its assumptions.
//
// The package performs no I/O and reads no clock. Package request consults it before it retries a part.
package retrybudget

import (
	"time"

	"peathollow/sliding"
)

const (
	// usableRatioShare is the fraction of the ratio that may be spent. The rest is a reserve, because requests are counted in slices
	// here, and because searchers count them later than the mixer does.
	usableRatioShare = 0.92
	// overlappingIncarnations divides a mixer's share of the slack: a restarted mixer spends the share again while the charges of
	// its previous incarnation still count.
	overlappingIncarnations = 2
	// defaultMixerCount is the number of mixers assumed while the real number is unknown.
	defaultMixerCount = 128
	// maxServices bounds the accounts kept. Services beyond it get no retries.
	maxServices = 4096
	// readDelayWindows is how long after its mixer abandoned it an attempt may still be read, in windows: a stalled searcher has
	// it in its socket buffer and reads it when it resumes.
	readDelayWindows = 1
	// deadlineMargin covers the time that a request takes from its client to a mixer and that an attempt takes to end after its
	// deadline.
	deadlineMargin = time.Second
)

// Config configures the budget: in any Window, Ratio of the requests plus Slack.
type Config struct {
	Ratio, Slack float64
	Window       time.Duration
}

// ChargeLifetime returns how long a charge for an attempt may count after the attempt ends at the mixer: the attempt may be
// read late and then counts for one window. A mixer that has ended must be counted for as long among those that share the
// slack.
func ChargeLifetime(window time.Duration) time.Duration { return (1 + readDelayWindows) * window }

// Budget is the retry budget of one mixer.
type Budget struct {
	config     Config
	mixerCount int
	slackSpent bool // by earlier incarnations of this mixer
	accounts   map[string]*account
	misrouted  sliding.Window // attempts read by a searcher of another service; which service is not known
	refusals   []Refusal
}

// account holds the requests and charges of one service. Each charge stands for one retry.
type account struct {
	requests  requestCounter
	open      int            // charges for attempts that may still be read or whose outcome is still to be reported
	read      sliding.Window // charges for attempts that were read, by the time at which that became known
	abandoned sliding.Window // charges for attempts that were abandoned and may be read later, by the time of abandonment
	lastUsed  time.Duration
	counters  counters
}

// New returns the budget of a mixer that has just started.
func New(config Config) *Budget {
	return &Budget{config: config, mixerCount: defaultMixerCount, accounts: map[string]*account{}}
}

// SetMixerCount sets the number of mixers that may be running. A number of 0 or less means that it is not known.
func (b *Budget) SetMixerCount(n int) {
	if b.mixerCount = n; n <= 0 {
		b.mixerCount = defaultMixerCount
	}
}

// SetSlackSpent sets whether earlier incarnations of this mixer spent its share of the slack in a window that still counts.
// While it is set, this incarnation has no slack and only the budget earned by the requests that it receives.
func (b *Budget) SetSlackSpent(spent bool) { b.slackSpent = spent }

// RequestArrived counts a request to the service.
func (b *Budget) RequestArrived(now time.Duration, service string) {
	if a := b.account(now, service); a != nil {
		a.requests.add(now, b.config.Window)
		a.counters.requests++
	}
}

// Allows reports whether this mixer's share of the budget allows one more retry to the service, which is abandoned at time
// until if it has not ended by then.
func (b *Budget) Allows(now time.Duration, service string, until time.Duration) bool {
	a := b.account(now, service)
	if a == nil || b.config.Window <= 0 {
		return a != nil
	}
	// Open and abandoned attempts may be read in a later window, and are then limited by the requests credited to that window.
	charges, limit := b.charges(now, a), b.limit(now, a, 0, b.config.Window)
	readLater := a.open + a.abandoned.High(now, ChargeLifetime(b.config.Window))
	limitLater := b.limit(now, a, b.config.Window, b.config.Window+max(0, until-now)+deadlineMargin)
	if float64(charges+1) <= limit && float64(readLater+1) <= limitLater {
		return true
	}
	b.recordRefusal(now, service, a)
	return false
}

// Misrouted charges an attempt that was read by a searcher of another service than the intended one. It is not known which
// service that is, so the attempt counts for all of them.
func (b *Budget) Misrouted(now time.Duration) { b.misrouted.Add(now, b.config.Window) }

// charges returns the number of charges that count now.
func (b *Budget) charges(now time.Duration, a *account) int {
	return b.misrouted.High(now, b.config.Window) + a.open + a.read.High(now, b.config.Window) +
		a.abandoned.High(now, ChargeLifetime(b.config.Window))
}

// limit returns how many charges may count in any window that ends between from and to after now.
func (b *Budget) limit(now time.Duration, a *account, from, to time.Duration) float64 {
	limit := usableRatioShare * b.config.Ratio * float64(a.requests.minCredited(now, b.config.Window, from, to))
	if !b.slackSpent {
		limit += b.config.Slack / float64(overlappingIncarnations*b.mixerCount)
	}
	return limit
}

// account returns the account of a service, which it creates if necessary. It returns nil if there are too many services.
func (b *Budget) account(now time.Duration, service string) *account {
	a := b.accounts[service]
	if a == nil {
		if len(b.accounts) >= maxServices {
			b.evictIdle(now)
		}
		if len(b.accounts) >= maxServices {
			return nil
		}
		a = &account{}
		b.accounts[service] = a
	}
	a.lastUsed = now
	return a
}

// evictIdle removes the accounts whose requests and charges no window can contain any more.
func (b *Budget) evictIdle(now time.Duration) {
	for service, a := range b.accounts {
		if a.open == 0 && now-a.lastUsed > 2*b.config.Window {
			delete(b.accounts, service)
		}
	}
}
