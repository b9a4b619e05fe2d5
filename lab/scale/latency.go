package scale

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

// LatencySummary summarizes a set of durations, in milliseconds.
type LatencySummary struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50-ms"`
	P99   float64 `json:"p99-ms"`
	Max   float64 `json:"worst-ms"`
}

// summarize computes quantiles and sorts ms in place. Quantiles are measured values without interpolation, so for small sets
// P99 is the maximum.
func summarize(ms []float64) LatencySummary {
	if len(ms) == 0 {
		return LatencySummary{}
	}
	slices.Sort(ms)
	return LatencySummary{Count: len(ms), P50: stat.Quantile(0.5, stat.Empirical, ms, nil),
		P99: stat.Quantile(0.99, stat.Empirical, ms, nil), Max: ms[len(ms)-1]}
}

// elapsedMS returns how long after start each time was, in milliseconds. All times are Unix nanoseconds of one machine's clock.
func elapsedMS(start int64, times []int64) []float64 {
	ms := make([]float64, len(times))
	for i, t := range times {
		ms[i] = float64(t-start) / 1e6
	}
	return ms
}
