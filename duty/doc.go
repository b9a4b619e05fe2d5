// Package duty divides periodic duties among cooperating instances: one instance at a time runs the duty for each
// target at the intended rate, and another takes the target over when that instance fails.
//
// Targets are assigned to shares by a hash. An instance runs the duties of a share while it holds a lease on the share,
// granted by a majority of all instances. An instance without the lease may run a duty out of lease if, as far as
// it knows, the target has not answered for a long time. Such runs are so rare that all of them together stay below half
// the intended rate. docs/duties.md proves both bounds.
//
// The package only makes decisions: it has no sockets, files, goroutines or clock. The caller passes events in
// (Advance, SetMembers, SetTargets, Receive, Permit, Done, Leave) and carries out the Actions. The same events give the
// same actions. No duty runs unless Permit was asked at the moment of the write.
package duty
