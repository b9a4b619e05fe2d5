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

// further is an arrival at a service beyond what its requests give it: past the first of a request that is meant for it, or of one that
// is meant for another service and was sent to an address that this one has taken over.
type further struct {
	at    time.Time
	front int  // that sent it
	stray bool // it was meant for another service
	other bool // it was meant for another searcher, of the same service
	key   string
	alone bool // it is a stray, the first arrival of a request of which nothing came that was meant for this service
}

// arrivals are what the searchers of one service read.
type arrivals struct {
	asked   []time.Time // requests that clients sent on a route to it, whether or not they arrived
	further []further   // by time
	all     int
}

// window is a span of one service in which more came than anywhere else, beside what was allowed.
type window struct {
	from             time.Time
	further, allowed int
	in               []further
}

// judgeBudget: in each window each service gets no more arrivals past the first of each request than the budget allows. What is sent to an
// address that has gone to another service counts there, from the first of a request on: its own requests allow nothing for it.
func (r *run) judgeBudget(entries []faulty.Entry, services map[string]string, sent map[string]*try) {
	all := r.arrivals(entries, services, sent)
	out, err := os.Create(filepath.Join(r.options.Dir, "budget.txt"))
	if err != nil {
		r.violated("soak: %v", err)
		return
	}
	defer out.Close()
	for _, service := range slices.Sorted(maps.Keys(all)) {
		a := all[service]
		w := a.worst(r.schedule.Shape.RetrySlack)
		fmt.Fprintf(out, "%s: %d requests, %d arrivals, %d of them further; in the worst window, from %.3f s, %d of %d: %s\n", service, len(a.asked), a.all,
			len(a.further), w.from.Sub(r.began).Seconds(), w.further, w.allowed, w.describe())
		if w.further > w.allowed {
			r.violated("over budget: %s got %d further arrivals in a window from %.3f s, %d are allowed: %s", service, w.further, w.from.Sub(r.began).Seconds(), w.allowed, w.describe())
		}
	}
}

// arrivals sorts what the searchers read by service.
func (r *run) arrivals(entries []faulty.Entry, services map[string]string, sent map[string]*try) map[string]*arrivals {
	all := map[string]*arrivals{}
	of := func(service string) *arrivals {
		if all[service] == nil {
			all[service] = &arrivals{}
		}
		return all[service]
	}
	for _, t := range sent {
		for _, service := range r.meant(t) {
			of(service).asked = append(of(service).asked, t.sent)
		}
	}
	first, arrived := map[string]bool{}, map[string]bool{} // of requests at services: one that was meant for it, any
	for i := range entries {
		e := &entries[i]
		t := sent[e.ID]
		if t == nil {
			continue // a probe's, or of nobody, which is judged elsewhere
		}
		service := services[e.Searcher]
		a := of(service)
		a.all++
		key := e.ID + " " + service
		stray := services[e.Target] != service
		if stray || first[key] {
			a.further = append(a.further, further{at: e.At, front: t.front, stray: stray, other: !stray && e.Target != e.Searcher, alone: !arrived[key], key: key})
		}
		first[key] = first[key] || !stray
		arrived[key] = true
	}
	for _, a := range all {
		for i := range a.further {
			f := &a.further[i]
			f.alone = f.alone && !first[f.key]
		}
		slices.SortFunc(a.asked, time.Time.Compare)
		slices.SortFunc(a.further, func(x, y further) int { return x.at.Compare(y.at) })
	}
	return all
}

// meant are the services that a try is to reach, by any configuration that may have been in force when it was sent.
func (r *run) meant(t *try) (names []string) {
	if t.kind != "fan" {
		return []string{single}
	}
	for set, in := range r.operators.setsAt(t.sent) {
		if in {
			names = append(names, r.schedule.Shape.shardsOf(set)...)
		}
	}
	return names
}

// worst finds the window in which the budget was exceeded by most, or kept by least.
func (a *arrivals) worst(slack int) (worst window) {
	for i, f := range a.further {
		from, to := f.at, f.at.Add(retryWindow)
		end := i + within(a.further[i:], to, func(f further, t time.Time) int { return f.at.Compare(t) })
		requests := max(a.askedIn(from, to), a.askedIn(from.Add(-retryWindow), from), a.askedIn(from.Add(-retryWindow/2), to.Add(-retryWindow/2)))
		allowed := int(retryRatio*float64(requests)) + slack
		if n := end - i; i == 0 || n-allowed > worst.further-worst.allowed {
			worst = window{from: from, further: n, allowed: allowed, in: a.further[i:end]}
		}
	}
	return worst
}

func (a *arrivals) askedIn(from, to time.Time) int {
	return within(a.asked, to, time.Time.Compare) - within(a.asked, from, time.Time.Compare)
}

// within counts those before some time, of a list that is sorted.
func within[T any](all []T, before time.Time, compare func(T, time.Time) int) int {
	n, _ := slices.BinarySearchFunc(all, before, compare)
	return n
}

// describe tells how the further arrivals of a window came about, and which fronts sent most of them.
func (w *window) describe() string {
	strays, others, alone := 0, 0, 0
	fronts := map[int]int{}
	for _, f := range w.in {
		fronts[f.front]++
		if f.stray {
			strays++
		}
		if f.other {
			others++
		}
		if f.alone {
			alone++
		}
	}
	const named = 5
	order := slices.SortedFunc(maps.Keys(fronts), func(a, b int) int { return cmp.Or(-cmp.Compare(fronts[a], fronts[b]), cmp.Compare(a, b)) })
	var b strings.Builder
	fmt.Fprintf(&b, "%d meant for another service, %d of these all that came of their request; %d for another searcher of it; from %d fronts, most from", strays, alone, others, len(fronts))
	for _, front := range order[:min(named, len(order))] {
		fmt.Fprintf(&b, " %d (%d)", front, fronts[front])
	}
	return b.String()
}
