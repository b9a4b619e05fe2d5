package main

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"peathollow/attempt/explore"
)

func TestVerifyAttempts(t *testing.T) {
	small := []string{"verify", "attempts", "--quiet", "--readers", "2", "--parts", "1", "--threads", "2"}
	out, err := run(append(small, "--faults", "none", "--json")...)
	var r explore.Result
	if err != nil || json.Unmarshal([]byte(out), &r) != nil || !r.Complete || r.Violations != 0 || r.States < 100 || r.Transitions < r.States {
		t.Errorf("%s %v", out, err)
	}
	for _, field := range []string{"states", "transitions", "violations", "complete", "seconds", "peak_mb", "reduction"} {
		if !strings.Contains(out, `"`+field+`":`) {
			t.Errorf("%s is missing", field)
		}
	}
	var code exitCode
	if out, err := run(append(small, "--limit-states", "20", "--faults", "all", "--most", "3")...); !errors.As(err,
		&code) || code != 3 || !strings.Contains(out, "cut short") {
		t.Errorf("%s %v", out, err)
	}
	if out, err := run("verify", "attempts", "--list-properties"); err != nil || strings.Count(out,
		"\n") != len(explore.Properties) {
		t.Errorf("%s %v", out, err)
	}
	for _, invalid := range [][]string{{"--readers", "0"}, {"--effect", "odd"}, {"--faults", "odd"}, {"--reduction", "odd"},
		{"--decider", "odd"},
		{"--property", "odd"}, {"--replay", "no-such"}, {"--limit-states", "-1"}, {"--mutants", "--source", t.TempDir()}} {
		if _, err := run(append([]string{"verify", "attempts"}, invalid...)...); err == nil {
			t.Errorf("%v is accepted", invalid)
		}
	}
}

func TestVerifyReplaysACase(t *testing.T) {
	cases, err := filepath.Glob("../../attempt/explore/testdata/cases/*.json")
	if err != nil || len(cases) == 0 {
		t.Fatal(err)
	}
	if out, err := run("verify", "attempts", "--replay", cases[0]); err != nil || !strings.Contains(out, "No property is broken") {
		t.Errorf("%s %v", out, err)
	}
	file := filepath.Join(t.TempDir(), "case.json")
	if err := os.WriteFile(file, []byte(`{"setup":{"readers":9}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := run("verify", "attempts", "--replay", file); err == nil || !strings.Contains(err.Error(), "--readers 9") {
		t.Errorf("%v", err)
	}
}
