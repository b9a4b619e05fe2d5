// Package periodic calls a function at a fixed interval until a context ends.
package periodic

import (
	"context"
	"time"
)

// Run calls do after each interval until ctx ends. A call that takes longer than the interval delays the next one; missed
// calls are not made up for.
func Run(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}
