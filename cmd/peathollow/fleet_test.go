package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"peathollow/internal/fleettest"
	"peathollow/internal/proto"
	"peathollow/internal/standin"
)

// startFleet starts mixers that handle overload jointly.
func startFleet(t *testing.T, n int, f *standin.Fleet, edit func(map[string]any)) *fleettest.Harness {
	t.Helper()
	return startProcesses(t, n, f, edit, fmt.Sprintf("[fleet]\non = yes\ninstances = %d\nbeat = 200ms\n", n))
}

// startProcesses starts processes of the program, which end with the test.
func startProcesses(t *testing.T, n int, f *standin.Fleet, edit func(map[string]any), ini string) *fleettest.Harness {
	t.Helper()
	h, err := fleettest.Start(fleettest.Options{Mixers: n, Program: []string{os.Args[0], "serve", "--settings"},
		Env: []string{"PEATHOLLOW_TEST_PROGRAM=1"}, Fleet: f, EditSettings: edit, Dir: t.TempDir(), SettingsSections: ini})
	t.Cleanup(func() {
		if left := h.KillAll(); left > 0 {
			t.Errorf("%d processes are left", left)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// connectivity returns the connectivity that the process logged last.
func connectivity(p *fleettest.Process) string {
	v, _ := p.LastLogValue("fleet", "stands")
	return fmt.Sprint(v)
}

// waitFor waits until all processes log the given connectivity.
func waitFor(t *testing.T, want string, processes ...*fleettest.Process) {
	t.Helper()
	for _, p := range processes {
		if err := fleettest.WaitUntil(40*time.Second, p.Name+" logs "+want, func() bool { return connectivity(p) == want }); err != nil {
			t.Fatalf("%v; the last logged is %s", err, connectivity(p))
		}
	}
}

// TestFiveProcessesDetectConnectivity checks by their logs that five processes know whether they belong to a majority: in a
// partition of two against three and after it heals, with one process stopped, with two and then three killed, and after
// all have restarted.
func TestFiveProcessesDetectConnectivity(t *testing.T) {
	f, err := standin.NewFleet(4, func(int, proto.Call) standin.Reply { return standin.Reply{Status: 200} }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	h := startFleet(t, 5, f, nil)
	p := h.Processes
	waitFor(t, "majority", p...)

	if err := h.Partition(p[:2], p[2:]); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "minority", p[:2]...)
	waitFor(t, "majority", p[2:]...)
	if err := h.Partition(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "majority", p...)

	// A process that was stopped must discard its view when it continues and settle again, without effect on the others.
	before := p[4].CountLogLines("fleet", "stands", "settling") + p[4].CountLogLines("fleet", "stands", "alone")
	p[4].Signal(syscall.SIGSTOP)
	time.Sleep(2 * time.Second) // long enough that it misses heartbeats for more than the maximum clock step
	p[4].Signal(syscall.SIGCONT)
	if err := fleettest.WaitUntil(20*time.Second, "the stopped process discards its view", func() bool {
		return p[4].CountLogLines("fleet", "stands", "settling")+p[4].CountLogLines("fleet", "stands", "alone") > before
	}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "majority", p...)

	p[0].Kill()
	p[1].Kill()
	waitFor(t, "majority", p[2:]...)
	p[2].Kill()
	waitFor(t, "minority", p[3:]...)
	for _, killed := range p[:3] {
		if err := killed.Start(); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "majority", p...)
}

// limitedSearchers simulates searchers that each process one part per gap and reject parts that would wait longer than
// maxWait.
type limitedSearchers struct {
	mu      sync.Mutex
	next    []time.Time
	gap     time.Duration
	maxWait time.Duration
}

func (c *limitedSearchers) reply(searcher int, _ proto.Call) standin.Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	start := c.next[searcher]
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > c.maxWait {
		return standin.Reply{Status: 503}
	}
	c.next[searcher] = start.Add(c.gap)
	return standin.Reply{Status: 200, Delay: start.Add(c.gap).Sub(now)}
}

// loadGenerator sends a tenant's requests at a fixed rate to the mixers in turn and counts the responses. A request to the
// stopped process may get none, because a request that the process had begun to read is past its deadline when the process
// continues. Any other request must get a response.
type loadGenerator struct {
	stopped                *fleettest.Process
	sent, done, unanswered int
	mu                     sync.Mutex
}

func (f *loadGenerator) run(h *fleettest.Harness, tenant string, every time.Duration, until time.Time, id string) {
	var requests sync.WaitGroup
	client := http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for i := 0; time.Now().Before(until); i++ {
		<-ticker.C
		requests.Go(func() {
			p := h.Processes[i%len(h.Processes)]
			r, err := http.NewRequest(http.MethodPost, "http://"+p.Addr+"/narrow",
				strings.NewReader(fmt.Sprintf(`{"parts":[{"id":%d}],"expr":"x"}`, i%6)))
			if err != nil {
				return
			}
			r.Header.Set("Req-Id", fmt.Sprint(id, i))
			r.Header.Set("Req-Owner", tenant)
			r.Header.Set("Req-Deadline", "2000m")
			res, err := client.Do(r)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.sent++
			if err != nil {
				if p != f.stopped {
					f.unanswered++
				}
				return
			}
			io.Copy(io.Discard, res.Body)
			if res.Body.Close(); res.StatusCode == http.StatusOK {
				f.done++
			}
		})
	}
	requests.Wait()
}

// TestThreeProcessesInAnOverload overloads three processes with a tenant that sends many times its share, while one process
// is stopped for a time. All processes must detect the overload, and each request to a running process must get a response.
// The tenant within its share must get a much larger part of its requests served than the other: without the fleet the
// ratio was 1.2, with it 2, although a third of the clients called the stopped process. No part may be in flight twice.
func TestThreeProcessesInAnOverload(t *testing.T) {
	c := &limitedSearchers{next: make([]time.Time, 3), gap: 25 * time.Millisecond, maxWait: 400 * time.Millisecond}
	f, err := standin.NewFleet(3, c.reply, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	ledger := standin.NewLedger()
	f.SetLedger(ledger)
	h := startFleet(t, 3, f, func(set map[string]any) {
		for _, x := range set["requestClasses"].([]any) {
			kind := x.(map[string]any)
			kind["objective"], kind["deadline"] = 1000.0, 2000.0
		}
		set["balancers"] = 3
		set["parties"] = []any{map[string]any{"name": "acme", "quotaPerS": 60.0, "share": 0.6},
			map[string]any{"name": "bolt", "quotaPerS": 40.0, "share": 0.4}}
	})
	waitFor(t, "majority", h.Processes...)
	const quiet, span = 3 * time.Second, 10 * time.Second
	begin := time.Now()
	acme, bolt, before := loadGenerator{stopped: h.Processes[2]}, loadGenerator{stopped: h.Processes[2]}, loadGenerator{}
	var loads sync.WaitGroup
	loads.Go(func() { before.run(h, "bolt", 50*time.Millisecond, begin.Add(quiet), "c") })
	loads.Wait()
	loads.Go(func() { acme.run(h, "acme", 2*time.Millisecond, begin.Add(quiet+span), "a") })
	loads.Go(func() { bolt.run(h, "bolt", 50*time.Millisecond, begin.Add(quiet+span), "b") })
	for _, p := range h.Processes {
		if err := fleettest.WaitUntil(span, p.Name+" detects the overload",
			func() bool { return p.CountLogLines("fleet", "mood", "overload") > 0 }); err != nil {
			t.Error(err)
		}
	}
	h.Processes[2].Signal(syscall.SIGSTOP)
	time.Sleep(time.Until(begin.Add(quiet + span/2)))
	h.Processes[2].Signal(syscall.SIGCONT)
	loads.Wait()
	t.Logf("before: bolt %d of %d; in it: acme %d of %d, bolt %d of %d (no answer %d, %d)", before.done, before.sent, acme.done,
		acme.sent,
		bolt.done, bolt.sent, acme.unanswered, bolt.unanswered)
	if before.done < before.sent*9/10 {
		t.Errorf("before the overload %d of %d", before.done, before.sent)
	}
	if bolt.done*acme.sent*10 < 14*acme.done*bolt.sent {
		t.Errorf("bolt, within its share, got %d of %d, acme %d of %d", bolt.done, bolt.sent, acme.done, acme.sent)
	}
	if acme.unanswered+bolt.unanswered > 0 {
		t.Errorf("%d and %d requests to running processes got no response", acme.unanswered, bolt.unanswered)
	}
	if copies, _ := ledger.Overlaps(); len(copies) > 0 {
		t.Errorf("%d parts in flight twice", len(copies))
	}
}
