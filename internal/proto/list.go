package proto

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"peathollow/policy"
)

// List is discovery's response: the full list of searchers, or the changed ones.
type List struct {
	Version int64
	Full    bool
	Hosts   []Host
}

// Host is one searcher as reported by discovery.
type Host struct {
	Name, Addr string
	State      policy.SearcherState
	Shard      int
	Weight     float64
	Born       time.Time // start of the searcher; zero if it started long ago
}

var states = map[string]policy.SearcherState{"up": policy.Ready, "draining": policy.Draining, "removed": policy.Gone}

// ReadList decodes a response of discovery.
func ReadList(text []byte) (List, error) {
	var raw struct {
		Seq   *int64 `json:"seq"`
		Whole bool   `json:"whole"`
		Hosts []struct {
			Host   string   `json:"host"`
			Dial   string   `json:"dial"`
			Block  *int     `json:"block"`
			Health string   `json:"health"`
			Share  *float64 `json:"share"`
			Born   float64  `json:"born_ms"`
		} `json:"hosts"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	if raw.Seq == nil {
		return List{}, fmt.Errorf("list: no seq")
	}
	list := List{Version: *raw.Seq, Full: raw.Whole, Hosts: make([]Host, 0, len(raw.Hosts))}
	for _, h := range raw.Hosts {
		state, ok := states[h.Health]
		if !ok || h.Host == "" {
			return List{}, fmt.Errorf("list: host %.60q has health %.20q", h.Host, h.Health)
		}
		if _, _, err := net.SplitHostPort(h.Dial); err != nil && state != policy.Gone {
			return List{}, fmt.Errorf("list: host %.60q: dial %.60q", h.Host, h.Dial)
		}
		host := Host{Name: h.Host, Addr: h.Dial, State: state, Shard: -1, Weight: 1}
		if h.Block != nil {
			host.Shard = *h.Block
		}
		if h.Share != nil {
			host.Weight = *h.Share
		}
		if h.Born > 0 {
			host.Born = time.UnixMicro(int64(h.Born * 1000))
		}
		list.Hosts = append(list.Hosts, host)
	}
	return list, nil
}
