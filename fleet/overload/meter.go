package overload

import "time"

// End is how a scan ended.
type End uint8

const (
	Done End = iota
	Turned
	Failed
)

// Meter counts what one instance sees, for its reports.
type Meter struct {
	kinds  Kinds
	saw    Report // counts, not rates; its pressure is summed up over strains
	strain float64
}

// NewMeter begins with nothing seen.
func NewMeter(k Kinds) *Meter {
	m := &Meter{kinds: k}
	m.forget()
	return m
}

func (m *Meter) forget() {
	m.strain, m.saw = 0, Report{Scans: make([]float64, m.kinds.Len()), Bins: make([]float64, m.kinds.Len())}
}

// Came counts a scan asked for; a tenant below 0 is none that is known.
func (m *Meter) Came(class, tenant, parts int, again bool) {
	if again {
		m.saw.Again++
	} else {
		m.saw.First++
	}
	bin := m.kinds.Bin(class, tenant)
	m.saw.Scans[bin]++
	m.saw.Bins[bin] += float64(parts)
}

// Ended counts a scan's end, so long after it came.
func (m *Meter) Ended(how End, took, target time.Duration) {
	switch how {
	case Done:
		m.saw.Done++
	case Turned:
		m.saw.Turned++
	case Failed:
		m.saw.Failed++
	}
	if x, ok := strain(took, target, how == Done); ok {
		m.saw.Pressure += x
		m.strain++
	}
}

// Carried counts a part that a searcher did.
func (m *Meter) Carried() { m.saw.Carried++ }

// Take gives what was seen over a span as rates, and begins anew.
func (m *Meter) Take(span time.Duration) Report {
	r, s := m.saw, span.Seconds()
	for _, x := range []*float64{&r.First, &r.Again, &r.Done, &r.Turned, &r.Failed, &r.Carried} {
		*x /= s
	}
	for i := range r.Bins {
		r.Scans[i] /= s
		r.Bins[i] /= s
	}
	r.Pressure /= max(m.strain, 1)
	m.forget()
	return r
}

// strain is how long a scan took in what it may take; false for one that was turned away early and so tells nothing of
// it. One that was let in, and not done, counts as much too late.
func strain(took, target time.Duration, done bool) (x float64, ok bool) {
	switch {
	case done:
		return float64(took) / (mayTake * float64(target)), true
	case took > target/2:
		return lostStrain, true
	}
	return 0, false
}

const (
	mayTake    = 0.6 // of its target
	lostStrain = 2 / mayTake
)
