package mixer

import (
	"context"
	"os"

	"go.uber.org/zap"
)

// Follow reads the configuration again at each signal, until the context ends. One that cannot be used leaves the
// old one in force. Signals that come during a reading may be one in the channel: what is read then is the latest.
func (m *Mixer) Follow(ctx context.Context, again <-chan os.Signal, load func() (Config, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-again:
		}
		c, err := load()
		if err != nil {
			m.log.Error("new configuration not taken, the old one stays in force", zap.Error(err))
			continue
		}
		m.Reload(c)
	}
}

// Reload puts into force what can change while scans are in hand: where discovery is. What else differs from the
// configuration of the start waits for the next one, and the log names it.
func (m *Mixer) Reload(c Config) {
	if keys := m.cfg.Differs(c); len(keys) > 0 {
		m.log.Warn("changed keys that take effect only at a start", zap.Strings("keys", keys))
	}
	m.watch.Move(c.Discovery)
	if c := m.crowd.Load(); c != nil {
		if g := c.joined(); g != nil {
			if err := g.Rotate(); err != nil {
				m.log.Error("keys not read again, the old ones stay in force", zap.Error(err))
			}
		}
	}
	m.log.Info("configuration read again", zap.String("discovery", c.Discovery))
}
