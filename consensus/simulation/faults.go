package simulation

import (
	"time"

	"peathollow/consensus"
)

// recoveryTime is how long a machine still counts as lost after it returns (bound sync-s).
const recoveryTime = 4 * time.Second

func (w *World) remainingHosts() []*host {
	var out []*host
	for _, h := range w.hosts {
		if !h.removed {
			out = append(out, h)
		}
	}
	return out
}

func (w *World) randomHost() *host {
	hosts := w.remainingHosts()
	return hosts[w.rng.IntN(len(hosts))]
}

// pickTarget picks the primary half of the time, otherwise a random machine.
func (w *World) pickTarget() *host {
	if w.chance(0.5) {
		for _, h := range w.remainingHosts() {
			if h.node != nil {
				if _, ok := h.node.Leading(); ok {
					return h
				}
			}
		}
	}
	return w.randomHost()
}

// markLost counts a machine as lost for a while. If more machines are lost at one time than the tolerance covers, none of
// them is required to have recovered before all have.
func (w *World) markLost(h *host, d time.Duration) {
	h.lostUntil = max(h.lostUntil, w.now+d+recoveryTime)
	if w.withinTolerance() {
		return
	}
	last := h.lostUntil
	for _, o := range w.hosts {
		last = max(last, o.lostUntil)
	}
	for _, o := range w.hosts {
		if w.now < o.lostUntil {
			o.lostUntil = last
		}
	}
}

// maxReplacements bounds the number of replacement machines.
func (w *World) maxReplacements() int {
	if w.options.Scenario == SuccessiveLosses {
		return 16
	}
	return 6
}

// withinTolerance reports whether losing these machines, besides those that count as lost now, is within the tolerance.
func (w *World) withinTolerance(add ...*host) bool {
	if w.options.ExceedTolerance {
		return true
	}
	set := map[*host]bool{}
	for _, h := range add {
		set[h] = true
	}
	for _, h := range w.hosts {
		if w.now < h.lostUntil {
			set[h] = true
		}
	}
	zones, regions := map[string]bool{}, map[string]bool{}
	for h := range set {
		zones[h.zone], regions[h.region] = true, true
	}
	return len(set) <= w.options.Losses || len(zones) <= w.options.Zones || len(regions) <= w.options.Regions
}

func (w *World) down(h *host, d time.Duration) {
	w.markLost(h, d)
	w.stop(h)
	w.after(d, func() { w.start(h) })
}

func (w *World) wipe(h *host, d time.Duration) {
	w.Log("%v %s loses its disk, back in %v", w.now, h.addr, d)
	h.diskLostAt = w.now + d
	w.wipes++
	w.down(h, d)
	h.disk = nil
	h.coldStart = false
}

// injectFault draws one fault after another until the quiet period. Some act at once. Others wait for a message of a random
// kind and hit its sender or receiver: between a write and its sync, a promise and its round, or a copy and its commit.
func (w *World) injectFault() {
	if w.now >= w.faultsUntil-500*ms {
		return
	}
	pause := w.randomDuration(100*ms, 2000*ms)
	if w.chance(0.2) {
		pause = recoveryTime + w.randomDuration(0, ms) // the earliest time for the next loss
	}
	chosen := w.candidateFaults[w.rng.IntN(len(w.candidateFaults))]
	if w.chance(0.6) {
		w.armedFault, w.triggerKind = chosen, consensus.Kind(1+w.rng.IntN(int(consensus.Hint)))
	} else {
		w.apply(chosen, w.pickTarget())
	}
	w.after(pause, w.injectFault)
}

func (w *World) apply(f fault, h *host) {
	if w.now < w.faultsUntil && !h.removed {
		f(h, min(w.randomDuration(50*ms, 3000*ms), w.faultsUntil-w.now))
	}
}

// triggerArmedFault is called for each message sent, and applies an armed fault that waits for its kind.
func (w *World) triggerArmedFault(m consensus.Message) {
	if w.armedFault == nil || m.Kind != w.triggerKind {
		return
	}
	armed, addr := w.armedFault, m.FromAddr
	if w.chance(0.5) {
		addr = m.ToAddr
	}
	w.armedFault = nil
	w.after(w.randomDuration(0, 12*ms), func() {
		if h := w.hostAt(addr); h != nil {
			w.apply(armed, h)
		}
	})
}

// longSpan is the minimum span of runs in which machines are cut off for 20 s or more.
const longSpan = 40 * time.Second

type fault func(*host, time.Duration)

// chooseFaults selects the faults of one run: all of them, or mostly a few, so that these coincide more often.
func (w *World) chooseFaults() {
	kill := func(h *host, d time.Duration) {
		w.Log("%v %s is killed for %v", w.now, h.addr, d)
		w.down(h, d)
	}
	freeze := func(h *host, d time.Duration) {
		w.Log("%v %s freezes for %v", w.now, h.addr, d)
		h.frozenUntil = w.now + d
		w.markLost(h, d)
	}
	hang := func(h *host, d time.Duration) {
		w.Log("%v disk of %s hangs for %v", w.now, h.addr, d)
		h.stalledUntil = w.now + d
		w.markLost(h, d)
		if w.chance(0.3) {
			w.after(w.randomDuration(0, d), func() { w.down(h, w.randomDuration(50*ms, 500*ms)) })
		}
	}
	// A disk that refuses writes is retried until it accepts them, which the process sees as a stall. A slow disk
	// does not stall the process.
	slow := func(h *host, d time.Duration) {
		w.Log("%v disk of %s is slow for %v", w.now, h.addr, d)
		h.slowUntil = w.now + d
		w.markLost(h, d)
	}
	leave := func(h *host, d time.Duration) { w.leave(h, d) }
	long := func(h *host, _ time.Duration) { w.cut(h, w.randomDuration(20*time.Second, 25*time.Second)) }
	links := func(_ *host, d time.Duration) {
		w.lossRate, w.slowRate = w.rng.Float64()*0.3, w.rng.Float64()*0.3
		w.after(d, func() { w.lossRate, w.slowRate = 0.01, 0.02 })
	}
	killMany := func(_ *host, d time.Duration) { w.killMany(d) }
	wipe := func(h *host, d time.Duration) { w.wipeSome(h, min(d, 1500*ms)) }
	replace := func(h *host, _ time.Duration) { w.replace(h) }
	wipeAll := func(*host, time.Duration) { w.wipeAll() }
	w.candidateFaults = []fault{kill, freeze, hang, slow, leave, w.cut, w.cut, w.split, w.isolateInTurn, links, killMany, wipe,
		wipe, replace, wipeAll}
	if w.options.Span >= longSpan {
		w.candidateFaults = append(w.candidateFaults, long, long, long)
	}
	if w.chance(0.5) {
		few := []fault{}
		for range 3 {
			few = append(few, w.candidateFaults[w.rng.IntN(len(w.candidateFaults))])
		}
		w.candidateFaults = append(few, wipe)
	}
}

// cut interrupts all connections of a machine, or one connection, in both directions or one.
func (w *World) cut(h *host, d time.Duration) {
	to, from := w.chance(0.7), true
	if !to {
		from = w.chance(0.7)
	}
	single := w.chance(0.3)
	other := w.randomHost()
	w.Log("%v %s is cut off for %v: to %v, from %v, single connection %v, other %s", w.now, h.addr, d, to, from, single, other.addr)
	w.markLost(h, d)
	for _, o := range w.hosts {
		if o == h || single && o != other {
			continue
		}
		if to {
			w.cuts[[2]string{h.addr, o.addr}] = w.now + d
		}
		if from {
			w.cuts[[2]string{o.addr, h.addr}] = w.now + d
		}
	}
}

// split partitions the machines into two groups, in both directions or one.
func (w *World) split(_ *host, d time.Duration) {
	oneWay := w.chance(0.2)
	w.Log("%v network is split for %v, one way %v", w.now, d, oneWay)
	side := map[*host]bool{}
	for _, h := range w.hosts {
		side[h] = w.chance(0.5)
	}
	for _, h := range w.hosts {
		for _, o := range w.hosts {
			if side[h] != side[o] && (side[h] || !oneWay) {
				w.cuts[[2]string{h.addr, o.addr}] = w.now + d
			}
		}
		w.markLost(h, d)
	}
}

// isolateInTurn isolates one machine and, as soon as it is back, another, so that successive majorities share few members.
// It adds a disk loss if the tolerance allows it.
func (w *World) isolateInTurn(h *host, d time.Duration) {
	d = max(d, 900*ms)
	w.isolate(h, d)
	w.after(d, func() {
		if w.now+d > w.faultsUntil {
			return
		}
		o := w.pickTarget()
		w.isolate(o, max(d, 1500*ms))
		if l := w.randomHost(); l != o && l != h && w.withinTolerance(l) {
			w.wipe(l, w.randomDuration(ms, 300*ms))
		}
	})
}

func (w *World) isolate(h *host, d time.Duration) {
	w.Log("%v %s is isolated for %v", w.now, h.addr, d)
	w.markLost(h, d)
	for _, o := range w.hosts {
		if o != h {
			w.cuts[[2]string{h.addr, o.addr}], w.cuts[[2]string{o.addr, h.addr}] = w.now+d, w.now+d
		}
	}
}

// wipeSome wipes disks within the tolerance: those of one machine or of its whole zone.
func (w *World) wipeSome(h *host, d time.Duration) {
	for _, set := range [][]*host{w.zoneOf(h), {h}} {
		if w.withinTolerance(set...) && (len(set) == 1 || w.chance(0.5)) {
			for _, o := range set {
				w.wipe(o, d)
			}
			return
		}
	}
}

func (w *World) zoneOf(h *host) []*host {
	var out []*host
	for _, o := range w.remainingHosts() {
		if o.zone == h.zone {
			out = append(out, o)
		}
	}
	return out
}

// replace removes a machine for good and adds another at a new address, before or after the removal.
func (w *World) replace(h *host) {
	if !w.withinTolerance(h) || len(w.hosts) > w.options.Nodes+w.maxReplacements() || len(w.remainingHosts()) < 2 {
		return
	}
	planned := w.chance(0.5)
	w.replaced++
	w.Log("%v %s is replaced, planned %v", w.now, h.addr, planned)
	leave := func() {
		w.stop(h)
		h.removed, h.disk, h.diskLostAt = true, nil, w.now
	}
	delay := w.randomDuration(0, 2500*ms)
	w.markLost(h, delay)
	add := func() {
		n := w.addHost(false)
		n.zone, n.region = h.zone, h.region
		w.markLost(n, 0)
		w.markLost(h, 0)
	}
	if planned {
		add()
		w.after(delay, func() { w.markLost(h, handOverTimeout); w.handOver(h, leave) })
		return
	}
	leave()
	w.after(min(delay, max(0, w.faultsUntil-w.now)), add)
}

// killMany kills many processes at once; their disks are kept.
func (w *World) killMany(d time.Duration) {
	all := w.chance(0.5)
	d = min(d, 2500*ms)
	w.Log("%v many processes are killed for up to %v, all: %v", w.now, d, all)
	w.keepWriteProbability = w.rng.Float64()
	for _, h := range w.remainingHosts() {
		if all || w.chance(0.6) {
			w.down(h, w.randomDuration(50*ms, d))
		}
	}
}

// wipeAll is the most severe fault: as many machines as tolerated lose their disks while the others lose power.
func (w *World) wipeAll() {
	set := w.zoneOf(w.randomHost())
	if w.chance(0.7) || !w.withinTolerance(set...) {
		set = nil
		for len(set) < w.options.Losses {
			if h := w.pickTarget(); !contains(set, h) {
				set = append(set, h)
			}
		}
	}
	if len(set) == 0 || !w.withinTolerance(set...) {
		return
	}
	w.Log("%v all lose power, some their disks", w.now)
	w.keepWriteProbability = w.rng.Float64()
	for _, h := range w.remainingHosts() {
		if contains(set, h) {
			w.wipe(h, w.randomDuration(50*ms, 1000*ms))
		} else {
			w.down(h, w.randomDuration(50*ms, 1000*ms))
		}
	}
}

func contains(hs []*host, h *host) bool {
	for _, o := range hs {
		if o == h {
			return true
		}
	}
	return false
}

// stopFaults ends all faults at once.
func (w *World) stopFaults() {
	w.Log("%v faults end", w.now)
	clear(w.cuts)
	w.lossRate, w.slowRate = 0.01, 0.02
	for _, h := range w.remainingHosts() {
		h.frozenUntil, h.stalledUntil, h.slowUntil = min(h.frozenUntil, w.now), min(h.stalledUntil, w.now), min(h.slowUntil, w.now)
	}
}
