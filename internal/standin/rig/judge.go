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

// reply is what a searcher was told to do with a request.
type reply struct {
	searcher string
	faulty.Reply
}

// whole are the ways that hand over a whole answer, whatever they do beside it.
var whole = []faulty.Way{faulty.Good, faulty.Trickle, faulty.Chunked, faulty.Surplus, faulty.ExtraNow, faulty.ExtraLate, faulty.CloseAfter,
	faulty.CloseUnsaid}

// watched keeps account of what reaches a searcher, and of what it was told to do.
func (r *Rig) watched(id string, script func(faulty.Call) faulty.Reply) func(faulty.Call) faulty.Reply {
	return func(c faulty.Call) faulty.Reply {
		var out faulty.Reply
		if script != nil {
			out = script(c)
		}
		r.mu.Lock()
		q := r.sent[c.AttemptID]
		r.replies[c.AttemptID] = append(r.replies[c.AttemptID], reply{id, out})
		r.mu.Unlock()
		switch {
		case q == nil:
			r.note("UNASKED: %q is no client's: %s", c.AttemptID, c.Head)
		case q.Method != c.Method || q.Path != c.Path || q.Host != c.Host || q.Body != string(c.Body):
			r.note("UNASKED: %s changed: %s%q", c.AttemptID, c.Head, c.Body)
		case c.DeadlineMs < 0 || c.DeadlineMs > int64(q.DeadlineMs):
			r.note("%s: deadline %d of %d", c.AttemptID, c.DeadlineMs, q.DeadlineMs)
		case strings.Count(c.Head, "Target-Searcher:") != 1 || strings.Count(c.Head, "Attempt-Id:") != 1:
			r.note("%s: doubled or no target: %s", c.AttemptID, c.Head)
		}
		return out
	}
}

// route gives what a version says of a request.
func route(m *manifest.Manifest, q *Request) *manifest.Route {
	path, _, _ := strings.Cut(q.Path, "?")
	return m.Route(q.Host, path)
}

// Judge holds all that was sent and got against what the searchers saw.
func (r *Rig) Judge() {
	r.t.Helper()
	entries := map[string][]faulty.Entry{}
	for _, e := range r.Ledger.Entries() {
		entries[e.ID] = append(entries[e.ID], e)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	wrong := slices.Clone(r.wrong)
	for id, es := range entries {
		if why := r.arrivals(id, es); why != "" {
			wrong = append(wrong, id+": "+why)
		}
	}
	for i := range r.got {
		a := &r.got[i]
		if why := r.answer(a, entries[a.Of.ID]); why != "" {
			wrong = append(wrong, fmt.Sprintf("%s %s, status %d: %s", a.Of.ID, a.Of.Path, a.Status, why))
		}
	}
	must.Eq(r.t, "", strings.Join(wrong, "\n"))
}

// arrivals judges what of a request reached searchers.
func (r *Rig) arrivals(id string, es []faulty.Entry) string {
	q := r.sent[id]
	if q == nil {
		return "UNASKED: no client sent it"
	}
	most, ran, by := 0, 0, map[string]int{}
	repeatable := false
	for _, m := range r.configs {
		if x := route(m, q); x != nil {
			most, repeatable = max(most, x.Retries), repeatable || x.Idempotent
		}
	}
	for _, e := range es {
		service := r.services[e.Searcher]
		by[service]++
		if !e.Ran {
			continue
		}
		ran++
		if !slices.ContainsFunc(r.configs, func(m *manifest.Manifest) bool {
			x := route(m, q)
			return x != nil && slices.Contains(m.ServicesOf(x), service)
		}) {
			return "ROUTE: no version has it go to " + service
		}
	}
	for s, n := range by {
		if n > most {
			return fmt.Sprintf("%d arrivals at %s of %d", n, s, most)
		}
	}
	if ran > 1 && !repeatable {
		return fmt.Sprintf("TWICE: ran %d times", ran)
	}
	return ""
}

// good finds a whole answer of a searcher to a request, by its seal; its body is given.
func (r *Rig) good(id, seal string, is func(status int) bool) (searcher, body string, ok bool) {
	for _, p := range r.replies[id] {
		if seal == faulty.Seal(p.searcher, id) && is(cmp.Or(p.Status, 200)) && slices.Contains(whole, p.Way) {
			if p.Body == nil {
				return p.searcher, string(faulty.Records(p.searcher, r.sent[id].Path, 4)), true
			}
			return p.searcher, string(p.Body), true
		}
	}
	return "", "", false
}

func (r *Rig) answer(a *Answer, es []faulty.Entry) string {
	ran := slices.ContainsFunc(es, func(e faulty.Entry) bool { return e.Ran })
	known, allowed := false, []*manifest.Route(nil)
	for _, m := range r.configs {
		if x := route(m, a.Of); x != nil {
			allowed, known = append(allowed, x), true
		}
	}
	if id := a.Header.Get("Attempt-Id"); id != "" && id != a.Of.ID {
		return "MIXED: the answer to " + id
	}
	switch {
	case a.Err != nil:
		return ""
	case a.Status == 404 && known && a.Header.Get("Answer-Seal") == "":
		return "DENIED"
	case slices.Contains([]int{408, 421, 429, 503}, a.Status):
		if ran && !slices.ContainsFunc(allowed, func(x *manifest.Route) bool { return x.Idempotent }) {
			return "REFUSED: it has run"
		}
	case a.Status >= 200 && a.Status < 300 && a.Header.Get("Part-Seals") != "":
		why := "MIXED: no version has it gathered"
		for _, x := range allowed {
			if len(x.FanOut) > 0 {
				if why = r.gathered(a, x); why == "" {
					return ""
				}
			}
		}
		return why
	case a.Status >= 200 && a.Status < 300:
		_, body, ok := r.good(a.Of.ID, a.Header.Get("Answer-Seal"), func(s int) bool { return s == a.Status })
		if !ok || a.Body != body {
			return fmt.Sprintf("MIXED: %v %q, the searcher gave %q", a.Header, a.Body, body)
		}
	}
	return ""
}

func (r *Rig) gathered(a *Answer, x *manifest.Route) string {
	missing, _ := strconv.Atoi(a.Header.Get("Missing-Parts"))
	seals := strings.Split(strings.Join(a.Header.Values("Part-Seals"), ","), ",")
	var of []string
	var records [][]byte
	for _, s := range seals {
		who, body, ok := r.good(a.Of.ID, strings.TrimSpace(s), func(s int) bool { return s >= 200 && s < 300 })
		service := r.services[who]
		if !ok || !slices.Contains(x.FanOut, service) || slices.Contains(of, service) {
			return fmt.Sprintf("MIXED: seal %q", s)
		}
		of = append(of, service)
		records = append(records, slices.Collect(slices.Chunk([]byte(body)[:len(body)/16*16], 16))...)
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	want := string(bytes.Join(records[:min(len(records), x.TopK)], nil))
	switch n := len(x.FanOut); {
	case len(of)+missing != n:
		return fmt.Sprintf("MIXED: %v and %d missing of %d", of, missing, n)
	case float64(len(of))/float64(n) < x.MinCoverage-math.SmallestNonzeroFloat64:
		return fmt.Sprintf("MIXED: %d of %d are in", len(of), n)
	case a.Body != want:
		return fmt.Sprintf("MIXED: body %q, expected %q", a.Body, want)
	}
	return ""
}
