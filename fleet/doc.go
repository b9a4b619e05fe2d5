// Package fleet puts the pieces of one instance together: its view of the others (fleet/view), what all share
// (fleet/factstore) and what it makes of the fleet's load (fleet/overload). It decides only: no I/O, no clock, no goroutine;
// what is to be told comes out as messages, and advice for the module as data. mixer drives it in service, fleet/fleetsim
// in simulated time.
package fleet
