package scale

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report holds the options and the results of a run.
type Report struct {
	Options
	Date     string   `json:"date"`
	Go       string   `json:"go"`
	Cores    int      `json:"machine-cores"`
	LoadFrom string   `json:"load-average-before"`
	LoadTo   string   `json:"load-average-after"`
	Document int      `json:"configuration-bytes"`
	StartS   float64  `json:"start-s"` // until all mixers knew all searchers
	Windows  []Window `json:"windows"`
	Changes  []News   `json:"changes"`
	Drains   []News   `json:"drains"`
	Faults   []string `json:"faults,omitempty"`
	Hollow   []Tally  `json:"hollow"` // totals of the simulated agents, then of the simulated searchers
}

// Window holds what was measured in one phase of a run: the quiet phase, or the busy one with changes and drains.
type Window struct {
	Name      string  `json:"name"`
	Seconds   float64 `json:"seconds"`
	Processes []Took  `json:"processes"`
	Links     []Link  `json:"links"`
	Beats     float64 `json:"beats-a-second"`
	Dials     float64 `json:"connections-a-second"`
	BeatBytes float64 `json:"bytes-a-beat"` // in both directions, without packet headers
	Beat      Spread  `json:"beat"`
	Merges    float64 `json:"answers-a-second-and-hollow-agent"`
	Load      string  `json:"load-average"`
}

// Took holds the resources that a process used in a window. Share is a fraction of one core.
type Took struct {
	Name   string  `json:"name"`
	Role   string  `json:"role"`
	CPU    float64 `json:"processor-s"`
	Share  float64 `json:"processor-share"`
	PeakMB float64 `json:"memory-peak-mb"`
	NowMB  float64 `json:"memory-mb"`
}

// Link sums the traffic of all connections from one role to one port of the controllers.
type Link struct {
	From     string  `json:"from"`
	To       string  `json:"to"`
	Conns    int     `json:"connections"`
	Up       float64 `json:"bytes-a-second-to-controllers"`
	Down     float64 `json:"bytes-a-second-from-controllers"`
	UpMsgs   float64 `json:"segments-a-second-to-controllers"` // each carries a message, or a piece of a long one
	DownMsgs float64 `json:"segments-a-second-from-controllers"`
}

// News holds how long a configuration change or a drain took to reach the simulated agents.
type News struct {
	What  string  `json:"what"`
	Bytes int     `json:"bytes,omitempty"`
	Ack   float64 `json:"acknowledged-ms"` // from sending to the acknowledgement
	Known Spread  `json:"known"`           // from sending until an agent knew it
	Of    int     `json:"of"`              // number of simulated agents
	Fault string  `json:"fault,omitempty"`
}

// Print writes the report as tables.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%d mixers, %d searchers, %d controllers, seed %d; configuration of %d routes, %d shards, %d bytes; all knew all after %.1f s\n",
		r.Mixers, r.Search, r.Core, r.Seed, r.Routes, r.Shards, r.Document, r.StartS)
	fmt.Fprintf(w, "%s, %s, %d cores, load average %s before, %s after\n", r.Date, r.Go, r.Cores, r.LoadFrom, r.LoadTo)
	for _, window := range r.Windows {
		fmt.Fprintf(w, "\n%s, %.1f s: %.0f beats/s, %.0f B each, p50 %.2f ms, p99 %.2f ms, worst %.1f ms; %.1f connections/s\n", window.Name, window.Seconds,
			window.Beats, window.BeatBytes, window.Beat.P50, window.Beat.P99, window.Beat.Worst, window.Dials)
		fmt.Fprintln(w, "process\trole\tcore\tMB now\tMB peak")
		for _, process := range window.Processes {
			fmt.Fprintf(w, "%s\t%s\t%.2f %%\t%.1f\t%.1f\n", process.Name, process.Role, 100*process.Share, process.NowMB, process.PeakMB)
		}
		fmt.Fprintln(w, "link\tconnections\tB/s up\tB/s down\tsegments/s up\tdown")
		for _, link := range window.Links {
			fmt.Fprintf(w, "%s to %s\t%d\t%.0f\t%.0f\t%.1f\t%.1f\n", link.From, link.To, link.Conns, link.Up, link.Down, link.UpMsgs, link.DownMsgs)
		}
	}
	fmt.Fprintln(w, "\nnews\tacknowledged\tknown to\tp50\tp99\tworst")
	for _, list := range [][]News{r.Changes, r.Drains} {
		for _, propagation := range list {
			fmt.Fprintf(w, "%s\t%.0f ms\t%d of %d\t%.0f ms\t%.0f ms\t%.0f ms\t%s\n", propagation.What, propagation.Ack, propagation.Known.Count, propagation.Of, propagation.Known.P50, propagation.Known.P99,
				propagation.Known.Worst, propagation.Fault)
		}
	}
	for _, fault := range r.Faults {
		fmt.Fprintf(w, "fault: %s\n", fault)
	}
	return w.Flush()
}
