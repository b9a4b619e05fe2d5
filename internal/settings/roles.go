package settings

import (
	"time"

	"github.com/go-faster/errors"
)

// need is a setting that a role can't do without.
type need struct {
	key   string
	given func(*Settings) bool
}

var everyRole = []need{
	{"node-name", func(s *Settings) bool { return s.Node != "" }},
	{"zone", func(s *Settings) bool { return s.Zone != "" }},
	{"seeds", func(s *Settings) bool { return len(s.Seeds) > 0 }},
}

var needs = map[string][]need{
	"proxy": {
		{"bind-addrs.front", func(s *Settings) bool { return s.Front != "" }},
		{"bind-addrs.readiness", func(s *Settings) bool { return s.Readiness != "" }},
	},
	"controller": {
		{"bind-addrs.control", func(s *Settings) bool { return s.Control != "" }},
		{"data-dir", func(s *Settings) bool { return s.DataDir != "" }},
	},
}

// lacks names a setting that a role can't do without and that isn't there; "" if all are.
func (s *Settings) lacks(role string) string {
	for _, list := range [][]need{needs[role], everyRole} {
		for _, n := range list {
			if !n.given(s) {
				return n.key
			}
		}
	}
	return ""
}

// How long a settings file that can't be used is waited for, and how often it is read meanwhile: it may be half written.
const (
	tornMost  = 2 * time.Second
	tornEvery = 50 * time.Millisecond
)

// ReadFor reads the settings of a process that is to run a role, which must all be there. A file that can't be used is read
// again for a while.
func ReadFor(role, path string) (*Settings, error) {
	for began := time.Now(); ; time.Sleep(tornEvery) {
		s, err := Read(path)
		if err == nil {
			key := s.lacks(role)
			if key == "" {
				return s, nil
			}
			err = errors.Errorf("settings %s: %s: missing, a %s needs it", path, key, role)
		}
		if time.Since(began) > tornMost {
			return nil, err
		}
	}
}
