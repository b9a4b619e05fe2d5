package distribution

import "github.com/go-faster/errors"

// A replica belongs to one system, identified by consensus.SystemID; 0 means none yet. A response from another system is refused
// as a whole: an address may have been reassigned to a machine of another system, and versions of different systems can't be
// compared.

var errForeignSystem = errors.New("peer belongs to another system")

// SetSystem sets the system that this process belongs to; 0 changes nothing.
func (r *Replica) SetSystem(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id != 0 {
		r.system = id
	}
}

// checkSystem returns an error if a response comes from another system. A process that belongs to no system yet joins that of
// the first server in contact with a quorum of controllers; a server without contact may have the disk of another system.
func (r *Replica) checkSystem(resp *PullResponse, peer bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case resp.System == 0 || resp.System == r.system:
	case r.system != 0:
		return errForeignSystem
	case !peer && !resp.Alone:
		r.system = resp.System
	}
	return nil
}
