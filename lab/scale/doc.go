// Package scale measures what the control plane costs as the fleet grows. Real controllers and one real front run beside
// simulated mixers and searchers, many of them in one process. A simulated agent pulls updates through package distribution as
// a real agent does but serves no proxy; a simulated searcher sends heartbeats but answers no queries.
//
// A run measures CPU time, memory, bytes and messages of each role, and how long a configuration change or a drain takes to
// reach all agents, at fleet sizes that fit on one machine. docs/CAPACITY.md extrapolates the slopes to the design size.
//
// The package is used by `peathollow lab scale`, whose binary also runs the simulated processes, and by its benchmarks. It takes
// no part in a production system, and none of its processes outlives the run.
package scale
