package explore

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"peathollow/attempt"
	"peathollow/internal/config"
	"peathollow/policy"
)

// Setup is the configuration that is explored: its sizes, the rules of the table type, the policy, and the possible faults.
type Setup struct {
	Searchers   int      `json:"readers"`
	Parts       int      `json:"parts"`
	MaxAttempts int      `json:"tries"`  // maximum number of dispatches of a part
	Effect      string   `json:"effect"` // replayable, keyed or nonreplayable
	Steps       int      `json:"steps"`
	MaxInFlight int      `json:"copies"`  // maximum number of dispatches of a part in flight at once
	Policy      string   `json:"decider"` // brain (the policy engine) or free (any action that is allowed)
	Faults      []string `json:"faults"`  // kinds of faults that may happen
	MaxFaults   int      `json:"most"`    // maximum number of faults in one run, of any kinds

	enabled       [faultCount]bool // the faults by kind; set by Validate
	mixerSettings *config.Settings
}

// Fault is a kind of failure or unusual event that can be injected.
type Fault uint8

const (
	faultBreak Fault = iota
	faultMute
	faultSpoilt
	faultRefuse
	faultError
	faultStall
	faultAfter
	faultTwice
	faultBehind
	faultStranger
	faultList
	faultLeft
	faultStop
	faultReuse
	faultPanic
	faultFull
	faultRenew
	faultSlow
	faultEarly
	faultCount
)

// FaultKinds lists the kinds of faults with a one-line description each.
var FaultKinds = [faultCount]Property{
	faultBreak:    {"break", "a connection can't be established, or its reader ends it, before or after the last byte of a frame"},
	faultMute:     {"mute", "a connection becomes unresponsive: this mixer ends it, without seeing the reader's end"},
	faultSpoilt:   {"spoilt", "an answer can't be parsed, and its connection is ended"},
	faultRefuse:   {"refuse", "a reader rejects a part as overloaded"},
	faultError:    {"error", "a reader answers with an error"},
	faultStall:    {"stall", "writes of frames start and stay incomplete for a time, or for ever"},
	faultAfter:    {"after", "a reader's answers and receipts are still delivered after the end of the connection's writing side"},
	faultTwice:    {"twice", "an answer arrives a second time"},
	faultBehind:   {"behind", "more bytes follow directly after an answer"},
	faultStranger: {"stranger", "an unsolicited answer arrives"},
	faultList:     {"list", "a reader drains, is removed, or returns under the same name at another address"},
	faultLeft:     {"left", "the client disconnects"},
	faultStop:     {"stop", "SIGTERM"},
	faultReuse:    {"reuse", "the client reuses its request's ID after the answer"},
	faultPanic:    {"panic", "the policy panics"},
	faultFull:     {"full", "a connection refuses a frame"},
	faultRenew:    {"renew", "the policy has a reader's connections renewed"},
	faultSlow:     {"slow", "time passes before the mixer handles what is due"},
	faultEarly:    {"early", "an answer is read before the write of what it answers has returned"},
}

// Validate checks a setup and prepares it for use; it must be called first. Errors name the flag at fault.
func (s *Setup) Validate() error {
	for _, x := range []struct {
		name         string
		v, low, high int
	}{{"readers", s.Searchers, 1, 4}, {"parts", s.Parts, 1, 4}, {"tries", s.MaxAttempts, 1, 4}, {"steps", s.Steps, 1, 2},
		{"copies", s.MaxInFlight, 1, 4}, {"most", s.MaxFaults, 0, 8}} {
		if x.v < x.low || x.v > x.high {
			return fmt.Errorf("--%s %d: %d to %d", x.name, x.v, x.low, x.high)
		}
	}
	if _, ok := effects[s.Effect]; !ok {
		return fmt.Errorf("--effect %q: replayable, keyed or nonreplayable", s.Effect)
	}
	if s.Policy != "brain" && s.Policy != "free" {
		return fmt.Errorf("--decider %q: brain or free", s.Policy)
	}
	var names []string
	for _, f := range s.Faults {
		switch f = strings.TrimSpace(f); f {
		case "all":
			for _, k := range FaultKinds {
				names = append(names, k.Name)
			}
		case "none", "":
		default:
			if _, ok := faultByName(f); !ok {
				return fmt.Errorf("--faults %q: all, none, or some of %s", f, strings.Join(faultNames(), ", "))
			}
			names = append(names, f)
		}
	}
	slices.Sort(names)
	s.Faults = slices.Compact(names)
	for _, f := range s.Faults {
		k, _ := faultByName(f)
		s.enabled[k] = true
	}
	s.mixerSettings = s.settings()
	return nil
}

func faultByName(name string) (Fault, bool) {
	i := slices.Index(faultNames(), name)
	return Fault(max(i, 0)), i >= 0
}

func faultNames() (names []string) {
	for _, k := range FaultKinds {
		names = append(names, k.Name)
	}
	return names
}

var effects = map[string]policy.Effect{"replayable": policy.Idempotent, "keyed": policy.IdempotentByKey,
	"nonreplayable": policy.NonIdempotent}

// The durations of a run. Only their order matters, and that some of them coincide.
const (
	clientWait         = 400 * time.Millisecond // the client's deadline after arrival
	recheckDelay       = 200 * time.Millisecond // after which the free policy acts again
	loneAttemptTimeout = 150 * time.Millisecond // after which a dispatch expires, with a single part
	repeatWindow       = 300 * time.Millisecond // within which a keyed part may be dispatched again
	shutdownTimeout    = 100 * time.Millisecond // time left to scans in flight after SIGTERM
)

// attemptTimeout is the time after which a dispatch of the free policy expires. With several parts it coincides with the
// recheck, which leaves fewer distinct instants while events at them still occur in every order.
func (s *Setup) attemptTimeout() time.Duration {
	if s.Parts > 1 {
		return recheckDelay
	}
	return loneAttemptTimeout
}

// settings returns the settings of a mixer with one table type and one tenant.
func (s *Setup) settings() *config.Settings {
	secondStep := 0
	if s.Steps == 2 {
		secondStep = s.Parts
	}
	return &config.Settings{
		Types: map[string]int{"t": 0}, Tenants: map[string]int{"one": 0}, Shards: s.Parts, MaxOpen: 100, StreamsPerConn: 8,
		IdleTimeout: time.Hour, ConnectTimeout: recheckDelay,
		Policy: policy.Settings{Seed: 1, Mixers: 1, Shards: 1, ShardSpan: 1, PartsPerCall: 2, MaxAttempts: s.MaxAttempts,
			MayHedge: s.MaxInFlight > 1, MayCancel: true, MaxRetryAfter: time.Second, Granularity: time.Millisecond,
			ListInterval: time.Hour,
			Quotas:       []float64{1000},
			Types: []policy.TableType{{Target: recheckDelay, Timeout: clientWait, RepeatWindow: repeatWindow, LateShare: 0.5, Benefit: 1,
				Effect: effects[s.Effect], Need: 1, Floor: 0.5, SecondStep: secondStep}}}}
}

// limits returns limits that are never reached; frames are refused only by the fault full.
func limits() attempt.Limits {
	return attempt.Limits{Open: 100, ConnectionsPerSearcher: 8, Connections: 32,
		PartsPerConnection: 16, AnswerHistory: 16, IdleTimeout: time.Hour, LogInterval: 10 * time.Hour}
}
