// Package duty divides periodic duties among instances that may talk: each target of each kind of duty is looked
// after by one instance at a time, at the intended rate, and taken over when that one dies.
//
// Targets fall into shares by a hash. An instance looks after a share while a majority of all instances has leased it
// to that one; an instance without the lease may take a turn at a target of which it has heard nothing for long, so
// rarely that all such turns together stay under half the intended rate. docs/duties.md has the proof of both bounds.
//
// The package holds decisions only: no sockets, no files, no goroutines, no clock. A caller hands events over (At,
// Members, Targets, Heard, Permit, Done, Leave) and carries out the Actions. The same events give the same actions.
// It never runs a duty without having been asked for a permit at the very moment of the write.
package duty
