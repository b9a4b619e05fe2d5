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

// Status is what a controller tells of itself, for operators; Member a core machine as an epoch names it.
type (
	Status = client.Status
	Member = client.Member
)

func (c *Controller) status(context.Context, *http.Request, []byte) reply {
	c.core.mu.Lock()
	e, primary := c.core.epoch, c.core.primary
	c.core.mu.Unlock()
	s := Status{Node: c.set.Node, ID: string(c.core.node.ID()), Zone: c.set.Zone, Epoch: e.N, Primary: primary,
		Searchers: len(c.board.Entries()), Alone: !c.inContact(), Version: c.version()}
	s.Mixers, s.SilentMixers = c.mixers()
	for _, id := range e.InSync {
		s.InSync = append(s.InSync, string(id))
	}
	_, port, _ := net.SplitHostPort(c.set.Control)
	for _, m := range e.Members {
		x := Member{ID: string(m.ID), Address: m.Addr, Zone: m.Zone}
		if host, _, err := net.SplitHostPort(m.Addr); err == nil {
			x.Control = net.JoinHostPort(host, port) // all machines have the same ports
		}
		s.Members = append(s.Members, x)
	}
	return tell(s)
}

// version is that of the configuration in force here, 0 before the first.
func (c *Controller) version() uint64 {
	if m := c.board.Document(); m != nil {
		return m.Version
	}
	return 0
}

// searchers lists those known here, of one service if the query names it.
func (c *Controller) searchers(_ context.Context, r *http.Request, _ []byte) reply {
	service := r.URL.Query().Get("service")
	list := []client.Searcher{}
	for _, e := range c.board.Entries() {
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
	return tell(list)
}

func tell(x any) reply {
	b, err := json.Marshal(x)
	if err != nil {
		return fault(http.StatusInternalServerError, err.Error())
	}
	return reply{http.StatusOK, b}
}
