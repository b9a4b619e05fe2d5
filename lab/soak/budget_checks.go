package soak

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"peathollow/internal/standin/faulty"
)

// extraArrival is an arrival at a service beyond the first of each request intended for it. For a request intended for
// another service and sent to an address that this service has taken over, every arrival is extra.
type extraArrival struct {
	at              time.Time
	front           int  // the sender
	misdirected     bool // intended for another service
	otherSearcher   bool // intended for another searcher of the same service
	key             string
	soleMisdirected bool // misdirected, and the first arrival of a request of which no correctly directed arrival came
}

// serviceArrivals are the requests that the searchers of one service received.
type serviceArrivals struct {
	requested []time.Time    // when clients sent requests on a route to the service, whether or not they arrived
	extra     []extraArrival // by time
	total     int
}

// window is the span in which a service exceeded its allowance by most, or came closest to it.
type window struct {
	from           time.Time
	extra, allowed int
	arrivals       []extraArrival
}

// checkBudget verifies that in each window each service gets no more extra arrivals than the retry budget allows. A request
// sent to an address that was reassigned to another service counts there from its first arrival on, and does not increase
// the allowance there.
func (r *run) checkBudget(entries []faulty.Entry, services map[string]string, sent map[string]*attempt) {
	byService := r.arrivals(entries, services, sent)
	report, err := os.Create(filepath.Join(r.options.Dir, "budget.txt"))
	if err != nil {
		r.violation("soak: %v", err)
		return
	}
	defer report.Close()
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		group := byService[service]
		worst := group.worstWindow(r.schedule.Shape.RetrySlack)
		fmt.Fprintf(report, "%s: %d requests, %d arrivals, %d of them further; in the worst window, from %.3f s, %d of %d: %s\n", service, len(group.requested),
			group.total, len(group.extra), worst.from.Sub(r.started).Seconds(), worst.extra, worst.allowed, worst.describe())
		if worst.extra > worst.allowed {
			r.violation("over budget: %s got %d further arrivals in a window from %.3f s, %d are allowed: %s", service, worst.extra,
				worst.from.Sub(r.started).Seconds(), worst.allowed, worst.describe())
		}
	}
}

// arrivals groups the requests that the searchers received by service.
func (r *run) arrivals(entries []faulty.Entry, services map[string]string, sent map[string]*attempt) map[string]*serviceArrivals {
	byService := map[string]*serviceArrivals{}
	groupOf := func(service string) *serviceArrivals {
		if byService[service] == nil {
			byService[service] = &serviceArrivals{}
		}
		return byService[service]
	}
	for _, a := range sent {
		for _, service := range r.intendedServices(a) {
			groupOf(service).requested = append(groupOf(service).requested, a.sent)
		}
	}
	// By request and service: whether a correctly directed arrival came, and whether any came.
	directed, arrived := map[string]bool{}, map[string]bool{}
	for i := range entries {
		entry := &entries[i]
		a := sent[entry.ID]
		if a == nil {
			continue // from a probe, or an unknown request, which checkArrival reports
		}
		service := services[entry.Searcher]
		group := groupOf(service)
		group.total++
		key := entry.ID + " " + service
		misdirected := services[entry.Target] != service
		if misdirected || directed[key] {
			group.extra = append(group.extra, extraArrival{at: entry.At, front: a.front, misdirected: misdirected,
				otherSearcher: !misdirected && entry.Target != entry.Searcher, soleMisdirected: !arrived[key], key: key})
		}
		directed[key] = directed[key] || !misdirected
		arrived[key] = true
	}
	for _, group := range byService {
		for i := range group.extra {
			extra := &group.extra[i]
			extra.soleMisdirected = extra.soleMisdirected && !directed[extra.key]
		}
		slices.SortFunc(group.requested, time.Time.Compare)
		slices.SortFunc(group.extra, func(x, y extraArrival) int { return x.at.Compare(y.at) })
	}
	return byService
}

// intendedServices returns the services that an attempt should reach, by any configuration that may have been active when it
// was sent.
func (r *run) intendedServices(a *attempt) (names []string) {
	if a.kind != "fan" {
		return []string{r.schedule.Shape.serviceOf(a.kind)}
	}
	for set, active := range r.operators.setsAt(a.sent) {
		if active {
			names = append(names, r.schedule.Shape.shardsOf(set)...)
		}
	}
	return names
}

// worstWindow finds the window in which the budget was exceeded by most, or which came closest to it.
func (a *serviceArrivals) worstWindow(slack int) (worst window) {
	for i, extra := range a.extra {
		from, to := extra.at, extra.at.Add(retryWindow)
		end := i + countBefore(a.extra[i:], to, func(extra extraArrival, t time.Time) int { return extra.at.Compare(t) })
		requests := max(a.requestsIn(from, to), a.requestsIn(from.Add(-retryWindow), from), a.requestsIn(from.Add(-retryWindow/2), to.Add(-retryWindow/2)))
		allowed := int(retryRatio*float64(requests)) + slack
		if n := end - i; i == 0 || n-allowed > worst.extra-worst.allowed {
			worst = window{from: from, extra: n, allowed: allowed, arrivals: a.extra[i:end]}
		}
	}
	return worst
}

func (a *serviceArrivals) requestsIn(from, to time.Time) int {
	return countBefore(a.requested, to, time.Time.Compare) - countBefore(a.requested, from, time.Time.Compare)
}

// countBefore counts the elements of a sorted list that are earlier than a time.
func countBefore[T any](all []T, before time.Time, compare func(T, time.Time) int) int {
	n, _ := slices.BinarySearchFunc(all, before, compare)
	return n
}

// describe summarizes the causes of the extra arrivals of a window and the fronts that sent most of them.
func (w *window) describe() string {
	misdirected, otherSearchers, sole := 0, 0, 0
	fronts := map[int]int{}
	for _, extra := range w.arrivals {
		fronts[extra.front]++
		if extra.misdirected {
			misdirected++
		}
		if extra.otherSearcher {
			otherSearchers++
		}
		if extra.soleMisdirected {
			sole++
		}
	}
	const maxNamed = 5
	byCount := slices.SortedFunc(maps.Keys(fronts), func(a, b int) int { return cmp.Or(-cmp.Compare(fronts[a], fronts[b]), cmp.Compare(a, b)) })
	var b strings.Builder
	fmt.Fprintf(&b, "%d meant for another service, %d of these all that came of their request; %d for another searcher of it; from %d fronts, most from",
		misdirected, sole, otherSearchers, len(fronts))
	for _, front := range byCount[:min(maxNamed, len(byCount))] {
		fmt.Fprintf(&b, " %d (%d)", front, fronts[front])
	}
	return b.String()
}
