// Package reader is the laboratory's model of one searcher: cores that each serve one part at a time, a bounded queue
// before them, a cold start, and falling over under a load that it can't carry. It is free of I/O, clock and chance: time
// and work are handed in, and what ended comes out, the same for the same events. What goes wrong beside that (slow,
// paused, crashed) is told to it. Its constants are the laboratory's own; docs/laboratory.md says what it leaves out.
package reader

import (
	"fmt"
	"slices"
	"time"
)

// Settings are what a reader is.
type Settings struct {
	Cores    int           // parts served at once
	Room     int           // parts that wait, at most
	Cold     time.Duration // after a start till it serves at its full pace
	ColdPace float64       // of its full pace that it begins with; it grows evenly
	FallWait time.Duration // expected wait that it can't stand; 0: it stands any
	FallSpan time.Duration // for so long
	Restart  time.Duration // till it is back after it fell over or crashed
}

// Check tells what is wrong with settings.
func (s Settings) Check() error {
	switch {
	case s.Cores < 1:
		return fmt.Errorf("cores: %d, below 1", s.Cores)
	case s.Room < 0:
		return fmt.Errorf("room: %d, below 0", s.Room)
	case s.Cold < 0 || s.Cold > 0 && (s.ColdPace <= 0 || s.ColdPace > 1):
		return fmt.Errorf("cold: pace %g over %v; above 0 to 1, no time below 0", s.ColdPace, s.Cold)
	case s.FallWait < 0 || s.FallSpan < 0 || s.Restart < 0:
		return fmt.Errorf("a time below 0: fall-wait %v, fall-span %v, restart %v", s.FallWait, s.FallSpan, s.Restart)
	}
	return nil
}

// End is how a part ended at a reader.
type End uint8

const (
	Done    End = iota // served; whether well or badly is not the model's
	Refused            // no room
	Late               // its time was over before its turn came; it never ran
	Lost               // with the reader
)

// Reader is one searcher.
type Reader struct {
	set     Settings
	running []part // by the time they end
	queue   []part // first come, first served
	work    time.Duration
	started time.Duration
	slow    float64       // times as slow as it should be
	up      bool          // else back at backAt
	backAt  time.Duration // of one that is down
	held    bool          // paused: what runs stands still
	heldAt  time.Duration
	over    time.Duration // since when its wait is more than it stands; -1 if it is not
	falls   int
}

type part struct {
	id    uint64
	work  time.Duration
	until time.Duration
	ends  time.Duration
}

// New makes one that has long been up.
func New(set Settings) (*Reader, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	return &Reader{set: set, slow: 1, up: true, started: -set.Cold, over: -1}, nil
}

// Up tells whether it takes parts; one that is down refuses connections.
func (r *Reader) Up() bool { return r.up }

// Falls is how often it fell over.
func (r *Reader) Falls() int { return r.falls }

// Load is what it would report: parts served and waiting.
func (r *Reader) Load() (running, waiting int) { return len(r.running), len(r.queue) }

// pace is how much of its full pace it serves at.
func (r *Reader) pace(now time.Duration) float64 {
	p := 1.0
	if since := now - r.started; since < r.set.Cold {
		p = r.set.ColdPace + (1-r.set.ColdPace)*float64(since)/float64(r.set.Cold)
	}
	return p / r.slow
}

// Arrive takes a part that needs so much work at the full pace, and is waited for till then. What has no room ends at
// once. Nothing may arrive at one that is down.
func (r *Reader) Arrive(now time.Duration, id uint64, work, until time.Duration, end func(uint64, End)) {
	p := part{id: id, work: work, until: until}
	switch {
	case len(r.running) < r.set.Cores && !r.held:
		r.serve(now, p)
	case len(r.queue) >= r.set.Room:
		end(id, Refused)
		return
	default:
		r.queue = append(r.queue, p)
		r.work += work
	}
	r.weigh(now)
}

func (r *Reader) serve(now time.Duration, p part) {
	p.ends = now + time.Duration(float64(p.work)/r.pace(now))
	i, _ := slices.BinarySearchFunc(r.running, p, func(a, b part) int {
		if a.ends <= b.ends {
			return -1
		}
		return 1
	})
	r.running = slices.Insert(r.running, i, p)
}

// weigh notes since when the wait is more than it stands.
func (r *Reader) weigh(now time.Duration) {
	wait := float64(r.work) / float64(r.set.Cores) / r.pace(now)
	if r.set.FallWait == 0 || wait <= float64(r.set.FallWait) {
		r.over = -1
	} else if r.over < 0 {
		r.over = now
	}
}

// Drop takes out a part that is given up; false if it is not there, as it has ended.
func (r *Reader) Drop(now time.Duration, id uint64) bool {
	is := func(p part) bool { return p.id == id }
	if i := slices.IndexFunc(r.queue, is); i >= 0 {
		r.work -= r.queue[i].work
		r.queue = slices.Delete(r.queue, i, i+1)
		r.weigh(now)
		return true
	}
	i := slices.IndexFunc(r.running, is)
	if i < 0 {
		return false
	}
	r.running = slices.Delete(r.running, i, i+1)
	return true
}

// Next is when something happens by itself; false if nothing does.
func (r *Reader) Next() (at time.Duration, ok bool) {
	earlier := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if !r.up {
		earlier(r.backAt)
		return at, ok
	}
	if len(r.running) > 0 && !r.held {
		earlier(r.running[0].ends)
	}
	if r.over >= 0 {
		earlier(r.over + r.set.FallSpan)
	}
	return at, ok
}

// Step does what is due at a time, which is never later than Next tells.
func (r *Reader) Step(now time.Duration, end func(uint64, End)) {
	if !r.up {
		if now >= r.backAt {
			r.up, r.started, r.over, r.held = true, now, -1, false
		}
		return
	}
	for !r.held && len(r.running) > 0 && r.running[0].ends <= now {
		p := r.running[0]
		r.running = slices.Delete(r.running, 0, 1)
		end(p.id, Done)
	}
	r.fill(now, end)
	r.weigh(now)
	if r.over >= 0 && now >= r.over+r.set.FallSpan {
		r.falls++
		r.Crash(now, end)
	}
}

// fill gives free cores what waits; what nobody waits for any more is passed over.
func (r *Reader) fill(now time.Duration, end func(uint64, End)) {
	for !r.held && len(r.running) < r.set.Cores && len(r.queue) > 0 {
		p := r.queue[0]
		r.queue = slices.Delete(r.queue, 0, 1)
		r.work -= p.work
		if now >= p.until {
			end(p.id, Late)
			continue
		}
		r.serve(now, p)
	}
}

// Crash loses all it holds; it is back, cold, after its restart.
func (r *Reader) Crash(now time.Duration, end func(uint64, End)) {
	if !r.up {
		return
	}
	lost := slices.Concat(r.running, r.queue)
	r.running, r.queue, r.work = r.running[:0], r.queue[:0], 0
	r.up, r.backAt, r.over = false, now+r.set.Restart, -1
	for _, p := range lost {
		end(p.id, Lost)
	}
}

// Slow makes what it begins from now on take so many times as long.
func (r *Reader) Slow(times float64) { r.slow = max(times, 0.001) }

// Pause holds all it does, or lets it go on.
func (r *Reader) Pause(now time.Duration, hold bool, end func(uint64, End)) {
	if r.held == hold || !r.up {
		return
	}
	if r.held = hold; hold {
		r.heldAt = now
		return
	}
	for i := range r.running {
		r.running[i].ends += now - r.heldAt
	}
	r.fill(now, end)
}
