package mixer

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"peathollow/internal/member"
)

// crowd is this mixer among others, where a settings file wants anything of them: one group carries what the duties and
// the fleet say to each other. Beside the stages of a scan, and off the owner's way.
type crowd struct {
	log    *zap.Logger
	minder *minder // nil where no duties are shared
	ally   *ally   // nil where the fleet is not handled as one

	mu    sync.Mutex
	group *member.Group // nil while joining, and where there is nobody else
}

// gather begins to take part; nil where nothing is wanted of others.
func (m *Mixer) gather(o *owner) (*crowd, error) {
	c, ours := &crowd{log: m.log.Named("members")}, &m.cfg.Ours
	inc := uint64(time.Now().UnixNano()) // higher at each start, as clocks go
	most := 0
	var err error
	if ours.Duties.On {
		if c.minder, err = newMinder(&m.cfg, &m.lim, m.log, o, m.watch, inc, c.send); err != nil {
			return nil, err
		}
		most = ours.Duties.Instances
	}
	if ours.Fleet.On {
		if c.ally, err = newAlly(&m.cfg, m.log, o, inc, c.send); err != nil {
			return nil, err
		}
		most = max(most, ours.Fleet.Instances)
	}
	if most == 0 {
		return nil, nil
	}
	if most > 1 {
		g, err := member.Join(member.Config{Name: m.cfg.Name, Inc: inc, Bind: ours.Members.Bind,
			Seeds: ours.Members.Seeds, Keys: ours.Members.Keys}, m.lim.Members, c, c.log)
		if err != nil {
			return nil, err
		}
		c.mu.Lock() // the others may have spoken already
		c.group = g
		c.mu.Unlock()
	}
	return c, nil
}

// send hands a message over for one other, or for all; it is lost while there is no group, as any may be.
func (c *crowd) send(to string, b []byte) {
	if g := c.joined(); g != nil {
		g.Send(to, b)
	}
}

func (c *crowd) joined() *member.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.group
}

// View and Message come from the group.
func (c *crowd) View(others map[string]uint64) {
	if c.minder != nil {
		c.minder.View(others)
	}
	if c.ally != nil {
		c.ally.View(others)
	}
	c.log.Info("view", zap.Int("others", len(others)))
}

// Message tells the two kinds apart: the fleet's are text and begin with a brace, the duties' with their version.
func (c *crowd) Message(b []byte) {
	text := len(b) > 0 && b[0] == '{'
	switch {
	case text && c.ally != nil:
		c.ally.Message(b)
	case !text && c.minder != nil:
		c.minder.Message(b)
	}
}

// run looks after what is due until the context ends.
func (c *crowd) run(ctx context.Context) {
	var all sync.WaitGroup
	if c.minder != nil {
		all.Go(func() { c.minder.run(ctx) })
	}
	if c.ally != nil {
		all.Go(func() { c.ally.run(ctx) })
	}
	all.Wait()
}

// leave says goodbye: at once, so that others take over while scans in hand end.
func (c *crowd) leave() {
	if c.minder != nil {
		c.minder.leave()
	}
	if c.ally != nil {
		c.ally.leave()
	}
	if g := c.joined(); g != nil {
		if err := g.Leave(); err != nil {
			c.log.Warn("left without a word", zap.Error(err))
		}
	}
}
