package explore

import (
	"fmt"
	"slices"

	"peathollow/attempt"
	"peathollow/internal/proto"
	"peathollow/policy"
)

// conn is a simulated connection; it implements attempt.TransportConn.
type conn struct {
	sim             *Simulation
	connection      *attempt.Connection
	index           int
	searcher        int
	addr            string
	frames          []*frame // those that a further event can still concern
	lastSeq         uint64
	writtenSeq      uint64
	closeRequested  bool
	closeReason     error
	writing         bool // a write has started and is not complete
	endedBySearcher bool // the searcher closed or broke the connection
	writeSideEnded  bool
	closed          bool
}

// frame is a frame queued or written on a connection: parts to run, or the cancellation of one.
type frame struct {
	seq          uint64
	calls        []*dispatch
	cancelID     string
	needsReceipt bool
	writeStarted bool
	written      bool
	cancels      *dispatch // the dispatch that it cancels
}

func (c *conn) name() string { return fmt.Sprintf("connection %d (reader %s)", c.index+1, c.addr) }

// refusesFrame chooses whether the connection refuses a frame (fault full).
func (c *conn) refusesFrame() bool {
	c.sim.policyDepth++
	defer func() { c.sim.policyDepth-- }()
	return c.sim.faultAllowed(faultFull) && c.sim.choose(2, func(i int) string {
		return [...]string{c.name() + " takes a frame", c.name() + " takes no frame"}[i]
	}) == 1 && c.sim.spendFault()
}

func (c *conn) Send(calls []proto.Call) (uint64, bool) {
	sim := c.sim
	if r := sim.searchers[c.searcher]; r.state != policy.Ready && sim.now > r.changedAt {
		sim.violate(propDrains, "%s receives parts %v after its searcher was listed as draining or removed", c.name(),
			sim.now-r.changedAt)
	}
	if c.closeRequested || c.refusesFrame() {
		return 0, false
	}
	f := &frame{}
	for _, k := range calls {
		// The ID belongs to the last scan: any earlier scan of the same ID has ended.
		s := sim.scans[len(sim.scans)-1]
		x := &dispatch{conn: c, scan: s, wireID: k.ID, shard: k.Shard}
		if len(k.From) > 0 || k.ID[len(k.ID)-1] == 'h' {
			x.step = 1
			sim.checkSecondStep(s, k)
		}
		for _, other := range sim.dispatches {
			if other.scan == s && other.wireID == x.wireID {
				x.index = other.index + 1
			}
		}
		f.calls = append(f.calls, x)
		sim.dispatches = append(sim.dispatches, x)
	}
	return c.enqueue(f), true
}

func (c *conn) enqueue(f *frame) uint64 {
	c.lastSeq++
	f.seq = c.lastSeq
	for _, x := range f.calls {
		x.seq = f.seq
	}
	c.frames = append(c.frames, f)
	return f.seq
}

func (c *conn) Cancel(id string, needsReceipt bool) (uint64, bool) {
	if c.closeRequested || c.refusesFrame() {
		return 0, false
	}
	f := &frame{cancelID: id, needsReceipt: needsReceipt}
	for _, x := range c.sim.dispatches {
		if x.conn == c && x.wireID == id {
			f.cancels = x
		}
	}
	return c.enqueue(f), true
}

func (c *conn) Withdraw(seq uint64, id string) bool {
	for i, f := range c.frames {
		if f.seq != seq || f.writeStarted || f.written || f.cancelID != "" {
			continue
		}
		f.calls = slices.DeleteFunc(f.calls, func(x *dispatch) bool {
			if x.wireID == id {
				x.state = withdrawn
			}
			return x.wireID == id
		})
		if len(f.calls) == 0 {
			c.frames = slices.Delete(c.frames, i, i+1)
		}
		return true
	}
	return false
}

func (c *conn) Written(seq uint64) bool { return seq <= c.writtenSeq }
func (c *conn) Closing() bool           { return c.closeRequested }

func (c *conn) WriteStarted(seq uint64) bool {
	return !slices.ContainsFunc(c.frames, func(f *frame) bool { return f.seq == seq && !f.writeStarted })
}

func (c *conn) Close() { c.Fail(errClosedByMixer) }

func (c *conn) Fail(reason error) {
	if !c.closeRequested {
		c.closeRequested, c.closeReason = true, reason
	}
}

func (c *conn) find(seq uint64, wireID string) *dispatch {
	for _, x := range c.sim.dispatches {
		if x.conn == c && x.seq == seq && x.wireID == wireID {
			return x
		}
	}
	return nil
}
