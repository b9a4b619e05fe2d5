package logbound

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLimiter checks that the first lines of each second are allowed, and that the next allowed line gets the number of
// suppressed ones.
func TestLimiter(t *testing.T) {
	l := Limiter{PerSecond: 2}
	now := time.Now()
	for i, want := range []bool{true, true, false, false} {
		ok, _ := l.Allow(now.Add(time.Duration(i) * time.Millisecond))
		must.Eq(t, want, ok)
	}
	ok, suppressed := l.Allow(now.Add(time.Second))
	must.True(t, ok)
	must.Eq(t, 2, suppressed)
	_, suppressed = l.Allow(now.Add(time.Second))
	must.Eq(t, 0, suppressed)
}
