package retrybudget

import "time"

const (
	sliceCount = 32 // of a window
	kept       = 2*sliceCount + 1
)

// tally counts the requests of the last two windows, in slices.
type tally struct {
	n    [kept]int
	last int64
}

func (t *tally) turn(now, window time.Duration) {
	at := int64(now) / max(1, int64(window)/sliceCount)
	if at-t.last >= kept {
		t.n = [kept]int{}
		t.last = at
	}
	for t.last < at {
		t.last++
		t.n[t.last%kept] = 0
	}
}

func (t *tally) add(now, window time.Duration) {
	t.turn(now, window)
	t.n[t.last%kept]++
}

// least is for how many requests any window that ends in a span from now on gives room, at the least: a third of those that it holds and
// two thirds of those of the window before it, of which only those that are counted by now are sure. The rule takes whichever of these are
// most in all mixers together. Each mixer taking what is most with it would sum up to more where clients move from one to the other; in fixed
// shares the sum stays below. Of the present window a mixer that has just started, or a service that is new, has at least some.
func (t *tally) least(now, window, from, to time.Duration) int {
	t.turn(now, window)
	var upto [kept + 1]int // upto[i] counts the i oldest slices
	for i := range kept {
		upto[i+1] = upto[i] + t.n[(t.last+1+int64(i))%kept]
	}
	// between counts slices that lie whole in the span, wherever in a slice that begins; kept-1 is the present one.
	between := func(from, to int) int {
		from, to = max(from+2, 0), min(to, kept)
		if from >= to {
			return 0
		}
		return upto[to] - upto[from]
	}
	slice := max(1, window/sliceCount)
	low := upto[kept]
	for ahead := int(from / slice); ahead <= int(to/slice)+1 && low > 0; ahead++ { // the window ends so many slices from now
		end := kept + ahead
		low = min(low, (between(end-sliceCount-1, end)+2*between(end-2*sliceCount-1, end-sliceCount-1))/3)
	}
	return low
}
