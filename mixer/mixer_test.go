package mixer

import (
	"bytes"
	"context"
	"fmt"
	"math/rand"
	"net"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/quick"
	"time"

	"go.uber.org/zap"

	"peathollow/attempt"
	"peathollow/internal/proto"
	"peathollow/internal/standin"
	"peathollow/policy"
)

// Invariants on sockets under random faults: each scan gets one whole answer in time with values that a searcher
// returned; a non-idempotent part that may have run is neither sent again nor refused; nothing is dispatched after the
// final answer; a retry starts only after the earlier attempt was cancelled or had returned.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	classes := []string{"wide", "narrow", "keyed", "once"}
	run := func(seed int64) bool {
		rng := rand.New(rand.NewSource(seed))
		faultRate, faultRng := rng.Float64()*0.4, rand.New(rand.NewSource(seed+1)) // faultRng is used under the environment's lock
		env := startEnv(t, 4, func(_, _ int, c proto.Call) standin.Reply {
			r := standin.Reply{Status: 200, Delay: time.Duration(faultRng.Intn(15)) * time.Millisecond}
			if faultRng.Float64() < faultRate {
				switch faultRng.Intn(8) {
				case 0, 1:
					r.Silent = true
				case 2:
					r.Reset = true
				case 3:
					r.Reset, r.Half = true, true
				case 4, 5:
					r.Status = 503
				case 6:
					r.Status = 500
				case 7:
					r.Garbage = []byte("\xff\xff\xff\xffO") // length above the limit
				}
			}
			return r
		}, nil)
		defer env.close()
		var all sync.WaitGroup
		for i := range 24 {
			id, class := fmt.Sprintf("q%d-%d", uint32(seed), i), classes[i%4]
			shards := rng.Perm(8)[:1+rng.Intn(6)]
			all.Go(func() {
				g, err := env.ask(id, class, "400m", body(shards...))
				if msg := env.checkAnswer(id, class, shards, g, err, time.Now()); msg != "" {
					t.Errorf("seed %d, %s %s: %s", seed, class, id, msg)
				}
			})
		}
		all.Wait()
		return !t.Failed()
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 6, Rand: rand.New(rand.NewSource(5))}); err != nil {
		t.Error(err)
	}
}

func TestScanRoundTrip(t *testing.T) {
	env := startEnv(t, 4, answerOK, longDeadlines)
	defer env.close()
	g, err := env.ask("a", "narrow", "500000u", body(3, 5))
	if err != nil || g.status != 200 || !g.Exact || len(g.Rows) != 2 {
		t.Errorf("%+v %v", g, err)
	}
	// The second step goes to the shards with the best scores and states which shards were in the first step and whether it
	// was whole.
	if g, err = env.ask("b", "wide", "30000m", body(0, 1, 2, 3)); err != nil || g.status != 200 || !g.Exact || len(g.Rows) != 2 {
		t.Fatalf("%+v %v", g, err)
	}
	for _, r := range g.Rows {
		c := env.seen[fmt.Sprintf("b.%d.fetch", r.Shard)][0].call
		if !c.Whole || fmt.Sprint(c.From) != "[0 1 2 3]" {
			t.Errorf("second step %+v", c)
		}
		for s := range 4 {
			if x := env.seen[fmt.Sprintf("b.%d", s)][0].call; standin.Score(x) > standin.Score(env.seen[fmt.Sprintf("b.%d", r.Shard)][0].call) &&
				env.seen[fmt.Sprintf("b.%d.fetch", s)] == nil {
				t.Errorf("shard %d has a better score but was skipped", s)
			}
		}
	}
}

// Two attempts of a part are never in flight at once: a silent searcher reads the cancellation before another is asked.
func TestPartIsCancelledBeforeRetry(t *testing.T) {
	env := startEnv(t, 4, func(_, attemptIndex int, c proto.Call) standin.Reply {
		return standin.Reply{Status: 200, Silent: attemptIndex == 0 && strings.HasPrefix(c.ID, "stuck")}
	}, longDeadlines)
	defer env.close()
	env.warm()
	if g, err := env.ask("stuck", "narrow", "30000m", body(1)); err != nil || g.status != 200 {
		t.Fatalf("%+v %v", g, err)
	}
	for deadline := time.Now().Add(5 * time.Second); ; runtime.Gosched() {
		env.mu.Lock()
		seen := slices.Clone(env.seen["stuck.1"])
		env.mu.Unlock()
		if len(seen) > 1 && seen[0].cancelled {
			if seen[1].at.Before(seen[0].cancelledAt) {
				t.Errorf("second attempt %v before the first was cancelled", seen[0].cancelledAt.Sub(seen[1].at))
			}
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d attempts, the first cancelled: %v", len(seen), seen[0].cancelled)
		}
	}
}

// A part at a searcher that reads but answers nothing, not even a receipt, is retried elsewhere soon after it is
// cancelled: the connection is up, so the wait is a fifth of the connect timeout (0.5 s here), not half (1.25 s). In a
// full-size system each mixer detects such a searcher by itself, and each time a scan's latency target pays this wait.
func TestUnresponsiveSearcherIsAbandonedSoon(t *testing.T) {
	env := startEnv(t, 4, func(_, attemptIndex int, c proto.Call) standin.Reply {
		first := attemptIndex == 0 && strings.HasPrefix(c.ID, "mute")
		return standin.Reply{Status: 200, Silent: first, IgnoreProbes: first}
	}, longDeadlines)
	defer env.close()
	env.warm()
	if g, err := env.ask("mute", "narrow", "30000m", body(1)); err != nil || g.status != 200 {
		t.Fatalf("%+v %v", g, err)
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	s := env.seen["mute.1"]
	if len(s) != 2 || !s[0].cancelled {
		t.Fatalf("%d attempts, the first cancelled: %v", len(s), len(s) > 0 && s[0].cancelled)
	}
	if gap := s[1].at.Sub(s[0].cancelledAt); gap > time.Second {
		t.Errorf("the part was retried %v after it was cancelled at an unresponsive searcher", gap)
	}
}

// After SIGTERM requests in flight are finished, and new ones are served and asked to close their connections.
func TestStopFinishesAcceptedRequests(t *testing.T) {
	arrived := make(chan struct{}, 1)
	env := startEnv(t, 4, func(_, _ int, c proto.Call) standin.Reply {
		if strings.HasPrefix(c.ID, "held") {
			select {
			case arrived <- struct{}{}:
			default:
			}
			return standin.Reply{Status: 200, Delay: 200 * time.Millisecond}
		}
		return standin.Reply{Status: 200}
	}, longDeadlines)
	held := make(chan response, 1)
	go func() {
		g, err := env.ask("held", "narrow", "30000m", body(1))
		if err != nil {
			t.Error(err)
		}
		held <- g
	}()
	<-arrived
	env.stop()
	for !env.mixer.stopping.Load() {
		runtime.Gosched()
	}
	// Connections stay for a while: the mixer that takes over may still be restarting itself.
	g, err := env.ask("new", "narrow", "30000m", body(2))
	if err != nil || g.status != 200 || g.close {
		t.Errorf("after the signal: %+v %v", g, err)
	}
	if g := <-held; g.status != 200 {
		t.Errorf("in flight at the signal: %+v", g)
	}
	for i := 0; err == nil && !g.close; i++ {
		if g, err = env.ask(fmt.Sprint("last", i), "narrow", "30000m", body(2)); err == nil && g.status != 200 {
			t.Errorf("before it leaves: %+v", g)
		}
	}
	env.close()
	if _, err := net.Dial("tcp", env.base); err == nil {
		t.Error("still listening")
	}
}

// SIGHUP moves discovery to the address in the new file while scans continue. An invalid file changes nothing.
func TestReloadMovesDiscovery(t *testing.T) {
	env := startEnv(t, 4, answerOK, longDeadlines)
	defer env.close()
	to, err := standin.NewDiscovery("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	for i := range env.fleet.Searchers {
		to.SetHost(env.fleet.Host(i, "draining"))
	}
	good := string(env.fleet.Config(nil))
	again, read := make(chan os.Signal), make(chan string, 1)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go env.mixer.ReloadOnSignal(ctx, again, func() (Config, error) {
		return Load(configEnv, func(string) ([]byte, error) { return []byte(<-read), nil })
	})
	for _, text := range []string{"no json", strings.Replace(good, env.fleet.Discovery.Addr(), "nowhere", 1), good} {
		again <- syscall.SIGHUP
		read <- text
		if g, err := env.ask(fmt.Sprint("before", len(text)), "narrow", "30000m", body(1, 2)); err != nil || g.status != 200 {
			t.Errorf("%+v %v", g, err)
		}
	}
	again <- syscall.SIGHUP
	read <- strings.Replace(good, env.fleet.Discovery.Addr(), to.Addr(), 1)
	env.fleet.Discovery.SetSilent(true)
	for i := 0; ; i++ { // all searchers drain in the new list, so nothing new is sent to them
		g, err := env.ask(fmt.Sprint("after", i), "narrow", "30000m", body(1, 2))
		if err != nil {
			t.Fatal(err)
		}
		if g.status == 503 {
			break
		}
	}
}

// A panic in an event answers all scans in flight and does not end the process.
func TestPanicAnswersScans(t *testing.T) {
	o := newOwner(context.Background(), &idleMixer(t).cfg, idleMixer(t).limits, zap.NewNop(), nil)
	got := make(chan attempt.Answer, 1)
	s := &attempt.Scan{Query: proto.Query{ID: "x", Class: "narrow", Wait: time.Second, Parts: []proto.Part{{Shard: 1, Weight: 1}}},
		Reply: func(a attempt.Answer) { got <- a }}
	o.guard(func() { o.Admit(s, 0) })
	o.guard(func() { panic("a step fails") })
	select {
	case a := <-got:
		if a.Kind != attempt.Abandoned && a.Kind != attempt.Throttled {
			t.Errorf("answered %+v", a)
		}
	default:
		t.Error("not answered")
	}
	// The state is reset, so the same request is accepted again.
	o.guard(func() { o.Admit(s, 0) })
	if a := <-got; a.Kind == attempt.Invalid {
		t.Errorf("answered %+v", a)
	}
}

// A part is retried elsewhere once its searcher has confirmed the cancellation, not once the cancellation was written:
// a searcher that reads late would still have the first attempt in flight beside the second.
func TestPartIsRetriedAfterConfirmedCancel(t *testing.T) {
	env := startEnv(t, 4, func(_, attemptIndex int, c proto.Call) standin.Reply {
		r := standin.Reply{Status: 200}
		if attemptIndex == 0 && strings.HasPrefix(c.ID, "stuck") {
			r.Silent, r.ReadPause = true, 150*time.Millisecond
		}
		return r
	}, longDeadlines)
	defer env.close()
	env.warm()
	if g, err := env.ask("stuck", "narrow", "30000m", body(1)); err != nil || g.status != 200 {
		t.Errorf("%+v %v", g, err)
	}
	if _, maxInFlight := env.ledger.Overlaps(); maxInFlight != 1 {
		t.Errorf("%d attempts of one part in flight at once", maxInFlight)
	}
}

// The same under many seeded orders of events: searchers that read late or never, stop in the middle of an answer, answer
// no probes, break connections or are slow, with dozens of scans in flight. Each environment checks for overlapping
// attempts when it is closed.
func TestNoOverlappingAttemptsInAnyOrder(t *testing.T) {
	const envs, scans = 20, 50
	var all sync.WaitGroup
	for seed := range envs {
		all.Go(func() {
			rng := rand.New(rand.NewSource(int64(seed)))
			faultRng := rand.New(rand.NewSource(int64(seed) + 1000)) // used under the environment's lock
			faultRate := rng.Float64() * 0.3
			env := startEnv(t, 5, func(int, int, proto.Call) standin.Reply {
				ms := func(n int) time.Duration { return time.Duration(faultRng.Intn(n)) * time.Millisecond }
				r := standin.Reply{Status: 200, Delay: ms(15)}
				if faultRng.Float64() >= faultRate {
					return r
				}
				switch faultRng.Intn(8) {
				case 0:
					r.Silent, r.ReadPause = true, ms(200)
				case 1:
					r.ReadPause = ms(200)
				case 2:
					r.Silent, r.IgnoreProbes = true, true
				case 3: // never reads again
					r.Silent, r.ReadPause = true, time.Hour
				case 4: // stops in the middle of an answer, and may continue to read later
					r.Garbage, r.ReadPause = []byte("\x40\x00\x00\x00Ox.1"), ms(400)
				case 5:
					r.Reset, r.Half = true, faultRng.Intn(2) == 0
				case 6:
					r.Garbage, r.ReadPause = []byte("\xff\xff\xff\xffO"), ms(100)
				case 7:
					r.Status = 503
				}
				return r
			}, nil)
			var requests sync.WaitGroup
			for i := range scans {
				id, class := fmt.Sprintf("w%d-%d", seed, i), []string{"wide", "narrow", "keyed", "once"}[i%4]
				shards := rng.Perm(10)[:1+rng.Intn(4)]
				requests.Go(func() {
					g, err := env.ask(id, class, "500m", body(shards...))
					if msg := env.checkAnswer(id, class, shards, g, err, time.Now()); msg != "" {
						t.Errorf("seed %d, %s %s: %s", seed, class, id, msg)
					}
				})
			}
			requests.Wait()
			env.close()
		})
	}
	all.Wait()
}

// No goroutine is left after a stop.
func TestNoGoroutineIsLeft(t *testing.T) {
	before := runtime.NumGoroutine()
	env := startEnv(t, 4, func(_, attemptIndex int, c proto.Call) standin.Reply {
		return standin.Reply{Status: 200, Silent: attemptIndex == 0 && strings.HasSuffix(c.ID, ".1")}
	}, nil)
	for i := range 5 {
		if _, err := env.ask(fmt.Sprint("a", i), "narrow", "300m", body(1, 2)); err != nil {
			t.Error(err)
		}
	}
	env.close()
	deadline := time.Now().Add(5 * time.Second)
	for runtime.NumGoroutine() > before {
		if time.Now().After(deadline) {
			var b bytes.Buffer
			stack := make([]byte, 1<<16)
			b.Write(stack[:runtime.Stack(stack, true)])
			t.Fatalf("%d goroutines before, %d after:\n%s", before, runtime.NumGoroutine(), b.String())
		}
		runtime.Gosched()
	}
}

func BenchmarkScan(b *testing.B) {
	f, err := standin.NewFleet(4, func(int, proto.Call) standin.Reply { return standin.Reply{Status: 200} }, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	m := newMixer(b, f, nil)
	ctx, stop := context.WithCancel(context.Background())
	o := newOwner(ctx, &m.cfg, m.limits, m.log, nil)
	list, err := proto.ReadList([]byte(hostList(f)))
	if err != nil {
		b.Fatal(err)
	}
	o.ApplyList(policy.Full, list)
	done := make(chan struct{})
	go o.run(done)
	defer func() { stop(); close(done); <-o.ended }()
	t := &scanTransport{owner: o, limits: &m.limits, log: m.log}
	parts := []proto.Part{{Shard: 1, Weight: 0.5}, {Shard: 5, Weight: 0.5}}
	b.ReportAllocs()
	for i := range b.N {
		a, err := t.await(ctx, proto.Query{ID: fmt.Sprint(i), Class: "narrow", Wait: time.Second, Parts: parts, Text: "x"}, time.Now())
		if err != nil || a.Kind != attempt.Completed {
			b.Fatal(a, err)
		}
	}
}
