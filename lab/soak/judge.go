package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"peathollow/internal/standin/faulty"
)

// The bounds that the settings of a run name, or their defaults.
const (
	contactTime = 5 * time.Second
	applyTime   = 4 * time.Second
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
)

// judgeLedger holds what searchers saw against what clients sent and were told.
func (r *run) judgeLedger() {
	entries := r.system.Ledger.Entries()
	sent := map[string]*try{}
	for _, q := range r.load.all() {
		for _, t := range q.tries {
			sent[t.id] = t
		}
	}
	services := map[string]string{}
	defer func() { r.writeLedger(entries, services) }()
	r.mu.Lock()
	for _, s := range r.searchers {
		services[s.ID()] = s.Service()
	}
	r.mu.Unlock()
	ran := map[string]int{}
	arrived := map[string]int{}
	for _, e := range entries {
		r.judgeArrival(&e, sent[e.ID], services[e.Searcher])
		if e.Ran {
			ran[e.ID]++
		}
		if e.Target == e.Searcher { // at an address that has gone to another it is told so
			arrived[e.ID+" "+services[e.Searcher]]++
		}
	}
	for id, t := range sent {
		if t.once() && ran[id] > 1 {
			r.violated("ran twice: %s ran %d times", id, ran[id])
		}
		if t.once() && ran[id] > 0 && promises(t.status) {
			r.violated("refused what ran: %s was answered %d by front %d", id, t.status, t.front)
		}
	}
	for key, n := range arrived {
		if id, service, _ := strings.Cut(key, " "); sent[id] != nil && n > retries {
			r.violated("over its retries: %s reached %d searchers of %s", id, n, service)
		}
	}
	r.judgeBudget(entries, services, sent)
	r.judgeEndings(entries)
}

// judgeArrival looks at one request that a searcher read.
func (r *run) judgeArrival(e *faulty.Entry, t *try, service string) {
	if t == nil {
		if e.ID == "" || !r.isProbe(e.ID) {
			r.violated("unasked: searcher %s got %s %s with id %q", e.Searcher, e.Method, e.Path, e.ID)
		}
		return
	}
	if e.Path != t.path || e.Ran && (t.kind == "fan") == (service == single) {
		r.violated("unasked: %s of %s ran as %s at a searcher of %s", t.id, t.path, e.Path, service)
	}
	r.judgeDrain(e, t)
}

// judgeDrain: a searcher gets nothing from a front in touch once its time after the acknowledgement that it leaves is over.
func (r *run) judgeDrain(e *faulty.Entry, t *try) {
	s := r.searcherOf(e.Searcher)
	if s == nil || s.acked.Load() == 0 || !e.Ran {
		return
	}
	late := e.At.Sub(time.Unix(0, s.acked.Load())) - drainTime
	if late > 0 && r.calmAt(fmt.Sprint("front-", t.front), e.At.Add(-contactTime), e.At) {
		r.violated("after draining: %s reached %s of %s %v after its time", t.id, e.Searcher, s.Service(), late)
	}
}

// searcherOf finds a searcher by its id.
func (r *run) searcherOf(id string) *searcher {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.searchers {
		if s.ID() == id {
			return s
		}
	}
	return nil
}

// calmAt tells whether neither a front nor any controller was in trouble in a span, but for trouble of some kinds.
func (r *run) calmAt(machine string, from, to time.Time, except ...Kind) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.inflicted {
		if !slices.Contains(except, t.kind) && t.from.Before(to) && (t.to.IsZero() || t.to.After(from)) && (t.strikes == nil || t.strikes(machine)) {
			return false
		}
	}
	return true
}

// judgeCalm: once everything is calm for long enough, each request is served and the newest configuration is in force.
func (r *run) judgeCalm(from time.Time, result *Result) {
	for _, q := range r.load.all() {
		if q.began.Before(from) || q.left {
			continue
		}
		result.Calm++
		if !q.right {
			r.violated("not served in the calm: request %d: %s", q.number, describe(q))
		}
	}
	for i := range r.fronts {
		if shown, due := r.fronts[i].shown.Load(), r.operators.due(time.Now().Add(-applyTime)); shown < due {
			r.violated("not in force in the calm: front %d shows version %d of %d", i, shown, due)
		}
	}
}

// describe gives all tries of a request.
func describe(q *request) string {
	var b strings.Builder
	for _, t := range q.tries {
		fmt.Fprintf(&b, "[%s at front %d after %v: status %d %s in %v] ", t.id, t.front, t.sent.Sub(q.began).Round(time.Millisecond), t.status, t.fault, t.took.Round(time.Millisecond))
	}
	return b.String()
}
