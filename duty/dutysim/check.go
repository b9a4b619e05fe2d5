package dutysim

import (
	"fmt"
	"runtime"
	"sync"
	"time"
)

// Report is the outcome of one history, or the worst outcome and mean costs of several.
type Report struct {
	Scenario          string  `json:"scenario"`
	Policy            string  `json:"policy"`
	Fault             string  `json:"plant,omitempty"`
	Instances         int     `json:"instances"`
	Readers           int     `json:"readers"`
	IntervalMS        float64 `json:"interval_ms"`
	LeaseMS           float64 `json:"lease_ms"`
	LengthMS          float64 `json:"length_ms"` // simulated length of each history
	Histories         int     `json:"histories"`
	Violations        int     `json:"violations"`
	FirstViolation    string  `json:"first_violation,omitempty"`
	WorstGapMS        float64 `json:"worst_gap_ms"`
	GapBoundMS        float64 `json:"gap_bound_ms"`
	WorstRateRatio    float64 `json:"worst_rate_ratio"` // probes relative to the intended number, in any window of rate_window_ms
	RateWindowMS      float64 `json:"rate_window_ms"`
	MostInOneInterval int     `json:"most_in_one_interval"`
	ProbesPerS        float64 `json:"probes_per_reader_s"`
	BytesPerS         float64 `json:"bytes_sent_per_member_s"`
	MessagesPerS      float64 `json:"messages_sent_per_member_s"`
}

// tolerance returns how far a gap may exceed the sum of the times in the scheduling rules: duties wait for their
// connection, claims for the network, and both for the next reading of the clock. The age in a result is its age when it
// was sent, so the delay of the message makes the result seem fresher, in some histories by up to an interval.
func (sim *simulation) tolerance() time.Duration {
	tolerance := sim.setup.Interval/4 + 600*time.Millisecond
	if sim.setup.Scenario == "oneway" || sim.setup.Scenario == "mixed" {
		tolerance += sim.setup.Interval
	}
	return tolerance
}

// Simulate runs one history and checks it.
func Simulate(setup Setup, seed uint64) (Report, error) {
	sim, err := newSimulation(setup, seed)
	if err != nil {
		return Report{}, err
	}
	if err := sim.scheduleEvents(); err != nil {
		return Report{}, err
	}
	sim.run()
	r := Report{Scenario: setup.Scenario, Policy: setup.Policy, Fault: setup.Fault,
		Instances: setup.Instances, Readers: setup.Readers,
		IntervalMS: ms(setup.Interval), LeaseMS: ms(sim.settings.Lease), LengthMS: ms(sim.end), Histories: 1}
	if r.Policy == "" {
		r.Policy = "core"
	}
	sim.check(&r, seed)
	seconds := sim.end.Seconds()
	r.ProbesPerS = float64(sim.counters.Probes) / seconds / float64(max(1, setup.Readers))
	r.BytesPerS = float64(sim.counters.Bytes) / seconds / float64(setup.Instances)
	r.MessagesPerS = float64(sim.counters.Messages) / seconds / float64(setup.Instances)
	return r, nil
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// addViolation counts a violation and keeps the text of the first.
func (r *Report) addViolation(seed uint64, format string, args ...any) {
	r.Violations++
	if r.FirstViolation == "" {
		r.FirstViolation = fmt.Sprintf("seed %d: ", seed) + fmt.Sprintf(format, args...)
	}
}

// check judges the probes that were sent, by true time. It uses no view or clock of an instance.
func (sim *simulation) check(r *Report, seed uint64) {
	interval := sim.setup.Interval
	bound := sim.settings.GapBound(0)
	if usesQuorumBound(sim.setup.Scenario) && sim.setup.Instances != 2 { // one of two instances is no majority
		bound = min(bound, sim.settings.QuorumBound(0))
	}
	if sim.setup.Scenario == "new" {
		bound *= startupFactor
	}
	bound = time.Duration(float64(bound)*1.002) + sim.tolerance() // clocks may run slow by a thousandth
	window := min(sim.settings.RateWindow(0), sim.end)
	r.GapBoundMS, r.RateWindowMS = ms(bound), ms(window)
	// Probes of lease holders are an interval apart by their clocks. Where clocks jump, one step may go undetected.
	minSpacing := time.Duration(float64(interval) * 0.995)
	if sim.setup.Scenario == "mixed" {
		minSpacing -= sim.settings.Lease / 4
	}
	for reader, probes := range sim.probes {
		lastLeased := -time.Hour
		for _, p := range probes {
			if p.stale {
				r.addViolation(seed, "%s: planned before a pause, but sent at %v", sim.readers[reader], p.at)
			}
			if p.outOfLease {
				continue
			}
			if p.at-lastLeased < minSpacing {
				r.addViolation(seed, "%s: probes under leases too close together, at %v and %v", sim.readers[reader], lastLeased, p.at)
			}
			// Checked from the time when all instances know of the start, until the end of the startup period.
			if sim.readersStart > 0 && lastLeased > sim.readersStart+interval &&
				p.at < sim.readersStart+startupIntervals*interval && p.at-lastLeased < startupFactor*minSpacing {
				r.addViolation(seed, "%s: probed too often in its startup period, at %v and %v", sim.readers[reader], lastLeased, p.at)
			}
			lastLeased = p.at
		}
		lastReached := time.Duration(0)
		for current, windowStart := 0, 0; current <= len(probes); current++ {
			reachedAt := sim.end
			if current < len(probes) {
				if reachedAt = probes[current].at; !probes[current].reached {
					reachedAt = -1
				}
				// The window ends with this probe and includes it.
				for probes[current].at-probes[windowStart].at >= window {
					windowStart++
				}
				count := current - windowStart + 1
				ratio := float64(count) * interval.Seconds() / window.Seconds()
				r.WorstRateRatio = max(r.WorstRateRatio, ratio)
				if ratio >= 2 {
					r.addViolation(seed, "%s: %d probes in the %v until %v, %.2f times the intended number",
						sim.readers[reader], count, window, probes[current].at, ratio)
				}
				burstStart := current
				for burstStart > 0 && probes[current].at-probes[burstStart-1].at < interval {
					burstStart--
				}
				r.MostInOneInterval = max(r.MostInOneInterval, current-burstStart+1)
			}
			if reachedAt < 0 {
				continue
			}
			gap := reachedAt - lastReached
			if r.WorstGapMS = max(r.WorstGapMS, ms(gap)); gap > bound {
				r.addViolation(seed, "%s: not reached from %v to %v, bound %v", sim.readers[reader], lastReached, reachedAt, bound)
			}
			lastReached = reachedAt
		}
	}
}

// merge combines two reports into the worst of both; costs are averaged over the histories.
func (r *Report) merge(other Report) {
	n := float64(r.Histories)
	mean := func(a, b float64) float64 { return (a*n + b) / (n + 1) }
	r.ProbesPerS, r.BytesPerS = mean(r.ProbesPerS, other.ProbesPerS), mean(r.BytesPerS, other.BytesPerS)
	r.MessagesPerS = mean(r.MessagesPerS, other.MessagesPerS)
	r.Histories++
	r.Violations += other.Violations
	if r.FirstViolation == "" {
		r.FirstViolation = other.FirstViolation
	}
	r.WorstGapMS, r.WorstRateRatio = max(r.WorstGapMS, other.WorstGapMS), max(r.WorstRateRatio, other.WorstRateRatio)
	r.MostInOneInterval = max(r.MostInOneInterval, other.MostInOneInterval)
}

// SimulateAll runs histories with consecutive seeds on all processors. The report does not depend on their number.
func SimulateAll(setup Setup, seed uint64, histories int, progress func(done int)) (Report, error) {
	type outcome struct {
		r   Report
		err error
	}
	results := make([]chan outcome, histories)
	for k := range results {
		results[k] = make(chan outcome, 1)
	}
	jobs := make(chan int)
	var workers sync.WaitGroup
	for range min(histories, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for k := range jobs {
				report, err := Simulate(setup, seed+uint64(k))
				results[k] <- outcome{report, err}
			}
		})
	}
	go func() {
		for k := range histories {
			jobs <- k
		}
		close(jobs)
	}()
	var total Report
	for k := range results {
		next := <-results[k]
		switch {
		case next.err != nil:
			return total, next.err
		case k == 0:
			total = next.r
		default:
			total.merge(next.r)
		}
		if progress != nil {
			progress(k + 1)
		}
	}
	workers.Wait()
	return total, nil
}
