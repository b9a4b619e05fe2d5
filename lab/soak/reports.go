package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"peathollow/internal/standin/faulty"
	"peathollow/internal/standin/localsystem"
)

// explainFailures looks up each attempt that a front answered with an error in the log of that front, and writes all requests
// without a correct response to a file. It returns the number of such attempts and how many of them the logs mention.
func (r *run) explainFailures() (explained, failures int) {
	logs := make([]string, len(r.fronts))
	for i := range r.fronts {
		b, _ := os.ReadFile(r.process(r.proxyName(i)).LogPath)
		logs[i] = string(b)
	}
	out, err := os.Create(filepath.Join(r.options.Dir, "unanswered.txt"))
	if err != nil {
		return 0, 0
	}
	defer out.Close()
	for _, q := range r.load.allRequests() {
		if !q.succeeded && !q.clientLeft {
			fmt.Fprintf(out, "%8.3f s request %d: %s\n", q.started.Sub(r.started).Seconds(), q.number, describe(q))
		}
		for _, a := range q.attempts {
			if a.status < http.StatusBadRequest {
				continue
			}
			failures++
			if strings.Contains(logs[a.front], `attempt-id="`+a.id+`"`) {
				explained++
			}
			if denied := a.status == http.StatusNotFound || a.status == http.StatusUnauthorized || a.status == http.StatusForbidden; denied {
				r.violation("denied: %s was answered %d by front %d", a.id, a.status, a.front)
			}
		}
	}
	return explained, failures
}

// writeLedger writes the requests that the searchers received to a file, in order.
func (r *run) writeLedger(entries []faulty.Entry, services map[string]string) {
	out, err := os.Create(filepath.Join(r.options.Dir, "ledger.txt"))
	if err != nil {
		return
	}
	defer out.Close()
	buffered := bufio.NewWriter(out)
	defer buffered.Flush()
	for i := range entries {
		e := &entries[i]
		fmt.Fprintf(buffered, "%8.3f s %s %s %s at %s of %q, ran: %v, dropped: %v\n", e.At.Sub(r.started).Seconds(), e.ID, e.Method, e.Path, e.Searcher,
			services[e.Searcher], e.Ran, e.Dropped)
	}
}

// scrapeMetrics returns the metrics of a process, or "" if it does not answer.
func (r *run) scrapeMetrics(ctx context.Context, p *localsystem.Process) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.MetricsURL, nil)
	if err != nil {
		return ""
	}
	res, err := r.probes.Do(req)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return string(b)
}
