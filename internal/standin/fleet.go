package standin

import (
	"encoding/json"
	"fmt"

	"peathollow/internal/proto"
)

// Fleet is a stand-in discovery service and the searchers in its list, on loopback.
type Fleet struct {
	Discovery *Discovery
	Searchers []*Searcher
}

// NewFleet starts n searchers, each in a place of its own. reply and cancelled receive the index of the searcher they are
// called for.
func NewFleet(n int, reply func(searcher int, c proto.Call) Reply, cancelled func(searcher int, id string)) (*Fleet, error) {
	f := &Fleet{}
	var hosts []Host
	for i := range n {
		s, err := NewSearcher("127.0.0.1:0", func(c proto.Call) Reply { return reply(i, c) }, func(id string) {
			if cancelled != nil {
				cancelled(i, id)
			}
		})
		if err != nil {
			f.Close()
			return nil, err
		}
		f.Searchers = append(f.Searchers, s)
		hosts = append(hosts, f.Host(i, "up"))
	}
	var err error
	if f.Discovery, err = NewDiscovery("127.0.0.1:0", hosts); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// SetLedger makes all searchers record their dispatches in one ledger.
func (f *Fleet) SetLedger(l *Ledger) {
	for _, s := range f.Searchers {
		s.SetLedger(l)
	}
}

// Host returns the list entry of one searcher with the given health.
func (f *Fleet) Host(i int, health string) Host {
	return Host{Host: fmt.Sprintf("toy-%d", i), Dial: f.Searchers[i].Addr(), Site: "here", Class: "toy", Block: i,
		Health: health, Share: 1}
}

// Close stops all searchers and discovery.
func (f *Fleet) Close() {
	for _, s := range f.Searchers {
		s.Close()
	}
	if f.Discovery != nil {
		f.Discovery.Close()
	}
}

// Config returns the configuration file of a mixer for this fleet; edit may change its settings. Each shard is served by
// two searchers. The table types are wide (partial answers allowed, with a second step), narrow, keyed (idempotent by
// key) and once (not idempotent).
func (f *Fleet) Config(edit func(settings map[string]any)) []byte {
	kind := func(name, semantics string, target, timeout float64) map[string]any {
		return map[string]any{"name": name, "semantics": semantics, "objective": target, "deadline": timeout,
			"keyTtl": 2000.0, "lateWorth": 0.3, "points": 1.0}
	}
	settings := map[string]any{"me": 0, "balancers": 1, "discovery": "push", "granularity": 5.0,
		"domain": map[string]any{"places": len(f.Searchers), "ranges": 2 * len(f.Searchers), "width": 2, "bundleMax": 1,
			"wholeAt": []float64{1, 1, 1, 1}, "floorByClass": []float64{0.5, 1, 1, 1}, "secondStep": []int{2, 0, 0, 0}},
		"limits": map[string]any{"attemptsCap": 3, "secondCopies": false, "retryAfter": true, "maxRetryAfter": 2000.0,
			"cancel": true, "maxOpen": 200, "streamsPerConn": 8, "connIdle": 15000.0, "connectTimeout": 250.0},
		"rules": map[string]any{"answerSlack": 20.0, "askEvery": 10000.0, "cold": 10000.0, "fall": 1500.0,
			"startCapacity": 0.3, "fallMultiple": 3.0, "drainGrace": 2000.0},
		"requestClasses": []any{kind("wide", "free", 300, 800), kind("narrow", "free", 300, 800),
			kind("keyed", "guarded", 300, 800), kind("once", "single_shot", 300, 800)},
		"parties": []any{map[string]any{"name": "acme", "quotaPerS": 1000.0, "share": 1.0}}}
	if edit != nil {
		edit(settings)
	}
	b, err := json.MarshalIndent(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
		"discovery": f.Discovery.Addr(), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": settings}, "", " ")
	if err != nil {
		panic(err) // numbers and strings can always be encoded
	}
	return b
}
