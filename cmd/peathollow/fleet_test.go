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

// processes starts some mixers that handle overload as one.
func processes(t *testing.T, n int, f *standin.Fleet, edit func(map[string]any)) *fleettest.Harness {
	t.Helper()
	return started(t, n, f, edit, fmt.Sprintf("[fleet]\non = yes\ninstances = %d\nbeat = 200ms\n", n))
}

// started starts some processes of the program, which end with the test.
func started(t *testing.T, n int, f *standin.Fleet, edit func(map[string]any), ini string) *fleettest.Harness {
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

func stands(p *fleettest.Process) string {
	v, _ := p.LastLogValue("fleet", "stands")
	return fmt.Sprint(v)
}

func all(t *testing.T, standing string, ps ...*fleettest.Process) {
	t.Helper()
	for _, p := range ps {
		if err := fleettest.WaitUntil(40*time.Second, p.Name+" stands "+standing, func() bool { return stands(p) == standing }); err != nil {
			t.Fatalf("%v; it stands %s", err, stands(p))
		}
	}
}

// Five processes under what happens to processes: two against three, healed; one asleep; two killed, then a third, and all
// back. Who is a majority, and who is not, is told from their logs.
func TestFiveProcessesKnowHowTheyStand(t *testing.T) {
	f, err := standin.NewFleet(4, func(int, proto.Call) standin.Reply { return standin.Reply{Status: 200} }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	h := processes(t, 5, f, nil)
	p := h.Processes
	all(t, "majority", p...)

	if err := h.Partition(p[:2], p[2:]); err != nil {
		t.Fatal(err)
	}
	all(t, "minority", p[:2]...)
	all(t, "majority", p[2:]...)
	if err := h.Partition(); err != nil {
		t.Fatal(err)
	}
	all(t, "majority", p...)

	// A sleeper wakes and distrusts what it believed: it settles anew, with nobody else any the worse.
	before := p[4].CountLogLines("fleet", "stands", "settling") + p[4].CountLogLines("fleet", "stands", "alone")
	p[4].Signal(syscall.SIGSTOP)
	time.Sleep(2 * time.Second) // it is to miss words for longer than a leap
	p[4].Signal(syscall.SIGCONT)
	if err := fleettest.WaitUntil(20*time.Second, "the sleeper distrusts its view", func() bool {
		return p[4].CountLogLines("fleet", "stands", "settling")+p[4].CountLogLines("fleet", "stands", "alone") > before
	}); err != nil {
		t.Fatal(err)
	}
	all(t, "majority", p...)

	p[0].Kill()
	p[1].Kill()
	all(t, "majority", p[2:]...)
	p[2].Kill()
	all(t, "minority", p[3:]...)
	for _, dead := range p[:3] {
		if err := dead.Start(); err != nil {
			t.Fatal(err)
		}
	}
	all(t, "majority", p...)
}

// crowded is searchers that do so many parts a second each, and have room for a few that wait.
type crowded struct {
	mu   sync.Mutex
	next []time.Time
	gap  time.Duration
	room time.Duration
}

func (c *crowded) reply(srv int, _ proto.Call) standin.Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	at := c.next[srv]
	if at.Before(now) {
		at = now
	}
	if at.Sub(now) > c.room {
		return standin.Reply{Status: 503}
	}
	c.next[srv] = at.Add(c.gap)
	return standin.Reply{Status: 200, Delay: at.Add(c.gap).Sub(now)}
}

// flood asks as a tenant at a rate, over mixers in turn, and counts what it got. A request that meets a process asleep may
// come to nothing: what that had begun to read is over its time when it wakes. Any other has an answer.
type flood struct {
	asleep            *fleettest.Process
	asked, done, none int
	mu                sync.Mutex
}

func (f *flood) run(h *fleettest.Harness, tenant string, every time.Duration, until time.Time, id string) {
	var out sync.WaitGroup
	client := http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for i := 0; time.Now().Before(until); i++ {
		<-tick.C
		out.Go(func() {
			p := h.Processes[i%len(h.Processes)]
			r, err := http.NewRequest(http.MethodPost, "http://"+p.Addr+"/narrow", strings.NewReader(fmt.Sprintf(`{"parts":[{"id":%d}],"expr":"x"}`, i%6)))
			if err != nil {
				return
			}
			r.Header.Set("Req-Id", fmt.Sprint(id, i))
			r.Header.Set("Req-Owner", tenant)
			r.Header.Set("Req-Deadline", "2000m")
			res, err := client.Do(r)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.asked++
			if err != nil {
				if p != f.asleep {
					f.none++
				}
				return
			}
			io.Copy(io.Discard, res.Body)
			if res.Body.Close(); res.StatusCode == http.StatusOK {
				f.done++
			}
		})
	}
	out.Wait()
}

// Three processes, a tenant at many times its share, one process asleep in the midst of it: overload is noticed by all, the
// tenant within its share gets much more of what it asks for than the other (with the fleet off, 1.2 times as much; as
// one, twice, though a third of the clients met the sleeper), each request has its answer, and no part is ever out twice.
func TestThreeProcessesInAnOverload(t *testing.T) {
	c := &crowded{next: make([]time.Time, 3), gap: 25 * time.Millisecond, room: 400 * time.Millisecond}
	f, err := standin.NewFleet(3, c.reply, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	book := standin.NewLedger()
	f.SetLedger(book)
	h := processes(t, 3, f, func(set map[string]any) {
		for _, x := range set["requestClasses"].([]any) {
			kind := x.(map[string]any)
			kind["objective"], kind["deadline"] = 1000.0, 2000.0
		}
		set["balancers"] = 3
		set["parties"] = []any{map[string]any{"name": "acme", "quotaPerS": 60.0, "share": 0.6}, map[string]any{"name": "bolt", "quotaPerS": 40.0, "share": 0.4}}
	})
	all(t, "majority", h.Processes...)
	const calm, span = 3 * time.Second, 10 * time.Second
	begin := time.Now()
	acme, bolt, before := flood{asleep: h.Processes[2]}, flood{asleep: h.Processes[2]}, flood{}
	var asks sync.WaitGroup
	asks.Go(func() { before.run(h, "bolt", 50*time.Millisecond, begin.Add(calm), "c") })
	asks.Wait()
	asks.Go(func() { acme.run(h, "acme", 2*time.Millisecond, begin.Add(calm+span), "a") })
	asks.Go(func() { bolt.run(h, "bolt", 50*time.Millisecond, begin.Add(calm+span), "b") })
	for _, p := range h.Processes {
		if err := fleettest.WaitUntil(span, p.Name+" notices the overload", func() bool { return p.CountLogLines("fleet", "mood", "overload") > 0 }); err != nil {
			t.Error(err)
		}
	}
	h.Processes[2].Signal(syscall.SIGSTOP)
	time.Sleep(time.Until(begin.Add(calm + span/2)))
	h.Processes[2].Signal(syscall.SIGCONT)
	asks.Wait()
	t.Logf("before: bolt %d of %d; in it: acme %d of %d, bolt %d of %d (no answer %d, %d)", before.done, before.asked, acme.done, acme.asked,
		bolt.done, bolt.asked, acme.none, bolt.none)
	if before.done < before.asked*9/10 {
		t.Errorf("in calm %d of %d", before.done, before.asked)
	}
	if bolt.done*acme.asked*10 < 14*acme.done*bolt.asked {
		t.Errorf("bolt, within its share, got %d of %d, acme %d of %d", bolt.done, bolt.asked, acme.done, acme.asked)
	}
	if acme.none+bolt.none > 0 {
		t.Errorf("%d and %d got no answer at all from those awake", acme.none, bolt.none)
	}
	if copies, _ := book.Overlaps(); len(copies) > 0 {
		t.Errorf("%d second copies", len(copies))
	}
}
