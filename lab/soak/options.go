package soak

import (
	"time"

	"github.com/go-faster/errors"
)

// Options says what to run.
type Options struct {
	Program []string      // its first arguments; the role follows
	Seed    uint64        // draws the schedule
	For     time.Duration // of trouble; some calm seconds follow
	Rate    int           // requests a second
	Trouble []Kind        // all kinds if empty
	AtOnce  int           // troubles at a time; 3 if 0
	Dir     string        // for logs, ledger and schedule; a new one under the temporary folder if empty
	Out     func(string)  // is told how the run goes; may be nil
}

// The bounds of a run.
const (
	lengthLeast = time.Second
	lengthMost  = time.Hour
	rateMost    = 1000
	atOnceMost  = 20
)

// Check says what is wrong with the options.
func (o *Options) Check() error {
	switch {
	case o.For < lengthLeast || o.For > lengthMost:
		return errors.Errorf("--for %v: %v to %v", o.For, lengthLeast, lengthMost)
	case o.AtOnce < 0 || o.AtOnce > atOnceMost:
		return errors.Errorf("--at-once %d: 1 to %d", o.AtOnce, atOnceMost)
	case o.Rate < 1 || o.Rate > rateMost:
		return errors.Errorf("--rate %d: 1 to %d", o.Rate, rateMost)
	}
	return nil
}

// Result is what a run came to.
type Result struct {
	Seed       uint64
	Dir        string
	Shape      Shape
	Troubles   int
	Requests   int
	Right      int
	Partial    int
	Left       int // requests whose client left
	Unanswered int // requests that got no right answer within the client's time
	Explained  int // of the tries that the fronts answered with a failure, how many are named in a log
	Failures   int // such tries
	Orders     int // configurations that operators sent
	Acked      int
	Calm       int // requests of the calm seconds at the end
	Violations []string
}
