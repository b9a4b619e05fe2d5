package explore

import (
	"fmt"
	"slices"

	"peathollow/attempt"
	"peathollow/internal/proto"
	"peathollow/policy"
)

// conn is one connection as its port tells it.
type conn struct {
	w       *World
	l       *attempt.Connection
	nr      int
	reader  int
	addr    string
	frames  []*frame // those of which something is still to come
	last    uint64
	writ    uint64
	shut    bool
	why     error
	taken   bool // what is queued was taken up, and is not finished
	broken  bool // by the reader
	closing bool
	closed  bool
}

type frame struct {
	seq    uint64
	calls  []*sent
	stop   string
	proof  bool
	taken  bool
	whole  bool
	behind *sent // which dispatch it gives up
}

func (c *conn) name() string { return fmt.Sprintf("connection %d (reader %s)", c.nr+1, c.addr) }

// full asks whether the connection takes no frame this time.
func (c *conn) full() bool {
	c.w.inside++
	defer func() { c.w.inside-- }()
	return c.w.may(fFull) && c.w.pick(2, func(i int) string {
		return [...]string{c.name() + " takes a frame", c.name() + " takes no frame"}[i]
	}) == 1 && c.w.spend()
}

func (c *conn) Send(calls []proto.Call) (uint64, bool) {
	w := c.w
	if r := w.readers[c.reader]; r.state != policy.Ready && w.now > r.toldAt {
		w.broke(drains, "%s is handed parts %v after it was told", c.name(), w.now-r.toldAt)
	}
	if c.shut || c.full() {
		return 0, false
	}
	f := &frame{}
	for _, k := range calls {
		// The last scan of that id: an earlier one has ended.
		s := w.scans[len(w.scans)-1]
		x := &sent{c: c, scan: s, wire: k.ID, shard: k.Shard}
		if len(k.From) > 0 || k.ID[len(k.ID)-1] == 'h' {
			x.step = 1
			w.secondStep(s, k)
		}
		for _, y := range w.sents {
			if y.scan == s && y.wire == x.wire {
				x.nr = y.nr + 1
			}
		}
		f.calls = append(f.calls, x)
		w.sents = append(w.sents, x)
	}
	return c.put(f), true
}

func (c *conn) put(f *frame) uint64 {
	c.last++
	f.seq = c.last
	for _, x := range f.calls {
		x.seq = f.seq
	}
	c.frames = append(c.frames, f)
	return f.seq
}

func (c *conn) Cancel(id string, proof bool) (uint64, bool) {
	if c.shut || c.full() {
		return 0, false
	}
	f := &frame{stop: id, proof: proof}
	for _, x := range c.w.sents {
		if x.c == c && x.wire == id {
			f.behind = x
		}
	}
	return c.put(f), true
}

func (c *conn) Withdraw(seq uint64, id string) bool {
	for i, f := range c.frames {
		if f.seq != seq || f.taken || f.whole || f.stop != "" {
			continue
		}
		f.calls = slices.DeleteFunc(f.calls, func(x *sent) bool {
			if x.wire == id {
				x.state = recalled
			}
			return x.wire == id
		})
		if len(f.calls) == 0 {
			c.frames = slices.Delete(c.frames, i, i+1)
		}
		return true
	}
	return false
}

func (c *conn) Written(seq uint64) bool { return seq <= c.writ }
func (c *conn) Closing() bool           { return c.shut }

func (c *conn) WriteStarted(seq uint64) bool {
	return !slices.ContainsFunc(c.frames, func(f *frame) bool { return f.seq == seq && !f.taken })
}

func (c *conn) Close() { c.Fail(errShut) }

func (c *conn) Fail(why error) {
	if !c.shut {
		c.shut, c.why = true, why
	}
}

func (c *conn) find(seq uint64, wire string) *sent {
	for _, x := range c.w.sents {
		if x.c == c && x.seq == seq && x.wire == wire {
			return x
		}
	}
	return nil
}
