package simulation_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"peathollow/controlplane/simulation"
)

// envInt reads a parameter of a run from the environment: SIMULATION_SEEDS is the number of seeds, SIMULATION_FIRST the
// first one.
func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

func simulate(t *testing.T, o simulation.Options) (r simulation.Result) {
	t.Helper()
	if o.Controllers == 0 {
		o.Controllers, o.Fronts, o.Searchers = 5, 3, 6
	}
	if os.Getenv("SIMULATION_LOG") != "" {
		o.Logs = &log.Logger{Level: log.ParseLevel(os.Getenv("SIMULATION_LOG")), Writer: &log.IOWriter{Writer: os.Stderr}}
	}
	synctest.Test(t, func(t *testing.T) {
		var trace []string
		var err error
		r, trace, err = simulation.Simulate(o)
		if err != nil {
			t.Errorf("seed %d: %v\n%s", o.Seed, err, strings.Join(trace, "\n"))
		}
	})
	return r
}

func TestCalm(t *testing.T) {
	r := simulate(t, simulation.Options{Seed: 1, Duration: 20 * time.Second, NoFaults: true})
	t.Logf("%+v", r)
}

func TestTrouble(t *testing.T) {
	first := envInt("SIMULATION_FIRST", 1)
	for i := range envInt("SIMULATION_SEEDS", 3) {
		r := simulate(t, simulation.Options{Seed: uint64(first + i), Duration: 60 * time.Second})
		t.Logf("seed %d: %+v", first+i, r)
	}
}

// TestDiskLostWhileAllGoDark loses a disk right after an acknowledgement while all other machines, fronts included, lose
// power, and does so repeatedly. Everything acknowledged must still be there, and fronts that hold no configuration must not
// be given an older one.
func TestDiskLostWhileAllGoDark(t *testing.T) {
	first := envInt("SIMULATION_FIRST", 1)
	for i := range envInt("SIMULATION_SEEDS", 1) {
		for _, moment := range []simulation.Trigger{simulation.ChangeAcknowledged, simulation.DrainAcknowledged} {
			for _, controllers := range []int{3, 5} {
				r := simulate(t, simulation.Options{Seed: uint64(first + i), Duration: 40 * time.Second, Controllers: controllers,
					Fronts: 3, Searchers: 6, Faults: []simulation.Fault{simulation.WipeDuringBlackOut}, AtAcknowledgement: true,
					Trigger: moment, Step: 6 * time.Second})
				if r.Faults == 0 {
					t.Errorf("seed %d: nothing was lost", first+i)
				}
			}
		}
	}
}
