package simulation_test

import "peathollow/internal/invariant"

// A violation of an invariant ends the test.
func init() { invariant.SetFatal(true) }
