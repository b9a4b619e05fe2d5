package schema

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const s = time.Second

func set(own Range) Settings { return Settings{Own: own, Reserve: 2, Hold: 2 * s, Rest: 5 * s} }

// fleet is mixers that tell each other what they say, and searchers that each hold two of four shards, three holders each.
type fleet struct {
	now   time.Duration
	cores []*Core
	up    []bool
	side  []int
	dead  bool // those of the other side are held for dead
	list  []Searcher
}

func newFleet(own ...Range) *fleet {
	f := &fleet{}
	for _, r := range own {
		c, err := New(set(r), 0)
		if err != nil {
			panic(err)
		}
		f.cores, f.up, f.side = append(f.cores, c), append(f.up, true), append(f.side, 0)
	}
	for i := range 6 {
		f.list = append(f.list, Searcher{Name: fmt.Sprint("r", i), Start: 1, Range: Range{1, 2}, Shards: []int{i % 4, (i + 2) % 4}, Sound: true})
	}
	return f
}

// run lets time pass; who hears a majority may raise, and those that it does not hear, though up, are strange to it.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += s / 4 {
		for i, c := range f.cores {
			if !f.up[i] {
				continue
			}
			c.At(f.now)
			c.Searchers(f.list)
			said, strange := map[string]Said{}, 0
			for j, o := range f.cores {
				switch {
				case i == j || !f.up[j]:
				case f.side[i] == f.side[j]:
					said[fmt.Sprint(j)] = o.Say()
				case !f.dead:
					strange++
				}
			}
			c.Others(said, strange)
			c.Raise(2*(len(said)+1) > len(f.cores))
		}
	}
}

func (f *fleet) speak(t *testing.T, what string, want ...int) {
	t.Helper()
	for i, c := range f.cores {
		if f.up[i] && c.Version() != want[min(i, len(want)-1)] {
			t.Errorf("%s: mixer %d speaks %d, not %d", what, i, c.Version(), want[min(i, len(want)-1)])
		}
	}
}

// A rolling upgrade: the version goes up once, when the last has come, after its hold; a rollback takes it down at once.
func TestARollingUpgradeAndBack(t *testing.T) {
	v12 := Range{1, 2}
	f := newFleet(v12, v12, v12)
	f.list[0].Range, f.list[1].Range, f.list[4].Range = Range{}, Range{}, Range{} // shard 0 has one that understands 2
	f.run(8 * s)
	f.speak(t, "half of the searchers upgraded", 1)
	f.list[0].Range, f.list[1].Range = v12, v12
	f.run(1500 * time.Millisecond)
	f.speak(t, "not held yet", 1)
	f.run(2 * s)
	f.speak(t, "enough of them", 2)
	f.list[0].Range, f.list[4].Range = Range{}, Range{}
	f.run(s / 4)
	f.speak(t, "rolled back", 1)
	f.list[0].Range = v12
	f.run(4 * s)
	f.speak(t, "no quick turn", 1)
	f.run(4 * s)
	f.speak(t, "and up again", 2)
	if e := f.cores[0].Epoch(); e != 3 {
		t.Errorf("%d moves", e)
	}
}

// A mixer of an older build rejoins a fleet that moved on: what all understand is spoken again, at once.
func TestAnOlderMixerRejoins(t *testing.T) {
	f := newFleet(Range{1, 2}, Range{1, 2}, Range{1, 1})
	f.up[2] = false
	f.run(4 * s)
	f.speak(t, "without it", 2)
	f.up[2] = true
	f.run(s / 2)
	f.speak(t, "with it", 1)
	f.run(20 * s)
	f.speak(t, "later", 1)
}

// Half of the fleet cut off, in the midst of a raise: nobody raises what those may not understand, and a majority alone
// would be no reason to.
func TestACutInTheMidstOfARaise(t *testing.T) {
	v12 := Range{1, 2}
	f := newFleet(v12, v12, v12, v12, v12)
	f.run(s)
	f.side = []int{0, 0, 1, 1, 1}
	f.run(10 * s)
	f.speak(t, "cut", 1)
	f.dead = true
	f.run(4 * s)
	f.speak(t, "held for dead: the majority goes on without them, the minority does not", 1, 1, 2)
	f.dead = false
	f.side = make([]int, 5)
	f.run(3 * s)
	f.speak(t, "healed", 2)
	f.side = []int{0, 0, 1, 1, 1}
	for i := range f.list {
		f.list[i].Range = Range{}
	}
	f.run(s / 2)
	f.speak(t, "searchers rolled back while cut: a minority may lower too", 1)
}

// A searcher that lies about its range is found out, and counts for no reserve; a new start is believed anew.
func TestALiar(t *testing.T) {
	f := newFleet(Range{1, 2})
	f.list[4].Sound = false // shards 0 and 2 have two sound holders left
	f.run(4 * s)
	f.speak(t, "before", 2)
	c := f.cores[0]
	c.Answered("r0", 2, false)
	c.Answered("r0", 2, false)
	c.Answered("r0", 2, true)
	c.Answered("r0", 2, false)
	c.Answered("r0", 2, false)
	if !c.May("r0", 2) || c.Version() != 2 {
		t.Error("two failures in a row make a liar")
	}
	c.Answered("r0", 2, false)
	if c.May("r0", 2) || !c.May("r0", 1) || c.Version() != 1 {
		t.Errorf("a liar is sent version 2, or the fleet speaks %d", c.Version())
	}
	if !c.Reaches([]int{0, 2}, 2) || c.Reaches([]int{7}, 1) {
		t.Error("scans that began in version 2 still reach the other holder; a shard without holders is not reached")
	}
	f.list[0].Start = 2
	f.run(8 * s)
	f.speak(t, "it started anew", 2)
}

// Two that moved in the same epoch, to different versions: all come to the lower one, in whichever order they hear.
func TestTwoMovesInOneEpoch(t *testing.T) {
	for _, order := range [][]int{{2, 3}, {3, 2}} {
		c, _ := New(set(Range{1, 3}), 0)
		for _, v := range order {
			c.Others(map[string]Said{"b": {Range{1, 3}, 4, v}}, 0)
		}
		if c.Version() != 2 || c.Epoch() != 4 {
			t.Errorf("heard %v, and speaks %d in epoch %d", order, c.Version(), c.Epoch())
		}
	}
}

func TestChoose(t *testing.T) {
	c, _ := New(set(Range{2, 3}), 0)
	c.Others(map[string]Said{"b": {Range{1, 3}, 4, 3}}, 0)
	for _, x := range []struct {
		client    Range
		pinned, v int
		ok        bool
		about     string
	}{
		{Range{1, 5}, 0, 3, true, "a newer client"},
		{Range{1, 2}, 0, 2, true, "an older client"},
		{Range{}, 0, 1, false, "one that says nothing, where this mixer no longer understands the lowest"},
		{Range{4, 5}, 0, 3, false, "one that needs more than the fleet speaks"},
		{Range{1, 3}, 2, 2, true, "a keyed scan sent again keeps its version"},
		{Range{1, 5}, 4, 4, false, "one whose version this mixer does not understand is refused, not sent in another"},
	} {
		if v, ok := c.Choose(x.client, x.pinned); ok != x.ok || ok && v != x.v {
			t.Errorf("%s: %d %v", x.about, v, ok)
		}
	}
	if _, err := New(Settings{}, 0); err == nil {
		t.Error("settings without a reserve are taken")
	}
}

// Random upgrades, rollbacks, cuts, deaths and liars: nobody who hears all the others speaks, for longer than it takes to be
// told, what one of them does not understand or has no reserve for while something lower has; epochs never go back, and
// all of one side come to speak the same.
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
				f.list[k].Range = Range{1, rapid.IntRange(1, 3).Draw(r, "range")}
			case 1:
				f.list[k].Sound = !f.list[k].Sound
			case 2:
				f.side[i] = 1 - f.side[i]
			case 3:
				f.up[i] = !f.up[i]
			case 4:
				f.cores[i].Answered(fmt.Sprint("r", k), 2, rapid.Bool().Draw(r, "ok"))
			case 5:
				f.list[k].Start++
			}
			f.run(time.Duration(rapid.IntRange(1, 6).Draw(r, "seconds")) * s)
			for i, c := range f.cores {
				if c.Epoch() < last[i] {
					r.Fatalf("mixer %d: epoch %d after %d", i, c.Epoch(), last[i])
				}
				if last[i] = c.Epoch(); !f.up[i] {
					continue
				}
				for j, o := range f.cores {
					if i != j && f.up[j] && f.side[i] == f.side[j] && o.Say() != (Said{o.set.Own, c.epoch, c.version}) {
						r.Fatalf("mixers %d and %d hear each other, and say %+v and %+v", i, j, c.Say(), o.Say())
					}
				}
				if !c.all(c.version) {
					r.Fatalf("mixer %d speaks %d, which not all understand", i, c.version)
				}
				if !c.enough(c.version) {
					for v := 1; v < c.version; v++ {
						if c.all(v) && c.enough(v) {
							r.Fatalf("mixer %d speaks %d without its reserve, and %d has it", i, c.version, v)
						}
					}
				}
			}
		}
	})
}
