package failuredetector

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var startTime = time.Unix(1e9, 0)

// makeNodes returns n nodes, spread evenly over zones; two zones make a region.
func makeNodes(n, zones int) (list []Node) {
	for i := range n {
		list = append(list, Node{Incarnation: fmt.Sprintf("agent/m%d/%x", i, i*i), Zone: fmt.Sprint("z", i%zones),
			Region: fmt.Sprint("r", i%zones/2), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7084)})
	}
	return list
}

func TestHeartbeatOnTheWire(t *testing.T) {
	for _, no := range []uint64{0, 1, 127, 128, 1 << 40, 1<<64 - 1} {
		b := AppendHeartbeat(nil, 42, no)
		key, got, ok := ReadHeartbeat(b)
		must.True(t, ok && key == 42 && got == no && len(b) <= MaxDatagram)
		for _, bad := range [][]byte{nil, b[:len(b)-1], append(b[:len(b):len(b)], 0), append([]byte{1}, b[1:]...), make([]byte, 2000)} {
			_, _, ok := ReadHeartbeat(bad)
			must.False(t, ok, must.Sprintf("%x", bad))
		}
	}
}

// A mixer that joins or leaves changes the watchers of few others.
func TestRingChangesFewWatchers(t *testing.T) {
	list := makeNodes(60, 4)
	ring, less := NewRing(list), NewRing(list[1:])
	moved := 0
	for i := range list[1:] {
		a, b := ring.Watchers(&list[i+1]), less.Watchers(&list[i+1])
		must.Len(t, WatchersPerNode, a)
		must.True(t, a[0].Zone != list[i+1].Zone && a[0].Region == list[i+1].Region && a[1].Zone == list[i+1].Zone)
		for k := range a {
			if a[k] != b[k] {
				moved++
				break
			}
		}
	}
	must.LessEq(t, 20, moved)
	must.SliceEmpty(t, NewRing(list[:1]).Watchers(&list[0]))
}

// Bounds the bytes per second of one mixer's heartbeats, with 28 bytes of headers each: within a region, and across regions
// from a mixer that is alone in its own.
func TestHeartbeatBandwidth(t *testing.T) {
	for _, c := range []struct{ mixers, zones, inRegion, across int }{{60, 4, 240, 0}, {9, 9, 240, 130}, {2, 4, 130, 0}} {
		list := makeNodes(c.mixers, c.zones)
		for _, me := range list {
			d := New(Config{Self: me}, startTime)
			d.SetNodes(startTime, list)
			near, far := 0, 0
			for i := range 120 {
				no, to := d.Tick(startTime.Add(time.Duration(i) * 500 * time.Millisecond))
				for _, addr := range to {
					size := len(AppendHeartbeat(nil, Key(me.Incarnation), no+1<<20)) + 28
					for _, o := range list {
						if o.Addr == addr && o.Region == me.Region {
							near += size
						} else if o.Addr == addr {
							far += size
						}
					}
				}
			}
			must.LessEq(t, c.inRegion*60, near)
			must.LessEq(t, c.across*60, far)
			must.Less(t, 200*60, far)
		}
	}
}

func TestReceiveHeartbeatRejectsInvalid(t *testing.T) {
	list := makeNodes(3, 1)
	d := New(Config{Self: list[0]}, startTime)
	d.SetNodes(startTime, list)
	from, key := list[1].Addr, Key(list[1].Incarnation)
	must.False(t, d.ReceiveHeartbeat(startTime, 99, 5, from), must.Sprint("unknown"))
	must.False(t, d.ReceiveHeartbeat(startTime, key, 5, list[2].Addr), must.Sprint("address of another mixer"))
	must.True(t, d.ReceiveHeartbeat(startTime, key, 5, from))
	must.False(t, d.ReceiveHeartbeat(startTime, key, 5, from), must.Sprint("duplicate"))
	must.False(t, d.ReceiveHeartbeat(startTime, key, 4, from), must.Sprint("late"))
	for i := range 8 {
		d.Tick(startTime.Add(time.Duration(i) * 500 * time.Millisecond))
	}
	must.Eq(t, []string{list[1].Incarnation}, d.Missed(), must.Sprint("the other peer is new and has twice the timeout"))
	must.True(t, d.ReceiveHeartbeat(d.now, key, 6, from))
	must.SliceEmpty(t, d.Missed())
}

func TestCheckDetectsViolations(t *testing.T) {
	list := makeNodes(12, 4)
	for i, corrupt := range []func(d *Detector, p *peer){
		func(d *Detector, p *peer) { p.watched = !p.watched },
		func(d *Detector, p *peer) { p.missed = true },
		func(d *Detector, p *peer) { d.targets = d.targets[:2] },
		func(d *Detector, p *peer) { d.targets[1] = d.targets[0] },
		func(d *Detector, p *peer) { d.targets[0].halfRate = false },
		func(d *Detector, p *peer) { p.lastHeartbeat = d.now.Add(1) },
	} {
		d := New(Config{Self: list[0]}, startTime)
		d.SetNodes(startTime, list)
		must.NoError(t, d.Check())
		corrupt(d, d.peers[Key(list[3].Incarnation)])
		must.Error(t, d.Check(), must.Sprint(i))
	}
	a := NewArbiter(ArbiterConfig{})
	a.SetNodes(list)
	must.NoError(t, a.Check())
	a.unheard["x"] = true
	must.Error(t, a.Check())
}

// Messages from others can't make the state grow without bound.
func TestStateIsBounded(t *testing.T) {
	a := NewArbiter(ArbiterConfig{})
	incarnations := make([]string, 1500)
	for i := range incarnations {
		incarnations[i] = fmt.Sprint(i)
	}
	for i := range maxNodes + 9 {
		a.ReceivePull(startTime, fmt.Sprint(i), incarnations[:1500*((maxNodes+9-i)/maxNodes)], nil) // the first few report long lists
	}
	var w WatchReport
	for _, life := range incarnations {
		w.Missed, w.Unheard = append(w.Missed, Report{life, life}), append(w.Unheard, life)
	}
	for i := range maxControllers + 9 {
		a.ReceiveReport(startTime, fmt.Sprint(i), w)
	}
	must.NoError(t, a.Check())
	must.LessEq(t, maxReports, len(a.WatchReport(startTime).Missed))
	a.Tick(startTime.Add(time.Minute), nil)
	must.MapEmpty(t, a.pulls)
	must.MapEmpty(t, a.controllers)
	d := New(Config{Self: makeNodes(1, 1)[0]}, startTime)
	d.SetNodes(startTime, makeNodes(maxNodes+9, 3))
	must.Eq(t, maxNodes-1, len(d.peers))
}

// A mixer that a controller has just begun to monitor may still pull there; until then it is not confirmed alive.
func TestNewlyMonitoredMixerIsGivenTime(t *testing.T) {
	list := makeNodes(5, 2)
	a := NewArbiter(ArbiterConfig{Period: time.Second})
	a.SetNodes(list)
	monitored := []Monitored{{Incarnation: list[0].Incarnation}}
	must.SliceEmpty(t, a.Tick(startTime, monitored))
	must.Eq(t, []string{list[0].Incarnation}, a.WatchReport(startTime).Unheard)
	must.SliceEmpty(t, a.Tick(startTime.Add(2*time.Second), monitored))
	must.Eq(t, []string{list[0].Incarnation}, a.Tick(startTime.Add(2100*time.Millisecond), monitored))
	must.SliceEmpty(t, a.Tick(startTime.Add(2300*time.Millisecond), monitored))
}

func BenchmarkTick60(b *testing.B) {
	list := makeNodes(60, 4)
	d := New(Config{Self: list[0]}, startTime)
	d.SetNodes(startTime, list)
	for i := 0; b.Loop(); i++ {
		d.Tick(startTime.Add(time.Duration(i) * 500 * time.Millisecond))
	}
}

func BenchmarkSetNodes(b *testing.B) {
	for _, n := range []int{60, 830} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := makeNodes(n, 4)
			d := New(Config{Self: list[0]}, startTime)
			for b.Loop() {
				d.SetNodes(startTime, list)
			}
		})
	}
}
