package mixer

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"peathollow/internal/member"
)

// peerGroup connects this mixer with others if the settings file enables shared duties or the fleet. One member group
// carries the messages of both. It runs outside the stages of a scan and never blocks the owner.
type peerGroup struct {
	log    *zap.Logger
	duties *dutyRunner  // nil if no duties are shared
	fleet  *fleetRunner // nil if overload is handled by each mixer alone

	mu    sync.Mutex
	group *member.Group // nil while joining, and if there is only one instance
}

// newPeerGroup joins the other instances. It returns nil if neither duties nor the fleet are enabled.
func (m *Mixer) newPeerGroup(o *owner) (*peerGroup, error) {
	p, settings := &peerGroup{log: m.log.Named("members")}, &m.cfg.Options
	incarnation := uint64(time.Now().UnixNano()) // increases with each start, provided that the clock does
	maxInstances := 0
	var err error
	if settings.Duties.On {
		if p.duties, err = newDutyRunner(&m.cfg, &m.limits, m.log, o, m.watch, incarnation, p.send); err != nil {
			return nil, err
		}
		maxInstances = settings.Duties.Instances
	}
	if settings.Fleet.On {
		if p.fleet, err = newFleetRunner(&m.cfg, m.log, o, incarnation, p.send); err != nil {
			return nil, err
		}
		maxInstances = max(maxInstances, settings.Fleet.Instances)
	}
	if maxInstances == 0 {
		return nil, nil
	}
	if maxInstances > 1 {
		g, err := member.Join(member.Config{Name: m.cfg.Name, Incarnation: incarnation, Bind: settings.Members.Bind,
			Seeds: settings.Members.Seeds, Keys: settings.Members.Keys}, m.limits.Members, p, p.log)
		if err != nil {
			return nil, err
		}
		p.mu.Lock() // messages of other members may have arrived already
		p.group = g
		p.mu.Unlock()
	}
	return p, nil
}

// send sends a message to one member, or to all. It is lost while there is no group; any message may be lost.
func (p *peerGroup) send(to string, b []byte) {
	if g := p.joined(); g != nil {
		g.Send(to, b)
	}
}

func (p *peerGroup) joined() *member.Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group
}

// View and Message are called by the member group.
func (p *peerGroup) View(others map[string]uint64) {
	if p.duties != nil {
		p.duties.View(others)
	}
	if p.fleet != nil {
		p.fleet.View(others)
	}
	p.log.Info("view", zap.Int("others", len(others)))
}

// Message distinguishes two kinds: fleet messages are text and begin with a brace, duty messages begin with their version.
func (p *peerGroup) Message(b []byte) {
	text := len(b) > 0 && b[0] == '{'
	switch {
	case text && p.fleet != nil:
		p.fleet.Message(b)
	case !text && p.duties != nil:
		p.duties.Message(b)
	}
}

// run serves the timers of both parts until the context ends.
func (p *peerGroup) run(ctx context.Context) {
	var all sync.WaitGroup
	if p.duties != nil {
		all.Go(func() { p.duties.run(ctx) })
	}
	if p.fleet != nil {
		all.Go(func() { p.fleet.run(ctx) })
	}
	all.Wait()
}

// leave leaves the group immediately, so that others take over while the scans in flight are finished.
func (p *peerGroup) leave() {
	if p.duties != nil {
		p.duties.leave()
	}
	if p.fleet != nil {
		p.fleet.leave()
	}
	if g := p.joined(); g != nil {
		if err := g.Leave(); err != nil {
			p.log.Warn("left the group without notice", zap.Error(err))
		}
	}
}
