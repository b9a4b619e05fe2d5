package overload

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// BudgetConfig configures a budget: how much the fleet may spend on one kind of operation (retries and hedges, probes, new
// connections, list calls, parts for cold searchers). All instances of a fleet need the same values.
type BudgetConfig struct {
	Rate          float64       // per second, all instances together
	Burst         time.Duration // an instance may save up its rate for this long
	Instances     int           // the maximum number that run at the same time
	ReservedShare float64       // share of an instance's own rate that it never lends
	Lease         time.Duration // lifetime of a loan
	MaxClockStep  time.Duration // a clock step longer than this, or backwards, counts as a pause of the process
}

// Check returns an error if no budget can work with the configuration.
func (c *BudgetConfig) Check() error {
	switch {
	case c.Rate <= 0 || c.Instances < 1 || c.Burst <= 0:
		return fmt.Errorf("budget: rate %g, %d instances, burst %v: each must be above 0", c.Rate, c.Instances, c.Burst)
	case c.ReservedShare < 0 || c.ReservedShare > 1:
		return fmt.Errorf("budget: reserved share %g: must be between 0 and 1", c.ReservedShare)
	case c.MaxClockStep <= 0 || c.Lease < 4*c.MaxClockStep:
		return fmt.Errorf("budget: lease %v, longest clock step %v: the step must be above 0 and the lease at least four steps",
			c.Lease, c.MaxClockStep)
	}
	return nil
}

// LoanRequest requests a loan from another instance. It may be lost, duplicated, delayed or reordered.
type LoanRequest struct {
	From, To   string
	Inc, ToInc uint64
	No         uint64
	Rate       float64
}

// Loan answers a LoanRequest. It may be lost, duplicated, delayed or reordered.
type Loan struct {
	From, To   string
	Inc, ToInc uint64
	No         uint64
	Rate       float64 // 0: nothing to lend
}

// lentLoan is a rate that this instance has lent and must not spend. Its time starts when the request arrives, which is
// after the borrower's time started.
type lentLoan struct {
	borrower    string
	incarnation uint64
	number      uint64
	rate        float64
	left        time.Duration
}

// borrowedLoan is a rate that this instance has borrowed or requested. Its time starts when the request is sent.
type borrowedLoan struct {
	lender    string
	number    uint64
	requested float64
	rate      float64 // 0 until the loan arrives
	left      time.Duration
}

// Budget is one instance's share of a fleet-wide budget. The fleet's rate is divided into fixed, equal shares. An instance
// may lend part of its share, and goes without it for longer than the borrower may use it. Whichever instances are
// partitioned, crash or pause, all together therefore never spend more than
//
//	Rate x span + Rate x Burst
//
// in any span, provided that Advance is called at least once per MaxClockStep, and before spending with the same clock
// reading. This needs no vote, leader or consensus; the membership view only decides whether lending is useful. When an
// instance dies, what it had borrowed returns to the lenders as the loans expire; its own share stays unspent.
type Budget struct {
	config      BudgetConfig
	name        string
	incarnation uint64
	now         time.Duration
	tokens      float64
	lastNumber  uint64
	lent        []lentLoan
	borrowed    []borrowedLoan
	demand      float64 // recent attempts to spend, per second
	requested   float64 // attempts to spend since windowStart
	windowStart time.Duration
}

const (
	maxClockDrift   = 1.01 // ratio by which two clocks may differ over a lease
	demandWindow    = time.Second
	responseDivisor = 4    // a response to a loan request is awaited for the lease divided by this
	demandHeadroom  = 1.25 // rate to be available, as a multiple of the demand: below it one borrows, above it one lends
	maxLoans        = 64   // pending loans, in each direction
)

// NewBudget makes the budget of an instance that has just started. An earlier incarnation may have spent its share and
// lent some of it, so the budget starts with no savings and treats everything lendable as lent for the time of one loan.
func NewBudget(config BudgetConfig, name string, incarnation uint64, now time.Duration) (*Budget, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	b := &Budget{config: config, name: name, incarnation: incarnation, now: now, windowStart: now}
	// Loans granted before the restart are unknown: everything lendable counts as lent until it must have been returned.
	if lendable := b.ownRate() * (1 - config.ReservedShare); lendable > 0 {
		b.lent = []lentLoan{{rate: lendable, left: b.lenderTerm()}}
	}
	return b, nil
}

// ownRate is this instance's fixed share, per second.
func (b *Budget) ownRate() float64 { return b.config.Rate / float64(b.config.Instances) }

// lenderTerm is how long the lender goes without a lent rate: the lease by the borrower's clock if that is slow, plus one
// clock step that may go unnoticed.
func (b *Budget) lenderTerm() time.Duration {
	return time.Duration(float64(b.config.Lease)*maxClockDrift) + b.config.MaxClockStep
}

// Rate returns what this instance may currently spend per second.
func (b *Budget) Rate() float64 {
	r := b.ownRate()
	for _, l := range b.lent {
		r -= l.rate
	}
	for _, l := range b.borrowed {
		r += l.rate
	}
	return max(0, r)
}

// Advance advances the clock. After a pause the elapsed time is unknown: borrowed loans end at once, and lent loans keep their
// remaining time as if none had passed.
func (b *Budget) Advance(now time.Duration) {
	step := now - b.now
	b.now = now
	if step < 0 || step > b.config.MaxClockStep {
		b.borrowed = nil
		b.windowStart, b.requested = now, 0
		b.tokens = min(b.tokens, b.burst())
		return
	}
	b.tokens = min(b.tokens+b.Rate()*step.Seconds(), b.burst())
	for i := range b.lent {
		b.lent[i].left -= step
	}
	for i := range b.borrowed {
		b.borrowed[i].left -= step
	}
	b.lent = slices.DeleteFunc(b.lent, func(l lentLoan) bool { return l.left <= 0 })
	b.borrowed = slices.DeleteFunc(b.borrowed, func(l borrowedLoan) bool {
		return l.left <= 0 || l.rate == 0 && l.left < b.config.Lease-b.config.Lease/responseDivisor
	})
	// Savings from an expired loan are dropped: from here on the lender accumulates them again.
	b.tokens = min(b.tokens, b.burst())
	if span := now - b.windowStart; span >= demandWindow {
		b.demand += (b.requested/span.Seconds() - b.demand) * 0.5
		b.windowStart, b.requested = now, 0
	}
}

// burst is the most that may be saved up at the current rate.
func (b *Budget) burst() float64 { return b.Rate() * b.config.Burst.Seconds() }

// Spend spends n if that much is available. Either way n counts as demand, which determines what is borrowed.
func (b *Budget) Spend(n float64) bool {
	b.requested += n
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Demand returns the recent demand per second, whether it was met or not.
func (b *Budget) Demand() float64 { return b.demand }

// Spare returns the rate that could be lent now.
func (b *Budget) Spare() float64 {
	free := b.ownRate() * (1 - b.config.ReservedShare)
	for _, l := range b.lent {
		free -= l.rate
	}
	return max(0, min(free, b.ownRate()-b.demand*demandHeadroom))
}

// LoanRequests returns the loan requests to send now for the rate that this instance lacks, to the peers that report a spare rate,
// the largest first. A peer that has yet to answer a request gets no other.
func (b *Budget) LoanRequests(spare map[string]PeerSpare) (requests []LoanRequest) {
	lack := b.demand*demandHeadroom - b.Rate()
	names := make([]string, 0, len(spare))
	for n := range spare {
		if n != b.name && !slices.ContainsFunc(b.borrowed, func(l borrowedLoan) bool { return l.lender == n && l.rate == 0 }) {
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
		if lack <= 0.01*b.ownRate() || len(b.borrowed) >= maxLoans {
			break
		}
		rate := min(lack, spare[n].Rate)
		if rate <= 0 {
			break
		}
		b.lastNumber++
		b.borrowed = append(b.borrowed, borrowedLoan{lender: n, number: b.lastNumber, requested: rate, left: b.config.Lease})
		requests = append(requests, LoanRequest{From: b.name, Inc: b.incarnation, To: n, ToInc: spare[n].Inc,
			No: b.lastNumber, Rate: rate})
		lack -= rate
	}
	return requests
}

// PeerSpare is the rate that a peer reports to have to spare, with its incarnation.
type PeerSpare struct {
	Inc  uint64
	Rate float64
}

// HandleRequest answers a loan request; allowed states whether the membership view allows this instance to grant loans.
// A duplicate request gets the same answer, and a lent rate is deducted from the moment it is granted.
func (b *Budget) HandleRequest(request LoanRequest, allowed bool) (Loan, bool) {
	if request.To != b.name || request.ToInc != b.incarnation || request.From == b.name || !(request.Rate > 0) {
		return Loan{}, false
	}
	loan := Loan{From: b.name, Inc: b.incarnation, To: request.From, ToInc: request.Inc, No: request.No}
	if i := slices.IndexFunc(b.lent, func(x lentLoan) bool {
		return x.borrower == request.From && x.incarnation == request.Inc && x.number == request.No
	}); i >= 0 {
		loan.Rate = b.lent[i].rate
		return loan, true
	}
	if rate := min(request.Rate, b.Spare()); allowed && rate > 0 && len(b.lent) < maxLoans {
		b.lent = append(b.lent, lentLoan{request.From, request.Inc, request.No, rate, b.lenderTerm()})
		b.tokens = min(b.tokens, b.burst())
		loan.Rate = rate
	}
	return loan, true
}

// HandleLoan takes the answer to a loan request. It returns false if the answer is invalid or no longer awaited.
func (b *Budget) HandleLoan(loan Loan) bool {
	i := slices.IndexFunc(b.borrowed, func(o borrowedLoan) bool { return o.lender == loan.From && o.number == loan.No })
	if i < 0 || loan.To != b.name || loan.ToInc != b.incarnation || b.borrowed[i].rate > 0 || loan.Rate < 0 ||
		loan.Rate > b.borrowed[i].requested {
		return false
	}
	if b.borrowed[i].rate = loan.Rate; loan.Rate == 0 {
		b.borrowed = slices.Delete(b.borrowed, i, i+1)
	}
	return true
}
