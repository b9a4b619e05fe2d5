package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"peathollow/internal/standin/faulty"
)

// Bounds that the settings of a run set, or their defaults.
const (
	contactTime = 5 * time.Second
	applyTime   = 4 * time.Second
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
)

// checkLedger compares what the searchers received with what clients sent and which answers they got.
func (r *run) checkLedger() {
	entries := r.system.Ledger.Entries()
	sent := map[string]*attempt{}
	for _, q := range r.load.allRequests() {
		for _, a := range q.attempts {
			sent[a.id] = a
		}
	}
	services := map[string]string{}
	defer func() { r.writeLedger(entries, services) }()
	r.mu.Lock()
	for _, s := range r.searchers {
		services[s.ID()] = s.Service()
	}
	r.mu.Unlock()
	runs := map[string]int{}
	arrivals := map[string]int{}
	for _, e := range entries {
		r.checkArrival(&e, sent[e.ID], services[e.Searcher])
		if e.Ran {
			runs[e.ID]++
		}
		if e.Target == e.Searcher { // at an address that was reassigned the searcher rejects it as misdirected
			arrivals[e.ID+" "+services[e.Searcher]]++
		}
	}
	for id, a := range sent {
		if a.runsOnce() && runs[id] > 1 {
			r.violation("ran twice: %s ran %d times", id, runs[id])
		}
		if a.runsOnce() && runs[id] > 0 && guaranteesNotRun(a.status) {
			r.violation("refused what ran: %s was answered %d by front %d", id, a.status, a.front)
		}
	}
	for key, n := range arrivals {
		if id, service, _ := strings.Cut(key, " "); sent[id] != nil && n > maxRetries(sent[id].kind) {
			r.violation("over its retries: %s reached %d searchers of %s", id, n, service)
		}
	}
	r.checkBudget(entries, services, sent)
	r.checkAttempts(entries)
}

// servicesFor returns the services that some configuration allows requests of a kind to run at.
func (r *run) servicesFor(kind string) (names []string) {
	if kind != "fan" {
		return []string{r.schedule.Shape.serviceOf(kind)}
	}
	for set := range sets {
		names = append(names, r.schedule.Shape.shardsOf(set)...)
	}
	return names
}

// checkArrival checks one request that a searcher received.
func (r *run) checkArrival(e *faulty.Entry, a *attempt, service string) {
	if a == nil {
		if e.ID == "" || !r.isProbe(e.ID) {
			r.violation("unasked: searcher %s got %s %s with id %q", e.Searcher, e.Method, e.Path, e.ID)
		}
		return
	}
	if e.Path != a.path || e.Ran && !slices.Contains(r.servicesFor(a.kind), service) {
		r.violation("unasked: %s of %s ran as %s at a searcher of %s", a.id, a.path, e.Path, service)
	}
	r.checkDrain(e, a)
}

// checkDrain verifies that a leaving searcher gets no requests after the drain time that follows the acknowledgement of its
// departure. Fronts that were disturbed shortly before are excepted.
func (r *run) checkDrain(e *faulty.Entry, a *attempt) {
	s := r.searcherByID(e.Searcher)
	if s == nil || s.departureAcked.Load() == 0 || !e.Ran {
		return
	}
	late := e.At.Sub(time.Unix(0, s.departureAcked.Load())) - drainTime
	if late > 0 && r.undisturbed(fmt.Sprint("front-", a.front), e.At.Add(-contactTime), e.At) {
		r.violation("after draining: %s reached %s of %s %v after the end of its drain time", a.id, e.Searcher, s.Service(), late)
	}
}

// searcherByID returns the searcher with an ID, or nil.
func (r *run) searcherByID(id string) *searcher {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.searchers {
		if s.ID() == id {
			return s
		}
	}
	return nil
}

// undisturbed reports whether no fault affected the machine within a span, except faults of the given kinds.
func (r *run) undisturbed(machine string, from, to time.Time, except ...Kind) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range r.injected {
		if !slices.Contains(except, record.kind) && record.from.Before(to) && (record.to.IsZero() || record.to.After(from)) &&
			(record.affects == nil || record.affects(machine)) {
			return false
		}
	}
	return true
}

// checkQuietPeriod verifies that each request in the quiet period succeeded and that each front has applied the newest
// configuration.
func (r *run) checkQuietPeriod(from time.Time, result *Result) {
	for _, q := range r.load.allRequests() {
		if q.started.Before(from) || q.clientLeft {
			continue
		}
		result.Calm++
		if !q.succeeded {
			r.violation("not served in the calm: request %d: %s", q.number, describe(q))
		}
	}
	for i := range r.fronts {
		if observed, required := r.fronts[i].observedVersion.Load(), r.operators.acknowledgedBefore(time.Now().Add(-applyTime)); observed < required {
			r.violation("not in force in the calm: front %d shows version %d of %d", i, observed, required)
		}
	}
}

// describe lists all attempts of a request.
func describe(q *request) string {
	var b strings.Builder
	for _, a := range q.attempts {
		fmt.Fprintf(&b, "[%s at front %d after %v: status %d %s in %v] ", a.id, a.front,
			a.sent.Sub(q.started).Round(time.Millisecond), a.status, a.failure, a.took.Round(time.Millisecond))
	}
	return b.String()
}
