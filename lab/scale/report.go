package scale

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report holds the options and the results of a run.
type Report struct {
	Options
	Date               string        `json:"date"`
	Go                 string        `json:"go"`
	Cores              int           `json:"machine-cores"`
	LoadBefore         string        `json:"load-average-before"`
	LoadAfter          string        `json:"load-average-after"`
	ConfigurationBytes int           `json:"configuration-bytes"`
	StartSeconds       float64       `json:"start-s"` // until all mixers knew all searchers
	Windows            []Window      `json:"windows"`
	Changes            []Propagation `json:"changes"`
	Drains             []Propagation `json:"drains"`
	Faults             []string      `json:"faults,omitempty"`
	Simulated          []Totals      `json:"hollow"` // totals of the simulated agents, then of the simulated searchers
}

// Window holds what was measured in one phase of a run: the quiet phase, or the busy one with changes and drains.
type Window struct {
	Name              string         `json:"name"`
	Seconds           float64        `json:"seconds"`
	Processes         []ProcessUsage `json:"processes"`
	Traffic           []Traffic      `json:"links"`
	HeartbeatRate     float64        `json:"beats-a-second"`
	ConnectionRate    float64        `json:"connections-a-second"`
	BytesPerHeartbeat float64        `json:"bytes-a-beat"` // in both directions, without packet headers
	HeartbeatLatency  LatencySummary `json:"beat"`
	MergeRate         float64        `json:"answers-a-second-and-hollow-agent"`
	LoadAverage       string         `json:"load-average"`
}

// ProcessUsage holds the resources that a process used in a window. CPUShare is a fraction of one core.
type ProcessUsage struct {
	Name         string  `json:"name"`
	Role         string  `json:"role"`
	CPUSeconds   float64 `json:"processor-s"`
	CPUShare     float64 `json:"processor-share"`
	PeakMemoryMB float64 `json:"memory-peak-mb"`
	MemoryMB     float64 `json:"memory-mb"`
}

// Traffic sums the traffic of all connections from one role to one port of the controllers.
type Traffic struct {
	From         string  `json:"from"`
	To           string  `json:"to"`
	Connections  int     `json:"connections"`
	BytesUp      float64 `json:"bytes-a-second-to-controllers"`
	BytesDown    float64 `json:"bytes-a-second-from-controllers"`
	SegmentsUp   float64 `json:"segments-a-second-to-controllers"` // each carries a message, or a piece of a long one
	SegmentsDown float64 `json:"segments-a-second-from-controllers"`
}

// Propagation holds how long a configuration change or a drain took to reach the simulated agents.
type Propagation struct {
	Update  string         `json:"what"`
	Bytes   int            `json:"bytes,omitempty"`
	AckMS   float64        `json:"acknowledged-ms"` // from sending to the acknowledgement
	Latency LatencySummary `json:"known"`           // from sending until an agent knew it
	Agents  int            `json:"of"`              // number of simulated agents
	Fault   string         `json:"fault,omitempty"`
}

// Print writes the report as tables.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%d mixers, %d searchers, %d controllers, seed %d; configuration of %d routes, %d shards, %d bytes; all knew all after %.1f s\n",
		r.Mixers, r.Searchers, r.Controllers, r.Seed, r.Routes, r.Shards, r.ConfigurationBytes, r.StartSeconds)
	fmt.Fprintf(w, "%s, %s, %d cores, load average %s before, %s after\n", r.Date, r.Go, r.Cores, r.LoadBefore, r.LoadAfter)
	for _, window := range r.Windows {
		fmt.Fprintf(w, "\n%s, %.1f s: %.0f beats/s, %.0f B each, p50 %.2f ms, p99 %.2f ms, worst %.1f ms; %.1f connections/s\n",
			window.Name, window.Seconds, window.HeartbeatRate, window.BytesPerHeartbeat, window.HeartbeatLatency.P50,
			window.HeartbeatLatency.P99, window.HeartbeatLatency.Max, window.ConnectionRate)
		fmt.Fprintln(w, "process\trole\tcore\tMB now\tMB peak")
		for _, process := range window.Processes {
			fmt.Fprintf(w, "%s\t%s\t%.2f %%\t%.1f\t%.1f\n", process.Name, process.Role, 100*process.CPUShare, process.MemoryMB, process.PeakMemoryMB)
		}
		fmt.Fprintln(w, "link\tconnections\tB/s up\tB/s down\tsegments/s up\tdown")
		for _, traffic := range window.Traffic {
			fmt.Fprintf(w, "%s to %s\t%d\t%.0f\t%.0f\t%.1f\t%.1f\n", traffic.From, traffic.To, traffic.Connections,
				traffic.BytesUp, traffic.BytesDown, traffic.SegmentsUp, traffic.SegmentsDown)
		}
	}
	fmt.Fprintln(w, "\nnews\tacknowledged\tknown to\tp50\tp99\tworst")
	for _, list := range [][]Propagation{r.Changes, r.Drains} {
		for _, propagation := range list {
			fmt.Fprintf(w, "%s\t%.0f ms\t%d of %d\t%.0f ms\t%.0f ms\t%.0f ms\t%s\n", propagation.Update, propagation.AckMS,
				propagation.Latency.Count, propagation.Agents, propagation.Latency.P50, propagation.Latency.P99,
				propagation.Latency.Max, propagation.Fault)
		}
	}
	for _, fault := range r.Faults {
		fmt.Fprintf(w, "fault: %s\n", fault)
	}
	return w.Flush()
}
