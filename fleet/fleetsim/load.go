package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"peathollow/fleet/overload"
	"peathollow/lab/reader"
	"peathollow/policy"
)

// Load is what clients ask for, and what there is to serve it.
type Load struct {
	Readers int
	Pace    float64 // parts a second that one does
	Tenants []Tenant
	Obey    float64 // share of clients that come again when they are told to; the others come at once
	Retries int     // a client comes again, at most
	Uneven  bool    // half of the clients meet the first mixer
	Cold    Cold    // how searchers start; the zero value: at their full pace
}

// Cold is how a searcher starts, and what pushes it over.
type Cold struct {
	For      time.Duration // till it is warm
	Share    float64       // of its pace that it begins with
	Multiple float64       // of what it can do then, that it stands
	Span     time.Duration // for so long
	Unknown  bool          // a planted fault: mixers are not told any of this
}

// Tenant asks for scans; what lies within its share is to be served first.
type Tenant struct {
	Name  string
	Share float64 // scans a second, all mixers together
	Asks  float64 // scans a second, first tries
}

// A scan of either class has two parts; one of the first class is worth four of the second.
const (
	partsOf = 2
	target  = time.Second
	timeout = 2 * time.Second
	restart = 5 * time.Second        // of a searcher
	hurry   = 200 * time.Millisecond // till a client that does not obey comes again
)

var worth = []float64{4, 1}

// Got is what a tenant asked for and got: scans, first tries, and how many of them were completed at last.
type Got struct{ Asked, Done, Worth, WorthAsked float64 }

type load struct {
	w       *World
	set     Load
	readers []*reader.Reader
	due     []time.Duration // when a reader is looked at next; 0 if not at all
	out     map[uint64]func(reader.Outcome)
	ids     uint64
	dice    *rand.Rand
	kinds   overload.BinLayout
	got     map[string]*Got
	colds   []cold
	worst   float64 // the most that a cold searcher was sent in a span, in what pushes it over
}

// cold is what a searcher was sent since it started.
type cold struct {
	from time.Duration // its start; long ago for one that never started anew
	at   []time.Duration
}

func newLoad(w *World) *load {
	set := w.set.Load
	l := &load{w: w, set: set, out: map[uint64]func(reader.Outcome){}, dice: rand.New(rand.NewPCG(w.set.Seed, 99)),
		due: make([]time.Duration, set.Readers), got: map[string]*Got{}, colds: make([]cold, set.Readers)}
	for i := range set.Readers {
		l.colds[i].from = policy.LongAgo
		r, err := reader.New(reader.Settings{Cores: 2, QueueCapacity: int(3 * set.Pace), RestartDelay: restart, WarmUp: set.Cold.For,
			ColdShare: set.Cold.Share})
		if err != nil {
			panic(err) // constants
		}
		l.readers = append(l.readers, r)
	}
	l.kinds.Benefit = worth
	for i := range set.Tenants {
		t := &set.Tenants[i]
		l.kinds.Quota = append(l.kinds.Quota, t.Share)
		l.got[t.Name] = &Got{}
		for class := range worth {
			w.after(0, func() { l.arrivals(i, class) })
		}
	}
	return l
}

// arrivals are a tenant's scans of a class, by chance.
func (l *load) arrivals(tenant, class int) {
	rate := l.set.Tenants[tenant].Asks / float64(len(worth))
	if rate <= 0 {
		l.w.after(time.Second/4, func() { l.arrivals(tenant, class) })
		return
	}
	l.w.after(time.Duration(l.dice.ExpFloat64()/rate*float64(time.Second)), func() {
		l.arrivals(tenant, class)
		l.ask(&client{tenant: tenant, class: class}, false)
	})
}

// client is one that wants one scan done.
type client struct {
	tenant, class, tries int
}

// Ask sets what a tenant asks for from now on.
func (w *World) Ask(tenant string, perSecond float64) error {
	for i := range w.load.set.Tenants {
		if t := &w.load.set.Tenants[i]; t.Name == tenant {
			t.Asks = perSecond
			return nil
		}
	}
	return fmt.Errorf("no tenant %q", tenant)
}

// Got is what each tenant got since it was last asked.
func (w *World) Got() map[string]Got {
	out := map[string]Got{}
	for name, g := range w.load.got {
		out[name] = *g
		*g = Got{}
	}
	return out
}

// Readers does something to each searcher in turn.
func (w *World) Readers(do func(i int, r *reader.Reader)) {
	for i, r := range w.load.readers {
		do(i, r)
		w.load.look(i)
	}
}

// Crash ends a searcher, which is back after its restart.
func (w *World) Crash(i int) {
	w.load.readers[i].Crash(w.now, w.load.ended)
	w.load.look(i)
}

func (l *load) ask(c *client, again bool) {
	g := l.got[l.set.Tenants[c.tenant].Name]
	if !again {
		g.Asked++
		g.WorthAsked += worth[c.class]
	}
	c.tries++
	n := l.meets()
	if n == nil { // nobody is there; the client finds out at its own pace
		l.w.after(timeout/4, func() { l.again(c, 0) })
		return
	}
	answered := false
	done := func(ok bool, in time.Duration) {
		if answered {
			return
		}
		if answered = true; ok {
			g.Done++
			g.Worth += worth[c.class]
			return
		}
		l.again(c, in)
	}
	n.do(func() { n.mix.scan(c, again, done) })
	l.w.after(timeout, func() { done(false, 0) }) // of a mixer that died, or sleeps
}

// again has a client come again, if it still wants to.
func (l *load) again(c *client, in time.Duration) {
	if c.tries > l.set.Retries {
		return
	}
	if in == 0 || l.dice.Float64() >= l.set.Obey {
		in = hurry/2 + time.Duration(l.dice.Float64()*float64(hurry))
	}
	l.w.after(in, func() { l.ask(c, true) })
}

// meets is the mixer that a client is led to; nil if none is up. One that sleeps looks up from outside.
func (l *load) meets() *Node {
	var up []*Node
	for _, n := range l.w.Nodes {
		if n.up {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	if l.set.Uneven && l.dice.Float64() < 0.5 {
		return up[0]
	}
	return up[l.dice.IntN(len(up))]
}

// arrive brings a part to a reader.
func (l *load) arrive(i int, until time.Duration, end func(reader.Outcome)) (id uint64, ok bool) {
	r := l.readers[i]
	if !r.Up() {
		return 0, false
	}
	l.ids++
	l.out[l.ids] = end
	l.count(i)
	work := time.Duration(2 / l.set.Pace * (0.6 + 0.8*l.dice.Float64()) * float64(time.Second))
	r.Arrive(l.w.now, l.ids, work, until, l.ended)
	l.look(i)
	return l.ids, true
}

// count checks what a cold searcher is sent by all mixers together: over N + 3 x root of N + 3 parts in a span, N being what it
// stands then, it falls.
func (l *load) count(i int) {
	c, set := &l.colds[i], l.set.Cold
	now := l.w.now
	if set.For == 0 || c.from == policy.LongAgo || now-c.from > set.For {
		return
	}
	c.at = append(slices.DeleteFunc(c.at, func(t time.Duration) bool { return t <= now-set.Span }), now)
	pace := l.set.Pace * (set.Share + (1-set.Share)*float64(now-c.from)/float64(set.For))
	n := set.Multiple * pace * set.Span.Seconds()
	most := n + 3*math.Sqrt(n) + 3
	if l.worst = max(l.worst, float64(len(c.at))/most); float64(len(c.at)) > most {
		l.w.broke("cold: searcher %d is sent %d parts in %v, %.1f push it over", i, len(c.at), set.Span, most)
	}
}

// Replace ends a searcher; it starts anew, cold, and the list tells each mixer of it so much later.
func (w *World) Replace(i int, late func() time.Duration) {
	w.Crash(i)
	w.after(restart, func() {
		w.load.colds[i] = cold{from: w.now}
		from := w.now
		for _, n := range w.Nodes {
			w.after(late(), func() {
				if n.up {
					n.mix.in(func() { n.mix.told(i, from) })
				}
			})
		}
	})
}

func (l *load) ended(id uint64, how reader.Outcome) {
	end := l.out[id]
	delete(l.out, id)
	if end != nil {
		l.w.after(trip/2, func() { end(how) })
	}
}

// look has a reader stepped when something happens there by itself.
func (l *load) look(i int) {
	at, ok := l.readers[i].Next()
	if !ok || l.due[i] > l.w.now && l.due[i] <= at {
		return
	}
	l.due[i] = max(at, l.w.now+1)
	due := l.due[i]
	l.w.after(due-l.w.now, func() {
		if l.due[i] != due {
			return
		}
		l.due[i] = 0
		l.readers[i].Step(l.w.now, l.ended)
		l.look(i)
	})
}
