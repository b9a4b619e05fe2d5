package retrybudget_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/retrybudget"
)

// history records the attempts of one request in a budget, as a mixer does.
type history struct{ retrybudget.AttemptHistory }

func (h *history) sent(b *retrybudget.Budget, now time.Duration) {
	b.AttemptSent(now, service, &h.AttemptHistory)
}

func (h *history) ended(b *retrybudget.Budget, now time.Duration, answered bool) {
	if answered {
		b.AttemptRead(now, service, &h.AttemptHistory)
	} else {
		b.AttemptAbandoned(now, service, &h.AttemptHistory)
	}
}

func (h *history) allows(b *retrybudget.Budget, now, until time.Duration) bool {
	return b.Allows(now, service, until)
}

// TestAttemptHistory checks which attempts of a request are charged, and for how long: all that may be read but one, until one
// window after they were read or two windows after they were abandoned.
func TestAttemptHistory(t *testing.T) {
	const (
		at  = time.Second
		end = at + span // from then on an attempt that was read at that time no longer counts
	)
	type step func(b *retrybudget.Budget, h *retrybudget.AttemptHistory)
	sent := func(b *retrybudget.Budget, h *retrybudget.AttemptHistory) { b.AttemptSent(at, service, h) }
	read := func(b *retrybudget.Budget, h *retrybudget.AttemptHistory) { b.AttemptRead(at, service, h) }
	abandoned := func(b *retrybudget.Budget, h *retrybudget.AttemptHistory) { b.AttemptAbandoned(at, service, h) }
	unsent := func(b *retrybudget.Budget, h *retrybudget.AttemptHistory) { b.AttemptUnsent(at, service, h) }
	for name, c := range map[string]struct {
		steps                        []step
		now, afterWindow, afterTwice int
	}{
		"one":                           {[]step{sent}, 0, 0, 0},
		"one, read":                     {[]step{sent, read}, 0, 0, 0},
		"one, given up":                 {[]step{sent, abandoned}, 0, 0, 0},
		"two under way":                 {[]step{sent, sent}, 1, 1, 1},
		"both read":                     {[]step{sent, sent, read, read}, 1, 0, 0},
		"one of two read":               {[]step{sent, sent, read}, 1, 1, 1},
		"one given up, one read":        {[]step{sent, sent, abandoned, read}, 1, 1, 0},
		"one read, one given up":        {[]step{sent, sent, read, abandoned}, 1, 1, 0},
		"both given up":                 {[]step{sent, sent, abandoned, abandoned}, 1, 1, 0},
		"one given up, one under way":   {[]step{sent, sent, abandoned}, 1, 1, 1},
		"the first never went out":      {[]step{sent, unsent, sent, read}, 0, 0, 0},
		"one of two never went out":     {[]step{sent, sent, unsent}, 0, 0, 0},
		"neither went out":              {[]step{sent, sent, unsent, unsent}, 0, 0, 0},
		"three, two read, one given up": {[]step{sent, sent, sent, read, abandoned, read}, 2, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := retrybudget.New(config)
			var attempts retrybudget.AttemptHistory
			for _, do := range c.steps {
				do(b, &attempts)
			}
			const slice = span / 16 // windows are counted in slices, and a count is never too low
			for _, want := range []struct {
				at      time.Duration
				charges int
			}{{at, c.now}, {end - time.Millisecond, c.now}, {end + slice, c.afterWindow}, {end + span - time.Millisecond, c.afterWindow}, {end + span + 2*slice, c.afterTwice}} {
				must.Eq(t, want.charges, b.Stats(want.at)[0].Charges, must.Sprint(want.at))
			}
		})
	}
}

// TestMisroutedAttemptIsChargedToEveryService checks that an attempt that was read by a searcher of another service is charged
// to all services, since that service is not known.
func TestMisroutedAttemptIsChargedToEveryService(t *testing.T) {
	b := retrybudget.New(retrybudget.Config{Slack: 4, Window: span})
	b.SetMixerCount(1) // two retries per incarnation
	allows := func(now time.Duration) bool { return b.Allows(now, "a", now) && b.Allows(now, "b", now) }
	must.True(t, allows(0))
	b.Misrouted(0)
	must.True(t, allows(0))
	b.Misrouted(0)
	must.False(t, b.Allows(0, "a", 0))
	must.False(t, b.Allows(0, "b", 0))
	must.True(t, allows(span*5/4))
}

// TestLimitOfLaterWindows checks that an attempt that may be read in a later window is limited by the requests that are certain
// to be credited to that window.
func TestLimitOfLaterWindows(t *testing.T) {
	b := retrybudget.New(retrybudget.Config{Ratio: 1, Window: span})
	b.SetMixerCount(1)
	const now = 2 * span
	for i := range 200 {
		b.RequestArrived(now*time.Duration(i)/200, service)
	}
	allowed := func(until time.Duration) (n int) {
		for ; b.Allows(now, service, until); n++ {
			var attempts retrybudget.AttemptHistory
			b.AttemptSent(now, service, &attempts)
			b.AttemptSent(now, service, &attempts)
		}
		return n
	}
	must.Eq(t, 0, allowed(now+2*span)) // no request counted so far is credited then
	later := allowed(now + span/2)     // the window before that one contains two fifths of the requests of the last window
	must.Between(t, 15, later, 24)
	must.Between(t, 44, allowed(now)+later, 56) // with the margin of one second: nine tenths
}
