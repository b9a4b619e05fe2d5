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

// Ours are the settings of this program's own, from an INI file. What the platform tells stays in its JSON. With no
// file all defaults hold, and nothing that needs more than the platform gives is on.
type Ours struct {
	Log     Log
	Members Members
	Duties  Duties
	Fleet   Fleet
}

// Log is how much is written.
type Log struct {
	Level string
}

// Members are how instances find and trust each other.
type Members struct {
	Bind  string
	Seeds []string
	Keys  string
}

// Duties are what instances divide among them.
type Duties struct {
	On        bool
	Instances int
	Interval  time.Duration
	Lease     time.Duration // 0: half the interval
	Audit     time.Duration
	Young     time.Duration
	Gentle    float64
	Running   int
	Load      bool
	Show      string
}

// Fleet is what instances handle as one.
type Fleet struct {
	On        bool
	Instances int
	Beat      time.Duration
}

// Setting is one key of the file, declared once: the declaration makes the check, the message and the help.
type Setting struct {
	Section, Key, Default, Allowed, Help string
	set                                  func(o *Ours, text string) bool
}

// declared are all there are, in the order of the help.
var declared = []Setting{
	choice("log", "level", "info", "how much is written to the log", func(o *Ours) *string { return &o.Log.Level },
		"debug", "info", "warn", "error"),
	address("members", "bind", "", "where this instance talks with others: datagrams and connections",
		func(o *Ours) *string { return &o.Members.Bind }),
	addresses("members", "seeds", "", "instances to ask first, some of which may be down",
		func(o *Ours) *[]string { return &o.Members.Seeds }),
	freeText("members", "keys", "", "a file of keys, one a line in base64, the first of which seals; its owner's alone",
		func(o *Ours) *string { return &o.Members.Keys }),
	flag("duties", "on", "no", "share periodic duties with other instances", func(o *Ours) *bool { return &o.Duties.On }),
	whole("duties", "instances", "3", "how many instances run at the same time at most; the same number for all",
		func(o *Ours) *int { return &o.Duties.Instances }, 1, 1024),
	span("duties", "interval", "5s", "between probes of one searcher, over all instances",
		func(o *Ours) *time.Duration { return &o.Duties.Interval }, 100*time.Millisecond, time.Hour),
	span("duties", "lease", "0s", "for how long a share is leased; 0s for half the interval",
		func(o *Ours) *time.Duration { return &o.Duties.Lease }, 0, time.Hour),
	span("duties", "audit", "1m", "between comparisons of the whole list with the one watched",
		func(o *Ours) *time.Duration { return &o.Duties.Audit }, time.Second, 24*time.Hour),
	span("duties", "young", "30s", "so long after its start a searcher is probed less often",
		func(o *Ours) *time.Duration { return &o.Duties.Young }, 0, time.Hour),
	number("duties", "gentle", "4", "so many times the interval for such a searcher",
		func(o *Ours) *float64 { return &o.Duties.Gentle }, 1, 100),
	whole("duties", "running", "8", "probes in hand at a time at most",
		func(o *Ours) *int { return &o.Duties.Running }, 1, 1024),
	flag("duties", "load", "no", "ask for the load report instead of a sign of life",
		func(o *Ours) *bool { return &o.Duties.Load }),
	freeText("duties", "show", "", "path of a socket at which `duties show` asks; empty for none",
		func(o *Ours) *string { return &o.Duties.Show }),
	flag("fleet", "on", "no", "handle overload with other instances as one", func(o *Ours) *bool { return &o.Fleet.On }),
	whole("fleet", "instances", "3", "how many instances run at the same time at most; the same number for all",
		func(o *Ours) *int { return &o.Fleet.Instances }, 1, 300),
	span("fleet", "beat", "250ms", "between words to all other instances; what was not heard for six counts for nothing",
		func(o *Ours) *time.Duration { return &o.Fleet.Beat }, 20*time.Millisecond, 10*time.Second),
}

func declare[T any](section, key, def, allowed, help string, at func(*Ours) *T, read func(string) (T, bool)) Setting {
	return Setting{section, key, def, allowed, help, func(o *Ours, s string) bool {
		x, ok := read(s)
		if ok {
			*at(o) = x
		}
		return ok
	}}
}

func freeText(section, key, def, help string, at func(*Ours) *string) Setting {
	return declare(section, key, def, "any text", help, at, func(s string) (string, bool) { return s, true })
}

func choice(section, key, def, help string, at func(*Ours) *string, of ...string) Setting {
	return declare(section, key, def, "one of "+strings.Join(of, ", "), help, at, func(s string) (string, bool) {
		return s, slices.Contains(of, s)
	})
}

func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	n, bad := strconv.Atoi(port)
	return err == nil && host != "" && bad == nil && n > 0 && n < 1<<16
}

func address(section, key, def, help string, at func(*Ours) *string) Setting {
	return declare(section, key, def, "an address and port, as 10.0.0.4:7946", help, at, func(s string) (string, bool) {
		return s, s == "" || isAddress(s)
	})
}

func addresses(section, key, def, help string, at func(*Ours) *[]string) Setting {
	return declare(section, key, def, "addresses with ports, commas between", help, at, func(s string) (out []string, ok bool) {
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

func flag(section, key, def, help string, at func(*Ours) *bool) Setting {
	return declare(section, key, def, "yes or no", help, at, func(s string) (bool, bool) {
		return s == "yes", s == "yes" || s == "no"
	})
}

func span(section, key, def, help string, at func(*Ours) *time.Duration, least, most time.Duration) Setting {
	return declare(section, key, def, fmt.Sprintf("a time from %v to %v, as 500ms or 5s", least, most), help, at,
		func(s string) (time.Duration, bool) {
			d, err := time.ParseDuration(s)
			return d, err == nil && d >= least && d <= most
		})
}

func whole(section, key, def, help string, at func(*Ours) *int, least, most int) Setting {
	return declare(section, key, def, fmt.Sprintf("a whole number from %d to %d", least, most), help, at,
		func(s string) (int, bool) {
			n, err := strconv.Atoi(s)
			return n, err == nil && n >= least && n <= most
		})
}

func number(section, key, def, help string, at func(*Ours) *float64, least, most float64) Setting {
	return declare(section, key, def, fmt.Sprintf("a number from %g to %g", least, most), help, at,
		func(s string) (float64, bool) {
			x, err := strconv.ParseFloat(s, 64)
			return x, err == nil && x >= least && x <= most
		})
}

// Defaults are what holds where no file says anything.
func Defaults() Ours {
	var o Ours
	for _, s := range declared {
		if !s.set(&o, s.Default) {
			panic("default of " + s.Section + "." + s.Key + " is not allowed") // a declaration at fault
		}
	}
	return o
}

// ReadOurs reads settings from text; messages name the file, the section, the key and what is allowed.
func ReadOurs(name string, b []byte) (Ours, error) {
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
				return o, fmt.Errorf("%s: [%s] %s: no such key; there are %s", name, sec.Name(), key.Name(), known(sec.Name()))
			}
			if n := len(key.ValueWithShadows()); n > 1 {
				return o, fmt.Errorf("%s: [%s] %s: stands there %d times", name, sec.Name(), key.Name(), n)
			}
			if s := &declared[i]; !s.set(&o, key.String()) {
				return o, fmt.Errorf("%s: [%s] %s: %.60q is not allowed; allowed is %s", name, s.Section, s.Key, key.String(), s.Allowed)
			}
		}
		if len(sec.Keys()) == 0 && known(sec.Name()) == noSection {
			return o, fmt.Errorf("%s: [%s]: no such section", name, sec.Name())
		}
	}
	return o, o.together(name)
}

const noSection = "none in this section"

// known lists a section's keys.
func known(section string) string {
	var keys []string
	for _, s := range declared {
		if s.Section == section {
			keys = append(keys, s.Key)
		}
	}
	return cmp.Or(strings.Join(keys, ", "), noSection)
}

// together checks what only several keys can tell.
func (o *Ours) together(name string) error {
	d := &o.Duties
	if d.Lease == 0 {
		d.Lease = max(leaseLeast, d.Interval/2)
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
	case d.Lease < leaseLeast:
		return fmt.Errorf("%s: [duties] lease: %v is not allowed; allowed is 0s, or %v and more", name, d.Lease, leaseLeast)
	}
	return nil
}

const leaseLeast = 200 * time.Millisecond

// Help is a settings file that says all defaults, with what is allowed.
func Help() string {
	var b strings.Builder
	last := ""
	for _, s := range declared {
		if s.Section != last {
			fmt.Fprintf(&b, "%s[%s]\n", map[bool]string{true: "\n"}[last != ""], s.Section)
			last = s.Section
		}
		fmt.Fprintf(&b, "; %s: %s\n%s = %s\n", s.Help, s.Allowed, s.Key, s.Default)
	}
	return b.String()
}
