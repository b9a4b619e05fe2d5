package settings

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestEndsWithinTheGrace: whatever the grace, the first five sixths of it are used, and the agent outlasts its proxy.
func TestEndsWithinTheGrace(t *testing.T) {
	for grace := 100 * time.Millisecond; grace <= time.Minute; grace += 100 * time.Millisecond {
		s := Settings{Grace: grace}
		must.Less(t, s.ProxyEndsAfter(), s.ProxyListensFor())
		must.GreaterEq(t, grace*5/6, s.ProxyEndsAfter())
		must.Less(t, s.AgentEndsAfter(), s.ProxyEndsAfter())
		must.Less(t, grace, s.AgentEndsAfter())
	}
}
