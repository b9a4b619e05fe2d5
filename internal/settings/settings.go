package settings

import (
	"bytes"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/magiconair/properties"

	"peathollow/internal/exporter"
)

// Settings describes a process and the rules in force.
type Settings struct {
	Node, Role, Class, IP, Zone, Region string
	Zones                               map[string]string // zone -> region
	Front, Readiness, Control           string            // addresses to listen on; "" when absent
	PortFirst, PortLast                 int               // inclusive range of ports for use between mixers
	Seeds                               []string
	ColdStart, CountsLoss               bool

	CPUShare      float64 // share of a core
	Cores         int     // speed factor of that core
	MemoryMB      int
	FileLimit     int
	BandwidthMbps float64
	DiskMB        int
	DataDir       string // "" when there is no disk

	BeatPeriod time.Duration
	Invariants []string // the parts of the rules in force

	MachineLosses, ZoneLosses, RegionLosses int

	SeedDelay, ReuseDelay, Contact, Ack, Sync, Drain, Grace time.Duration
	LossSlack, Apply, RevertSlack, MaxStretch               time.Duration
	RetryWindow, Settling                                   time.Duration
	RetryRatio, RetrySlack                                  float64
	ConfigMode                                              string

	// Relay is the address of the relay through which this process dials in tests; see keepalive.TCP. Metrics comes from the
	// command line.
	Relay   string
	Metrics exporter.Address
}

const (
	pathVariable = "PEATHOLLOW_SETTINGS"
	defaultPath  = "/etc/peathollow/local.conf"
	maxBytes     = 1 << 20 // the file is usually about 2 KiB
)

// PathFromEnvironment returns the path of the settings file.
func PathFromEnvironment(getenv func(string) string) string {
	if path := getenv(pathVariable); path != "" {
		return path
	}
	return defaultPath
}

// Read reads and checks the settings file. Its error names the file and, when
// a value is invalid, the key, the line and what was expected. The file may be
// replaced while it is read: on an error, a caller that already has settings
// keeps them and reads again.
func Read(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	s, err := parse(raw)
	if err != nil {
		return nil, errors.Wrapf(err, "settings %s", path)
	}
	return s, nil
}

func parse(raw []byte) (*Settings, error) {
	if len(raw) > maxBytes {
		return nil, errors.Errorf("expected at most %d bytes, got %d", maxBytes, len(raw))
	}
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	// The lines are a.b=value without escapes: a backslash stands for itself,
	// also in an unknown field that it would make unreadable.
	file, err := loader.LoadBytes(bytes.ReplaceAll(raw, []byte(`\`), []byte(`\\`)))
	if err != nil {
		return nil, errors.Wrap(err, "unreadable")
	}
	s := &Settings{Zones: make(map[string]string)}
	for i := range table {
		if err := table[i].read(s, file, raw); err != nil {
			return nil, err
		}
	}
	if s.Region == "" {
		s.Region = s.Zones[s.Zone]
	}
	return s, nil
}

// read sets one setting from the file. An empty value counts as absent.
func (t *Setting) read(s *Settings, file *properties.Properties, raw []byte) error {
	if prefix, wildcard := strings.CutSuffix(t.Key, "*"); wildcard {
		for _, key := range file.Keys() {
			if name, ok := strings.CutPrefix(key, prefix); ok && name != "" {
				value, _ := file.Get(key)
				s.Zones[name] = strings.TrimSpace(value)
			}
		}
		return nil
	}
	value, _ := file.Get(t.Key)
	if value = strings.TrimSpace(value); value == "" {
		if value = t.Default; value == required {
			return errors.Errorf("%s: missing, expected %s", t.Key, t.expected())
		}
	}
	if err := t.set(s, value); err != nil {
		return errors.Errorf("line %d: %s: expected %s, got %q", line(raw, t.Key), t.Key, t.expected(), value)
	}
	return nil
}

// line returns the number of the line that a key's value comes from: the last
// one with that key, or 0 if the file writes the key in an unusual way.
func line(raw []byte, key string) (n int) {
	for i, l := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(l), key); ok && strings.IndexAny(rest, "=: \t") == 0 {
			n = i + 1
		}
	}
	return n
}
