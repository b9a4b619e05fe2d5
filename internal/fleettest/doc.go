// Package fleettest starts several processes of the program on loopback, with stand-in searchers and discovery, and
// exposes them to faults: they can be killed, stopped and continued, terminated, restarted and partitioned. A partition is
// made with keys: groups that seal their messages with different keys receive nothing from each other, as if every packet
// were lost, without a proxy between each pair. The package is test code. All its waits are bounded, and it ends the
// processes it started, by their process IDs.
package fleettest
