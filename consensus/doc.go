// Package consensus keeps the control state of a cluster: one register (Document) whose version only rises, replicated on
// enough machines that no loss within the configured tolerance removes anything acknowledged. It is a state machine without
// I/O, clock or goroutines: the process calls Tick, Receive, Propose, Read and Saved, and carries out the actions that Take
// returns.
//
// An epoch names a primary, its in-sync set and the members. The members keep epochs as witnesses, in a single-decree
// register decided by majority; changes of members are joint (see witness.go, round.go and members.go). The primary
// replicates documents to its whole in-sync set, as in PacificA (primary.go, store.go). Messages that depend on a write are
// sent only after Saved has reported that the write is synced.
//
// The package does not trust leases, does not let a machine with an empty disk vote or found a system, and does not treat a
// document as committed while fewer machines hold it than the tolerance requires. The same events give the same actions.
package consensus
