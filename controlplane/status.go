package controlplane

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"

	"peathollow/client"
	"peathollow/registry"
)

// Status is the state of a controller as reported to operators. Member is a core machine as listed in an epoch.
type (
	Status = client.Status
	Member = client.Member
)

func (c *Controller) getStatus(context.Context, *http.Request, []byte) reply {
	c.driver.mu.Lock()
	e, primary := c.driver.epoch, c.driver.primary
	c.driver.mu.Unlock()
	s := Status{Node: c.settings.Node, ID: string(c.driver.node.ID()), Zone: c.settings.Zone, Epoch: e.N, Primary: primary,
		Searchers: len(c.replica.Entries()), Isolated: !c.inContact(), Version: c.version()}
	s.Mixers, s.SilentMixers = c.mixerCounts()
	for _, id := range e.InSync {
		s.InSync = append(s.InSync, string(id))
	}
	_, port, _ := net.SplitHostPort(c.settings.Control)
	for _, m := range e.Members {
		x := Member{ID: string(m.ID), Address: m.Addr, Zone: m.Zone}
		if host, _, err := net.SplitHostPort(m.Addr); err == nil {
			x.Control = net.JoinHostPort(host, port) // all machines use the same ports
		}
		s.Members = append(s.Members, x)
	}
	return jsonReply(s)
}

// version returns the version of the configuration in force here, or 0 before the first.
func (c *Controller) version() uint64 {
	if m := c.replica.Document(); m != nil {
		return m.Version
	}
	return 0
}

// listSearchers returns the known searchers, or those of one service if the query names it.
func (c *Controller) listSearchers(_ context.Context, r *http.Request, _ []byte) reply {
	service := r.URL.Query().Get("service")
	list := []client.Searcher{}
	for _, e := range c.replica.Entries() {
		if service != "" && e.Plant != service {
			continue
		}
		x := client.Searcher{ID: e.ID, Service: e.Plant, Address: e.Address, Zone: e.Zone, State: e.State.String(), Capacity: e.Capacity,
			WarmupLeftMs: e.WarmupLeft.Milliseconds(), ConfigVersion: e.ConfigVersion, Source: e.Source}
		if e.Silent && e.State == registry.Ready {
			x.State = "silent"
		}
		list = append(list, x)
	}
	slices.SortStableFunc(list, func(a, b client.Searcher) int { return cmp.Compare(a.Service, b.Service) })
	return jsonReply(list)
}

func jsonReply(x any) reply {
	b, err := json.Marshal(x)
	if err != nil {
		return errorReply(http.StatusInternalServerError, err.Error())
	}
	return reply{http.StatusOK, b}
}
