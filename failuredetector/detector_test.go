package failuredetector

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var begin = time.Unix(1e9, 0)

func some(n, zones int) (list []Node) {
	for i := range n {
		list = append(list, Node{Life: fmt.Sprintf("agent/m%d/%x", i, i*i), Zone: fmt.Sprint("z", i%zones), Region: fmt.Sprint("r", i%zones/2),
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7084)})
	}
	return list
}

func TestHeartbeatOnTheWire(t *testing.T) {
	for _, no := range []uint64{0, 1, 127, 128, 1 << 40, 1<<64 - 1} {
		b := AppendHeartbeat(nil, 42, no)
		key, got, ok := ReadHeartbeat(b)
		must.True(t, ok && key == 42 && got == no && len(b) <= DatagramMost)
		for _, bad := range [][]byte{nil, b[:len(b)-1], append(b[:len(b):len(b)], 0), append([]byte{1}, b[1:]...), make([]byte, 2000)} {
			_, _, ok := ReadHeartbeat(bad)
			must.False(t, ok, must.Sprintf("%x", bad))
		}
	}
}

// A mixer that comes or goes moves the watch of few others.
func TestRingMovesFew(t *testing.T) {
	list := some(60, 4)
	ring, less := NewRing(list), NewRing(list[1:])
	moved := 0
	for i := range list[1:] {
		a, b := ring.Watchers(&list[i+1]), less.Watchers(&list[i+1])
		must.Len(t, Watchers, a)
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

// What one mixer's heartbeats take, with 28 bytes of headers each: within a region, and from one that is alone in its own.
func TestHeartbeatsAreCheap(t *testing.T) {
	for _, c := range []struct{ mixers, zones, inRegion, across int }{{60, 4, 240, 0}, {9, 9, 240, 130}, {2, 4, 130, 0}} {
		list := some(c.mixers, c.zones)
		for _, me := range list {
			l := New(Config{Me: me}, begin)
			l.Know(begin, list)
			near, far := 0, 0
			for i := range 120 {
				no, to := l.Tick(begin.Add(time.Duration(i) * 500 * time.Millisecond))
				for _, addr := range to {
					size := len(AppendHeartbeat(nil, Key(me.Life), no+1<<20)) + 28
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

func TestHeardOnlyWhatCounts(t *testing.T) {
	list := some(3, 1)
	l := New(Config{Me: list[0]}, begin)
	l.Know(begin, list)
	from, key := list[1].Addr, Key(list[1].Life)
	must.False(t, l.Heard(begin, 99, 5, from), must.Sprint("unknown"))
	must.False(t, l.Heard(begin, key, 5, list[2].Addr), must.Sprint("another's address"))
	must.True(t, l.Heard(begin, key, 5, from))
	must.False(t, l.Heard(begin, key, 5, from), must.Sprint("doubled"))
	must.False(t, l.Heard(begin, key, 4, from), must.Sprint("late"))
	for i := range 8 {
		l.Tick(begin.Add(time.Duration(i) * 500 * time.Millisecond))
	}
	must.Eq(t, []string{list[1].Life}, l.Missed(), must.Sprint("the other is new, and has twice the time"))
	must.True(t, l.Heard(l.now, key, 6, from))
	must.SliceEmpty(t, l.Missed())
}

func TestCheckSeesWhatIsWrong(t *testing.T) {
	list := some(12, 4)
	for i, spoil := range []func(l *Detector, p *peer){
		func(l *Detector, p *peer) { p.watched = !p.watched },
		func(l *Detector, p *peer) { p.missed = true },
		func(l *Detector, p *peer) { l.targets = l.targets[:2] },
		func(l *Detector, p *peer) { l.targets[1] = l.targets[0] },
		func(l *Detector, p *peer) { l.targets[0].halfRate = false },
		func(l *Detector, p *peer) { p.lastHeartbeat = l.now.Add(1) },
	} {
		l := New(Config{Me: list[0]}, begin)
		l.Know(begin, list)
		must.NoError(t, l.Check())
		spoil(l, l.peers[Key(list[3].Life)])
		must.Error(t, l.Check(), must.Sprint(i))
	}
	j := NewJudge(JudgeConfig{})
	j.Know(list)
	must.NoError(t, j.Check())
	j.unheard["x"] = true
	must.Error(t, j.Check())
}

// What others send can't make the state grow.
func TestStateIsBounded(t *testing.T) {
	j := NewJudge(JudgeConfig{})
	lives := make([]string, 1500)
	for i := range lives {
		lives[i] = fmt.Sprint(i)
	}
	for i := range maxNodes + 9 {
		j.Pulled(begin, fmt.Sprint(i), lives[:1500*((maxNodes+9-i)/maxNodes)], nil) // the first few tell much
	}
	var w Word
	for _, l := range lives {
		w.Missed, w.Unheard = append(w.Missed, Report{l, l}), append(w.Unheard, l)
	}
	for i := range maxControllers + 9 {
		j.Told(begin, fmt.Sprint(i), w)
	}
	must.NoError(t, j.Check())
	must.LessEq(t, maxReports, len(j.Word(begin).Missed))
	j.Tick(begin.Add(time.Minute), nil)
	must.MapEmpty(t, j.pulls)
	must.MapEmpty(t, j.controllers)
	l := New(Config{Me: some(1, 1)[0]}, begin)
	l.Know(begin, some(maxNodes+9, 3))
	must.Eq(t, maxNodes-1, len(l.peers))
}

// Who has just come to a core machine may yet pull there; until then no word is given in its name.
func TestWhoHasJustComeIsWaitedFor(t *testing.T) {
	list := some(5, 2)
	j := NewJudge(JudgeConfig{Period: time.Second})
	j.Know(list)
	minded := []Minded{{Life: list[0].Life}}
	must.SliceEmpty(t, j.Tick(begin, minded))
	must.Eq(t, []string{list[0].Life}, j.Word(begin).Unheard)
	must.SliceEmpty(t, j.Tick(begin.Add(2*time.Second), minded))
	must.Eq(t, []string{list[0].Life}, j.Tick(begin.Add(2100*time.Millisecond), minded))
	must.SliceEmpty(t, j.Tick(begin.Add(2300*time.Millisecond), minded))
}

func BenchmarkTick60(b *testing.B) {
	list := some(60, 4)
	l := New(Config{Me: list[0]}, begin)
	l.Know(begin, list)
	for i := 0; b.Loop(); i++ {
		l.Tick(begin.Add(time.Duration(i) * 500 * time.Millisecond))
	}
}

func BenchmarkKnow(b *testing.B) {
	for _, n := range []int{60, 830} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := some(n, 4)
			l := New(Config{Me: list[0]}, begin)
			for b.Loop() {
				l.Know(begin, list)
			}
		})
	}
}
