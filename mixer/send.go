package mixer

import (
	"slices"
	"time"

	"peathollow/brain"
	"peathollow/internal/proto"
)

// The fourth stage: dispatches leave as frames, and are given up.

type sending struct {
	p  *part
	no int
}

func (s sending) srv() *searcher { return s.p.tries[s.no].srv }

// Dispatch is an action of the module; the frame leaves when the batch is done, with all that share its call.
func (o *owner) Dispatch(id uint64, srv int, until time.Duration) {
	p := o.book.parts[id]
	if p == nil {
		return
	}
	s := o.fleet.srvs[srv]
	p.tries = append(p.tries, try{srv: s, at: o.now, until: until, out: true, end: brain.Stale})
	p.live++
	s.live++
	o.out = append(o.out, sending{p, len(p.tries) - 1})
}

func (o *owner) flush() {
	for len(o.out) > 0 {
		srv := o.out[0].srv()
		var call []sending
		o.out = slices.DeleteFunc(o.out, func(s sending) bool {
			if s.srv() != srv || len(call) >= max(1, o.set.Brain.PartsPerCall) {
				return false
			}
			call = append(call, s)
			return true
		})
		o.send(srv, slices.DeleteFunc(call, func(s sending) bool { return s.p.unwanted(s.no) }))
	}
}

// unwanted tells that a dispatch was overtaken by the end of its scan or was called off within its batch.
func (p *part) unwanted(no int) bool {
	t := &p.tries[no]
	return !t.out || t.end != brain.Stale || p.over
}

func (o *owner) send(srv *searcher, call []sending) {
	if len(call) == 0 {
		return
	}
	l := o.lane(srv, len(call))
	calls := make([]proto.Call, len(call))
	for i, c := range call {
		q := &c.p.scan.q
		calls[i] = proto.Call{ID: c.p.wire, Shard: c.p.shard, Text: q.Text,
			Until: o.start.Add(c.p.tries[c.no].until)}
		if o.set.Brain.Types[c.p.scan.class].Effect == brain.Keyed {
			calls[i].Key = q.Key
		}
		if c.p.scan.step > 0 {
			calls[i].From, calls[i].Whole = c.p.scan.from, c.p.scan.whole
		}
	}
	var seq uint64
	ok := false
	if l != nil {
		seq, ok = l.conn.Send(calls)
	}
	for _, c := range call {
		if !ok { // no connection may be had, or this one takes no more: it never left
			o.returnLater(c.p, c.no, brain.NoRoute)
			continue
		}
		t := &c.p.tries[c.no]
		t.lane, t.seq = l, seq
		l.out[c.p], l.used = c.no, o.now
		o.timers.add(t.until, func() { o.giveUp(c.p, c.no, brain.TooSlow) })
	}
}

// Cancel is an action of the module.
func (o *owner) Cancel(id uint64, no int) {
	if p := o.book.parts[id]; p != nil && no < len(p.tries) {
		o.giveUp(p, no, brain.Undone)
	}
}

// giveUp stops waiting for a dispatch. Its end is told only once the searcher has been told: what goes out
// elsewhere before that would be a second copy.
func (o *owner) giveUp(p *part, no int, end brain.Outcome) {
	t := &p.tries[no]
	if !t.out || t.end != brain.Stale {
		return
	}
	t.end = end
	switch {
	case t.takeBack(p):
		o.returnLater(p, no, brain.Stale)
	case !o.set.MayCancel:
		o.returnLater(p, no, end)
	case t.lane.conn.Midway():
		// A connection that stops in the midst of an answer is likely spoilt, and word of giving up on it not read:
		// the part would count as out while it goes elsewhere. Its end is heard in any case.
		t.lane.conn.Close()
	default:
		if seq, ok := t.lane.conn.GiveUp(p.wire); ok {
			t.lane.kills[seq] = p
		} else {
			t.lane.conn.Close()
		}
	}
}

// recall takes back what has not left when a step ends: nothing of a scan goes out after its final answer.
func (o *owner) recall(p *part) {
	for no := range p.tries {
		if t := &p.tries[no]; t.out && t.takeBack(p) {
			o.returnLater(p, no, brain.Stale)
		}
	}
}

// takeBack tells that a dispatch has not begun to leave, and now never will: its batch's end passes it over, or it
// is out of its connection's queue.
func (t *try) takeBack(p *part) bool { return t.lane == nil || t.lane.conn.Recall(t.seq, p.wire) }

// givenUp follows when frames that give parts up are written. Those of one write share a clock reading: parts
// called off together must read as one failure of their searcher, or it would be kept off for far too long.
func (o *owner) givenUp(l *lane, seqs []uint64) {
	for _, seq := range seqs {
		p := l.kills[seq]
		delete(l.kills, seq)
		if p == nil {
			continue
		}
		if no, ok := l.out[p]; ok {
			o.returned(p, no, p.tries[no].end)
		}
	}
}
