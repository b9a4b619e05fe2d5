package scale

import (
	"context"
	"encoding/json"
	"io"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Task is the first line that a simulated process reads. It describes what to simulate.
type Task struct {
	Seed              uint64        `json:"seed"`
	Count             int           `json:"count"`
	DistributionAddrs []string      `json:"news"`    // distribution addresses of the seed controllers
	ControlAddrs      []string      `json:"control"` // control addresses of all controllers, which receive heartbeats
	HeartbeatPeriod   time.Duration `json:"period"`
	DrainTime         time.Duration `json:"drain"`
	Services          int           `json:"services"`
	Restart, Crash    float64       // per minute, for the whole process
	FreshConnections  bool          `json:"fresh"`
	StartInterval     time.Duration `json:"apart"` // between the starts of two agents
}

// Command is an instruction that a simulated process reads after its task, one per line.
type Command struct {
	Action  string `json:"do"` // watch, flush, drain or tally
	Version uint64 `json:"version,omitempty"`
	ID      string `json:"id,omitempty"`
	Index   int    `json:"index,omitempty"`
}

// Event is a line that a simulated process writes. Times are Unix nanoseconds; all processes of a run share the machine's clock.
type Event struct {
	Kind    string  `json:"kind"` // ready, known, flushed, drained or tally
	Version uint64  `json:"version,omitempty"`
	ID      string  `json:"id,omitempty"`
	KnownAt []int64 `json:"at,omitempty"` // when each agent first knew
	SentAt  int64   `json:"sent,omitempty"`
	AckedAt int64   `json:"acked,omitempty"`
	Fault   string  `json:"fault,omitempty"`
	Totals  *Totals `json:"tally,omitempty"`
}

// Totals holds the running totals of a simulated process.
type Totals struct {
	Heartbeats       int             `json:"beats"`
	FailedCalls      int             `json:"failed"`
	Dials            int             `json:"dials"`
	BytesSent        int64           `json:"bytes-sent"`
	BytesReceived    int64           `json:"bytes-received"`
	Restarts         int             `json:"restarts"`
	Crashes          int             `json:"crashes"`
	HeartbeatLatency *LatencySummary `json:"took,omitempty"` // of the heartbeats since the last tally
	Merges           int             `json:"merges"`
	PullErrors       int             `json:"link-faults"`
	FirstError       string          `json:"first-fault,omitempty"`
	MinListed        int             `json:"listed-least"`
}

// simulatedMemoryLimit makes the garbage collector work well below the run's own limit, maxMemory.
const simulatedMemoryLimit = 7 << 30

// RunSimulated runs a process of simulated agents or searchers, according to kind, until its input ends.
func RunSimulated(ctx context.Context, kind string, in io.Reader, out io.Writer) error {
	debug.SetMemoryLimit(simulatedMemoryLimit)
	debug.SetGCPercent(50)
	// The parent ends this process by closing its input. Ctrl-C at the terminal is handled by the parent.
	signal.Ignore(syscall.SIGPIPE)
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM)
	defer cancel()
	commands := json.NewDecoder(in)
	var task Task
	if err := commands.Decode(&task); err != nil {
		return errors.Wrap(err, "read task")
	}
	var mu sync.Mutex
	encoder := json.NewEncoder(out)
	emit := func(event Event) {
		mu.Lock()
		defer mu.Unlock()
		if encoder.Encode(event) != nil {
			cancel() // the parent has exited
		}
	}
	var handle func(Command)
	switch kind {
	case "agents":
		handle = startAgents(ctx, task, emit)
	case "searchers":
		handle = startSearchers(ctx, task, emit)
	default:
		return errors.Errorf("unknown kind of simulated process %q: want agents or searchers", kind)
	}
	go func() {
		defer cancel()
		for {
			var command Command
			if commands.Decode(&command) != nil {
				return
			}
			handle(command)
		}
	}()
	<-ctx.Done()
	return nil
}
