package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const s = time.Second

func terms(n int) Terms {
	return Terms{Rate: 10 * float64(n), Burst: s, Instances: n, Kept: 0.25, Lease: 8 * s, Leap: s}
}

func budget(t *testing.T, set Terms, me string, inc uint64, now time.Duration) *Budget {
	b, err := NewBudget(set, me, inc, now)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// ledger checks from outside that no span has more spent in it than all together may.
type ledger struct {
	set   Terms
	at    []time.Duration
	spent []float64
}

func (l *ledger) take(at time.Duration, n float64) {
	l.at, l.spent = append(l.at, at), append(l.spent, n)
}

// worst is the most spent in any span over what may be, in shares of the latter.
func (l *ledger) worst() (worst float64) {
	for i := range l.at {
		sum := 0.0
		for j := i; j < len(l.at); j++ {
			sum += l.spent[j]
			may := l.set.Rate * ((l.at[j] - l.at[i]).Seconds() + l.set.Burst.Seconds())
			worst = max(worst, sum/may)
		}
	}
	return worst
}

// play has budgets spend all they can under random faults, by a seed: words lost, doubled and late, cuts, sleeps,
// restarts, clocks that run apart or jump. It gives the most spent over what may be. plant is done to each budget at
// its start and after each step of its clock.
func play(seed uint64, plant func(b *Budget, first bool)) float64 {
	dice := rand.New(rand.NewPCG(seed, 1))
	one := func(in int) bool { return dice.IntN(in) == 0 }
	n := 2 + dice.IntN(3)
	set := terms(n)
	l := &ledger{set: set}
	all, incs, skew, jump := make([]*Budget, n), make([]uint64, n), make([]float64, n), make([]time.Duration, n)
	sleeps, greedy := make([]time.Duration, n), make([]bool, n)
	now := time.Duration(0)
	clock := func(i int) time.Duration { return time.Duration(float64(now)*skew[i]) + jump[i] }
	begin := func(i int) {
		incs[i]++
		b, err := NewBudget(set, fmt.Sprint(i), incs[i], clock(i))
		if err != nil {
			panic(err)
		}
		plant(b, true)
		all[i] = b
	}
	for i := range n {
		skew[i] = []float64{1, 1.004, 0.996}[dice.IntN(3)]
		begin(i)
	}
	type word struct {
		at   time.Duration
		to   int
		ask  *Ask
		loan *Loan
	}
	var flying []word
	send := func(to string, ask *Ask, loan *Loan) {
		i, _ := strconv.Atoi(to)
		for range []int{1, 1, 1, 1, 2, 0}[dice.IntN(6)] {
			late := []time.Duration{s / 20, s / 20, s / 20, s, 6 * s}[dice.IntN(5)]
			flying = append(flying, word{now + late, i, ask, loan})
		}
	}
	cut := false
	for ; now < 60*s; now += s / 4 {
		if now%(3*s) == 0 {
			cut = one(4)
			for i := range greedy {
				greedy[i] = one(2)
			}
			switch i := dice.IntN(n); dice.IntN(8) {
			case 0:
				sleeps[i] = now + time.Duration(1+dice.IntN(12))*s
			case 1, 2:
				begin(i)
			case 3:
				jump[i] += time.Duration(dice.IntN(40)-10) * s
			}
		}
		var left []word
		due := flying
		flying = nil
		for _, w := range due {
			b := all[w.to]
			switch {
			case w.at > now || now < sleeps[w.to]:
				left = append(left, w)
			case cut && w.to == 0:
			case w.ask != nil:
				b.At(clock(w.to))
				if loan, ok := b.Asked(*w.ask, true); ok {
					send(loan.To, nil, &loan)
				}
			default:
				b.At(clock(w.to))
				b.Lent(*w.loan)
			}
		}
		flying = append(left, flying...)
		for i, b := range all {
			if now < sleeps[i] {
				continue
			}
			b.At(clock(i))
			plant(b, false)
			for greedy[i] && b.Take(1) {
				l.take(now, 1)
			}
			spare := map[string]Spare{}
			for j, o := range all {
				if j != i && now >= sleeps[j] {
					spare[fmt.Sprint(j)] = Spare{incs[j], o.Spare()}
				}
			}
			for _, a := range b.Asks(spare) {
				send(a.To, &a, nil)
			}
		}
	}
	return l.worst()
}

// In no span, under any of these faults, do all together spend more than the fleet's figure and burst allow. Clocks run
// 0.4 percent apart here, which alone makes a rate so much higher.
func TestTheFleetNeverSpendsMore(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		if w := play(rapid.Uint64().Draw(r, "seed"), func(*Budget, bool) {}); w > 1.005 {
			r.Fatalf("spent %.3f times what may be", w)
		}
	})
}

// The checker above tells of faults planted in the budget.
func TestPlantedFaultsAreTold(t *testing.T) {
	for name, plant := range map[string]func(b *Budget, first bool){
		"what was lent before a restart is forgotten": func(b *Budget, first bool) {
			if first {
				b.lent = nil
			}
		},
		"a loan runs at a third of the pace": func(b *Budget, _ bool) {
			for i := range b.owed {
				b.owed[i].left += s / 6
			}
		},
		"a lender has it back too early": func(b *Budget, _ bool) {
			for i := range b.lent {
				b.lent[i].left -= s / 4
			}
		},
		"a jump of the clock counts as time": func(b *Budget, _ bool) {
			for i := range b.lent { // the lock is as long as before
				b.lent[i].left = min(b.lent[i].left, time.Duration(float64(b.set.Lease)*drift)+s)
			}
			b.set.Leap = 1000 * s
		},
		"more is saved than may be":        func(b *Budget, _ bool) { b.set.Burst = 3 * s },
		"the fleet's figure is everyone's": func(b *Budget, _ bool) { b.set.Instances = 1 },
	} {
		told := 0
		for seed := uint64(0); seed < 200 && told == 0; seed++ {
			if play(seed, plant) > 1.005 {
				told++
			}
		}
		if told == 0 {
			t.Errorf("not told: %s", name)
		}
	}
}

// What one has to spare goes to one that lacks it, and comes back by time when the borrower is gone.
func TestLoansFollowNeed(t *testing.T) {
	set := terms(2)
	a, b := budget(t, set, "a", 1, 0), budget(t, set, "b", 1, 0)
	run := func(from, to time.Duration, alive bool) (spent float64) {
		for now := from; now < to; now += s / 10 {
			a.At(now)
			if !alive {
				continue
			}
			for b.At(now); b.Take(1); {
				spent++
			}
			for _, x := range b.Asks(map[string]Spare{"a": {1, a.Spare()}}) {
				if l, ok := a.Asked(x, true); ok {
					b.Lent(l)
				}
			}
		}
		return spent
	}
	run(0, 12*s, true) // what an earlier start may have lent must be back
	if got := run(12*s, 32*s, true) / 20; got < 15 || got > 18 {
		t.Errorf("%.1f a second of 20, where the other needs none and keeps a quarter of its 10", got)
	}
	if r := a.Rate(); r > 4 {
		t.Errorf("the lender may still spend %.1f", r)
	}
	run(32*s, 42*s, false)
	if r := a.Rate(); r != 10 {
		t.Errorf("the borrower is dead for 10 s, and the lender may spend %.1f of its 10", r)
	}
}

func TestWhatIsNotLent(t *testing.T) {
	set := terms(2)
	a, b := budget(t, set, "a", 1, 0), budget(t, set, "b", 1, 0)
	for now := time.Duration(0); now < 12*s; now += s / 2 {
		a.At(now)
		b.At(now)
		b.since += 20
	}
	asks := b.Asks(map[string]Spare{"a": {1, 5}})
	if len(asks) != 1 || len(b.Asks(map[string]Spare{"a": {1, 5}})) != 0 {
		t.Fatalf("%+v", asks)
	}
	if l, ok := a.Asked(asks[0], false); !ok || l.Rate != 0 {
		t.Errorf("lent without the right to: %+v", l)
	}
	l, _ := a.Asked(asks[0], true)
	twice, _ := a.Asked(asks[0], true)
	if l != twice || a.Rate() != 10-l.Rate {
		t.Errorf("asked twice: %+v, %+v, rate %g", l, twice, a.Rate())
	}
	for _, bad := range []Loan{{From: "a", To: "b", ToInc: 2, No: 1, Rate: 1}, {From: "a", To: "b", ToInc: 1, No: 9, Rate: 1},
		{From: "a", To: "b", ToInc: 1, No: 1, Rate: 50}, {From: "a", To: "b", ToInc: 1, No: 1, Rate: math.Inf(-1)}} {
		if b.Lent(bad) {
			t.Errorf("taken: %+v", bad)
		}
	}
	if !b.Lent(l) || b.Lent(l) {
		t.Error("a loan is taken once")
	}
	old := asks[0]
	if old.ToInc = 7; func() bool { _, ok := a.Asked(old, true); return ok }() {
		t.Error("a wish to an earlier start is answered")
	}
	for _, set := range []Terms{{}, {Rate: 1, Instances: 1, Burst: s, Lease: s, Leap: s}, {Rate: 1, Instances: 1, Burst: s, Kept: 2, Lease: 9 * s, Leap: s}} {
		if _, err := NewBudget(set, "a", 1, 0); err == nil {
			t.Errorf("%+v is taken", set)
		}
	}
}
