// Package fleettest starts several processes of the program on loopback, with stand-in searchers and discovery, and does
// to them what happens to processes: killed, stopped and continued, told to end, restarted, and cut off from each other.
// A cut is made with keys: two sides that seal with keys of their own hear nothing of each other, as if no packet passed,
// and no proxy has to stand between each pair. It is proving code, bounded in time; what it started it ends, by id.
package fleettest
