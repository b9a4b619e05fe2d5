package settings

import (
	"bytes"
	"os"
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

// How long a settings file that can't be used is waited for, and how often it is read meanwhile: it may be half written. One
// that lacks nothing but the end of its last line is taken once it has stayed as it is for a while.
const (
	tornMost   = 2 * time.Second
	tornEvery  = 50 * time.Millisecond
	openEnded  = 300 * time.Millisecond
	endOfALine = '\n'
)

// ReadFor reads the settings of a process that is to run a role, which must all be there. A file that can't be used, or that
// is cut off, is read again for a while: what it says of the bounds is mostly at its end, and has defaults.
func ReadFor(role, path string) (*Settings, error) {
	var last []byte
	began, same := time.Now(), time.Now()
	for ; ; time.Sleep(tornEvery) {
		raw, err := os.ReadFile(path)
		if !bytes.Equal(raw, last) {
			last, same = raw, time.Now()
		}
		var s *Settings
		if err == nil {
			s, err = parseFor(role, raw)
		}
		if err == nil && (raw[len(raw)-1] == endOfALine || time.Since(same) > openEnded) {
			return s, nil
		}
		if err != nil && time.Since(began) > tornMost {
			return nil, errors.Wrapf(err, "settings %s", path)
		}
	}
}

// parseFor reads settings that hold all that a role needs.
func parseFor(role string, raw []byte) (*Settings, error) {
	s, err := parse(raw)
	if err != nil {
		return nil, err
	}
	if key := s.lacks(role); key != "" {
		return nil, errors.Errorf("%s: missing, a %s needs it", key, role)
	}
	return s, nil
}
