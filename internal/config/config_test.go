package config

import (
	"errors"
	"strings"
	"testing"
	"time"

	"peathollow/internal/proto"
	"peathollow/internal/standin"
	"peathollow/policy"
)

// text returns a valid platform configuration.
func text(t *testing.T) string {
	f, err := standin.NewFleet(4, func(int, proto.Call) standin.Reply { return standin.Reply{} }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	return string(f.Config(nil))
}

func load(text string) (Config, error) {
	return Load(func(string) string { return "" }, func(string) ([]byte, error) { return []byte(text), nil })
}

func TestParseValuesAndDefaults(t *testing.T) {
	c, err := parse([]byte(text(t)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	if c.Seed != 0x8c1f30d27a5be964 || c.Sockets != 1024 || s.StreamsPerConn != 8 || s.IdleTimeout != 15*time.Second || !s.Policy.MayCancel ||
		s.Shards != 8 || len(s.Policy.Types) != 4 || s.Policy.Types[0].SecondStep != 2 || s.Policy.Types[3].Effect != policy.NonIdempotent ||
		s.Policy.Quotas[0] != 1000 || s.Tenants["acme"] != 0 || s.Types["keyed"] != 2 {
		t.Errorf("%+v", c)
	}
	cut := strings.Replace(text(t), `"limits": {
  "cores": 1,
  "memory_mb": 192,
  "sockets": 1024
 },`, "", 1)
	cut = strings.Replace(cut, `"streamsPerConn": 8`, `"other": 8`, 1)
	env := func(k string) string { return map[string]string{"ROUTER_NAME": "n7"}[k] }
	c, err = parse([]byte(strings.Replace(cut, `"name": "n0"`, `"name": ""`, 1)), env)
	if err != nil || c.Name != "n7" || c.MemoryMB != defaultMemory || c.Sockets != defaultSockets || c.Settings.StreamsPerConn != 32 {
		t.Errorf("%+v %v", c, err)
	}
}

// TestMessagesNameTheKey checks that each error of an invalid configuration names the key at fault.
func TestMessagesNameTheKey(t *testing.T) {
	good := text(t)
	for _, c := range []struct{ old, new, want string }{
		{`"seed": "8c1f30d27a5be964"`, `"seed": "xyz"`, "seed"},
		{`"listen": "127.0.0.1:0"`, `"listen": "nowhere"`, "listen"},
		{`"sockets": 1024`, `"sockets": 3`, "limits.sockets"},
		{`"memory_mb": 192`, `"memory_mb": 0`, "limits.memory_mb"},
		{`"cores": 1`, `"cores": 0`, "limits.cores"},
		{`"width": 2`, `"width": "two"`, "domain.width"},
		{`"ranges": 8`, `"ranges": 0`, "domain.ranges"},
		{`"fallMultiple": 3`, `"other": 3`, "rules.fallMultiple"},
		{`"semantics": "free"`, `"semantics": "odd"`, "requestClasses.0.semantics"},
		{`"maxOpen": 200`, `"maxOpen": 0`, "limits.maxOpen"},
		{`"settings": {`, `"others": {`, "settings"},
		{`"name": "n0"`, `"known": {"hosts": []}, "name": "n0"`, "known"},
		{`{`, `[`, "configuration"},
	} {
		bad := strings.Replace(good, c.old, c.new, 1)
		if bad == good {
			t.Fatalf("%s is not in the text", c.old)
		}
		_, err := parse([]byte(bad), func(string) string { return "" })
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.new, err)
		}
	}
	if _, err := load(good); err == nil || !strings.Contains(err.Error(), "ROUTER_CONFIG") {
		t.Error(err)
	}
	_, err := Load(func(string) string { return "here" }, func(string) ([]byte, error) { return nil, errors.New("no such file") })
	if err == nil || !strings.Contains(err.Error(), "no such file") {
		t.Error(err)
	}
}

// TestRestartKeys checks that a reload names the keys that need a restart. The address of discovery is not one of them.
func TestRestartKeys(t *testing.T) {
	env := func(string) string { return "" }
	good := text(t)
	a, err := parse([]byte(good), env)
	if err != nil {
		t.Fatal(err)
	}
	b, err := parse([]byte(strings.NewReplacer(`"discovery": "127`, `"discovery": "126`, `"maxOpen": 200`, `"maxOpen": 300`,
		`"memory_mb": 192`, `"memory_mb": 64`).Replace(good)), env)
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(a.RestartKeys(b), " "); got != "limits.memory_mb settings.limits.maxOpen" {
		t.Errorf("%q", got)
	}
	if a.Discovery == b.Discovery || len(a.RestartKeys(a)) > 0 {
		t.Errorf("%q %q %v", a.Discovery, b.Discovery, a.RestartKeys(a))
	}
}
