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

// A controller is a first-hand source of which mixers there are, as it is of searchers: an agent's pull is a beat. Those
// that don't pull but are heard by the mixers that watch them get a beat by this controller (failuredetector).

// front is an agent as heard here.
type front struct {
	node    string
	at      time.Time
	version uint64
	calls   uint64 // the registry keeps that of a plain repeat to itself
}

// pulled takes in an agent's ask.
func (c *Controller) pulled(a *distribution.PullRequest) {
	if a.Mixer == nil || a.Life == "" || len(a.Life) > 256 {
		return
	}
	now := time.Now()
	m := distribution.Mixer{Incarnation: a.Life, Zone: a.Mixer.Zone, Leaving: a.Mixer.Leaving, Calls: a.Mixer.Calls}
	m.Addr, _ = netip.ParseAddrPort(a.Mixer.Addr)
	c.mu.Lock()
	c.judge.ReceivePull(now, a.Life, a.Mixer.Missed, a.Mixer.Seen)
	f := c.fronts[a.Life]
	if f == nil {
		f = &front{node: a.Node}
		c.fronts[a.Life] = f
	}
	f.at, f.version, f.calls = now, a.Version, max(f.calls, m.Calls)
	c.mu.Unlock()
	var b registry.HeartbeatResult
	c.board.WithRegistry(func(r *registry.Registry) bool {
		b = r.Heartbeat(now, m.Searcher())
		return b.Published
	})
	if b.Published {
		c.log.Debug().Str("event", "mixer").Str("life", a.Life).Bool("leaving", m.Leaving).Msg("")
	}
}

// say tells another controller of the mixers that pull here.
func (c *Controller) say(a *distribution.PullRequest, _ bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.judge.WatchReport(time.Now()); len(w.Missed)+len(w.Seen)+len(w.Unheard) > 0 {
		a.Word = &w
	}
}

// mind gives a beat to mixers that fall to this controller and are to be taken for alive; the registry's lock is held. It
// tells whether that made news.
func (c *Controller) mind(r *registry.Registry, alone bool) (news bool) {
	now := time.Now()
	live := c.lives()
	c.mu.Lock()
	defer c.mu.Unlock()
	if gen := r.Generation(); gen != c.nodesAt {
		c.nodesAt = gen
		c.know(r, c.listed(r))
	}
	var minded []failuredetector.Monitored
	for i := range c.nodes {
		// Whose it is may change without the list's doing so.
		if m, ok := distribution.GetMixer(r, c.nodes[i].Incarnation); !ok {
			continue
		} else if m.Source == c.life || !alone && !live[m.Source] {
			minded = append(minded, failuredetector.Monitored{Incarnation: m.Incarnation, Silent: m.Silent, Leaving: m.Leaving})
		}
	}
	for _, life := range c.judge.Tick(now, minded) {
		m, ok := distribution.GetMixer(r, life)
		if !ok {
			continue
		}
		f := c.fronts[life]
		if f != nil {
			m.Calls = max(m.Calls, f.calls)
		}
		m.Calls++ // well below the number of the mixer's own next ask
		if f != nil {
			f.calls = m.Calls
		}
		b := r.Heartbeat(now, m.Searcher())
		news = news || b.Published
		if m.Silent && b.Published {
			c.log.Info().Str("event", "mixer-lives").Str("life", life).Msg("")
		}
	}
	for life, f := range c.fronts {
		if time.Since(f.at) > forgetAfter {
			if m, ok := distribution.GetMixer(r, life); !ok || m.Silent {
				delete(c.fronts, life)
			}
		}
	}
	return news
}

// know hands the judge a list that has changed, and notes who has fallen silent.
func (c *Controller) know(r *registry.Registry, nodes []failuredetector.Node) {
	was := map[string]bool{}
	for i := range c.nodes {
		was[c.nodes[i].Incarnation] = c.nodes[i].Silent
	}
	for i := range nodes {
		n := &nodes[i]
		if !n.Silent || n.Leaving || was[n.Incarnation] {
			continue
		}
		if m, _ := distribution.GetMixer(r, n.Incarnation); m.Source == c.life { // the others say what they were told
			c.log.Info().Str("event", "mixer-silent").Str("life", n.Incarnation).Msg("")
		}
	}
	c.nodes = nodes
	c.judge.SetNodes(nodes)
}

// listed is the list of mixers as failuredetector takes it.
func (c *Controller) listed(r *registry.Registry) []failuredetector.Node {
	var nodes []failuredetector.Node
	for m := range distribution.Mixers(r) {
		nodes = append(nodes, failuredetector.Node{Incarnation: m.Incarnation, Addr: m.Addr, Zone: m.Zone, Region: c.set.Zones[m.Zone],
			Silent: m.Silent, Leaving: m.Leaving})
	}
	return nodes
}

// mixers tells how many mixers budgets reckon with, and which machines' are silent.
func (c *Controller) mixers() (n int, silent []string) {
	heard := map[string]bool{}
	c.board.WithRegistry(func(r *registry.Registry) bool {
		n = distribution.CountMixers(r, retrybudget.ChargeLifetime(c.set.RetryWindow))
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

// nodes tells of this machine, of the fronts whose agent pulls here, and of those that are silent.
func (c *Controller) tellNodes(context.Context, *http.Request, []byte) reply {
	list := []client.Node{{Node: c.set.Node, Role: client.Controller, Version: c.version()}}
	c.mu.Lock()
	latest := map[string]*front{}
	for _, f := range c.fronts {
		if was := latest[f.node]; time.Since(f.at) <= forgetAfter && (was == nil || f.at.After(was.at)) {
			latest[f.node] = f
		}
	}
	for _, f := range latest {
		list = append(list, client.Node{Node: f.node, Role: client.Front, Version: f.version,
			HeardMs: time.Since(f.at).Milliseconds(), Via: c.set.Node})
	}
	c.mu.Unlock()
	_, silent := c.mixers()
	for _, machine := range silent {
		if latest[machine] == nil {
			list = append(list, client.Node{Node: machine, Role: client.Front, HeardMs: silentFor.Milliseconds(), Via: c.set.Node,
				Fault: "silent"})
		}
	}
	slices.SortFunc(list[1:], func(a, b client.Node) int { return cmp.Compare(a.Node, b.Node) })
	return tell(list)
}

// silentFor stands for how long a silent machine wasn't heard: longer than any that is, so that a controller that hears it
// is believed.
const silentFor = 2 * forgetAfter
