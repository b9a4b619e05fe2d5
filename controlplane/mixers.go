package controlplane

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"peathollow/client"
	"peathollow/distribution"
	"peathollow/failuredetector"
	"peathollow/registry"
	"peathollow/retrybudget"
)

// A controller is a primary source of the list of mixers, as it is for searchers: an agent's pull counts as a heartbeat.
// Mixers that do not pull but are heard by the mixers that watch them get a heartbeat from this controller (package
// failuredetector).

// pullingAgent is the state of an agent that pulls from this controller.
type pullingAgent struct {
	node     string
	lastPull time.Time
	version  uint64
	calls    uint64 // the registry does not publish the counter of a heartbeat without other changes
}

// recordAgentPull handles an agent's pull request.
func (c *Controller) recordAgentPull(a *distribution.PullRequest) {
	if a.Mixer == nil || a.Life == "" || len(a.Life) > 256 {
		return
	}
	now := time.Now()
	m := distribution.Mixer{Incarnation: a.Life, Zone: a.Mixer.Zone, Leaving: a.Mixer.Leaving, Calls: a.Mixer.Calls}
	m.Addr, _ = netip.ParseAddrPort(a.Mixer.Addr)
	c.mu.Lock()
	c.arbiter.ReceivePull(now, a.Life, a.Mixer.Missed, a.Mixer.Seen)
	agent := c.agents[a.Life]
	if agent == nil {
		agent = &pullingAgent{node: a.Node}
		c.agents[a.Life] = agent
	}
	agent.lastPull, agent.version, agent.calls = now, a.Version, max(agent.calls, m.Calls)
	c.mu.Unlock()
	var b registry.HeartbeatResult
	c.replica.WithRegistry(func(r *registry.Registry) bool {
		b = r.Heartbeat(now, m.Searcher())
		return b.Published
	})
	if b.Published {
		c.log.Debug().Str("event", "mixer").Str("life", a.Life).Bool("leaving", m.Leaving).Msg("")
	}
}

// attachWatchReport adds what this controller knows of the mixers that pull here to a pull request for another controller.
func (c *Controller) attachWatchReport(a *distribution.PullRequest, _ bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.arbiter.WatchReport(time.Now()); len(w.Missed)+len(w.Seen)+len(w.Unheard) > 0 {
		a.Word = &w
	}
}

// heartbeatMonitored sends a heartbeat for each mixer that this controller monitors and that the arbiter considers alive. It
// reports whether one of them changed the list. The registry's lock is held.
func (c *Controller) heartbeatMonitored(r *registry.Registry, isolated bool) (changed bool) {
	now := time.Now()
	live := c.liveIncarnations()
	c.mu.Lock()
	defer c.mu.Unlock()
	if gen := r.Generation(); gen != c.nodesGeneration {
		c.nodesGeneration = gen
		c.setNodes(r, c.nodeList(r))
	}
	var monitored []failuredetector.Monitored
	for i := range c.nodes {
		// A mixer's source may change without a new generation of the list.
		if m, ok := distribution.GetMixer(r, c.nodes[i].Incarnation); !ok {
			continue
		} else if m.Source == c.incarnation || !isolated && !live[m.Source] {
			monitored = append(monitored, failuredetector.Monitored{Incarnation: m.Incarnation, Silent: m.Silent, Leaving: m.Leaving})
		}
	}
	for _, incarnation := range c.arbiter.Tick(now, monitored) {
		m, ok := distribution.GetMixer(r, incarnation)
		if !ok {
			continue
		}
		agent := c.agents[incarnation]
		if agent != nil {
			m.Calls = max(m.Calls, agent.calls)
		}
		m.Calls++ // well below the counter of the mixer's own next pull
		if agent != nil {
			agent.calls = m.Calls
		}
		b := r.Heartbeat(now, m.Searcher())
		changed = changed || b.Published
		if m.Silent && b.Published {
			c.log.Info().Str("event", "mixer-lives").Str("life", incarnation).Msg("")
		}
	}
	for incarnation, agent := range c.agents {
		if time.Since(agent.lastPull) > livenessTimeout {
			if m, ok := distribution.GetMixer(r, incarnation); !ok || m.Silent {
				delete(c.agents, incarnation)
			}
		}
	}
	return changed
}

// setNodes gives a changed list to the arbiter, and logs the mixers that have become silent.
func (c *Controller) setNodes(r *registry.Registry, nodes []failuredetector.Node) {
	wasSilent := map[string]bool{}
	for i := range c.nodes {
		wasSilent[c.nodes[i].Incarnation] = c.nodes[i].Silent
	}
	for i := range nodes {
		n := &nodes[i]
		if !n.Silent || n.Leaving || wasSilent[n.Incarnation] {
			continue
		}
		// The other controllers only repeat what the source has reported.
		if m, _ := distribution.GetMixer(r, n.Incarnation); m.Source == c.incarnation {
			c.log.Info().Str("event", "mixer-silent").Str("life", n.Incarnation).Msg("")
		}
	}
	c.nodes = nodes
	c.arbiter.SetNodes(nodes)
}

// nodeList returns the list of mixers in the form that failuredetector takes.
func (c *Controller) nodeList(r *registry.Registry) []failuredetector.Node {
	var nodes []failuredetector.Node
	for m := range distribution.Mixers(r) {
		nodes = append(nodes, failuredetector.Node{Incarnation: m.Incarnation, Addr: m.Addr, Zone: m.Zone, Region: c.settings.Zones[m.Zone],
			Silent: m.Silent, Leaving: m.Leaving})
	}
	return nodes
}

// mixerCounts returns the number of mixers that retry budgets are divided by, and the machines whose mixers are all silent.
func (c *Controller) mixerCounts() (n int, silent []string) {
	heard := map[string]bool{}
	c.replica.WithRegistry(func(r *registry.Registry) bool {
		n = distribution.CountMixers(r, retrybudget.ChargeLifetime(c.settings.RetryWindow))
		for m := range distribution.Mixers(r) {
			if !m.Silent {
				heard[m.Machine()] = true
			} else if !m.Leaving {
				silent = append(silent, m.Machine())
			}
		}
		return false
	})
	slices.Sort(silent)
	return n, slices.DeleteFunc(slices.Compact(silent), func(machine string) bool { return heard[machine] })
}

// listNodes returns this machine, the fronts whose agent pulls from it, and the silent ones.
func (c *Controller) listNodes(context.Context, *http.Request, []byte) reply {
	list := []client.Node{{Node: c.settings.Node, Role: client.Controller, Version: c.version()}}
	c.mu.Lock()
	latest := map[string]*pullingAgent{}
	for _, agent := range c.agents {
		if previous := latest[agent.node]; time.Since(agent.lastPull) <= livenessTimeout &&
			(previous == nil || agent.lastPull.After(previous.lastPull)) {
			latest[agent.node] = agent
		}
	}
	for _, agent := range latest {
		list = append(list, client.Node{Node: agent.node, Role: client.Front, Version: agent.version,
			LastContactMs: time.Since(agent.lastPull).Milliseconds(), Via: c.settings.Node})
	}
	c.mu.Unlock()
	_, silent := c.mixerCounts()
	for _, machine := range silent {
		if latest[machine] == nil {
			list = append(list, client.Node{Node: machine, Role: client.Front, LastContactMs: silentAge.Milliseconds(), Via: c.settings.Node,
				Fault: "silent"})
		}
	}
	slices.SortFunc(list[1:], func(a, b client.Node) int { return cmp.Compare(a.Node, b.Node) })
	return jsonReply(list)
}

// silentAge is the reported age of the last heartbeat of a silent machine. It is greater than any real age, so that the
// answer of a controller that does hear the machine takes precedence.
const silentAge = 2 * livenessTimeout
