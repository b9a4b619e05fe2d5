package overload

import (
	"fmt"
	"time"
)

// Report holds what one instance observed over about a second, as rates per second. Each instance counts its own traffic
// only.
type Report struct {
	FirstAttempts float64   `json:"f"` // scans sent for the first time
	Retries       float64   `json:"a"` // scans that clients mark as sent again
	Completed     float64   `json:"d"` // completed scans
	Throttled     float64   `json:"t"` // scans throttled, on arrival or later
	Failed        float64   `json:"x"` // scans abandoned, or given up by their clients
	Pressure      float64   `json:"p"` // time that scans took, as a multiple of the allowed time; above 1 they are late
	Scans         []float64 `json:"s"` // scans requested, by bin (see BinLayout)
	Parts         []float64 `json:"b"` // parts requested, by bin: the work
	PartsServed   float64   `json:"c"` // parts that searchers served
}

// Add adds another report to r. The combined pressure is the mean weighted by the scans requested.
func (r *Report) Add(o Report) {
	if all := r.Requested() + o.Requested(); all > 0 {
		r.Pressure = (r.Pressure*r.Requested() + o.Pressure*o.Requested()) / all
	}
	r.FirstAttempts, r.Retries, r.Completed = r.FirstAttempts+o.FirstAttempts, r.Retries+o.Retries, r.Completed+o.Completed
	r.Throttled, r.Failed, r.PartsServed = r.Throttled+o.Throttled, r.Failed+o.Failed, r.PartsServed+o.PartsServed
	r.Scans, r.Parts = sum(r.Scans, o.Scans), sum(r.Parts, o.Parts)
}

func sum(a, b []float64) []float64 {
	out := make([]float64, max(len(a), len(b)))
	for i := range out {
		out[i] = rateAt(a, i) + rateAt(b, i)
	}
	return out
}

// rateAt reads a rate that another instance reported: a missing, negative or NaN value counts as zero.
func rateAt(x []float64, i int) float64 {
	if i >= len(x) || !(x[i] > 0) {
		return 0
	}
	return x[i]
}

// Requested returns the rate of all scans requested, first attempts and retries.
func (r *Report) Requested() float64 { return r.FirstAttempts + r.Retries }

func (r *Report) lost() float64 { return r.Throttled + r.Failed }

// Condition is the load condition of the fleet.
type Condition uint8

// The load conditions.
const (
	Calm       Condition = iota
	Overload             // first attempts alone exceed what can be served
	Outage               // hardly anything completes, compared with the scans requested and with what completed when calm
	RetryStorm           // most lost scans are retried: demand feeds on itself
	Recovery             // scans complete again while retries still arrive
	conditionCount
)

// String returns the condition's name.
func (c Condition) String() string {
	return [...]string{"calm", "overload", "outage", "storm", "recovery", ""}[min(c, conditionCount)]
}

// Thresholds between the conditions, as shares of the scans requested unless stated otherwise. A condition is left only
// at half of the threshold at which it is entered, or beyond.
const (
	outageCompleted    = 0.2 // fewer completed than this is an outage
	lossThreshold      = 0.05
	stormRetryRatio    = 0.5 // retries per first attempt that make a storm
	recoveryRetryRatio = 0.1
	freshDemandRatio   = 1.5  // first attempts relative to the baseline: above it the demand is new, and no storm
	baselineWeight     = 0.02 // of a new report in the moving averages of the baseline
)

// DetectorConfig configures for how long symptoms must last before the condition changes: Enter for a worse condition, Leave
// for a return to calm or recovery.
type DetectorConfig struct{ Enter, Leave time.Duration }

// Detector classifies the fleet's load condition from its reports, with hysteresis.
type Detector struct {
	config            DetectorConfig
	condition         Condition
	candidate         Condition     // what the latest reports indicate
	candidateSince    time.Duration // since when they do
	baselineFirst     float64       // first attempts per second when calm
	baselineCompleted float64       // completed scans per second when calm
}

// NewDetector makes a detector that starts calm.
func NewDetector(config DetectorConfig) (*Detector, error) {
	if config.Enter < 0 || config.Leave < config.Enter {
		return nil, fmt.Errorf("load condition: enter after %v, leave after %v: must not be negative, nor leave before enter",
			config.Enter, config.Leave)
	}
	return &Detector{config: config}, nil
}

// Reset resets the condition to calm and keeps the learned baseline.
func (d *Detector) Reset() { d.condition, d.candidate, d.candidateSince = Calm, Calm, 0 }

// Condition returns the current condition.
func (d *Detector) Condition() Condition { return d.condition }

// Update takes the sum of the fleet's reports and returns the resulting condition.
func (d *Detector) Update(now time.Duration, r Report) Condition {
	indicated := d.classify(&r)
	if indicated != d.candidate {
		d.candidate, d.candidateSince = indicated, now
	}
	wait := d.config.Enter
	if indicated == Calm || indicated == Recovery {
		wait = d.config.Leave
	}
	if indicated != d.condition && now-d.candidateSince >= wait {
		d.condition = indicated
	}
	if d.condition == Calm && indicated == Calm && r.FirstAttempts > 0 {
		if d.baselineFirst == 0 {
			d.baselineFirst, d.baselineCompleted = r.FirstAttempts, r.Completed
		}
		d.baselineFirst += baselineWeight * (r.FirstAttempts - d.baselineFirst)
		d.baselineCompleted += baselineWeight * (r.Completed - d.baselineCompleted)
	}
	return d.condition
}

// classify returns the condition that a single report indicates. The thresholds of the current condition are halved, or
// doubled for completed scans in an outage, so that it is harder to leave than to enter.
func (d *Detector) classify(r *Report) Condition {
	asked := r.Requested()
	if asked == 0 {
		return Calm
	}
	bound := func(x float64, active bool) float64 {
		if active {
			return x / 2
		}
		return x
	}
	minCompleted := outageCompleted
	if d.condition == Outage {
		minCompleted *= 2
	}
	troubled := d.condition == Outage || d.condition == RetryStorm || d.condition == Recovery
	lost := r.lost() > bound(lossThreshold, d.condition != Calm)*asked
	retryRatio := r.Retries / max(r.FirstAttempts, 1e-9)
	fresh := d.baselineFirst > 0 && r.FirstAttempts > freshDemandRatio*d.baselineFirst
	switch {
	case lost && r.Completed < minCompleted*min(asked, max(d.baselineCompleted, r.Completed)) || lost && r.Completed == 0:
		return Outage
	case lost && retryRatio > bound(stormRetryRatio, d.condition == RetryStorm) && !fresh:
		return RetryStorm
	case troubled && (lost || retryRatio > recoveryRetryRatio):
		return Recovery
	case lost || r.Pressure > 1:
		return Overload
	}
	return Calm
}
