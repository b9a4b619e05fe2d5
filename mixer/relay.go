package mixer

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"peathollow/brain"
	"peathollow/internal/proto"
)

// The fifth stage: what searchers say goes to the module, and what it settles becomes the client's answer.

func (o *owner) answered(l *lane, a proto.Answer, more bool) {
	p := o.book.byWire[a.ID]
	no, ok := l.out[p]
	if !ok {
		// Late, or a second copy; or it was never asked here, and nothing on this connection can be trusted.
		if !l.past.heard(a.ID) {
			l.conn.Fail(errNeverAsked)
		}
		return
	}
	// More than belongs to the answers that are due: the next part sent here would be lost to it. This answer counts.
	if more && len(l.out) == 1 && !l.past.anyDue() {
		l.retire()
	}
	if a.End == brain.Pass && !p.in && !p.over {
		p.in, p.value, p.score = true, a.Value, a.Score
		o.book.open--
	}
	o.returned(p, no, a.End)
}

var errNeverAsked = errors.New("answer to a part never asked on this connection")

// closed ends what was out on a connection: what was not written whole never ran.
func (o *owner) closed(l *lane, why error) {
	o.fleet.lanes--
	l.s.lanes = slices.DeleteFunc(l.s.lanes, func(x *lane) bool { return x == l })
	lost := make([]*part, 0, len(l.out))
	for p := range l.out {
		lost = append(lost, p)
	}
	if len(lost) == 0 {
		return
	}
	o.log.Warn("connection lost", zap.String("searcher", l.s.host.Name), zap.Int("parts", len(lost)), zap.Error(why))
	slices.SortFunc(lost, func(a, b *part) int { return cmp.Compare(a.id, b.id) })
	for _, p := range lost {
		no := l.out[p]
		end := brain.NoRoute
		if t := &p.tries[no]; l.conn.Ran(t.seq) {
			if end = brain.Cut; t.end != brain.Stale {
				end = t.end
			}
		}
		o.returned(p, no, end)
	}
}

// Complete is an action of the module. In a table type with a second step the first such answer picks the
// shards that go on, by score, and hands their parts over in the next batch.
func (o *owner) Complete(id uint64, whole bool) {
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
	o.end(s, answer{kind: completed, body: proto.WriteAnswer(whole, rows)})
}

func (o *owner) secondStep(s *scan, in []*part, n int, whole bool) {
	s.step, s.whole = 1, whole
	for _, p := range in {
		s.from = append(s.from, p.shard)
	}
	slices.Sort(s.from)
	slices.SortFunc(in, func(a, b *part) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.shard, b.shard))
	})
	o.closeStep(s)
	o.later = append(o.later, func() {
		if o.book.scans[s.id] != s {
			return
		}
		for _, p := range in[:n] {
			next := o.book.addPart(s, p.shard, p.wire+".fetch")
			o.m.Part(next.id, s.no, next.shard, 1/float64(n))
		}
	})
}

// Throttle is an action of the module: asking again is harmless.
func (o *owner) Throttle(id uint64, in time.Duration) {
	if s := o.book.scans[id]; s != nil {
		o.end(s, answer{kind: throttled, after: in})
	}
}

// Abandon is an action of the module: nothing is promised.
func (o *owner) Abandon(id uint64) {
	if s := o.book.scans[id]; s != nil {
		o.end(s, answer{kind: abandoned})
	}
}
