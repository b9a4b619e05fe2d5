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

// agentSet runs the simulated agents of one process. Each has its own replica and its own connection to a controller.
type agentSet struct {
	all  []*simulatedAgent
	emit func(Event)

	mu         sync.Mutex
	watches    []*watch
	merges     int
	pullErrors int
	firstError string
}

// watch records when each agent first knows a configuration version, or the drain of a searcher if searcherID is set.
type watch struct {
	version    uint64
	searcherID string
	knownAt    []int64 // Unix nanoseconds, in the order in which agents learned it
	known      []bool  // by agent index
}

// simulatedAgent pulls updates as agent.Agent does but serves no proxy.
type simulatedAgent struct {
	index     int
	settings  *settings.Settings
	replica   *distribution.Replica
	callCount uint64
}

// startAgents starts the task's agents and returns the handler of the parent's commands.
func startAgents(ctx context.Context, task Task, emit func(Event)) func(Command) {
	set := &agentSet{emit: emit}
	rng := rand.New(rand.NewPCG(task.Seed, 1))
	regionOf := regionsByZone()
	for i := range task.Count {
		zone := zones[rng.IntN(len(zones))]
		s := &settings.Settings{Node: fmt.Sprintf("hollow-%04d", i), Zone: zone, Region: regionOf[zone], Zones: regionOf,
			Seeds: task.DistributionAddrs, BeatPeriod: task.HeartbeatPeriod}
		incarnation := fmt.Sprintf("agent/%s/%08x", s.Node, rng.Uint32())
		set.all = append(set.all, &simulatedAgent{index: i, settings: s,
			replica: distribution.NewReplica(registry.New(registry.Config{Name: incarnation, Relay: true,
				Period: task.HeartbeatPeriod, Start: time.Now()}))})
	}
	go func() {
		for _, a := range set.all {
			// The seeds of simulated agents are distribution addresses.
			selector := agent.ControllerSelector{Settings: a.settings, Replica: a.replica, Seeds: a.settings.Seeds}
			puller := distribution.Puller{Replica: a.replica, Node: a.settings.Node, Incarnation: a.settings.Node, Kind: "agent",
				Choose: selector.Choose, LeaveIsolated: true, HasBetter: selector.HasBetter, OnMerge: func() { set.onMerge(a) },
				OnError: set.recordError, PrepareRequest: a.prepareRequest}
			go puller.Run(ctx)
			go a.advanceRegistry(ctx)
			select {
			case <-ctx.Done():
				return
			case <-time.After(task.StartInterval):
			}
		}
	}()
	emit(Event{Kind: "ready"})
	return set.handle
}

func (set *agentSet) handle(command Command) {
	switch command.Action {
	case "watch":
		w := &watch{version: command.Version, searcherID: command.ID, known: make([]bool, len(set.all))}
		set.mu.Lock()
		set.watches = append(set.watches, w)
		set.mu.Unlock()
		for _, a := range set.all { // an agent may know it already
			set.observe(a, w)
		}
		set.reportComplete()
	case "flush":
		set.mu.Lock()
		for _, w := range set.watches {
			set.emit(Event{Kind: "known", Version: w.version, ID: w.searcherID, KnownAt: w.knownAt})
		}
		set.watches = nil
		set.mu.Unlock()
		set.emit(Event{Kind: "flushed"})
	case "tally":
		minListed := -1
		for _, a := range set.all {
			listed := 0
			a.replica.WithRegistry(func(r *registry.Registry) bool {
				if !r.Complete() {
					return false // an incomplete list doesn't count
				}
				listed = r.Len()
				for range r.Service(distribution.MixerService) { // there are fewer mixers to iterate over than searchers
					listed--
				}
				return false
			})
			if minListed < 0 || listed < minListed {
				minListed = listed
			}
		}
		set.mu.Lock()
		totals := &Totals{Merges: set.merges, PullErrors: set.pullErrors, FirstError: set.firstError, MinListed: max(minListed, 0)}
		set.mu.Unlock()
		set.emit(Event{Kind: "tally", Totals: totals})
	}
}

func (set *agentSet) recordError(peer string, err error) {
	set.mu.Lock()
	defer set.mu.Unlock()
	if set.pullErrors++; set.firstError == "" {
		set.firstError = err.Error()
	}
}

func (set *agentSet) onMerge(a *simulatedAgent) {
	set.mu.Lock()
	set.merges++
	watches := slices.Clone(set.watches)
	set.mu.Unlock()
	if len(watches) == 0 {
		return
	}
	for _, w := range watches {
		set.observe(a, w)
	}
	set.reportComplete()
}

// observe records the time at which the agent first knows what the watch waits for.
func (set *agentSet) observe(a *simulatedAgent, w *watch) {
	known := false
	if w.searcherID == "" {
		doc := a.replica.Document()
		known = doc != nil && doc.Version >= w.version
	} else {
		a.replica.WithRegistry(func(r *registry.Registry) bool {
			entry, ok := r.Get(w.searcherID)
			known = ok && entry.State >= registry.Draining
			return false
		})
	}
	if !known {
		return
	}
	now := time.Now().UnixNano()
	set.mu.Lock()
	if !w.known[a.index] {
		w.known[a.index] = true
		w.knownAt = append(w.knownAt, now)
	}
	set.mu.Unlock()
}

// reportComplete reports and removes the watches that every agent has met.
func (set *agentSet) reportComplete() {
	set.mu.Lock()
	defer set.mu.Unlock()
	set.watches = slices.DeleteFunc(set.watches, func(w *watch) bool {
		complete := len(w.knownAt) == len(set.all)
		if complete {
			set.emit(Event{Kind: "known", Version: w.version, ID: w.searcherID, KnownAt: w.knownAt})
		}
		return complete
	})
}

// registryAdvanceInterval is long because the real agent of the run shows the cost of this work, and a simulated agent reports
// none of its results.
const registryAdvanceInterval = 10 * time.Second

func (a *simulatedAgent) advanceRegistry(ctx context.Context) {
	periodic.Run(ctx, registryAdvanceInterval, func() {
		a.replica.WithRegistry(func(r *registry.Registry) bool { return r.Tick(time.Now()) })
	})
}

// prepareRequest makes the controller count the agent as a mixer. A simulated agent receives no searchers' heartbeats.
func (a *simulatedAgent) prepareRequest(request *distribution.PullRequest, _ bool) {
	a.callCount += 1000 // a gap, since a controller may continue the count on the agent's behalf
	request.Mixer = &distribution.AgentHeartbeat{Calls: a.callCount}
}
