package simulation

import (
	"fmt"
	"time"
)

// Fault is a kind of trouble.
type Fault string

// The faults. Those that take a core machine away wait until the one before counts as back; what befalls all keeps disks.
const (
	Kill      Fault = "kill"            // a controller's process is killed
	Power     Fault = "power"           // a core machine loses power
	PowerAll  Fault = "power-all"       // all core machines lose power
	KillAll   Fault = "kill-all"        // all controllers are killed
	BlackOut  Fault = "black-out"       // all machines lose power, fronts too
	Wipe      Fault = "wipe"            // a core machine comes back with an empty disk
	WipeDark  Fault = "wipe-dark"       // so does one, while all others lose power
	WipeBlack Fault = "wipe-black"      // the same, and all fronts lose power as well
	Replace   Fault = "replace"         // one goes for good, an empty one comes at another address
	Planned   Fault = "replace-planned" // the new one first, then the old one is told to leave
	Leave     Fault = "leave"           // a controller is told to end, and starts again
	Cut       Fault = "cut"             // a core machine is cut off from the others of the core
	CutOneWay Fault = "cut-one-way"     // in one direction
	CutAll    Fault = "cut-all"         // from everything
	DiskFull  Fault = "disk-full"
	DiskStall Fault = "disk-stall"
	Fronts    Fault = "fronts" // fronts start anew: agent, proxy or both
)

// Faults lists them.
func Faults() []Fault {
	return []Fault{Kill, Power, PowerAll, KillAll, BlackOut, Wipe, WipeDark, WipeBlack, Replace, Planned, Leave, Cut, CutOneWay, CutAll, DiskFull,
		DiskStall, Fronts}
}

// trouble draws one fault after the other.
func (w *World) trouble(span time.Duration) {
	kinds := w.o.Faults
	if kinds == nil {
		kinds = Faults()
	}
	step := w.o.Step
	if step == 0 {
		step = 3 * time.Second
	}
	for end := time.Now().Add(span); time.Now().Before(end) && !w.failed(); {
		time.Sleep(w.span(step/10, 2*step))
		kind := kinds[w.pick(len(kinds))]
		w.mu.Lock()
		if w.o.Armed {
			w.armed, w.trigger = kind, w.o.At
		} else if w.rng.Float64() < 0.4 {
			w.armed, w.trigger = kind, []Moment{OrderTaken, DrainTaken}[w.rng.IntN(2)]
		} else {
			w.strike(kind)
		}
		w.mu.Unlock()
	}
}

// Moment is what a fault that is armed waits for: the next acknowledgement of its kind.
type Moment uint8

// The moments.
const (
	OrderTaken Moment = iota
	DrainTaken
)

// spring does the fault that waits for this; the lock is held.
func (w *World) spring(at Moment) {
	if kind := w.armed; kind != "" && w.trigger == at {
		w.armed = ""
		w.strike(kind)
	}
}

// between is like span, with the lock held.
func (w *World) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rng.Int64N(int64(most-least)+1))
}

// someone is a running core machine; nil if there is none. The lock is held.
func (w *World) someone() *machine {
	var running []*machine
	for _, m := range w.present() {
		if m.life != nil {
			running = append(running, m)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return running[w.rng.IntN(len(running))]
}

// lose takes the place of the one loss that the tolerance allows; false if it is taken. The lock is held.
func (w *World) lose(d time.Duration) bool {
	if time.Now().Before(w.lostTo) {
		return false
	}
	w.lostTo = time.Now().Add(d + syncBound)
	return true
}

// strike does one fault; the lock is held.
func (w *World) strike(kind Fault) {
	m := w.someone()
	if m == nil {
		return
	}
	short, long := w.between(300*time.Millisecond, 2*time.Second), w.between(500*time.Millisecond, 8*time.Second)
	if w.rng.Float64() < 0.4 {
		long = w.between(18*time.Second, 24*time.Second)
	}
	switch kind {
	case PowerAll, KillAll, BlackOut:
		w.strikeAll(kind)
		return
	case Fronts:
		w.restartFronts()
		return
	}
	lost := long
	switch kind {
	case Kill, Power, Wipe, WipeDark, WipeBlack, Replace, Planned:
		lost = short
	case Leave:
		lost = short + 3*time.Second
	}
	if !w.lose(lost) {
		return
	}
	w.result.Faults++
	w.tell("%s: %s for %v", m.node, kind, lost)
	switch kind {
	case Kill, Power:
		w.end(m, kind == Power)
		w.back(m, short)
	case Wipe:
		w.wipe(m)
		w.back(m, short)
	case WipeDark, WipeBlack:
		for _, o := range w.present() {
			if o != m {
				w.end(o, true)
				w.back(o, w.between(200*time.Millisecond, time.Second))
			}
		}
		w.wipe(m)
		w.back(m, short)
		if kind == WipeBlack {
			w.restartAllFronts()
		}
	case Replace:
		w.replace(m, short, false)
	case Planned:
		w.replace(m, short, true)
	case Leave:
		w.leave(m, func() { w.back(m, short) })
	case Cut, CutOneWay, CutAll:
		w.cut(m, kind, long)
	case DiskFull:
		m.life.disk.fullTo.Store(int64(time.Since(w.start) + long))
		w.unsettle(long)
	case DiskStall:
		m.life.disk.stallTo.Store(int64(time.Since(w.start) + long))
		w.unsettle(long)
	}
}

// unsettle counts the core as disturbed now and again after a while; the lock is held.
func (w *World) unsettle(d time.Duration) {
	w.disturbed = time.Now()
	w.work.Go(func() {
		time.Sleep(d)
		w.mu.Lock()
		w.disturbed = time.Now()
		w.mu.Unlock()
	})
}

func (w *World) strikeAll(kind Fault) {
	w.result.Faults++
	w.tell("%s", kind)
	for _, m := range w.present() {
		if m.life != nil {
			w.end(m, kind != KillAll)
			w.back(m, w.between(100*time.Millisecond, time.Second))
		}
	}
	if t := time.Now().Add(time.Second + syncBound); t.After(w.lostTo) {
		w.lostTo = t
	}
	if kind == BlackOut {
		w.restartAllFronts()
	}
}

// restartAllFronts has all fronts lose power; the lock is held.
func (w *World) restartAllFronts() {
	for _, f := range w.fronts {
		w.restart(f, true, true)
	}
}

func (w *World) restartFronts() {
	w.tell("fronts start anew")
	for _, f := range w.fronts {
		switch w.rng.IntN(4) {
		case 0:
			w.restart(f, true, false)
		case 1:
			w.restart(f, false, true)
		case 2:
			w.restart(f, true, true)
		}
	}
}

// restart ends a front's processes and starts them again soon; the lock is held.
func (w *World) restart(f *front, anAgent, aProxy bool) {
	f.disturbed = time.Now()
	after := w.between(100*time.Millisecond, 800*time.Millisecond)
	if anAgent {
		f.agent.end()
	}
	if aProxy {
		f.proxy.end()
	}
	w.work.Go(func() {
		time.Sleep(after)
		if anAgent {
			w.startAgent(f)
		}
		if aProxy {
			w.startProxy(f)
		}
	})
}

func (w *World) replace(m *machine, after time.Duration, planned bool) {
	goes := func() {
		w.end(m, true)
		m.gone = true
	}
	if !planned {
		goes()
	}
	n := len(w.machines)
	w.work.Go(func() {
		if !planned {
			time.Sleep(after)
		}
		w.addMachine(n, false)
		if planned {
			time.Sleep(after)
			w.mu.Lock()
			if m.life != nil {
				w.leave(m, func() { m.gone = true })
			}
			w.mu.Unlock()
		}
	})
}

// leave tells a controller to end; what follows is done with the lock held once it has ended, or at the end of its grace.
func (w *World) leave(m *machine, then func()) {
	l := m.life
	w.disturbed = time.Now()
	l.stop()
	w.work.Go(func() {
		select {
		case <-l.ended:
		case <-time.After(3 * time.Second):
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if m.life != l {
			return // something else has befallen it
		}
		w.end(m, false)
		then()
	})
}

// cut takes a machine's links away for a while; the lock is held.
func (w *World) cut(m *machine, kind Fault, d time.Duration) {
	var peers []string
	for _, o := range w.machines {
		if o != m {
			peers = append(peers, o.ip)
		}
	}
	if kind == CutAll {
		for _, f := range w.fronts {
			peers = append(peers, frontIP(f.no))
		}
		for i := range w.o.Searchers {
			peers = append(peers, fmt.Sprintf("10.8.0.%d", i+1))
		}
		peers = append(peers, "10.9.0.1", "10.9.0.2", "10.9.0.99")
	}
	out, in := true, true
	if kind == CutOneWay {
		out = w.rng.Float64() < 0.5
		in = !out
	}
	for _, p := range peers {
		w.net.Cut(m.ip, p, out)
		w.net.Cut(p, m.ip, in)
	}
	w.disturbed = time.Now()
	w.work.Go(func() {
		time.Sleep(d)
		for _, p := range peers {
			w.net.Cut(m.ip, p, false)
			w.net.Cut(p, m.ip, false)
		}
		w.mu.Lock()
		w.disturbed = time.Now()
		w.mu.Unlock()
	})
}

// calm ends all trouble.
func (w *World) calm() {
	w.net.Heal()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tell("calm")
	w.armed = ""
	w.disturbed = time.Now()
	for _, m := range w.present() {
		if m.life != nil {
			m.life.disk.fullTo.Store(0)
			m.life.disk.stallTo.Store(0)
		}
	}
}
