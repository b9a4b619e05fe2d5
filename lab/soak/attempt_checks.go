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
	lossSlack        = 200 * time.Millisecond // a front has read a request completely this long after its last byte was sent
	leaveSlack       = 500 * time.Millisecond // work for a client that has left must end within this time
	horizonSlack     = 500 * time.Millisecond
	deadlineSlack    = 500 * time.Millisecond // by which a forwarded deadline may exceed the client's
	maxTolerated     = 3
	drainGrace       = localsystem.Grace
	graceSlack       = time.Second
	graceExcuse      = 3 * time.Second // after SIGTERM: attempts sent later must finish whatever their searcher does
	minHeld          = 8
	maxLateDeadlines = 20
)

// attemptChecker checks how attempts ended.
type attemptChecker struct {
	run     *run
	entries map[string][]*faulty.Entry // by Attempt-Id

	lateArrivals              int
	leftRuns, continuedRuns   int // runs whose client left, and those of them that continued
	pastHorizon, heldAttempts int // attempts that lasted past the horizon, and those without an answer soon after it
	arrivals, lateDeadlines   int // arrivals, and those whose deadline exceeds the client's remaining time
}

// checkAttempts checks each attempt at an undisturbed front: it must get an answer, must not be worked on after its client has
// left, must not be held long past its horizon, and must not be forwarded with more time than it has left.
func (r *run) checkAttempts(entries []faulty.Entry) {
	c := attemptChecker{run: r, entries: map[string][]*faulty.Entry{}}
	for i := range entries {
		e := &entries[i]
		c.entries[e.ID] = append(c.entries[e.ID], e)
	}
	for _, q := range r.load.allRequests() {
		for _, a := range q.attempts {
			c.checkLost(a)
			c.checkPlanned(a)
			c.checkClientLeft(a)
			c.checkHorizon(a)
			c.checkDeadline(a)
			if a.noRetryAfter && guaranteesNotRun(a.status) {
				r.violation("no time to come back: %s was answered %d without Retry-After by front %d", a.id, a.status, a.front)
			}
		}
	}
	r.logf("judged: %d arrivals from undisturbed fronts, %d of them with a deadline later than the client's; %d runs whose client left, %d continued; %d attempts past the horizon, %d of them held",
		c.arrivals, c.lateDeadlines, c.leftRuns, c.continuedRuns, c.pastHorizon, c.heldAttempts)
	if c.lateArrivals > maxTolerated {
		r.violation("gone: %d requests reached searchers over %v after their clients had left", c.lateArrivals, leaveSlack)
	}
	if c.continuedRuns > maxTolerated && c.continuedRuns*4 > c.leftRuns {
		r.violation("gone: searchers worked on for %d of %d clients that had left", c.continuedRuns, c.leftRuns)
	}
	if c.heldAttempts >= minHeld && c.heldAttempts*4 > c.pastHorizon {
		r.violation("held: %d of %d attempts had no answer %v after their horizon", c.heldAttempts, c.pastHorizon, horizonSlack)
	}
	if c.lateDeadlines > maxLateDeadlines && c.lateDeadlines*5 > c.arrivals {
		r.violation("handed on late: %d of %d arrivals had a deadline later than the client's", c.lateDeadlines, c.arrivals)
	}
}

// undisturbed reports whether no fault affected the front of an attempt until some moment, except faults of the given kinds.
func (c *attemptChecker) undisturbed(a *attempt, until time.Time, except ...Kind) bool {
	return c.run.undisturbed(fmt.Sprint("front-", a.front), a.sent.Add(-contactTime), until, except...)
}

// lostByFront reports whether a front received an attempt and ended it without an answer, although its client stayed and its
// searcher was not too slow.
func (c *attemptChecker) lostByFront(a *attempt) bool {
	return a.status == 0 && !a.unsent && a.leftAt.IsZero() && !c.endedWithGrace(a)
}

// endedWithGrace reports whether an attempt ended in the last sixth of the grace period of a terminating front, because its
// searcher was still working on it. Waiting in a searcher's queue is no work.
func (c *attemptChecker) endedWithGrace(a *attempt) bool {
	end, proxy := a.sent.Add(a.took), c.run.proxyName(a.front)
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	return slices.ContainsFunc(c.run.injected, func(record *injectedFault) bool {
		if record.process != proxy || record.kind != Terminate && record.kind != TerminateTwice {
			return false
		}
		late, lastSixth := end.Sub(record.from), record.from.Add(drainGrace*5/6)
		return a.sent.Sub(record.from) <= graceExcuse && !end.Before(lastSixth) && late <= drainGrace+graceSlack &&
			slices.ContainsFunc(c.entries[a.id], func(e *faulty.Entry) bool { return e.Ran && (e.Ended.IsZero() || e.Ended.After(lastSixth)) })
	})
}

// checkLost verifies that no front closes a connection without an answer to a request that it has read. Planned maintenance is
// no excuse, other faults of the front are.
func (c *attemptChecker) checkLost(a *attempt) {
	end := a.sent.Add(a.took)
	if !c.lostByFront(a) || a.timedOut || !c.undisturbed(a, end, PlannedKinds...) {
		return
	}
	entries := c.entries[a.id]
	if c.crossedClose(a) {
		return
	}
	if slices.ContainsFunc(entries, func(e *faulty.Entry) bool { return !c.reliable(e, end) }) {
		return
	}
	c.run.violation("lost: %s at front %d, with %d arrivals, %v after its last byte was sent: %s", a.id, a.front, len(entries),
		end.Sub(time.Unix(0, a.written.Load())).Round(time.Millisecond), a.failure)
}

// crossedClose reports whether an attempt was sent while its front was closing the connection: the front has forwarded nothing, and
// may not have read the request, or cannot have read it since it had closed the connection before.
func (c *attemptChecker) crossedClose(a *attempt) bool {
	if len(c.entries[a.id]) > 0 {
		return false
	}
	written := a.written.Load()
	return written == 0 || a.sent.Add(a.took).Sub(time.Unix(0, written)) <= lossSlack || c.closedBefore(a)
}

// closedBefore reports whether the front had closed the connection before an attempt was forwarded to it.
func (c *attemptChecker) closedBefore(a *attempt) bool {
	return c.run.network.crossings.between(a.connection, a.sent, a.sent.Add(a.took))
}

// checkPlanned verifies that no attempt fails in a run of planned maintenance only, except those that crossed a close.
func (c *attemptChecker) checkPlanned(a *attempt) {
	if !c.run.schedule.planned() {
		return
	}
	failed := a.status >= http.StatusInternalServerError && a.status != http.StatusServiceUnavailable
	if failed || c.lostByFront(a) && !c.crossedClose(a) {
		c.run.violation("lost in planned work: %s at front %d: status %d %s", a.id, a.front, a.status, a.failure)
	}
}

func (c *attemptChecker) reliable(e *faulty.Entry, until time.Time) bool {
	s := c.run.searcherByID(e.Searcher)
	return s != nil && s.reliableUntil(until)
}

// checkClientLeft counts work that was forwarded or continued for long after its client had left.
func (c *attemptChecker) checkClientLeft(a *attempt) {
	deadline := a.leftAt.Add(leaveSlack)
	if a.leftAt.IsZero() || !c.undisturbed(a, deadline) {
		return
	}
	for _, e := range c.entries[a.id] {
		switch {
		case !c.reliable(e, deadline):
		case e.At.After(deadline):
			c.lateArrivals++
		case e.Ran && e.At.Add(longWork).After(deadline):
			c.leftRuns++
			if e.Ended.IsZero() || e.Ended.After(deadline) {
				c.continuedRuns++
			}
		}
	}
}

// checkHorizon counts attempts that have no final answer soon after the horizon of their route.
func (c *attemptChecker) checkHorizon(a *attempt) {
	if a.took < horizon || !c.undisturbed(a, a.sent.Add(a.took)) {
		return
	}
	c.pastHorizon++
	if a.took > horizon+horizonSlack {
		c.heldAttempts++
	}
}

// checkDeadline counts arrivals whose deadline is later than the client's.
func (c *attemptChecker) checkDeadline(a *attempt) {
	for _, e := range c.entries[a.id] {
		if !c.undisturbed(a, e.At) || !c.reliable(e, e.At) {
			continue // a paused searcher reads it late
		}
		c.arrivals++
		granted := time.Duration(e.DeadlineMs) * time.Millisecond
		if e.DeadlineMs < 0 || e.At.Add(granted).After(a.sent.Add(a.deadline+deadlineSlack)) {
			c.lateDeadlines++
		}
	}
}
