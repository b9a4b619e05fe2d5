package link

import (
	"slices"
	"time"

	"peathollow/internal/proto"
)

// sentProbe is a probe that was written, perhaps after cancellations. A searcher reads the frames of one connection in
// order, so its answer also confirms those cancellations, whichever of several such probes it answers first.
type sentProbe struct {
	letter    byte
	seqs      []uint64
	probe     *Probe // nil after its result was reported, or if only a receipt is needed
	writtenAt time.Time
	timer     *time.Timer
}

// Probe is one health check of a searcher. Permit is called just before its bytes are written, and false keeps them from
// being written. Done is called once with the result, on a goroutine of the connection. Neither may block.
type Probe struct {
	Load    bool          // asks for a load report instead of a health status
	Timeout time.Duration // for the answer
	Permit  func() bool
	Done    func(ProbeResult)
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Sent, Answered bool
	Took           time.Duration // from the write to the answer or the timeout
	Text           string        // the answer as received: 200 or 500, a load report, or -
}

// Probe queues a probe. It returns false, and Done is not called, if the connection accepts no more frames.
func (c *Conn) Probe(p Probe) bool {
	_, ok := c.enqueue(frame{probe: &p})
	return ok
}

// appendProbe appends the bytes of a probe, if it is still permitted.
func (c *Conn) appendProbe(b []byte, p *Probe) []byte {
	if !p.Permit() {
		p.Done(ProbeResult{})
		return b
	}
	letter := byte(proto.LetterProbe)
	if p.Load {
		letter = proto.LetterLoad
	}
	c.expect(sentProbe{letter: letter, probe: p}, p.Timeout)
	return proto.AppendProbe(b, letter)
}

// expect records a probe that is about to be written. The connection ends if nothing at all arrives in time, or if so
// many probes are unanswered that the searcher evidently answers none.
func (c *Conn) expect(a sentProbe, wait time.Duration) {
	before := c.framesRead.Load()
	a.writtenAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := a.probe
	a.timer = time.AfterFunc(max(wait, c.limits.ReceiptTimeout), func() {
		if c.framesRead.Load() == before {
			c.Fail(proto.ErrUnresponsive)
		}
		if p == nil {
			return
		}
		// Its entry stays, so that a late answer does not count for the next probe.
		c.mu.Lock()
		i := slices.IndexFunc(c.pendingProbes, func(s sentProbe) bool { return s.probe == p })
		if i >= 0 {
			c.pendingProbes[i].probe = nil
		}
		c.mu.Unlock()
		if i >= 0 {
			p.Done(ProbeResult{Sent: true, Took: max(wait, c.limits.ReceiptTimeout)})
		}
	})
	if c.pendingProbes = append(c.pendingProbes, a); len(c.pendingProbes) > c.limits.QueueLength {
		go c.Fail(proto.ErrUnresponsive) // the lock is held here
	}
}

// report calls Done with the result, unless that was done already.
func (a *sentProbe) report(r ProbeResult) {
	if a.probe == nil {
		return
	}
	r.Took = time.Since(a.writtenAt)
	a.probe.Done(r)
}

// answered handles an answer, which belongs to the oldest probe with the same letter. It returns false if there is none.
func (c *Conn) answered(letter byte, text string) bool {
	c.mu.Lock()
	i := slices.IndexFunc(c.pendingProbes, func(a sentProbe) bool { return a.letter == letter })
	if i < 0 {
		c.mu.Unlock()
		return false
	}
	a := c.pendingProbes[i]
	c.pendingProbes = slices.Delete(c.pendingProbes, i, i+1)
	c.mu.Unlock()
	a.timer.Stop()
	a.report(ProbeResult{Sent: true, Answered: true, Text: text})
	if len(a.seqs) > 0 {
		c.events.CancelsConfirmed(c, a.seqs)
	}
	return true
}
