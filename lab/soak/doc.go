// Package soak runs real controllers, agents, proxies and searchers on loopback under random trouble, two or three at a
// time, and judges what clients, searchers and operators saw, together with the invariants that the processes check
// themselves. The seed draws the schedule; the order of events within a run is the machine's own.
//
// No figure that comes from it is a measurement of the system: everything shares one machine.
package soak
