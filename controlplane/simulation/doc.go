// Package simulation runs the whole control plane in simulated time: the real controllers with their disks, registries and
// HTTP endpoints, and the replicas and pullers of agents and proxies, over an in-memory network. Operators submit concurrent
// changes and send them again, searchers send heartbeats, drain and restart, and machines are killed, lose power or disks,
// are partitioned or replaced. It checks what operators, searchers and proxies observe against the system's requirements.
// Faults and clients are drawn from a seed. The order of two events at the same simulated time is up to the scheduler, so a
// seed reproduces its run only with small differences. The package runs in a testing/synctest bubble and is used by tests
// only.
package simulation
