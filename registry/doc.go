// Package registry keeps a replicated list of the searchers that exist, merged from several sources.
//
// Every process of the system (controller, agent, proxy) holds one Registry and joins the updates it
// receives into it. Each controller is a source: it publishes what it received first-hand from
// searchers, numbered by a counter that rises during one incarnation of the process. Peers pull the
// entries they lack by a version vector of these numbers; digests over ranges of ids (anti-entropy)
// find and repair what pulls missed. Joining keeps the greater of two entries of an id, so that
// order, loss and duplication of messages don't matter and a shorter list never undoes a longer one.
//
// Callers are the HTTP handlers and connections of those processes, under their own lock. The package
// doesn't read a clock, open a socket or a file, or start a goroutine, and it doesn't remove a searcher
// from the list just because it became unresponsive: it is first listed as Silent for SilentTTL.
package registry
