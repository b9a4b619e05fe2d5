package reader

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"peathollow/lab/queue"
)

// In any sequence of events each part ends exactly once, at most as many parts run as there are cores, and at most as many
// wait as the queue holds.
func TestEachPartEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{Cores: rapid.IntRange(1, 3).Draw(t, "cores"), QueueCapacity: rapid.IntRange(0, 5).Draw(t, "room"),
			WarmUp: time.Second, ColdShare: 0.25, OverloadWait: 30 * time.Millisecond, OverloadSpan: 20 * time.Millisecond,
			RestartDelay: 50 * time.Millisecond}
		r, err := New(settings)
		if err != nil {
			t.Fatal(err)
		}
		now, last := time.Duration(0), uint64(0)
		pending := map[uint64]bool{}
		end := func(id uint64, _ Outcome) {
			if !pending[id] {
				t.Fatalf("part %d ends twice", id)
			}
			delete(pending, id)
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch what := rapid.IntRange(0, 20).Draw(t, "what"); {
			case what < 10 && r.Up():
				last++
				pending[last] = true
				r.Arrive(now, last, time.Duration(rapid.IntRange(1, 40).Draw(t, "work"))*time.Millisecond, now+50*time.Millisecond, end)
			case what < 17:
				at, ok := r.Next()
				if !ok {
					continue
				}
				if at < now {
					t.Fatalf("next event at %v is before the present %v", at, now)
				}
				now = at
				r.Step(now, end)
			case what == 17 && last > 0:
				id := uint64(rapid.IntRange(1, int(last)).Draw(t, "dropped"))
				if r.Cancel(now, id) != pending[id] {
					t.Fatalf("cancel of part %d: pending %t", id, pending[id])
				}
				delete(pending, id)
			case what == 18:
				r.SetPaused(now, rapid.Bool().Draw(t, "hold"), end)
			case what == 19:
				r.SetSlowdown(rapid.Float64Range(0.5, 4).Draw(t, "slow"))
			case what == 20 && last%7 == 0:
				r.Crash(now, end)
			}
			running, waiting := r.Load()
			if running > settings.Cores || waiting > settings.QueueCapacity || running+waiting != len(pending) {
				t.Fatalf("%d run, %d wait, %d are pending", running, waiting, len(pending))
			}
		}
	})
}

// The mean wait in front of c cores must match the Erlang C formula, an independent result of queueing theory.
func TestMeanWaitMatchesErlangC(t *testing.T) {
	for _, cores := range []int{1, 4} {
		const load, mean = 0.7, 10 * time.Millisecond
		r, err := New(Settings{Cores: cores, QueueCapacity: 1 << 20})
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(7, uint64(cores)))
		arrivedAt := map[uint64]time.Duration{}
		workOf := map[uint64]time.Duration{}
		var arrivals queue.Queue[uint64]
		var wait time.Duration
		now, n, served := time.Duration(0), uint64(0), 0
		end := func(id uint64, outcome Outcome) {
			if outcome != Served {
				t.Fatalf("part %d: outcome %d", id, outcome)
			}
			wait += now - arrivedAt[id] - workOf[id]
			served++
			delete(arrivedAt, id)
			delete(workOf, id)
		}
		interarrival := func() time.Duration { return time.Duration(rng.ExpFloat64() * float64(mean) / load / float64(cores)) }
		arrivals.Put(interarrival(), 0)
		for at, _, _ := arrivals.Next(); served < 400_000; {
			if next, ok := r.Next(); ok && next <= at {
				now = next
				r.Step(now, end)
				continue
			}
			now = at
			n++
			arrivedAt[n], workOf[n] = now, time.Duration(rng.ExpFloat64()*float64(mean))
			r.Arrive(now, n, workOf[n], math.MaxInt64, end)
			arrivals.Put(now+interarrival(), 0)
			at, _, _ = arrivals.Next()
		}
		offered, sum, term := load*float64(cores), 0.0, 1.0
		for k := range cores {
			sum += term
			term *= offered / float64(k+1)
		}
		waitProbability := term / (1 - load) / (sum + term/(1-load))
		want := waitProbability * mean.Seconds() / (float64(cores) * (1 - load))
		if got := wait.Seconds() / float64(served); math.Abs(got/want-1) > 0.05 {
			t.Errorf("%d cores: mean wait %.4f s, want %.4f s", cores, got, want)
		}
	}
}

// A cold reader crashes under the load that a warm one can serve, and warms up under a load within its capacity.
func TestColdReaderCrashesUnderWarmLoad(t *testing.T) {
	for _, c := range []struct {
		interval time.Duration
		crashes  bool
	}{{8 * time.Millisecond, true}, {50 * time.Millisecond, false}} {
		r, err := New(Settings{Cores: 1, QueueCapacity: 1000, WarmUp: 5 * time.Second, ColdShare: 0.2,
			OverloadWait: 200 * time.Millisecond, OverloadSpan: 300 * time.Millisecond, RestartDelay: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		end := func(uint64, Outcome) {}
		r.Crash(0, end)
		for now := time.Duration(0); now < 8*time.Second; now += c.interval {
			for at, ok := r.Next(); ok && at <= now; at, ok = r.Next() {
				r.Step(at, end)
			}
			if r.Up() {
				r.Arrive(now, uint64(now), 7*time.Millisecond, now+10*time.Second, end)
			}
		}
		if (r.OverloadCrashes() > 0) != c.crashes {
			t.Errorf("a part every %v: it crashed %d times", c.interval, r.OverloadCrashes())
		}
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, s := range []Settings{{}, {Cores: 1, QueueCapacity: -1}, {Cores: 1, WarmUp: 1}, {Cores: 1, WarmUp: 1, ColdShare: 2},
		{Cores: 1, RestartDelay: -1}} {
		if _, err := New(s); err == nil {
			t.Errorf("%+v is accepted", s)
		}
	}
}
