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

// Setup is what is explored: sizes, rules of the table type, who decides, and what may go wrong.
type Setup struct {
	Readers int      `json:"readers"`
	Parts   int      `json:"parts"`
	Tries   int      `json:"tries"`  // dispatches of a part, at most
	Effect  string   `json:"effect"` // replayable, keyed or nonreplayable
	Steps   int      `json:"steps"`
	Copies  int      `json:"copies"`  // dispatches of a part that may be out at once
	Decider string   `json:"decider"` // brain or free
	Faults  []string `json:"faults"`  // kinds
	Most    int      `json:"most"`    // of them in one run, alike or not

	kinds [faults]bool // as Check made them
	cfg   *config.Settings
}

// Fault is something that goes wrong, or that is not the ordinary course.
type Fault uint8

const (
	fBreak Fault = iota
	fMute
	fSpoilt
	fRefuse
	fError
	fStall
	fAfter
	fTwice
	fBehind
	fStranger
	fList
	fLeft
	fStop
	fReuse
	fPanic
	fFull
	fRenew
	fSlow
	fEarly
	faults
)

// Kinds are the faults by name, a line each.
var Kinds = [faults]Property{
	fBreak:    {"break", "a connection fails to come up, or its reader ends it, before or after the last byte of a frame"},
	fMute:     {"mute", "a connection falls silent: this mixer ends it, and hears nothing of the reader's end"},
	fSpoilt:   {"spoilt", "an answer can't be read, and its connection is ended"},
	fRefuse:   {"refuse", "a reader turns a part away"},
	fError:    {"error", "a reader answers with an error"},
	fStall:    {"stall", "frames begin to be written and stay unfinished for a time, or for ever"},
	fAfter:    {"after", "a reader's words are still handed on behind the end of the connection's writing side"},
	fTwice:    {"twice", "an answer comes a second time"},
	fBehind:   {"behind", "bytes lie right behind an answer"},
	fStranger: {"stranger", "an answer comes that was never asked for"},
	fList:     {"list", "a reader drains, goes, or comes back under the same name at another address"},
	fLeft:     {"left", "the client goes away"},
	fStop:     {"stop", "SIGTERM"},
	fReuse:    {"reuse", "the client uses its request's id again after the answer"},
	fPanic:    {"panic", "the decider panics within a step"},
	fFull:     {"full", "a connection takes no frame"},
	fRenew:    {"renew", "the decider wants a reader's connections renewed"},
	fSlow:     {"slow", "time passes before the mixer gets to what is due"},
	fEarly:    {"early", "an answer is read before the write of what it answers has returned"},
}

// Check tells what is wrong with a setup, by its flag, and makes it ready. It comes before all else.
func (s *Setup) Check() error {
	for _, x := range []struct {
		name         string
		v, low, high int
	}{{"readers", s.Readers, 1, 4}, {"parts", s.Parts, 1, 4}, {"tries", s.Tries, 1, 4}, {"steps", s.Steps, 1, 2},
		{"copies", s.Copies, 1, 4}, {"most", s.Most, 0, 8}} {
		if x.v < x.low || x.v > x.high {
			return fmt.Errorf("--%s %d: %d to %d", x.name, x.v, x.low, x.high)
		}
	}
	if _, ok := effects[s.Effect]; !ok {
		return fmt.Errorf("--effect %q: replayable, keyed or nonreplayable", s.Effect)
	}
	if s.Decider != "brain" && s.Decider != "free" {
		return fmt.Errorf("--decider %q: brain or free", s.Decider)
	}
	var all []string
	for _, f := range s.Faults {
		switch f = strings.TrimSpace(f); f {
		case "all":
			for _, k := range Kinds {
				all = append(all, k.Name)
			}
		case "none", "":
		default:
			if _, ok := kind(f); !ok {
				return fmt.Errorf("--faults %q: all, none, or some of %s", f, strings.Join(names(), ", "))
			}
			all = append(all, f)
		}
	}
	slices.Sort(all)
	s.Faults = slices.Compact(all)
	for _, f := range s.Faults {
		k, _ := kind(f)
		s.kinds[k] = true
	}
	s.cfg = s.settings()
	return nil
}

func kind(name string) (Fault, bool) {
	i := slices.Index(names(), name)
	return Fault(max(i, 0)), i >= 0
}

func names() (all []string) {
	for _, k := range Kinds {
		all = append(all, k.Name)
	}
	return all
}

var effects = map[string]policy.Effect{"replayable": policy.Idempotent, "keyed": policy.IdempotentByKey, "nonreplayable": policy.NonIdempotent}

// The times of a run. They are the explorer's own: what matters is which comes first, and that some fall together.
const (
	wait   = 400 * time.Millisecond // how long the client waits
	half   = 200 * time.Millisecond // when the free decider looks again
	until  = 150 * time.Millisecond // how long it waits for a dispatch of a lone part
	window = 300 * time.Millisecond // within which a keyed part may go again
	stopIn = 100 * time.Millisecond // what SIGTERM leaves
)

// patience is how long the free decider waits for a dispatch. With several parts that ends when it looks again: there
// are fewer instants, and all still come in every order of events.
func (s *Setup) patience() time.Duration {
	if s.Parts > 1 {
		return half
	}
	return until
}

// settings are those of a mixer with one table type and one tenant.
func (s *Setup) settings() *config.Settings {
	second := 0
	if s.Steps == 2 {
		second = s.Parts
	}
	return &config.Settings{
		Types: map[string]int{"t": 0}, Tenants: map[string]int{"one": 0}, Shards: s.Parts, OpenMost: 100, Streams: 8,
		Idle: time.Hour, Connect: half,
		Brain: policy.Settings{Seed: 1, Mixers: 1, Shards: 1, ShardSpan: 1, PartsPerCall: 2, MaxAttempts: s.Tries,
			MayHedge: s.Copies > 1, MayCancel: true, MaxRetryAfter: time.Second, Granularity: time.Millisecond, ListInterval: time.Hour,
			Quotas: []float64{1000},
			Types: []policy.TableType{{Target: half, Timeout: wait, RepeatWindow: window, LateShare: 0.5, Benefit: 1,
				Effect: effects[s.Effect], Need: 1, Floor: 0.5, SecondStep: second}}}}
}

// limits are wide enough never to bind but where a fault says so.
func limits() attempt.Limits {
	return attempt.Limits{Open: 100, ConnectionsPerSearcher: 8, Connections: 32,
		PartsPerConnection: 16, AnswerHistory: 16, IdleTimeout: time.Hour, LogInterval: 10 * time.Hour}
}
