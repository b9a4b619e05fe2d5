// Package request is the life of a client's request through a mixer of the system: from the moment it has been read,
// by the route that was in force then, till its one final answer, and of every dispatch made for it. The module in
// policy chooses shards and searchers, retrybudget bounds further dispatches; this package keeps the book: which services a
// request was split over, what is out where, which parts are in, and what the client may be told.
//
// proxy drives it with sockets, tests with a stand-in port. It reads no clock, does no I/O and starts no goroutine:
// time and events are handed in, what is to be done is queued and taken by the caller. The same events give the same
// actions. It never sends a request twice that may run only once, and never tells a client that a request has not run
// which may have.
package request
