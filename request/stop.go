package request

import (
	"maps"
	"slices"
	"time"
)

// Stop ends all requests within the given time: those in flight then get their final answers, and later ones are refused.
// Until then requests are handled as usual.
func (c *Coordinator) Stop(within time.Duration) { c.stopAt = max(1, c.now+within) }

// stopDue reports whether the time of Stop has come.
func (c *Coordinator) stopDue() bool { return c.stopAt > 0 && c.now >= c.stopAt }

// endAll gives each request in flight its final answer and cancels its dispatches.
func (c *Coordinator) endAll() {
	c.stopped = true
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		r := c.requests[id]
		final := c.finalAtStop(r)
		r.group.drop(r)
		c.finish(r, final)
		c.cancelDispatches(r)
	}
}

// finalAtStop returns what can be said of a request that has to end now: the parts that are in if they suffice, otherwise
// whether it may have run.
func (c *Coordinator) finalAtStop(r *Request) Final {
	if len(r.Route.FanOut) > 0 && r.answeredParts() >= requiredParts(r.Route) {
		return answer(r)
	}
	final := Final{Kind: Refused, RetryAfter: minRetryAfter}
	if slices.ContainsFunc(r.parts, (*part).mayHaveRun) {
		final = failure(r, c.deadlineReached(r))
	}
	final.Reason = Stopping
	return final
}

// answeredParts returns the number of parts that were answered.
func (r *Request) answeredParts() (n int) {
	for _, p := range r.parts {
		if p.reply != nil {
			n++
		}
	}
	return n
}
