package explore

import (
	"fmt"
	"slices"

	"peathollow/internal/proto"
	"peathollow/policy"
)

// What a connection does to what is sent on it, and what its reader says.

// words are what a reader may say.
func (c *conn) words(in func(label, func())) {
	w := c.w
	say := func(l label, do func()) {
		in(l, func() {
			if c.closing {
				w.spend()
			}
			do()
		})
	}
	for _, x := range w.sents {
		if x.c != c {
			continue
		}
		if x.state == onWire {
			say(label{c, "answers", x, ""}, func() { c.answer(x, policy.Succeeded, false) })
			if w.may(fBehind) {
				say(label{c, "answers", x, ", with bytes right behind"}, func() { w.spend(); c.answer(x, policy.Succeeded, true) })
			}
			if w.may(fRefuse) && !x.killed {
				say(label{c, "turns", x, " away"}, func() { w.spend(); c.answer(x, policy.Overloaded, false) })
			}
			if w.may(fError) {
				say(label{c, "answers", x, " with an error"}, func() { w.spend(); c.answer(x, policy.Failed, false) })
			}
			if w.may(fSpoilt) && !c.closing {
				say(label{c, "answers", x, " unreadably"}, func() { w.spend(); c.end(errSpoilt) })
			}
		}
		if (x.state == begun || x.state == queued && !c.taken && !c.shut) && w.may(fEarly) {
			say(label{c, "answers", x, " before its write has returned"}, func() { w.spend(); c.early(x) })
		}
		if x.state == answered && !x.twice && w.may(fTwice) {
			say(label{c, "answers", x, " again"}, func() { w.spend(); x.twice = true; c.hear(x, x.end, false) })
		}
	}
	if i := c.receipt(); i >= 0 {
		say(label{c: c, text: "has its reader's receipt"}, func() { c.receipted() })
	}
	if w.may(fStranger) && c.writ > 0 {
		say(label{c: c, text: "answers what was never asked there"}, func() {
			w.spend()
			w.life.AnswerReceived(c.l, proto.Answer{ID: "nobody.0", End: policy.Succeeded}, false)
		})
	}
}

// take has the connection's writer take up all that waits.
func (c *conn) take() {
	c.taken = true
	for _, f := range c.frames {
		if f.whole || f.taken {
			continue
		}
		f.taken = true
		for _, x := range f.calls {
			x.state = begun
			c.w.leaves(x)
		}
	}
}

// finish has so many of the frames taken up written whole.
func (c *conn) finish(n int) {
	for _, f := range c.frames {
		if f.whole || !f.taken {
			continue
		}
		if n--; n < 0 {
			return
		}
		f.whole = true
		c.writ = f.seq
		for _, x := range f.calls {
			x.state, x.at, x.wrote = onWire, c.w.now, true
			c.w.wrote(x)
		}
		if f.behind != nil {
			f.behind.killed = true
		}
	}
	c.taken = slices.ContainsFunc(c.frames, func(f *frame) bool { return f.taken && !f.whole })
	c.tidy()
}

// tidy lets go of frames of which nothing is to come.
func (c *conn) tidy() {
	c.frames = slices.DeleteFunc(c.frames, func(f *frame) bool {
		if !f.whole || f.stop != "" {
			return false
		}
		return !slices.ContainsFunc(f.calls, func(x *sent) bool { return x.state == onWire })
	})
}

// tell finds a frame that gives a part up, needs no proof, and was written.
func (c *conn) tell() int {
	return slices.IndexFunc(c.frames, func(f *frame) bool { return f.whole && f.stop != "" && !f.proof })
}

func (c *conn) told() { c.hand(func(f *frame) bool { return !f.proof }) }

// receipt finds the same where proof is needed.
func (c *conn) receipt() int {
	return slices.IndexFunc(c.frames, func(f *frame) bool { return f.whole && f.stop != "" && f.proof })
}

func (c *conn) receipted() {
	c.heardTo(c.last)
	c.hand(func(f *frame) bool { return f.proof })
}

// hand tells the life of all such frames that are written.
func (c *conn) hand(which func(*frame) bool) {
	var seqs []uint64
	c.frames = slices.DeleteFunc(c.frames, func(f *frame) bool {
		if !f.whole || f.stop == "" || !which(f) {
			return false
		}
		seqs = append(seqs, f.seq)
		return true
	})
	c.tidy()
	c.w.life.CancelsConfirmed(c.l, seqs)
}

// heardTo: the reader has read all that was written up to there.
func (c *conn) heardTo(seq uint64) {
	for _, f := range c.frames {
		if f.whole && f.stop != "" && f.seq <= seq && f.behind != nil && f.behind.state == onWire {
			f.behind.state = heardOf
		}
	}
}

func (c *conn) answer(x *sent, end policy.Outcome, more bool) {
	// It has read what came before.
	c.heardTo(x.seq)
	x.state, x.end = answered, end
	c.tidy()
	c.hear(x, end, more)
}

// early is an answer to a frame whose last byte is out, while the connection does not know yet.
func (c *conn) early(x *sent) {
	if !c.taken {
		c.take()
		defer func() { c.finish(len(c.frames)) }()
	}
	n := 0
	for _, f := range c.frames {
		n += b2i(f.taken && !f.whole && f.seq <= x.seq)
	}
	before := c.writ
	c.finish(n)
	after := c.writ
	c.writ = before
	c.answer(x, policy.Succeeded, false)
	c.writ = max(c.writ, after)
}

func (c *conn) hear(x *sent, end policy.Outcome, more bool) {
	value := fmt.Sprintf("%d.%d.%d.%d", x.scan.nr, x.step, x.shard, x.nr)
	if end == policy.Succeeded {
		x.scan.in = append(x.scan.in, came{x.step, x.shard, value})
	}
	c.w.life.AnswerReceived(c.l, proto.Answer{ID: x.wire, End: end, Value: value, Score: 1}, more)
}

// end is the end of the writing side, or of all.
func (c *conn) end(why error) {
	c.shut, c.closing = true, true
	c.taken = false
	c.frames = slices.DeleteFunc(c.frames, func(f *frame) bool {
		if f.whole {
			return false
		}
		for _, x := range f.calls {
			x.state = ended // it never left whole, and never will
		}
		return true
	})
	c.w.life.ConnectionClosing(c.l, why)
}

// endAll: what was out at the reader on this connection has ended there.
func (c *conn) endAll() {
	for _, x := range c.w.sents {
		if x.c == c && x.state == onWire {
			x.state = ended
		}
	}
}

// gone is the end of the connection, with the reader's end or without.
func (c *conn) gone(heard bool) {
	if heard {
		c.endAll()
	}
	c.closed, c.frames = true, nil
	c.w.life.ConnectionClosed(c.l, heard)
}
