// Package config reads and validates configuration and applies its defaults, both for the mixer that serves on sockets
// and for the wire protocol of the bench.
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

// Config holds everything that a mixer on sockets receives at its start.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Cores                   float64
	MemoryMB, Sockets       int
	Known                   proto.List
	Settings                Settings
	Options                 Options
	fixed                   map[string]string // values that only a restart can change, by key as written in the file
}

// RestartKeys returns, sorted, the keys that differ between the two configurations, also by being absent in one, and that only
// a restart can change.
func (c Config) RestartKeys(d Config) []string {
	var keys []string
	for k, v := range c.fixed {
		if w, ok := d.fixed[k]; !ok || v != w {
			keys = append(keys, k)
		}
	}
	for k := range d.fixed {
		if _, ok := c.fixed[k]; !ok {
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
	minMemory      = 32
	minSockets     = 64
)

// file is the JSON form of the platform's configuration.
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

// Load reads the file named by ROUTER_CONFIG. The other ROUTER_ variables supply values that the file leaves out. The
// program's own settings file is named by PEATHOLLOW_SETTINGS; without it their defaults apply.
func Load(env func(string) string, read func(string) ([]byte, error)) (Config, error) {
	c, err := loadPlatform(env, read)
	if err != nil {
		return c, err
	}
	path := env("PEATHOLLOW_SETTINGS")
	if path == "" {
		c.Options = Defaults()
		return c, nil
	}
	text, err := read(path)
	if err != nil {
		return c, fmt.Errorf("PEATHOLLOW_SETTINGS: %w", err)
	}
	c.Options, err = ReadOptions(path, text)
	return c, err
}

// loadPlatform reads the platform's configuration file.
func loadPlatform(env func(string) string, read func(string) ([]byte, error)) (Config, error) {
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

// parse decodes and validates the platform's configuration.
func parse(text []byte, env func(string) string) (Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c := Config{Name: cmp.Or(f.Name, env("ROUTER_NAME")), Listen: cmp.Or(f.Listen, env("ROUTER_LISTEN")),
		Discovery: cmp.Or(f.Discovery, env("ROUTER_DISCOVERY")), Cores: defaultCores, MemoryMB: defaultMemory,
		Sockets: defaultSockets}
	for _, address := range []struct{ key, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return c, fmt.Errorf("%s: not an address with a port: %q", address.key, address.value)
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
	case c.MemoryMB < minMemory:
		return c, fmt.Errorf("limits.memory_mb: must be %d or more", minMemory)
	case c.Sockets < minSockets:
		return c, fmt.Errorf("limits.sockets: must be %d or more", minSockets)
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
	c.fixed = map[string]string{"name": c.Name, "listen": c.Listen, "seed": f.Seed, "limits.cores": fmt.Sprint(c.Cores),
		"limits.memory_mb": fmt.Sprint(c.MemoryMB), "limits.sockets": fmt.Sprint(c.Sockets)}
	for k, v := range kv {
		c.fixed["settings."+k] = v
	}
	if len(c.Settings.Types) == 0 {
		return c, fmt.Errorf("setting requestClasses: names no table type")
	}
	if c.Settings.Shards < 1 {
		return c, fmt.Errorf("setting domain.ranges: must be above 0")
	}
	return c, nil
}

// flatten converts nested JSON settings into the path and value pairs of the wire protocol.
func flatten(text []byte) (map[string]string, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var v any
	if err := decoder.Decode(&v); err != nil {
		return nil, err
	}
	if _, ok := v.(map[string]any); !ok {
		return nil, fmt.Errorf("not an object")
	}
	kv := map[string]string{}
	flattenInto(kv, "", v)
	return kv, nil
}

// flattenInto adds the paths and values below one node. A list yields its length, its joined scalar values, and the
// paths of the objects in it.
func flattenInto(kv map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		if path != "" {
			path += "."
		}
		for k, x := range v {
			flattenInto(kv, path+k, x)
		}
	case []any:
		values := make([]string, 0, len(v))
		for i, x := range v {
			if _, ok := x.(map[string]any); ok {
				flattenInto(kv, fmt.Sprintf("%s.%d", path, i), x)
			} else {
				values = append(values, fmt.Sprint(x))
			}
		}
		kv[path+".count"] = strconv.Itoa(len(v))
		kv[path] = strings.Join(values, ",")
	case nil:
	default:
		kv[path] = fmt.Sprint(v)
	}
}
