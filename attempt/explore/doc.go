// Package explore is an explicit-state model checker for attempt.Coordinator. It runs the coordinator itself, with the
// production policy engine or with a policy that may do anything its interface allows, and enumerates every order of
// external events at small sizes.
//
// Simulation stands for everything outside the coordinator: connections, searchers, the searcher list, the client and the
// clock. Each of its steps is a choice. Search enumerates all choices depth first, recognizes visited states by a canonical
// form, and checks the properties of properties.go after each step. A violation is reduced to a minimal sequence of events
// and written as a scenario that can be replayed. Searchers are called readers in flags and scenario files.
//
// The package only verifies: no serving code imports it. docs/attempt-states.md describes how to add an event, a property
// or a fault.
package explore
