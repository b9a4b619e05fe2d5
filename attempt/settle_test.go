package attempt

import (
	"testing"
	"time"

	"peathollow/brain"
	"peathollow/internal/config"
	"peathollow/internal/proto"
)

const settleIn = 5 * time.Millisecond

// settling is a life with a part written to its one searcher, and what time it is told.
func settling(t *testing.T, copies bool) (*Life, *wires, *part, *Lane) {
	t.Helper()
	o, w := begin(t, func(set *config.Settings) { set.Brain.SecondCopies, set.Brain.MayCancel = copies, true })
	o.lim.Settle = settleIn
	o.List(brain.Whole, proto.List{Hosts: []proto.Host{{Name: "a", Addr: "there", Cell: 1, Weight: 1}}})
	s := onePart("x")
	o.Admit(s, 0)
	o.flush()
	w.write()
	p := s.parts[0]
	return o, w, p, p.tries[0].lane
}

// after opens and closes a batch so much later.
func (o *Life) after(d time.Duration) {
	plain := func(f func()) { f() }
	o.At(o.now+d, plain)
	o.Due(plain)
}

// Whatever word ends a dispatch that may have run, its part goes nowhere else before what that word may have overtaken
// has come. Against a second copy while the answer to the first is on its way, or while a searcher that has ended its
// side of a connection reads on.
func TestEndsSettle(t *testing.T) {
	for name, end := range map[string]func(*Life, *wires, *part, *Lane){
		"receipt": func(o *Life, w *wires, p *part, l *Lane) {
			o.giveUp(p, 0, brain.TooSlow)
			w.write()
			o.Told(l, []uint64{l.conn.(*wire).last})
		},
		"answer behind it": func(o *Life, w *wires, p *part, l *Lane) {
			o.giveUp(p, 0, brain.TooSlow)
			s := onePart("y")
			o.Admit(s, 0)
			o.flush()
			w.write()
			o.Answered(l, proto.Answer{ID: "y.1", End: brain.Pass}, false)
		},
		"error": func(o *Life, _ *wires, _ *part, l *Lane) {
			o.Answered(l, proto.Answer{ID: "x.1", End: brain.Fault}, false)
		},
		"searcher's end": func(_ *Life, w *wires, _ *part, l *Lane) {
			l.conn.Fail(errNeverAsked)
			w.end(true)
		},
	} {
		for _, copies := range []bool{false, true} {
			o, w, p, l := settling(t, copies)
			end(o, w, p, l)
			if p.tries[0].out != !copies {
				t.Errorf("%s, copies %t: out %t at once", name, copies, p.tries[0].out)
			}
			o.after(settleIn - 1)
			if p.tries[0].out != !copies {
				t.Errorf("%s, copies %t: out %t too early", name, copies, p.tries[0].out)
			}
			o.after(1)
			if p.tries[0].out {
				t.Errorf("%s, copies %t: still out", name, copies)
			}
		}
	}
}

// An answer that a receipt has overtaken counts. Against throwing a value away and having it made once more.
func TestAnOvertakenAnswerCounts(t *testing.T) {
	o, w, p, l := settling(t, false)
	var got *Answer
	p.scan.Reply = func(a Answer) { got = &a }
	o.giveUp(p, 0, brain.TooSlow)
	w.write()
	o.Told(l, []uint64{l.conn.(*wire).last})
	o.Answered(l, proto.Answer{ID: "x.1", End: brain.Pass, Value: "v"}, false)
	o.after(settleIn)
	if got == nil || got.Kind != Completed || len(p.tries) != 1 {
		t.Errorf("answered %+v after %d dispatches", got, len(p.tries))
	}
}

// A part goes out once on a connection: a late answer there, or one that comes twice, would count the next dispatch as
// back while it runs. Where such an answer comes all the same, the log can name it.
func TestAPartGoesOutOnceOnAConnection(t *testing.T) {
	for name, end := range map[string]func(*Life, *wires, *part, *Lane){
		"given up": func(o *Life, w *wires, p *part, l *Lane) {
			o.giveUp(p, 0, brain.Undone)
			w.write()
			o.Told(l, []uint64{l.conn.(*wire).last})
		},
		"error": func(o *Life, _ *wires, _ *part, l *Lane) {
			o.Answered(l, proto.Answer{ID: "x.1", End: brain.Fault}, false)
		},
	} {
		o, w, p, l := settling(t, false)
		end(o, w, p, l)
		o.after(settleIn)
		if len(p.tries) == 1 {
			o.Dispatch(p.id, 0, o.now+time.Second)
			o.flush()
		}
		w.write()
		if p.tries[1].lane == l || !p.tries[1].out {
			t.Errorf("%s: it went out again where its answer may come", name)
		}
		o.Answered(l, proto.Answer{ID: "x.1", End: brain.Fault}, false)
		if !p.tries[1].out {
			t.Errorf("%s: an earlier dispatch's answer counts", name)
		}
		if len(w.behind) != 1 || w.behind[0].Out != "a" || w.behind[0].Part != "x.1" {
			t.Errorf("%s: told %+v", name, w.behind)
		}
	}
}
