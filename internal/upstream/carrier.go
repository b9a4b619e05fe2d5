package upstream

import (
	"slices"

	"peathollow/internal/invariant"
)

// A response names the request that it belongs to, by its Attempt-Id, but not which sending of it. A searcher may send a second
// copy of a response late, in the place of the next one. If the request was sent again on the same connection, the copy of the
// first refusal would be taken for the response to the second sending, which runs. So a connection carries a request only once.

// recordCarrier records the connection if any of the request was written to it.
func (e *Exchange) recordCarrier(c *conn, response *Response) {
	if !response.Wrote {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.carrier = c
}

// earlierCarriers returns the connections that have carried the request before.
func (e *Exchange) earlierCarriers() (carriers []*conn) {
	for _, earlier := range e.Earlier {
		earlier.mu.Lock()
		if earlier.carrier != nil {
			carriers = append(carriers, earlier.carrier)
		}
		earlier.mu.Unlock()
	}
	return carriers
}

// checkCarrier verifies that a connection has not carried the request before.
func checkCarrier(c *conn, earlier []*conn) {
	if slices.Contains(earlier, c) {
		invariant.Violated(invariant.OneDispatchPerConnection, "searcher %s", c.nc.RemoteAddr())
	}
}
