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

// explain looks for each try that a front answered with a failure in the front's log, and writes down all requests that
// got no right answer. It gives how many such tries there are, and how many a log explains.
func (r *run) explain() (explained, failures int) {
	logs := make([]string, len(r.fronts))
	for i := range r.fronts {
		b, _ := os.ReadFile(r.process(r.proxyName(i)).Log)
		logs[i] = string(b)
	}
	out, err := os.Create(filepath.Join(r.options.Dir, "unanswered.txt"))
	if err != nil {
		return 0, 0
	}
	defer out.Close()
	for _, q := range r.load.all() {
		if !q.right && !q.left {
			fmt.Fprintf(out, "%8.3f s request %d: %s\n", q.began.Sub(r.began).Seconds(), q.number, describe(q))
		}
		for _, t := range q.tries {
			if t.status < http.StatusBadRequest {
				continue
			}
			failures++
			if strings.Contains(logs[t.front], `attempt-id="`+t.id+`"`) {
				explained++
			}
			if own := t.status == http.StatusNotFound || t.status == http.StatusUnauthorized || t.status == http.StatusForbidden; own {
				r.violated("denied: %s was answered %d by front %d", t.id, t.status, t.front)
			}
		}
	}
	return explained, failures
}

// writeLedger writes down what each searcher read, in order.
func (r *run) writeLedger(entries []faulty.Entry, services map[string]string) {
	out, err := os.Create(filepath.Join(r.options.Dir, "ledger.txt"))
	if err != nil {
		return
	}
	defer out.Close()
	to := bufio.NewWriter(out)
	defer to.Flush()
	for i := range entries {
		e := &entries[i]
		fmt.Fprintf(to, "%8.3f s %s %s %s at %s of %s, ran: %v, dropped: %v\n", e.At.Sub(r.began).Seconds(), e.ID, e.Method, e.Path, e.Searcher,
			services[e.Searcher], e.Ran, e.Dropped)
	}
}

// figures reads what a process tells of itself; "" if it says nothing.
func (r *run) figures(ctx context.Context, p *localsystem.Process) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.Metrics, nil)
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
