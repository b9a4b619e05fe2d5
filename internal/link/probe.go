package link

import (
	"slices"
	"time"

	"peathollow/internal/proto"
)

// ask is a probe that was written, maybe behind frames that give parts up. What a searcher reads on one connection it
// reads in order, so that its answer is the receipt for them, whichever of several such probes it answers first.
type ask struct {
	letter byte
	seqs   []uint64
	probe  *Probe // nil once told, or where only a receipt is wanted
	at     time.Time
	clock  *time.Timer
}

// Probe is one look at a searcher. Permit is asked when its bytes are about to be written, and keeps them back if it
// says no. Done is told once, from a goroutine of the connection's; neither may block.
type Probe struct {
	Load   bool          // asks for the load report, in place of a sign of life
	Wait   time.Duration // for the answer
	Permit func() bool
	Done   func(Probed)
}

// Probed is what came of a probe.
type Probed struct {
	Sent, Answered bool
	Took           time.Duration // from the write to the answer, or till it was given up
	Word           string        // the answer as it came: 200 or 500, a load report, or -
}

// Probe queues a probe; false, and nothing is told, if the connection takes no more.
func (c *Conn) Probe(p Probe) bool {
	_, ok := c.put(frame{probe: &p})
	return ok
}

// probe writes a probe, if it still may go.
func (c *Conn) probe(b []byte, p *Probe) []byte {
	if !p.Permit() {
		p.Done(Probed{})
		return b
	}
	letter := byte(proto.LetterProbe)
	if p.Load {
		letter = proto.LetterLoad
	}
	c.expect(ask{letter: letter, probe: p}, p.Wait)
	return proto.AppendProbe(b, letter)
}

// expect notes a probe. It ends the connection if nothing at all is heard in time, or if so many go unanswered that
// this searcher answers none.
func (c *Conn) expect(a ask, wait time.Duration) {
	before := c.heard.Load()
	a.at = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := a.probe
	a.clock = time.AfterFunc(max(wait, c.lim.Receipt), func() {
		if c.heard.Load() == before {
			c.Fail(proto.ErrMute)
		}
		if p == nil {
			return
		}
		// Its place stays: a late answer must not count for the next.
		c.mu.Lock()
		i := slices.IndexFunc(c.asked, func(x ask) bool { return x.probe == p })
		if i >= 0 {
			c.asked[i].probe = nil
		}
		c.mu.Unlock()
		if i >= 0 {
			p.Done(Probed{Sent: true, Took: max(wait, c.lim.Receipt)})
		}
	})
	if c.asked = append(c.asked, a); len(c.asked) > c.lim.Queue {
		go c.Fail(proto.ErrMute) // the lock is held here
	}
}

// tell says what came of a probe, if that was not said yet.
func (a *ask) tell(r Probed) {
	if a.probe == nil {
		return
	}
	r.Took = time.Since(a.at)
	a.probe.Done(r)
}

// receipt is the answer to the oldest probe of its letter.
func (c *Conn) receipt(letter byte, word string) bool {
	c.mu.Lock()
	i := slices.IndexFunc(c.asked, func(a ask) bool { return a.letter == letter })
	if i < 0 {
		c.mu.Unlock()
		return false
	}
	a := c.asked[i]
	c.asked = slices.Delete(c.asked, i, i+1)
	c.mu.Unlock()
	a.clock.Stop()
	a.tell(Probed{Sent: true, Answered: true, Word: word})
	if len(a.seqs) > 0 {
		c.ev.Told(c, a.seqs)
	}
	return true
}
