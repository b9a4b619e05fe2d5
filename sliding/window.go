// Package sliding counts events in a sliding window of time, in slices. The dispatch policy and the retry budgets use it.
// It reads no clock: the caller passes the time, which must not go back.
package sliding

import "time"

const slices = 32

// Window counts events of one kind. The zero Window is empty. All calls on a Window must pass the same span.
type Window struct {
	counts    [slices + 1]int
	lastSlice int64
}

func (w *Window) advance(now, span time.Duration) {
	for current := int64(now) / max(1, int64(span)/slices); w.lastSlice < current; {
		if current-w.lastSlice > slices {
			w.counts = [slices + 1]int{}
			w.lastSlice = current
			return
		}
		w.lastSlice++
		w.counts[w.lastSlice%(slices+1)] = 0
	}
}

// Add counts one event.
func (w *Window) Add(now, span time.Duration) {
	w.advance(now, span)
	w.counts[w.lastSlice%(slices+1)]++
}

// High returns an upper bound of the events in the last span. It counts at most the events of one additional slice.
func (w *Window) High(now, span time.Duration) (sum int) {
	w.advance(now, span)
	for _, n := range w.counts {
		sum += n
	}
	return sum
}

// Low returns a lower bound of the events in the last span.
func (w *Window) Low(now, span time.Duration) int {
	return w.High(now, span) - w.counts[(w.lastSlice+1)%(slices+1)]
}
