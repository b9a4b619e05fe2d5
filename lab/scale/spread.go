package scale

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Spread is how a set of times lies, in milliseconds.
type Spread struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50-ms"`
	P99   float64 `json:"p99-ms"`
	Worst float64 `json:"worst-ms"`
}

// spread sorts what it is given. Quantiles are values that were measured, none between two of them: of few, the highest
// stands for 99 in 100.
func spread(ms []float64) Spread {
	if len(ms) == 0 {
		return Spread{}
	}
	slices.Sort(ms)
	return Spread{Count: len(ms), P50: stat.Quantile(0.5, stat.Empirical, ms, nil), P99: stat.Quantile(0.99, stat.Empirical, ms, nil),
		Worst: ms[len(ms)-1]}
}

// since gives in milliseconds how long after from each moment was; moments are nanoseconds of one machine's clock.
func since(from int64, at []int64) []float64 {
	ms := make([]float64, len(at))
	for i, t := range at {
		ms[i] = float64(t-from) / 1e6
	}
	return ms
}
