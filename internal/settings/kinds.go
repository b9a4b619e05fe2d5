package settings

import (
	"fmt"
	"math"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// errValue reports that a value isn't of its kind or is out of bounds. The
// message is completed from the table, which states what was expected.
var errValue = errors.New("not as expected")

// expected describes the valid values, for error messages.
func (t *Setting) expected() string {
	if t.Bounds == "" {
		return t.Kind
	}
	return t.Kind + " " + t.Bounds
}

func text(key, def, help string, field func(*Settings) *string) Setting {
	return Setting{key, "text", def, "", help, func(s *Settings, v string) error {
		*field(s) = v
		return nil
	}}
}

func ip(key, help string, field func(*Settings) *string) Setting {
	return Setting{key, "IP address", required, "", help, func(s *Settings, v string) error {
		_, err := netip.ParseAddr(v)
		*field(s) = v
		return err
	}}
}

func address(key, help string, field func(*Settings) *string) Setting {
	return Setting{key, "host:port", "", "", help, func(s *Settings, v string) error {
		*field(s) = v
		if v == "" {
			return nil
		}
		return checkAddress(v)
	}}
}

func addresses(key, help string, field func(*Settings) *[]string) Setting {
	return Setting{key, "list of host:port", "", "", help, func(s *Settings, v string) error {
		*field(s) = split(v)
		for _, a := range *field(s) {
			if err := checkAddress(a); err != nil {
				return err
			}
		}
		return nil
	}}
}

func ports(key, help string, fields func(*Settings) (first, last *int)) Setting {
	return Setting{key, "two ports", required, "1 to 65535, rising", help, func(s *Settings, v string) error {
		list := split(v)
		if len(list) != 2 {
			return errValue
		}
		first, err1 := strconv.ParseUint(list[0], 10, 16)
		last, err2 := strconv.ParseUint(list[1], 10, 16)
		if err1 != nil || err2 != nil || first == 0 || last < first {
			return errValue
		}
		a, b := fields(s)
		*a, *b = int(first), int(last)
		return nil
	}}
}

func words(key, def, help string, field func(*Settings) *[]string) Setting {
	return Setting{key, "list", def, "", help, func(s *Settings, v string) error {
		*field(s) = split(v)
		return nil
	}}
}

func flag(key, help string, field func(*Settings) *bool) Setting {
	return Setting{key, "true or false", "false", "", help, func(s *Settings, v string) (err error) {
		*field(s), err = strconv.ParseBool(v)
		return err
	}}
}

func number(key, def string, low, high float64, help string, field func(*Settings) *float64) Setting {
	return Setting{key, "number", def, bounds(low, high), help, func(s *Settings, v string) (err error) {
		*field(s), err = parseNumber(v, low, high)
		return err
	}}
}

// count accepts 284.0 for 284, since whole numbers may be written with a fraction.
func count(key, def string, low, high float64, help string, field func(*Settings) *int) Setting {
	return Setting{key, "whole number", def, bounds(low, high), help, func(s *Settings, v string) error {
		f, err := parseNumber(v, low, high)
		if err != nil || f != math.Trunc(f) {
			return errValue
		}
		*field(s) = int(f)
		return nil
	}}
}

func millis(key, def string, low float64, help string, field func(*Settings) *time.Duration) Setting {
	return duration(key, "milliseconds", def, low, time.Millisecond, help, field)
}

func seconds(key, def string, low float64, help string, field func(*Settings) *time.Duration) Setting {
	return duration(key, "seconds", def, low, time.Second, help, field)
}

func duration(key, kind, def string, low float64, unit time.Duration, help string, field func(*Settings) *time.Duration) Setting {
	high := float64(1000 * time.Hour / unit) // low enough that sums of durations don't overflow
	return Setting{key, kind, def, bounds(low, high), help, func(s *Settings, v string) error {
		f, err := parseNumber(v, low, high)
		*field(s) = time.Duration(math.Round(f * float64(unit)))
		return err
	}}
}

func bounds(low, high float64) string {
	return fmt.Sprintf("%s to %s", strconv.FormatFloat(low, 'f', -1, 64), strconv.FormatFloat(high, 'f', -1, 64))
}

func parseNumber(v string, low, high float64) (float64, error) {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || !(f >= low && f <= high) {
		return 0, errValue
	}
	return f, nil
}

// split splits a list at its commas and drops empty elements.
func split(v string) (list []string) {
	for _, e := range strings.Split(v, ",") {
		if e = strings.TrimSpace(e); e != "" {
			list = append(list, e)
		}
	}
	return list
}

func checkAddress(v string) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil || host == "" {
		return errValue
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errValue
	}
	return nil
}
