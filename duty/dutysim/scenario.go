package dutysim

import (
	"fmt"
	"slices"
	"time"
)

// Scenarios are what can be asked for, in the order of the tables.
var Scenarios = []string{"calm", "kill", "pause", "split", "oneway", "flap", "drift", "roll", "rejoin", "new", "blind", "mixed"}

// bounded tells by which bound a scenario's gaps are judged: true while a majority always runs and hears each other.
func bounded(scenario string) bool {
	return slices.Contains([]string{"calm", "kill", "pause", "drift", "roll", "new"}, scenario)
}

// stage sets a scenario's events up.
func (w *world) stage() error {
	n, d, start := w.set.Instances, w.set.Interval, w.duty.QuorumBound(0)*2
	some := func() *instance { return w.all[w.dice.IntN(n)] }
	within := func(from, to time.Duration) time.Duration {
		return from + time.Duration(w.dice.Int64N(int64(max(1, to-from))))
	}
	switch w.set.Scenario {
	case "calm":
	case "kill":
		// A minority dies for good, so far apart that one is taken over before the next goes.
		dead := w.dice.Perm(n)[:max(1, min((n-1)/2, 3))]
		for k, i := range dead {
			if at := start + time.Duration(k)*2*w.duty.QuorumBound(0); n > 1 {
				w.after(within(at, at+d), w.all[i].stop)
			}
		}
	case "pause":
		i, at := some(), within(start, start+4*d)
		if n > 2 {
			w.after(at, func() { i.pause(within(200*time.Millisecond, 20*time.Second)) })
		}
	case "split":
		w.after(within(start, start+4*d), func() { w.split(2 + w.dice.IntN(2)) })
		w.after(within(w.end*2/3, w.end*3/4), w.heal)
	case "oneway":
		w.loss, w.late = 0.05, 0.05
		for range 1 + n/2 {
			w.after(within(start, w.end/2), func() {
				i, j := w.dice.IntN(n), w.dice.IntN(n)
				w.cut[i][j] = i != j
			})
		}
	case "flap":
		w.loss = 0.02
		for at := start; at < w.end; at += within(d/4, 2*d) {
			w.after(at, func() {
				i, j := w.dice.IntN(n), w.dice.IntN(n)
				w.cut[i][j] = i != j && !w.cut[i][j]
				w.cut[j][i] = w.cut[i][j]
			})
		}
	case "drift":
		for k, i := range w.all {
			i.clock.rate = 1 + 0.001*(2*float64(k)/float64(max(1, n-1))-1)
			i.clock.offset = within(0, time.Hour)
		}
	case "roll":
		// One after another leaves in good order and comes back under its name, twice round.
		each := max(w.duty.QuorumBound(0), 2*time.Second)
		for k := range 2 * n {
			i := w.all[k%n]
			if at := start + time.Duration(k)*each; at < w.end && n > 2 {
				w.after(at, func() { w.restart(i, true, within(50*time.Millisecond, time.Second)) })
			}
		}
	case "rejoin":
		// All others restart while one is cut off: what they promised it is forgotten, and it does not know.
		i, at := some(), within(start, start+4*d)
		w.anch = i.id
		w.after(at, func() {
			for j := range w.all {
				w.cut[i.id][j], w.cut[j][i.id] = true, true
			}
			for _, j := range w.all {
				if j != i {
					w.restart(j, false, within(10*time.Millisecond, 100*time.Millisecond))
				}
			}
		})
		w.after(at+6*d, w.heal)
	case "new":
		// All readers start at once, when everybody has long been at it, and are spared from there on.
		w.after(start, w.renew)
	case "blind":
		w.blindness()
	case "mixed":
		w.mixed()
	default:
		return fmt.Errorf("scenario %q: not one of %v", w.set.Scenario, Scenarios)
	}
	return nil
}

// blindness keeps some instances from some readers, but each reader is reached from one that runs throughout.
func (w *world) blindness() {
	w.anch = w.dice.IntN(w.set.Instances)
	for i := range w.all {
		for r := range w.names {
			w.blind[i][r] = i != w.anch && w.dice.IntN(3) == 0
		}
	}
}

// renew starts all readers anew; each instance hears of it in its own time.
func (w *world) renew() {
	w.born = w.now
	for _, i := range w.all {
		i.post(time.Duration(w.dice.Int64N(int64(w.set.Interval))), func() {
			i.act(func() { i.m.Targets(0, i.targets()) })
		})
	}
}

// mixed draws all there is, at any time, sparing one instance its processor.
func (w *world) mixed() {
	n, d := w.set.Instances, w.set.Interval
	w.anch = w.dice.IntN(n)
	w.loss, w.late = w.dice.Float64()*0.1, w.dice.Float64()*0.1
	if w.dice.IntN(4) == 0 {
		w.blindness()
	}
	for _, i := range w.all {
		i.clock.rate = 1 + 0.001*(2*w.dice.Float64()-1)
	}
	for at := time.Duration(0); at < w.end; at += time.Duration(w.dice.Int64N(int64(3 * d))) {
		w.after(at, func() {
			i := w.all[w.dice.IntN(n)]
			switch k := w.dice.IntN(9); {
			case k == 0:
				w.split(1 + w.dice.IntN(3))
			case k == 1:
				w.heal()
			case k == 2:
				a, b := w.dice.IntN(n), w.dice.IntN(n)
				w.cut[a][b] = a != b && !w.cut[a][b]
			case k <= 3 && i.id != w.anch:
				i.pause(200*time.Millisecond + time.Duration(w.dice.Int64N(int64(20*time.Second))))
			case k <= 5 && i.id != w.anch && i.up:
				w.restart(i, w.dice.IntN(2) == 0, time.Duration(w.dice.Int64N(int64(4*d))))
			case k == 6 && i.id != w.anch:
				i.clock.offset += time.Duration(w.dice.Int64N(int64(20*time.Second))) - 5*time.Second
			case k == 7:
				w.loss = w.dice.Float64() * 0.3
			}
		})
	}
}

// split puts instances into so many groups that hear nothing of each other.
func (w *world) split(groups int) {
	of := make([]int, len(w.all))
	for k, i := range w.dice.Perm(len(w.all)) {
		if of[i] = k; k >= groups {
			of[i] = w.dice.IntN(groups)
		}
	}
	for i := range w.cut {
		for j := range w.cut[i] {
			w.cut[i][j] = of[i] != of[j]
		}
	}
}

func (w *world) heal() {
	for i := range w.cut {
		clear(w.cut[i])
	}
}

// restart ends a process, in good order or not, and begins it anew under its name.
func (w *world) restart(i *instance, order bool, down time.Duration) {
	if order && w.now >= i.till {
		i.act(i.m.Leave)
	}
	i.stop()
	w.after(down, func() {
		if !i.up {
			if err := i.start(); err != nil {
				panic(err) // the same settings as before
			}
		}
	})
}
