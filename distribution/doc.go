// Package distribution transfers the system's shared state between its processes: the lists of searchers and mixers, the
// configuration in force and the list of controllers. A process that lacks updates pulls them and sends a version vector with
// one component for each source. The server responds as soon as it has updates, or after a while without any (a long poll).
// The same protocol, gob over TCP, runs between controllers, from a controller to an agent and over loopback from an agent to
// its proxy.
//
// The package transfers data and bounds its size; the packages registry and manifest decide which version is newer. Replica
// is the copy of the shared state that one process holds. Nothing here is written to disk.
package distribution
