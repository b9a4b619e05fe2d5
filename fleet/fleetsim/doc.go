// Package fleetsim is an in-memory fleet: N mixers' deciding pieces (fleet/view, fleet/factstore, fleet/overload and the
// module of package policy) with searchers, clients and a scripted network on one simulated clock. The same settings,
// seed and script give the same run to the last event. It proves and is never imported by what decides or moves: stories
// in stories/ are played on it, and each event is followed by checks of the rules, which planted faults show to work.
package fleetsim
