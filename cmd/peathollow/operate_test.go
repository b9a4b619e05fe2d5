package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"peathollow/client"
	"peathollow/internal/standin/localsystem"
)

// golden compares printed output with the expected text, whose leading line break is ignored.
func golden(t *testing.T, want string, show func(out *bytes.Buffer) error) {
	t.Helper()
	var out bytes.Buffer
	must.NoError(t, show(&out))
	must.Eq(t, strings.TrimPrefix(want, "\n"), out.String())
}

func TestTables(t *testing.T) {
	members := []client.Member{{ID: "i1", Address: "10.0.0.1:7080"}, {ID: "i2", Address: "10.0.0.2:7080"}}
	golden(t, `
control        node    zone  is              epoch  config  searchers  fronts  fault
10.0.0.1:8047  core-1  a     primary         4      7       8          2       -
10.0.0.2:8047  core-2  b     in sync, alone  4      6       8          0       -
10.0.0.3:8047  -       -     no answer       -      -       -          -       silent for 1s
`, func(out *bytes.Buffer) error {
		one := client.Status{Node: "core-1", ID: "i1", Zone: "a", Epoch: 4, Primary: "10.0.0.1:7080", InSync: []string{"i1", "i2"},
			Members: members, Version: 7, Searchers: 8, Mixers: 2}
		two := one
		two.Node, two.ID, two.Zone, two.Version, two.Mixers, two.Isolated = "core-2", "i2", "b", 6, 0, true
		return showStatus(out, []client.ControllerStatus{{Control: "10.0.0.1:8047", Status: &one}, {Control: "10.0.0.2:8047", Status: &two},
			{Control: "10.0.0.3:8047", Fault: "silent for 1s"}})
	})
	golden(t, `
node           role        config    heard      by      fault
core-1         controller  7         0s ago     -       -
10.0.0.3:8047  controller  not told  no answer  -       silent for 1s
front-1        front       6         40ms ago   core-1  -
`, func(out *bytes.Buffer) error {
		return showNodes(out, []client.Node{{Node: "core-1", Role: client.Controller, Version: 7},
			{Node: "10.0.0.3:8047", Role: client.Controller, Fault: "silent for 1s"},
			{Node: "front-1", Role: client.Front, Version: 6, LastContactMs: 40, Via: "core-1"}})
	})
	golden(t, `
service   id   address      zone  state  capacity  slow for  software  reports to
s0        i-7  10.1.0.9:80  a     ready  8         1.5s      v1        core-1
"s\t0\n"  é,   10.1.0.9:80  a     ready  8         1.5s      v1        core-1
`, func(out *bytes.Buffer) error {
		row := client.Searcher{ID: "i-7", Service: "s0", Address: "10.1.0.9:80", Zone: "a", State: "ready",
			Capacity: 8, WarmupLeftMs: 1500, ConfigVersion: "v1", Source: "core-1"}
		other := row
		other.Service, other.ID = "s\t0\n", "é,"
		return showSearchers(out, []client.Searcher{row, other})
	})
}

// runOperatorCommand runs a command against a simulated controller that has version 1 in force, and returns its output and exit
// status.
func runOperatorCommand(t *testing.T, args ...string) (string, exitCode) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && r.URL.Path == "/config" {
			w.Write(localsystem.Config(1))
		}
	}))
	defer s.Close()
	out, err := run(append(args, "--control", s.Listener.Addr().String())...)
	code := exitCode(0)
	if err != nil && !errors.As(err, &code) {
		code = 1
	}
	if err != nil {
		out += err.Error()
	}
	return out, code
}

func TestConfigCommands(t *testing.T) {
	file := func(b []byte) string {
		path := filepath.Join(t.TempDir(), "config.json")
		must.NoError(t, os.WriteFile(path, b, 0o600))
		return path
	}
	valid, invalid := file(localsystem.Config(2)), file(bytes.Replace(localsystem.Config(2), []byte(`"top-k": 10`),
		[]byte(`"top-k": -1`), 1))

	out, code := runOperatorCommand(t, "config", "diff", valid)
	must.Eq(t, 0, code, must.Sprint(out))
	must.Eq(t, "version 1 in force, 2 in the file\nwhat   of     name   field  values\nadded  route  later  -      -\n", out)
	out, code = runOperatorCommand(t, "config", "diff", file(bytes.Replace(localsystem.Config(1), []byte(`"top-k": 10`),
		[]byte(`"top-k": 5`), 1)))
	must.Eq(t, 0, code, must.Sprint(out))
	must.StrContains(t, out, "changed  route  fan   TopK   10 -> 5")
	must.StrContains(t, out, "would be acknowledged and change nothing")

	out, code = runOperatorCommand(t, "config", "get", "--json")
	must.Eq(t, 0, code)
	must.Eq(t, string(localsystem.Config(1)), strings.TrimSpace(out))

	// An invalid file is never sent.
	for _, command := range []string{"put", "diff"} {
		out, code = runOperatorCommand(t, "config", command, invalid)
		must.Eq(t, exitUsage, code)
		must.StrContains(t, out, invalid+":")
		must.StrContains(t, out, "routes[0].top-k: expected a whole number of 0 or more, got -1")
	}
	out, err := run("config", "check", "--json", invalid)
	must.Error(t, err)
	var result struct {
		Valid bool
		Line  int
		Path  string
	}
	must.NoError(t, json.Unmarshal([]byte(out), &result))
	must.False(t, result.Valid)
	must.Eq(t, "routes[0].top-k", result.Path)
	must.StrContains(t, strings.Split(string(localsystem.Config(2)), "\n")[result.Line-1], "top-k")

	for _, wrong := range [][]string{{"status", "odd"}, {"nodes", "--odd"}, {"status", "--timeout", "0s"}, {"config", "put"}} {
		out, code = runOperatorCommand(t, wrong...)
		must.Eq(t, exitUsage, code, must.Sprint(wrong, out))
	}
	_, code = runOperatorCommand(t, "config", "put", filepath.Join(t.TempDir(), "none"))
	must.Eq(t, 1, code)
}

func TestCheckSystem(t *testing.T) {
	list, err := run("check", "--system", "--list")
	must.NoError(t, err)
	must.StrContains(t, list, "bounds.retry-ratio")
	path := filepath.Join(t.TempDir(), "local.conf")
	must.NoError(t, os.WriteFile(path, []byte("ip=10.0.0.1\ninternal-ports=9,8\n"), 0o600))
	_, err = run("check", "--system", path)
	must.ErrorContains(t, err, "line 2: internal-ports: expected two ports")
	must.ErrorIs(t, err, exitUsage)
	must.NoError(t, os.WriteFile(path, []byte("ip=10.0.0.1\ninternal-ports=8,9\nnode-name=n\n"), 0o600))
	out, err := run("check", "--system", path)
	must.NoError(t, err)
	must.StrContains(t, out, "good; n,")
}

// TestTrySystem checks that the complete system starts, serves, applies a configuration change and leaves nothing behind, also
// when its primary is killed.
func TestTrySystem(t *testing.T) {
	t.Setenv("PEATHOLLOW_TEST_PROGRAM", "1")
	for _, more := range [][]string{nil, {"--trouble"}} {
		dir := t.TempDir()
		t.Setenv("TMPDIR", dir)
		out, err := run(append([]string{"try", "system", "--for", "2s", "--rate", "20"}, more...)...)
		must.NoError(t, err, must.Sprint(out))
		must.StrContains(t, out, "version 2 acknowledged, and in force on both fronts")
		left, err := os.ReadDir(dir)
		must.NoError(t, err)
		must.Len(t, 0, left)
	}
}
