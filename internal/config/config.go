// Package config is where configuration is read, checked and given defaults, for the mixer on sockets and for
// the bench's wire alike.
package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"

	"peathollow/internal/proto"
)

// Config is all that a mixer on sockets is told at its start.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Cores                   float64
	MemoryMB, Sockets       int
	Known                   proto.List
	Settings                Settings
	Ours                    Ours
	told                    map[string]string // what can't change without a start, by key as it is written
}

// Differs names the keys, told or left out, in which another configuration asks for what only a start can give.
func (c Config) Differs(d Config) []string {
	var keys []string
	for k, v := range c.told {
		if w, ok := d.told[k]; !ok || v != w {
			keys = append(keys, k)
		}
	}
	for k := range d.told {
		if _, ok := c.told[k]; !ok {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// Defaults for a machine that states no limits.
const (
	defaultCores   = 1
	defaultMemory  = 192
	defaultSockets = 1024
	leastMemory    = 32
	leastSockets   = 64
)

type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    *float64 `json:"cores"`
		MemoryMB *float64 `json:"memory_mb"`
		Sockets  *float64 `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads the file named by ROUTER_CONFIG. The other ROUTER_ variables stand in for what it leaves out. A settings
// file of ours comes with PEATHOLLOW_SETTINGS.
func Load(env func(string) string, read func(string) ([]byte, error)) (Config, error) {
	c, err := platform(env, read)
	if err != nil {
		return c, err
	}
	ours := env("PEATHOLLOW_SETTINGS")
	if ours == "" {
		c.Ours = Defaults()
		return c, nil
	}
	text, err := read(ours)
	if err != nil {
		return c, fmt.Errorf("PEATHOLLOW_SETTINGS: %w", err)
	}
	c.Ours, err = ReadOurs(ours, text)
	return c, err
}

func platform(env func(string) string, read func(string) ([]byte, error)) (Config, error) {
	path := env("ROUTER_CONFIG")
	if path == "" {
		return Config{}, fmt.Errorf("ROUTER_CONFIG: not set")
	}
	text, err := read(path)
	if err != nil {
		return Config{}, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	return parse(text, env)
}

func parse(text []byte, env func(string) string) (Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c := Config{Name: cmp.Or(f.Name, env("ROUTER_NAME")), Listen: cmp.Or(f.Listen, env("ROUTER_LISTEN")),
		Discovery: cmp.Or(f.Discovery, env("ROUTER_DISCOVERY")), Cores: defaultCores, MemoryMB: defaultMemory,
		Sockets: defaultSockets}
	for _, a := range []struct{ key, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return c, fmt.Errorf("%s: not an address with a port: %q", a.key, a.value)
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: not a number in hexadecimal: %.40q", f.Seed)
	}
	if f.Limits.Cores != nil {
		c.Cores = *f.Limits.Cores
	}
	if f.Limits.MemoryMB != nil {
		c.MemoryMB = int(*f.Limits.MemoryMB)
	}
	if f.Limits.Sockets != nil {
		c.Sockets = int(*f.Limits.Sockets)
	}
	switch {
	case !(c.Cores > 0):
		return c, fmt.Errorf("limits.cores: must be above 0")
	case c.MemoryMB < leastMemory:
		return c, fmt.Errorf("limits.memory_mb: must be %d or more", leastMemory)
	case c.Sockets < leastSockets:
		return c, fmt.Errorf("limits.sockets: must be %d or more", leastSockets)
	}
	if len(f.Known) > 0 {
		if c.Known, err = proto.ReadList(f.Known); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	if len(f.Settings) == 0 {
		return c, fmt.Errorf("settings: missing")
	}
	kv, err := flatten(f.Settings)
	if err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if c.Settings, err = Read(kv, c.Seed); err != nil {
		return c, err
	}
	c.told = map[string]string{"name": c.Name, "listen": c.Listen, "seed": f.Seed, "limits.cores": fmt.Sprint(c.Cores),
		"limits.memory_mb": fmt.Sprint(c.MemoryMB), "limits.sockets": fmt.Sprint(c.Sockets)}
	for k, v := range kv {
		c.told["settings."+k] = v
	}
	if len(c.Settings.Types) == 0 {
		return c, fmt.Errorf("setting requestClasses: names no table type")
	}
	if c.Settings.Shards < 1 {
		return c, fmt.Errorf("setting domain.ranges: must be above 0")
	}
	return c, nil
}

// flatten turns nested settings into the wire's paths and values.
func flatten(text []byte) (map[string]string, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	if _, ok := v.(map[string]any); !ok {
		return nil, fmt.Errorf("not an object")
	}
	kv := map[string]string{}
	lay(kv, "", v)
	return kv, nil
}

func lay(kv map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		if path != "" {
			path += "."
		}
		for k, x := range v {
			lay(kv, path+k, x)
		}
	case []any:
		words := make([]string, 0, len(v))
		for i, x := range v {
			if _, ok := x.(map[string]any); ok {
				lay(kv, fmt.Sprintf("%s.%d", path, i), x)
			} else {
				words = append(words, fmt.Sprint(x))
			}
		}
		kv[path+".count"] = strconv.Itoa(len(v))
		kv[path] = strings.Join(words, ",")
	case nil:
	default:
		kv[path] = fmt.Sprint(v)
	}
}
