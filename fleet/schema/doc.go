// Package schema decides in which version of the scan schema a fleet speaks while searchers, mixers and clients are
// upgraded in steps, and rolled back: what is offered, what one scan keeps to from its first part to its last, and when a
// scan is refused since nobody sound would understand it. It decides only: no I/O, no clock, no goroutine; who lives and
// who may move the fleet on is told by fleet/view, what the others say by fleet/share. Absent means the lowest version.
package schema
