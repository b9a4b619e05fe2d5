package periodic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second+time.Millisecond)
		defer stop()
		start := time.Now()
		var at []time.Duration
		Run(ctx, time.Second, func() { at = append(at, time.Since(start)) })
		must.Eq(t, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second}, at)
	})
}
