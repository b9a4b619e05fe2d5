package scale

import (
	"time"

	"github.com/go-faster/errors"
)

// Options configures a run.
type Options struct {
	Program           []string      `json:"-"`         // command of this binary; a role or "lab hollow KIND" is appended
	Env               []string      `json:"-"`         // extra environment of each child process
	Progress          func(string)  `json:"-"`         // receives progress messages; may be nil
	Mixers            int           `json:"mixers"`    // one of them is real
	Searchers         int           `json:"searchers"` // all simulated
	Controllers       int           `json:"core"`
	Seed              uint64        `json:"seed"`
	Duration          time.Duration `json:"for-ns"`          // half without changes, half with changes and drains
	Routes            int           `json:"routes"`          // routes of the configuration
	Shards            int           `json:"shards"`          // shards of each fan-out route
	HeartbeatPeriod   time.Duration `json:"beat-period-ns"`  // of searchers, agents and controllers
	ChangeInterval    time.Duration `json:"change-every-ns"` // with a drain midway between two changes
	RestartsPerMinute float64       `json:"restarts-a-minute"`
	CrashesPerMinute  float64       `json:"crashes-a-minute"`
	FreshConnections  bool          `json:"fresh-connections"` // open a connection for each heartbeat
	MaxProcs          int           `json:"procs"`             // GOMAXPROCS of each child
	StartTimeout      time.Duration `json:"start-most-ns"`     // time limit of each step of the start
	SettleTime        time.Duration `json:"settle-ns"`         // pause after the start, while agents move to nearer controllers
}

// Limits for one machine that is shared with other users; a run may take less than half of its memory.
const (
	maxMixers      = 2000
	maxSearchers   = 8000
	maxControllers = 9
	maxMemory      = 11 << 30
	maxDrains      = 16 // searchers that are reserved for measured drains
)

// Check returns an error that names the first option that is out of bounds.
func (o *Options) Check() error {
	for _, bound := range []struct {
		name            string
		value, min, max int
	}{
		{"mixers", o.Mixers, 1, maxMixers}, {"searchers", o.Searchers, 1, maxSearchers}, {"core", o.Controllers, 1, maxControllers},
		{"routes", o.Routes, 1, 1000}, {"shards", o.Shards, 1, 1200}, {"procs", o.MaxProcs, 1, 8},
	} {
		if bound.value < bound.min || bound.value > bound.max {
			return errors.Errorf("--%s %d: must be %d to %d", bound.name, bound.value, bound.min, bound.max)
		}
	}
	switch {
	case o.Duration < time.Second || o.Duration > 5*time.Minute:
		return errors.Errorf("--for %v: must be 1s to 5m", o.Duration)
	case o.HeartbeatPeriod < 100*time.Millisecond:
		return errors.Errorf("--beat-period %v: must be 100ms or more", o.HeartbeatPeriod)
	case o.ChangeInterval < 200*time.Millisecond:
		return errors.Errorf("--change-every %v: must be 200ms or more", o.ChangeInterval)
	case o.RestartsPerMinute < 0 || o.CrashesPerMinute < 0 || o.RestartsPerMinute+o.CrashesPerMinute > 6000:
		return errors.Errorf("--restarts %v, --crashes %v per minute: each must be 0 or more and their sum at most 6000",
			o.RestartsPerMinute, o.CrashesPerMinute)
	}
	return nil
}

// DefaultOptions returns the options of a small run that fits on any machine.
func DefaultOptions() Options {
	return Options{Mixers: 9, Searchers: 36, Controllers: 4, Seed: 1, Duration: 16 * time.Second, Routes: 60, Shards: 12,
		HeartbeatPeriod: 1200 * time.Millisecond, ChangeInterval: 2 * time.Second, MaxProcs: 1, StartTimeout: 90 * time.Second,
		SettleTime: 4 * time.Second}
}

// zones lists the zones of the simulated fleet: two regions of three zones each.
var zones = []string{"east-1", "east-2", "east-3", "west-1", "west-2", "west-3"}

func regionsByZone() map[string]string {
	regions := map[string]string{}
	for _, zone := range zones {
		regions[zone] = zone[:4]
	}
	return regions
}

// zoneOf spreads controllers evenly over the zones, so that of four controllers each region has two.
func zoneOf(controller, core int) string { return zones[controller*len(zones)/max(core, 1)%len(zones)] }
