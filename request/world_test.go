package request

import (
	"bytes"
	"cmp"
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/retrybudget"
)

// world stands in for sockets, searchers, the list and the operator, and judges by what it saw itself: it keeps its
// own account of what may have run and of what was listed, and takes none of the book's.
type world struct {
	l      *Life
	r      *rand.Rand
	now    time.Duration
	due    dues
	dues   uint64
	fault  string // planted
	broken []string
	log    interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}

	routes   []*manifest.Route // of the version in force
	version  int
	services []string
	listed   map[string]*Host         // as last told
	gone     map[string]time.Duration // by a 421, and until when
	moods    map[string]policy.Outcome
	births   int

	reqs  []*wreq
	tries map[*Dispatch]*wtry
	kinds [Failed + 1]int
	worst int // the most parts held at a time
}

type wreq struct {
	*Request
	no      int
	version int
	allowed []string // services that its version names for it
	finals  int
	left    bool
	sent    map[string][]*wtry // by service
	replies map[*Reply]string  // handed over as an answer that counts: of which service
	errors  map[*Reply]bool    // handed over as a failure
}

type wtry struct {
	req  *wreq
	host Host
	out  bool
	ran  bool // may have
}

type event struct {
	at time.Duration
	no uint64
	do func()
}

type dues []event

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].no < d[j].no
}
func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)   { *d = append(*d, x.(event)) }
func (d *dues) Pop() any     { n := len(*d) - 1; x := (*d)[n]; *d = (*d)[:n]; return x }

const ms = time.Millisecond

func newWorld(seed uint64, fault string) *world {
	w := &world{r: rand.New(rand.NewPCG(seed, 7)), fault: fault, log: fnv.New64a(), listed: map[string]*Host{},
		gone: map[string]time.Duration{}, moods: map[string]policy.Outcome{}, tries: map[*Dispatch]*wtry{}}
	w.l = New(Terms{Seed: seed, Budget: retrybudget.Config{Ratio: 0.5, Slack: 200, Window: 10 * time.Second}}, 0)
	w.l.Mixers(1)
	return w
}

func (w *world) fail(f string, a ...any) {
	if len(w.broken) < 3 {
		w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(f, a...))
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.dues++
	heap.Push(&w.due, event{w.now + d, w.dues, do})
}

// run plays until the end, doing what is due in the world and in the request, whichever comes first.
func (w *world) run(until time.Duration) {
	for w.broken == nil {
		at, mine := until, false
		if len(w.due) > 0 && w.due[0].at <= at {
			at, mine = w.due[0].at, true
		}
		if next, ok := w.l.Next(); ok && next < at {
			at, mine = next, false
		}
		if at >= until && !mine {
			w.now = until
			return
		}
		w.now = max(w.now, at)
		w.l.At(w.now)
		w.carry()
		if mine {
			heap.Pop(&w.due).(event).do()
			w.carry()
		}
		w.worst = max(w.worst, len(w.l.parts))
		if w.r.IntN(4) == 0 {
			if err := w.l.Check(); err != nil {
				w.fail("%v", err)
			}
		}
	}
}

// carry does what the request wants done.
func (w *world) carry() {
	for _, a := range w.l.Take(nil) {
		fmt.Fprintln(w.log, w.now, a.Dispatch.Host.ID, a.Cancel, a.Dispatch.Until)
		if a.Cancel {
			d := a.Dispatch
			w.after(time.Duration(w.r.IntN(3))*ms, func() { w.back(d, policy.Cancelled, nil) })
			continue
		}
		w.dispatch(a.Dispatch)
		if w.fault == "send twice" && w.r.IntN(50) == 0 {
			w.dispatch(a.Dispatch)
		}
	}
}

func (w *world) dispatch(d *Dispatch) {
	q := d.Request.Data.(*wreq)
	h := w.listed[d.Host.ID]
	earlier := q.sent[d.Host.Service]
	switch {
	case q.finals > 0 || q.left:
		w.fail("request %d is sent after its end: %d answers, left: %v, %+v", q.no, q.finals, q.left, q.Route)
	case h == nil || h.State != policy.Ready || w.gone[d.Host.ID] > w.now || h.Address != d.Host.Address:
		w.fail("request %d is sent to %s, listed: %+v, gone: %v", q.no, d.Host.ID, h, w.gone[d.Host.ID])
	case !slices.Contains(q.allowed, d.Host.Service):
		w.fail("request %d of version %d, %v, is sent to %s", q.no, q.version, q.allowed, d.Host.Service)
	case len(q.Route.FanOut) == 0 && len(q.sent) > 0 && earlier == nil:
		w.fail("request %d is sent to a second service", q.no)
	case len(earlier) >= q.Route.Retries:
		w.fail("request %d is sent to %s more than %d times", q.no, d.Host.Service, q.Route.Retries)
	case d.Until <= w.now || d.Until > q.Until+granularity:
		w.fail("request %d is sent until %v, its own time is over at %v", q.no, d.Until, q.Until)
	}
	for _, t := range earlier {
		if t.out && t.host.ID == d.Host.ID {
			w.fail("request %d is out twice at %s", q.no, d.Host.ID)
		}
		if (t.out || t.ran) && !q.Route.Idempotent {
			w.fail("request %d may run once and is sent again", q.no)
		}
	}
	t := &wtry{req: q, host: *d.Host, out: true}
	q.sent[d.Host.Service] = append(earlier, t)
	w.tries[d] = t
	w.fate(d)
}

// fate rolls how a dispatch ends and when.
func (w *world) fate(d *Dispatch) {
	took := time.Duration(5+w.r.ExpFloat64()*20) * ms
	out := w.moods[d.Host.ID]
	if w.r.IntN(12) == 0 {
		out = policy.Outcome(w.r.IntN(int(policy.Expired) + 1))
	}
	var reply *Reply
	switch out {
	case policy.Succeeded:
		reply = w.reply(d, 200)
	case policy.Failed:
		if w.r.IntN(2) == 0 { // else it is garbled
			reply = w.reply(d, 500)
		}
	case policy.TimedOut:
		took = time.Hour
	case policy.Overloaded, policy.Unreachable, policy.Expired:
		took /= 10
	case policy.Cancelled:
		out = policy.ConnectionLost
	}
	if now := d.Until - w.now; took >= now { // the sockets end it then
		out, took, reply = policy.TimedOut, now, nil
	}
	if w.fault == "false proof" && out == policy.ConnectionLost {
		w.tries[d].ran = true
		w.after(took, func() { w.back(d, policy.Overloaded, nil) })
		return
	}
	w.after(took, func() { w.back(d, out, reply) })
}

// reading rolls whether a searcher has read a dispatch that ended so.
func (w *world) reading(out policy.Outcome) Reading {
	switch out {
	case policy.Succeeded, policy.Failed, policy.Overloaded:
		return WasRead
	case policy.Expired:
		return NotRead
	case policy.Unreachable:
		return []Reading{WasRead, NotRead}[w.r.IntN(2)]
	}
	return MayRead
}

func (w *world) reply(d *Dispatch, status int) *Reply {
	body := make([]byte, w.r.IntN(90))
	for i := range body {
		body[i] = byte('a' + w.r.IntN(3)) // equal records are common
	}
	return &Reply{Status: status, Seal: fmt.Sprintf("%s/%d/%d", d.Host.ID, d.Request.Data.(*wreq).no, w.r.Uint32()), Body: body}
}

// back hands over how a dispatch ended, once; the sockets may have called it off just as it was answered.
func (w *world) back(d *Dispatch, out policy.Outcome, reply *Reply) {
	t := w.tries[d]
	if !t.out {
		return
	}
	t.out = false
	t.ran = t.ran || out != policy.Overloaded && out != policy.Unreachable && out != policy.Expired
	if reply != nil {
		if out == policy.Succeeded {
			t.req.replies[reply] = t.host.Service
		} else {
			t.req.errors[reply] = true
		}
	}
	if out == policy.Unreachable && w.r.IntN(2) == 0 { // another has its address
		w.gone[d.Host.ID] = w.now + astrayFor
		w.l.Misdirected(d.Host, true)
	}
	w.l.Returned(d, out, w.reading(out), reply)
	if w.r.IntN(20) == 0 {
		w.l.Returned(d, policy.Succeeded, WasRead, w.reply(d, 200)) // a second end of the same counts for nothing
	}
}

// begin takes a client's request on one of the routes in force.
func (w *world) begin() {
	route := w.routes[w.r.IntN(len(w.routes))]
	q := &wreq{no: len(w.reqs), version: w.version, sent: map[string][]*wtry{}, replies: map[*Reply]string{},
		errors: map[*Reply]bool{}}
	for _, s := range route.Split {
		if s.Gain > 0 {
			q.allowed = append(q.allowed, s.Service)
		}
	}
	q.allowed = append(slices.Concat(q.allowed, route.FanOut), slices.DeleteFunc([]string{route.Plant}, func(s string) bool { return s == "" })...)
	left := time.Duration(w.r.IntN(700)) * ms
	if w.r.IntN(10) == 0 {
		left = time.Duration(w.r.IntN(12)) * ms
	}
	q.Request = &Request{Route: route, Until: w.now + min(left, route.Horizon), Data: q, Done: func(f Final) { w.done(q, f) }}
	w.reqs = append(w.reqs, q)
	w.l.Begin(q.Request)
	if w.r.IntN(8) == 0 {
		w.after(time.Duration(w.r.IntN(150))*ms, func() {
			if q.finals == 0 {
				q.left = true
			}
			w.l.Leave(q.Request)
		})
	}
}

// done judges a final answer.
func (w *world) done(q *wreq, f Final) {
	q.finals++
	w.kinds[f.Kind]++
	switch w.fault {
	case "no answer":
		if w.r.IntN(20) == 0 {
			q.finals--
		}
	case "refuse what ran":
		if f.Kind == Failed {
			f = Final{Kind: Refused}
		}
	case "miscount":
		f.Missing++
	case "one record less":
		f.Body = f.Body[:max(0, len(f.Body)-recordSize)]
	case "two answers":
		q.finals += w.r.IntN(20) / 19
	}
	fmt.Fprintln(w.log, w.now, q.no, f.Kind, f.Missing, f.In, f.Seals, f.Late)
	if q.finals > 1 || q.left {
		w.fail("request %d: answer %d, left: %v", q.no, q.finals, q.left)
	}
	n := len(q.Route.FanOut)
	switch f.Kind {
	case Relayed:
		if n > 0 || q.replies[f.Reply] == "" && !q.errors[f.Reply] {
			w.fail("request %d: an answer from nowhere", q.no)
		}
	case Gathered:
		w.gathered(q, &f)
	case Refused:
		for _, ts := range q.sent {
			for _, t := range ts {
				if !q.Route.Idempotent && (t.ran || t.out) {
					w.fail("request %d is refused and may have run", q.no)
				}
			}
		}
	}
}

func (w *world) gathered(q *wreq, f *Final) {
	n := len(q.Route.FanOut)
	var records [][]byte
	var of []string
	for p, service := range q.replies {
		if slices.Contains(f.Seals, p.Seal) {
			of = append(of, service)
			records = append(records, slices.Collect(slices.Chunk(p.Body[:len(p.Body)/recordSize*recordSize], recordSize))...)
		}
	}
	slices.Sort(of)
	if len(slices.Compact(of)) != len(f.Seals) || len(f.Seals) == 0 || len(f.Seals)+f.Missing != n {
		w.fail("request %d: %d seals, of %v, %d missing of %d", q.no, len(f.Seals), of, f.Missing, n)
	}
	if float64(len(f.Seals))/float64(n) < q.Route.MinCoverage {
		w.fail("request %d: %d of %d are in, %v are wanted", q.no, len(f.Seals), n, q.Route.MinCoverage)
	}
	slices.SortFunc(records, func(a, b []byte) int { return -cmp.Compare(string(a), string(b)) })
	if want := bytes.Join(records[:min(len(records), q.Route.TopK)], nil); !bytes.Equal(want, f.Body) {
		w.fail("request %d: body %q, expected %q", q.no, f.Body, want)
	}
}
