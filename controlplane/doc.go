// Package controlplane implements the controller, the process that runs on each core machine. It serves searchers and
// operators over HTTP, replicates the configuration among the controllers through package consensus, keeps the list of
// searchers in package registry, and distributes both to the agents and to the other controllers through package
// distribution. It does the I/O; the decisions are made in consensus, registry and manifest.
package controlplane
