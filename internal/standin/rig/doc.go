// Package rig runs one proxy under test as on a front machine: it gets its configuration over loopback from a
// distribution replica, has scripted searchers (package faulty) behind it and clients in front. The clients record all
// requests sent and responses received. Rig.Check checks these records, rule by rule, against what the searchers recorded;
// it relies only on what was seen on the sockets.
//
// The package is used by tests only: those of proxy and of other packages that distribute configuration to a proxy. It
// uses the proxy through its addresses alone and does not sleep to let something happen (Sync waits until the proxy
// requests the next update). It is not suited to performance measurements.
package rig
