// Package ferry carries the system's news between its own processes: which searchers and mixers there are, which configuration is
// in force, which core machines serve. Whoever lacks something pulls it, with a vector of versions, one for each
// source; whoever has it answers when there is something to say, or after a while. The same protocol, gob over TCP,
// runs between harbours, from a harbour to a tender and over loopback from a tender to its quay.
//
// It moves bytes and bounds them; what is newer than what is decided in roster and manifest. A Board is what one
// process holds. Nothing here is written to disk.
package ferry
