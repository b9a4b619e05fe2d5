package dutysim

import (
	"encoding/json"
	"os"
	"strconv"
	"testing"
	"time"
)

func testSetup(scenario string) Setup {
	return Setup{Instances: 3, Readers: 4, Interval: time.Second, Scenario: scenario}
}

// The bounds must hold in every scenario. PEATHOLLOW_HISTORIES sets a number of histories other than CI's default.
func TestBoundsHold(t *testing.T) {
	histories := 12
	if s := os.Getenv("PEATHOLLOW_HISTORIES"); s != "" {
		histories, _ = strconv.Atoi(s)
	}
	for _, scenario := range Scenarios {
		seeds := histories
		if scenario == "mixed" {
			seeds = 5 * histories
		}
		r, err := SimulateAll(testSetup(scenario), 1, seeds, nil)
		if err != nil || r.Violations > 0 || r.ProbesPerS < 0.2 {
			t.Errorf("%s: %d violations, %s, %.2f probes a second, %v", scenario, r.Violations, r.FirstViolation, r.ProbesPerS, err)
		}
	}
	for _, size := range []int{1, 2, 5} {
		s := testSetup("mixed")
		s.Instances = size
		if r, err := SimulateAll(s, 1, histories, nil); err != nil || r.Violations > 0 {
			t.Errorf("%d instances: %s %v", size, r.FirstViolation, err)
		}
	}
}

// The checker must report violations for each injected fault and for both baseline policies, and none without the fault.
func TestCheckerDetectsInjectedFaults(t *testing.T) {
	for fault, s := range map[string]Setup{
		"early check": {Scenario: "roll", Instances: 3},
		"twice":       {Scenario: "calm", Instances: 3},
		"lease":       {Scenario: "split", Instances: 3},
		"majority":    {Scenario: "split", Instances: 3},
		"amnesia":     {Scenario: "rejoin", Instances: 3, Lease: 5 * time.Second},
		"forged":      {Scenario: "flap", Instances: 5},
		"fresh":       {Scenario: "roll", Instances: 3},
	} {
		s.Readers, s.Interval = 4, time.Second
		healthy, err := SimulateAll(s, 1, 40, nil)
		if err != nil || healthy.Violations > 0 {
			t.Errorf("%s, without the fault: %s %v", fault, healthy.FirstViolation, err)
		}
		s.Fault = fault
		if r, err := SimulateAll(s, 1, 40, nil); err != nil || r.Violations == 0 {
			t.Errorf("%s is not detected (%v)", fault, err)
		}
	}
	for policy, scenario := range map[string]string{"all": "calm", "view": "split"} {
		s := testSetup(scenario)
		s.Policy = policy
		if r, err := SimulateAll(s, 1, 5, nil); err != nil || r.Violations == 0 {
			t.Errorf("%s: %v", policy, err)
		}
	}
}

// An instance that receives no results must do no harm: out-of-lease runs must stay within the rate limit.
func TestDroppedResultsKeepRunsRare(t *testing.T) {
	s := testSetup("calm")
	s.Fault = "deaf"
	if r, err := SimulateAll(s, 1, 5, nil); err != nil || r.WorstRateRatio >= 2 {
		t.Errorf("%.2f %v", r.WorstRateRatio, err)
	}
}

// The same seed must give the same histories, although several are simulated concurrently.
func TestSameSeedGivesSameHistory(t *testing.T) {
	one, err := SimulateAll(testSetup("mixed"), 7, 4, nil)
	if err != nil {
		t.Fatal(err)
	}
	two, err := SimulateAll(testSetup("mixed"), 7, 4, nil)
	a, _ := json.Marshal(one)
	b, _ := json.Marshal(two)
	if err != nil || string(a) != string(b) {
		t.Errorf("%s\n%s", a, b)
	}
}

func TestUnknownNamesAreRejected(t *testing.T) {
	for _, s := range []Setup{{Scenario: "odd"}, {Scenario: "calm", Policy: "odd"}, {Scenario: "calm", Fault: "odd"}} {
		s.Instances, s.Readers, s.Interval = 3, 1, time.Second
		if _, err := SimulateAll(s, 1, 2, nil); err == nil {
			t.Errorf("%+v is accepted", s)
		}
	}
}
