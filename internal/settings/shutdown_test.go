package settings

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestEndsWithinGracePeriod checks for many grace periods that a proxy works for at least the first five sixths of it, that the
// agent ends after its proxy, and that both end within the grace period.
func TestEndsWithinGracePeriod(t *testing.T) {
	for grace := 100 * time.Millisecond; grace <= time.Minute; grace += 100 * time.Millisecond {
		s := Settings{Grace: grace}
		must.Less(t, s.ProxyExitTime(), s.ProxyListenTime())
		must.GreaterEq(t, grace*5/6, s.ProxyExitTime())
		must.Less(t, s.AgentExitTime(), s.ProxyExitTime())
		must.Less(t, grace, s.AgentExitTime())
	}
}
