package view

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const s = time.Second

func newViewOfFive(t testing.TB, name string) *View {
	c, err := New(Settings{Name: name, Inc: 7, Instances: 5, StaleAfter: 3 * s, SettleTime: 2 * s, MaxClockStep: 2 * s}, 0)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// receiveFrom receives a heartbeat from another instance that hears the given ones. If this instance is among them, the
// heartbeat echoes its last round.
func (c *View) receiveFrom(from string, hears ...string) bool {
	w := Heartbeat{From: from, Inc: 7, Instances: 5, PeersHeard: len(hears)}
	if p := c.peers[from]; p != nil {
		w.Seq = p.number
	}
	w.Seq++
	if slices.Contains(hears, c.settings.Name) {
		w.Echo = Echo{c.settings.Inc, c.round}
	}
	return c.ReceiveHeartbeat(w)
}

// Each degree of connectivity in the table of docs/fleet.md, and what it permits.
func TestConnectivity(t *testing.T) {
	for _, c := range []struct {
		name       string
		heartbeats [][]string // the sender of each, then the instances that it hears
		duration   time.Duration
		silence    time.Duration // after that, without heartbeats
		want       Connectivity
	}{
		{"none", nil, s, 0, Isolated},
		{"one other", [][]string{{"b", "a"}}, s, 0, Minority},
		{"two others, all hear each other", [][]string{{"b", "a", "c"}, {"c", "a", "b"}}, s, 0, Settling},
		{"for long enough", [][]string{{"b", "a", "c"}, {"c", "a", "b"}}, 3 * s, 0, Majority},
		{"too old", [][]string{{"b", "a", "c"}, {"c", "a", "b"}}, 3 * s, 4 * s, Isolated},
		{"they do not hear this one", [][]string{{"b", "c", "d"}, {"c", "b", "d"}, {"d", "b", "c"}}, 3 * s, 0, Disagreeing},
		{"they hear only this one", [][]string{{"b", "a"}, {"c", "a"}}, 3 * s, 0, Disagreeing},
	} {
		v := newViewOfFive(t, "a")
		for at := time.Duration(0); at <= c.duration; at += s {
			v.Advance(at)
			v.NextHeartbeats(false, nil)
			for _, w := range c.heartbeats {
				if !v.receiveFrom(w[0], w[1:]...) {
					t.Errorf("%s: the heartbeat of %s is rejected", c.name, w[0])
				}
			}
		}
		for at := c.duration; at <= c.duration+c.silence; at += s {
			v.Advance(at)
		}
		if got := v.Connectivity(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if v.Allows(Grant) != (c.want == Majority) || !v.Allows(UseOwnShare) || !v.Allows(Lower) || v.Allows(Raise) && !v.Allows(UseReports) {
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
		v.Advance(at)
		v.NextHeartbeats(false, nil)
		hear()
	}
	if !v.Allows(Grant) {
		t.Fatal("no majority before the pause")
	}
	if !v.Advance(4*s + 1) {
		t.Error("the pause is not noticed")
	}
	if v.Connectivity() != Isolated || len(v.ConfirmedPeers()) > 0 || v.NextHeartbeats(false, []string{"b"})[0] != (Heartbeat{From: "a", Inc: 7, Seq: v.round, Instances: 5}) {
		t.Errorf("after the pause: %v, hears %v", v.Connectivity(), v.ConfirmedPeers())
	}
	v.round-- // queued heartbeats echo a round from before the pause
	hear()
	v.round++
	if v.Connectivity() != Disagreeing || len(v.ConfirmedPeers()) > 0 {
		t.Errorf("old heartbeats: %v, %v", v.Connectivity(), v.ConfirmedPeers())
	}
	hear()
	if v.Connectivity() != Settling || len(v.ConfirmedPeers()) != 2 {
		t.Errorf("heard again: %v", v.Connectivity())
	}
}

func TestInvalidHeartbeatsAreRejected(t *testing.T) {
	v := newViewOfFive(t, "a")
	heartbeat := func(from string, inc, no uint64) Heartbeat {
		return Heartbeat{From: from, Inc: inc, Seq: no, Instances: 5}
	}
	v.ReceiveHeartbeat(heartbeat("b", 7, 2))
	leaving, otherSize, tooMany := heartbeat("d", 7, 1), heartbeat("c", 7, 1), heartbeat("e", 7, 1)
	leaving.Leaving, otherSize.Instances, tooMany.PeersHeard = true, 4, 5
	v.ReceiveHeartbeat(leaving)
	for _, w := range []Heartbeat{heartbeat("b", 6, 9), heartbeat("b", 7, 2), heartbeat("b", 7, 1), otherSize, heartbeat("a", 9, 9), heartbeat("", 1, 1), heartbeat("d", 7, 2), tooMany} {
		if v.ReceiveHeartbeat(w) {
			t.Errorf("accepted: %+v", w)
		}
	}
	if v.State("d") != Left || v.State("b") != Alive || v.State("c") != Unknown {
		t.Errorf("%v %v %v", v.State("d"), v.State("b"), v.State("c"))
	}
	v.ReportFailed("b")
	if _, ok := v.ConfirmedIncarnation("b"); ok || v.State("b") != Failed {
		t.Errorf("reported as failed, and %v", v.State("b"))
	}
	if v.ReceiveHeartbeat(heartbeat("b", 7, 3)); v.State("b") != Alive {
		t.Errorf("heard again, and %v", v.State("b"))
	}
	if !v.ReceiveHeartbeat(heartbeat("d", 8, 1)) {
		t.Error("a new incarnation of an instance that left is rejected")
	}
	if pauses, rejected := v.Counters(); pauses != 0 || rejected != 6 {
		t.Errorf("%d pauses, %d heartbeats rejected", pauses, rejected)
	}
}

// Two sides of a partition never both hold a settled majority: any two instances that do share one that both hear and that
// hears both. Checked over random partitions of a whole fleet of views.
func TestNoTwoSeparateMajorities(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(r, "instances")
		var all []*View
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint(i))
			c, _ := New(Settings{Name: fmt.Sprint(i), Inc: 1, Instances: n, StaleAfter: 3 * s, SettleTime: s, MaxClockStep: 3 * s}, 0)
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
				c.Advance(at)
			}
			for i, c := range all {
				for j, w := range c.NextHeartbeats(false, names) {
					if i != j && side[i] == side[j] {
						all[j].ReceiveHeartbeat(w)
					}
				}
			}
			// A partition is noticed within StaleAfter; from then on at most one side grants.
			if at%(5*s) < 4*s {
				continue
			}
			granting := map[int]bool{}
			for i, c := range all {
				if c.Allows(Grant) {
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
		v.Advance(time.Duration(i) * s)
		v.receiveFrom(fmt.Sprint("x", i))
	}
	if len(v.peers) > 10 {
		t.Errorf("%d peers are kept", len(v.peers))
	}
	for _, bad := range []Settings{{}, {Name: "a"}, {Name: "a", Instances: 2}, {Name: "a", Instances: 2, StaleAfter: s, MaxClockStep: 2 * s}} {
		if _, err := New(bad, 0); err == nil {
			t.Errorf("%+v is accepted", bad)
		}
	}
}
