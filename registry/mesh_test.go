package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const beatPeriod = 500 * time.Millisecond

var epoch = time.Unix(1_000_000, 0)

type simSearcher struct {
	Searcher
	home  int
	ended bool
}

type delivery struct {
	at time.Duration
	do func()
}

// mesh is a simulated fleet: controllers pull from each other, agents from a controller, proxies from
// their agent. fault, where set, corrupts a delta before it is merged.
type mesh struct {
	rng          *rand.Rand
	t            time.Duration
	calm         bool
	nodes        []*Registry
	peerNames    [][]string // the name last received from each peer
	partitions   map[[2]int]time.Duration
	deliveries   []delivery
	searchers    []*simSearcher
	published    map[string][]Entry
	logSeen      []uint64
	drainSeen    []map[string]bool // ids known to drain, by node
	incarnations int
	crashed      []string
	fault        func(to *Registry, d *Delta)
}

const (
	meshControllers = 4
	meshNodes       = 14
)

func newMesh(seed uint64, fault func(*Registry, *Delta)) *mesh {
	m := &mesh{
		rng: rand.New(rand.NewPCG(seed, 1)), partitions: map[[2]int]time.Duration{}, published: map[string][]Entry{},
		nodes: make([]*Registry, meshNodes), peerNames: make([][]string, meshNodes), logSeen: make([]uint64, meshNodes),
		drainSeen: make([]map[string]bool, meshNodes), fault: fault,
	}
	for i := range m.nodes {
		m.start(i)
	}
	return m
}

func (m *mesh) now() time.Time { return epoch.Add(m.t) }

func (m *mesh) start(i int) {
	m.incarnations++
	m.nodes[i] = New(Config{Name: fmt.Sprintf("n%d/%d", i, m.incarnations),
		Relay: i >= meshControllers, Period: beatPeriod, Start: m.now()})
	m.peerNames[i], m.logSeen[i], m.drainSeen[i] = make([]string, meshNodes), 0, map[string]bool{}
}

// send delivers with a random delay. Unless calm, the message may be lost or duplicated, and none crosses a
// partition.
func (m *mesh) send(a, b int, do func()) {
	copies, maxDelay := 1, 5
	if !m.calm {
		copies, maxDelay = min(m.rng.IntN(10), 1)+m.rng.IntN(8)/7, 20
	}
	if m.partitions[[2]int{min(a, b), max(a, b)}] > m.t && !m.calm {
		return
	}
	for range copies {
		m.deliveries = append(m.deliveries,
			delivery{m.t + time.Duration(m.rng.IntN(maxDelay)*m.rng.IntN(maxDelay))*4*time.Millisecond, do})
	}
}

func (m *mesh) pull(i, from int) {
	w, limit := m.nodes[i].PullQuery(m.peerNames[i][from]), 1+m.rng.IntN(40)
	m.send(i, from, func() {
		d := m.nodes[from].Since(w, limit)
		m.send(from, i, func() {
			to := m.nodes[i]
			if m.fault != nil {
				m.fault(to, &d)
			}
			to.Merge(m.now(), d)
			m.peerNames[i][from] = d.By
		})
	})
}

// note records what a controller published, to verify the claims of vectors.
func (m *mesh) recordPublished(i int) {
	r := m.nodes[i]
	for _, it := range r.log {
		if it.seq > m.logSeen[i] && it.record.seq == it.seq && it.record.Source == r.cfg.Name {
			m.published[r.cfg.Name] = append(m.published[r.cfg.Name], it.record.Entry)
		}
	}
	m.logSeen[i] = r.seq
}

func (m *mesh) beat(c *simSearcher) {
	if m.rng.IntN(30) == 0 && !m.calm {
		c.home = m.rng.IntN(meshControllers)
	}
	c.Calls++
	s, home := c.Searcher, c.home
	m.send(home, home, func() { m.nodes[home].Heartbeat(m.now(), s); m.recordPublished(home) })
}

func (m *mesh) step() {
	m.t += 50 * time.Millisecond
	if !m.calm {
		m.disrupt()
	}
	due := m.deliveries
	m.deliveries = nil
	for _, p := range due {
		if p.at <= m.t {
			p.do()
		} else {
			m.deliveries = append(m.deliveries, p)
		}
	}
	for i, c := range m.searchers {
		if !c.ended && (int(m.t/(50*time.Millisecond))+i)%10 == 0 {
			m.beat(c)
		}
	}
	for i, r := range m.nodes {
		r.Tick(m.now())
		m.recordPublished(i)
		if m.rng.IntN(3) == 0 {
			from := i - 5 // a proxy's agent
			if i < meshControllers {
				from = (i + 1 + m.rng.IntN(meshControllers-1)) % meshControllers
			} else if i < meshControllers+5 {
				from = (i + int(m.t/(5*time.Second))) % meshControllers // changes every 5 s
			}
			m.pull(i, from)
		}
	}
}

// disrupt injects one random event: a new searcher, a drain, a crash or a leave, a restarted node, or a partition.
func (m *mesh) disrupt() {
	switch k := m.rng.IntN(100); {
	case k < 20 && len(m.searchers) < 150:
		m.searchers = append(m.searchers, &simSearcher{home: m.rng.IntN(meshControllers), Searcher: Searcher{
			ID: fmt.Sprint("i", len(m.searchers)), Plant: fmt.Sprint("p", m.rng.IntN(5)), Capacity: 3, Address: fmt.Sprint("a", m.rng.IntN(120)),
		}})
	case k < 30 && len(m.searchers) > 0:
		c := m.searchers[m.rng.IntN(len(m.searchers))]
		switch {
		case c.ended:
		case m.rng.IntN(4) == 0:
			c.ended = true // a crash sends no message
		case c.State == Ready:
			c.State = Draining
			m.beat(c)
		default:
			c.ended = true
			m.send(c.home, c.home, func() { m.nodes[c.home].Leave(m.now(), c.ID); m.recordPublished(c.home) })
		}
	case k < 32:
		i := m.rng.IntN(meshNodes)
		if i < meshControllers {
			m.crashed = append(m.crashed, m.nodes[i].Name())
		}
		m.start(i)
	case k < 40:
		a := m.rng.IntN(meshNodes)
		m.partitions[[2]int{a, a + m.rng.IntN(meshNodes-a)}] = m.t + time.Duration(m.rng.IntN(4000))*time.Millisecond
	}
}

func (m *mesh) check(claims bool) error {
	for i, r := range m.nodes {
		for id, rec := range r.records {
			if rec.State >= Draining {
				m.drainSeen[i][id] = true
			} else if m.drainSeen[i][id] {
				return fmt.Errorf("%s: the drain of %s was reverted", r.Name(), id)
			}
		}
		if !claims {
			continue
		}
		if err := r.Check(); err != nil {
			return fmt.Errorf("%s: %w", r.Name(), err)
		}
		for name, no := range r.Vector() {
			for _, e := range m.published[name] {
				if e.No > no {
					continue
				}
				if rec := r.records[e.ID]; rec == nil || compare(&rec.Entry, &e) < 0 {
					return fmt.Errorf("%s claims %s up to %d and lacks %s of %d", r.Name(), name, no, e.ID, e.No)
				}
			}
		}
	}
	return nil
}

func (m *mesh) run(span time.Duration) error {
	for end, n := m.t+span, 0; m.t < end; n++ {
		m.step()
		if n%3 > 0 {
			continue
		}
		if err := m.check(n%24 == 0); err != nil {
			return fmt.Errorf("at %v: %w", m.t, err)
		}
	}
	return nil
}

func TestMesh(t *testing.T) {
	for seed := range uint64(4) {
		m := newMesh(seed, nil)
		must.NoError(t, m.run(25*time.Second), must.Sprintf("seed %d", seed))
		m.calm = true
		for _, name := range m.crashed {
			for _, r := range m.nodes[:meshControllers] {
				r.Adopt(m.now(), name)
			}
		}
		must.NoError(t, m.run(8*time.Second), must.Sprintf("seed %d", seed))
		all := m.nodes[0].Digest(Range{})
		for i, r := range m.nodes {
			if i < meshControllers {
				must.Eq(t, all, r.Digest(Range{}), must.Sprintf("seed %d, %s", seed, r.Name()))
			} else { // entries that a dead controller sent only to relays aren't pulled upwards: digests transfer them
				reconcile(m.now(), m.nodes[0], r)
			}
		}
		must.NoError(t, m.run(4*time.Second), must.Sprintf("seed %d", seed))
		all = m.nodes[0].Digest(Range{})
		for _, r := range m.nodes {
			must.Eq(t, all, r.Digest(Range{}), must.Sprintf("seed %d, %s", seed, r.Name()))
			must.True(t, r.Complete())
		}
		for _, c := range m.searchers {
			e, ok := m.nodes[meshNodes-1].Get(c.ID)
			alive, ended := ok && e.State == c.State && !e.Silent, !ok || e.Silent || e.State == Gone
			must.True(t, alive && !c.ended || ended && c.ended, must.Sprintf("seed %d: %+v, is %+v", seed, e, c))
		}
	}
}

// TestPlantedFaults: each of these faults must break an invariant in the run of TestMesh, or that run
// proves nothing.
func TestPlantedFaults(t *testing.T) {
	var last Delta
	faults := map[string]func(to *Registry, d *Delta){
		"a part claims the whole": func(to *Registry, d *Delta) {
			if d.More {
				d.More, d.Upto = false, Vector{}
				for _, e := range d.Entries {
					d.Upto[e.Source] = max(d.Upto[e.Source], e.No)
				}
			}
		},
		"a gap is passed over":             func(to *Registry, d *Delta) { d.Entries = d.Entries[:len(d.Entries)/2] },
		"a delta for a former life counts": func(to *Registry, d *Delta) { d.For, d.Start = to.Name(), 0 },
		"a record changes beside the index": func(to *Registry, d *Delta) {
			for _, rec := range to.records {
				rec.Calls++
			}
		},
		"lower calls win": func(to *Registry, d *Delta) {
			for _, e := range last.Entries {
				if rec := to.records[e.ID]; rec != nil && e.Calls < rec.Calls {
					to.drop(rec)
					to.join(e)
				}
			}
			last = *d
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				if err := newMesh(seed, fault).run(25 * time.Second); err != nil {
					t.Log(seed, err)
					return
				}
			}
			t.Fatal("not caught")
		})
	}
}
