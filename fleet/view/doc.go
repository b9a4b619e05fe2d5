// Package view judges how far one instance may trust what it believes of the others: who is there, whether it stands
// with a majority, and what it may do by that. It decides only: no I/O, no clock, no goroutine; times are since the
// start of the process and are handed in, and the same events give the same verdicts. Words come and go through
// whoever calls it (internal/member in service, fleet/fleetsim in tests). It never takes silence for death in a way that
// lets anybody do more: each doubt narrows what is allowed. What it holds is bounded by the number of instances told.
package view
