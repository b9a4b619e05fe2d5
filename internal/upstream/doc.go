// Package upstream keeps one proxy's connections to one searcher and sends requests over them by HTTP/1.1, one request
// at a time per connection. The proxy calls it after it has chosen a searcher: Pool.Do blocks the calling goroutine and
// returns the outcome of the request; Exchange.Cancel, which may be called from any goroutine, ends the request by
// closing its connection.
//
// Responses are validated strictly: one that cannot be shown to belong to this request, complete and unencoded, has the
// outcome InvalidResponse. Where it is uncertain whether the request has run, the outcome is one after which it may
// have; Response.NeverExecuted reports when it certainly has not.
//
// The package never repeats a request of which a byte was written, never waits for a free connection, and neither selects
// nor rates searchers: the caller decides what an outcome means for the searcher, the retry budget and the client.
package upstream
