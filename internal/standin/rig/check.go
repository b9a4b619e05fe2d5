package rig

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/shoenig/test/must"

	"peathollow/internal/standin/faulty"
	"peathollow/manifest"
)

// scriptedReply is what the script of a searcher returned for a request.
type scriptedReply struct {
	searcher string
	faulty.Reply
}

// completeResponses are the faults with which the client still receives a complete response.
var completeResponses = []faulty.Fault{faulty.NoFault, faulty.Trickle, faulty.Chunked, faulty.TrailingBytes,
	faulty.CloseAnnounced, faulty.CloseUnannounced}

// recordCalls wraps a script so that each request that reaches the searcher is checked and its reply is recorded.
func (r *Rig) recordCalls(id string, script func(faulty.Call) faulty.Reply) func(faulty.Call) faulty.Reply {
	return func(c faulty.Call) faulty.Reply {
		var out faulty.Reply
		if script != nil {
			out = script(c)
		}
		r.mu.Lock()
		q := r.sent[c.AttemptID]
		r.replies[c.AttemptID] = append(r.replies[c.AttemptID], scriptedReply{id, out})
		r.mu.Unlock()
		switch {
		case q == nil:
			r.violation("UNASKED: no client sent attempt %q: %s", c.AttemptID, c.Head)
		case q.Method != c.Method || q.Path != c.Path || q.Host != c.Host || q.Body != string(c.Body):
			r.violation("UNASKED: request %s was changed: %s%q", c.AttemptID, c.Head, c.Body)
		case c.DeadlineMs < 0 || c.DeadlineMs > int64(q.DeadlineMs):
			r.violation("%s: Deadline-Ms is %d, the client sent %d", c.AttemptID, c.DeadlineMs, q.DeadlineMs)
		case strings.Count(c.Head, "Target-Searcher:") != 1 || strings.Count(c.Head, "Attempt-Id:") != 1:
			r.violation("%s: Target-Searcher or Attempt-Id is missing or repeated: %s", c.AttemptID, c.Head)
		}
		return out
	}
}

// route returns the route that a configuration has for a request, or nil.
func route(m *manifest.Manifest, q *Request) *manifest.Route {
	path, _, _ := strings.Cut(q.Path, "?")
	return m.Route(q.Host, path)
}

// Check checks all requests sent and responses received against what the searchers recorded, and fails the test on any
// violation.
func (r *Rig) Check() {
	r.t.Helper()
	entries := map[string][]faulty.Entry{}
	for _, e := range r.Ledger.Entries() {
		entries[e.ID] = append(entries[e.ID], e)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	violations := slices.Clone(r.violations)
	for id, attempts := range entries {
		if problem := r.checkArrivals(id, attempts); problem != "" {
			violations = append(violations, id+": "+problem)
		}
	}
	for i := range r.responses {
		a := &r.responses[i]
		if problem := r.checkResponse(a, entries[a.Request.ID]); problem != "" {
			violations = append(violations, fmt.Sprintf("%s %s, status %d: %s; replies %+v", a.Request.ID, a.Request.Path, a.Status, problem,
				r.replies[a.Request.ID]))
		}
	}
	must.Eq(r.t, "", strings.Join(violations, "\n"))
}

// checkArrivals checks the attempts of a request that reached searchers. It returns the violation, or "".
func (r *Rig) checkArrivals(id string, attempts []faulty.Entry) string {
	q := r.sent[id]
	if q == nil {
		return "UNASKED: no client sent it"
	}
	maxArrivals, ran, arrivals := 0, 0, map[string]int{}
	repeatable := false
	for _, m := range r.configs {
		if x := route(m, q); x != nil {
			maxArrivals, repeatable = max(maxArrivals, x.Retries), repeatable || x.Idempotent
		}
	}
	for _, e := range attempts {
		service := r.services[e.Searcher]
		arrivals[service]++
		if !e.Ran {
			continue
		}
		ran++
		if !slices.ContainsFunc(r.configs, func(m *manifest.Manifest) bool {
			x := route(m, q)
			return x != nil && slices.Contains(m.ServicesOf(x), service)
		}) {
			return "ROUTE: no configuration version routes it to " + service
		}
	}
	for s, n := range arrivals {
		if n > maxArrivals {
			return fmt.Sprintf("%d arrivals at %s, at most %d allowed", n, s, maxArrivals)
		}
	}
	if ran > 1 && !repeatable {
		return fmt.Sprintf("TWICE: not idempotent and ran %d times", ran)
	}
	return ""
}

// findResponse finds the complete response with the given seal that a searcher sent to a request, and returns its body.
func (r *Rig) findResponse(id, seal string, accepts func(status int) bool) (searcher, body string, ok bool) {
	for _, p := range r.replies[id] {
		if seal == faulty.Seal(p.searcher, id) && accepts(cmp.Or(p.Status, 200)) && slices.Contains(completeResponses, p.Fault) {
			if p.Body == nil {
				return p.searcher, string(faulty.Records(p.searcher, r.sent[id].Path, 4)), true
			}
			return p.searcher, string(p.Body), true
		}
	}
	return "", "", false
}

// checkResponse checks a response against the attempts that reached searchers. It returns the violation, or "".
func (r *Rig) checkResponse(a *Response, attempts []faulty.Entry) string {
	ran := slices.ContainsFunc(attempts, func(e faulty.Entry) bool { return e.Ran })
	known, allowed := false, []*manifest.Route(nil)
	for _, m := range r.configs {
		if x := route(m, a.Request); x != nil {
			allowed, known = append(allowed, x), true
		}
	}
	if id := a.Header.Get("Attempt-Id"); id != "" && id != a.Request.ID {
		return "MIXED: response to attempt " + id
	}
	switch {
	case a.Err != nil:
		return ""
	case a.Status == 404 && known && a.Header.Get("Answer-Seal") == "":
		return "DENIED"
	case slices.Contains([]int{408, 421, 429, 503}, a.Status):
		if ran && !slices.ContainsFunc(allowed, func(x *manifest.Route) bool { return x.Idempotent }) {
			return "REFUSED: not idempotent and has run"
		}
	case a.Status >= 200 && a.Status < 300 && a.Header.Get("Part-Seals") != "":
		problem := "MIXED: no configuration version has a fan-out route for it"
		for _, x := range allowed {
			if len(x.FanOut) > 0 {
				if problem = r.checkGathered(a, x); problem == "" {
					return ""
				}
			}
		}
		return problem
	case a.Status >= 200 && a.Status < 300:
		_, body, ok := r.findResponse(a.Request.ID, a.Header.Get("Answer-Seal"), func(s int) bool { return s == a.Status })
		if !ok || a.Body != body {
			return fmt.Sprintf("MIXED: %v %q, the searcher sent %q", a.Header, a.Body, body)
		}
	}
	return ""
}

// checkGathered checks a response that the proxy gathered from several services on a fan-out route. It returns the
// violation, or "".
func (r *Rig) checkGathered(a *Response, x *manifest.Route) string {
	missing, _ := strconv.Atoi(a.Header.Get("Missing-Parts"))
	seals := strings.Split(strings.Join(a.Header.Values("Part-Seals"), ","), ",")
	var services []string
	var records [][]byte
	for _, s := range seals {
		searcher, body, ok := r.findResponse(a.Request.ID, strings.TrimSpace(s), func(s int) bool { return s >= 200 && s < 300 })
		service := r.services[searcher]
		if !ok || !slices.Contains(x.FanOut, service) || slices.Contains(services, service) {
			return fmt.Sprintf("MIXED: unexpected seal %q", s)
		}
		services = append(services, service)
		records = append(records, slices.Collect(slices.Chunk([]byte(body)[:len(body)/16*16], 16))...)
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	want := string(bytes.Join(records[:min(len(records), x.TopK)], nil))
	switch n := len(x.FanOut); {
	case len(services)+missing != n:
		return fmt.Sprintf("MIXED: parts of %v and %d missing, of %d", services, missing, n)
	case float64(len(services))/float64(n) < x.MinCoverage-math.SmallestNonzeroFloat64:
		return fmt.Sprintf("MIXED: only %d of %d parts, below the minimum coverage", len(services), n)
	case a.Body != want:
		return fmt.Sprintf("MIXED: body %q, expected %q", a.Body, want)
	}
	return ""
}
