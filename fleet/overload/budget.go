package overload

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Terms are what a budget's instances are told at their start, the same for all: how much the fleet may spend on one
// kind of thing (further dispatches, probes, new connections, list calls, parts for cold searchers).
type Terms struct {
	Rate      float64       // a second, all instances together
	Burst     time.Duration // of its rate that an instance may save up
	Instances int           // how many run at the same time, at most
	Kept      float64       // share of its own part that an instance never lends
	Lease     time.Duration // how long a loan runs
	Leap      time.Duration // a step of the clock over this, or backwards, is a sleep
}

// Check says what no budget could work with.
func (t *Terms) Check() error {
	switch {
	case t.Rate <= 0 || t.Instances < 1 || t.Burst <= 0:
		return fmt.Errorf("budget: rate %g, %d instances, burst %v; all above 0", t.Rate, t.Instances, t.Burst)
	case t.Kept < 0 || t.Kept > 1:
		return fmt.Errorf("budget: kept %g; 0 to 1", t.Kept)
	case t.Leap <= 0 || t.Lease < 4*t.Leap:
		return fmt.Errorf("budget: lease %v, leap %v; a lease of four leaps or more", t.Lease, t.Leap)
	}
	return nil
}

// Ask is a wish for a loan, and Loan the answer to it. Both may be lost, come twice, late or in another order.
type Ask struct {
	From, To   string
	Inc, ToInc uint64
	No         uint64
	Rate       float64
}

type Loan struct {
	From, To   string
	Inc, ToInc uint64
	No         uint64
	Rate       float64 // 0: nothing to lend
}

// lent is what this instance must do without. It starts when the wish came, after the borrower's time began.
type lent struct {
	to   string
	inc  uint64
	no   uint64
	rate float64
	left time.Duration
}

// owed is what this instance has of another, or waits for. It starts when the wish left.
type owed struct {
	from   string
	no     uint64
	wished float64
	rate   float64 // 0 till the loan is here
	left   time.Duration
}

// Budget is one instance's part of a fleet's budget. The fleet's figure is divided once and for all into equal parts;
// what moves is lent, by the one whose part it is, who does without it for longer than the borrower may use it. So
// whoever is cut off, dies or sleeps, all together never spend more than
//
//	Rate x span + Rate x Burst
//
// in any span (At comes first, under the same reading of the clock as what is spent, and no rarer than every Leap): no vote, leader or common belief is needed for that, and a view is asked only for whether lending helps.
// What the dead had of others is theirs again when its time is over; the part of one that is gone is not spent.
type Budget struct {
	set   Terms
	me    string
	inc   uint64
	now   time.Duration
	level float64
	no    uint64
	lent  []lent
	owed  []owed
	want  float64 // what was wished to be spent of late, a second
	since float64 // the same since the last look
	look  time.Duration
}

const (
	drift     = 1.01 // clocks run no further apart over a lease
	wantSpan  = time.Second
	waitPart  = 4    // of a lease: so long an answer is waited for
	askShare  = 1.25 // of its own rate that one wants before it asks
	loansMost = 64   // loans in hand, either way
)

// NewBudget makes the budget of an instance that has just started. Its first incarnation may have spent its part
// already and lent some: it begins with nothing saved, and its loans' time must pass before it may spend at all.
func NewBudget(set Terms, me string, inc uint64, now time.Duration) (*Budget, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	b := &Budget{set: set, me: me, inc: inc, now: now, look: now}
	// What was lent before this start is not known any more: all that may be lent counts as lent, till it must be back.
	if lendable := b.own() * (1 - set.Kept); lendable > 0 {
		b.lent = []lent{{rate: lendable, left: b.lock()}}
	}
	return b, nil
}

// own is this instance's part, a second.
func (b *Budget) own() float64 { return b.set.Rate / float64(b.set.Instances) }

// lock is how long what is lent is done without: the borrower's time by a slow clock, and a step lost unseen.
func (b *Budget) lock() time.Duration {
	return time.Duration(float64(b.set.Lease)*drift) + b.set.Leap
}

// Rate is what may be spent a second now.
func (b *Budget) Rate() float64 {
	r := b.own()
	for _, l := range b.lent {
		r -= l.rate
	}
	for _, l := range b.owed {
		r += l.rate
	}
	return max(0, r)
}

// At sets the clock. A sleeper can't tell how long it slept: its loans from others are over, and what it lent stays
// lent as if no time had passed.
func (b *Budget) At(now time.Duration) {
	step := now - b.now
	b.now = now
	if step < 0 || step > b.set.Leap {
		b.owed = nil
		b.look, b.since = now, 0
		b.level = min(b.level, b.brim())
		return
	}
	b.level = min(b.level+b.Rate()*step.Seconds(), b.brim())
	for i := range b.lent {
		b.lent[i].left -= step
	}
	for i := range b.owed {
		b.owed[i].left -= step
	}
	b.lent = slices.DeleteFunc(b.lent, func(l lent) bool { return l.left <= 0 })
	b.owed = slices.DeleteFunc(b.owed, func(l owed) bool {
		return l.left <= 0 || l.rate == 0 && l.left < b.set.Lease-b.set.Lease/waitPart
	})
	// Saved from a loan that is over: the lender saves it again from here on.
	b.level = min(b.level, b.brim())
	if span := now - b.look; span >= wantSpan {
		b.want += (b.since/span.Seconds() - b.want) * 0.5
		b.look, b.since = now, 0
	}
}

func (b *Budget) brim() float64 { return b.Rate() * b.set.Burst.Seconds() }

// Take spends n if there is so much; what is wished for counts towards what is asked of others either way.
func (b *Budget) Take(n float64) bool {
	b.since += n
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// Want is what was wished to be spent of late, a second, and Spare what could be lent of it.
func (b *Budget) Want() float64 { return b.want }

func (b *Budget) Spare() float64 {
	free := b.own() * (1 - b.set.Kept)
	for _, l := range b.lent {
		free -= l.rate
	}
	return max(0, min(free, b.own()-b.want*askShare))
}

// Asks are the wishes to send now, for what this instance lacks, to those that say they have some to spare, the one with
// most first. While one has a wish to answer it is sent no other.
func (b *Budget) Asks(spare map[string]Spare) (asks []Ask) {
	lack := b.want*askShare - b.Rate()
	names := make([]string, 0, len(spare))
	for n := range spare {
		if n != b.me && !slices.ContainsFunc(b.owed, func(o owed) bool { return o.from == n && o.rate == 0 }) {
			names = append(names, n)
		}
	}
	slices.SortFunc(names, func(x, y string) int {
		if d := spare[y].Rate - spare[x].Rate; d != 0 {
			return int(math.Copysign(1, d))
		}
		return map[bool]int{true: -1, false: 1}[x < y]
	})
	for _, n := range names {
		if lack <= 0.01*b.own() || len(b.owed) >= loansMost {
			break
		}
		rate := min(lack, spare[n].Rate)
		if rate <= 0 {
			break
		}
		b.no++
		b.owed = append(b.owed, owed{from: n, no: b.no, wished: rate, left: b.set.Lease})
		asks = append(asks, Ask{From: b.me, Inc: b.inc, To: n, ToInc: spare[n].Inc, No: b.no, Rate: rate})
		lack -= rate
	}
	return asks
}

// Spare is what another says it has to spare.
type Spare struct {
	Inc  uint64
	Rate float64
}

// Asked answers a wish; may tells whether the view lets this instance grant. The same wish again gets the same answer,
// and what is lent is done without from the first.
func (b *Budget) Asked(a Ask, may bool) (Loan, bool) {
	if a.To != b.me || a.ToInc != b.inc || a.From == b.me || !(a.Rate > 0) {
		return Loan{}, false
	}
	l := Loan{From: b.me, Inc: b.inc, To: a.From, ToInc: a.Inc, No: a.No}
	if i := slices.IndexFunc(b.lent, func(x lent) bool { return x.to == a.From && x.inc == a.Inc && x.no == a.No }); i >= 0 {
		l.Rate = b.lent[i].rate
		return l, true
	}
	if rate := min(a.Rate, b.Spare()); may && rate > 0 && len(b.lent) < loansMost {
		b.lent = append(b.lent, lent{a.From, a.Inc, a.No, rate, b.lock()})
		b.level = min(b.level, b.brim())
		l.Rate = rate
	}
	return l, true
}

// Lent takes the answer to a wish, if that is still waited for.
func (b *Budget) Lent(l Loan) bool {
	i := slices.IndexFunc(b.owed, func(o owed) bool { return o.from == l.From && o.no == l.No })
	if i < 0 || l.To != b.me || l.ToInc != b.inc || b.owed[i].rate > 0 || l.Rate < 0 || l.Rate > b.owed[i].wished {
		return false
	}
	if b.owed[i].rate = l.Rate; l.Rate == 0 {
		b.owed = slices.Delete(b.owed, i, i+1)
	}
	return true
}
