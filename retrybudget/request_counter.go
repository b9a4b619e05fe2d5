package retrybudget

import "time"

const (
	slicesPerWindow = 32
	sliceCount      = 2*slicesPerWindow + 1 // two windows and the current slice
)

// requestCounter counts the requests of the last two windows in slices, which form a ring.
type requestCounter struct {
	slices [sliceCount]int
	last   int64 // number of the current slice since time 0
}

// advance makes the slice that contains now the current one and clears the slices that have expired.
func (c *requestCounter) advance(now, window time.Duration) {
	current := int64(now) / max(1, int64(window)/slicesPerWindow)
	if current-c.last >= sliceCount {
		c.slices = [sliceCount]int{}
		c.last = current
	}
	for c.last < current {
		c.last++
		c.slices[c.last%sliceCount] = 0
	}
}

func (c *requestCounter) add(now, window time.Duration) {
	c.advance(now, window)
	c.slices[c.last%sliceCount]++
}

// minCredited returns a lower bound of the requests credited to any window that ends between from and to after now. A window is
// credited with a third of the requests in it and two thirds of those in the window before it, as far as they are counted by
// now. The rule takes the larger of these two counts, each summed over all mixers. If each mixer took the larger one of its own
// counts, the sum would exceed that when clients move from one mixer to another; with fixed weights it does not. Part of the
// credit comes from the current window, so that a mixer that has just started and a new service have some.
func (c *requestCounter) minCredited(now, window, from, to time.Duration) int {
	c.advance(now, window)
	var cumulative [sliceCount + 1]int // cumulative[i] counts the requests of the i oldest slices
	for i := range sliceCount {
		cumulative[i+1] = cumulative[i] + c.slices[(c.last+1+int64(i))%sliceCount]
	}
	// between counts the requests of the slices that lie entirely within a window, wherever in its first slice the window begins.
	// The current slice has number sliceCount-1.
	between := func(from, to int) int {
		from, to = max(from+2, 0), min(to, sliceCount)
		if from >= to {
			return 0
		}
		return cumulative[to] - cumulative[from]
	}
	slice := max(1, window/slicesPerWindow)
	low := cumulative[sliceCount]
	// ahead is the number of slices from now to the end of the window.
	for ahead := int(from / slice); ahead <= int(to/slice)+1 && low > 0; ahead++ {
		end := sliceCount + ahead
		low = min(low, (between(end-slicesPerWindow-1, end)+2*between(end-2*slicesPerWindow-1, end-slicesPerWindow-1))/3)
	}
	return low
}
