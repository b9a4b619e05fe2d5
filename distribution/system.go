package distribution

import "github.com/go-faster/errors"

// A board belongs to one system, as consensus.SystemID tells systems apart; 0 stands for none yet. News, configurations and lists
// of another system are refused whole: an address may go to a machine of another one, and versions compare across systems to
// nothing that has a meaning.

var errAnotherSystem = errors.New("peer belongs to another system")

// SetSystem tells the system that this process belongs to; 0 changes nothing.
func (b *Board) SetSystem(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id != 0 {
		b.system = id
	}
}

// admit tells whether an answer may be taken, by the system that it comes from. A process that is told of none belongs to that of
// the first server that is in touch with its core: one that is not may have the disk of another system.
func (b *Board) admit(c *Cargo, peer bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case c.System == 0 || c.System == b.system:
	case b.system != 0:
		return errAnotherSystem
	case !peer && !c.Alone:
		b.system = c.System
	}
	return nil
}
