package simulation

import "time"

// Scenario is a sequence of related faults with random details. Independent random faults produce such a sequence only once
// in thousands of runs.
type Scenario string

// The scenarios.
const (
	Successors        Scenario = "successors" // primaries fail in turn during a write, with several bodies per version
	PausedPrimary     Scenario = "sleeper"    // a primary is paused, resumes and receives reads before any message
	RotatingIsolation Scenario = "rota"       // a backup is cut off; when it is back the primary is, and the third loses its disk
	SuccessiveLosses  Scenario = "losses"     // one loss after another, each as soon as the rules allow it
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{Successors, PausedPrimary, RotatingIsolation, SuccessiveLosses}
}

// primary returns the newest active primary and all other running machines.
func (w *World) primary() (lead *host, others []*host) {
	var top uint64
	for _, h := range w.remainingHosts() {
		if h.node == nil {
			continue
		}
		if n, ok := h.node.Leading(); ok && n > top {
			lead, top = h, n
		}
	}
	for _, h := range w.remainingHosts() {
		if h.node != nil && h != lead {
			others = append(others, h)
		}
	}
	return lead, others
}

func (w *World) runScenario() {
	if w.now >= w.faultsUntil-500*ms {
		return
	}
	lead, others := w.primary()
	if lead == nil || len(others) == 0 {
		w.after(100*ms, w.runScenario)
		return
	}
	pause := 3 * time.Second
	switch w.options.Scenario {
	case Successors:
		pause = w.failPrimaryDuringWrite(lead, others)
	case PausedPrimary:
		w.pausePrimary(lead)
	case RotatingIsolation:
		w.rotateIsolation(lead, others)
	case SuccessiveLosses:
		pause = w.nextLoss(lead, others)
	}
	w.after(min(pause, max(ms, w.faultsUntil-w.now)), w.runScenario)
}

func (w *World) failPrimaryDuringWrite(lead *host, others []*host) time.Duration {
	for _, o := range others {
		if w.chance(0.6) {
			w.cuts[[2]string{lead.addr, o.addr}] = w.now + 50*ms
		}
	}
	o := w.startCall(8, false, w.drawDocument())
	w.attempt(o, lead)
	w.after(w.randomDuration(5*ms, 25*ms), func() { w.down(lead, w.randomDuration(200*ms, 1500*ms)) })
	return w.randomDuration(900*ms, 2000*ms)
}

func (w *World) pausePrimary(lead *host) {
	d := w.randomDuration(1500*ms, 2500*ms)
	w.Log("%v %s is paused for %v", w.now, lead.addr, d)
	lead.frozenUntil = w.now + d
	for range 6 {
		w.after(d-w.randomDuration(ms, 200*ms), func() {
			o := &op{client: 7, read: true, from: w.now, minVersion: w.clients.highestAcknowledged, timeout: time.Second}
			w.clients.history = append(w.clients.history, o)
			w.attempt(o, lead)
		})
	}
}

func (w *World) rotateIsolation(lead *host, others []*host) {
	w.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	d := w.randomDuration(600*ms, 1500*ms)
	w.isolate(others[0], d)
	w.after(d, func() {
		if w.now+500*ms > w.faultsUntil {
			return
		}
		w.isolate(lead, w.randomDuration(1200*ms, 2500*ms))
		for _, l := range others[1:] {
			if w.withinTolerance(l) {
				w.wipe(l, w.randomDuration(ms, 200*ms))
			}
		}
	})
}
