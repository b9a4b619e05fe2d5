// Package simulation runs nodes of package consensus with simulated disks, links and clients on one simulated clock. The same
// options give the same run to the last event. Messages are lost, duplicated, delayed and reordered; links are cut in one or
// both directions; processes freeze, are killed, and lose power or their disks; disks stall; machines are replaced. By default
// all faults stay within the tolerance that the nodes are configured with, as the tolerance rules count it.
//
// Invariants are checked after each event. After each run the clients' history is checked for linearizability, and liveness
// is checked once faults have stopped. Package consensus never imports this package.
package simulation
