package dutysim

import (
	"encoding/json"
	"os"
	"strconv"
	"testing"
	"time"
)

func setup(scenario string) Setup {
	return Setup{Instances: 3, Readers: 4, Interval: time.Second, Scenario: scenario}
}

// The bounds hold in every scenario. PEATHOLLOW_HISTORIES asks for more than the few that CI plays.
func TestBoundsHold(t *testing.T) {
	n := 12
	if s := os.Getenv("PEATHOLLOW_HISTORIES"); s != "" {
		n, _ = strconv.Atoi(s)
	}
	for _, name := range Scenarios {
		seeds := n
		if name == "mixed" {
			seeds = 5 * n
		}
		r, err := PlayAll(setup(name), 1, seeds, nil)
		if err != nil || r.Violations > 0 || r.ProbesPerS < 0.2 {
			t.Errorf("%s: %d violations, %s, %.2f probes a second, %v", name, r.Violations, r.First, r.ProbesPerS, err)
		}
	}
	for _, size := range []int{1, 2, 5} {
		s := setup("mixed")
		s.Instances = size
		if r, err := PlayAll(s, 1, n, nil); err != nil || r.Violations > 0 {
			t.Errorf("%d instances: %s %v", size, r.First, err)
		}
	}
}

// The checker tells each planted fault, and both baselines.
func TestCheckerTellsFaults(t *testing.T) {
	for plant, s := range map[string]Setup{
		"early check": {Scenario: "roll", Instances: 3},
		"twice":       {Scenario: "calm", Instances: 3},
		"lease":       {Scenario: "split", Instances: 3},
		"majority":    {Scenario: "split", Instances: 3},
		"amnesia":     {Scenario: "rejoin", Instances: 3, Lease: 5 * time.Second},
		"forged":      {Scenario: "flap", Instances: 5},
		"fresh":       {Scenario: "roll", Instances: 3},
	} {
		s.Readers, s.Interval = 4, time.Second
		sound, err := PlayAll(s, 1, 40, nil)
		if err != nil || sound.Violations > 0 {
			t.Errorf("%s, without the fault: %s %v", plant, sound.First, err)
		}
		s.Plant = plant
		if r, err := PlayAll(s, 1, 40, nil); err != nil || r.Violations == 0 {
			t.Errorf("%s is not told (%v)", plant, err)
		}
	}
	for policy, scenario := range map[string]string{"all": "calm", "view": "split"} {
		s := setup(scenario)
		s.Policy = policy
		if r, err := PlayAll(s, 1, 5, nil); err != nil || r.Violations == 0 {
			t.Errorf("%s: %v", policy, err)
		}
	}
}

// Who hears no results does no harm: turns stay as rare as they must be.
func TestDeafIsOnlyRarer(t *testing.T) {
	s := setup("calm")
	s.Plant = "deaf"
	if r, err := PlayAll(s, 1, 5, nil); err != nil || r.WorstRate >= 2 {
		t.Errorf("%.2f %v", r.WorstRate, err)
	}
}

// A history is its seed's, however many are played beside it.
func TestSameSeedSameHistory(t *testing.T) {
	one, err := PlayAll(setup("mixed"), 7, 4, nil)
	if err != nil {
		t.Fatal(err)
	}
	two, err := PlayAll(setup("mixed"), 7, 4, nil)
	a, _ := json.Marshal(one)
	b, _ := json.Marshal(two)
	if err != nil || string(a) != string(b) {
		t.Errorf("%s\n%s", a, b)
	}
}

func TestUnknownNamesAreRefused(t *testing.T) {
	for _, s := range []Setup{{Scenario: "odd"}, {Scenario: "calm", Policy: "odd"}, {Scenario: "calm", Plant: "odd"}} {
		s.Instances, s.Readers, s.Interval = 3, 1, time.Second
		if _, err := PlayAll(s, 1, 2, nil); err == nil {
			t.Errorf("%+v is taken", s)
		}
	}
}
