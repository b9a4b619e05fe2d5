package mixer

import (
	"context"
	"os"

	"go.uber.org/zap"
)

// ReloadOnSignal reloads the configuration at each signal, until the context ends. If the new one is invalid,
// the old one stays in force. Signals that arrive during a reload may be merged in the channel: the next reload reads the
// latest file.
func (m *Mixer) ReloadOnSignal(ctx context.Context, signals <-chan os.Signal, load func() (Config, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		c, err := load()
		if err != nil {
			m.log.Error("new configuration not taken, the old one stays in force", zap.Error(err))
			continue
		}
		m.Reload(c)
	}
}

// Reload applies what can change while scans are in flight: the address of discovery and the members' keys. Other
// differences from the configuration at start are logged, and take effect at the next start.
func (m *Mixer) Reload(c Config) {
	if keys := m.cfg.RestartKeys(c); len(keys) > 0 {
		m.log.Warn("changed keys that take effect only at a start", zap.Strings("keys", keys))
	}
	m.watch.SetAddress(c.Discovery)
	if peers := m.peers.Load(); peers != nil {
		if g := peers.joined(); g != nil {
			if err := g.Rotate(); err != nil {
				m.log.Error("keys not read again, the old ones stay in force", zap.Error(err))
			}
		}
	}
	m.log.Info("configuration read again", zap.String("discovery", c.Discovery))
}
