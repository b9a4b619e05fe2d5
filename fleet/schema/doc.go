// Package schema negotiates the version of the scan schema that a fleet speaks while searchers, mixers and clients are
// upgraded or rolled back step by step: which version is offered, which one a scan uses from its first part to its last,
// and when a scan is refused because no healthy searcher would understand it. It has no I/O, clock or goroutine. Which
// instances are alive and which may raise the version is decided by fleet/view; the announcements of the others arrive
// through fleet/factstore. A peer that states no version understands the lowest only.
package schema
