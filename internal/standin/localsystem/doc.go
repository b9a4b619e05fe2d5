// Package localsystem is a small whole system on loopback: three controllers and two fronts as real processes, stand-in
// searchers that report to them, an operator's first configuration, and clients that know a right answer from a wrong
// one. `peathollow try system` shows it to a newcomer; tests that need the whole start it.
//
// It decides nothing of the system's and is never imported by what serves. No figure that comes from it is a
// measurement of the system: everything shares one machine.
package localsystem
