package proto

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"peathollow/policy"
)

// List is discovery's answer: the whole list of searchers, or what changed.
type List struct {
	Version int64
	Whole   bool
	Hosts   []Host
}

// Host is one searcher as discovery tells of it.
type Host struct {
	Name, Addr string
	State      policy.SearcherState
	Cell       int
	Weight     float64
	Born       time.Time // zero: long ago
}

var standings = map[string]policy.SearcherState{"up": policy.Ready, "draining": policy.Draining, "removed": policy.Gone}

// ReadList decodes what discovery answers.
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
	l := List{Version: *raw.Seq, Whole: raw.Whole, Hosts: make([]Host, 0, len(raw.Hosts))}
	for _, h := range raw.Hosts {
		st, ok := standings[h.Health]
		if !ok || h.Host == "" {
			return List{}, fmt.Errorf("list: host %.60q has health %.20q", h.Host, h.Health)
		}
		if _, _, err := net.SplitHostPort(h.Dial); err != nil && st != policy.Gone {
			return List{}, fmt.Errorf("list: host %.60q: dial %.60q", h.Host, h.Dial)
		}
		e := Host{Name: h.Host, Addr: h.Dial, State: st, Cell: -1, Weight: 1}
		if h.Block != nil {
			e.Cell = *h.Block
		}
		if h.Share != nil {
			e.Weight = *h.Share
		}
		if h.Born > 0 {
			e.Born = time.UnixMicro(int64(h.Born * 1000))
		}
		l.Hosts = append(l.Hosts, e)
	}
	return l, nil
}
