package config

import (
	"strings"
	"testing"
	"time"
)

func TestOptionsDefaultsAndValues(t *testing.T) {
	o, err := ReadOptions("x", nil)
	if err != nil || o.Duties.On || o.Log.Level != "info" || o.Duties.Lease != 2500*time.Millisecond {
		t.Errorf("%+v %v", o, err)
	}
	o, err = ReadOptions("x", []byte("[duties]\non = yes\ninterval = 800ms\ngentle = 2.5\n[members]\nbind = 127.0.0.1:7946\n"+
		"seeds = 127.0.0.1:7946, 127.0.0.2:7946\nkeys = /k\n"))
	if err != nil || !o.Duties.On || o.Duties.Interval != 800*time.Millisecond || o.Duties.Lease != 400*time.Millisecond ||
		o.Duties.Gentle != 2.5 || len(o.Members.Seeds) != 2 || o.Members.Seeds[1] != "127.0.0.2:7946" {
		t.Errorf("%+v %v", o, err)
	}
}

// TestHelpIsValidSettingsFile checks that the help text is itself a valid settings file with the default values.
func TestHelpIsValidSettingsFile(t *testing.T) {
	o, err := ReadOptions("help", []byte(Help()))
	if d, _ := ReadOptions("x", nil); err != nil || o.Duties != d.Duties || o.Log != d.Log {
		t.Errorf("%v %+v", err, o)
	}
	for _, s := range declared {
		if !strings.Contains(Help(), s.Allowed) {
			t.Errorf("%s.%s: what is allowed is missing", s.Section, s.Key)
		}
	}
}

// TestOptionsMessages checks that error messages name the file, the section, the key and the allowed values.
func TestOptionsMessages(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"[duties]\ninterval = fast", `f.ini: [duties] interval: "fast" is not allowed; allowed is a time from 100ms to 1h0m0s`},
		{"[duties]\ninterval = 1ms", "from 100ms"},
		{"[duties]\nintervall = 1s", "f.ini: [duties] intervall: no such key; there are on, instances, interval"},
		{"[dutys]\non = yes", "f.ini: [dutys] on: no such key"},
		{"[dutys]", "f.ini: [dutys]: no such section"},
		{"on = yes", `f.ini: key "on" stands before any section`},
		{"[duties]\non = maybe", "yes or no"},
		{"[duties]\ninstances = 0", "a whole number from 1 to 1024"},
		{"[duties]\ninstances = 3\ninstances = 4", "[duties] instances: stands there 2 times"},
		{"[duties]\ngentle = NaN", "a number from 1 to 100"},
		{"[members]\nbind = here", "an address and port"},
		{"[members]\nseeds = 1.2.3.4:1,,", "addresses with ports"},
		{"[log]\nlevel = loud", "one of debug, info, warn, error"},
		{"[duties]\non = yes", "[members] bind: duties of 3 instances need it"},
		{"[duties]\non = yes\n[members]\nbind = 127.0.0.1:1", "[members] keys"},
		{"[duties]\non = yes\ninstances = 1\nlease = 1ms", "[duties] lease"},
		{"[duties", "f.ini"},
	} {
		if _, err := ReadOptions("f.ini", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v", c.text, err)
		}
	}
}

func FuzzOptions(f *testing.F) {
	f.Add([]byte(Help()))
	f.Add([]byte("[duties]\non = yes"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if o, err := ReadOptions("f", b); err == nil && (o.Duties.Instances < 1 || o.Duties.Interval <= 0 || o.Duties.Lease <= 0) {
			t.Errorf("%+v", o)
		}
	})
}
