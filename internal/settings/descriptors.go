package settings

import "cmp"

const (
	// reservedDescriptors is the number of descriptors that the platform reserves for files; the others are for sockets.
	reservedDescriptors = 200
	// defaultDescriptors is the descriptor limit assumed where the settings state none.
	defaultDescriptors = 4096
)

// MaxClientConns returns the maximum number of open connections from external clients: half of the descriptors for sockets. The
// other half is for the connections that this process dials and for its peers.
func (s *Settings) MaxClientConns() int {
	return max(1, (cmp.Or(s.FileLimit, defaultDescriptors)-reservedDescriptors)/2)
}
