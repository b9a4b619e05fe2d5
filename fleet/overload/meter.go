package overload

import "time"

// ScanOutcome is how a scan ended.
type ScanOutcome uint8

// The ways in which a scan ends.
const (
	Completed ScanOutcome = iota
	Throttled             // on arrival or later
	Failed                // abandoned, or given up by the client
)

// Meter counts what one instance observes, for its reports.
type Meter struct {
	layout          BinLayout
	counts          Report // counts, not rates; Pressure holds the sum of the samples
	pressureSamples float64
}

// NewMeter makes a meter with all counts at zero.
func NewMeter(layout BinLayout) *Meter {
	m := &Meter{layout: layout}
	m.reset()
	return m
}

func (m *Meter) reset() {
	m.pressureSamples, m.counts = 0, Report{Scans: make([]float64, m.layout.Len()), Parts: make([]float64, m.layout.Len())}
}

// ScanArrived counts an arriving scan. A tenant below 0 stands for no known tenant.
func (m *Meter) ScanArrived(class, tenant, parts int, retry bool) {
	if retry {
		m.counts.Retries++
	} else {
		m.counts.FirstAttempts++
	}
	bin := m.layout.Bin(class, tenant)
	m.counts.Scans[bin]++
	m.counts.Parts[bin] += float64(parts)
}

// ScanEnded counts the end of a scan, with the time since its arrival and its target latency.
func (m *Meter) ScanEnded(outcome ScanOutcome, took, target time.Duration) {
	switch outcome {
	case Completed:
		m.counts.Completed++
	case Throttled:
		m.counts.Throttled++
	case Failed:
		m.counts.Failed++
	}
	if x, ok := pressure(took, target, outcome == Completed); ok {
		m.counts.Pressure += x
		m.pressureSamples++
	}
}

// PartServed counts a part that a searcher served.
func (m *Meter) PartServed() { m.counts.PartsServed++ }

// TakeReport returns what was counted over a span as rates, and resets the counts.
func (m *Meter) TakeReport(span time.Duration) Report {
	r, s := m.counts, span.Seconds()
	for _, x := range []*float64{&r.FirstAttempts, &r.Retries, &r.Completed, &r.Throttled, &r.Failed, &r.PartsServed} {
		*x /= s
	}
	for i := range r.Parts {
		r.Scans[i] /= s
		r.Parts[i] /= s
	}
	r.Pressure /= max(m.pressureSamples, 1)
	m.reset()
	return r
}

// pressure is the time that a scan took, as a multiple of the allowed time. It returns false for a scan that was rejected
// early, which says nothing about pressure. A scan that was admitted but not completed counts as far too late.
func pressure(took, target time.Duration, done bool) (x float64, ok bool) {
	switch {
	case done:
		return float64(took) / (allowedTime * float64(target)), true
	case took > target/2:
		return uncompletedPressure, true
	}
	return 0, false
}

const (
	allowedTime         = 0.6 // time that a scan may take, as a share of its target
	uncompletedPressure = 2 / allowedTime
)
