package failuredetector_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"peathollow/distribution"
	. "peathollow/failuredetector"
	"peathollow/registry"
)

const (
	period = 1200 * time.Millisecond
	window = 10 * time.Second
	step   = 50 * time.Millisecond
)

// world is a system in simulated time: mixers with their detectors, controllers with their arbiters and registries.
type world struct {
	rng           *rand.Rand
	now           time.Time
	mixers        []*mixer
	controllers   []*controller
	datagrams     []datagram
	lossRate      float64
	partitions    map[[2]string]bool // from, to: machines
	incarnations  int
	config        Config        // injected faults are set here
	arbiterConfig ArbiterConfig // and here
	heartbeats    int
	bytes         int
}

type mixer struct {
	machine, incarnation    string
	zone                    int
	addr                    netip.AddrPort
	up                      bool
	frozen                  time.Time // until
	since                   time.Time // start of this incarnation
	lastPull                time.Time
	controllerIndex         int    // index of its controller
	peerName                string // the name that its controller gave in its last delta
	detector                *Detector
	list                    *registry.Registry
	nextHeartbeat, nextPull time.Time // when the next heartbeat or pull is due
	generation              uint64
	lastRepair              time.Time
}

type controller struct {
	name          string
	up            bool
	isolated      bool
	since         time.Time
	list          *registry.Registry
	arbiter       *Arbiter
	lastContact   map[string]time.Time // last contact, by controller's incarnation
	peerName      map[string]string
	lastCalls     map[string]uint64
	lastMonitored time.Time
	generation    uint64
	lastReport    time.Time
	deadSince     map[string]time.Time // incarnations that ended, and since when that could be known here
	watchers      map[string]string    // their watchers
	silentSince   map[string]time.Time // live mixers marked silent, since when
}

type datagram struct {
	at          time.Time
	from, to    *mixer
	incarnation string
	data        []byte
}

func newWorld(seed uint64, mixers, controllers int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(1e9, 0), partitions: map[[2]string]bool{},
		arbiterConfig: ArbiterConfig{Period: period}}
	for i := range controllers {
		h := &controller{}
		w.controllers = append(w.controllers, h)
		w.startController(i)
	}
	for i := range mixers {
		m := &mixer{machine: fmt.Sprint("m", i), zone: i % 4,
			addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 4), 0, byte(i + 1)}), 7084)}
		w.mixers = append(w.mixers, m)
		w.start(m)
	}
	return w
}

func (w *world) startController(i int) {
	w.incarnations++
	name := fmt.Sprintf("controller/c%d/%d", i, w.incarnations)
	*w.controllers[i] = controller{name: name, up: true, since: w.now, arbiter: NewArbiter(w.arbiterConfig),
		lastContact: map[string]time.Time{}, peerName: map[string]string{}, lastCalls: map[string]uint64{},
		deadSince: map[string]time.Time{}, watchers: map[string]string{}, silentSince: map[string]time.Time{},
		list: registry.New(registry.Config{Name: name, Period: period, Start: w.now})}
}

func (w *world) start(m *mixer) {
	w.incarnations++
	m.incarnation, m.up, m.since, m.frozen, m.peerName, m.generation =
		fmt.Sprintf("agent/%s/%d", m.machine, w.incarnations), true, w.now, w.now, "", 0
	c := w.config
	c.Self = Node{Incarnation: m.incarnation, Addr: m.addr, Zone: zone(m.zone), Region: region(m.zone)}
	m.detector = New(c, w.now)
	m.list = registry.New(registry.Config{Name: m.incarnation, Relay: true, Period: period, Start: w.now})
	m.nextHeartbeat, m.nextPull = w.now.Add(time.Duration(w.rng.IntN(500))*time.Millisecond), w.now
}

func zone(i int) string   { return fmt.Sprint("z", i) }
func region(i int) string { return fmt.Sprint("r", i/2) }

func nodes(r *registry.Registry) (list []Node) {
	for m := range distribution.Mixers(r) {
		var z int
		fmt.Sscanf(m.Zone, "z%d", &z)
		list = append(list, Node{Incarnation: m.Incarnation, Addr: m.Addr, Zone: m.Zone, Region: region(z),
			Silent: m.Silent, Leaving: m.Leaving})
	}
	return list
}

// cut reports whether messages from machine a to machine b are lost.
func (w *world) cut(a, b string) bool { return w.partitions[[2]string{a, b}] }

func (w *world) step() {
	w.now = w.now.Add(step)
	kept := w.datagrams[:0]
	for _, f := range w.datagrams {
		if f.at.After(w.now) {
			kept = append(kept, f)
		} else if f.to.up && f.to.frozen.After(w.now) {
			kept = append(kept, f) // in the socket's buffer
		} else if key, no, ok := ReadHeartbeat(f.data); ok && f.to.up && !w.cut(f.from.machine, f.to.machine) {
			f.to.detector.ReceiveHeartbeat(w.now, key, no, f.from.addr)
		}
	}
	w.datagrams = kept
	for _, m := range w.mixers {
		if m.up && !m.frozen.After(w.now) {
			w.run(m)
		}
	}
	for i, h := range w.controllers {
		if h.up {
			w.runController(i, h)
		}
	}
}

func (w *world) run(m *mixer) {
	if !m.nextHeartbeat.After(w.now) {
		m.nextHeartbeat = w.now.Add(500 * time.Millisecond)
		if generation := m.list.Generation(); generation != m.generation {
			m.generation = generation
			m.detector.SetNodes(w.now, nodes(m.list))
		}
		no, to := m.detector.Tick(w.now)
		for _, addr := range to {
			data := AppendHeartbeat(nil, Key(m.incarnation), no)
			w.heartbeats++
			w.bytes += len(data) + 28
			for _, o := range w.mixers {
				for n := 1; o.addr == addr && n > 0; n-- {
					if w.rng.Float64() < w.lossRate {
						continue
					}
					d := time.Duration(w.rng.IntN(60)) * time.Millisecond
					if w.rng.IntN(20) == 0 {
						d, n = time.Duration(w.rng.IntN(900))*time.Millisecond, n+1 // late, and perhaps duplicated
					}
					w.datagrams = append(w.datagrams, datagram{w.now.Add(d), m, o, m.incarnation, data})
				}
			}
		}
		m.list.Tick(w.now)
	}
	if m.nextPull.After(w.now) {
		return
	}
	h := w.controllers[m.controllerIndex]
	if machine := fmt.Sprint("c", m.controllerIndex); !h.up || w.cut(m.machine, machine) || w.cut(machine, m.machine) {
		m.controllerIndex, m.nextPull, m.peerName = (m.controllerIndex+1)%len(w.controllers), w.now.Add(700*time.Millisecond), ""
		return
	}
	m.lastPull, m.nextPull = w.now, w.now.Add(800*time.Millisecond)
	x := distribution.Mixer{Incarnation: m.incarnation, Addr: m.addr, Zone: zone(m.zone),
		Calls: uint64(w.now.Sub(m.since)/time.Microsecond) + 1}
	h.arbiter.ReceivePull(w.now, m.incarnation, m.detector.Missed(), m.detector.Seen())
	h.lastCalls[m.incarnation] = max(h.lastCalls[m.incarnation], x.Calls)
	h.list.Heartbeat(w.now, x.Searcher())
	d := h.list.Since(m.list.PullQuery(m.peerName), 500)
	m.peerName = d.By
	m.list.Merge(w.now, d)
	if w.now.Sub(m.lastRepair) >= 15*time.Second { // anti-entropy in one step
		m.lastRepair = w.now
		h.list.Repair(w.now, m.list.Patch([]registry.Range{{}}, 500))
		m.list.Repair(w.now, h.list.Patch([]registry.Range{{}}, 500))
	}
}

// runController does what package controlplane does in a controller.
func (w *world) runController(i int, h *controller) {
	if w.now.Sub(h.lastMonitored) >= 200*time.Millisecond {
		h.lastMonitored = w.now
		live, inContact := map[string]bool{h.name: true}, 1
		for name, at := range h.lastContact {
			live[name] = w.now.Sub(at) < 5*time.Second
			if w.now.Sub(at) < 2500*time.Millisecond {
				inContact++
			}
		}
		if h.isolated = inContact <= len(w.controllers)/2; w.now.Sub(h.since) >= 2*period {
			for name := range h.list.Vector() {
				if h.isolated || live[name] {
					h.list.Release(name)
				} else {
					h.list.Adopt(w.now, name)
				}
			}
		}
		if generation := h.list.Generation(); generation != h.generation {
			h.generation = generation
			h.arbiter.SetNodes(nodes(h.list))
		}
		var lastMonitored []Monitored
		for m := range distribution.Mixers(h.list) {
			if m.Source == h.name || !h.isolated && !live[m.Source] {
				lastMonitored = append(lastMonitored, Monitored{Incarnation: m.Incarnation, Silent: m.Silent, Leaving: m.Leaving})
			}
		}
		for _, life := range h.arbiter.Tick(w.now, lastMonitored) {
			m, _ := distribution.GetMixer(h.list, life)
			m.Calls = max(m.Calls, h.lastCalls[life]) + 1
			h.lastCalls[life] = m.Calls
			h.list.Heartbeat(w.now, m.Searcher())
		}
		h.list.Tick(w.now)
	}
	for k, o := range w.controllers {
		a, b := fmt.Sprint("c", i), fmt.Sprint("c", k)
		if k == i || !o.up || w.cut(a, b) || w.cut(b, a) {
			continue
		}
		if w.now.Sub(h.lastReport) >= 800*time.Millisecond {
			o.arbiter.ReceiveReport(w.now, fmt.Sprint("c", i), h.arbiter.WatchReport(w.now))
			o.lastContact[h.name] = w.now
		}
		d := o.list.Since(h.list.PullQuery(h.peerName[o.name]), 500)
		h.peerName[o.name] = d.By
		h.list.Merge(w.now, d)
	}
	if w.now.Sub(h.lastReport) >= 800*time.Millisecond {
		h.lastReport = w.now
	}
}
