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

func testConfig(n int) BudgetConfig {
	return BudgetConfig{Rate: 10 * float64(n), Burst: s, Instances: n, ReservedShare: 0.25, Lease: 8 * s, MaxClockStep: s}
}

func newTestBudget(t *testing.T, config BudgetConfig, name string, incarnation uint64, now time.Duration) *Budget {
	b, err := NewBudget(config, name, incarnation, now)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// ledger records what all budgets spend, to check independently that no span exceeds the fleet's limit.
type ledger struct {
	config BudgetConfig
	at     []time.Duration
	spent  []float64
}

func (l *ledger) record(at time.Duration, n float64) {
	l.at, l.spent = append(l.at, at), append(l.spent, n)
}

// worst returns the highest ratio of the amount spent to the amount allowed over all spans.
func (l *ledger) worst() (worst float64) {
	for i := range l.at {
		sum := 0.0
		for j := i; j < len(l.at); j++ {
			sum += l.spent[j]
			allowed := l.config.Rate * ((l.at[j] - l.at[i]).Seconds() + l.config.Burst.Seconds())
			worst = max(worst, sum/allowed)
		}
	}
	return worst
}

// simulate lets budgets spend all they can under random faults derived from a seed: lost, duplicated and delayed
// messages, partitions, pauses, restarts, and clocks that drift or jump. It returns the highest ratio of the amount spent to
// the amount allowed. inject is called on each budget at its start and after each step of its clock.
func simulate(seed uint64, inject func(b *Budget, first bool)) float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	oneIn := func(n int) bool { return rng.IntN(n) == 0 }
	n := 2 + rng.IntN(3)
	config := testConfig(n)
	l := &ledger{config: config}
	all, incarnations, skew, jump := make([]*Budget, n), make([]uint64, n), make([]float64, n), make([]time.Duration, n)
	pausedUntil, greedy := make([]time.Duration, n), make([]bool, n)
	now := time.Duration(0)
	clock := func(i int) time.Duration { return time.Duration(float64(now)*skew[i]) + jump[i] }
	start := func(i int) {
		incarnations[i]++
		b, err := NewBudget(config, fmt.Sprint(i), incarnations[i], clock(i))
		if err != nil {
			panic(err)
		}
		inject(b, true)
		all[i] = b
	}
	for i := range n {
		skew[i] = []float64{1, 1.004, 0.996}[rng.IntN(3)]
		start(i)
	}
	type message struct {
		at      time.Duration
		to      int
		request *LoanRequest
		loan    *Loan
	}
	var inFlight []message
	send := func(to string, request *LoanRequest, loan *Loan) {
		i, _ := strconv.Atoi(to)
		for range []int{1, 1, 1, 1, 2, 0}[rng.IntN(6)] {
			delay := []time.Duration{s / 20, s / 20, s / 20, s, 6 * s}[rng.IntN(5)]
			inFlight = append(inFlight, message{now + delay, i, request, loan})
		}
	}
	partitioned := false
	for ; now < 60*s; now += s / 4 {
		if now%(3*s) == 0 {
			partitioned = oneIn(4)
			for i := range greedy {
				greedy[i] = oneIn(2)
			}
			switch i := rng.IntN(n); rng.IntN(8) {
			case 0:
				pausedUntil[i] = now + time.Duration(1+rng.IntN(12))*s
			case 1, 2:
				start(i)
			case 3:
				jump[i] += time.Duration(rng.IntN(40)-10) * s
			}
		}
		var waiting []message
		due := inFlight
		inFlight = nil
		for _, m := range due {
			b := all[m.to]
			switch {
			case m.at > now || now < pausedUntil[m.to]:
				waiting = append(waiting, m)
			case partitioned && m.to == 0:
			case m.request != nil:
				b.Advance(clock(m.to))
				if loan, ok := b.HandleRequest(*m.request, true); ok {
					send(loan.To, nil, &loan)
				}
			default:
				b.Advance(clock(m.to))
				b.HandleLoan(*m.loan)
			}
		}
		inFlight = append(waiting, inFlight...)
		for i, b := range all {
			if now < pausedUntil[i] {
				continue
			}
			b.Advance(clock(i))
			inject(b, false)
			for greedy[i] && b.Spend(1) {
				l.record(now, 1)
			}
			spare := map[string]PeerSpare{}
			for j, o := range all {
				if j != i && now >= pausedUntil[j] {
					spare[fmt.Sprint(j)] = PeerSpare{incarnations[j], o.Spare()}
				}
			}
			for _, a := range b.LoanRequests(spare) {
				send(a.To, &a, nil)
			}
		}
	}
	return l.worst()
}

// Under any of these faults and over any span, all budgets together spend no more than the fleet's rate and burst allow.
// The clocks run up to 0.4 percent fast or slow, which alone raises a rate by as much; hence the margin of 0.5 percent.
func TestFleetRateIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		if ratio := simulate(rapid.Uint64().Draw(r, "seed"), func(*Budget, bool) {}); ratio > 1.005 {
			r.Fatalf("spent %.3f times what is allowed", ratio)
		}
	})
}

// The check above detects each fault injected into the budget.
func TestInjectedFaultsAreDetected(t *testing.T) {
	for name, inject := range map[string]func(b *Budget, first bool){
		"loans granted before a restart are forgotten": func(b *Budget, first bool) {
			if first {
				b.lent = nil
			}
		},
		"a loan runs at a third of the pace": func(b *Budget, _ bool) {
			for i := range b.borrowed {
				b.borrowed[i].left += s / 6
			}
		},
		"a lender gets its rate back too early": func(b *Budget, _ bool) {
			for i := range b.lent {
				b.lent[i].left -= s / 4
			}
		},
		"a clock jump counts as elapsed time": func(b *Budget, _ bool) {
			for i := range b.lent { // the lender term stays as long as before
				b.lent[i].left = min(b.lent[i].left, time.Duration(float64(b.config.Lease)*maxClockDrift)+s)
			}
			b.config.MaxClockStep = 1000 * s
		},
		"more is saved than the burst allows":   func(b *Budget, _ bool) { b.config.Burst = 3 * s },
		"each instance spends the fleet's rate": func(b *Budget, _ bool) { b.config.Instances = 1 },
	} {
		detected := 0
		for seed := uint64(0); seed < 200 && detected == 0; seed++ {
			if simulate(seed, inject) > 1.005 {
				detected++
			}
		}
		if detected == 0 {
			t.Errorf("not detected: %s", name)
		}
	}
}

// A spare rate is lent to the instance that lacks it, and returns when the loan expires after the borrower has died.
func TestLoansFollowDemand(t *testing.T) {
	config := testConfig(2)
	a, b := newTestBudget(t, config, "a", 1, 0), newTestBudget(t, config, "b", 1, 0)
	run := func(from, to time.Duration, alive bool) (spent float64) {
		for now := from; now < to; now += s / 10 {
			a.Advance(now)
			if !alive {
				continue
			}
			for b.Advance(now); b.Spend(1); {
				spent++
			}
			for _, x := range b.LoanRequests(map[string]PeerSpare{"a": {1, a.Spare()}}) {
				if l, ok := a.HandleRequest(x, true); ok {
					b.HandleLoan(l)
				}
			}
		}
		return spent
	}
	run(0, 12*s, true) // loans that an earlier incarnation may have granted must expire first
	if got := run(12*s, 32*s, true) / 20; got < 15 || got > 18 {
		t.Errorf("%.1f per second of 20, where the other needs none and reserves a quarter of its 10", got)
	}
	if r := a.Rate(); r > 4 {
		t.Errorf("the lender may still spend %.1f", r)
	}
	run(32*s, 42*s, false)
	if r := a.Rate(); r != 10 {
		t.Errorf("the borrower has been dead for 10 s, and the lender may spend %.1f of its 10", r)
	}
}

func TestInvalidLoansAreRefused(t *testing.T) {
	config := testConfig(2)
	a, b := newTestBudget(t, config, "a", 1, 0), newTestBudget(t, config, "b", 1, 0)
	for now := time.Duration(0); now < 12*s; now += s / 2 {
		a.Advance(now)
		b.Advance(now)
		b.requested += 20
	}
	asks := b.LoanRequests(map[string]PeerSpare{"a": {1, 5}})
	if len(asks) != 1 || len(b.LoanRequests(map[string]PeerSpare{"a": {1, 5}})) != 0 {
		t.Fatalf("%+v", asks)
	}
	if l, ok := a.HandleRequest(asks[0], false); !ok || l.Rate != 0 {
		t.Errorf("lent without permission: %+v", l)
	}
	l, _ := a.HandleRequest(asks[0], true)
	twice, _ := a.HandleRequest(asks[0], true)
	if l != twice || a.Rate() != 10-l.Rate {
		t.Errorf("duplicate request: %+v, %+v, rate %g", l, twice, a.Rate())
	}
	for _, bad := range []Loan{{From: "a", To: "b", ToInc: 2, No: 1, Rate: 1}, {From: "a", To: "b", ToInc: 1, No: 9, Rate: 1},
		{From: "a", To: "b", ToInc: 1, No: 1, Rate: 50}, {From: "a", To: "b", ToInc: 1, No: 1, Rate: math.Inf(-1)}} {
		if b.HandleLoan(bad) {
			t.Errorf("accepted: %+v", bad)
		}
	}
	if !b.HandleLoan(l) || b.HandleLoan(l) {
		t.Error("a loan must be accepted exactly once")
	}
	old := asks[0]
	if old.ToInc = 7; func() bool { _, ok := a.HandleRequest(old, true); return ok }() {
		t.Error("a request to an earlier incarnation is answered")
	}
	for _, config := range []BudgetConfig{{}, {Rate: 1, Instances: 1, Burst: s, Lease: s, MaxClockStep: s}, {Rate: 1, Instances: 1, Burst: s, ReservedShare: 2, Lease: 9 * s, MaxClockStep: s}} {
		if _, err := NewBudget(config, "a", 1, 0); err == nil {
			t.Errorf("%+v is accepted", config)
		}
	}
}
