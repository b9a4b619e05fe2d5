package config

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Options are the program's own settings, from an INI file. The platform's configuration is a separate JSON file. Without
// the INI file all defaults apply, and every feature that needs more than the platform provides is off.
type Options struct {
	Log     Log
	Members Members
	Duties  Duties
	Fleet   Fleet
}

// Log holds the settings of the log.
type Log struct {
	Level string
}

// Members holds how instances find and authenticate each other.
type Members struct {
	Bind  string
	Seeds []string
	Keys  string
}

// Duties holds the settings of the periodic probes that instances divide among themselves.
type Duties struct {
	On        bool
	Instances int
	Interval  time.Duration
	Lease     time.Duration // 0 in the file: half the interval
	Audit     time.Duration
	Young     time.Duration // after its start a searcher is probed less often for this long
	Gentle    float64       // factor by which the interval is longer for such a searcher
	Running   int           // maximum number of concurrent probes
	Load      bool          // probe with load reports
	Show      string        // path of the socket that `duties show` queries
}

// Fleet holds the settings of the overload control that instances coordinate.
type Fleet struct {
	On        bool
	Instances int
	Beat      time.Duration
}

// Setting declares one key of the file. Its check, its error message and its help text are all derived from the declaration.
type Setting struct {
	Section, Key, Default, Allowed, Help string
	set                                  func(o *Options, text string) bool
}

// declared lists all settings, in the order of the help text.
var declared = []Setting{
	choice("log", "level", "info", "minimum level of the log lines written", func(o *Options) *string { return &o.Log.Level },
		"debug", "info", "warn", "error"),
	address("members", "bind", "", "address for messages between instances, over UDP and TCP",
		func(o *Options) *string { return &o.Members.Bind }),
	addresses("members", "seeds", "", "instances to contact first, some of which may be down",
		func(o *Options) *[]string { return &o.Members.Seeds }),
	freeText("members", "keys", "", "path of the key file, readable by its owner only: one base64 key a line, the first encrypts",
		func(o *Options) *string { return &o.Members.Keys }),
	flag("duties", "on", "no", "share periodic duties with other instances", func(o *Options) *bool { return &o.Duties.On }),
	integer("duties", "instances", "3", "maximum number of instances that run at the same time; the same for all instances",
		func(o *Options) *int { return &o.Duties.Instances }, 1, 1024),
	duration("duties", "interval", "5s", "time between probes of one searcher, over all instances",
		func(o *Options) *time.Duration { return &o.Duties.Interval }, 100*time.Millisecond, time.Hour),
	duration("duties", "lease", "0s", "duration of the lease on a share; 0s for half the interval",
		func(o *Options) *time.Duration { return &o.Duties.Lease }, 0, time.Hour),
	duration("duties", "audit", "1m", "time between comparisons of the full searcher list with the watched one",
		func(o *Options) *time.Duration { return &o.Duties.Audit }, time.Second, 24*time.Hour),
	duration("duties", "young", "30s", "how long after its start a searcher is probed less often",
		func(o *Options) *time.Duration { return &o.Duties.Young }, 0, time.Hour),
	number("duties", "gentle", "4", "factor by which the interval is longer for such a searcher",
		func(o *Options) *float64 { return &o.Duties.Gentle }, 1, 100),
	integer("duties", "running", "8", "maximum number of concurrent probes",
		func(o *Options) *int { return &o.Duties.Running }, 1, 1024),
	flag("duties", "load", "no", "probe with load reports instead of plain health checks",
		func(o *Options) *bool { return &o.Duties.Load }),
	freeText("duties", "show", "", "path of the socket that `duties show` queries; empty for none",
		func(o *Options) *string { return &o.Duties.Show }),
	flag("fleet", "on", "no", "coordinate overload handling with other instances", func(o *Options) *bool { return &o.Fleet.On }),
	integer("fleet", "instances", "3", "maximum number of instances that run at the same time; the same for all instances",
		func(o *Options) *int { return &o.Fleet.Instances }, 1, 300),
	duration("fleet", "beat", "250ms", "time between heartbeats to all other instances; state older than six of them is ignored",
		func(o *Options) *time.Duration { return &o.Fleet.Beat }, 20*time.Millisecond, 10*time.Second),
}

// newSetting makes a setting that parses its text with read and stores the value in the field that at returns.
func newSetting[T any](section, key, def, allowed, help string, at func(*Options) *T, read func(string) (T, bool)) Setting {
	return Setting{section, key, def, allowed, help, func(o *Options, s string) bool {
		x, ok := read(s)
		if ok {
			*at(o) = x
		}
		return ok
	}}
}

func freeText(section, key, def, help string, at func(*Options) *string) Setting {
	return newSetting(section, key, def, "any text", help, at, func(s string) (string, bool) { return s, true })
}

func choice(section, key, def, help string, at func(*Options) *string, of ...string) Setting {
	return newSetting(section, key, def, "one of "+strings.Join(of, ", "), help, at, func(s string) (string, bool) {
		return s, slices.Contains(of, s)
	})
}

func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	n, portErr := strconv.Atoi(port)
	return err == nil && host != "" && portErr == nil && n > 0 && n < 1<<16
}

func address(section, key, def, help string, at func(*Options) *string) Setting {
	return newSetting(section, key, def, "an address and port, as 10.0.0.4:7946", help, at, func(s string) (string, bool) {
		return s, s == "" || isAddress(s)
	})
}

func addresses(section, key, def, help string, at func(*Options) *[]string) Setting {
	return newSetting(section, key, def, "addresses with ports, commas between", help, at, func(s string) (out []string, ok bool) {
		for _, a := range strings.Split(s, ",") {
			if a = strings.TrimSpace(a); a == "" && s == "" {
				return nil, true
			}
			if !isAddress(a) {
				return nil, false
			}
			out = append(out, a)
		}
		return out, true
	})
}

func flag(section, key, def, help string, at func(*Options) *bool) Setting {
	return newSetting(section, key, def, "yes or no", help, at, func(s string) (bool, bool) {
		return s == "yes", s == "yes" || s == "no"
	})
}

func duration(section, key, def, help string, at func(*Options) *time.Duration, low, high time.Duration) Setting {
	return newSetting(section, key, def, fmt.Sprintf("a time from %v to %v, as 500ms or 5s", low, high), help, at,
		func(s string) (time.Duration, bool) {
			d, err := time.ParseDuration(s)
			return d, err == nil && d >= low && d <= high
		})
}

func integer(section, key, def, help string, at func(*Options) *int, low, high int) Setting {
	return newSetting(section, key, def, fmt.Sprintf("a whole number from %d to %d", low, high), help, at,
		func(s string) (int, bool) {
			n, err := strconv.Atoi(s)
			return n, err == nil && n >= low && n <= high
		})
}

func number(section, key, def, help string, at func(*Options) *float64, low, high float64) Setting {
	return newSetting(section, key, def, fmt.Sprintf("a number from %g to %g", low, high), help, at,
		func(s string) (float64, bool) {
			x, err := strconv.ParseFloat(s, 64)
			return x, err == nil && x >= low && x <= high
		})
}

// Defaults returns the default values of all settings.
func Defaults() Options {
	var o Options
	for _, s := range declared {
		if !s.set(&o, s.Default) {
			panic("default of " + s.Section + "." + s.Key + " is not allowed") // the declaration is wrong
		}
	}
	return o
}

// ReadOptions parses a settings file. Its errors name the file, the section, the key and the allowed values.
func ReadOptions(name string, b []byte) (Options, error) {
	o := Defaults()
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, IgnoreInlineComment: true}, b)
	if err != nil {
		return o, fmt.Errorf("%s: %w", name, err)
	}
	for _, sec := range f.Sections() {
		if sec.Name() == ini.DefaultSection {
			if keys := sec.KeyStrings(); len(keys) > 0 {
				return o, fmt.Errorf("%s: key %q stands before any section", name, keys[0])
			}
			continue
		}
		for _, key := range sec.Keys() {
			i := slices.IndexFunc(declared, func(s Setting) bool { return s.Section == sec.Name() && s.Key == key.Name() })
			if i < 0 {
				return o, fmt.Errorf("%s: [%s] %s: no such key; there are %s", name, sec.Name(), key.Name(), knownKeys(sec.Name()))
			}
			if n := len(key.ValueWithShadows()); n > 1 {
				return o, fmt.Errorf("%s: [%s] %s: stands there %d times", name, sec.Name(), key.Name(), n)
			}
			if s := &declared[i]; !s.set(&o, key.String()) {
				return o, fmt.Errorf("%s: [%s] %s: %.60q is not allowed; allowed is %s", name, s.Section, s.Key, key.String(), s.Allowed)
			}
		}
		if len(sec.Keys()) == 0 && knownKeys(sec.Name()) == noSection {
			return o, fmt.Errorf("%s: [%s]: no such section", name, sec.Name())
		}
	}
	return o, o.validate(name)
}

const noSection = "none in this section"

// knownKeys returns a section's keys, joined by commas.
func knownKeys(section string) string {
	var keys []string
	for _, s := range declared {
		if s.Section == section {
			keys = append(keys, s.Key)
		}
	}
	return cmp.Or(strings.Join(keys, ", "), noSection)
}

// validate applies defaults and checks that depend on several keys.
func (o *Options) validate(name string) error {
	d := &o.Duties
	if d.Lease == 0 {
		d.Lease = max(minLease, d.Interval/2)
	}
	switch f := &o.Fleet; {
	case f.On && f.Instances > 1 && o.Members.Bind == "":
		return fmt.Errorf("%s: [members] bind: a fleet of %d instances needs it; allowed is an address and port", name, f.Instances)
	case f.On && f.Instances > 1 && o.Members.Keys == "":
		return fmt.Errorf("%s: [members] keys: a fleet of %d instances needs it; allowed is the path of a key file", name, f.Instances)
	case !d.On:
		return nil
	case o.Members.Bind == "" && d.Instances > 1:
		return fmt.Errorf("%s: [members] bind: duties of %d instances need it; allowed is an address and port", name, d.Instances)
	case o.Members.Keys == "" && d.Instances > 1:
		return fmt.Errorf("%s: [members] keys: duties of %d instances need it; allowed is the path of a key file", name, d.Instances)
	case d.Lease < minLease:
		return fmt.Errorf("%s: [duties] lease: %v is not allowed; allowed is 0s, or %v and more", name, d.Lease, minLease)
	}
	return nil
}

// minLease is the shortest lease on a share.
const minLease = 200 * time.Millisecond

// Help returns a settings file that contains all defaults, with a comment about each key and its allowed values.
func Help() string {
	var b strings.Builder
	section := ""
	for _, s := range declared {
		if s.Section != section {
			fmt.Fprintf(&b, "%s[%s]\n", map[bool]string{true: "\n"}[section != ""], s.Section)
			section = s.Section
		}
		fmt.Fprintf(&b, "; %s: %s\n%s = %s\n", s.Help, s.Allowed, s.Key, s.Default)
	}
	return b.String()
}
