package overload

import "time"

// End is how a scan ended.
type End uint8

// The ways in which a scan ends.
const (
	Done   End = iota // completed
	Turned            // throttled, on arrival or later
	Failed            // abandoned, or given up by the client
)

// Meter counts what one instance observes, for its reports.
type Meter struct {
	kinds           Kinds
	counts          Report // counts, not rates; Pressure holds the sum of the samples
	pressureSamples float64
}

// NewMeter makes a meter with all counts at zero.
func NewMeter(k Kinds) *Meter {
	m := &Meter{kinds: k}
	m.reset()
	return m
}

func (m *Meter) reset() {
	m.pressureSamples, m.counts = 0, Report{Scans: make([]float64, m.kinds.Len()), Bins: make([]float64, m.kinds.Len())}
}

// Came counts an arriving scan. A tenant below 0 stands for no known tenant.
func (m *Meter) Came(class, tenant, parts int, retry bool) {
	if retry {
		m.counts.Again++
	} else {
		m.counts.First++
	}
	bin := m.kinds.Bin(class, tenant)
	m.counts.Scans[bin]++
	m.counts.Bins[bin] += float64(parts)
}

// Ended counts the end of a scan, with the time since its arrival and its target latency.
func (m *Meter) Ended(outcome End, took, target time.Duration) {
	switch outcome {
	case Done:
		m.counts.Done++
	case Turned:
		m.counts.Turned++
	case Failed:
		m.counts.Failed++
	}
	if x, ok := pressure(took, target, outcome == Done); ok {
		m.counts.Pressure += x
		m.pressureSamples++
	}
}

// Carried counts a part that a searcher served.
func (m *Meter) Carried() { m.counts.Carried++ }

// Take returns what was counted over a span as rates, and resets the counts.
func (m *Meter) Take(span time.Duration) Report {
	r, s := m.counts, span.Seconds()
	for _, x := range []*float64{&r.First, &r.Again, &r.Done, &r.Turned, &r.Failed, &r.Carried} {
		*x /= s
	}
	for i := range r.Bins {
		r.Scans[i] /= s
		r.Bins[i] /= s
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
