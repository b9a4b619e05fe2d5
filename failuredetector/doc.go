// Package failuredetector decides which mixers are alive, from heartbeats that each mixer sends to a few watchers. A hash
// ring assigns the watchers.
//
// A mixer that pulls updates is known to be alive. One that doesn't may be dead or just without contact to the core, and the
// number of mixers that share the budgets of the system must not be estimated too low. So each mixer sends heartbeats to a few
// others; these report to the controllers which mixers they miss, and a controller marks a mixer silent only when neither its
// pulls nor its heartbeats arrive. Ring assigns the watchers. Detector runs in a mixer: it decides where to send heartbeats
// and which ones are missed. Arbiter runs in a controller: it decides which mixers count as alive by their watchers' reports.
//
// The callers are agent (Detector, over UDP) and controller (Arbiter, with the reports that distribution transfers), each under
// its own lock. The package doesn't read a clock, open a socket or start a goroutine, it keeps no list of mixers of its own
// (that is registry's), and it never marks a mixer as gone.
package failuredetector
