// Package overload computes, for one instance, what the load of the whole fleet allows it: how much it may spend of
// budgets that all instances share (Budget), which load condition the fleet is in (Detector), and which share of each kind
// of scan is shed, equally at every instance (AllocateCapacity). It has no I/O, clock or goroutine: messages and times are passed
// in, messages to send are returned, and the same sequence of events gives the same results. Which individual scan is
// refused is decided by the dispatch policy, which receives the results of this package as data.
package overload
