package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"peathollow/internal/periodic"
)

// order is a configuration that an operator sent.
type order struct {
	version  uint64
	body     []byte
	sent     time.Time
	acked    time.Time // zero: not yet, or never
	conflict bool      // another one was taken under its version
	set      int       // of the shards that it names
}

// operators send configurations, some under one version, and read back what is in force.
type operators struct {
	run  *run
	http *http.Client

	mu       sync.Mutex
	orders   []*order
	versions []uint64
	highest  uint64 // acknowledged
	set      int    // of shards, in use by the orders to come
}

const (
	orderWithin = time.Second // then another controller is asked
	orderPause  = 60 * time.Millisecond
	orderMost   = 10 * time.Second
	changeEvery = 1500 * time.Millisecond
	readEvery   = 120 * time.Millisecond
)

func newOperators(r *run) *operators { return &operators{run: r, http: r.caller(outside, 2)} }

// newest is the highest version that was acknowledged.
func (o *operators) newest() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.highest
}

// due is the highest version that was acknowledged before some moment.
func (o *operators) due(before time.Time) (version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, d := range o.orders {
		if !d.acked.IsZero() && d.acked.Before(before) {
			version = max(version, d.version)
		}
	}
	return version
}

// draft makes configurations under the next version.
func (o *operators) draft(n int) (drafts []*order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	version := uint64(1)
	if k := len(o.versions); k > 0 {
		version = o.versions[k-1] + 1 + rand.Uint64N(3) // they rise in uneven steps
	}
	o.versions = append(o.versions, version)
	for variant := range n {
		d := &order{version: version, set: o.set, sent: time.Now(),
			body: o.run.schedule.Shape.configuration(version, o.versions, variant, o.set)}
		o.orders = append(o.orders, d)
		drafts = append(drafts, d)
	}
	return drafts
}

// change sends a new configuration till it has a clear answer or too much time has passed.
func (o *operators) change(ctx context.Context) {
	o.put(ctx, o.draft(1)[0])
}

// reshard has the gathered route go to the other set of shards.
func (o *operators) reshard(ctx context.Context) {
	o.mu.Lock()
	o.set = (o.set + 1) % sets
	o.mu.Unlock()
	o.change(ctx)
}

// setsAt tells which sets of shards a configuration named that may have been in force at some time.
func (o *operators) setsAt(at time.Time) (in [sets]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, d := range o.orders {
		switch {
		case d.conflict || d.sent.After(at):
		case d.acked.IsZero() || d.acked.After(at.Add(-applyTime)):
			in[d.set] = true
		default: // it is in force, and all before it are not
			in = [sets]bool{}
			in[d.set] = true
		}
	}
	return in
}

// race has operators send different configurations under one version.
func (o *operators) race(ctx context.Context) {
	var all sync.WaitGroup
	drafts := o.draft(2)
	for _, d := range drafts {
		all.Go(func() { o.put(ctx, d) })
	}
	all.Wait()
	if a, b := drafts[0].taken(o), drafts[1].taken(o); a && b {
		o.run.violated("two configurations: both were acknowledged under version %d", drafts[0].version)
	}
}

func (d *order) taken(o *operators) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !d.acked.IsZero()
}

// put sends an order until it has a clear answer.
func (o *operators) put(ctx context.Context, d *order) {
	ctx, stop := context.WithTimeout(ctx, orderMost)
	defer stop()
	raced := o.raced(d)
	for ctx.Err() == nil {
		status, answer := o.call(ctx, http.MethodPut, "/config", d.body)
		o.mu.Lock()
		switch {
		case status/100 == 2:
			if d.acked.IsZero() {
				d.acked = time.Now()
			}
			o.highest = max(o.highest, d.version)
			o.mu.Unlock()
			return
		case status == http.StatusConflict && raced:
			d.conflict = true
			o.mu.Unlock()
			return
		case status/100 == 4:
			o.mu.Unlock()
			o.run.violated("order refused: version %d: %d %s", d.version, status, answer)
			return
		}
		o.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(orderPause):
		}
	}
}

// raced tells whether another configuration was sent under the same version.
func (o *operators) raced(d *order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, x := range o.orders {
		if x != d && x.version == d.version {
			return true
		}
	}
	return false
}

// call asks one controller once; the status is 0 without an answer.
func (o *operators) call(ctx context.Context, method, path string, body []byte) (int, []byte) {
	ctx, stop := context.WithTimeout(ctx, orderWithin)
	defer stop()
	door := o.run.system.Control[rand.IntN(len(o.run.system.Control))]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+door+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	res, err := o.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, answer
}

// work changes the configuration now and then, and sends orders again that were acknowledged, till ctx ends.
func (o *operators) work(ctx context.Context) {
	periodic.Each(ctx, changeEvery, func() {
		o.change(ctx)
		if d := o.again(); d != nil && ctx.Err() == nil {
			o.put(ctx, d)
		}
	})
}

// again picks an order that was acknowledged and with no other change since.
func (o *operators) again() *order {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.orders); n > 0 && !o.orders[n-1].acked.IsZero() {
		return o.orders[n-1]
	}
	return nil
}

// read reads back what is in force, till ctx ends: never an older version than was acknowledged when the question was
// sent, and what was sent under its number.
func (o *operators) read(ctx context.Context) {
	periodic.Each(ctx, readEvery, func() { o.readOnce(ctx) })
}

// readOnce tells whether a configuration was read.
func (o *operators) readOnce(ctx context.Context) bool {
	known := o.newest()
	status, answer := o.call(ctx, http.MethodGet, "/config", nil)
	if status != http.StatusOK {
		if status == http.StatusNotFound && known > 0 {
			o.run.violated("configuration lost: none is there, version %d was acknowledged", known)
		}
		return false
	}
	var d document
	if err := json.Unmarshal(answer, &d); err != nil {
		o.run.violated("configuration read back: %v", err)
		return true
	}
	if d.Version < known {
		o.run.violated("old configuration read back: version %d, and %d was acknowledged before", d.Version, known)
	}
	if why := o.compare(d.Version, answer); why != "" {
		o.run.violated("configuration read back: version %d: %s", d.Version, why)
	}
	return true
}

// compare says how what was read differs from what was sent.
func (o *operators) compare(version uint64, body []byte) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	sent := false
	for _, d := range o.orders {
		if d.version != version {
			continue
		}
		same := bytes.Equal(d.body, body)
		sent = sent || same
		if same && d.conflict {
			return "it was refused"
		}
		if !same && !d.acked.IsZero() {
			return "another one was acknowledged"
		}
	}
	if !sent {
		return "nobody sent it"
	}
	return ""
}
