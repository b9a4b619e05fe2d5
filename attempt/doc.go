// Package attempt coordinates the parts of scans and the connections on which they are sent, from the admission of a scan
// until every attempt made for it has ended. It is the code that serves requests, but does no I/O, reads no clock and starts
// no goroutines: the time is passed in, connections are behind an interface, and events arrive one at a time and in any
// possible order. The policy decides what is sent where and when. This package keeps the attempts recorded as in flight equal
// to those on the connections, and enforces the rules that no decision may break: a scan gets one final answer, nothing is
// sent for it after that, and no second copy of a part is in flight where hedging is off. Package mixer drives it with
// sockets, package attempt/explore with enumerated choices.
package attempt
