package overload

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Each condition is recognized by its symptoms. Fresh demand is not a storm, one bad second changes nothing, and the last
// retries after a storm are recovery.
func TestConditions(t *testing.T) {
	calm := Report{FirstAttempts: 100, Completed: 99, Throttled: 1}
	for _, c := range []struct {
		name    string
		reports []Report
		want    Condition
	}{
		{"calm", []Report{calm}, Calm},
		{"no demand", []Report{{}}, Calm},
		{"twice the demand, first attempts", []Report{{FirstAttempts: 200, Retries: 30, Completed: 120, Throttled: 110}}, Overload},
		{"twice the demand, and all lost scans are retried", []Report{{FirstAttempts: 200, Retries: 150, Completed: 120, Throttled: 230}}, Overload},
		{"the usual demand, and lost scans are retried", []Report{{FirstAttempts: 100, Retries: 120, Completed: 80, Throttled: 140}}, RetryStorm},
		{"hardly anything completes", []Report{{FirstAttempts: 100, Retries: 60, Completed: 5, Failed: 155}}, Outage},
		{"back, with retries to come", []Report{{FirstAttempts: 100, Retries: 60, Completed: 5, Failed: 155}, {FirstAttempts: 100, Retries: 40, Completed: 138, Throttled: 2}}, Recovery},
		{"after the recovery", []Report{{FirstAttempts: 100, Retries: 60, Completed: 5, Failed: 155}, {FirstAttempts: 100, Retries: 40, Completed: 138, Throttled: 2}, calm}, Calm},
		{"late, though all complete", []Report{{FirstAttempts: 100, Completed: 100, Pressure: 1.4}}, Overload},
	} {
		d, err := NewDetector(DetectorConfig{Enter: 2 * s, Leave: 4 * s})
		if err != nil {
			t.Fatal(err)
		}
		now := time.Duration(0)
		see := func(r Report, duration time.Duration) {
			for end := now + duration; now < end; now += s {
				d.Update(now, r)
			}
		}
		see(calm, 10*s)
		for _, r := range c.reports {
			if see(r, 2*s); len(c.reports) == 1 && c.want != Calm && d.Condition() != Calm {
				t.Errorf("%s: %v without delay", c.name, d.Condition())
			}
			see(r, 8*s)
		}
		if d.Condition() != c.want {
			t.Errorf("%s: %v, want %v", c.name, d.Condition(), c.want)
		}
	}
}

// Near a threshold the condition does not change back and forth.
func TestNoFlapping(t *testing.T) {
	d, _ := NewDetector(DetectorConfig{Enter: 2 * s, Leave: 6 * s})
	rng := rand.New(rand.NewPCG(1, 2))
	changes, last := 0, Calm
	for now := time.Duration(0); now < 600*s; now += s {
		lost := 4 + 3*rng.Float64()
		if m := d.Update(now, Report{FirstAttempts: 100, Completed: 100 - lost, Throttled: lost}); m != last {
			changes, last = changes+1, m
		}
	}
	if changes > 2 {
		t.Errorf("%d changes in ten minutes", changes)
	}
}

// The admitted work fits the capacity, a bin is admitted only once all that precede it are, and demand within quotas
// precedes demand beyond them.
func TestAllocateCapacity(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(r, "bins")
		var bins []Bin
		var asked []float64
		for range n {
			bins = append(bins, Bin{rapid.Float64Range(0.1, 5).Draw(r, "worth"), rapid.Bool().Draw(r, "within")})
			asked = append(asked, rapid.Float64Range(0, 100).Draw(r, "asked"))
		}
		capacity := rapid.Float64Range(0, 300).Draw(r, "room")
		admitted, sum, all := AllocateCapacity(bins, asked, capacity), 0.0, 0.0
		for i := range admitted {
			sum, all = sum+admitted[i]*asked[i], all+asked[i]
			for k := range admitted {
				before := bins[i].WithinQuota && !bins[k].WithinQuota || bins[i].WithinQuota == bins[k].WithinQuota && bins[i].Value > bins[k].Value
				if before && admitted[i] < 1 && admitted[k] > 0 && asked[k] > 0 {
					r.Fatalf("bin %d is shed, and %d behind it is admitted: %v %v %v", i, k, bins, asked, admitted)
				}
			}
		}
		if math.Abs(sum-min(capacity, all)) > 1e-6 {
			r.Fatalf("%g admitted, capacity for %g of %g", sum, capacity, all)
		}
	})
}

// With searchers that serve 100 parts a second whatever is admitted, the estimate settles near 100. It grows when they serve
// more, and in an outage or when calm there is no limit.
func TestCapacitySettles(t *testing.T) {
	r := NewCapacity(0)
	admitted, servable := 300.0, 100.0
	now := time.Duration(0)
	settle := func() {
		for end := now + 60*s; now < end; now += s / 4 {
			admitted = min(300, r.Update(now, Overload, Report{PartsServed: min(admitted, servable), Pressure: 0.5 + 0.5*min(1, admitted/servable), Parts: []float64{200, 100}}))
		}
	}
	settle()
	if admitted < 95 || admitted > 120 {
		t.Errorf("%g admitted, and 100 can be served", admitted)
	}
	servable = 200
	if settle(); admitted < 190 || admitted > 240 {
		t.Errorf("%g admitted, and 200 can be served", admitted)
	}
	// By chance slightly less is served than admitted, and all of it quickly.
	servable = 1000
	for end := now + 30*s; now < end; now += s / 4 {
		admitted = min(300, r.Update(now, RetryStorm, Report{PartsServed: 0.9 * admitted, Pressure: 0.3, Parts: []float64{200, 100}}))
	}
	if admitted < 300 {
		t.Errorf("%g admitted of 300, and capacity is not short", admitted)
	}
	for _, m := range []Condition{Outage, Calm} {
		if x := r.Update(now, m, Report{Parts: []float64{300}}); !math.IsInf(x, 1) {
			t.Errorf("%g in %v", x, m)
		}
	}
}

// The clients that 20 instances throttle within one second retry evenly and at no more than the expected capacity, though
// the instances share only phases from a seed. Where no time is left, the longest delay is returned.
func TestRetrySchedulesAddUp(t *testing.T) {
	const n, capacity, throttled = 20, 100.0, 900
	var retries []time.Duration
	refused := 0
	for i := range n {
		r := NewRetrySchedule(float64(i) / n)
		for k := range throttled / n {
			in, ok := r.NextDelay(time.Duration(k)*s/(throttled/n), s/2, 12*s, capacity/n)
			if retries = append(retries, time.Duration(k)*s/(throttled/n)+in); !ok {
				refused++
			}
		}
	}
	slices.Sort(retries)
	most := 0
	for i, from := range retries {
		k := i
		for k < len(retries) && retries[k] < from+s {
			k++
		}
		most = max(most, k-i)
	}
	if refused > 0 || float64(most) > 1.25*capacity {
		t.Errorf("%d retries within a second, capacity for %g; %d got no time", most, capacity, refused)
	}
	r := NewRetrySchedule(0.5)
	for range 100 {
		r.NextDelay(0, s, 2*s, 1)
	}
	if in, ok := r.NextDelay(0, s, 2*s, 1); ok || in != 2*s {
		t.Errorf("%v %v", in, ok)
	}
}

// A quota covers the tenant's demand over the whole fleet and is used by its most valuable work first; value counts per
// part.
func TestAdmittedShares(t *testing.T) {
	layout := BinLayout{Benefit: []float64{2, 3}, Quota: []float64{10, 10}}
	sum := Report{Scans: make([]float64, layout.Len()), Parts: make([]float64, layout.Len())}
	set := func(class, tenant int, scans, parts float64) {
		sum.Scans[layout.Bin(class, tenant)], sum.Parts[layout.Bin(class, tenant)] = scans, scans*parts
	}
	set(0, 0, 40, 1) // ten of these are within the quota; class 0 has a value of 2 per part, class 1 of 1
	set(1, 0, 10, 3)
	set(1, 1, 8, 3)
	set(0, -1, 5, 1)
	admitted := layout.AdmittedShares(sum, 10+24)
	if admitted[layout.Bin(0, 0)] != 0.25 || admitted[layout.Bin(1, 1)] != 1 || admitted[layout.Bin(1, 0)] != 0 || admitted[layout.Bin(0, -1)] != 0 {
		t.Errorf("%v", admitted)
	}
	// With more capacity, demand beyond the quotas is admitted by value, including that of no tenant.
	if admitted = layout.AdmittedShares(sum, 10+24+35); admitted[layout.Bin(0, 0)] != 1 || admitted[layout.Bin(0, -1)] != 1 || admitted[layout.Bin(1, 0)] != 0 {
		t.Errorf("%v", admitted)
	}
	if admitted = layout.AdmittedShares(Report{Scans: []float64{math.NaN(), -1}, Parts: []float64{math.Inf(-1)}}, 5); len(admitted) != layout.Len() {
		t.Errorf("%v", admitted)
	}
}
