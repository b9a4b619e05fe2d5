package schema

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const s = time.Second

func testSettings(own Range) Settings {
	return Settings{Own: own, Reserve: 2, RaiseDelay: 2 * s, Cooldown: 5 * s}
}

// fleet is a set of mixers that exchange announcements, and six searchers that each hold two of four shards, so that each
// shard has three holders.
type fleet struct {
	now            time.Duration
	negotiators    []*Negotiator
	up             []bool
	side           []int // of a partition
	otherSideIsOut bool  // mixers on the other side of a partition are taken for dead
	searchers      []Searcher
}

func newFleet(own ...Range) *fleet {
	f := &fleet{}
	for _, r := range own {
		c, err := New(testSettings(r), 0)
		if err != nil {
			panic(err)
		}
		f.negotiators, f.up, f.side = append(f.negotiators, c), append(f.up, true), append(f.side, 0)
	}
	for i := range 6 {
		f.searchers = append(f.searchers, Searcher{Name: fmt.Sprint("r", i), Incarnation: 1, Range: Range{1, 2}, Shards: []int{i % 4, (i + 2) % 4}, Healthy: true})
	}
	return f
}

// run lets time pass. A mixer that hears a majority may raise the version; running mixers that it does not hear are unknown
// peers to it.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += s / 4 {
		for i, c := range f.negotiators {
			if !f.up[i] {
				continue
			}
			c.Advance(f.now)
			c.SetSearchers(f.searchers)
			announcements, unknownPeers := map[string]Announcement{}, 0
			for j, o := range f.negotiators {
				switch {
				case i == j || !f.up[j]:
				case f.side[i] == f.side[j]:
					announcements[fmt.Sprint(j)] = o.Announcement()
				case !f.otherSideIsOut:
					unknownPeers++
				}
			}
			c.SetPeers(announcements, unknownPeers)
			c.Raise(2*(len(announcements)+1) > len(f.negotiators))
		}
	}
}

func (f *fleet) expectVersions(t *testing.T, situation string, want ...int) {
	t.Helper()
	for i, c := range f.negotiators {
		if f.up[i] && c.Version() != want[min(i, len(want)-1)] {
			t.Errorf("%s: mixer %d speaks %d, want %d", situation, i, c.Version(), want[min(i, len(want)-1)])
		}
	}
}

// In a rolling upgrade the version is raised once, after every shard has had its reserve for the raise delay; a rollback lowers
// it at once.
func TestRollingUpgradeAndRollback(t *testing.T) {
	v12 := Range{1, 2}
	f := newFleet(v12, v12, v12)
	f.searchers[0].Range, f.searchers[1].Range, f.searchers[4].Range = Range{}, Range{}, Range{} // shard 0 has one searcher left that understands 2
	f.run(8 * s)
	f.expectVersions(t, "half of the searchers upgraded", 1)
	f.searchers[0].Range, f.searchers[1].Range = v12, v12
	f.run(1500 * time.Millisecond)
	f.expectVersions(t, "raise delay not over", 1)
	f.run(2 * s)
	f.expectVersions(t, "enough searchers upgraded", 2)
	f.searchers[0].Range, f.searchers[4].Range = Range{}, Range{}
	f.run(s / 4)
	f.expectVersions(t, "rolled back", 1)
	f.searchers[0].Range = v12
	f.run(4 * s)
	f.expectVersions(t, "not raised again soon", 1)
	f.run(4 * s)
	f.expectVersions(t, "raised again", 2)
	if e := f.negotiators[0].Epoch(); e != 3 {
		t.Errorf("%d version changes", e)
	}
}

// When a mixer of an older build rejoins a fleet that has raised its version, the fleet returns at once to a version that all
// understand.
func TestOlderMixerRejoins(t *testing.T) {
	f := newFleet(Range{1, 2}, Range{1, 2}, Range{1, 1})
	f.up[2] = false
	f.run(4 * s)
	f.expectVersions(t, "without it", 2)
	f.up[2] = true
	f.run(s / 2)
	f.expectVersions(t, "with it", 1)
	f.run(20 * s)
	f.expectVersions(t, "later", 1)
}

// If a partition separates part of the fleet while a raise is pending, no mixer raises the version, as the others may not
// understand it: a majority alone is no sufficient reason.
func TestPartitionDuringRaise(t *testing.T) {
	v12 := Range{1, 2}
	f := newFleet(v12, v12, v12, v12, v12)
	f.run(s)
	f.side = []int{0, 0, 1, 1, 1}
	f.run(10 * s)
	f.expectVersions(t, "partitioned", 1)
	f.otherSideIsOut = true
	f.run(4 * s)
	f.expectVersions(t, "taken for dead: the majority goes on without them, the minority does not", 1, 1, 2)
	f.otherSideIsOut = false
	f.side = make([]int, 5)
	f.run(3 * s)
	f.expectVersions(t, "healed", 2)
	f.side = []int{0, 0, 1, 1, 1}
	for i := range f.searchers {
		f.searchers[i].Range = Range{}
	}
	f.run(s / 2)
	f.expectVersions(t, "searchers rolled back during a partition: a minority may lower too", 1)
}

// A searcher that fails in a version it claims to understand no longer counts towards the reserve of that version. After a
// restart its claim counts again.
func TestSearcherWithWrongRange(t *testing.T) {
	f := newFleet(Range{1, 2})
	f.searchers[4].Healthy = false // shards 0 and 2 have two healthy searchers left
	f.run(4 * s)
	f.expectVersions(t, "before", 2)
	c := f.negotiators[0]
	c.RecordResult("r0", 2, false)
	c.RecordResult("r0", 2, false)
	c.RecordResult("r0", 2, true)
	c.RecordResult("r0", 2, false)
	c.RecordResult("r0", 2, false)
	if !c.CanSend("r0", 2) || c.Version() != 2 {
		t.Error("two consecutive failures are enough to reject the version")
	}
	c.RecordResult("r0", 2, false)
	if c.CanSend("r0", 2) || !c.CanSend("r0", 1) || c.Version() != 1 {
		t.Errorf("the searcher is still sent version 2, or the fleet speaks %d", c.Version())
	}
	if !c.CanServe([]int{0, 2}, 2) || c.CanServe([]int{7}, 1) {
		t.Error("scans that began in version 2 must reach the other searcher, and a shard without searchers must not be reached")
	}
	f.searchers[0].Incarnation = 2
	f.run(8 * s)
	f.expectVersions(t, "restarted", 2)
}

// If two mixers change the version in the same epoch, all adopt the lower one, whatever the order of the announcements.
func TestTwoChangesInOneEpoch(t *testing.T) {
	for _, order := range [][]int{{2, 3}, {3, 2}} {
		c, _ := New(testSettings(Range{1, 3}), 0)
		for _, v := range order {
			c.SetPeers(map[string]Announcement{"b": {Range{1, 3}, 4, v}}, 0)
		}
		if c.Version() != 2 || c.Epoch() != 4 {
			t.Errorf("after announcements %v: version %d in epoch %d", order, c.Version(), c.Epoch())
		}
	}
}

func TestChooseVersion(t *testing.T) {
	c, _ := New(testSettings(Range{2, 3}), 0)
	c.SetPeers(map[string]Announcement{"b": {Range{1, 3}, 4, 3}}, 0)
	for _, x := range []struct {
		client    Range
		pinned, v int
		ok        bool
		name      string
	}{
		{Range{1, 5}, 0, 3, true, "a newer client"},
		{Range{1, 2}, 0, 2, true, "an older client"},
		{Range{}, 0, 1, false, "a client without a range, where this mixer no longer understands the lowest"},
		{Range{4, 5}, 0, 3, false, "a client that needs more than the fleet speaks"},
		{Range{1, 3}, 2, 2, true, "a keyed scan sent again keeps its version"},
		{Range{1, 5}, 4, 4, false, "a scan whose version this mixer does not understand is refused, not sent in another"},
	} {
		if v, ok := c.ChooseVersion(x.client, x.pinned); ok != x.ok || ok && v != x.v {
			t.Errorf("%s: %d %v", x.name, v, ok)
		}
	}
	if _, err := New(Settings{}, 0); err == nil {
		t.Error("settings without a reserve are accepted")
	}
}

// Under random upgrades, rollbacks, partitions, crashes and searchers with wrong ranges, no mixer stays in a version that a
// mixer it hears does not understand, or that lacks its reserve while a lower version has it. Epochs never decrease, and all
// mixers on one side of a partition agree.
func TestRandomUpgrades(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(r, "mixers")
		var own []Range
		for range n {
			own = append(own, Range{1, rapid.IntRange(1, 3).Draw(r, "own")})
		}
		f := newFleet(own...)
		last := make([]uint64, n)
		for range rapid.IntRange(1, 25).Draw(r, "steps") {
			i, k := rapid.IntRange(0, n-1).Draw(r, "mixer"), rapid.IntRange(0, 5).Draw(r, "searcher")
			switch rapid.IntRange(0, 5).Draw(r, "what") {
			case 0:
				f.searchers[k].Range = Range{1, rapid.IntRange(1, 3).Draw(r, "range")}
			case 1:
				f.searchers[k].Healthy = !f.searchers[k].Healthy
			case 2:
				f.side[i] = 1 - f.side[i]
			case 3:
				f.up[i] = !f.up[i]
			case 4:
				f.negotiators[i].RecordResult(fmt.Sprint("r", k), 2, rapid.Bool().Draw(r, "ok"))
			case 5:
				f.searchers[k].Incarnation++
			}
			f.run(time.Duration(rapid.IntRange(1, 6).Draw(r, "seconds")) * s)
			for i, c := range f.negotiators {
				if c.Epoch() < last[i] {
					r.Fatalf("mixer %d: epoch %d after %d", i, c.Epoch(), last[i])
				}
				if last[i] = c.Epoch(); !f.up[i] {
					continue
				}
				for j, o := range f.negotiators {
					if i != j && f.up[j] && f.side[i] == f.side[j] && o.Announcement() != (Announcement{o.settings.Own, c.epoch, c.version}) {
						r.Fatalf("mixers %d and %d hear each other, but announce %+v and %+v", i, j, c.Announcement(), o.Announcement())
					}
				}
				if !c.mixersSupport(c.version) {
					r.Fatalf("mixer %d speaks %d, which not all mixers understand", i, c.version)
				}
				if !c.hasReserve(c.version) {
					for v := 1; v < c.version; v++ {
						if c.mixersSupport(v) && c.hasReserve(v) {
							r.Fatalf("mixer %d speaks %d, which lacks its reserve, while %d has it", i, c.version, v)
						}
					}
				}
			}
		}
	})
}
