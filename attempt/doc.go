// Package attempt is the life of a scan's parts and of the connections they go out on, from the moment a scan is
// admitted till all that was sent for it has ended. It is what serves, and free of I/O, clock and goroutines: time is
// handed in, connections stand behind a port, events come one at a time and in any order the outside can think of. The
// module decides what goes where and when; this package keeps what is believed out equal to what passes on the wires,
// and holds the rules that no decision may break: one final answer, nothing after it, no second copy where copies are
// barred. mixer drives it with sockets, attempt/explore with choices.
package attempt
