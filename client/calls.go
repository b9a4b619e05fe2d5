package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"peathollow/manifest"
)

// ControllerStatus is the status of one controller, or the reason why it could not be read.
type ControllerStatus struct {
	Control string  `json:"control"`
	Status  *Status `json:"status,omitempty"`
	Fault   string  `json:"fault,omitempty"`
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	response, peer, err := c.Call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(response, into); err != nil {
		return errors.Wrapf(err, "GET %s, peer %s", path, peer)
	}
	return nil
}

// Status returns the status that any one controller reports, and adds the addresses of the members to the client.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var s Status
	if err := c.get(ctx, "/status", &s); err != nil {
		return nil, err
	}
	for _, m := range s.Members {
		c.addAddresses([]string{m.Control})
	}
	return &s, nil
}

// Controllers gets the list of members from any controller, and then the status of each of them.
func (c *Client) Controllers(ctx context.Context) ([]ControllerStatus, error) {
	s, err := c.Status(ctx)
	if err != nil {
		return nil, err
	}
	all := make([]ControllerStatus, len(s.Members))
	forEach(len(all), func(i int) {
		all[i].Control = s.Members[i].Control
		var status Status
		if err := c.GetFrom(ctx, all[i].Control, "/status", &status); err != nil {
			all[i].Fault = err.Error()
			return
		}
		all[i].Status = &status
	})
	slices.SortFunc(all, func(a, b ControllerStatus) int { return strings.Compare(a.Control, b.Control) })
	return all, nil
}

// Nodes asks each controller for the nodes that it is in contact with. A controller that doesn't respond is listed as a node
// with a fault. If several controllers report a front, the latest contact counts.
func (c *Client) Nodes(ctx context.Context) ([]Node, error) {
	s, err := c.Status(ctx)
	if err != nil {
		return nil, err
	}
	reports := make([][]Node, len(s.Members))
	forEach(len(reports), func(i int) {
		control := s.Members[i].Control
		if err := c.GetFrom(ctx, control, "/nodes", &reports[i]); err != nil {
			reports[i] = []Node{{Node: control, Role: Controller, Fault: err.Error()}}
		}
	})
	return latestReports(reports), nil
}

// latestReports keeps the latest report on each node.
func latestReports(reports [][]Node) []Node {
	latest := map[[2]string]Node{}
	for _, list := range reports {
		for _, n := range list {
			key := [2]string{n.Role, n.Node}
			if previous, ok := latest[key]; !ok || n.LastContactMs < previous.LastContactMs {
				latest[key] = n
			}
		}
	}
	all := make([]Node, 0, len(latest))
	for _, n := range latest {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b Node) int {
		if d := strings.Compare(a.Role, b.Role); d != 0 { // controllers first
			return d
		}
		return strings.Compare(a.Node, b.Node)
	})
	return all
}

// Searchers returns the list of searchers from any controller, for one service or, if service is empty, for all.
func (c *Client) Searchers(ctx context.Context, service string) ([]Searcher, error) {
	path := "/searchers"
	if service != "" {
		path += "?service=" + url.QueryEscape(service)
	}
	var list []Searcher
	err := c.get(ctx, path, &list)
	return list, err
}

// Config returns the configuration in force as it was sent, or nil if there is none yet.
func (c *Client) Config(ctx context.Context) ([]byte, error) {
	raw, _, err := c.Call(ctx, http.MethodGet, "/config", nil)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return nil, nil
	}
	return raw, err
}

// Put sends a configuration until it is acknowledged. A configuration whose version is not above the one in force is
// acknowledged, too, but changes nothing. Put returns the version that a controller then reports as in force.
func (c *Client) Put(ctx context.Context, raw []byte) (inForce uint64, err error) {
	if _, _, err := c.Call(ctx, http.MethodPut, "/config", raw); err != nil {
		return 0, err
	}
	current, err := c.Config(ctx)
	if err != nil {
		return 0, err
	}
	m, err := manifest.Parse(current)
	if err != nil {
		return 0, errors.Wrap(err, "read the configuration back")
	}
	return m.Version, nil
}

// WaitForVersion polls until every node reports the given version or a later one as in force. It calls progress whenever the
// number of these nodes changes. A node that doesn't respond or doesn't report a version counts as outstanding.
func (c *Client) WaitForVersion(ctx context.Context, version uint64, progress func(have, of int)) error {
	previous := -1
	for {
		nodes, err := c.Nodes(ctx)
		var outstanding []string
		for _, n := range nodes {
			if n.Version < version {
				outstanding = append(outstanding, n.Node)
			}
		}
		if err == nil {
			if have := len(nodes) - len(outstanding); have != previous {
				previous = have
				progress(have, len(nodes))
			}
			if len(outstanding) == 0 && len(nodes) > 0 {
				return nil
			}
			err = errors.Errorf("version %d is not reported by %s", version, strings.Join(outstanding, ", "))
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// forEach calls do for 0 to n-1, with at most 8 calls at a time.
func forEach(n int, do func(i int)) {
	var all sync.WaitGroup
	slots := make(chan struct{}, 8)
	for i := range n {
		slots <- struct{}{}
		all.Go(func() {
			do(i)
			<-slots
		})
	}
	all.Wait()
}
