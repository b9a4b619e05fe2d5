package attempt

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"peathollow/internal/proto"
	"peathollow/policy"
)

// The last stage: what is held, and how it ends.

type book struct {
	scans  map[uint64]*Scan
	byReq  map[string]*Scan
	parts  map[uint64]*part
	byWire map[string]*part
	lastID uint64
	lastNo uint64
	open   int // scans, and parts whose value is not in: what the settings let a mixer hold
	tally  Tally
}

// Tally counts what ended since it was last written to the log.
type Tally struct {
	Scans [Unfit + 1]int
	Parts [policy.Expired + 1]int
	Left  int // clients that went away
	Full  int // scans beyond what may be held
	Doubt int // dispatches whose connection went without a word of their end
	Open  int // scans, and parts whose value is not in, now
	Lanes int // connections, now
}

func newBook() book {
	return book{scans: map[uint64]*Scan{}, byReq: map[string]*Scan{}, parts: map[uint64]*part{}, byWire: map[string]*part{}}
}

type Scan struct {
	id, no uint64
	Query  proto.Query
	class  int
	at     time.Duration // when it was taken
	step   int
	parts  []*part      // of the present step
	from   []int        // shards that were in at the first step's end
	chosen []*part      // of the first step, to go on in the second
	whole  bool         // the first step's answer was
	Reply  func(Answer) // called once, in the call that ends the scan
}

type part struct {
	id    uint64
	scan  *Scan
	shard int
	wire  string
	tries []try
	live  int
	in    bool
	over  bool
	value string
	score float64
}

type try struct {
	srv   *searcher
	lane  *Lane // nil till it is sent
	seq   uint64
	at    time.Duration
	until time.Duration
	out   bool
	never bool           // it is back, and is proved never to have run
	end   policy.Outcome // how it ends once the frame that gives it up is written
}

func (b *book) id() uint64 {
	b.lastID++
	return b.lastID
}

func (b *book) addScan(s *Scan) {
	b.lastNo++
	s.id, s.no = b.id(), b.lastNo
	b.scans[s.id], b.byReq[s.Query.ID] = s, s
	b.open++
}

// inOrder are the scans held, oldest first: the same events give the same actions.
func (b *book) inOrder() []*Scan {
	return slices.SortedFunc(maps.Values(b.scans), func(a, b *Scan) int { return cmp.Compare(a.id, b.id) })
}

func (b *book) addPart(s *Scan, shard int, wire string) *part {
	p := &part{id: b.id(), scan: s, shard: shard, wire: wire}
	s.parts = append(s.parts, p)
	b.parts[p.id], b.byWire[wire] = p, p
	b.open++
	return p
}

// closeStep lets go of a step's parts; those with a dispatch out are kept until it is back.
func (o *Life) closeStep(s *Scan) {
	for _, p := range s.parts {
		p.over = true
		if !p.in {
			o.book.open--
		}
		o.recall(p)
		o.release(p)
		o.book.forget(p)
	}
	s.parts = nil
}

// release lets go of dispatches whose end will never be known: with the step over, nothing of it goes out again.
func (o *Life) release(p *part) {
	for no := range p.tries {
		if t := &p.tries[no]; t.out && t.lane != nil && t.lane.gone {
			o.returnLater(p, no, t.lostAs())
		}
	}
}

func (b *book) forget(p *part) {
	if p.over && p.live == 0 {
		delete(b.parts, p.id)
		if b.byWire[p.wire] == p { // a client may have used its request's id again
			delete(b.byWire, p.wire)
		}
	}
}

// end books the one final answer of a scan.
func (o *Life) end(s *Scan, a Answer) {
	delete(o.book.scans, s.id)
	delete(o.book.byReq, s.Query.ID)
	o.book.open--
	o.closeStep(s)
	o.book.tally.Scans[a.Kind]++
	if o.sees != nil {
		o.sees.Ended(a.Kind, s.class, o.now-s.at)
	}
	s.Reply(a)
}

// report tells what ended of late, once however much it is.
func (o *Life) report() {
	o.timers.add(o.now+o.lim.LogEvery, task{what: report})
	t := o.book.tally
	if t == (Tally{}) {
		return
	}
	o.book.tally = Tally{}
	t.Open, t.Lanes = o.book.open, o.fleet.lanes
	o.port.Tally(t)
}

// returnLater is returned for an end that is known at once: the module is never called from its own actions.
func (o *Life) returnLater(p *part, no int, end policy.Outcome) {
	o.later = append(o.later, task{what: back, p: p, no: int32(no), end: end})
}

// returned books how a dispatch ended and tells the module.
func (o *Life) returned(p *part, no int, end policy.Outcome) {
	t := &p.tries[no]
	if !t.out {
		return
	}
	t.out = false
	t.never = end == policy.Overloaded || end == policy.Unreachable || end == policy.Expired
	p.live--
	t.srv.live--
	o.book.tally.Parts[end]++
	if o.sees != nil && end == policy.Succeeded {
		o.sees.Carried()
	}
	if l := t.lane; l != nil {
		l.drop(p, no, end == policy.Cancelled || end == policy.TimedOut, o.now)
	}
	o.m.Returned(p.id, no, end, o.now-t.at)
	o.book.forget(p)
}
