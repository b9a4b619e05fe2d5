package attempt

import (
	"slices"
	"time"

	"peathollow/internal/proto"
	"peathollow/policy"
)

// searchers.go holds the searchers, their connections, and the choice of a connection for an attempt.

// searcherTable holds the known searchers. The policy refers to them by index.
type searcherTable struct {
	entries     []*searcher
	byName      map[string]int
	freeIndexes []int // indexes of removed searchers, for reuse
	connections int   // open connections to all searchers
}

func newSearcherTable() searcherTable { return searcherTable{byName: map[string]int{}} }

// searcher is a listed backend with its connections.
type searcher struct {
	host        proto.Host
	connections []*Connection
	inFlight    int // attempts in flight
}

// Connection is a connection to a searcher and the attempts in flight on it.
type Connection struct {
	coordinator  *Coordinator
	searcher     *searcher
	transport    TransportConn
	inFlight     map[*part]int               // the index of the attempt in flight of each part
	cancels      map[uint64]cancelledAttempt // cancels not confirmed yet, by the sequence number of their frame
	history      answerHistory
	lastUsed     time.Duration
	lastReceived time.Duration // when the last data from the searcher arrived
	retired      bool          // accepts no new attempts, and closes once empty
	closing      bool          // accepts no frames and no answers; attempts wait for the searcher's confirmation
	closed       bool
	lossOutcome  policy.Outcome // outcome of the attempts that were in flight when closing began
}

// cancelledAttempt is an attempt whose cancel is not confirmed yet.
type cancelledAttempt struct {
	part  *part
	index int
}

// answerHistory remembers the last parts that were in flight on a connection. It distinguishes late and duplicate answers
// from an answer to a part that was never sent there, which means that the two ends are out of step.
type answerHistory struct {
	recent []pastPart // a ring buffer once it reaches Limits.AnswerHistory
	next   int
}

// pastPart is a part that is no longer in flight.
type pastPart struct {
	wireID    string
	scanID    uint64
	answerDue bool // no answer to it was seen yet
}

// add records a part that is no longer in flight.
func (h *answerHistory) add(wireID string, scanID uint64, answerDue bool, limit int) {
	// An earlier entry with the same id is replaced. Once it is answered, the two are the same to any later answer.
	if i := slices.IndexFunc(h.recent, func(past pastPart) bool { return past.wireID == wireID }); i >= 0 {
		h.recent[i] = pastPart{wireID, scanID, answerDue || h.recent[i].answerDue && h.recent[i].scanID == scanID}
		return
	}
	if len(h.recent) < limit {
		h.recent, h.next = append(h.recent, pastPart{}), len(h.recent)
	}
	h.recent[h.next] = pastPart{wireID, scanID, answerDue}
	h.next = (h.next + 1) % limit
}

// answerReceived marks the answer under an id as seen and reports whether the id is known.
func (h *answerHistory) answerReceived(wireID string) bool {
	i := slices.IndexFunc(h.recent, func(past pastPart) bool { return past.wireID == wireID })
	if i >= 0 {
		h.recent[i].answerDue = false
	}
	return i >= 0
}

// answerDue reports whether an answer under this id is still expected for an earlier part.
func (h *answerHistory) answerDue(wireID string) bool {
	return slices.ContainsFunc(h.recent, func(past pastPart) bool { return past.answerDue && past.wireID == wireID })
}

// anyAnswerDue reports whether an answer to any earlier part is still expected.
func (h *answerHistory) anyAnswerDue() bool {
	return slices.ContainsFunc(h.recent, func(past pastPart) bool { return past.answerDue })
}

// answerDueToOther reports whether an answer under the id of the part is still expected for another scan.
func (h *answerHistory) answerDueToOther(p *part) bool {
	return slices.ContainsFunc(h.recent, func(past pastPart) bool {
		return past.answerDue && past.wireID == p.wireID && past.scanID != p.scan.id
	})
}

// attemptReturned removes an attempt that is no longer in flight. answerDue: its answer may still arrive.
func (conn *Connection) attemptReturned(p *part, index int, answerDue bool, now time.Duration) {
	if n, ok := conn.inFlight[p]; ok && n == index {
		delete(conn.inFlight, p)
		conn.history.add(p.wireID, p.scan.id, answerDue, conn.coordinator.limits.AnswerHistory)
	}
	if conn.lastUsed = now; conn.retired {
		conn.retire()
	}
}

// findByWireID finds the part in flight under a wire id that now belongs to another part, because the client reused its
// request id.
func (conn *Connection) findByWireID(wireID string) (*part, int, bool) {
	for p, index := range conn.inFlight {
		if p.wireID == wireID {
			return p, index, true
		}
	}
	return nil, 0, false
}

// mayMisattribute reports whether an answer that may still come on the connection could be taken for the answer to this part:
// one that is expected for an earlier request with the same id, or a second copy of the answer to an earlier attempt at this
// part. The latter does no harm where a part may run any number of times.
func (conn *Connection) mayMisattribute(p *part) bool {
	if q, _, ok := conn.findByWireID(p.wireID); ok && q.scan != p.scan {
		return true
	}
	return conn.history.answerDueToOther(p) || !conn.coordinator.repeatable(p) && conn.carriedBefore(p)
}

// carriedBefore reports whether an earlier attempt at the part was sent on the connection.
func (conn *Connection) carriedBefore(p *part) bool {
	return slices.ContainsFunc(p.attempts, func(a attempt) bool { return a.conn == conn })
}

// retire stops a connection from accepting new attempts and closes it once it is empty.
func (conn *Connection) retire() {
	conn.retired = true
	if len(conn.inFlight) == 0 {
		conn.transport.Close()
	}
}

// ApplyList applies a searcher list from discovery and passes it to the policy.
func (c *Coordinator) ApplyList(mode policy.ListMode, list proto.List) {
	c.policy.ListBegin(mode)
	if mode == policy.Unavailable {
		c.transport.ListUnavailable()
		return
	}
	if mode != policy.Changes {
		for _, s := range c.searchers.entries {
			s.host.State = policy.Gone
		}
	}
	for _, host := range list.Hosts {
		i, ok := c.searchers.byName[host.Name]
		if !ok {
			if host.State == policy.Gone {
				continue
			}
			i = c.searchers.addEntry(host.Name)
		}
		s := c.searchers.entries[i]
		if host.Addr == "" {
			host.Addr = s.host.Addr
		}
		if s.host.Addr != host.Addr {
			c.Renew(i)
		}
		s.host = host
		c.passEntry(i)
	}
	c.policy.ListEnd(mode)
	c.removeGone()
	c.listVersion = list.Version
	c.transport.ListApplied(list)
}

// addEntry assigns an index to a searcher, reusing the index of a removed one if possible.
func (t *searcherTable) addEntry(name string) int {
	i := len(t.entries)
	if n := len(t.freeIndexes); n > 0 {
		i, t.freeIndexes = t.freeIndexes[n-1], t.freeIndexes[:n-1]
	} else {
		t.entries = append(t.entries, nil)
	}
	t.entries[i] = &searcher{}
	t.byName[name] = i
	return i
}

// removeGone drops searchers that were removed from the list: their connections close once empty, after which their
// indexes are reused. Otherwise the tables would grow without bound where searchers are replaced under new names.
func (c *Coordinator) removeGone() {
	for i, s := range c.searchers.entries {
		if s.host.Name == "" || s.host.State != policy.Gone {
			continue
		}
		c.Renew(i)
		if len(s.connections) == 0 && s.inFlight == 0 {
			delete(c.searchers.byName, s.host.Name)
			c.searchers.entries[i] = &searcher{}
			c.searchers.freeIndexes = append(c.searchers.freeIndexes, i)
			c.policy.Forget(i)
		}
	}
}

// passEntry passes the list entry of one searcher to the policy.
func (c *Coordinator) passEntry(i int) {
	h := &c.searchers.entries[i].host
	started := policy.LongAgo
	if !h.Born.IsZero() {
		started = h.Born.Sub(c.start)
	}
	c.policy.ListEntry(i, h.State, h.Weight, started, h.Shard)
}

// passFullList passes the known list to a policy that was restarted.
func (c *Coordinator) passFullList() {
	c.policy.ListBegin(policy.Cached)
	for i, s := range c.searchers.entries {
		if s.host.Name != "" {
			c.passEntry(i)
		}
	}
	c.policy.ListEnd(policy.Cached)
}

// connectionFor returns a connection with room for the parts, or opens one. Where the limits allow no further connection,
// it returns the one with the fewest attempts in flight, or nil if the searcher has none.
func (c *Coordinator) connectionFor(s *searcher, parts int) *Connection {
	var leastLoaded *Connection
	usable := 0
	for _, conn := range s.connections {
		if conn.retired || conn.transport.Closing() {
			continue
		}
		if len(conn.inFlight)+parts <= c.limits.PartsPerConnection {
			return conn
		}
		if usable++; leastLoaded == nil || len(conn.inFlight) < len(leastLoaded.inFlight) {
			leastLoaded = conn
		}
	}
	if usable >= c.limits.ConnectionsPerSearcher || c.searchers.connections >= c.limits.Connections {
		return leastLoaded
	}
	conn := &Connection{coordinator: c, searcher: s, inFlight: map[*part]int{}, cancels: map[uint64]cancelledAttempt{},
		lastUsed: c.now}
	conn.transport = c.transport.Open(s.host.Addr, conn)
	s.connections = append(s.connections, conn)
	c.searchers.connections++
	return conn
}

// Renew implements policy.Actions: the next attempt at the searcher uses a new connection.
func (c *Coordinator) Renew(searcherIndex int) {
	for _, conn := range c.searchers.entries[searcherIndex].connections {
		conn.retire()
	}
}

// Gossip implements policy.Actions. Mixers on sockets are connected to each other only for duties, so the settings disable
// gossip.
func (c *Coordinator) Gossip([]byte) {}

// closeIdle closes idle connections before the searchers do, because a part being written when the searcher closes would
// be lost.
func (c *Coordinator) closeIdle() {
	c.timers.add(c.now+c.limits.IdleTimeout/10, task{kind: idleSweep})
	c.removeGone()
	for _, s := range c.searchers.entries {
		for _, conn := range s.connections {
			if len(conn.inFlight) == 0 && c.now-conn.lastUsed >= c.limits.IdleTimeout && !conn.retired {
				conn.retire()
			}
		}
	}
}
