// Package faulty is a searcher on loopback for tests. By default it behaves: it works on so many requests at a time,
// queues a few, refuses the rest, answers with id and seal, heeds Target-Searcher and Deadline-Ms and drops a request
// whose connection closes. A script, asked for each request, makes it misbehave in one of the ways that searchers in
// trouble are. Its Ledger knows what ran, by Attempt-Id, to show that nothing ran twice.
//
// The tests of upstream and of the proxy use it. It never stands in for a measurement, and serves nothing but tests.
package faulty
