package overload

import (
	"fmt"
	"time"
)

// Report holds what one instance observed over about a second, as rates per second. Each instance counts its own traffic
// only.
type Report struct {
	First    float64   `json:"f"` // scans sent for the first time
	Again    float64   `json:"a"` // scans that clients mark as sent again
	Done     float64   `json:"d"` // completed scans
	Turned   float64   `json:"t"` // scans throttled, on arrival or later
	Failed   float64   `json:"x"` // scans abandoned, or given up by their clients
	Pressure float64   `json:"p"` // time that scans took, as a multiple of the allowed time; above 1 they are late
	Scans    []float64 `json:"s"` // scans requested, by bin (see Kinds)
	Bins     []float64 `json:"b"` // parts requested, by bin: the work
	Carried  float64   `json:"c"` // parts that searchers served
}

// Add adds another report to r. The combined pressure is the mean weighted by the scans requested.
func (r *Report) Add(o Report) {
	if all := r.Asked() + o.Asked(); all > 0 {
		r.Pressure = (r.Pressure*r.Asked() + o.Pressure*o.Asked()) / all
	}
	r.First, r.Again, r.Done = r.First+o.First, r.Again+o.Again, r.Done+o.Done
	r.Turned, r.Failed, r.Carried = r.Turned+o.Turned, r.Failed+o.Failed, r.Carried+o.Carried
	r.Scans, r.Bins = sum(r.Scans, o.Scans), sum(r.Bins, o.Bins)
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

// Asked returns the rate of all scans requested, first attempts and retries.
func (r *Report) Asked() float64 { return r.First + r.Again }

func (r *Report) lost() float64 { return r.Turned + r.Failed }

// Mood is the load condition of the fleet.
type Mood uint8

// The load conditions.
const (
	Calm     Mood = iota
	Overload      // first attempts alone exceed what can be served
	Outage        // hardly anything completes, compared with the scans requested and with what completed when calm
	Storm         // most lost scans are retried: demand feeds on itself
	Recovery      // scans complete again while retries still arrive
	moodCount
)

// String returns the condition's name.
func (m Mood) String() string {
	return [...]string{"calm", "overload", "outage", "storm", "recovery", ""}[min(m, moodCount)]
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

// Patience configures for how long symptoms must last before the condition changes: Enter for a worse condition, Leave
// for a return to calm or recovery.
type Patience struct{ Enter, Leave time.Duration }

// Judge classifies the fleet's load condition from its reports, with hysteresis.
type Judge struct {
	config            Patience
	condition         Mood
	candidate         Mood          // what the latest reports indicate
	candidateSince    time.Duration // since when they do
	baselineFirst     float64       // first attempts per second when calm
	baselineCompleted float64       // completed scans per second when calm
}

// NewJudge makes a detector that starts calm.
func NewJudge(config Patience) (*Judge, error) {
	if config.Enter < 0 || config.Leave < config.Enter {
		return nil, fmt.Errorf("load condition: enter after %v, leave after %v: must not be negative, nor leave before enter",
			config.Enter, config.Leave)
	}
	return &Judge{config: config}, nil
}

// Forget resets the condition to calm and keeps the learned baseline.
func (j *Judge) Forget() { j.condition, j.candidate, j.candidateSince = Calm, Calm, 0 }

// Mood returns the current condition.
func (j *Judge) Mood() Mood { return j.condition }

// See takes the sum of the fleet's reports and returns the resulting condition.
func (j *Judge) See(now time.Duration, r Report) Mood {
	indicated := j.classify(&r)
	if indicated != j.candidate {
		j.candidate, j.candidateSince = indicated, now
	}
	wait := j.config.Enter
	if indicated == Calm || indicated == Recovery {
		wait = j.config.Leave
	}
	if indicated != j.condition && now-j.candidateSince >= wait {
		j.condition = indicated
	}
	if j.condition == Calm && indicated == Calm && r.First > 0 {
		if j.baselineFirst == 0 {
			j.baselineFirst, j.baselineCompleted = r.First, r.Done
		}
		j.baselineFirst += baselineWeight * (r.First - j.baselineFirst)
		j.baselineCompleted += baselineWeight * (r.Done - j.baselineCompleted)
	}
	return j.condition
}

// classify returns the condition that a single report indicates. The thresholds of the current condition are halved, or
// doubled for completed scans in an outage, so that it is harder to leave than to enter.
func (j *Judge) classify(r *Report) Mood {
	asked := r.Asked()
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
	if j.condition == Outage {
		minCompleted *= 2
	}
	troubled := j.condition == Outage || j.condition == Storm || j.condition == Recovery
	lost := r.lost() > bound(lossThreshold, j.condition != Calm)*asked
	retryRatio := r.Again / max(r.First, 1e-9)
	fresh := j.baselineFirst > 0 && r.First > freshDemandRatio*j.baselineFirst
	switch {
	case lost && r.Done < minCompleted*min(asked, max(j.baselineCompleted, r.Done)) || lost && r.Done == 0:
		return Outage
	case lost && retryRatio > bound(stormRetryRatio, j.condition == Storm) && !fresh:
		return Storm
	case troubled && (lost || retryRatio > recoveryRetryRatio):
		return Recovery
	case lost || r.Pressure > 1:
		return Overload
	}
	return Calm
}
