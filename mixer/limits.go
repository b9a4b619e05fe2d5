package mixer

import (
	"math"
	"time"

	"peathollow/attempt"
	"peathollow/internal/config"
	"peathollow/internal/discovery"
	"peathollow/internal/link"
	"peathollow/internal/member"
)

// Limits are all sizes, counts and times that bound a mixer on sockets. They are filled at start from what the
// mixer is told and handed down; none of them chooses what becomes of a scan.
type Limits struct {
	Body          int           // bytes of a request's body
	Copy          int           // bytes of an answer copied at once
	Small         int           // bytes of a body that any request may have
	Big           int           // requests with a longer one in hand at a time
	Hold          time.Duration // a client's wait, at most
	Clients       int           // client connections; idle ones are closed to stay within
	Events        int           // events on their way to the module's goroutine
	Batch         int           // events that share one clock reading
	Processors    int
	Memory        int64
	Gather        time.Duration // between batches, where parts of one batch share calls
	Head          int           // bytes of a request's head
	ClientHead    time.Duration // for a request's head to come in whole, from connecting or its first byte
	ClientRead    time.Duration // for a request to come in whole
	ClientYoung   time.Duration // so long a connection that has sent no request is not the first to make room
	ClientSpare   time.Duration // nor one that lies idle
	ClientWrite   time.Duration // for an answer to be taken
	ClientIdle    time.Duration
	Slack         time.Duration // past a scan's time, in which an answer still counts
	StopTell      time.Duration // after SIGTERM: from when on clients are told to go, and nothing new is accepted
	StopFinish    time.Duration // after SIGTERM: by when all must be answered
	ReadyWait     time.Duration // for discovery's first word, when a list is known
	Link          link.Limits
	Discovery     discovery.Limits
	Attempt       attempt.Limits
	Members       member.Limits
	Shares        int           // into which shared duties fall
	Probe         time.Duration // for a searcher to answer a probe
	Load          int           // bytes of a load report that others are told
	Audit         time.Duration // for an audit of the list, or an operator's question
	LogFirst      int           // log lines of a kind and second, then every LogThereafter-th
	LogThereafter int
}

// Descriptors that are neither clients nor searchers: standard ones, listener, poller, discovery, spare.
const otherSockets = 32

// The platform kills no sooner than the longest query timeout after SIGTERM, cut to this, and so much more.
const (
	killCut   = 3 * time.Second
	killExtra = 700 * time.Millisecond
	stopSpare = 300 * time.Millisecond
	// So long new connections keep coming after SIGTERM, at the least.
	stopAccept = 500 * time.Millisecond
)

// What one of each may hold, in bytes, generously: two goroutines and their buffers and a head for a client, two
// goroutines, buffers and a queue for a connection to a searcher, and for a long body what reading and decoding
// make of it. Clients get a third of the memory at most, the others an eighth each; a third is left to the scans
// in hand, the list and the collector.
const (
	clientCost = 24 << 10
	laneCost   = 16 << 10
	bigCost    = 256 << 10
)

func newLimits(c config.Config) Limits {
	set := &c.Settings
	longest, shortest := time.Duration(0), killCut
	for _, t := range set.Brain.Types {
		longest, shortest = max(longest, t.Timeout), min(shortest, t.Timeout)
	}
	stop := min(longest, killCut) + killExtra - stopSpare
	sockets, memory := c.Sockets-otherSockets, c.MemoryMB<<20
	gather := time.Duration(0)
	if set.Brain.PartsPerCall > 1 {
		gather = set.Brain.Granularity
	}
	return Limits{
		Gather: gather,
		Body:   64 << 10, Copy: 4 << 10, Small: 4 << 10, Big: max(2, memory/8/bigCost), Hold: 2 * longest,
		Clients: min(sockets/2, memory/3/clientCost),
		Attempt: attempt.Limits{Connections: min(sockets/2, memory/8/laneCost),
			ConnectionsPerSearcher: (set.OpenMost + set.Streams - 1) / set.Streams,
			PartsPerConnection:     set.Streams, AnswerHistory: 2 * set.Streams, Open: set.OpenMost,
			IdleTimeout: set.Idle / 5 * 4, LogInterval: 10 * time.Second},
		Events: 1024, Batch: 256,
		Processors: int(math.Ceil(c.Cores)), Memory: int64(c.MemoryMB) << 20 / 4 * 3,
		// Whoever connects is to hear something within three seconds, silent ones too.
		Head: 8 << 10, ClientHead: 2 * time.Second, ClientRead: 2500 * time.Millisecond,
		ClientYoung: 100 * time.Millisecond, ClientSpare: 2 * time.Second, ClientIdle: 15 * time.Second,
		ClientWrite: 2*longest + 5*time.Second,
		Slack:       set.Slack,
		// Who comes last still has the shortest query timeout. Clients whose front has nobody else to lead them to,
		// as when one mixer after another is restarted, are served on the connections they have till then.
		StopTell: max(stopAccept, stop-shortest), StopFinish: stop,
		ReadyWait: 500 * time.Millisecond,
		Link: link.Limits{Frame: 128 << 10, Queue: 1024, Connect: set.Connect, Write: set.Connect, Rest: set.Connect / 2,
			Receipt: set.Connect / 5, Linger: 2 * set.Connect, Word: 256, Keep: 4 << 10},
		Discovery: discovery.Limits{Body: int64(min(8<<20, memory/16)), Call: 1500 * time.Millisecond, Wait: 4 * time.Second,
			Pause: time.Second},
		Members: member.Limits{Packet: 1400, Queue: 256, Send: time.Second, Rejoin: 2 * time.Second, Leave: time.Second,
			Probe: 500 * time.Millisecond},
		Shares: min(1<<14, 8*c.Ours.Duties.Instances), Probe: set.Connect, Load: 64, Audit: 2 * time.Second,
		LogFirst: 5, LogThereafter: 100,
	}
}
