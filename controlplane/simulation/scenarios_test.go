package simulation

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/controlplane"
)

// runScenario runs a scenario in a simulation of its own.
func runScenario(t *testing.T, o Options, scenario func(t *testing.T, sim *Simulation, c *caller)) error {
	t.Helper()
	var err error
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(o)
		c := newCaller(sim.net.Start("10.9.0.50"))
		scenario(t, sim, c)
		var lines []string
		if _, lines, err = sim.finish(); err != nil {
			t.Log(strings.Join(lines, "\n"))
		}
	})
	return err
}

// putConfig sends a change to any controllers until it is acknowledged, and returns how long that took.
func (sim *Simulation) putConfig(c *caller, version uint64, body []byte) time.Duration {
	return sim.putConfigExcept(c, "", version, body)
}

// putConfigExcept is putConfig without the controller at an address.
func (sim *Simulation) putConfigExcept(c *caller, except string, version uint64, body []byte) time.Duration {
	change := &configChange{version: version, body: body, sent: time.Now()}
	for {
		list := slices.DeleteFunc(sim.controlAddrs(), func(addr string) bool { return addr == except })
		status, _ := c.call(http.MethodPut, list[sim.pick(len(list))], "/config", body)
		if sim.checkResponse(change, status) || !sim.pause(50*time.Millisecond) {
			return time.Since(change.sent)
		}
	}
}

// primary returns the running machine that a controller names as the primary.
func (sim *Simulation) primary(c *caller) *machine {
	for {
		for _, addr := range sim.controlAddrs() {
			_, answer := c.call(http.MethodGet, addr, "/status", nil)
			for _, m := range sim.machines {
				if strings.Contains(string(answer), fmt.Sprintf(`"primary":"%s:`, m.ip)) && m.process != nil && !m.removed {
					return m
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// A controller is partitioned from the others for 22 s and restarts meanwhile. What its disk holds must reach no front, and
// a front of its zone that starts at that time must be served by a controller in contact within 2 s. Earlier code handed out
// the configuration restored from disk.
func TestNoConfigurationBeforeContact(t *testing.T) {
	for zone := range 3 {
		scenario := func(t *testing.T, sim *Simulation, c *caller) {
			time.Sleep(2 * time.Second)
			sim.putConfig(c, 1, document(1, "one"))
			time.Sleep(contactBound)
			m := sim.machines[zone]
			sim.mu.Lock()
			sim.partition(m, Partition, 22*time.Second)
			sim.kill(m, false)
			sim.mu.Unlock()
			sim.startMachine(m)
			sim.putConfig(c, 7, document(7, "seven"))
			for range 8 {
				sim.mu.Lock()
				f := sim.fronts[zone]
				f.agent.kill()
				f.proxy.kill()
				sim.mu.Unlock()
				sim.startAgent(f)
				sim.startProxy(f)
				for began := time.Now(); f.proxy.replica.Document() == nil; time.Sleep(10 * time.Millisecond) {
					must.Less(t, 2*time.Second, time.Since(began))
				}
				must.Eq(t, 7, f.proxy.replica.Document().Version)
			}
			// A change sent to the partitioned controller gets no definite answer, and is accepted at once by the others.
			status, _ := c.call(http.MethodPut, controlAddr(m.ip), "/config", document(9, "nine"))
			must.Eq(t, http.StatusServiceUnavailable, status)
			must.Less(t, time.Second, sim.putConfigExcept(c, controlAddr(m.ip), 9, document(9, "nine")))
			time.Sleep(25 * time.Second)
		}
		must.NoError(t, runScenario(t, Options{Seed: uint64(zone), Controllers: 3 + 2*(zone%2), Fronts: 3, Searchers: 3}, scenario))
	}
}

// The primary's disk is full for 12 s. It must give up its role without ending its process, changes must be accepted within
// 3 s, and it must be in sync again once there is space. Earlier code ended the process.
func TestFullDiskStepsAside(t *testing.T) {
	scenario := func(t *testing.T, sim *Simulation, c *caller) {
		time.Sleep(2 * time.Second)
		sim.putConfig(c, 1, document(1, "one"))
		m := sim.primary(c)
		p := m.process
		sim.mu.Lock()
		p.disk.fullTo.Store(int64(time.Since(sim.start) + 12*time.Second))
		sim.markDisturbed(12 * time.Second)
		sim.mu.Unlock()
		for v := uint64(2); v < 12; v++ {
			must.Less(t, 3*time.Second, sim.putConfig(c, v, document(v, "more")))
			time.Sleep(time.Second)
		}
		must.False(t, sim.primary(c) == m)
		time.Sleep(syncBound + 3*time.Second)
		must.False(t, p.terminated())
		_, answer := c.call(http.MethodGet, controlAddr(m.ip), "/status", nil)
		must.StrContains(t, string(answer), `"alone":false`)
		_, body := c.call(http.MethodGet, controlAddr(m.ip), "/config", nil)
		must.Eq(t, string(document(11, "more")), string(body))
	}
	must.NoError(t, runScenario(t, Options{Seed: 1, Controllers: 3, Fronts: 1, Searchers: 2}, scenario))
}

// largeDocument returns a configuration with many routes.
func largeDocument(version uint64, routes int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"config-version":%d,"routes":[`, version)
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"r%d","host":"h%d","path-prefix":"/p%d/","mode":"idempotent","horizon-ms":%d,"plant":%s},`, i, i%7, i, 900+version%100, serviceJSON)
	}
	fmt.Fprintf(&b, `{"name":"a","host":"h","path-prefix":"/","mode":"idempotent","horizon-ms":900,"plant":%s}],"plants":[{"name":%s}],"limits":{}}`, serviceJSON, serviceJSON)
	return []byte(b.String())
}

// changeCount is low by default to keep the test short under the race detector. SIMULATION_CHANGES sets a higher one.
func changeCount() int {
	if n, err := strconv.Atoi(os.Getenv("SIMULATION_CHANGES")); err == nil {
		return n
	}
	return 150
}

// Applies thousands of changes, with 350 more routes from the middle on, and restarts, power losses, wiped disks and
// replacements between them. A machine that returns must read back the newest configuration within the bound, and the disk
// must not grow with the number of changes.
func TestThousandsOfChanges(t *testing.T) {
	changes := uint64(changeCount())
	maxSize := int64(0)
	scenario := func(t *testing.T, sim *Simulation, c *caller) {
		time.Sleep(2 * time.Second)
		for v := uint64(1); v <= changes; v++ {
			routes := 10
			if v > changes/2 {
				routes = 360
			}
			body := largeDocument(v, routes)
			sim.putConfig(c, v, body)
			if v%(changes/10) != 0 {
				continue
			}
			sim.mu.Lock()
			m := sim.randomMachine()
			kind := []Fault{Power, Wipe, Leave, Replace, Kill}[v/(changes/10)%5]
			sim.lossUntil = time.Time{}
			sim.inject(kind)
			sim.mu.Unlock()
			time.Sleep(2*time.Second + syncBound)
			for _, addr := range sim.controlAddrs() {
				status, got := c.call(http.MethodGet, addr, "/config", nil)
				must.Eq(t, http.StatusOK, status, must.Sprint(m.node, kind, addr))
				must.Eq(t, string(body), string(got))
			}
			for _, m := range sim.machines {
				if !m.removed {
					maxSize = max(maxSize, m.disk.size(t))
				}
			}
		}
	}
	must.NoError(t, runScenario(t, Options{Seed: 5, Controllers: 5, Fronts: 1, Searchers: 2}, scenario))
	t.Logf("at most %d KiB on a disk", maxSize>>10)
	must.Less(t, 32<<20, maxSize)
}

// size returns how much a disk holds.
func (d *disk) size(t *testing.T) (sum int64) {
	names, err := d.files.List("data/hold")
	must.NoError(t, err)
	for _, name := range names {
		if info, err := d.files.Stat("data/hold/" + name); err == nil {
			sum += info.Size()
		}
	}
	return sum
}

// Checks that each injected fault is detected by what operators, searchers and proxies observe.
func TestPlantedFaults(t *testing.T) {
	for name, x := range map[string]struct {
		injected controlplane.InjectedFaults
		faults   []Fault
		options  Options
	}{
		"serve before contact": {controlplane.InjectedFaults{ServeBeforeContact: true},
			[]Fault{Partition, RestartFronts, Kill, Partition, RestartFronts, RestartFronts},
			Options{Controllers: 5, Fronts: 3, Searchers: 1}},
		"drains in memory": {controlplane.InjectedFaults{DrainsInMemory: true}, []Fault{BlackOut},
			Options{Controllers: 3, Fronts: 2, Searchers: 12, AtAcknowledgement: true, Trigger: DrainAcknowledged,
				SyncTime: 60 * time.Millisecond}},
		"ack unsynced": {controlplane.InjectedFaults{AckUnsynced: true}, []Fault{PowerAll},
			Options{Controllers: 3, Fronts: 1, AtAcknowledgement: true, SyncTime: 30 * time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			simulate := func(seed uint64, injected controlplane.InjectedFaults) (err error) {
				synctest.Test(t, func(*testing.T) {
					o := x.options
					o.Seed, o.Duration, o.Step, o.Inject, o.Faults = seed, time.Minute, 2*time.Second, injected, x.faults
					_, _, err = Simulate(o)
				})
				return err
			}
			must.NoError(t, simulate(0, controlplane.InjectedFaults{})) // no false positive
			for seed := range uint64(12) {
				if err := simulate(seed, x.injected); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("not caught")
		})
	}
}
