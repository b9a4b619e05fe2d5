package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"peathollow/policy"
)

// Settings describe an instance's deployment: the settings of the dispatch policy, the names that clients use for table
// types and tenants, and the values that only a mixer on sockets needs.
type Settings struct {
	Policy         policy.Settings
	Types, Tenants map[string]int
	Shards         int
	MaxOpen        int
	StreamsPerConn int // parts that one connection carries concurrently
	IdleTimeout    time.Duration
	ConnectTimeout time.Duration
	AnswerSlack    time.Duration
}

// reader reads settings by path and keeps the first error.
type reader struct {
	kv  map[string]string
	err error
}

func (r *reader) fail(path, why string) {
	if r.err == nil {
		r.err = fmt.Errorf("setting %s: %s", path, why)
	}
}

func (r *reader) text(path string) string {
	v, ok := r.kv[path]
	if !ok {
		r.fail(path, "missing")
	}
	return v
}

func (r *reader) float(path string) float64 {
	x, err := ParseNumber(r.text(path), 0)
	if err != nil {
		r.fail(path, "unreadable")
	}
	return x
}

// floatOr reads a value that may be left out.
func (r *reader) floatOr(path string, fallback float64) float64 {
	if _, ok := r.kv[path]; !ok {
		return fallback
	}
	return r.float(path)
}

func (r *reader) optional(path string) float64       { return r.floatOr(path, 0) }
func (r *reader) duration(path string) time.Duration { return Milliseconds(r.float(path)) }
func (r *reader) int(path string) int                { return int(r.float(path)) }

func (r *reader) bool(path string) bool {
	switch r.text(path) {
	case "true", "1":
		return true
	case "false", "0":
	default:
		r.fail(path, "unreadable")
	}
	return false
}

// flag reads a switch that may be left out and is off by default.
func (r *reader) flag(path string) bool { return r.kv[path] == "true" || r.kv[path] == "1" }

// nth reads one value of a comma-separated list.
func (r *reader) nth(path string, i int) float64 {
	values := strings.Split(r.text(path), ",")
	if i >= len(values) {
		r.fail(path, "too short")
		return 0
	}
	x, err := strconv.ParseFloat(values[i], 64)
	if err != nil {
		r.fail(path, "unreadable")
	}
	return x
}

// positive reads a number that must be greater than 0.
func (r *reader) positive(path string, fallback float64) float64 {
	x := r.floatOr(path, fallback)
	if !(x > 0) {
		r.fail(path, "must be above 0")
	}
	return x
}

var effects = map[string]policy.Effect{"free": policy.Idempotent, "guarded": policy.IdempotentByKey, "single_shot": policy.NonIdempotent}

// Read decodes settings given as paths and values, the form of the bench's wire protocol, for an instance with the given
// random seed.
func Read(kv map[string]string, seed uint64) (Settings, error) {
	r := &reader{kv: kv}
	s := policy.Settings{Seed: seed, Instance: r.int("me"), Mixers: r.int("balancers"),
		Shards: r.int("domain.places"), ShardSpan: r.int("domain.width"), PartsPerCall: r.int("domain.bundleMax"),
		MaxAttempts: r.int("limits.attemptsCap"),
		MayHedge:    r.bool("limits.secondCopies"), RetryAdvice: r.bool("limits.retryAfter"),
		MayCancel: r.flag("limits.cancel"),
		MayGossip: r.flag("limits.mayTell"),
		Subscribe: r.text("discovery") == "ask", MaxRetryAfter: r.duration("limits.maxRetryAfter"),
		Granularity: r.duration("granularity"), ListInterval: r.duration("rules.askEvery"),
		WarmUp: r.duration("rules.cold"), OverloadSpan: r.duration("rules.fall"), ColdShare: r.float("rules.startCapacity"),
		OverloadMultiple: r.float("rules.fallMultiple"), BudgetFree: r.optional("rules.budgetFree"),
		BudgetShare: r.optional("rules.resendRatio"), BudgetSpan: Milliseconds(r.optional("rules.resendSpan"))}
	s.Budgeted = s.BudgetSpan > 0
	deployment := Settings{Types: map[string]int{}, Tenants: map[string]int{},
		Shards: r.int("domain.ranges"), MaxOpen: int(r.positive("limits.maxOpen", 20000)),
		StreamsPerConn: int(r.positive("limits.streamsPerConn", 32)), IdleTimeout: Milliseconds(r.positive("limits.connIdle", 15000)),
		ConnectTimeout: Milliseconds(r.positive("limits.connectTimeout", 250)), AnswerSlack: r.duration("rules.answerSlack")}
	for i := range r.int("requestClasses.count") {
		prefix := fmt.Sprintf("requestClasses.%d.", i)
		effect, ok := effects[r.text(prefix+"semantics")]
		if !ok {
			r.fail(prefix+"semantics", "unreadable")
		}
		t := policy.TableType{Target: r.duration(prefix + "objective"), Timeout: r.duration(prefix + "deadline"),
			RepeatWindow: Milliseconds(r.optional(prefix + "keyTtl")), LateShare: r.float(prefix + "lateWorth"),
			Benefit: r.float(prefix + "points"), Stretch: r.optional(prefix + "aimStretch"), Effect: effect,
			Need: r.nth("domain.wholeAt", i), Floor: r.nth("domain.floorByClass", i),
			SecondStep: int(r.nth("domain.secondStep", i))}
		deployment.Types[r.text(prefix+"name")] = i
		s.Types = append(s.Types, t)
	}
	for i := range int(r.optional("parties.count")) {
		prefix := fmt.Sprintf("parties.%d.", i)
		deployment.Tenants[r.text(prefix+"name")] = i
		s.Quotas = append(s.Quotas, r.float(prefix+"quotaPerS"))
	}
	if r.err == nil && (s.Shards < 1 || s.ShardSpan < 1 || s.Granularity <= 0) {
		r.fail("domain.places, domain.width or granularity", "must be above 0")
	}
	deployment.Policy = s
	return deployment, r.err
}

// ParseNumber parses a finite number; "-" stands for the value absent.
func ParseNumber(s string, absent float64) (float64, error) {
	if s == "-" {
		return absent, nil
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, fmt.Errorf("unreadable value %.40q", s)
	}
	return x, nil
}

// Milliseconds converts milliseconds to a duration, rounded to whole microseconds, the resolution of the wire protocol's clock.
func Milliseconds(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}
