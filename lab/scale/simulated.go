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
	Seed           uint64        `json:"seed"`
	Count          int           `json:"count"`
	News           []string      `json:"news"`    // distribution addresses of the seed controllers
	Control        []string      `json:"control"` // control addresses of all controllers, which receive heartbeats
	Period         time.Duration `json:"period"`
	Drain          time.Duration `json:"drain"`
	Services       int           `json:"services"`
	Restart, Crash float64       // per minute, for the whole process
	Fresh          bool          `json:"fresh"`
	Apart          time.Duration `json:"apart"` // between the starts of two agents
}

// Order is a command that a simulated process reads after its task, one per line.
type Order struct {
	Do      string `json:"do"` // watch, flush, drain or tally
	Version uint64 `json:"version,omitempty"`
	ID      string `json:"id,omitempty"`
	Index   int    `json:"index,omitempty"`
}

// Event is a line that a simulated process writes. Times are Unix nanoseconds; all processes of a run share the machine's clock.
type Event struct {
	Kind    string  `json:"kind"` // ready, known, flushed, drained or tally
	Version uint64  `json:"version,omitempty"`
	ID      string  `json:"id,omitempty"`
	At      []int64 `json:"at,omitempty"` // when each agent first knew
	Sent    int64   `json:"sent,omitempty"`
	Acked   int64   `json:"acked,omitempty"`
	Fault   string  `json:"fault,omitempty"`
	Tally   *Tally  `json:"tally,omitempty"`
}

// Tally holds the running totals of a simulated process.
type Tally struct {
	Beats    int     `json:"beats"`
	Failed   int     `json:"failed"`
	Dials    int     `json:"dials"`
	Sent     int64   `json:"bytes-sent"`
	Received int64   `json:"bytes-received"`
	Restarts int     `json:"restarts"`
	Crashes  int     `json:"crashes"`
	Took     *Spread `json:"took,omitempty"` // of the heartbeats since the last tally
	Merges   int     `json:"merges"`
	Faults   int     `json:"link-faults"`
	First    string  `json:"first-fault,omitempty"`
	Listed   int     `json:"listed-least"`
}

// simulatedMemoryLimit makes the garbage collector work well below the run's own limit, maxMemory.
const simulatedMemoryLimit = 7 << 30

// Hollow runs a process of simulated agents or searchers, according to kind, until its input ends.
func Hollow(ctx context.Context, kind string, in io.Reader, out io.Writer) error {
	debug.SetMemoryLimit(simulatedMemoryLimit)
	debug.SetGCPercent(50)
	// The parent ends this process by closing its input. Ctrl-C at the terminal is handled by the parent.
	signal.Ignore(syscall.SIGPIPE)
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM)
	defer cancel()
	orders := json.NewDecoder(in)
	var task Task
	if err := orders.Decode(&task); err != nil {
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
	var handle func(Order)
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
			var order Order
			if orders.Decode(&order) != nil {
				return
			}
			handle(order)
		}
	}()
	<-ctx.Done()
	return nil
}
