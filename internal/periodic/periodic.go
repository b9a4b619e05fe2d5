// Package periodic does something again and again until its context ends.
package periodic

import (
	"context"
	"time"
)

// Each calls do after each span till ctx ends. A call that takes longer than the span puts the next one off; none is made up for.
func Each(ctx context.Context, span time.Duration, do func()) {
	tick := time.NewTicker(span)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			do()
		}
	}
}
