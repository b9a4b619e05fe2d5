package overload

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Each mood by its symptoms, and what is none of them: fresh demand is not a storm, one bad second is nothing, and the
// last of a storm's repeats are recovery.
func TestMoods(t *testing.T) {
	calm := Report{First: 100, Done: 99, Turned: 1}
	for _, c := range []struct {
		name string
		see  []Report
		want Mood
	}{
		{"calm", []Report{calm}, Calm},
		{"nothing is asked for", []Report{{}}, Calm},
		{"twice the demand, first tries", []Report{{First: 200, Again: 30, Done: 120, Turned: 110}}, Overload},
		{"twice the demand, and all of it comes again", []Report{{First: 200, Again: 150, Done: 120, Turned: 230}}, Overload},
		{"the usual demand, and what is lost comes again", []Report{{First: 100, Again: 120, Done: 80, Turned: 140}}, Storm},
		{"nothing is done", []Report{{First: 100, Again: 60, Done: 5, Failed: 155}}, Outage},
		{"back, repeats to come", []Report{{First: 100, Again: 60, Done: 5, Failed: 155}, {First: 100, Again: 40, Done: 138, Turned: 2}}, Recovery},
		{"and over", []Report{{First: 100, Again: 60, Done: 5, Failed: 155}, {First: 100, Again: 40, Done: 138, Turned: 2}, calm}, Calm},
		{"late, though all is done", []Report{{First: 100, Done: 100, Pressure: 1.4}}, Overload},
	} {
		j, err := NewJudge(Patience{Enter: 2 * s, Leave: 4 * s})
		if err != nil {
			t.Fatal(err)
		}
		now := time.Duration(0)
		see := func(r Report, for_ time.Duration) {
			for end := now + for_; now < end; now += s {
				j.See(now, r)
			}
		}
		see(calm, 10*s)
		for _, r := range c.see {
			if see(r, 2*s); len(c.see) == 1 && c.want != Calm && j.Mood() != Calm {
				t.Errorf("%s: %v at once", c.name, j.Mood())
			}
			see(r, 8*s)
		}
		if j.Mood() != c.want {
			t.Errorf("%s: %v, not %v", c.name, j.Mood(), c.want)
		}
	}
}

// At the edge of a bound the mood does not change to and fro.
func TestNoFlapping(t *testing.T) {
	j, _ := NewJudge(Patience{Enter: 2 * s, Leave: 6 * s})
	dice := rand.New(rand.NewPCG(1, 2))
	changes, last := 0, Calm
	for now := time.Duration(0); now < 600*s; now += s {
		lost := 4 + 3*dice.Float64()
		if m := j.See(now, Report{First: 100, Done: 100 - lost, Turned: lost}); m != last {
			changes, last = changes+1, m
		}
	}
	if changes > 2 {
		t.Errorf("%d changes in ten minutes", changes)
	}
}

// What is let in fits the room; a bin is let in only once all before it are; within shares comes before beyond.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(r, "bins")
		var bins []Bin
		var asked []float64
		for range n {
			bins = append(bins, Bin{rapid.Float64Range(0.1, 5).Draw(r, "worth"), rapid.Bool().Draw(r, "within")})
			asked = append(asked, rapid.Float64Range(0, 100).Draw(r, "asked"))
		}
		room := rapid.Float64Range(0, 300).Draw(r, "room")
		let, sum, all := Divide(bins, asked, room), 0.0, 0.0
		for i := range let {
			sum, all = sum+let[i]*asked[i], all+asked[i]
			for k := range let {
				before := bins[i].Within && !bins[k].Within || bins[i].Within == bins[k].Within && bins[i].Worth > bins[k].Worth
				if before && let[i] < 1 && let[k] > 0 && asked[k] > 0 {
					r.Fatalf("bin %d is shed, and %d behind it is let in: %v %v %v", i, k, bins, asked, let)
				}
			}
		}
		if math.Abs(sum-min(room, all)) > 1e-6 {
			r.Fatalf("%g let in, room for %g of %g", sum, room, all)
		}
	})
}

// Against searchers that do 100 parts a second, whatever is let in, the room settles near that; it opens when they do more,
// and an outage or calm knows no bound.
func TestRoomSettles(t *testing.T) {
	r := NewRoom(0)
	let, can := 300.0, 100.0
	now := time.Duration(0)
	settle := func() {
		for end := now + 60*s; now < end; now += s / 4 {
			let = min(300, r.See(now, Overload, Report{Carried: min(let, can), Pressure: 0.5 + 0.5*min(1, let/can), Bins: []float64{200, 100}}))
		}
	}
	settle()
	if let < 95 || let > 120 {
		t.Errorf("%g let in, and 100 can be done", let)
	}
	can = 200
	if settle(); let < 190 || let > 240 {
		t.Errorf("%g let in, and 200 can be done", let)
	}
	// Chance: a little less is done than let in, and all of it at once.
	can = 1000
	for end := now + 30*s; now < end; now += s / 4 {
		let = min(300, r.See(now, Storm, Report{Carried: 0.9 * let, Pressure: 0.3, Bins: []float64{200, 100}}))
	}
	if let < 300 {
		t.Errorf("%g let in of 300, and nothing is short of room", let)
	}
	for _, m := range []Mood{Outage, Calm} {
		if x := r.See(now, m, Report{Bins: []float64{300}}); !math.IsInf(x, 1) {
			t.Errorf("%g in %v", x, m)
		}
	}
}

// Of 20 instances that share only a seed's phases, those turned away in one second come back at no more than the room
// foreseen, evenly; where no time is left they are told the latest.
func TestReturnsAddUp(t *testing.T) {
	const n, room, turned = 20, 100.0, 900
	var back []time.Duration
	late := 0
	for i := range n {
		r := NewReturns(float64(i) / n)
		for k := range turned / n {
			in, ok := r.In(time.Duration(k)*s/(turned/n), s/2, 12*s, room/n)
			if back = append(back, time.Duration(k)*s/(turned/n)+in); !ok {
				late++
			}
		}
	}
	slices.Sort(back)
	most := 0
	for i, from := range back {
		k := i
		for k < len(back) && back[k] < from+s {
			k++
		}
		most = max(most, k-i)
	}
	if late > 0 || float64(most) > 1.25*room {
		t.Errorf("%d come back within a second, room for %g; %d have no time", most, room, late)
	}
	r := NewReturns(0.5)
	for range 100 {
		r.In(0, s, 2*s, 1)
	}
	if in, ok := r.In(0, s, 2*s, 1); ok || in != 2*s {
		t.Errorf("%v %v", in, ok)
	}
}

// A share is the tenant's over the whole fleet, and its own worthiest work fills it; worth counts by the part.
func TestKindsLet(t *testing.T) {
	k := Kinds{Benefit: []float64{2, 3}, Quota: []float64{10, 10}}
	sum := Report{Scans: make([]float64, k.Len()), Bins: make([]float64, k.Len())}
	set := func(class, tenant int, scans, parts float64) {
		sum.Scans[k.Bin(class, tenant)], sum.Bins[k.Bin(class, tenant)] = scans, scans*parts
	}
	set(0, 0, 40, 1) // ten of these lie within its share: they are worth 2 a part, the others 1
	set(1, 0, 10, 3)
	set(1, 1, 8, 3)
	set(0, -1, 5, 1)
	let := k.Let(sum, 10+24)
	if let[k.Bin(0, 0)] != 0.25 || let[k.Bin(1, 1)] != 1 || let[k.Bin(1, 0)] != 0 || let[k.Bin(0, -1)] != 0 {
		t.Errorf("%v", let)
	}
	// With more room, those beyond come in by worth, and those of no tenant among them.
	if let = k.Let(sum, 10+24+35); let[k.Bin(0, 0)] != 1 || let[k.Bin(0, -1)] != 1 || let[k.Bin(1, 0)] != 0 {
		t.Errorf("%v", let)
	}
	if let = k.Let(Report{Scans: []float64{math.NaN(), -1}, Bins: []float64{math.Inf(-1)}}, 5); len(let) != k.Len() {
		t.Errorf("%v", let)
	}
}
