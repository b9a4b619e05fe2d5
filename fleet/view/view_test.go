package view

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const s = time.Second

func newViewOfFive(t testing.TB, name string) *Core {
	c, err := New(Settings{Me: name, Inc: 7, Instances: 5, Stale: 3 * s, Settle: 2 * s, Leap: 2 * s}, 0)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// receiveFrom receives a heartbeat from another instance that hears the given ones. If this instance is among them, the
// heartbeat echoes its last round.
func (c *Core) receiveFrom(from string, hears ...string) bool {
	w := Word{From: from, Inc: 7, Instances: 5, Hears: len(hears)}
	if p := c.peers[from]; p != nil {
		w.No = p.number
	}
	w.No++
	if slices.Contains(hears, c.settings.Me) {
		w.Echo = Echo{c.settings.Inc, c.round}
	}
	return c.Heard(w)
}

// Each degree of connectivity in the table of docs/fleet.md, and what it permits.
func TestConnectivity(t *testing.T) {
	for _, c := range []struct {
		name       string
		heartbeats [][]string // the sender of each, then the instances that it hears
		duration   time.Duration
		silence    time.Duration // after that, without heartbeats
		want       Standing
	}{
		{"nobody", nil, s, 0, Alone},
		{"one other", [][]string{{"b", "a"}}, s, 0, Minority},
		{"two others, all hear each other", [][]string{{"b", "a", "c"}, {"c", "a", "b"}}, s, 0, Settling},
		{"for long enough", [][]string{{"b", "a", "c"}, {"c", "a", "b"}}, 3 * s, 0, Majority},
		{"too old", [][]string{{"b", "a", "c"}, {"c", "a", "b"}}, 3 * s, 4 * s, Alone},
		{"they do not hear this one", [][]string{{"b", "c", "d"}, {"c", "b", "d"}, {"d", "b", "c"}}, 3 * s, 0, Disagreeing},
		{"they hear only this one", [][]string{{"b", "a"}, {"c", "a"}}, 3 * s, 0, Disagreeing},
	} {
		v := newViewOfFive(t, "a")
		for at := time.Duration(0); at <= c.duration; at += s {
			v.At(at)
			v.Words(false, nil)
			for _, w := range c.heartbeats {
				if !v.receiveFrom(w[0], w[1:]...) {
					t.Errorf("%s: the heartbeat of %s is rejected", c.name, w[0])
				}
			}
		}
		for at := c.duration; at <= c.duration+c.silence; at += s {
			v.At(at)
		}
		if got := v.Standing(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if v.May(Grant) != (c.want == Majority) || !v.May(Keep) || !v.May(Lower) || v.May(Raise) && !v.May(Count) {
			t.Errorf("%s: permissions of %v", c.name, c.want)
		}
	}
}

// A paused process must not act on its old view: whatever it held before and whatever heartbeats were queued meanwhile, it
// grants nothing until a majority has echoed heartbeats sent after the pause, and for the settling time.
func TestPausedProcessDistrustsItsView(t *testing.T) {
	v := newViewOfFive(t, "a")
	hear := func() {
		v.receiveFrom("b", "a", "c")
		v.receiveFrom("c", "a", "b")
	}
	for at := time.Duration(0); at <= 2*s; at += s {
		v.At(at)
		v.Words(false, nil)
		hear()
	}
	if !v.May(Grant) {
		t.Fatal("no majority before the pause")
	}
	if !v.At(4*s + 1) {
		t.Error("the pause is not noticed")
	}
	if v.Standing() != Alone || len(v.Live()) > 0 || v.Words(false, []string{"b"})[0] != (Word{From: "a", Inc: 7, No: v.round, Instances: 5}) {
		t.Errorf("after the pause: %v, hears %v", v.Standing(), v.Live())
	}
	v.round-- // queued heartbeats echo a round from before the pause
	hear()
	v.round++
	if v.Standing() != Disagreeing || len(v.Live()) > 0 {
		t.Errorf("old heartbeats: %v, %v", v.Standing(), v.Live())
	}
	hear()
	if v.Standing() != Settling || len(v.Live()) != 2 {
		t.Errorf("heard again: %v", v.Standing())
	}
}

func TestInvalidHeartbeatsAreRejected(t *testing.T) {
	v := newViewOfFive(t, "a")
	heartbeat := func(from string, inc, no uint64) Word { return Word{From: from, Inc: inc, No: no, Instances: 5} }
	v.Heard(heartbeat("b", 7, 2))
	leaving, otherSize, tooMany := heartbeat("d", 7, 1), heartbeat("c", 7, 1), heartbeat("e", 7, 1)
	leaving.Leaves, otherSize.Instances, tooMany.Hears = true, 4, 5
	v.Heard(leaving)
	for _, w := range []Word{heartbeat("b", 6, 9), heartbeat("b", 7, 2), heartbeat("b", 7, 1), otherSize, heartbeat("a", 9, 9), heartbeat("", 1, 1), heartbeat("d", 7, 2), tooMany} {
		if v.Heard(w) {
			t.Errorf("accepted: %+v", w)
		}
	}
	if v.State("d") != Left || v.State("b") != Alive || v.State("c") != Unknown {
		t.Errorf("%v %v %v", v.State("d"), v.State("b"), v.State("c"))
	}
	v.Gone("b")
	if _, ok := v.Proven("b"); ok || v.State("b") != Failed {
		t.Errorf("reported as failed, and %v", v.State("b"))
	}
	if v.Heard(heartbeat("b", 7, 3)); v.State("b") != Alive {
		t.Errorf("heard again, and %v", v.State("b"))
	}
	if !v.Heard(heartbeat("d", 8, 1)) {
		t.Error("a new incarnation of an instance that left is rejected")
	}
	if pauses, rejected := v.Counts(); pauses != 0 || rejected != 6 {
		t.Errorf("%d pauses, %d heartbeats rejected", pauses, rejected)
	}
}

// Two sides of a partition never both hold a settled majority: any two instances that do share one that both hear and that
// hears both. Checked over random partitions of a whole fleet of views.
func TestNoTwoSeparateMajorities(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(r, "instances")
		var all []*Core
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint(i))
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
				for j, w := range c.Words(false, names) {
					if i != j && side[i] == side[j] {
						all[j].Heard(w)
					}
				}
			}
			// A partition is noticed within Stale; from then on at most one side grants.
			if at%(5*s) < 4*s {
				continue
			}
			granting := map[int]bool{}
			for i, c := range all {
				if c.May(Grant) {
					granting[side[i]] = true
				}
			}
			if len(granting) > 1 {
				r.Fatalf("at %v sides %v both grant", at, granting)
			}
		}
	})
}

func TestPeersAreBounded(t *testing.T) {
	v := newViewOfFive(t, "a")
	for i := range 1000 {
		v.At(time.Duration(i) * s)
		v.receiveFrom(fmt.Sprint("x", i))
	}
	if len(v.peers) > 10 {
		t.Errorf("%d peers are kept", len(v.peers))
	}
	for _, bad := range []Settings{{}, {Me: "a"}, {Me: "a", Instances: 2}, {Me: "a", Instances: 2, Stale: s, Leap: 2 * s}} {
		if _, err := New(bad, 0); err == nil {
			t.Errorf("%+v is accepted", bad)
		}
	}
}
