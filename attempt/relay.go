package attempt

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"peathollow/internal/proto"
	"peathollow/policy"
)

// The fifth stage: what searchers say goes to the module, and what it settles becomes the client's answer.

// Answered takes what a searcher says on a connection; more tells that bytes lie right behind.
func (o *Life) Answered(l *Lane, a proto.Answer, more bool) {
	l.heard = o.now
	p := o.book.byWire[a.ID]
	no, ok := l.out[p]
	if !ok {
		p, no, ok = l.namesake(a.ID)
	}
	if !ok {
		// Late, or a second copy; or it was never asked here, and nothing on this connection can be trusted.
		if !l.past.heard(a.ID) {
			l.conn.Fail(errNeverAsked)
		}
		return
	}
	// A quick searcher's answer is read before the write of its frame has returned, and counts. But not written yet and
	// not begun, or with the end of an earlier dispatch due here that was given up without a receipt, it is that one's.
	if t := &p.tries[no]; !l.conn.Ran(t.seq) && (!l.conn.Begun(t.seq) || a.End != policy.Succeeded && l.past.due(a.ID)) {
		// A value counts all the same, and what waits is not to leave any more.
		l.past.heard(a.ID)
		if a.End != policy.Succeeded || !t.takeBack(p) {
			return
		}
	}
	// More than belongs to the answers that are due: the next part sent here would be lost to it. This answer counts.
	if more && len(l.out) == 1 && !l.past.anyDue() {
		l.retire()
	}
	// Who answers a part has read what came before it, on this connection.
	if seq := p.tries[no].seq; len(l.kills) > 0 {
		before := slices.Collect(maps.Keys(l.kills))
		before = slices.DeleteFunc(before, func(k uint64) bool { return k > seq })
		slices.Sort(before)
		o.Told(l, before)
	}
	if a.End == policy.Succeeded && !p.in && !p.over {
		p.in, p.value, p.score = true, a.Value, a.Score
		o.book.open--
	}
	o.returned(p, no, a.End)
}

var errNeverAsked = errors.New("answer to a part never asked on this connection")

// Closing ends what was out on a connection that takes and believes nothing more: what was not written whole never
// ran. What was is known to have ended only with the searcher's own end, and stays out till then where it may go
// elsewhere and copies are barred.
func (o *Life) Closing(l *Lane, why error) {
	l.retired, l.ended, l.lost = true, true, policy.ConnectionLost
	if errors.Is(why, proto.ErrMute) {
		l.lost = policy.Cancelled // by this mixer
	}
	if len(l.out) > 0 {
		o.port.Lost(l.s.host.Name, len(l.out), why)
	}
	for _, p := range l.held() {
		if no := l.out[p]; !l.conn.Ran(p.tries[no].seq) {
			o.returned(p, no, policy.Unreachable)
		} else if !o.single(p) {
			o.returned(p, no, p.tries[no].lostAs())
		}
	}
}

// Closed follows when a connection is gone. What is out on one whose searcher has not ended it as well may run yet,
// any time: it stays out till its scan ends, and goes nowhere else.
func (o *Life) Closed(l *Lane, heard bool) {
	o.fleet.lanes--
	l.s.lanes = slices.DeleteFunc(l.s.lanes, func(x *Lane) bool { return x == l })
	l.gone = true
	for _, p := range l.held() {
		if no := l.out[p]; heard || !o.single(p) {
			o.returned(p, no, p.tries[no].lostAs())
		}
	}
	if n := len(l.out); n > 0 {
		o.book.tally.Doubt += n
		o.port.InDoubt(l.s.host.Name, n)
	}
}

// held are the parts out on a connection, oldest first.
func (l *Lane) held() []*part {
	return slices.SortedFunc(maps.Keys(l.out), func(a, b *part) int { return cmp.Compare(a.id, b.id) })
}

// lostAs is how a dispatch ends that was out on a connection when that broke.
func (t *try) lostAs() policy.Outcome {
	if t.end != policy.Expired {
		return t.end
	}
	return t.lane.lost
}

// Complete is an action of the module. In a table type with a second step the first such answer picks the
// shards that go on, by score, and hands their parts over in the next batch.
func (o *Life) Complete(id uint64, whole bool) {
	s := o.book.scans[id]
	if s == nil {
		return
	}
	in := make([]*part, 0, len(s.parts))
	for _, p := range s.parts {
		if p.in {
			in = append(in, p)
		}
	}
	if n := o.set.Brain.Types[s.class].SecondStep; n > 0 && s.step == 0 {
		o.secondStep(s, in, min(n, len(in)), whole)
		return
	}
	rows := make([]proto.Row, len(in))
	for i, p := range in {
		rows[i] = proto.Row{Shard: p.shard, Value: p.value}
	}
	o.end(s, Answer{Kind: Completed, Body: proto.WriteAnswer(whole, rows)})
}

func (o *Life) secondStep(s *Scan, in []*part, n int, whole bool) {
	s.step, s.whole = 1, whole
	for _, p := range in {
		s.from = append(s.from, p.shard)
	}
	slices.Sort(s.from)
	slices.SortFunc(in, func(a, b *part) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.shard, b.shard))
	})
	o.closeStep(s)
	s.chosen = in[:n]
	o.later = append(o.later, task{what: goOn, s: s})
}

// goOn hands the parts of the second step over.
func (o *Life) goOn(s *Scan) {
	if o.book.scans[s.id] != s {
		return
	}
	for _, p := range s.chosen {
		next := o.book.addPart(s, p.shard, p.wire+".fetch")
		o.m.Part(next.id, s.no, next.shard, 1/float64(len(s.chosen)))
	}
	s.chosen = nil
}

// Throttle is an action of the module: asking again is harmless.
func (o *Life) Throttle(id uint64, in time.Duration) {
	if s := o.book.scans[id]; s != nil {
		o.end(s, Answer{Kind: Throttled, After: in})
	}
}

// Abandon is an action of the module: nothing is promised.
func (o *Life) Abandon(id uint64) {
	if s := o.book.scans[id]; s != nil {
		o.end(s, Answer{Kind: Abandoned})
	}
}
