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
	MaxBodyBytes      int           // largest request body, in bytes
	CopyBufferBytes   int           // bytes of the buffer through which an answer is copied
	SmallBodyBytes    int           // bytes of a body that every request may have
	MaxLargeBodies    int           // concurrent requests with a longer body
	MaxWait           time.Duration // upper bound of the deadline that a client asks for
	MaxClients        int           // client connections; idle ones are closed to stay within the limit
	EventQueue        int           // length of the owner's event queue
	MaxBatch          int           // events handled under one clock reading
	Processors        int
	Memory            int64
	GatherInterval    time.Duration // between batches, if parts of one batch share calls
	MaxHeadBytes      int           // largest request head, in bytes
	HeadTimeout       time.Duration // to receive a whole request head, from connecting or from its first byte
	ReadTimeout       time.Duration // to receive a whole request
	NewConnGrace      time.Duration // a connection without a request younger than this is not the first to be evicted
	IdleConnGrace     time.Duration // nor is an idle one younger than this
	WriteTimeout      time.Duration // to write an answer to the client
	IdleTimeout       time.Duration
	Slack             time.Duration // after a scan's deadline, in which an answer still counts
	CloseClientsAfter time.Duration // after SIGTERM: when clients are asked to close and accepting ends
	StopTimeout       time.Duration // after SIGTERM: when all requests must be answered
	FirstListTimeout  time.Duration // for the first list from discovery, if the configuration has one
	Link              link.Limits
	Discovery         discovery.Limits
	Attempt           attempt.Limits
	Members           member.Limits
	DutyShares        int           // number of shares that the shared duties are divided into
	ProbeTimeout      time.Duration // timeout of a probe
	MaxLoadReport     int           // largest load report sent to other instances, in bytes
	AuditTimeout      time.Duration // timeout of a list audit or of an operator's request
	LogFirst          int           // log lines with the same message per second, after which every LogThereafter-th is written
	LogThereafter     int
}

// Descriptors that are neither clients nor searchers: standard streams, listener, poller, discovery and a reserve.
const reservedSockets = 32

// The platform kills the process no sooner than min(longest query timeout, maxKillTimeout) + killExtra
// after SIGTERM.
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
	for _, t := range settings.Policy.Types {
		longest, shortest = max(longest, t.Timeout), min(shortest, t.Timeout)
	}
	stopDeadline := min(longest, maxKillTimeout) + killExtra - stopMargin
	sockets, memory := c.Sockets-reservedSockets, c.MemoryMB<<20
	gatherInterval := time.Duration(0)
	if settings.Policy.PartsPerCall > 1 {
		gatherInterval = settings.Policy.Granularity
	}
	return Limits{
		GatherInterval: gatherInterval,
		MaxBodyBytes:   64 << 10, CopyBufferBytes: 4 << 10, SmallBodyBytes: 4 << 10,
		MaxLargeBodies: max(2, memory/8/largeBodyCost), MaxWait: 2 * longest,
		MaxClients: min(sockets/2, memory/3/clientCost),
		Attempt: attempt.Limits{Connections: min(sockets/2, memory/8/connCost),
			ConnectionsPerSearcher: (settings.MaxOpen + settings.StreamsPerConn - 1) / settings.StreamsPerConn,
			PartsPerConnection:     settings.StreamsPerConn, AnswerHistory: 2 * settings.StreamsPerConn, Open: settings.MaxOpen,
			IdleTimeout: settings.IdleTimeout / 5 * 4, LogInterval: 10 * time.Second},
		EventQueue: 1024, MaxBatch: 256,
		Processors: int(math.Ceil(c.Cores)), Memory: int64(c.MemoryMB) << 20 / 4 * 3,
		// Every client gets a response or a closed connection within three seconds, silent ones too.
		MaxHeadBytes: 8 << 10, HeadTimeout: 2 * time.Second, ReadTimeout: 2500 * time.Millisecond,
		NewConnGrace: 100 * time.Millisecond, IdleConnGrace: 2 * time.Second, IdleTimeout: 15 * time.Second,
		WriteTimeout: 2*longest + 5*time.Second,
		Slack:        settings.AnswerSlack,
		// The last client still has the shortest query timeout left. Clients whose front has no other mixer to switch
		// to, as in a rolling restart, are served on their existing connections until then.
		CloseClientsAfter: max(minAcceptAfterStop, stopDeadline-shortest), StopTimeout: stopDeadline,
		FirstListTimeout: 500 * time.Millisecond,
		Link: link.Limits{MaxFrameBytes: 128 << 10, QueueLength: 1024, ConnectTimeout: settings.ConnectTimeout,
			WriteTimeout: settings.ConnectTimeout, FrameTimeout: settings.ConnectTimeout / 2,
			ReceiptTimeout: settings.ConnectTimeout / 5, LingerTimeout: 2 * settings.ConnectTimeout, MaxProbeAnswer: 256, MaxKeptBuffer: 4 << 10},
		Discovery: discovery.Limits{MaxBodyBytes: int64(min(8<<20, memory/16)), RequestTimeout: 1500 * time.Millisecond, MaxWait: 4 * time.Second,
			RetryPause: time.Second},
		Members: member.Limits{MaxDatagram: 1400, MaxQueue: 256, SendTimeout: time.Second, RejoinInterval: 2 * time.Second, LeaveTimeout: time.Second,
			ProbeInterval: 500 * time.Millisecond},
		DutyShares: min(1<<14, 8*c.Options.Duties.Instances), ProbeTimeout: settings.ConnectTimeout,
		MaxLoadReport: 64, AuditTimeout: 2 * time.Second,
		LogFirst: 5, LogThereafter: 100,
	}
}
