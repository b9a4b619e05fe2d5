// Package agent implements the process that runs beside each proxy: it holds the connection to the control plane and
// passes its updates on to the proxy on the same machine over loopback. It pulls from one controller at a time, preferring a
// near one, and moves to the next when that controller stops responding or reports that it has no contact with a quorum of
// controllers. Agent and proxy can each restart alone: the restarted process gets the state again from the other. The agent
// also exchanges the UDP heartbeats by which mixers detect each other's failures (package failuredetector), and counts the
// mixers for its proxy. It makes no routing decisions and stores nothing on disk.
package agent
