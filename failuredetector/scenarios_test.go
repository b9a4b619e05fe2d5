package failuredetector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"peathollow/distribution"
	. "peathollow/failuredetector"
)

const (
	// maxDetection is the bound within which a dead mixer is marked silent, from when its watchers last changed: the doubled
	// timeout of a new watcher in another zone, its next pull, a controller's report, and the registry's silence timeout after
	// the last heartbeat recorded on behalf of the mixer.
	maxDetection = 2*7*500*time.Millisecond + 500*time.Millisecond + 2*800*time.Millisecond + period*5/2 + time.Second
	// maxFalseSilence is how long a live mixer may be marked silent once it is reachable.
	maxFalseSilence = 3 * time.Second
)

// check verifies the invariants against the controllers' state. confirmedElsewhere reports which mixers can't
// pull but must be confirmed alive by their watchers.
func (w *world) check(confirmedElsewhere func(*mixer) bool) error {
	running := 0
	for _, m := range w.mixers {
		if m.up && w.now.Sub(m.since) > 3*time.Second {
			running++
		}
		if m.up && w.thorough() {
			if err := m.detector.Check(); err != nil {
				return errors.Wrapf(err, "failuredetector of %s", m.incarnation)
			}
		}
	}
	healthy := map[string]bool{}
	for _, h := range w.controllers {
		healthy[h.name] = h.up && !h.isolated
	}
	for _, h := range w.controllers {
		if !h.up {
			continue
		}
		if w.thorough() {
			if err := errors.Join(h.arbiter.Check(), h.list.Check()); err != nil {
				return errors.Wrapf(err, "controller %s", h.name)
			}
		}
		if h.isolated { // it knows that its list may be out of date
			clear(h.deadSince)
			clear(h.silentSince)
			continue
		}
		if n := distribution.CountMixers(h.list, window); n != 0 && n < running && w.now.Sub(h.since) > 4*time.Second {
			return errors.Errorf("%s counts %d mixers, but %d are running", h.name, n, running)
		}
		live := map[string]*mixer{}
		for _, m := range w.mixers {
			if m.up {
				live[m.incarnation] = m
			}
		}
		for x := range distribution.Mixers(h.list) {
			m := live[x.Incarnation]
			if m == nil {
				at, ok := h.deadSince[x.Incarnation]
				n := Node{Incarnation: x.Incarnation, Addr: x.Addr, Zone: x.Zone, Region: region(int(x.Zone[1] - '0'))}
				if by := fmt.Sprint(NewRing(nodes(h.list)).Watchers(&n)); !ok || h.watchers[x.Incarnation] != by {
					h.deadSince[x.Incarnation], h.watchers[x.Incarnation] = w.now, by
				} else if !healthy[x.Source] { // no controller monitors it until its source is adopted
					h.deadSince[x.Incarnation] = w.now.Add(5 * time.Second)
				} else if !x.Silent && w.now.Sub(at) > maxDetection {
					return errors.Errorf("%s has not marked %s silent, which is dead for %v", h.name, x.Incarnation, w.now.Sub(at))
				}
				continue
			}
			reachable := w.now.Sub(m.lastPull) < time.Second || confirmedElsewhere(m)
			if !x.Silent || !reachable || m.frozen.After(w.now) {
				delete(h.silentSince, x.Incarnation)
			} else if at, ok := h.silentSince[x.Incarnation]; !ok {
				h.silentSince[x.Incarnation] = w.now
			} else if w.now.Sub(at) > maxFalseSilence {
				return errors.Errorf("%s has marked %s silent for %v, and it is alive", h.name, x.Incarnation, w.now.Sub(at))
			}
		}
	}
	return nil
}

// thorough reports whether the expensive checks are due.
func (w *world) thorough() bool { return w.now.UnixMilli()/int64(step/time.Millisecond)%56 == 0 }

// noMixer is a confirmedElsewhere that matches no mixer.
func noMixer(*mixer) bool { return false }

// simulate runs the world for a while, with an optional action each second.
func (w *world) simulate(d time.Duration, confirmedElsewhere func(*mixer) bool, each func(second int)) error {
	for i := range int(d / step) {
		if i%20 == 0 && each != nil {
			each(i / 20)
		}
		w.step()
		if i%8 == 0 {
			if err := w.check(confirmedElsewhere); err != nil {
				return errors.Wrapf(err, "at %v", time.Duration(i)*step)
			}
		}
	}
	return nil
}

// checkAllAlive returns an error unless all controllers and watchers consider all running mixers alive.
func (w *world) checkAllAlive() error {
	running := 0
	for _, m := range w.mixers {
		if m.up {
			running++
		}
		if l := m.detector.Missed(); m.up && len(l) > 0 {
			return errors.Errorf("%s misses %v", m.incarnation, l)
		}
	}
	for _, h := range w.controllers {
		n := 0
		for m := range distribution.Mixers(h.list) {
			if !m.Silent {
				n++
			}
		}
		if report := h.arbiter.WatchReport(w.now); n != running || len(report.Missed)+len(report.Seen)+len(report.Unheard) > 0 {
			return errors.Errorf("%s: %d of %d are alive, %+v", h.name, n, running, report)
		}
	}
	return nil
}

// isolate cuts a controller off from all others and from all mixers.
func (w *world) isolate(h int) {
	for i := range w.controllers {
		w.partitions[[2]string{fmt.Sprint("c", h), fmt.Sprint("c", i)}] = true
	}
	for _, m := range w.mixers {
		w.partitions[[2]string{m.machine, fmt.Sprint("c", h)}] = true
	}
}

// disrupt injects one random fault: kills, restarts, freezes, one-way partitions, dead or isolated controllers.
func (w *world) disrupt(second int) {
	m, o, h := w.mixers[w.rng.IntN(len(w.mixers))], w.mixers[w.rng.IntN(len(w.mixers))], w.rng.IntN(len(w.controllers))
	switch k := w.rng.IntN(14); {
	case k < 3:
		m.up = !m.up
		if m.up {
			w.start(m)
		}
	case k == 3:
		w.start(m) // immediate restart at the same address
	case k == 4:
		m.frozen = w.now.Add(time.Duration(w.rng.IntN(5000)) * time.Millisecond)
	case k == 5:
		w.partitions[[2]string{m.machine, o.machine}] = true
	case k == 6:
		w.partitions[[2]string{m.machine, fmt.Sprint("c", h)}] = true
	case k < 10:
		clear(w.partitions)
	case k == 11 && second%3 == 0:
		w.isolate(h)
	case k == 10 && second%4 == 0:
		if w.controllers[h].up = !w.controllers[h].up; w.controllers[h].up {
			w.startController(h)
		}
	}
}

// Runs random faults with heartbeat loss, then checks that all agree once the faults end.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(7) {
		w := newWorld(seed, 12, 3)
		w.lossRate = 0.1
		must.NoError(t, w.simulate(5*time.Second, noMixer, nil), must.Sprint(seed))
		must.NoError(t, w.simulate(40*time.Second, noMixer, w.disrupt), must.Sprint(seed))
		clear(w.partitions)
		w.lossRate = 0
		for i, h := range w.controllers {
			if !h.up {
				w.startController(i)
			}
		}
		must.NoError(t, w.simulate(2*maxDetection+5*time.Second, noMixer, nil), must.Sprint(seed))
		must.NoError(t, w.checkAllAlive(), must.Sprint(seed))
	}
}

// cutOff cuts a mixer off from all controllers.
func (w *world) cutOff(m *mixer) {
	for i := range w.controllers {
		w.partitions[[2]string{m.machine, fmt.Sprint("c", i)}] = true
	}
}

// runWithoutCore runs a scenario in which a mixer loses all controllers but not its watchers, one of whom is cut off or dead.
func runWithoutCore(seed uint64, config Config, arbiterConfig ArbiterConfig) error {
	w := newWorld(seed, 8, 3)
	w.config, w.arbiterConfig, w.lossRate = config, arbiterConfig, 0.05
	for i := range w.controllers {
		w.startController(i)
	}
	for _, m := range w.mixers {
		w.start(m)
	}
	out := w.mixers[int(seed)%len(w.mixers)]
	confirmedElsewhere := func(m *mixer) bool { return m == out && w.cut(m.machine, "c0") }
	if err := w.simulate(6*time.Second, confirmedElsewhere, nil); err != nil {
		return err
	}
	w.cutOff(out)
	list := nodes(out.list)
	me := Node{Incarnation: out.incarnation, Addr: out.addr, Zone: zone(out.zone), Region: region(out.zone)}
	for _, m := range w.mixers {
		if m.incarnation == NewRing(list).Watchers(&me)[seed%3].Incarnation {
			w.partitions[[2]string{out.machine, m.machine}] = true
			m.up = seed%2 == 0
		}
	}
	if err := w.simulate(30*time.Second, confirmedElsewhere, nil); err != nil {
		return err
	}
	clear(w.partitions)
	if err := w.simulate(3*time.Second, confirmedElsewhere, nil); err != nil {
		return err
	}
	out.up = false
	if err := w.simulate(maxDetection+2*time.Second, confirmedElsewhere, nil); err != nil {
		return err
	}
	return w.checkAllAlive()
}

// A mixer without contact to the controllers must not be marked silent while its watchers receive its heartbeats.
func TestMixerSeenByWatchersIsNotMarkedSilent(t *testing.T) {
	for seed := range uint64(8) {
		must.NoError(t, runWithoutCore(seed, Config{}, ArbiterConfig{Period: period}), must.Sprint(seed))
	}
}

// Faults injected into the rules must break an invariant.
func TestInjectedFaultsAreDetected(t *testing.T) {
	caught := func(c Config, j ArbiterConfig) (n int) {
		j.Period = period
		for seed := range uint64(4) {
			if runWithoutCore(seed, c, j) != nil {
				n++
			}
		}
		return n
	}
	must.Eq(t, 4, caught(Config{MissThreshold: 1e6}, ArbiterConfig{}), must.Sprint("no mixer is ever missed"))
	must.Positive(t, caught(Config{}, ArbiterConfig{RequiredReports: 1}), must.Sprint("one watcher's report suffices"))
	must.Positive(t, caught(Config{MissThreshold: 0.5}, ArbiterConfig{}),
		must.Sprint("the timeout is shorter than the heartbeat interval"))
}

// A mixer that all of its watchers considered dead, and that still can't pull, counts as alive again once they receive its
// heartbeats.
func TestHeartbeatsReviveSilentMixer(t *testing.T) {
	w := newWorld(3, 8, 2)
	must.NoError(t, w.simulate(5*time.Second, noMixer, nil))
	out := w.mixers[0]
	w.cutOff(out)
	for _, m := range w.mixers {
		w.partitions[[2]string{out.machine, m.machine}] = true
	}
	silent := func() bool {
		m, ok := distribution.GetMixer(w.controllers[0].list, out.incarnation)
		return ok && m.Silent
	}
	must.NoError(t, w.simulate(maxDetection, noMixer, nil))
	must.True(t, silent())
	for _, m := range w.mixers {
		delete(w.partitions, [2]string{out.machine, m.machine})
	}
	must.NoError(t, w.simulate(3*time.Second, noMixer, nil))
	must.False(t, silent())
	must.NoError(t, w.simulate(20*time.Second, func(m *mixer) bool { return m == out }, nil))
}

// A whole region ends at once: its mixers must not confirm each other as alive.
func TestDeadMixersDontConfirmEachOther(t *testing.T) {
	w := newWorld(4, 16, 3)
	must.NoError(t, w.simulate(5*time.Second, noMixer, nil))
	for _, m := range w.mixers {
		m.up = m.up && m.zone > 1
	}
	must.NoError(t, w.simulate(maxDetection+time.Second, noMixer, nil))
	must.NoError(t, w.checkAllAlive())
}

// A controller that is cut off from all others can't know which mixers are alive, and must not have marked any silent when it
// is back.
func TestIsolatedControllerMarksNoMixerSilent(t *testing.T) {
	w := newWorld(6, 12, 3)
	must.NoError(t, w.simulate(6*time.Second, noMixer, nil))
	w.isolate(1)
	must.NoError(t, w.simulate(7*time.Second, noMixer, nil))
	clear(w.partitions)
	for range 200 {
		w.step()
		for _, h := range w.controllers {
			for m := range distribution.Mixers(h.list) {
				must.True(t, !m.Silent || h.isolated, must.Sprintf("%s marks %s silent", h.name, m.Incarnation))
			}
		}
	}
}

// All processes are paused at once and resume: no mixer may count as missed because of that.
func TestPausedProcessesMissNoMixer(t *testing.T) {
	w := newWorld(5, 9, 2)
	must.NoError(t, w.simulate(5*time.Second, noMixer, nil))
	w.now = w.now.Add(20 * time.Second)
	must.NoError(t, w.simulate(400*time.Millisecond, noMixer, nil))
	for _, m := range w.mixers {
		must.SliceEmpty(t, m.detector.Missed())
	}
	must.NoError(t, w.simulate(4*time.Second, noMixer, nil))
	must.NoError(t, w.checkAllAlive())
}
