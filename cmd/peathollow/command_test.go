package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"peathollow/duty/dutysim"
)

func run(args ...string) (string, error) {
	c := root()
	var out bytes.Buffer
	c.Writer, c.ErrWriter = &out, &out
	err := c.Run(context.Background(), append([]string{"peathollow"}, args...))
	return out.String(), err
}

func TestDutiesSimulate(t *testing.T) {
	out, err := run("duties", "simulate", "--instances", "3", "--readers", "2", "--interval", "1s", "--scenario", "kill", "--seed",
		"5",
		"--seeds", "3", "--json")
	var r dutysim.Report
	if err != nil || json.Unmarshal([]byte(out), &r) != nil || r.Histories != 3 || r.Violations != 0 || r.GapBoundMS <= 0 ||
		r.WorstGapMS <= 0 || r.WorstRateRatio <= 0 || r.WorstRateRatio >= 2 {
		t.Errorf("%s %v", out, err)
	}
	for _, field := range []string{"violations", "worst_gap_ms", "gap_bound_ms", "worst_rate_ratio", "histories"} {
		if !strings.Contains(out, `"`+field+`"`) {
			t.Errorf("%s is missing", field)
		}
	}
	var code exitCode
	if out, err := run("duties", "simulate", "--policy", "all", "--scenario", "calm", "--seeds", "2"); !errors.As(err,
		&code) || code != 1 {
		t.Errorf("%s %v", out, err)
	}
	for _, invalid := range [][]string{{"--scenario", "odd"}, {"--instances", "0"}, {"--seeds", "0"}, {"--interval", "1ns"},
		{"--policy", "odd"}, {"--no-such"}} {
		if _, err := run(append([]string{"duties", "simulate"}, invalid...)...); err == nil {
			t.Errorf("%v is accepted", invalid)
		}
	}
}

func TestCheckAndKey(t *testing.T) {
	list, err := run("check", "--list")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "s.ini")
	if err := os.WriteFile(path, []byte(list), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("ROUTER_CONFIG", "")
	if out, err := run("check", path); err != nil || !strings.Contains(out, "good; duties off") {
		t.Errorf("%s %v", out, err)
	}
	os.WriteFile(path, []byte("[duties]\non = perhaps\n"), 0o600)
	if _, err := run("check", path); err == nil || !strings.Contains(err.Error(), "[duties] on") {
		t.Error(err)
	}
	if _, err := run("check"); err == nil {
		t.Error("no error although there was nothing to check")
	}
	out, err := run("duties", "key")
	if k, bad := base64.StdEncoding.DecodeString(strings.TrimSpace(out)); err != nil || bad != nil || len(k) != 32 {
		t.Errorf("%q %v", out, err)
	}
	if out, err := run("version"); err != nil || !strings.HasPrefix(out, "peathollow ") {
		t.Errorf("%q %v", out, err)
	}
	if _, err := run("duties", "show", filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("no error for a socket that does not exist")
	}
}

// TestTry checks that every scan gets a response, also when one searcher never responds.
func TestTry(t *testing.T) {
	for _, args := range [][]string{{"try", "--for", "1500ms"}, {"try", "--for", "1500ms", "--trouble"}} {
		out, err := run(args...)
		if err != nil || !strings.Contains(out, " completed") {
			t.Errorf("%v: %s %v", args, out, err)
		}
	}
}
