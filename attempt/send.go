package attempt

import (
	"errors"
	"slices"
	"time"

	"peathollow/internal/proto"
	"peathollow/policy"
)

// The fourth stage: dispatches leave as frames, and are given up.

type sending struct {
	p  *part
	no int
}

func (s sending) srv() *searcher { return s.p.tries[s.no].srv }

// Dispatch is an action of the module; the frame leaves when the batch is done, with all that share its call.
func (o *Life) Dispatch(id uint64, srv int, until time.Duration) {
	p := o.book.parts[id]
	if p == nil {
		return
	}
	s := o.fleet.srvs[srv]
	p.tries = append(p.tries, try{srv: s, at: o.now, until: until, out: true, end: policy.Expired})
	p.live++
	s.live++
	o.out = append(o.out, sending{p, len(p.tries) - 1})
}

func (o *Life) flush() {
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
	return !t.out || t.end != policy.Expired || p.over
}

func (o *Life) send(srv *searcher, call []sending) {
	if len(call) == 0 {
		return
	}
	l := o.lane(srv, len(call))
	for l != nil && slices.ContainsFunc(call, func(c sending) bool { return l.mistakes(c.p) }) {
		l.retire()
		l = o.lane(srv, len(call))
	}
	calls := make([]proto.Call, len(call))
	for i, c := range call {
		q := &c.p.scan.Query
		calls[i] = proto.Call{ID: c.p.wire, Shard: c.p.shard, Text: q.Text,
			Until: o.start.Add(c.p.tries[c.no].until)}
		if o.set.Brain.Types[c.p.scan.class].Effect == policy.IdempotentByKey {
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
			o.returnLater(c.p, c.no, policy.Unreachable)
			continue
		}
		t := &c.p.tries[c.no]
		t.lane, t.seq = l, seq
		l.out[c.p], l.used = c.no, o.now
		o.timers.add(t.until, task{what: tooSlow, p: c.p, no: int32(c.no)})
		if by, ok := o.windowEnd(c.p, c.no); ok {
			o.timers.add(by, task{what: tooLate, p: c.p, no: int32(c.no)})
		}
	}
}

// Cancel is an action of the module.
func (o *Life) Cancel(id uint64, no int) {
	if p := o.book.parts[id]; p != nil && no < len(p.tries) {
		o.giveUp(p, no, policy.Cancelled)
	}
}

// giveUp stops waiting for a dispatch. Its end is told once the searcher is known to have heard, where the part may
// go elsewhere and copies are barred: nothing orders what is written on two connections, and what goes out elsewhere
// before that may be a second copy.
func (o *Life) giveUp(p *part, no int, end policy.Outcome) {
	t := &p.tries[no]
	if !t.out || t.end != policy.Expired {
		return
	}
	t.end = end
	switch {
	case t.takeBack(p):
		o.returnLater(p, no, policy.Expired)
	case !o.set.Brain.MayCancel:
		o.returnLater(p, no, end)
	case t.lane.ended:
		// Its end is awaited already.
	default:
		// With nothing heard since the part went out the connection itself is in doubt, and asked for the sake of
		// those that follow.
		proof := o.single(p) || t.lane.heard < t.at
		if seq, ok := t.lane.conn.GiveUp(p.wire, proof); ok {
			t.lane.kills[seq] = killed{p, no}
		} else {
			t.lane.conn.Close()
		}
	}
}

// windowEnd is when a further dispatch of a keyed part must have left, if an earlier one may have run.
func (o *Life) windowEnd(p *part, no int) (by time.Duration, ok bool) {
	ty := &o.set.Brain.Types[p.scan.class]
	if ty.Effect != policy.IdempotentByKey {
		return 0, false
	}
	for i := range no {
		if t := &p.tries[i]; !t.never {
			return t.at + ty.RepeatWindow, true
		}
	}
	return 0, false
}

// overWindow keeps a dispatch that waits to leave from leaving outside its window: what decided on it knew nothing of
// a connection slow to come up, or to take what is written. Where the frame has begun, its connection ends before the
// frame does.
func (o *Life) overWindow(p *part, no int) {
	t := &p.tries[no]
	if !t.out || t.lane == nil || t.lane.ended || t.lane.conn.Ran(t.seq) {
		return
	}
	if !t.takeBack(p) {
		t.lane.conn.Fail(errWindow)
		return
	}
	if t.end == policy.Expired {
		t.end = policy.Cancelled
		o.returnLater(p, no, policy.Expired)
	}
}

var errWindow = errors.New("a keyed part would arrive outside its window")

// single tells that a part may go out again, and then only when no dispatch of it is out.
func (o *Life) single(p *part) bool { return !p.over && !o.set.Brain.MayHedge }

// recall takes back what has not left when a step ends: nothing of a scan goes out after its final answer.
func (o *Life) recall(p *part) {
	for no := range p.tries {
		if t := &p.tries[no]; t.out && t.takeBack(p) {
			o.returnLater(p, no, policy.Expired)
		}
	}
}

// takeBack tells that a dispatch has not begun to leave, and now never will: its batch's end passes it over, or it
// is out of its connection's queue.
func (t *try) takeBack(p *part) bool { return t.lane == nil || t.lane.conn.Recall(t.seq, p.wire) }

// Told follows when frames that give parts up have ended. Those of one write share a clock reading: parts called
// off together must read as one failure of their searcher, or it would be kept off for far too long.
func (o *Life) Told(l *Lane, seqs []uint64) {
	for _, seq := range seqs {
		k, ok := l.kills[seq]
		delete(l.kills, seq)
		if ok && k.p.tries[k.no].out {
			o.returned(k.p, k.no, k.p.tries[k.no].end)
		}
	}
}
