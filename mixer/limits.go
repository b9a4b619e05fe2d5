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

// Limits contains all sizes, counts and times that bound a mixer on sockets. They are computed at start from the
// configuration and passed down. None of them affects how a scan is decided.
type Limits struct {
	Body          int           // largest request body, in bytes
	Copy          int           // bytes of the buffer through which an answer is copied
	Small         int           // bytes of a body that every request may have
	Big           int           // concurrent requests with a longer body
	Hold          time.Duration // upper bound of the deadline that a client asks for
	Clients       int           // client connections; idle ones are closed to stay within the limit
	Events        int           // length of the owner's event queue
	Batch         int           // events handled under one clock reading
	Processors    int
	Memory        int64
	Gather        time.Duration // between batches, if parts of one batch share calls
	Head          int           // largest request head, in bytes
	ClientHead    time.Duration // to receive a whole request head, from connecting or from its first byte
	ClientRead    time.Duration // to receive a whole request
	ClientYoung   time.Duration // a connection without a request younger than this is not the first to be evicted
	ClientSpare   time.Duration // nor is an idle one younger than this
	ClientWrite   time.Duration // to write an answer to the client
	ClientIdle    time.Duration
	Slack         time.Duration // after a scan's deadline, in which an answer still counts
	StopTell      time.Duration // after SIGTERM: when clients are asked to close and accepting ends
	StopFinish    time.Duration // after SIGTERM: when all requests must be answered
	ReadyWait     time.Duration // for the first list from discovery, if the configuration has one
	Link          link.Limits
	Discovery     discovery.Limits
	Attempt       attempt.Limits
	Members       member.Limits
	Shares        int           // number of shares that the shared duties are divided into
	Probe         time.Duration // timeout of a probe
	Load          int           // largest load report sent to other instances, in bytes
	Audit         time.Duration // timeout of a list audit or of an operator's request
	LogFirst      int           // log lines with one message per second, then every LogThereafter-th
	LogThereafter int
}

// Descriptors that are neither clients nor searchers: standard streams, listener, poller, discovery and a reserve.
const reservedSockets = 32

// The platform kills the process no sooner than min(longest query timeout, killCut) + killExtra after SIGTERM.
const (
	maxKillTimeout = 3 * time.Second
	killExtra      = 700 * time.Millisecond
	stopMargin     = 300 * time.Millisecond
	// New connections arrive for at least this long after SIGTERM.
	minAcceptAfterStop = 500 * time.Millisecond
)

// Generous estimates of the memory held by one of each, in bytes: two goroutines, their buffers and a head for a
// client; two goroutines, buffers and a queue for a connection to a searcher; and the bytes needed to read and decode a
// large body. Clients get at most a third of the memory and the other two an eighth each. A third is left for the scans
// in flight, the searcher list and the garbage collector.
const (
	clientCost    = 24 << 10
	connCost      = 16 << 10
	largeBodyCost = 256 << 10
)

func newLimits(c config.Config) Limits {
	settings := &c.Settings
	longest, shortest := time.Duration(0), maxKillTimeout
	for _, t := range settings.Brain.Types {
		longest, shortest = max(longest, t.Timeout), min(shortest, t.Timeout)
	}
	stopDeadline := min(longest, maxKillTimeout) + killExtra - stopMargin
	sockets, memory := c.Sockets-reservedSockets, c.MemoryMB<<20
	gatherInterval := time.Duration(0)
	if settings.Brain.PartsPerCall > 1 {
		gatherInterval = settings.Brain.Granularity
	}
	return Limits{
		Gather: gatherInterval,
		Body:   64 << 10, Copy: 4 << 10, Small: 4 << 10, Big: max(2, memory/8/largeBodyCost), Hold: 2 * longest,
		Clients: min(sockets/2, memory/3/clientCost),
		Attempt: attempt.Limits{Connections: min(sockets/2, memory/8/connCost),
			ConnectionsPerSearcher: (settings.OpenMost + settings.Streams - 1) / settings.Streams,
			PartsPerConnection:     settings.Streams, AnswerHistory: 2 * settings.Streams, Open: settings.OpenMost,
			IdleTimeout: settings.Idle / 5 * 4, LogInterval: 10 * time.Second},
		Events: 1024, Batch: 256,
		Processors: int(math.Ceil(c.Cores)), Memory: int64(c.MemoryMB) << 20 / 4 * 3,
		// Every client gets a response or a closed connection within three seconds, silent ones too.
		Head: 8 << 10, ClientHead: 2 * time.Second, ClientRead: 2500 * time.Millisecond,
		ClientYoung: 100 * time.Millisecond, ClientSpare: 2 * time.Second, ClientIdle: 15 * time.Second,
		ClientWrite: 2*longest + 5*time.Second,
		Slack:       settings.Slack,
		// The last client still has the shortest query timeout left. Clients whose front has no other mixer to switch
		// to, as in a rolling restart, are served on their existing connections until then.
		StopTell: max(minAcceptAfterStop, stopDeadline-shortest), StopFinish: stopDeadline,
		ReadyWait: 500 * time.Millisecond,
		Link: link.Limits{Frame: 128 << 10, Queue: 1024, Connect: settings.Connect, Write: settings.Connect, Rest: settings.Connect / 2,
			Receipt: settings.Connect / 5, Linger: 2 * settings.Connect, Word: 256, Keep: 4 << 10},
		Discovery: discovery.Limits{Body: int64(min(8<<20, memory/16)), Call: 1500 * time.Millisecond, Wait: 4 * time.Second,
			Pause: time.Second},
		Members: member.Limits{Packet: 1400, Queue: 256, Send: time.Second, Rejoin: 2 * time.Second, Leave: time.Second,
			Probe: 500 * time.Millisecond},
		Shares: min(1<<14, 8*c.Ours.Duties.Instances), Probe: settings.Connect, Load: 64, Audit: 2 * time.Second,
		LogFirst: 5, LogThereafter: 100,
	}
}
