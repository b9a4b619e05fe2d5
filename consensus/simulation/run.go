package simulation

import (
	"time"

	"peathollow/consensus"
)

// Result summarizes a run.
type Result struct{ Epochs, Done, Open, Wipes, Replaced, Losses int }

// Play runs faults under load, then a quiet period of 3 s, then a proposal and a read that must each succeed within 1.5 s.
func Play(o Options, log func(string, ...any)) (Result, error) {
	w := New(o)
	if log != nil {
		w.Log = log
	}
	for i := range 4 {
		w.after(w.randomDuration(0, 300*ms), func() { w.client(i) })
	}
	if o.Scenario != "" {
		w.after(w.randomDuration(500*ms, 2000*ms), w.runScenario)
	} else if !o.NoFaults {
		w.chooseFaults()
		w.after(w.randomDuration(500*ms, 5000*ms), w.injectFault)
	}
	w.run(o.Span)
	w.stopFaults()
	w.run(o.Span + 3000*ms)
	if !o.ExceedTolerance {
		w.checkFinalCalls()
	}
	w.checkLinearizable()
	r := Result{Epochs: w.observed.Epochs, Wipes: w.wipes, Replaced: w.replaced, Losses: w.lossesInjected}
	for _, c := range w.clients.history {
		if c.completed {
			r.Done++
		} else {
			r.Open++
		}
	}
	return r, w.err
}

func (w *World) checkFinalCalls() {
	if w.err != nil {
		return
	}
	for _, read := range []bool{false, true} {
		d := consensus.Document{}
		if !read {
			w.clients.highestProposed++
			d = document(w.clients.highestProposed, "last")
		}
		o := w.startCall(9, read, d)
		o.timeout = clientTimeout
		w.run(w.now + 1500*ms)
		if w.options.Unsatisfiable {
			w.checkBlockedReason()
		}
		if w.err == nil && o.completed == w.options.Unsatisfiable {
			w.fail("in calm: read %v, answered %v, unsatisfiable tolerance %v; %d attempts",
				read, o.completed, w.options.Unsatisfiable, o.attempts)
		}
	}
}

// checkBlockedReason checks that an active primary reports why it acknowledges nothing.
func (w *World) checkBlockedReason() {
	for _, h := range w.hosts {
		if h.node == nil {
			continue
		}
		if _, ok := h.node.Leading(); ok && h.node.BlockedReason() == "" {
			w.fail("%s is primary and acknowledges nothing, but reports no reason", h.addr)
		}
	}
}

// Failure is a single failure without other faults; Recovery measures its effect.
type Failure string

// The failures that Recovery measures.
const (
	PrimaryKilled      Failure = "primary killed for good"
	PrimaryFrozen      Failure = "primary frozen for 5 s"
	PrimaryDiskStalled Failure = "disk of the primary hangs for 5 s"
	PrimaryIsolated    Failure = "primary alone for 5 s"
	PrimaryWiped       Failure = "primary loses its disk, back in 200 ms"
	BackupDiskStalled  Failure = "disk of a backup hangs for 5 s"
	AllKilled          Failure = "all killed, back within 1 s"
	AllWiped           Failure = "all lose power, back within 1 s, some without disks"
)

// Failures returns all failures.
func Failures() []Failure {
	return []Failure{PrimaryKilled, PrimaryFrozen, PrimaryDiskStalled, PrimaryIsolated, PrimaryWiped, BackupDiskStalled,
		AllKilled, AllWiped}
}

func (w *World) inject(failure Failure) (back time.Duration) {
	lead, others := w.primary()
	backup := others[0]
	switch failure {
	case PrimaryKilled:
		w.down(lead, time.Hour)
	case PrimaryFrozen:
		lead.frozenUntil = w.now + 5*time.Second
	case PrimaryDiskStalled:
		lead.stalledUntil = w.now + 5*time.Second
	case PrimaryIsolated:
		w.isolate(lead, 5*time.Second)
	case PrimaryWiped:
		w.wipe(lead, 200*ms)
	case BackupDiskStalled:
		backup.stalledUntil = w.now + 5*time.Second
	default:
		for i, h := range w.hosts {
			if failure == AllWiped && i < w.options.Losses {
				w.wipe(h, w.randomDuration(50*ms, time.Second))
			} else {
				w.down(h, w.randomDuration(50*ms, time.Second))
			}
		}
		back = time.Second
	}
	return back
}

// Recovery returns how long after a failure the first proposal that begins then is acknowledged and a following read is
// answered. For failures of all machines the time starts when the last one is back.
func Recovery(o Options, failure Failure) (time.Duration, error) {
	w := New(o)
	w.run(5 * time.Second)
	w.startCall(1, false, w.drawDocument())
	w.run(w.now + time.Second)
	from := w.now + w.inject(failure)
	w.run(from)
	for _, read := range []bool{false, true} {
		d := consensus.Document{}
		if !read {
			d = w.drawDocument()
		}
		p := w.startCall(2, read, d)
		for w.err == nil && !p.completed && w.now < from+10*time.Second {
			if p.ended || w.now-p.from > 300*ms { // a client that soon retries elsewhere
				p.ended = true
				p = w.startCall(2, read, d)
			}
			w.run(w.now + 10*ms)
		}
	}
	return w.now - from, w.err
}
