// Package fleet combines the parts of one mixer instance that coordinate it with the others: its membership view
// (fleet/view), the replicated store (fleet/factstore) and the assessment of the fleet's load (fleet/overload). It has no
// I/O, clock or goroutine: the messages to send and the advice for the policy engine are returned as data. Package mixer
// runs it in service, and fleet/fleetsim in simulated time.
package fleet
