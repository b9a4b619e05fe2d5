package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"peathollow/internal/standin/faulty"
	"peathollow/internal/standin/localsystem"
)

const (
	lossSlack    = 200 * time.Millisecond // after which a front has read a request whole
	leaveSlack   = 500 * time.Millisecond // after which nobody works for a client that has left
	horizonSlack = 500 * time.Millisecond
	handedSlack  = 500 * time.Millisecond // by which a deadline handed on may exceed the client's
	fewMost      = 3
	graceOfRun   = localsystem.Grace
	graceSlack   = time.Second
	excusedFor   = 3 * time.Second // after SIGTERM: what is sent later has to be finished whatever its searcher does
	lateLeast    = 8
	handedMost   = 20
)

// endings is what judges how tries ended.
type endings struct {
	run     *run
	entries map[string][]*faulty.Entry // by Attempt-Id

	lateArrivals      int
	abandoned, worked int // runs for clients that left, and those of them that went on
	pastHorizon, held int // tries that lasted past the horizon, and those that were held beyond it
	handed, overdue   int // arrivals, and those with more time than was left
}

// judgeEndings looks at each try of a front in touch: none is lost, none is worked at for nobody, none is held too long, and
// none is handed on with more time than it has.
func (r *run) judgeEndings(entries []faulty.Entry) {
	j := endings{run: r, entries: map[string][]*faulty.Entry{}}
	for i := range entries {
		e := &entries[i]
		j.entries[e.ID] = append(j.entries[e.ID], e)
	}
	for _, q := range r.load.all() {
		for _, t := range q.tries {
			j.judgeLost(t)
			j.judgePlanned(t)
			j.judgeLeft(t)
			j.judgeHeld(t)
			j.judgeHanded(t)
			if t.noReturn && promises(t.status) {
				r.violated("no time to come back: %s was answered %d by front %d", t.id, t.status, t.front)
			}
		}
	}
	r.note("judged: %d arrivals in touch, %d of them with more time than was left; %d runs whose client left, %d went on; %d tries past the horizon, %d of them held",
		j.handed, j.overdue, j.abandoned, j.worked, j.pastHorizon, j.held)
	if j.lateArrivals > fewMost {
		r.violated("gone: %d requests reached searchers over %v after their clients had left", j.lateArrivals, leaveSlack)
	}
	if j.worked > fewMost && j.worked*4 > j.abandoned {
		r.violated("gone: searchers worked on for %d of %d clients that had left", j.worked, j.abandoned)
	}
	if j.held >= lateLeast && j.held*4 > j.pastHorizon {
		r.violated("held: %d of %d tries had no answer %v after their horizon", j.held, j.pastHorizon, horizonSlack)
	}
	if j.overdue > handedMost && j.overdue*5 > j.handed {
		r.violated("handed on late: %d of %d arrivals with more time than was left", j.overdue, j.handed)
	}
}

// inTouch tells whether the front of a try was in touch until some moment, but for trouble of some kinds.
func (j *endings) inTouch(t *try, until time.Time, except ...Kind) bool {
	return j.run.calmAt(fmt.Sprint("front-", t.front), t.sent.Add(-contactTime), until, except...)
}

// lost tells whether a front had a try and ended it without an answer, for no reason of its client and no lateness of its searcher.
func (r *run) lost(t *try) bool {
	return t.status == 0 && !t.unsent && t.left.IsZero() && !r.endedWithGrace(t)
}

// endedWithGrace tells whether a try's searcher was still at work on it in the last sixth of the time that a leaving front had.
func (r *run) endedWithGrace(t *try) bool {
	end, proxy := t.sent.Add(t.took), r.proxyName(t.front)
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.inflicted, func(in *inflicted) bool {
		if in.process != proxy || in.kind != Terminate && in.kind != TerminateTwice {
			return false
		}
		late := end.Sub(in.from)
		return t.sent.Sub(in.from) <= excusedFor && late >= graceOfRun*5/6 && late <= graceOfRun+graceSlack
	})
}

// judgeLost: beside planned work no front that read a request closes the connection without an answer.
func (j *endings) judgeLost(t *try) {
	end := t.sent.Add(t.took)
	if !j.run.lost(t) || t.gaveUp || !j.inTouch(t, end, Planned...) {
		return
	}
	entries := j.entries[t.id]
	if j.crossed(t) {
		return
	}
	if slices.ContainsFunc(entries, func(e *faulty.Entry) bool { return !j.sound(e, end) }) {
		return
	}
	j.run.violated("lost: %s at front %d, with %d arrivals, after %v: %s", t.id, t.front, len(entries), t.took.Round(time.Millisecond), t.fault)
}

// crossed tells whether a try was sent as its front closed the connection: the front has passed nothing on, and may not have read it.
func (j *endings) crossed(t *try) bool { return len(j.entries[t.id]) == 0 && t.took <= lossSlack }

// judgePlanned: where all trouble is planned work no try fails at all, but for one that crossed a close.
func (j *endings) judgePlanned(t *try) {
	if !j.run.schedule.planned() {
		return
	}
	failed := t.status >= http.StatusInternalServerError && t.status != http.StatusServiceUnavailable
	if failed || j.run.lost(t) && !j.crossed(t) {
		j.run.violated("lost in planned work: %s at front %d: status %d %s", t.id, t.front, t.status, t.fault)
	}
}

func (j *endings) sound(e *faulty.Entry, until time.Time) bool {
	s := j.run.searcherOf(e.Searcher)
	return s != nil && s.soundAt(until)
}

// judgeLeft: what a client has left is neither passed on nor worked at for long.
func (j *endings) judgeLeft(t *try) {
	due := t.left.Add(leaveSlack)
	if t.left.IsZero() || !j.inTouch(t, due) {
		return
	}
	for _, e := range j.entries[t.id] {
		switch {
		case !j.sound(e, due):
		case e.At.After(due):
			j.lateArrivals++
		case e.Ran && e.At.Add(longWork).After(due):
			j.abandoned++
			if e.Ended.IsZero() || e.Ended.After(due) {
				j.worked++
			}
		}
	}
}

// judgeHeld: a try has its final answer soon after its route's horizon.
func (j *endings) judgeHeld(t *try) {
	if t.took < horizon || !j.inTouch(t, t.sent.Add(t.took)) {
		return
	}
	j.pastHorizon++
	if t.took > horizon+horizonSlack {
		j.held++
	}
}

// judgeHanded: a searcher is told of no more time than the client has.
func (j *endings) judgeHanded(t *try) {
	for _, e := range j.entries[t.id] {
		if !j.inTouch(t, e.At) || !j.sound(e, e.At) {
			continue // a searcher that stands still reads it late
		}
		j.handed++
		told := time.Duration(e.DeadlineMs) * time.Millisecond
		if e.DeadlineMs < 0 || e.At.Add(told).After(t.sent.Add(t.deadline+handedSlack)) {
			j.overdue++
		}
	}
}
