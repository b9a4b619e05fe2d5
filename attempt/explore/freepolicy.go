package explore

import (
	"fmt"
	"slices"
	"time"

	"peathollow/policy"
)

// freePolicy is a policy that takes any action its interface allows, by choice. It keeps only the rules that are a policy's
// responsibility: which parts may be repeated, and which scans may be throttled or completed. A violation found with it is
// therefore a fault of the coordinator.
type freePolicy struct {
	sim       *Simulation
	actions   policy.Actions
	now       time.Duration
	scans     []*policyScan
	parts     map[uint64]*policyPart
	searchers []policy.SearcherState // by the coordinator's index
}

// policyScan is a scan as the free policy knows it.
type policyScan struct {
	id, number    uint64
	index         int // into Simulation.scans
	deadline      time.Duration
	expectedParts int
	step          int
	complete      bool
	mayHaveRun    bool // in the first step
	ended         bool
	parts         []*policyPart // of the current step
}

// policyPart is a part of the current step.
type policyPart struct {
	id        uint64
	scan      *policyScan
	shard     int
	succeeded bool
	ended     bool
	attempts  []policyAttempt
}

// policyAttempt is one dispatch of a part.
type policyAttempt struct {
	searcher  int
	sentAt    time.Duration
	inFlight  bool
	cancelled bool
	neverRan  bool
}

func newFreePolicy(sim *Simulation, actions policy.Actions, now time.Duration) *freePolicy {
	return &freePolicy{sim: sim, actions: actions, now: now, parts: map[uint64]*policyPart{}}
}

func (f *freePolicy) Advance(now time.Duration) { f.now = now }
func (f *freePolicy) ListBegin(mode policy.ListMode) {
	if mode == policy.Full {
		for i := range f.searchers {
			f.searchers[i] = policy.Gone
		}
	}
}

func (f *freePolicy) ListEntry(i int, st policy.SearcherState, _ float64, _ time.Duration, _ int) {
	for len(f.searchers) <= i {
		f.searchers = append(f.searchers, policy.Gone)
	}
	f.searchers[i] = st
}

func (f *freePolicy) ListEnd(policy.ListMode)         {}
func (f *freePolicy) Forget(i int)                    { f.searchers[i] = policy.Gone }
func (f *freePolicy) Probed(int, time.Duration, bool) {}
func (f *freePolicy) SetAdmission([]float64)          {}

func (f *freePolicy) Scan(id, number uint64, _, _ int, left, _ time.Duration, parts int, _ bool) {
	s := &policyScan{id: id, number: number, index: len(f.sim.scans) - 1, deadline: f.now + left, expectedParts: parts}
	f.scans = append(f.scans, s)
	f.actions.Wake(f.now+min(recheckDelay, left), uint64(s.index))
	if left > recheckDelay {
		f.actions.Wake(s.deadline, uint64(s.index))
	}
}

func (f *freePolicy) Part(id, number uint64, shard int, _ float64) {
	for _, s := range f.scans {
		if s.number != number || s.ended {
			continue
		}
		p := &policyPart{id: id, scan: s, shard: shard}
		s.parts = append(s.parts, p)
		f.parts[id] = p
		if len(s.parts) == s.expectedParts {
			f.decide(s)
		}
	}
}

func (f *freePolicy) Returned(id uint64, number int, outcome policy.Outcome, _ time.Duration) {
	p := f.parts[id]
	if p == nil {
		return
	}
	t := &p.attempts[number]
	t.inFlight = false
	t.neverRan = outcome == policy.Overloaded || outcome == policy.Unreachable || outcome == policy.Expired
	if p.ended {
		return
	}
	if outcome == policy.Succeeded {
		p.succeeded = true
	}
	f.decide(p.scan)
}

func (f *freePolicy) ClientLeft(id uint64) {
	for _, s := range f.scans {
		if s.id == id {
			f.endScan(s)
		}
	}
}

func (f *freePolicy) Woke(token uint64) {
	for _, s := range f.scans {
		if s.index == int(token) && !s.ended && len(s.parts) == s.expectedParts {
			f.decide(s)
		}
	}
	// The deadline may pass before all parts of the second step have arrived.
	for _, s := range f.scans {
		if s.index == int(token) && !s.ended && f.now >= s.deadline {
			f.abandon(s)
		}
	}
}

func (f *freePolicy) abandon(s *policyScan) {
	f.endScan(s)
	f.actions.Abandon(s.id)
}

func (f *freePolicy) endScan(s *policyScan) {
	s.ended = true
	for _, p := range s.parts {
		p.ended = true
	}
	f.scans = slices.DeleteFunc(f.scans, func(x *policyScan) bool { return x == s })
}

// choice is one action the policy may take. Actions of one call are taken in ascending order of rank.
type choice struct {
	text   string
	number int // of a dispatch or a searcher, depending on the text
	part   *policyPart
	rank   int
	apply  func()
	last   bool // ends the call
}

// decide is run by calls in which the policy may act: it takes any number of actions, in ascending order of rank.
func (f *freePolicy) decide(s *policyScan) {
	f.sim.policyDepth++
	defer func() { f.sim.policyDepth-- }()
	for rank := -1; !s.ended; {
		choices := f.choices(s, rank)
		k := f.sim.choose(len(choices), func(i int) string { return f.label(&choices[i]) })
		rank = choices[k].rank
		choices[k].apply()
		if choices[k].last {
			return
		}
	}
}

func (f *freePolicy) label(c *choice) string {
	switch {
	case c.text == "sends":
		return fmt.Sprintf("the decider sends part %d to reader %s", c.part.shard+1, f.sim.coordinator.SearcherName(c.number))
	case c.part != nil:
		return fmt.Sprintf("the decider calls off dispatch %d of part %d", c.number+1, c.part.shard+1)
	case c.rank >= 50 && c.rank < 100:
		return "the decider renews the connections of reader " + f.sim.coordinator.SearcherName(c.number)
	}
	return "the decider " + c.text
}

// lastRank is the rank of doing nothing more; ending a scan or panicking ranks just below it. Cancellations rank from 1,
// renewals from 50 and dispatches from 100.
const lastRank = 1000

// choices returns the actions that the policy may take now and that rank above the given rank.
func (f *freePolicy) choices(s *policyScan, rank int) (choices []choice) {
	addRanked := func(r int, last bool, text string, number int, p *policyPart, do func()) {
		if r > rank {
			choices = append(choices, choice{text, number, p, r, do, last})
		}
	}
	add := func(r int, last bool, text string, do func()) { addRanked(r, last, text, 0, nil, do) }
	if f.now < s.deadline {
		add(lastRank, true, "does nothing more", func() {})
	}
	attemptRank := 0
	for _, p := range s.parts {
		for number := range p.attempts {
			attemptRank++
			if t := &p.attempts[number]; t.inFlight && !t.cancelled && f.now < s.deadline {
				addRanked(attemptRank, false, "calls off dispatch", number, p, func() {
					t.cancelled = true
					f.actions.Cancel(p.id, number)
				})
			}
		}
	}
	for i, p := range s.parts {
		if !f.mayDispatch(p) {
			continue
		}
		untouchedOffered := false
		for searcher, st := range f.searchers {
			if st != policy.Ready ||
				slices.ContainsFunc(p.attempts, func(t policyAttempt) bool { return t.inFlight && t.searcher == searcher }) {
				continue // a hedge goes to another searcher
			}
			// Of several interchangeable searchers one is enough.
			if f.sim.reduceSymmetry && f.untouched(searcher) {
				if untouchedOffered {
					continue
				}
				untouchedOffered = true
			}
			addRanked(100+i, false, "sends", searcher, p, func() {
				p.attempts = append(p.attempts, policyAttempt{searcher: searcher, sentAt: f.now, inFlight: true})
				f.sim.recordRequested(p.id)
				f.actions.Dispatch(p.id, searcher, min(f.now+f.sim.setup.attemptTimeout(), s.deadline))
			})
		}
	}
	succeeded, mayHaveRun := 0, s.mayHaveRun
	for _, p := range s.parts {
		succeeded += b2i(p.succeeded)
		mayHaveRun = mayHaveRun || p.firstMaybeRun() >= 0
	}
	if succeeded > 0 && (s.step == 0 || succeeded == s.expectedParts) {
		add(lastRank-1, true, "completes the scan", func() { f.complete(s, succeeded, mayHaveRun) })
	}
	if f.sim.setup.Effect == "replayable" || !mayHaveRun {
		add(lastRank-1, true, "throttles the scan", func() { f.endScan(s); f.actions.Throttle(s.id, 0) })
	}
	add(lastRank-1, true, "abandons the scan", func() { f.abandon(s) })
	if f.sim.faultAllowed(faultPanic) {
		add(lastRank-1, true, "panics", func() { f.sim.spendFault(); panic(errPolicyPanic) })
	}
	if f.sim.faultAllowed(faultRenew) {
		for searcher, st := range f.searchers {
			if st != policy.Gone {
				addRanked(50+searcher, false, "renews the connections of reader", searcher, nil,
					func() { f.sim.spendFault(); f.actions.Renew(searcher) })
			}
		}
	}
	return choices
}

// b2i returns 1 for true and 0 for false.
func b2i(x bool) int {
	if x {
		return 1
	}
	return 0
}

// untouched reports whether nothing was ever sent to a searcher and the list never changed its entry.
func (f *freePolicy) untouched(searcher int) bool {
	index := int(f.sim.coordinator.SearcherName(searcher)[0] - 'a')
	if f.sim.searchers[index] != (listedSearcher{}) {
		return false
	}
	for _, p := range f.parts {
		if slices.ContainsFunc(p.attempts, func(t policyAttempt) bool { return t.searcher == searcher }) {
			return false
		}
	}
	return !slices.ContainsFunc(f.sim.conns, func(c *conn) bool { return c.searcher == index })
}

// complete ends the current step of a scan with the parts that succeeded, and starts the second step if there is one.
func (f *freePolicy) complete(s *policyScan, succeeded int, mayHaveRun bool) {
	whole := succeeded == s.expectedParts && (s.step == 0 || s.complete)
	if f.sim.setup.Steps == 1 || s.step == 1 {
		f.endScan(s)
		f.actions.Complete(s.id, whole)
		return
	}
	for _, p := range s.parts {
		p.ended = true
	}
	f.sim.endFirstStep()
	s.step, s.complete, s.mayHaveRun, s.parts, s.expectedParts = 1, whole, mayHaveRun, nil, succeeded
	f.actions.Complete(s.id, whole)
}

// firstMaybeRun returns the index of the first dispatch that may have run, or -1.
func (p *policyPart) firstMaybeRun() int {
	return slices.IndexFunc(p.attempts, func(t policyAttempt) bool { return !t.neverRan })
}

// mayDispatch applies the rules that every policy must keep for sending a part.
func (f *freePolicy) mayDispatch(p *policyPart) bool {
	if p.succeeded || p.ended || len(p.attempts) >= f.sim.setup.MaxAttempts || f.now >= p.scan.deadline {
		return false
	}
	inFlight := 0
	for i := range p.attempts {
		inFlight += b2i(p.attempts[i].inFlight)
	}
	if inFlight >= f.sim.setup.MaxInFlight {
		return false
	}
	first := p.firstMaybeRun()
	switch {
	case first < 0 || f.sim.setup.Effect == "replayable":
		return true
	case f.sim.setup.Effect == "keyed":
		return f.now-p.attempts[first].sentAt < repeatWindow
	}
	return false
}
