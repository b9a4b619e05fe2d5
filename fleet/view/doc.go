// Package view determines how far one instance may rely on its membership view: which other instances are alive, whether
// this one is in contact with a majority, and which actions that permits. It has no I/O, clock or goroutine: times are
// measured from the start of the process and passed in, and the same sequence of events gives the same results. The caller
// transports the heartbeats (internal/member in service, fleet/fleetsim in tests). Silence is never taken for a failure in
// a way that permits more to any instance: each uncertainty narrows what is allowed. Memory use is bounded by the
// configured number of instances.
package view
