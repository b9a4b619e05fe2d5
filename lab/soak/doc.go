// Package soak runs real controllers, agents, proxies and searchers on the loopback interface, injects random faults, two or
// three at a time, and checks what clients, searchers and operators observed, together with the invariants that the processes
// check themselves. The seed determines the schedule of faults; the order of events within a run depends on the machine.
//
// Its figures are not measurements of the system, because everything shares one machine.
package soak
