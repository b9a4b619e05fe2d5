package settings

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestMaxClientConns checks that clients get at most half of the descriptors for sockets, and at least one connection.
func TestMaxClientConns(t *testing.T) {
	for limit, most := range map[int]int{0: 1948, 1: 1, 200: 1, 232: 16, 4100: 1950} {
		s := Settings{FileLimit: limit}
		must.Eq(t, most, s.MaxClientConns(), must.Sprint(limit))
	}
}
