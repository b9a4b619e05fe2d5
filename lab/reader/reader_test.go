package reader

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"peathollow/lab/queue"
)

// Whatever happens, each part ends once, no more run than there are cores, and no more wait than there is room.
func TestEachPartEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{Cores: rapid.IntRange(1, 3).Draw(t, "cores"), Room: rapid.IntRange(0, 5).Draw(t, "room"), Cold: time.Second, ColdPace: 0.25,
			FallWait: 30 * time.Millisecond, FallSpan: 20 * time.Millisecond, Restart: 50 * time.Millisecond}
		r, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		now, last := time.Duration(0), uint64(0)
		held := map[uint64]bool{}
		end := func(id uint64, _ End) {
			if !held[id] {
				t.Fatalf("part %d ends twice", id)
			}
			delete(held, id)
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch what := rapid.IntRange(0, 20).Draw(t, "what"); {
			case what < 10 && r.Up():
				last++
				held[last] = true
				r.Arrive(now, last, time.Duration(rapid.IntRange(1, 40).Draw(t, "work"))*time.Millisecond, now+50*time.Millisecond, end)
			case what < 17:
				at, ok := r.Next()
				if !ok {
					continue
				}
				if at < now {
					t.Fatalf("%v is past %v", at, now)
				}
				now = at
				r.Step(now, end)
			case what == 17 && last > 0:
				id := uint64(rapid.IntRange(1, int(last)).Draw(t, "dropped"))
				if r.Drop(now, id) != held[id] {
					t.Fatalf("part %d: held %t", id, held[id])
				}
				delete(held, id)
			case what == 18:
				r.Pause(now, rapid.Bool().Draw(t, "hold"), end)
			case what == 19:
				r.Slow(rapid.Float64Range(0.5, 4).Draw(t, "slow"))
			case what == 20 && last%7 == 0:
				r.Crash(now, end)
			}
			running, waiting := r.Load()
			if running > set.Cores || waiting > set.Room || running+waiting != len(held) {
				t.Fatalf("%d run, %d wait, %d are held", running, waiting, len(held))
			}
		}
	})
}

// The mean wait of a queue before c cores is what Erlang's formula says, which knows nothing of this code.
func TestWaitsAsErlangSays(t *testing.T) {
	for _, cores := range []int{1, 4} {
		const load, mean = 0.7, 10 * time.Millisecond
		r, err := New(Settings{Cores: cores, Room: 1 << 20})
		if err != nil {
			t.Fatal(err)
		}
		dice := rand.New(rand.NewPCG(7, uint64(cores)))
		came := map[uint64]time.Duration{}
		works := map[uint64]time.Duration{}
		var arrivals queue.Queue[uint64]
		var wait time.Duration
		now, n, served := time.Duration(0), uint64(0), 0
		end := func(id uint64, e End) {
			if e != Done {
				t.Fatalf("part %d: %d", id, e)
			}
			wait += now - came[id] - works[id]
			served++
			delete(came, id)
			delete(works, id)
		}
		gap := func() time.Duration { return time.Duration(dice.ExpFloat64() * float64(mean) / load / float64(cores)) }
		arrivals.Put(gap(), 0)
		for at, _, _ := arrivals.Next(); served < 400_000; {
			if next, ok := r.Next(); ok && next <= at {
				now = next
				r.Step(now, end)
				continue
			}
			now = at
			n++
			came[n], works[n] = now, time.Duration(dice.ExpFloat64()*float64(mean))
			r.Arrive(now, n, works[n], math.MaxInt64, end)
			arrivals.Put(now+gap(), 0)
			at, _, _ = arrivals.Next()
		}
		a, sum, term := load*float64(cores), 0.0, 1.0
		for k := range cores {
			sum += term
			term *= a / float64(k+1)
		}
		waits := term / (1 - load) / (sum + term/(1-load))
		want := waits * mean.Seconds() / (float64(cores) * (1 - load))
		if got := wait.Seconds() / float64(served); math.Abs(got/want-1) > 0.05 {
			t.Errorf("%d cores: mean wait %.4f s, not %.4f s", cores, got, want)
		}
	}
}

// A cold reader that gets a warm one's load falls over; given what it can carry, it comes up.
func TestAColdReaderIsPushedOver(t *testing.T) {
	for _, c := range []struct {
		every time.Duration
		falls bool
	}{{8 * time.Millisecond, true}, {50 * time.Millisecond, false}} {
		r, err := New(Settings{Cores: 1, Room: 1000, Cold: 5 * time.Second, ColdPace: 0.2, FallWait: 200 * time.Millisecond,
			FallSpan: 300 * time.Millisecond, Restart: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		end := func(uint64, End) {}
		r.Crash(0, end)
		for now := time.Duration(0); now < 8*time.Second; now += c.every {
			for at, ok := r.Next(); ok && at <= now; at, ok = r.Next() {
				r.Step(at, end)
			}
			if r.Up() {
				r.Arrive(now, uint64(now), 7*time.Millisecond, now+10*time.Second, end)
			}
		}
		if (r.Falls() > 0) != c.falls {
			t.Errorf("a part every %v: it fell over %d times", c.every, r.Falls())
		}
	}
}

func TestSettingsThatCannotBe(t *testing.T) {
	for _, s := range []Settings{{}, {Cores: 1, Room: -1}, {Cores: 1, Cold: 1}, {Cores: 1, Cold: 1, ColdPace: 2}, {Cores: 1, Restart: -1}} {
		if _, err := New(s); err == nil {
			t.Errorf("%+v is taken", s)
		}
	}
}
