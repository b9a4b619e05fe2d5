// Package fleetsim simulates a fleet of mixers in memory: their decision code (fleet/view, fleet/factstore, fleet/overload
// and the engine of package policy), searchers, clients and a scripted network on one simulated clock. The same settings,
// seed and script give the same sequence of events. The package is for tests only; no code in service imports it. The
// scenarios in stories/ run on it, and the invariants are checked after every event. Injected faults show that the checks
// detect violations.
package fleetsim
