// Package localsystem runs a small complete system on loopback: three controllers and two fronts as real processes,
// stand-in searchers that report to them, a first configuration, and clients that check the responses they receive.
// `peathollow try system` runs it as a demonstration; tests that need a complete system start it too.
//
// The package contains no logic of the system itself and must not be imported by serving code. Its figures are not
// performance measurements, since all processes share one machine.
package localsystem
