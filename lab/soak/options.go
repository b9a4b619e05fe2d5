package soak

import (
	"time"

	"github.com/go-faster/errors"
)

// Options configures a run.
type Options struct {
	Program                             []string      // the program and its first arguments; the arguments of the role follow
	Seed                                uint64        // seeds the schedule
	Duration                            time.Duration // how long faults are injected; a quiet period of a few seconds follows
	Rate                                int           // client requests per second
	Kinds                               []Kind        // kinds of faults to inject; all kinds if empty
	MaxConcurrent                       int           // the most faults active at a time; 3 if 0
	Fronts, Controllers, Shards, Copies int           // if 0: drawn from the seed (Controllers, Fronts) or a default

	Dir      string       // for logs, the ledger and the schedule; a new temporary directory if empty
	Progress func(string) // receives each line of the run's log; may be nil
}

// Bounds of the options.
const (
	minDuration = time.Second
	maxDuration = time.Hour
	maxRate     = 2000

	maxFronts                      = 60
	minControllers, maxControllers = 3, 9
	maxShards                      = 30
	maxCopies                      = 20
	maxConcurrency                 = 20
)

// Check returns an error if an option is out of its bounds.
func (o *Options) Check() error {
	switch {
	case o.Duration < minDuration || o.Duration > maxDuration:
		return errors.Errorf("--for %v: must be %v to %v", o.Duration, minDuration, maxDuration)
	case o.MaxConcurrent < 0 || o.MaxConcurrent > maxConcurrency:
		return errors.Errorf("--at-once %d: must be 1 to %d", o.MaxConcurrent, maxConcurrency)
	case o.Rate < 1 || o.Rate > maxRate:
		return errors.Errorf("--rate %d: must be 1 to %d", o.Rate, maxRate)
	case o.Fronts < 0 || o.Fronts > maxFronts || o.Fronts == 1:
		return errors.Errorf("--fronts %d: must be 2 to %d", o.Fronts, maxFronts)
	case o.Controllers != 0 && (o.Controllers < minControllers || o.Controllers > maxControllers):
		return errors.Errorf("--controllers %d: must be %d to %d", o.Controllers, minControllers, maxControllers)
	case o.Shards < 0 || o.Shards > maxShards:
		return errors.Errorf("--shards %d: must be 1 to %d", o.Shards, maxShards)
	case o.Copies < 0 || o.Copies > maxCopies || o.Copies == 1:
		return errors.Errorf("--copies %d: must be 2 to %d", o.Copies, maxCopies)
	}
	return nil
}

// Result summarizes a run.
type Result struct {
	Seed       uint64
	Dir        string
	Shape      Shape
	Troubles   int
	Requests   int
	Right      int
	Partial    int
	Left       int // requests whose client disconnected
	Unanswered int // requests without a correct response within the client's timeout
	Explained  int // failed attempts that a front's log mentions
	Failures   int // attempts that a front answered with an error status
	Orders     int // configurations that operators sent
	Acked      int
	Calm       int // requests sent in the quiet period at the end
	Violations []string
}
