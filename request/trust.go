package request

import (
	"maps"
	"time"
)

// A listed searcher may have ended since its last report, and its address may have been reassigned. A dispatch to that address
// would reach a service that it is not intended for. The address of a searcher is trusted unless there is evidence against it;
// otherwise the identity of the searcher at the address is probed first, which costs one more round trip on a new connection.

const (
	// suspectFor is how long a searcher that could not be reached stays suspect.
	suspectFor = 10 * time.Second
	// suspectLimit is the number of suspects from which no address is trusted: many searchers have ended, and their
	// addresses are being reassigned.
	suspectLimit = 3
	// distrustAfterPause is how long no address is trusted after a pause of the process: the list is as old as the pause
	// was long until the agent, which may have paused too, has pulled the missed updates.
	distrustAfterPause = 3 * time.Second
)

// suspects holds the searchers that were recently found unreachable or misdirected, or whose heartbeats have stopped.
type suspects struct {
	since    map[string]time.Duration // when each was last marked
	prunedAt time.Duration            // when expired ones were last removed
}

// pruneInterval is the interval between removals of expired suspects, of which there may be many.
const pruneInterval = 100 * time.Millisecond

// add marks a searcher as suspect.
func (s *suspects) add(now time.Duration, id string) { s.since[id] = now }

// distrusts reports whether a searcher is suspect, or so many are that no address is trusted.
func (s *suspects) distrusts(now time.Duration, id string) bool {
	if now-s.prunedAt >= pruneInterval {
		s.prunedAt = now
		maps.DeleteFunc(s.since, func(_ string, at time.Duration) bool { return now-at >= suspectFor })
	}
	_, suspected := s.since[id]
	return suspected || len(s.since) >= suspectLimit
}

// ReportUnreachable handles a failed attempt to connect to a searcher's address.
func (c *Coordinator) ReportUnreachable(searcher *Searcher) { c.suspects.add(c.now, searcher.ID) }

// trustsAddress reports whether dispatches may be sent to a searcher's listed address without probing its identity.
func (c *Coordinator) trustsAddress(searcher *Searcher) bool {
	if c.resumedAt > 0 && c.now-c.resumedAt < distrustAfterPause {
		return false
	}
	return !searcher.Silent && c.addressCounts[searcher.Address] == 1 && !c.suspects.distrusts(c.now, searcher.ID)
}

// countAddresses counts the listed searchers per address. Where there are two, one of them has ended.
func (c *Coordinator) countAddresses() {
	c.addressCounts = make(map[string]int, len(c.searchers))
	for _, searcher := range c.searchers {
		c.addressCounts[searcher.Address]++
	}
}
