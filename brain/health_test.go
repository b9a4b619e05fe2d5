package brain

import (
	"strings"
	"testing"
	"time"
)

// At its floor exactly a scan was lost with any one of its parts.
func TestNarrowScansOutliveALostPart(t *testing.T) {
	w := newWorld(settings(partial()), 1, 2)
	w.m.cls[0].share = 0
	w.run(100 * tms) // a beat brings the share back to its least
	ss, ws := even(8, 8)
	id := w.scan(0, time.Second, ss, ws)
	last := w.scans[id].parts[0]
	for _, p := range w.scans[id].parts {
		if len(w.parts[p].tries) > 0 {
			last = p
		}
	}
	w.m.parts.at[w.m.byID[last]].lost = true
	w.run(2 * time.Second)
	if w.scans[id].answered != 1 {
		t.Error("not answered")
	}
}

// A scan that cannot reach its floor was held to its target; one that can was held for shards nobody holds.
func TestShardWithoutHolderIsNotWaitedFor(t *testing.T) {
	w := newWorld(settings(table(), partial()), 1, 1)
	w.tell(0, Gone, LongAgo)
	w.tell(1, Gone, LongAgo) // shards 0 and 4 have no holder left
	ss, ws := even(8, 8)
	whole, part := w.scan(0, 2*time.Second, ss, ws), w.scan(1, 2*time.Second, ss, ws)
	w.run(200 * tms)
	if a, b := w.scans[whole], w.scans[part]; !a.ended || a.answered != 0 || b.answered != 1 {
		t.Error(w.log)
	}
}

// A hot heavy shard was asked by every scan while light ones were spared.
func TestHopelessHeavyPartIsLeftOut(t *testing.T) {
	w := newWorld(settings(partial()), 1, 1)
	for i := range w.m.srvs {
		w.m.srvs[i].lat = smooth{v: []float64{3, 3, 0.1, 0.1}[i], heard: true}
	}
	id := w.scan(0, 2*time.Second, []int{0, 1, 2, 3}, []float64{0.4, 0.2, 0.2, 0.2})
	for i, p := range w.scans[id].parts {
		if sent := len(w.parts[p].tries) > 0; sent != (i > 0) {
			t.Errorf("part %d sent: %v", i, sent)
		}
	}
}

// With resets everywhere, keeping off a searcher for each left nobody to send to. Over ten draws: one alone swings
// from 100 to 155 times with any change of an order.
func TestSingleResetsAreExcused(t *testing.T) {
	off, done := 0, 0
	for seed := range int64(10) {
		w := newWorld(settings(table()), seed, 2)
		load(w, 0, 4, 50*tms, time.Second)
		w.run(time.Second)
		w.log = nil
		for k := range 80 {
			for i := range w.srvs {
				w.srvs[i].mood = []Outcome{Cut, Pass, Pass, Pass, Pass}[(k+i)%5]
			}
			load(w, 0, 4, 50*tms, 50*tms)
			for i := range w.m.srvs {
				off += b2i(w.m.srvs[i].box > w.now)
			}
		}
		w.run(time.Second)
		done += w.said("complete true")
	}
	if done < 720 || off > 1500 {
		t.Errorf("%d of 800 completed, %d times kept off", done, off)
	}
}

// Without second copies a keyed part sat at a silent searcher till it was too late to send it again.
func TestKeyedPartLeavesASilentSearcher(t *testing.T) {
	for window, want := range map[time.Duration]int{time.Second: 1, 50 * tms: 0} {
		s := settings(table())
		s.SecondCopies, s.Types[0].Effect, s.Types[0].RepeatWindow = false, Keyed, window
		w := newWorld(s, 1, 2)
		load(w, 0, 4, 50*tms, time.Second)
		w.moods(TooSlow)
		id := w.scan(0, 2*time.Second, []int{0}, []float64{1})
		w.moods(Pass)
		w.run(time.Second)
		if w.scans[id].answered != want || w.broken != "" {
			t.Errorf("window %v: answered %d times %s", window, w.scans[id].answered, w.broken)
		}
	}
}

// Searchers back from a crash the list had not told of were met by all that waited, and fell over.
func TestUnreachableSearchersAreMetGently(t *testing.T) {
	w := newWorld(settings(table()), 1, 2)
	load(w, 0, 4, 20*tms, time.Second)
	w.moods(NoRoute)
	for k := range 150 {
		load(w, 0, 4, 20*tms, 20*tms)
		for i := range w.m.srvs {
			if n := w.m.srvs[i].parts; n > 1 && k > 100 {
				t.Fatalf("%d parts out at an unreachable searcher", n)
			}
		}
	}
	for i := range w.srvs {
		w.srvs[i].mood, w.srvs[i].sends = Pass, nil
	}
	load(w, 0, 4, 20*tms, 2*time.Second)
	for i := range w.srvs {
		if n := len(w.srvs[i].sends); n < 2 || n > 20 {
			t.Errorf("%d parts in two seconds to a searcher just back", n)
		}
	}
}

// unreachable is a settled world whose first searcher a part has failed to reach a second ago.
func unreachable() *world {
	w := settled()
	w.srvs[0].mood = NoRoute
	for w.srvs[0].sends = nil; len(w.srvs[0].sends) == 0; {
		load(w, 0, 8, 20*tms, 20*tms) // until a part meets it
	}
	w.run(time.Second)
	return w
}

// A mixer of a large fleet sees a scan every second or so: a searcher it could not reach, once its short
// keeping-off was over, met nearly every scan again and cost a part the connect time, while sound holders
// stood by.
func TestAnUnreachableSearcherWaitsBehindSoundOnes(t *testing.T) {
	w := unreachable()
	w.srvs[0].sends = nil
	for range 8 { // scans of all shards, one a second, short of when a list could have told of it
		load(w, 0, 8, time.Second, time.Second)
	}
	if n := len(w.srvs[0].sends); n > 0 || w.broken != "" {
		t.Errorf("%d parts risked at an unreachable searcher beside sound holders %s", n, w.broken)
	}
}

// A searcher that could not be reached and is told to have started anew is a new process: it is used again at
// once, within its cold budget, and not kept behind the others as the earlier one was.
func TestARestartedSearcherIsNoLongerUnreachable(t *testing.T) {
	w := unreachable()
	w.srvs[0].mood = Pass
	w.tell(0, Ready, w.now)
	w.srvs[0].sends = nil
	for range 4 {
		load(w, 0, 8, time.Second, time.Second)
	}
	if n := len(w.srvs[0].sends); n == 0 || w.broken != "" {
		t.Errorf("%d parts to a searcher told to have restarted %s", n, w.broken)
	}
}

func TestFailingSearcherIsTriedByOnePart(t *testing.T) {
	w := newWorld(settings(table()), 1, 1)
	w.m.srvs[0].lat, w.m.srvs[1].lat = smooth{v: 0.01, heard: true}, smooth{v: 0.2, heard: true}
	w.m.srvs[0].fails = 1
	w.scan(0, 2*time.Second, []int{0, 0, 0}, []float64{0.4, 0.3, 0.3})
	if text := strings.Join(w.log, "\n") + "\n"; strings.Count(text, " 0\n") != 1 {
		t.Error(text)
	}
}

// Connections dropped unseen while idle lost every part of mixers that meet each searcher seldom.
func TestIdleConnectionsThatLoseAreRenewed(t *testing.T) {
	w := newWorld(settings(table()), 1, 2)
	load(w, 0, 4, 50*tms, time.Second)
	for i := range w.srvs {
		w.srvs[i].reap = 900 * tms
	}
	load(w, 0, 8, 2*time.Second, 20*time.Second)
	w.log = nil
	load(w, 0, 8, 2*time.Second, 20*time.Second)
	if n := w.said("complete true"); n < 9 {
		t.Errorf("%d of 10 scans completed", n)
	}
}

// A mixer of few scans forgot a jam in the second between two of them, and sent the next one whole into it.
func TestAJamIsRememberedBetweenScans(t *testing.T) {
	w := newWorld(settings(partial()), 1, 2)
	w.m.lat, w.m.cls[0].thr = smooth{v: 0.8, heard: true}, 0.3
	w.run(2 * time.Second)
	if s := w.m.cls[0].share; s > 0.6 || w.m.lat.v < 0.4 {
		t.Errorf("share %v at a latency of %v", s, w.m.lat.v)
	}
	w.run(30 * time.Second)
	if s := w.m.cls[0].share; s < 1 {
		t.Errorf("share %v long after", s)
	}
}

// Scans that crash every searcher which begins a part of them took three searchers a part.
func TestScanThatCutsOffItsPartsGoesNoFurther(t *testing.T) {
	w := settled()
	w.moods(Cut)
	w.log = nil
	ss, ws := even(4, 8)
	w.scan(0, 2*time.Second, ss, ws)
	w.run(200 * tms)
	if n := w.said("dispatch"); n > 5 || len(w.m.byNo) != 0 {
		t.Errorf("%d dispatches: %v", n, w.log)
	}
}

// Wide scans still in time themselves made narrow ones of another table type late, and went on asking everybody.
func TestWideScansGiveWayToOthersThatAreLate(t *testing.T) {
	for _, late := range []bool{false, true} {
		w := newWorld(settings(partial(), table()), 1, 2)
		w.m.lat, w.m.fast, w.m.out = smooth{v: 0.4, heard: true}, smooth{v: 0.05, heard: true}, 1
		if late {
			w.m.cls[1].thr = 0.3
		}
		w.run(time.Second)
		if s := w.m.cls[0].share; late != (s < 0.8) {
			t.Errorf("others late %v: share %v", late, s)
		}
		w.m.out = 0
	}
}

// A few hung searchers made every scan with a part there teach that all are late.
func TestPartsAtSickSearchersDoNotMakeAScanLong(t *testing.T) {
	w := settled()
	ss, ws := even(4, 8)
	id := w.scan(0, 2*time.Second, ss, ws)
	p := w.m.parts.at[w.m.byID[w.scans[id].parts[3]]]
	w.m.srvs[p.tries[0].srv].box = w.now + time.Hour
	w.parts[w.scans[id].parts[3]].tries[0].out = false // it never comes back
	w.run(100 * tms)
	if sc := &w.m.scans.at[w.m.byNo[id]]; sc.most == 0 || sc.pass != 3 {
		t.Errorf("%d parts in, most at %v", sc.pass, sc.most)
	}
	w.run(2 * time.Second)
}

// At full size each mixer lost parts at each hung searcher for the first time; those heard from are preferred.
func TestUnheardSearchersCountWhatTheirLikeLose(t *testing.T) {
	w := newWorld(settings(table()), 1, 1)
	w.m.srvs[0].lat, w.m.srvs[0].heard = smooth{v: 0.3, heard: true}, 1 // cells 0 and 1 hold shard 0
	w.m.srvs[2].lat = smooth{v: 0.1, heard: true}
	w.m.ListEnd(Changes)
	for lost, want := range map[float64]int32{0: 1, 0.8: 0} {
		w.m.strange.v = lost
		if got := w.m.pick(&part{shard: 0}, 1); got != want {
			t.Errorf("%v lost among the unheard: sent to %d", lost, got)
		}
	}
}

// Copies of lost parts ran into an allowance meant for slow ones.
func TestCopiesThatOvertakeEarnFurtherOnes(t *testing.T) {
	w := newWorld(settings(table()), 1, 2)
	load(w, 0, 4, 50*tms, time.Second)
	w.m.extra.level = 2
	w.moods(TooSlow)
	ss, ws := even(4, 8)
	w.scan(0, 2*time.Second, ss, ws)
	w.moods(Pass)
	w.run(900 * tms)
	if n := len(w.agains); n < 4 {
		t.Errorf("%d copies for four lost parts", n)
	}
}

// What each of many mixers held to be its least added up to more than a cold searcher can take.
func TestManyMixersShareAColdSearcher(t *testing.T) {
	s, sent := settings(table()), 0
	s.Mixers = 90
	for k := range s.Mixers {
		s.Seed = uint64(k)
		w := newWorld(s, int64(k), 1)
		w.m.lat, w.m.fast = smooth{v: 0.2, heard: true}, smooth{v: 0.2, heard: true}
		w.tell(0, Ready, w.now)
		w.run(time.Duration(w.r.Int63n(int64(s.FallSpan))))
		w.scan(0, 2*time.Second, []int{0}, []float64{1})
		sent += len(w.srvs[0].sends)
	}
	// One core that takes 0.2 s a part, at the least cold share, for the span, times the multiple.
	if most := s.FallMultiple * s.ColdShare * s.FallSpan.Seconds() / 0.2 * 2; float64(sent) > most {
		t.Errorf("%d parts in one span, %.0f for two cores", sent, most)
	}
}

// One such scan of a hundred parts took down the whole fleet, and again when its client repeated it.
func TestRepeatsGoOutByOnePartWhileConnectionsBreak(t *testing.T) {
	w := settled()
	w.m.wary = w.now + time.Second
	ss, ws := even(4, 8)
	for _, mood := range []Outcome{Cut, Pass} {
		w.moods(mood)
		w.log = nil
		id := w.scanOf(0, -1, 2*time.Second, ss, ws, true)
		first := len(w.log)
		w.run(500 * tms)
		n := w.said("dispatch")
		if sc := w.scans[id]; first != 1 || !sc.ended || mood == Cut && n != 2 || mood == Pass && sc.answered != 1 {
			t.Errorf("outcome %d: %d at once, %d in all: %v", mood, first, n, w.log)
		}
	}
}

// Two wide scans at once had narrow ones turned away from searchers that were half idle: the time in which all that
// is out would pass was taken for a part latency, and counted once for each that a scan takes.
func TestWhatIsOutDrainsOnce(t *testing.T) {
	for _, c := range []struct {
		lat  float64
		out  int
		want bool
	}{{0.01, 600, true}, {0.01, 700, false}, {0.3, 300, true}, {0.4, 300, false}} {
		w := settled()
		w.m.known, w.m.peak, w.m.rate.v, w.m.carried, w.m.out = knownLeast, 1000, 100, 0.01, c.out
		w.m.mid, w.m.cls[0].ratio.v = c.lat, 3
		ss, ws := even(4, 8)
		id := w.scan(0, 2*time.Second, ss, ws)
		if _, taken := w.m.byNo[id]; taken != c.want {
			t.Errorf("latency %v, %d out: taken %v", c.lat, c.out, taken)
		}
	}
}
