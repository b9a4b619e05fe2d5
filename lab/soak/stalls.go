package soak

import (
	"context"
	"time"

	"peathollow/internal/periodic"
)

// The soak's own goroutines share the machine's processors with the system under test. If one of them is run late, the
// system's processes probably were, too. The log then tells a busy machine from a slow process; no check depends on it.
const (
	stallInterval = 20 * time.Millisecond
	minStall      = 200 * time.Millisecond // shorter stalls are not logged
)

// watchStalls logs the times at which this program was run late, until ctx ends, and how often that was.
func (r *run) watchStalls(ctx context.Context) {
	var detector stallDetector
	detector.ran(time.Now())
	periodic.Run(ctx, stallInterval, func() {
		if late := detector.ran(time.Now()); late >= minStall {
			r.logf("stalled: this program was run %v late", late.Round(time.Millisecond))
		}
	})
	r.logf("stalls of %v or more: %d, %v in all, the longest %v", minStall, detector.count, detector.total.Round(time.Millisecond),
		detector.longest.Round(time.Millisecond))
}

// stallDetector measures how late a function is run that is due once per stallInterval.
type stallDetector struct {
	previous       time.Time
	count          int // stalls of minStall or more
	total, longest time.Duration
}

// ran records that the function was run, and returns how late.
func (d *stallDetector) ran(now time.Time) time.Duration {
	previous := d.previous
	d.previous = now
	if previous.IsZero() {
		return 0
	}
	late := now.Sub(previous) - stallInterval
	if late >= minStall {
		d.count++
		d.total += late
		d.longest = max(d.longest, late)
	}
	return late
}
