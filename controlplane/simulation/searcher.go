package simulation

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// searcher is one incarnation of a searcher. Its fields are guarded by the simulation's lock.
type searcher struct {
	id           string
	started      time.Time
	leaveAckedAt time.Time // when a controller acknowledged the drain; zero before
	ended        bool      // the process has ended
	crashed      bool
	leavingSince time.Time // when it first reported draining
}

// runSearcherSlot runs one searcher after the other at one address.
func (sim *Simulation) runSearcherSlot(i int) {
	c := newCaller(sim.net.Start(fmt.Sprintf("10.8.0.%d", i+1)))
	for n := 0; ; n++ {
		s := &searcher{id: fmt.Sprintf("s%d-%d", i, n), started: time.Now()}
		sim.mu.Lock()
		sim.searchers[s.id] = s
		sim.mu.Unlock()
		if !sim.runSearcher(c, s, i) {
			return
		}
	}
}

// runSearcher runs a searcher until it leaves, in most cases by draining. It returns false when the run is over.
func (sim *Simulation) runSearcher(c *caller, s *searcher, i int) bool {
	b := &heartbeater{sim: sim, c: c, s: s, slot: i}
	until := time.Now().Add(sim.randomDuration(8*time.Second, 40*time.Second))
	for time.Now().Before(until) {
		b.send("ready")
		if !sim.pause(sim.randomDuration(heartbeatPeriod*9/10, heartbeatPeriod*11/10)) {
			return false
		}
	}
	if sim.chance(0.2) { // crashes without draining
		sim.mu.Lock()
		s.ended, s.crashed = true, true
		sim.mu.Unlock()
		return sim.pause(sim.randomDuration(time.Second, 5*time.Second))
	}
	sim.mu.Lock()
	s.leavingSince = time.Now()
	sim.mu.Unlock()
	for !b.send("draining") {
		if !sim.pause(300 * time.Millisecond) {
			return false
		}
	}
	sim.mu.Lock()
	s.leaveAckedAt = time.Now()
	sim.result.Drains++
	sim.record("drain of %s is acknowledged", s.id)
	silent := sim.rng.Float64() < 0.5 // sends no heartbeat until it ends
	sim.triggerFault(DrainAcknowledged)
	sim.mu.Unlock()
	for end := time.Now().Add(drainBound + sim.randomDuration(0, 8*time.Second)); time.Now().Before(end); {
		if !sim.pause(heartbeatPeriod) {
			return false
		}
		if !silent {
			b.send("draining")
		}
	}
	b.sendOnce(http.MethodDelete, nil)
	sim.mu.Lock()
	s.ended = true
	sim.mu.Unlock()
	return sim.pause(sim.randomDuration(time.Second, 3*time.Second))
}

// heartbeater sends the heartbeats of one searcher.
type heartbeater struct {
	sim    *Simulation
	c      *caller
	s      *searcher
	slot   int
	calls  uint64
	target string
}

// send sends a heartbeat until it is acknowledged, up to four times.
func (b *heartbeater) send(state string) bool {
	for range 4 {
		b.calls++
		body := fmt.Appendf(nil, `{"plant":%s,"address":"10.8.0.%d:80","zone":%q,"config-version":"v1","capacity":3,"state":%q,"warmup-left-ms":0,"call-count":%d}`,
			serviceJSON, b.slot+1, zone(b.slot), state, b.calls)
		if b.sendOnce(http.MethodPut, body) {
			return true
		}
		if !b.sim.pause(50 * time.Millisecond) {
			return false
		}
	}
	return false
}

func (b *heartbeater) sendOnce(method string, body []byte) bool {
	addr := b.target
	if addr == "" {
		list := b.sim.controlAddrs()
		addr = list[b.sim.pick(len(list))]
	}
	status, answer := b.c.call(method, addr, "/searchers/"+b.s.id, body)
	b.target = ""
	if status != http.StatusOK {
		return false
	}
	var response struct {
		Target string `json:"beat-target"`
	}
	if json.Unmarshal(answer, &response) == nil {
		b.target = response.Target
	}
	if b.target == "" {
		b.target = addr
	}
	return true
}
