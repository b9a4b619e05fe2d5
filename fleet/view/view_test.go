package view

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const s = time.Second

func five(t testing.TB, me string) *Core {
	c, err := New(Settings{Me: me, Inc: 7, Instances: 5, Stale: 3 * s, Settle: 2 * s, Leap: 2 * s}, 0)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func word(from string, hears ...string) Word {
	w := Word{From: from, Inc: 7, Instances: 5, Hears: map[string]uint64{}}
	for _, h := range hears {
		w.Hears[h] = 7
	}
	return w
}

// Each standing, as the table of docs/fleet.md has it, and what it allows.
func TestStandings(t *testing.T) {
	for _, c := range []struct {
		name  string
		words []Word
		after time.Duration
		want  Standing
	}{
		{"nobody", nil, s, Alone},
		{"one other", []Word{word("b", "a")}, s, Minority},
		{"two others, all hear each other", []Word{word("b", "a", "c"), word("c", "a", "b")}, s, Settling},
		{"for long enough", []Word{word("b", "a", "c"), word("c", "a", "b")}, 2 * s, Majority},
		{"too old", []Word{word("b", "a", "c"), word("c", "a", "b")}, 4 * s, Alone},
		{"they do not hear this one", []Word{word("b", "c", "d"), word("c", "b", "d"), word("d", "b", "c")}, 2 * s, Disagreeing},
		{"they hear only this one", []Word{word("b", "a"), word("c", "a")}, 2 * s, Disagreeing},
	} {
		v := five(t, "a")
		for _, w := range c.words {
			if !v.Heard(w) {
				t.Errorf("%s: %s is not believed", c.name, w.From)
			}
		}
		for at := s; at <= c.after; at += s {
			v.At(at)
		}
		if got := v.Standing(); got != c.want {
			t.Errorf("%s: %v, not %v", c.name, got, c.want)
		}
		if v.May(Grant) != (c.want == Majority) || !v.May(Keep) || !v.May(Lower) || v.May(Raise) && !v.May(Count) {
			t.Errorf("%s: rights of %v", c.name, c.want)
		}
	}
}

// A sleeper distrusts its view first: whatever it held before, it grants nothing till it has heard a majority anew
// and that has held.
func TestASleeperTrustsNothing(t *testing.T) {
	v := five(t, "a")
	hear := func() {
		v.Heard(word("b", "a", "c"))
		v.Heard(word("c", "a", "b"))
	}
	hear()
	v.At(s)
	v.At(2 * s)
	if !v.May(Grant) {
		t.Fatal("no majority before the sleep")
	}
	if !v.At(4*s + 1) {
		t.Error("the sleep is not noticed")
	}
	if v.Standing() != Alone || len(v.Live()) > 0 || len(v.Word(false).Hears) > 0 {
		t.Errorf("after the sleep: %v, hears %v", v.Standing(), v.Live())
	}
	hear()
	if v.Standing() != Settling {
		t.Errorf("heard anew: %v", v.Standing())
	}
}

func TestWordsNotBelieved(t *testing.T) {
	v := five(t, "a")
	v.Heard(word("b"))
	old, other, mine, left := word("b"), word("c"), word("a"), word("d")
	old.Inc, other.Instances, left.Leaves = 6, 4, true
	v.Heard(left)
	for _, w := range []Word{old, other, mine, {Instances: 5}, word("d"), word("e", "1", "2", "3", "4", "5", "6")} {
		if v.Heard(w) {
			t.Errorf("believed: %+v", w)
		}
	}
	if v.State("d") != Left || v.State("b") != Alive || v.State("c") != Unknown {
		t.Errorf("%v %v %v", v.State("d"), v.State("b"), v.State("c"))
	}
	v.Gone("b")
	if _, ok := v.Fresh("b"); ok || v.State("b") != Failed {
		t.Errorf("gone, and %v", v.State("b"))
	}
	if v.Heard(word("b")); v.State("b") != Alive {
		t.Errorf("its own word, and %v", v.State("b"))
	}
	back := word("d")
	if back.Inc = 8; !v.Heard(back) {
		t.Error("one that left is not believed when it is back")
	}
}

// Two that both hold a settled majority share an instance whose word is fresh to both and that hears both: whoever is
// cut, both ways or one way, delayed, asleep or restarted. Played over random deliveries with a full table of views.
func TestNoTwoMajoritiesApart(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(r, "instances")
		var all []*Core
		for i := range n {
			c, _ := New(Settings{Me: fmt.Sprint(i), Inc: 1, Instances: n, Stale: 3 * s, Settle: s, Leap: 3 * s}, 0)
			all = append(all, c)
		}
		side := make([]int, n)
		for at := s / 2; at < 30*s; at += s / 2 {
			if at%(5*s) == 0 {
				for i := range side {
					side[i] = rapid.IntRange(0, 2).Draw(r, "side")
				}
			}
			for _, c := range all {
				c.At(at)
			}
			for i, c := range all {
				w := c.Word(false)
				for j := range all {
					if i != j && side[i] == side[j] {
						all[j].Heard(w)
					}
				}
			}
			// A cut shows within Stale: then at most one side grants.
			if at%(5*s) < 4*s {
				continue
			}
			grants := map[int]bool{}
			for i, c := range all {
				if c.May(Grant) {
					grants[side[i]] = true
				}
			}
			if len(grants) > 1 {
				r.Fatalf("at %v sides %v both grant", at, grants)
			}
		}
	})
}

func TestBounded(t *testing.T) {
	v := five(t, "a")
	for i := range 1000 {
		v.At(time.Duration(i) * s)
		v.Heard(word(fmt.Sprint("x", i)))
	}
	if len(v.peers) > 10 {
		t.Errorf("%d peers are held", len(v.peers))
	}
	for _, bad := range []Settings{{}, {Me: "a"}, {Me: "a", Instances: 2}, {Me: "a", Instances: 2, Stale: s, Leap: 2 * s}} {
		if _, err := New(bad, 0); err == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}
