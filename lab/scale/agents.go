package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"peathollow/agent"
	"peathollow/distribution"
	"peathollow/internal/periodic"
	"peathollow/internal/settings"
	"peathollow/registry"
)

// agents are many, each with a board and a link of its own.
type agents struct {
	all  []*hollowAgent
	tell func(Event)

	mu      sync.Mutex
	watches []*watch
	merges  int
	faults  int
	first   string
}

// watch waits for a version, or for the drain of a searcher, to be known everywhere.
type watch struct {
	version uint64
	id      string
	at      []int64
	knows   []bool
}

// hollowAgent pulls as agent.Agent does, and serves nobody.
type hollowAgent struct {
	no    int
	set   *settings.Settings
	board *distribution.Replica
	calls uint64
}

func startAgents(ctx context.Context, t Task, tell func(Event)) func(Order) {
	ts := &agents{tell: tell}
	dice := rand.New(rand.NewPCG(t.Seed, 1))
	zoned := regions()
	for i := range t.Count {
		zone := zones[dice.IntN(len(zones))]
		s := &settings.Settings{Node: fmt.Sprintf("hollow-%04d", i), Zone: zone, Region: zoned[zone], Zones: zoned,
			Seeds: t.News, BeatPeriod: t.Period}
		life := fmt.Sprintf("agent/%s/%08x", s.Node, dice.Uint32())
		ts.all = append(ts.all, &hollowAgent{no: i, set: s,
			board: distribution.NewReplica(registry.New(registry.Config{Name: life, Relay: true, Period: t.Period, Start: time.Now()}))})
	}
	go func() {
		for _, h := range ts.all {
			choice := agent.ControllerSelector{Settings: h.set, Replica: h.board, Seeds: h.set.Seeds} // told by where they serve news
			p := distribution.Puller{Replica: h.board, Node: h.set.Node, Incarnation: h.set.Node, Kind: "agent", Choose: choice.Choose, LeaveIsolated: true,
				HasBetter: choice.HasBetter, OnMerge: func() { ts.merged(h) }, OnError: ts.fault, PrepareRequest: h.say}
			go p.Run(ctx)
			go h.tick(ctx)
			select {
			case <-ctx.Done():
				return
			case <-time.After(t.Apart):
			}
		}
	}()
	tell(Event{Kind: "ready"})
	return ts.do
}

func (ts *agents) do(o Order) {
	switch o.Do {
	case "watch":
		w := &watch{version: o.Version, id: o.ID, knows: make([]bool, len(ts.all))}
		ts.mu.Lock()
		ts.watches = append(ts.watches, w)
		ts.mu.Unlock()
		for _, h := range ts.all { // it may be known already
			ts.look(h, w)
		}
		ts.done()
	case "flush":
		ts.mu.Lock()
		for _, w := range ts.watches {
			ts.tell(Event{Kind: "known", Version: w.version, ID: w.id, At: w.at})
		}
		ts.watches = nil
		ts.mu.Unlock()
		ts.tell(Event{Kind: "flushed"})
	case "tally":
		least := -1
		for _, h := range ts.all {
			n := 0
			h.board.WithRegistry(func(r *registry.Registry) bool {
				if !r.Complete() {
					return false // it may not be taken for the whole
				}
				n = r.Len()
				for range r.Service(distribution.MixerService) { // which are fewer to walk than the searchers
					n--
				}
				return false
			})
			if least < 0 || n < least {
				least = n
			}
		}
		ts.mu.Lock()
		t := &Tally{Merges: ts.merges, Faults: ts.faults, First: ts.first, Listed: max(least, 0)}
		ts.mu.Unlock()
		ts.tell(Event{Kind: "tally", Tally: t})
	}
}

func (ts *agents) fault(peer string, err error) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.faults++; ts.first == "" {
		ts.first = err.Error()
	}
}

func (ts *agents) merged(h *hollowAgent) {
	ts.mu.Lock()
	ts.merges++
	watches := slices.Clone(ts.watches)
	ts.mu.Unlock()
	if len(watches) == 0 {
		return
	}
	for _, w := range watches {
		ts.look(h, w)
	}
	ts.done()
}

// look notes when an agent first knows what is watched for.
func (ts *agents) look(h *hollowAgent, w *watch) {
	known := false
	if w.id == "" {
		doc := h.board.Document()
		known = doc != nil && doc.Version >= w.version
	} else {
		h.board.WithRegistry(func(r *registry.Registry) bool {
			e, ok := r.Get(w.id)
			known = ok && e.State >= registry.Draining
			return false
		})
	}
	if !known {
		return
	}
	now := time.Now().UnixNano()
	ts.mu.Lock()
	if !w.knows[h.no] {
		w.knows[h.no] = true
		w.at = append(w.at, now)
	}
	ts.mu.Unlock()
}

// done tells of the watches that every agent has met.
func (ts *agents) done() {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.watches = slices.DeleteFunc(ts.watches, func(w *watch) bool {
		all := len(w.at) == len(ts.all)
		if all {
			ts.tell(Event{Kind: "known", Version: w.version, ID: w.id, At: w.at})
		}
		return all
	})
}

// tidyEvery is seldom: what a real agent spends on it is measured on the real one, and nothing of it is told to anybody.
const tidyEvery = 10 * time.Second

func (h *hollowAgent) tick(ctx context.Context) {
	periodic.Each(ctx, tidyEvery, func() {
		h.board.WithRegistry(func(r *registry.Registry) bool { return r.Tick(time.Now()) })
	})
}

// say has it counted as a mixer; it takes no heartbeats.
func (h *hollowAgent) say(a *distribution.PullRequest, _ bool) {
	h.calls += 1000 // a controller may go on from it in our name
	a.Mixer = &distribution.AgentHeartbeat{Calls: h.calls}
}
