package simulation

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"peathollow/registry"
)

const checkInterval = 100 * time.Millisecond

// checkPeriodically checks what the proxies hold until the clients end.
func (sim *Simulation) checkPeriodically() {
	for sim.pause(checkInterval) {
		sim.mu.Lock()
		sim.checkPendingChanges()
		for _, f := range sim.fronts {
			sim.checkFront(f)
		}
		sim.mu.Unlock()
	}
}

// settledSince is the time from which the controllers count as settled.
func (sim *Simulation) settledSince() time.Time { return sim.disturbedAt.Add(contactBound) }

// checkPendingChanges checks that no change waits for longer than the bound while the controllers are settled.
func (sim *Simulation) checkPendingChanges() {
	now := time.Now()
	for change := range sim.operator.pending {
		from := change.sent
		if s := sim.settledSince(); s.After(from) {
			from = s
		}
		if sim.operator.accepted[change.version] == nil && now.Sub(from) > ackBound {
			sim.fail("version %d is not acknowledged after %v while the controllers are settled", change.version, now.Sub(from))
		}
	}
}

func (sim *Simulation) checkFront(f *front) {
	now := time.Now()
	for _, r := range []*replicaProcess{&f.agent, &f.proxy} {
		if r.stop == nil {
			continue
		}
		doc := r.replica.Document()
		if doc == nil {
			continue
		}
		first := r.version == 0
		switch {
		case doc.Version < r.version:
			sim.fail("front %d went back from version %d to %d", f.index, r.version, doc.Version)
		case first:
			sim.checkFirstVersion(f, r, doc.Version)
		}
		r.version = doc.Version
		if body := sim.operator.accepted[doc.Version]; body != nil && !bytes.Equal(body, doc.Raw) {
			sim.fail("front %d has another body of version %d than was acknowledged", f.index, doc.Version)
		}
		if sim.operator.rejected[string(doc.Raw)] {
			sim.fail("front %d has a body of version %d that was rejected", f.index, doc.Version)
		}
	}
	if now.Sub(sim.settledSince()) < 0 || now.Sub(f.disturbedAt) < contactBound || f.proxy.stop == nil {
		return
	}
	// From here on the front is in contact.
	if due := sim.operator.newest(now.Add(-applyBound)); f.proxy.version < due {
		sim.fail("front %d is in contact and has version %d, at least %d is expected", f.index, f.proxy.version, due)
	}
	sim.checkSearcherList(f, now)
}

// checkFirstVersion checks that the first configuration of a process is never older than what was acknowledged a bound
// before, whether in contact or not.
func (sim *Simulation) checkFirstVersion(f *front, r *replicaProcess, version uint64) {
	const lag = applyBound + 500*time.Millisecond
	if due := sim.operator.newest(time.Now().Add(-lag)); version < due && r == &f.agent {
		sim.fail("front %d starts with version %d, but %d was acknowledged more than %v before", f.index, version, due, lag)
	}
}

// checkSearcherList checks that a searcher whose drain was acknowledged is no longer listed as ready a bound later, and that
// live searchers are listed.
func (sim *Simulation) checkSearcherList(f *front, now time.Time) {
	var listed map[string]registry.State
	f.proxy.replica.WithRegistry(func(r *registry.Registry) bool {
		listed = map[string]registry.State{}
		for e := range r.Service(serviceName) {
			listed[e.ID] = e.State
		}
		return false
	})
	for id, s := range sim.searchers {
		state, there := listed[id]
		if !s.leaveAckedAt.IsZero() && now.Sub(s.leaveAckedAt) > drainBound && there && state == registry.Ready {
			sim.fail("front %d lists %s as ready %v after its drain was acknowledged", f.index, id, now.Sub(s.leaveAckedAt))
		}
		if !s.ended && s.leavingSince.IsZero() && !there && now.Sub(s.started) > 2*contactBound &&
			now.Sub(sim.settledSince()) > heartbeatPeriod {
			sim.fail("front %d does not list %s", f.index, id)
		}
	}
}

// checkFinalState ends all faults and checks that everything acknowledged is still there and that a new change is accepted
// and reaches all fronts.
func (sim *Simulation) checkFinalState() {
	sim.healAll()
	time.Sleep(12 * time.Second)
	c := newCaller(sim.net.Start("10.9.0.99"))
	sim.mu.Lock()
	due := sim.operator.newest(time.Now())
	last := &configChange{version: sim.operator.highest + 1, sent: time.Now()}
	sim.operator.highest++
	last.body = document(last.version, "last")
	sim.mu.Unlock()
	for _, addr := range sim.controlAddrs() {
		status, body := c.call(http.MethodGet, addr, "/config", nil)
		sim.checkConfigRead(addr, status, body, due)
	}
	sim.mu.Lock()
	sim.operator.pending[last] = true
	sim.mu.Unlock()
	sim.sendUntilAnswered(c, last)
	time.Sleep(applyBound + time.Second)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, f := range sim.fronts {
		if f.proxy.version < last.version {
			sim.fail("after the faults: front %d has version %d after the last change %d", f.index, f.proxy.version, last.version)
		}
	}
}

func (sim *Simulation) checkConfigRead(addr string, status int, body []byte, due uint64) {
	var version uint64
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if status == http.StatusNotFound && due == 0 {
		return
	}
	if status != http.StatusOK {
		sim.fail("after the faults: %s returns no configuration: %d %s", addr, status, body)
		return
	}
	if _, err := fmt.Sscanf(string(body), `{"config-version":%d`, &version); err != nil || version < due {
		sim.fail("after the faults: %s returns version %d, %d was acknowledged", addr, version, due)
	}
	if accepted := sim.operator.accepted[version]; accepted != nil && !bytes.Equal(accepted, body) {
		sim.fail("after the faults: %s returns another body of version %d than was acknowledged", addr, version)
	}
}
