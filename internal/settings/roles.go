package settings

import (
	"bytes"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// requirement is a setting that a role can't run without.
type requirement struct {
	key     string
	present func(*Settings) bool
}

var commonRequirements = []requirement{
	{"node-name", func(s *Settings) bool { return s.Node != "" }},
	{"zone", func(s *Settings) bool { return s.Zone != "" }},
	{"seeds", func(s *Settings) bool { return len(s.Seeds) > 0 }},
}

var requirements = map[string][]requirement{
	"proxy": {
		{"bind-addrs.front", func(s *Settings) bool { return s.Front != "" }},
		{"bind-addrs.readiness", func(s *Settings) bool { return s.Readiness != "" }},
	},
	"controller": {
		{"bind-addrs.control", func(s *Settings) bool { return s.Control != "" }},
		{"data-dir", func(s *Settings) bool { return s.DataDir != "" }},
	},
}

// missing returns the key of a setting that a role requires and that is absent, or "" if none is.
func (s *Settings) missing(role string) string {
	for _, list := range [][]requirement{requirements[role], commonRequirements} {
		for _, n := range list {
			if !n.present(s) {
				return n.key
			}
		}
	}
	return ""
}

// A settings file that can't be used may be half written, so it is read again at this interval for a limited time. A file that
// lacks only the newline at its end is accepted once it hasn't changed for a while.
const (
	readTimeout    = 2 * time.Second
	readInterval   = 50 * time.Millisecond
	noNewlineDelay = 300 * time.Millisecond
	newline        = '\n'
)

// ReadForRole reads the settings of a process that runs a role and requires all settings that the role needs. A file that is
// invalid or truncated is read again for a while: a truncated file may look valid, as the bounds are mostly at its end and
// have defaults.
func ReadForRole(role, path string) (*Settings, error) {
	var last []byte
	start, unchangedSince := time.Now(), time.Now()
	for ; ; time.Sleep(readInterval) {
		raw, err := os.ReadFile(path)
		if !bytes.Equal(raw, last) {
			last, unchangedSince = raw, time.Now()
		}
		var s *Settings
		if err == nil {
			s, err = parseFor(role, raw)
		}
		if err == nil && (raw[len(raw)-1] == newline || time.Since(unchangedSince) > noNewlineDelay) {
			return s, nil
		}
		if err != nil && time.Since(start) > readTimeout {
			return nil, errors.Wrapf(err, "settings %s", path)
		}
	}
}

// parseFor parses settings and checks that all that a role requires are present.
func parseFor(role string, raw []byte) (*Settings, error) {
	s, err := parse(raw)
	if err != nil {
		return nil, err
	}
	if key := s.missing(role); key != "" {
		return nil, errors.Errorf("%s: missing, a %s needs it", key, role)
	}
	return s, nil
}
