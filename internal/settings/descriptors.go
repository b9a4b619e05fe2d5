package settings

import "cmp"

const (
	// descriptorsKept are those that the platform keeps for files; the rest is for sockets.
	descriptorsKept = 200
	// descriptorsUsual are there where nothing is told.
	descriptorsUsual = 4096
)

// CallersMost is how many connections callers from outside may have open: half of what there is for sockets, the other half being
// for what this process dials and for its peers.
func (s *Settings) CallersMost() int {
	return max(1, (cmp.Or(s.FileLimit, descriptorsUsual)-descriptorsKept)/2)
}
