package request

import (
	"math/rand/v2"
	"time"

	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/retrybudget"
)

// Terms are what a mixer is told for its whole life.
type Terms struct {
	Seed   uint64
	Budget retrybudget.Config
	// Before is a life before this one, after a fault in it, or nil: what was spent still counts, and whose addresses are others'
	// is still known.
	Before *Life
	// Plant is called at each step of the module, with the set of services that it is for: tests have it panic. Nil in service.
	Plant func(step Step, services []string)
}

// pauseLeast is a time without any event from which on the process is held not to have run: whoever drives a Life calls At each
// Pulse, whatever happens.
const pauseLeast = time.Second

// Pulse is how often At is to be called at least.
const Pulse = 400 * time.Millisecond

// catchUp is how long the process may take, after a pause, to read what came in meanwhile.
const catchUp = 20 * time.Millisecond

// Life holds all that is in hand. It is not safe for concurrent use.
type Life struct {
	terms  Terms
	now    time.Duration
	dice   *rand.Rand
	book   *retrybudget.Budget
	groups map[string]*group
	hosts  map[string]*Host // by id
	astray map[string]misdirection
	doubts doubts
	// addresses counts the listed searchers at each.
	addresses map[string]int
	parts     map[uint64]*part
	reqs      map[uint64]*Request
	ids       uint64
	timers    timers
	ranOn     time.Duration // when the process last went on after it had not run for a while
	paused    time.Duration // for how long it has not run, in all
	// roomUntil is the end of the further dispatch for which room in the retry budget was last asked.
	roomUntil time.Duration
	over      bool   // after Abandon
	inside    *group // whose module is deciding
	acts      []Act
	Counts    Counts
}

// New makes the life of a mixer that has nothing in hand.
func New(t Terms, now time.Duration) *Life {
	l := &Life{terms: t, now: now, dice: rand.New(rand.NewPCG(t.Seed, 0)), groups: map[string]*group{}, hosts: map[string]*Host{},
		parts: map[uint64]*part{}, reqs: map[uint64]*Request{}}
	if before := t.Before; before != nil {
		l.book, l.astray, l.doubts = before.book, before.astray, before.doubts
		l.terms.Before = nil
		return l
	}
	l.book, l.astray = retrybudget.New(t.Budget), map[string]misdirection{}
	l.doubts = doubts{at: map[string]time.Duration{}}
	return l
}

// Book is the account of the retry budget, for a life that follows.
func (l *Life) Book() *retrybudget.Budget { return l.book }

// Mixers tells how many mixers run; see retrybudget.Budget.
func (l *Life) Mixers(n int) { l.book.SetMixerCount(n) }

// At sets the clock and does what is due. It never goes back. After a pause of the process what is due waits a moment more: what
// came in meanwhile is to be handed over first.
func (l *Life) At(now time.Duration) {
	if now-l.now > pauseLeast {
		l.ranOn = now
		l.paused += now - l.now
	}
	l.now = max(l.now, now)
	if l.now < l.timersFrom() {
		return
	}
	for {
		t, ok := l.timers.pop(l.now)
		if !ok {
			return
		}
		if !t.group.over {
			t.group.woke(t.token)
		}
	}
}

// Next is when something is due; false when nothing is.
func (l *Life) Next() (time.Duration, bool) {
	at, ok := l.timers.next()
	return max(at, l.timersFrom()), ok
}

// isCatchingUp tells whether the process may still be reading what came in while it did not run.
func (l *Life) isCatchingUp() bool { return l.now < l.timersFrom() }

// timersFrom is from when on timers are looked at; 0 if the process never paused.
func (l *Life) timersFrom() time.Duration {
	if l.ranOn == 0 {
		return 0
	}
	return l.ranOn + catchUp
}

// Take drains what is to be done.
func (l *Life) Take(into []Act) []Act {
	for i := 0; i < len(l.acts); i++ {
		a := l.acts[i]
		switch d := a.Dispatch; {
		case !d.out: // called off, and back before that could be carried out
		case d.Request.ended && !a.Cancel:
			l.Returned(d, policy.Expired, NotRead, nil) // its request ended in the very event that sent it
		default:
			into = append(into, a)
		}
	}
	clear(l.acts)
	l.acts = l.acts[:0]
	return into
}

// InHand is how many requests wait for their answer.
func (l *Life) InHand() int { return len(l.reqs) }

// Begin takes a request. Its answer may come within the call.
func (l *Life) Begin(r *Request) {
	l.Counts.Taken++
	r.id = l.id()
	l.reqs[r.id] = r // before anything can fail: whoever is here gets an answer
	services := r.Route.FanOut
	if len(services) == 0 {
		services = []string{l.choose(r.Route)}
	}
	g := l.group(services)
	r.group, r.shards = g, services
	if r.Until <= l.now {
		l.finish(r, Final{Kind: Refused, Reason: TimeOver, In: retryLeast})
		return
	}
	g.begin(r, r.Until-l.now)
}

// choose picks the service of a request on a route that goes to one of several by weight.
func (l *Life) choose(r *manifest.Route) string {
	if len(r.Split) == 0 {
		return r.Plant
	}
	sum := 0.0
	for _, s := range r.Split {
		sum += s.Gain
	}
	at := l.dice.Float64() * sum
	for _, s := range r.Split {
		if at -= s.Gain; at < 0 && s.Gain > 0 {
			return s.Service
		}
	}
	for _, s := range r.Split {
		if s.Gain > 0 {
			return s.Service
		}
	}
	return r.Split[0].Service
}

// Leave tells that the client has gone; what is out is called off.
func (l *Life) Leave(r *Request) {
	if r.ended || r.group == nil || r.group.l != l {
		return
	}
	l.Counts.Left++
	r.group.left(r)
	for _, p := range r.parts {
		for _, d := range p.tries {
			if d.out {
				l.acts = append(l.acts, Act{Dispatch: d, Cancel: true})
			}
		}
	}
}

// Returned tells how a dispatch ended, and whether it was read; reply is what came, if anything whole did.
func (l *Life) Returned(d *Dispatch, out policy.Outcome, reading Reading, reply *Reply) {
	if !d.out || d.Request.group.l != l || l.over {
		return
	}
	d.out, d.outcome, d.took = false, out, l.now-d.at-(l.paused-d.paused)
	l.Counts.Outcomes[out]++
	if d.no > 0 {
		l.book.RetryEnded(l.now, d.part.service, l.now-d.at)
	}
	if r := d.Request; !r.ended && reply != nil {
		switch {
		case out == policy.Succeeded && d.part.reply == nil:
			d.part.reply = reply
		case out != policy.Succeeded:
			r.refuse = reply
		}
	}
	l.noteReading(d, reading)
	d.Request.group.returned(d, out, d.took)
	l.settle(d.part)
}

// noteReading tells the retry budget what became of a dispatch.
func (l *Life) noteReading(d *Dispatch, reading Reading) {
	p := d.part
	switch reading {
	case WasRead:
		l.book.AttemptRead(l.now, p.service, &p.trail)
	case NotRead:
		l.book.AttemptUnsent(l.now, p.service, &p.trail)
	default:
		l.book.AttemptAbandoned(l.now, p.service, &p.trail)
	}
}

// settle forgets a part that nothing can come for any more.
func (l *Life) settle(p *part) {
	if !p.req.ended {
		return
	}
	for _, d := range p.tries {
		if d.out {
			return
		}
	}
	delete(l.parts, p.id)
}

// finish gives a request its one answer.
func (l *Life) finish(r *Request, f Final) {
	if r.ended {
		return
	}
	r.ended = true
	delete(l.reqs, r.id)
	for _, p := range r.parts {
		if p.isStarved(l) {
			l.book.PartDenied(l.now, p.service)
		}
	}
	switch f.Kind {
	case Relayed:
		l.Counts.Relayed++
	case Gathered:
		l.Counts.Gathered++
		if f.Missing > 0 {
			l.Counts.Partial++
		}
	case Refused:
		l.Counts.Refused++
		f.Tries = l.tries(r)
		if f.Reason == "" {
			f.Reason = l.refusal(r)
		}
	case Failed:
		l.Counts.Failed++
		f.Reason, f.Tries = l.failure(r, f.Late), l.tries(r)
	}
	for _, p := range r.parts {
		l.settle(p)
	}
	r.Done(f)
}

func (l *Life) id() uint64 {
	l.ids++
	return l.ids
}
