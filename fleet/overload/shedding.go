package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Bin is a kind of demand that is shed equally wherever in the fleet it arrives: the scans of a class that are within
// their tenants' quotas, or those beyond them.
type Bin struct {
	Value       float64 // benefit per part
	WithinQuota bool    // within the tenant's quota
}

// AllocateCapacity returns the share of each bin to admit when only capacity parts a second can be served. The result
// depends on the arguments alone, so that instances with the same data agree. All demand within the tenants' quotas
// precedes all demand beyond them, and more valuable work precedes less valuable work; at most one bin is admitted
// partially. A tenant within its quota is therefore never shed while another is served beyond its own.
func AllocateCapacity(bins []Bin, demand []float64, capacity float64) []float64 {
	order := make([]int, len(bins))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := bins[a], bins[b]
		if x.WithinQuota != y.WithinQuota {
			return map[bool]int{true: -1, false: 1}[x.WithinQuota]
		}
		return cmp.Compare(y.Value, x.Value)
	})
	admitted := make([]float64, len(bins))
	for _, i := range order {
		rate := rateAt(demand, i)
		switch {
		case rate <= capacity:
			admitted[i] = 1
		case capacity > 0:
			admitted[i] = capacity / rate
		}
		capacity = max(0, capacity-rate)
	}
	return admitted
}

// BinLayout lists the classes and tenants of a fleet and defines how reports index their bins: by class, and within a class
// by tenant, starting with the scans of no known tenant.
type BinLayout struct {
	Benefit []float64 // of a scan, by class
	Quota   []float64 // by tenant: scans per second that are within its quota, all mixers together
}

// Len returns the number of bins.
func (l BinLayout) Len() int { return len(l.Benefit) * (len(l.Quota) + 1) }

// Bin returns the index of a class and tenant. A tenant below 0 stands for no known tenant.
func (l BinLayout) Bin(class, tenant int) int { return class*(len(l.Quota)+1) + tenant + 1 }

// AdmittedShares divides capacity, in parts per second, among all demand and returns the share of each bin to admit.
// Quotas apply to a tenant's demand over the whole fleet, whichever instances its clients reach.
func (l BinLayout) AdmittedShares(sum Report, capacity float64) []float64 {
	value, order := make([]float64, len(l.Benefit)), make([]int, len(l.Benefit))
	for c := range order {
		scans, parts := 0.0, 0.0
		for t := -1; t < len(l.Quota); t++ {
			scans, parts = scans+rateAt(sum.Scans, l.Bin(c, t)), parts+rateAt(sum.Parts, l.Bin(c, t))
		}
		if order[c] = c; parts > 0 {
			value[c] = l.Benefit[c] * scans / parts
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(value[b], value[a]) })
	bins, demand := make([]Bin, 2*l.Len()), make([]float64, 2*l.Len())
	for t := -1; t < len(l.Quota); t++ {
		quotaLeft := 0.0 // the tenant's most valuable work uses its quota first; without a tenant there is none
		if t >= 0 {
			quotaLeft = l.Quota[t]
		}
		for _, c := range order {
			i := l.Bin(c, t)
			scans, parts := rateAt(sum.Scans, i), rateAt(sum.Parts, i)
			within := parts
			if scans > quotaLeft {
				within = parts * quotaLeft / scans
			}
			quotaLeft = max(0, quotaLeft-scans)
			bins[2*i], bins[2*i+1] = Bin{value[c], true}, Bin{value[c], false}
			demand[2*i], demand[2*i+1] = within, parts-within
		}
	}
	shares := AllocateCapacity(bins, demand, capacity)
	admitted := make([]float64, l.Len())
	for i := range admitted {
		if admitted[i] = 1; demand[2*i]+demand[2*i+1] > 0 {
			admitted[i] = (shares[2*i]*demand[2*i] + shares[2*i+1]*demand[2*i+1]) / (demand[2*i] + demand[2*i+1])
		}
	}
	return admitted
}

// Capacity estimates how much work the fleet can do in an overload or a storm. While searchers serve less than is admitted,
// the estimate shrinks towards what they serve; while they serve all of it, the estimate grows step by step. Otherwise
// there is no limit: in an outage the mixers' own refusals cost nothing, and holding back the demand after an outage
// would only prolong it.
type Capacity struct {
	limit float64 // parts per second; infinite when there is no limit
	now   time.Duration
}

const (
	shrinkRate        = 0.5  // per second, of the excess of admitted over served work
	growthRate        = 0.1  // per second
	fastGrowthRate    = 0.5  // per second, while scans are quick
	highPressure      = 0.6  // of the time that a scan may take
	lowPressure       = 0.4  // of the time that a scan may take: scans this quick show that capacity is not short
	servedInFull      = 0.95 // serving this share of the admitted work counts as serving all of it
	minAdmittedShare  = 0.05 // of the demand, admitted however little is served
	unlimitedHeadroom = 1.3  // a limit above this multiple of the demand is removed
)

// NewCapacity makes an estimate that starts without a limit.
func NewCapacity(now time.Duration) *Capacity { return &Capacity{limit: math.Inf(1), now: now} }

// Update takes the fleet's condition and the sum of its reports, and returns the work that may be admitted per second.
func (c *Capacity) Update(now time.Duration, condition Condition, sum Report) float64 {
	dt := min(1, max(0, (now-c.now).Seconds()))
	c.now = now
	demand := 0.0
	for _, x := range sum.Parts {
		demand += x
	}
	admitted := min(c.limit, demand)
	switch {
	case condition == Calm || condition == Outage:
		c.limit = math.Inf(1)
	case condition != Recovery && sum.PartsServed < servedInFull*admitted && sum.Pressure > highPressure:
		c.limit = max(minAdmittedShare*demand, admitted-shrinkRate*dt*(admitted-sum.PartsServed))
	default:
		// By chance alone, less is sometimes served than admitted. As long as scans are quick, capacity is not short: scans
		// shed then would only be retried, and shedding itself would keep the storm going.
		growth := growthRate
		if sum.Pressure < lowPressure {
			growth = fastGrowthRate
		}
		if c.limit *= 1 + growth*dt; c.limit > unlimitedHeadroom*demand {
			c.limit = math.Inf(1)
		}
	}
	return c.limit
}

// RetrySchedule schedules the retries of throttled clients. Each client gets a later time than the one before, so that they
// come back at no more than this instance's share of the expected capacity. Instances share nothing but a phase drawn
// from a common seed.
type RetrySchedule struct {
	next  time.Duration
	phase float64
}

// NewRetrySchedule makes a schedule with a phase from 0 to 1.
func NewRetrySchedule(phase float64) *RetrySchedule { return &RetrySchedule{phase: phase} }

// NextDelay returns the delay after which the next client should retry, between minDelay and maxDelay, where rate is the
// number of retries per second that this instance may schedule. It returns false if all times up to maxDelay are taken: no
// delay would then keep within the rate, and the client is best sent the longest one.
func (s *RetrySchedule) NextDelay(now, minDelay, maxDelay time.Duration, rate float64) (delay time.Duration, ok bool) {
	gap := maxDelay
	if rate > 0 {
		gap = min(maxDelay, time.Duration(float64(time.Second)/rate))
	}
	if s.next < now+minDelay {
		s.next = now + minDelay + time.Duration(s.phase*float64(gap))
	}
	if s.next > now+maxDelay {
		return maxDelay, false
	}
	delay = s.next - now
	s.next += gap
	return delay, true
}
