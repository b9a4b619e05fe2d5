// Package faulty provides a searcher on loopback whose faults are scripted, for use in tests.
//
// By default the searcher follows the protocol: it runs a limited number of requests at a time, queues a few more and
// refuses the rest, answers with attempt ID and seal, respects Target-Searcher and Deadline-Ms, and abandons a request
// whose connection closes. A script, which is called for each request, selects one of the faults that failing searchers
// show. The Ledger records which requests ran, by Attempt-Id, so that a test can check that none ran twice.
//
// The package is used by tests only, such as those of upstream and proxy. It is not suited to performance measurements.
package faulty
