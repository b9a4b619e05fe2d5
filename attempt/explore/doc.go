// Package explore tries every order of what the outside can do to the life of an attempt, at small sizes: what it runs
// is attempt.Coordinator itself, with the real module or with a decider that does anything its interface allows. The outside is
// World: connections, readers, the list, the client and the clock, each of whose steps is a choice. Search walks all
// choices depth first, knows a state again by its canonical form, and checks the properties of properties.go after each
// step. What it finds is cut to the least events and told as a story that can be played again. It proves and is never
// imported by what serves. How to add an event, a property or a fault: docs/attempt-states.md.
package explore
