package registry

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func controller(name string) *Registry {
	return New(Config{Name: name, Period: time.Second, Start: epoch})
}

func relay(name string) *Registry {
	return New(Config{Name: name, Relay: true, Period: time.Second, Start: epoch})
}

func at(s float64) time.Time { return epoch.Add(time.Duration(s * 1e9)) }

// run ticks r every 0.25 s between two times, given in seconds.
func run(r *Registry, from, to float64) {
	for s := from; s <= to; s += 0.25 {
		r.Tick(at(s))
	}
}

func pull(now time.Time, to, from *Registry) bool {
	return to.Merge(now, from.Since(to.PullQuery(from.Name()), 5000))
}

func state(r *Registry, id string) string {
	e, ok := r.Get(id)
	return fmt.Sprint(ok, e.State, e.Silent)
}

// reconcile runs the exchange of digests and patches between a and b.
func reconcile(now time.Time, a, b *Registry) (sent int) {
	digests, to, from := []Digest{b.Digest(Range{})}, a, b
	for len(digests) > 0 {
		finer, differ := to.Compare(digests)
		pa, pb := a.Patch(differ, 1000), b.Patch(differ, 1000)
		sent += len(pa.Entries) + len(pb.Entries)
		a.Repair(now, pb)
		b.Repair(now, pa)
		digests, to, from = finer, from, to
	}
	return sent
}

func TestHeartbeats(t *testing.T) {
	h := controller("h")
	s := Searcher{ID: "i", Plant: "p", Address: "a", Calls: 4, WarmupLeft: 3 * time.Second}
	must.Eq(t, HeartbeatResult{Published: true, Source: "h", No: 1}, h.Heartbeat(at(0), s))
	s.Calls, s.WarmupLeft = 6, 2*time.Second
	must.Eq(t, HeartbeatResult{Source: "h", No: 1}, h.Heartbeat(at(1), s)) // a repeat; the warm-up only ran down
	s.Calls, s.State = 5, Draining
	must.True(t, h.Heartbeat(at(1), s).Late) // older than the repeat
	s.Calls = 7
	must.Eq(t, Vector{"h": 2}, h.Heartbeat(at(1), s).Vector())
	s.State = Ready
	must.True(t, h.Heartbeat(at(1), s).Late)
	must.Eq(t, "true draining false", state(h, "i"))
	must.True(t, h.Leave(at(2), "i").Published)
	s.Calls = 99
	must.Eq(t, HeartbeatResult{Gone: true, State: Gone, Source: "h", No: 3}, h.Heartbeat(at(2), s))
	must.Eq(t, 0, h.Len())
	must.True(t, relay("r").Heartbeat(at(2), s).Refused)
	must.NoError(t, h.Check())
}

func TestSilence(t *testing.T) {
	a, b := controller("a"), controller("b")
	a.Heartbeat(at(0), Searcher{ID: "i", Calls: 1})
	a.Heartbeat(at(0), Searcher{ID: "moves", Calls: 1})
	b.Heartbeat(at(1), Searcher{ID: "moves", Calls: 2})
	pull(at(1), a, b)
	run(a, 0, 1)
	run(a, 9, 11.25) // a was paused in between and could not receive heartbeats
	must.Eq(t, "true ready false", state(a, "i"))
	run(a, 11.5, 12)
	must.Eq(t, "true ready true", state(a, "i"))
	must.Eq(t, "true ready false", state(a, "moves")) // b monitors it now
	must.True(t, a.Heartbeat(at(12), Searcher{ID: "i", Calls: 1}).Late)
	must.True(t, a.Heartbeat(at(12), Searcher{ID: "i", Calls: 2}).Published)
	must.Eq(t, "true ready false", state(a, "i"))
	run(a, 12, 80)
	must.Eq(t, "false ready false", state(a, "i")) // expired
	// b's entry is adopted once b is dead, unless another source receives heartbeats for it
	a.Adopt(at(80), "b")
	run(a, 80, 84)
	must.Eq(t, "true ready true", state(a, "moves"))
	// b is alive and received a heartbeat since: it clears the mark before the next one
	b.Heartbeat(at(84), Searcher{ID: "moves", Calls: 5})
	pull(at(84), b, a)
	run(b, 84, 84.5)
	must.Eq(t, "true ready false", state(b, "moves"))
	must.NoError(t, a.Check())
}

// TestReleasedSourceMonitorsItsEntries: a source that was without contact and is back monitors its entries again,
// though their heartbeats publish no updates.
func TestReleasedSourceMonitorsItsEntries(t *testing.T) {
	a, b := controller("a"), controller("b")
	b.Heartbeat(at(0), Searcher{ID: "i", Calls: 1})
	pull(at(0), a, b)
	must.Eq(t, "true ready false", state(a, "i"))
	a.Adopt(at(10), "b")
	run(a, 10, 12)
	a.Release("b")
	run(a, 12, 60)
	must.Eq(t, "true ready false", state(a, "i"))
	a.Adopt(at(60), "b")
	run(a, 60, 64)
	must.Eq(t, "true ready true", state(a, "i"))
}

func TestAddressTakenOver(t *testing.T) {
	h := controller("h")
	h.Heartbeat(at(0), Searcher{ID: "old", Address: "x", Calls: 9})
	h.Heartbeat(at(1), Searcher{ID: "new", Address: "x", Calls: 1})
	must.Eq(t, "true ready true", state(h, "old"))
	must.True(t, h.Heartbeat(at(1), Searcher{ID: "old", Address: "x", Calls: 10}).Published) // it is alive after all
	h.Heartbeat(at(2), Searcher{ID: "new", Address: "x", Calls: 2})
	must.Eq(t, "true ready false", state(h, "old"))
	must.Eq(t, "true ready false", state(h, "new"))
}

func TestHoldsDrainOnlyAfterFullPull(t *testing.T) {
	a, b, r := controller("a"), controller("b"), relay("r")
	for i := range 10 {
		a.Heartbeat(at(0), Searcher{ID: fmt.Sprint(i), Calls: 1})
	}
	pull(at(0), r, a)
	drain := a.Heartbeat(at(0), Searcher{ID: "3", Calls: 2, State: Draining}).Vector()
	a.Heartbeat(at(0), Searcher{ID: "4", Calls: 2, State: Draining})
	pull(at(0), b, a)
	b.Heartbeat(at(0), Searcher{ID: "3", Calls: 3, State: Draining}) // b's entry replaces a's
	pull(at(0), a, b)
	d := a.Since(r.PullQuery("a"), 1) // a partial delta, without 3
	must.True(t, d.More)
	r.Merge(at(0), d)
	must.False(t, r.Holds(drain))
	late := a.Since(r.PullQuery("a"), 9)
	restarted := relay("r2") // a new incarnation receives what the former one asked for
	restarted.Merge(at(0), late)
	must.False(t, restarted.Holds(drain))
	r.Merge(at(0), late)
	must.True(t, r.Holds(drain))
	must.Eq(t, "true draining false", state(r, "3"))
	must.True(t, func() bool { d := a.Since(r.PullQuery("a"), 9); return d.Empty() }())
}

func TestChangingControllersSendsOnlyMissingEntries(t *testing.T) {
	a, b, r := populated(100), controller("b"), relay("r")
	pull(at(0), b, a)
	pull(at(0), r, a)
	must.False(t, a.Complete() || r.Complete()) // others may not have sent a heartbeat yet
	run(b, 0, 1.5)
	b.Heartbeat(at(0), Searcher{ID: "new", Calls: 1})
	d := b.Since(r.PullQuery("b"), 1000)
	must.Len(t, 1, d.Entries)
	must.True(t, r.Merge(at(0), d))
	must.False(t, r.Merge(at(0), d))
	must.True(t, b.Complete() && r.Complete())
}

func TestRepair(t *testing.T) {
	a, b, r := controller("a"), controller("b"), relay("r")
	for i := range 500 {
		a.Heartbeat(at(0), Searcher{ID: fmt.Sprint("i", i), Calls: 1})
	}
	pull(at(0), b, a)
	pull(at(0), r, a)
	b.drop(b.records["i7"]) // a fault: covered by the vector, yet not held
	a.Heartbeat(at(0), Searcher{ID: "i9", Calls: 2, State: Draining})
	sent := reconcile(at(1), a, b)
	must.Eq(t, a.Digest(Range{}), b.Digest(Range{}))
	must.Less(t, 150, sent)
	must.Eq(t, "true ready false", state(b, "i7"))
	must.Eq(t, "true draining false", state(b, "i9"))
	// r is cut off until the end of i5 is forgotten everywhere; the rest stays.
	a.Leave(at(1), "i5")
	for s := 1.0; s < 130; s++ {
		for i := range 500 - 6 {
			a.Heartbeat(at(s), Searcher{ID: fmt.Sprint("i", i+6), Calls: uint64(s) + 10})
		}
		run(a, s, s+0.9)
	}
	must.Eq(t, "false ready false", state(a, "i5"))
	pull(at(130), r, a)
	must.Eq(t, "true ready false", state(r, "i5"))
	reconcile(at(130), a, r)
	must.Eq(t, "false ready false", state(r, "i5"))
	must.Eq(t, 494, r.Len())
	must.NoError(t, r.Check())
}

func TestBounds(t *testing.T) {
	h := New(Config{Name: "h", Start: epoch, MaxEntries: 20, MaxTombstones: 8, MaxSources: 4})
	for i := range 20 {
		must.True(t, h.Heartbeat(at(0), Searcher{ID: fmt.Sprint("i", i), Calls: 1}).Published)
	}
	must.True(t, h.Heartbeat(at(0), Searcher{ID: "one more", Calls: 1}).Refused)
	for i := range 12 {
		h.Leave(at(1), fmt.Sprint("i", i))
	}
	h.Tick(at(2))
	must.LessEq(t, 8, h.tombstones)
	must.Eq(t, 8, h.Len())
	for i := range 30 { // the incarnations of a controller that keeps crashing
		o := controller(fmt.Sprint("o", i))
		o.Heartbeat(at(3), Searcher{ID: "roams", Calls: uint64(i + 1)})
		pull(at(3), h, o)
	}
	h.Tick(at(4))
	must.LessEq(t, 4, len(h.sources))
	must.NoError(t, h.Check())
}

// TestJoinIsOrderIndependent: whatever the order, the grouping and the duplicates, the same updates produce the same
// registry.
func TestJoinIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		no := map[string]uint64{}
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
			src := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "source")
			no[src]++
			return Entry{Source: src, No: no[src], Silent: rapid.Bool().Draw(t, "silent"), Searcher: Searcher{
				ID: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "id"), State: State(rapid.IntRange(0, 2).Draw(t, "state")),
				Calls: rapid.Uint64Range(0, 3).Draw(t, "calls"),
			}}
		}), 0, 12).Draw(t, "entries")
		one, two, half := relay("one"), relay("two"), relay("half")
		one.Merge(epoch, Delta{Entries: entries})
		mixed := rapid.Permutation(slices.Concat(entries, entries)).Draw(t, "mixed")
		cut := rapid.IntRange(0, len(mixed)).Draw(t, "cut")
		half.Merge(epoch, Delta{Entries: mixed[:cut]})
		two.Merge(epoch, Delta{Entries: mixed[cut:]})
		pull(epoch, two, half)
		must.Eq(t, one.Digest(Range{}), two.Digest(Range{}))
		must.Eq(t, slices.Collect(one.All()), slices.Collect(two.All()))
		must.NoError(t, two.Check())
	})
}

// populated returns a controller's registry with n searchers.
func populated(n int) *Registry {
	h := controller("controller-3.example:7000/5f3a91c2")
	for i := range n {
		h.Heartbeat(at(0), Searcher{
			ID: fmt.Sprintf("i-%08x", i*2654435761), Plant: fmt.Sprintf("huvo%02da", i%40), Zone: "klg-hall-a",
			Address: fmt.Sprintf("10.128.%d.%d:8080", i/250, i%250), ConfigVersion: "v1", Capacity: 3, Calls: 1,
		})
	}
	return h
}

func BenchmarkSince(b *testing.B) {
	for _, n := range []int{3800, 1} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h, r := populated(3800), relay("agent-1/77")
			if n == 1 {
				pull(at(0), r, h)
				e := slices.Collect(h.All())[9].Searcher
				e.Calls, e.State = 2, Draining
				h.Heartbeat(at(0), e)
			}
			w := r.PullQuery(h.Name())
			var d Delta
			for b.Loop() {
				d = h.Since(w, 5000)
			}
			must.Len(b, n, d.Entries)
			var buf bytes.Buffer
			enc := gob.NewEncoder(&buf)
			must.NoError(b, enc.Encode(Delta{})) // a connection transfers the types once
			buf.Reset()
			must.NoError(b, enc.Encode(d))
			b.ReportMetric(float64(buf.Len()), "bytes")
		})
	}
}

func BenchmarkMerge(b *testing.B) {
	full := populated(3800).Since(relay("r").PullQuery(""), 5000)
	b.Run("3800", func(b *testing.B) {
		for b.Loop() {
			relay("r").Merge(at(0), full)
		}
	})
	b.Run("1", func(b *testing.B) {
		r, d := relay("r"), Delta{Entries: full.Entries[9:10]}
		r.Merge(at(0), full)
		for b.Loop() {
			d.Entries[0].Calls++
			r.Merge(at(0), d)
		}
	})
}

func BenchmarkTick(b *testing.B) {
	h := populated(3800)
	for s := 0.0; b.Loop(); s += 0.2 {
		h.runningSince = at(s) // no searcher becomes silent: this measures the scan alone
		h.Tick(at(s))
	}
}
