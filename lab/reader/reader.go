// Package reader is the laboratory's model of one searcher: cores that each serve one part at a time, a bounded queue in
// front of them, a slow warm-up after a start, and a crash under sustained overload. It has no I/O, clock or random source:
// time and work are passed in, finished parts are reported through a callback, and the same events give the same results.
// All other faults (a slow, paused or crashed searcher) are injected by the caller. The model's constants are the
// laboratory's own; docs/laboratory.md lists what it leaves out.
package reader

import (
	"fmt"
	"slices"
	"time"
)

// Settings configures a reader.
type Settings struct {
	Cores         int           // parts served at the same time
	QueueCapacity int           // the maximum number of waiting parts
	WarmUp        time.Duration // from a start until the reader runs at full speed
	ColdShare     float64       // share of the full speed right after a start; it grows linearly
	OverloadWait  time.Duration // the reader is overloaded while the expected wait is longer than this; 0: never
	OverloadSpan  time.Duration // the reader crashes when it has been overloaded for this long
	RestartDelay  time.Duration // from a crash until the reader is up again
}

// Check returns an error if no reader can work with the settings.
func (s Settings) Check() error {
	switch {
	case s.Cores < 1:
		return fmt.Errorf("cores: %d; must be at least 1", s.Cores)
	case s.QueueCapacity < 0:
		return fmt.Errorf("queue capacity: %d; must not be negative", s.QueueCapacity)
	case s.WarmUp < 0 || s.WarmUp > 0 && (s.ColdShare <= 0 || s.ColdShare > 1):
		return fmt.Errorf("warm-up: from a share of %g over %v; the share must be above 0 and at most 1, the time not negative",
			s.ColdShare, s.WarmUp)
	case s.OverloadWait < 0 || s.OverloadSpan < 0 || s.RestartDelay < 0:
		return fmt.Errorf("overload wait %v, overload span %v, restart delay %v: must not be negative",
			s.OverloadWait, s.OverloadSpan, s.RestartDelay)
	}
	return nil
}

// Outcome is how a part ended at a reader.
type Outcome uint8

// The outcomes of a part.
const (
	Served   Outcome = iota // the model doesn't say whether the answer is good
	Rejected                // the queue was full
	Expired                 // its deadline passed while it waited; it never ran
	Lost                    // the reader crashed
)

// Reader models one searcher.
type Reader struct {
	settings        Settings
	running         []part // ordered by the time at which they finish
	queue           []part // first in, first out
	queuedWork      time.Duration
	startedAt       time.Duration
	slowdown        float64       // factor by which serving takes longer than normal
	up              bool          // if not, the reader restarts at restartAt
	restartAt       time.Duration // while down
	paused          bool          // while paused, running parts make no progress
	pausedAt        time.Duration
	overloadedSince time.Duration // -1 while not overloaded
	overloadCrashes int
}

type part struct {
	id         uint64
	work       time.Duration
	deadline   time.Duration
	finishesAt time.Duration
}

// New makes a reader that has been up for long enough to be warm.
func New(settings Settings) (*Reader, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &Reader{settings: settings, slowdown: 1, up: true, startedAt: -settings.WarmUp, overloadedSince: -1}, nil
}

// Up reports whether the reader accepts parts; one that is down refuses connections.
func (r *Reader) Up() bool { return r.up }

// OverloadCrashes returns how often the reader crashed from overload.
func (r *Reader) OverloadCrashes() int { return r.overloadCrashes }

// Load returns the numbers of running and waiting parts, which a searcher would report.
func (r *Reader) Load() (running, waiting int) { return len(r.running), len(r.queue) }

// speed returns the current share of the full speed.
func (r *Reader) speed(now time.Duration) float64 {
	p := 1.0
	if since := now - r.startedAt; since < r.settings.WarmUp {
		p = r.settings.ColdShare + (1-r.settings.ColdShare)*float64(since)/float64(r.settings.WarmUp)
	}
	return p / r.slowdown
}

// Arrive adds a part, with the time that it takes at full speed and its deadline. If the queue is full, the part ends at
// once. The reader must be up.
func (r *Reader) Arrive(now time.Duration, id uint64, work, deadline time.Duration, end func(uint64, Outcome)) {
	p := part{id: id, work: work, deadline: deadline}
	switch {
	case len(r.running) < r.settings.Cores && !r.paused:
		r.serve(now, p)
	case len(r.queue) >= r.settings.QueueCapacity:
		end(id, Rejected)
		return
	default:
		r.queue = append(r.queue, p)
		r.queuedWork += work
	}
	r.updateOverload(now)
}

func (r *Reader) serve(now time.Duration, p part) {
	p.finishesAt = now + time.Duration(float64(p.work)/r.speed(now))
	i, _ := slices.BinarySearchFunc(r.running, p, func(a, b part) int {
		if a.finishesAt <= b.finishesAt {
			return -1
		}
		return 1
	})
	r.running = slices.Insert(r.running, i, p)
}

// updateOverload records since when the expected wait has been longer than OverloadWait.
func (r *Reader) updateOverload(now time.Duration) {
	wait := float64(r.queuedWork) / float64(r.settings.Cores) / r.speed(now)
	if r.settings.OverloadWait == 0 || wait <= float64(r.settings.OverloadWait) {
		r.overloadedSince = -1
	} else if r.overloadedSince < 0 {
		r.overloadedSince = now
	}
}

// Cancel removes a part. It returns false if the part has already ended.
func (r *Reader) Cancel(now time.Duration, id uint64) bool {
	matches := func(p part) bool { return p.id == id }
	if i := slices.IndexFunc(r.queue, matches); i >= 0 {
		r.queuedWork -= r.queue[i].work
		r.queue = slices.Delete(r.queue, i, i+1)
		r.updateOverload(now)
		return true
	}
	i := slices.IndexFunc(r.running, matches)
	if i < 0 {
		return false
	}
	r.running = slices.Delete(r.running, i, i+1)
	return true
}

// Next returns the time of the reader's next internal event, or false if there is none.
func (r *Reader) Next() (at time.Duration, ok bool) {
	earlier := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if !r.up {
		earlier(r.restartAt)
		return at, ok
	}
	if len(r.running) > 0 && !r.paused {
		earlier(r.running[0].finishesAt)
	}
	if r.overloadedSince >= 0 {
		earlier(r.overloadedSince + r.settings.OverloadSpan)
	}
	return at, ok
}

// Step processes the events that are due. It must be called no later than at the time that Next returns.
func (r *Reader) Step(now time.Duration, end func(uint64, Outcome)) {
	if !r.up {
		if now >= r.restartAt {
			r.up, r.startedAt, r.overloadedSince, r.paused = true, now, -1, false
		}
		return
	}
	for !r.paused && len(r.running) > 0 && r.running[0].finishesAt <= now {
		p := r.running[0]
		r.running = slices.Delete(r.running, 0, 1)
		end(p.id, Served)
	}
	r.startWaiting(now, end)
	r.updateOverload(now)
	if r.overloadedSince >= 0 && now >= r.overloadedSince+r.settings.OverloadSpan {
		r.overloadCrashes++
		r.Crash(now, end)
	}
}

// startWaiting assigns waiting parts to free cores and skips those whose deadline has passed.
func (r *Reader) startWaiting(now time.Duration, end func(uint64, Outcome)) {
	for !r.paused && len(r.running) < r.settings.Cores && len(r.queue) > 0 {
		p := r.queue[0]
		r.queue = slices.Delete(r.queue, 0, 1)
		r.queuedWork -= p.work
		if now >= p.deadline {
			end(p.id, Expired)
			continue
		}
		r.serve(now, p)
	}
}

// Crash ends all parts as lost. The reader is up again, and cold, after the restart delay.
func (r *Reader) Crash(now time.Duration, end func(uint64, Outcome)) {
	if !r.up {
		return
	}
	lost := slices.Concat(r.running, r.queue)
	r.running, r.queue, r.queuedWork = r.running[:0], r.queue[:0], 0
	r.up, r.restartAt, r.overloadedSince = false, now+r.settings.RestartDelay, -1
	for _, p := range lost {
		end(p.id, Lost)
	}
}

// SetSlowdown makes parts that start from now on take longer by a factor.
func (r *Reader) SetSlowdown(factor float64) { r.slowdown = max(factor, 0.001) }

// SetPaused pauses the reader or resumes it. Running parts make no progress while it is paused.
func (r *Reader) SetPaused(now time.Duration, paused bool, end func(uint64, Outcome)) {
	if r.paused == paused || !r.up {
		return
	}
	if r.paused = paused; paused {
		r.pausedAt = now
		return
	}
	for i := range r.running {
		r.running[i].finishesAt += now - r.pausedAt
	}
	r.startWaiting(now, end)
}
