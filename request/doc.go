// Package request handles a client's request in a routing process (mixer) from the moment it was read, with the route that
// was in force then, to its one final answer, together with every dispatch made for it. Package policy admits requests and
// chooses searchers, and package retrybudget limits retries. This package records the services that a request is split over,
// the dispatches in flight and the parts that were answered, and determines which answer the client may get.
//
// Package proxy connects it to sockets; tests use simulated searchers. The package reads no clock, does no I/O and starts no
// goroutine: the caller passes in times and events, and takes the queued actions and carries them out. The same events give
// the same actions. A request that may run only once is never dispatched again after it may have run, and a client is never
// told that its request has not run when it may have.
package request
