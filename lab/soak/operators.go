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

// configChange is a configuration that an operator sent.
type configChange struct {
	version  uint64
	body     []byte
	sent     time.Time
	acked    time.Time // zero if not acknowledged
	conflict bool      // another configuration was accepted under its version
	set      int       // the set of shards that it names
}

// operators send configurations, some under the same version, and read back the active one.
type operators struct {
	run  *run
	http *http.Client

	mu       sync.Mutex
	changes  []*configChange
	versions []uint64
	highest  uint64 // the highest acknowledged version
	set      int    // the set of shards that later changes use
}

const (
	requestTimeout   = time.Second // then another controller is tried
	changeRetryDelay = 60 * time.Millisecond
	changeTimeout    = 10 * time.Second
	changeInterval   = 1500 * time.Millisecond
	readInterval     = 120 * time.Millisecond
)

func newOperators(r *run) *operators { return &operators{run: r, http: r.newHTTPClient(outside, 2)} }

// newest returns the highest acknowledged version.
func (o *operators) newest() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.highest
}

// acknowledgedBefore returns the highest version that was acknowledged before a moment.
func (o *operators) acknowledgedBefore(before time.Time) (version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.changes {
		if !c.acked.IsZero() && c.acked.Before(before) {
			version = max(version, c.version)
		}
	}
	return version
}

// draft creates n configurations under the next version.
func (o *operators) draft(n int) (drafts []*configChange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	version := uint64(1)
	if count := len(o.versions); count > 0 {
		version = o.versions[count-1] + 1 + rand.Uint64N(3) // versions increase in uneven steps
	}
	o.versions = append(o.versions, version)
	for variant := range n {
		c := &configChange{version: version, set: o.set, sent: time.Now(),
			body: o.run.schedule.Shape.configuration(version, o.versions, variant, o.set)}
		o.changes = append(o.changes, c)
		drafts = append(drafts, c)
	}
	return drafts
}

// change sends a new configuration until it gets a definite answer or changeTimeout has passed.
func (o *operators) change(ctx context.Context) {
	o.submit(ctx, o.draft(1)[0])
}

// reshard switches the fan-out route to the other set of shards.
func (o *operators) reshard(ctx context.Context) {
	o.mu.Lock()
	o.set = (o.set + 1) % sets
	o.mu.Unlock()
	o.change(ctx)
}

// setsAt returns the sets of shards in the configurations that may have been active at a time.
func (o *operators) setsAt(at time.Time) (active [sets]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.changes {
		switch {
		case c.conflict || c.sent.After(at):
		case c.acked.IsZero() || c.acked.After(at.Add(-applyTime)):
			active[c.set] = true
		default: // it is active and has superseded all changes before it
			active = [sets]bool{}
			active[c.set] = true
		}
	}
	return active
}

// race sends different configurations under one version at the same time.
func (o *operators) race(ctx context.Context) {
	var wg sync.WaitGroup
	drafts := o.draft(2)
	for _, c := range drafts {
		wg.Go(func() { o.submit(ctx, c) })
	}
	wg.Wait()
	if a, b := drafts[0].acknowledged(o), drafts[1].acknowledged(o); a && b {
		o.run.violation("two configurations: both were acknowledged under version %d", drafts[0].version)
	}
}

func (c *configChange) acknowledged(o *operators) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !c.acked.IsZero()
}

// submit sends a change until it gets a definite answer.
func (o *operators) submit(ctx context.Context, c *configChange) {
	ctx, stop := context.WithTimeout(ctx, changeTimeout)
	defer stop()
	shared := o.sharesVersion(c)
	for ctx.Err() == nil {
		status, answer := o.call(ctx, http.MethodPut, "/config", c.body)
		o.mu.Lock()
		switch {
		case status/100 == 2:
			if c.acked.IsZero() {
				c.acked = time.Now()
			}
			o.highest = max(o.highest, c.version)
			o.mu.Unlock()
			return
		case status == http.StatusConflict && shared:
			c.conflict = true
			o.mu.Unlock()
			return
		case status/100 == 4:
			o.mu.Unlock()
			o.run.violation("order refused: version %d: %d %s", c.version, status, answer)
			return
		}
		o.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(changeRetryDelay):
		}
	}
}

// sharesVersion reports whether another configuration was sent under the same version.
func (o *operators) sharesVersion(c *configChange) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, other := range o.changes {
		if other != c && other.version == c.version {
			return true
		}
	}
	return false
}

// call sends one request to a random controller; the status is 0 without an answer.
func (o *operators) call(ctx context.Context, method, path string, body []byte) (int, []byte) {
	ctx, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()
	address := o.run.system.Control[rand.IntN(len(o.run.system.Control))]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
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

// changePeriodically changes the configuration periodically and resends acknowledged changes, until ctx is done.
func (o *operators) changePeriodically(ctx context.Context) {
	periodic.Run(ctx, changeInterval, func() {
		o.change(ctx)
		if c := o.lastAcknowledged(); c != nil && ctx.Err() == nil {
			o.submit(ctx, c)
		}
	})
}

// lastAcknowledged returns the newest change if it is acknowledged, otherwise nil.
func (o *operators) lastAcknowledged() *configChange {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.changes); n > 0 && !o.changes[n-1].acked.IsZero() {
		return o.changes[n-1]
	}
	return nil
}

// readPeriodically reads the active configuration back until ctx is done. Its version must not be older than the newest one
// that was acknowledged when the request was sent, and its content must be what was sent under that version.
func (o *operators) readPeriodically(ctx context.Context) {
	periodic.Run(ctx, readInterval, func() { o.readOnce(ctx) })
}

// readOnce reports whether a configuration was read.
func (o *operators) readOnce(ctx context.Context) bool {
	known := o.newest()
	status, answer := o.call(ctx, http.MethodGet, "/config", nil)
	if status != http.StatusOK {
		if status == http.StatusNotFound && known > 0 {
			o.run.violation("configuration lost: none is stored, although version %d was acknowledged", known)
		}
		return false
	}
	var doc configDocument
	if err := json.Unmarshal(answer, &doc); err != nil {
		o.run.violation("configuration read back: %v", err)
		return true
	}
	if doc.Version < known {
		o.run.violation("old configuration read back: version %d, and %d was acknowledged before", doc.Version, known)
	}
	if why := o.compare(doc.Version, answer); why != "" {
		o.run.violation("configuration read back: version %d: %s", doc.Version, why)
	}
	return true
}

// compare returns how a configuration that was read differs from what was sent, or "".
func (o *operators) compare(version uint64, body []byte) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	sent := false
	for _, c := range o.changes {
		if c.version != version {
			continue
		}
		same := bytes.Equal(c.body, body)
		sent = sent || same
		if same && c.conflict {
			return "it was refused"
		}
		if !same && !c.acked.IsZero() {
			return "another one was acknowledged"
		}
	}
	if !sent {
		return "it was never sent"
	}
	return ""
}
