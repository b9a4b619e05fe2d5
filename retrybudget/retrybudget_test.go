package retrybudget_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/retrybudget"
)

const (
	span    = 10 * time.Second
	service = "s"
)

var config = retrybudget.Config{Ratio: 0.2, Slack: 58, Window: span}

// arrivals holds the times at which requests and retries arrived. A retry is any attempt read beyond the first of its request.
type arrivals struct{ requests, retries []time.Duration }

// countBetween returns how many of the sorted times lie in [from, to).
func countBetween(times []time.Duration, from, to time.Duration) int {
	i, _ := slices.BinarySearch(times, from)
	j, _ := slices.BinarySearch(times, to)
	return j - i
}

// maxExcess returns the result of maxExcessFor with the default configuration.
func (a *arrivals) maxExcess() (excess float64, when time.Duration) { return a.maxExcessFor(config) }

// maxExcessFor returns the largest excess of the retries in any window over the limit of the rule, and the end of that window.
// The limit is based on the requests of the window, of the one before it or of the one half a window earlier, whichever has
// most.
func (a *arrivals) maxExcessFor(config retrybudget.Config) (excess float64, when time.Duration) {
	slices.Sort(a.requests)
	slices.Sort(a.retries)
	excess = -1e9
	// The limit falls only when a request leaves one of the three windows, and the number of retries rises only with an arrival.
	var ends []time.Duration
	for _, at := range a.retries {
		ends = append(ends, at+1)
	}
	for _, at := range a.requests {
		ends = append(ends, at+span+1, at+3*span/2+1, at+2*span+1)
	}
	slices.Sort(ends)
	for _, to := range slices.Compact(ends) {
		retries := countBetween(a.retries, to-span, to)
		requests := max(countBetween(a.requests, to-span, to), countBetween(a.requests, to-2*span, to-span), countBetween(a.requests, to-3*span/2, to-span/2))
		if e := float64(retries) - config.Ratio*float64(requests) - config.Slack; e > excess {
			excess, when = e, to
		}
	}
	return excess, when
}

// load returns the rate of requests over all mixers together, and whether the mixers want to retry.
type load func(at time.Duration) (perSecond float64, retrying bool)

var loads = map[string]load{
	"even": func(time.Duration) (float64, bool) { return 300, true },
	"few":  func(time.Duration) (float64, bool) { return 3, true },
	"ends": func(at time.Duration) (float64, bool) {
		if at < 12*time.Second {
			return 500, at > 11*time.Second
		}
		return 0, true
	},
	"rise": func(at time.Duration) (float64, bool) { return 20 * at.Seconds(), true },
	"wave": func(at time.Duration) (float64, bool) {
		return []float64{600, 60}[int(at/(7*time.Second))%2], at%span > span/2
	},
}

// peaks is a load with two peaks nearly a window apart and with retries in the second: no later window contains both peaks.
func peaks(at time.Duration) (float64, bool) {
	at %= 3 * span
	if m := at % (19 * span / 20); at < 3*span/2 && m < time.Second/2 {
		return 4000, at > span/2
	}
	return 0, false
}

// run simulates mixers that want two retries for each request while the load asks for retries, and that restart now and then. It
// returns the arrivals and the number of retries. knownMixers is the number of mixers that is set in the budgets.
func run(l load, mixers, knownMixers int, restarts bool, seed uint64) (arrived arrivals, retries int) {
	r := rand.New(rand.NewPCG(seed, 1))
	budgets := make([]*retrybudget.Budget, mixers)
	restart := func(i int) {
		budgets[i] = retrybudget.New(config)
		budgets[i].SetMixerCount(knownMixers)
	}
	shares, sum := make([]float64, mixers), 0.0
	for i := range budgets {
		restart(i)
		shares[i] = 1 / float64(1+i) // clients are distributed by hash, so the shares are uneven
		sum += shares[i]
	}
	var pending []int // mixers with a retry to send, one entry per retry
	const step = 20 * time.Millisecond
	for at := time.Duration(0); at < 40*time.Second; at += step {
		if restarts && at%span == 0 {
			// Each mixer restarts at most once in a window, at a time of its own, so that a window may contain the slack of two
			// incarnations.
			for i := range budgets {
				if r.IntN(2) == 0 {
					restart(i)
				}
			}
		}
		perSecond, retrying := l(at)
		n := perSecond * step.Seconds()
		for k := 0; float64(k) < n; k++ {
			if n-float64(k) < r.Float64() {
				break
			}
			pick, m := r.Float64()*sum, 0
			for pick -= shares[0]; pick > 0 && m < mixers-1; pick -= shares[m] {
				m++
			}
			arrived.requests = append(arrived.requests, at)
			budgets[m].RequestArrived(at, service)
			if retrying {
				pending = append(pending, m, m)
			}
		}
		refused := make([]bool, mixers)
		pending = slices.DeleteFunc(pending, func(m int) bool {
			if refused[m] || !budgets[m].Allows(at, service, at) {
				refused[m] = true
				return false
			}
			// The first attempt has been read; the retry is read a moment later.
			var attempts retrybudget.AttemptHistory
			budgets[m].AttemptSent(at, service, &attempts)
			budgets[m].AttemptSent(at, service, &attempts)
			budgets[m].AttemptRead(at, service, &attempts)
			budgets[m].AttemptRead(at, service, &attempts)
			arrived.retries = append(arrived.retries, at+time.Duration(r.IntN(40))*time.Millisecond)
			return true
		})
		pending = pending[max(0, len(pending)-1000):]
	}
	return arrived, len(arrived.retries)
}

// TestBudget checks that all mixers together stay within the rule, however unevenly clients are distributed among them and
// whenever they restart.
func TestBudget(t *testing.T) {
	for name, l := range loads {
		for _, mixers := range []int{2, 9, 60} {
			for seed := range uint64(2) {
				arrived, _ := run(l, mixers, mixers, seed > 0, seed)
				excess, when := arrived.maxExcess()
				must.LessEq(t, 0, excess, must.Sprintf("%s, %d mixers, seed %d: over by %v at %v", name, mixers, seed, excess, when))
			}
		}
	}
}

// TestBudgetPeaks checks that requests that have left all windows of the rule no longer allow retries.
func TestBudgetPeaks(t *testing.T) {
	for _, mixers := range []int{2, 9, 60} {
		arrived, _ := run(peaks, mixers, mixers, false, 1)
		excess, when := arrived.maxExcess()
		must.LessEq(t, 0, excess, must.Sprintf("%d mixers: over by %v at %v", mixers, excess, when))
	}
}

// TestUnknownMixerCount checks that a budget without a known number of mixers spends only a share for a large number.
func TestUnknownMixerCount(t *testing.T) {
	arrived, _ := run(loads["even"], 120, 0, true, 3)
	excess, when := arrived.maxExcess()
	must.LessEq(t, 0, excess, must.Sprint(when))
}

// TestBudgetIsUsable checks that more than half of the allowed retries can be sent.
func TestBudgetIsUsable(t *testing.T) {
	_, retries := run(loads["even"], 9, 9, false, 1)
	must.Greater(t, int(0.5*config.Ratio*300*40), retries)
}

// TestMaxExcessDetectsViolations checks that injected faults are detected: each mixer spends as if it were the only one; one
// retry too many; retries based on expired requests.
func TestMaxExcessDetectsViolations(t *testing.T) {
	arrived, _ := run(loads["even"], 60, 1, false, 1)
	excess, _ := arrived.maxExcess()
	must.Greater(t, 500.0, excess)
	requests := slices.Repeat([]time.Duration{span / 2}, 100)
	exact := arrivals{requests: requests, retries: slices.Repeat([]time.Duration{span / 2}, 58+20)}
	excess, _ = exact.maxExcess()
	must.Eq(t, 0, excess) // exactly at the limit
	over := arrivals{requests: requests, retries: slices.Repeat([]time.Duration{span / 2}, 58+21)}
	excess, _ = over.maxExcess()
	must.Eq(t, 1, excess)
	late := arrivals{requests: requests, retries: slices.Repeat([]time.Duration{5 * span / 2}, 58+21)}
	excess, _ = late.maxExcess()
	must.Eq(t, 21, excess) // expired requests allow no retries
}

// TestIdleServicesAreEvicted checks that a service beyond the maximum gets no retries, and that idle services are evicted.
func TestIdleServicesAreEvicted(t *testing.T) {
	b := retrybudget.New(config)
	b.SetMixerCount(1)
	for i := range 5000 {
		b.RequestArrived(0, fmt.Sprint("old", i))
	}
	must.False(t, b.Allows(0, "new", 0))
	must.True(t, b.Allows(3*span, "new", 3*span))
}
