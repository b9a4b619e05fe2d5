package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"peathollow/policy"
)

// Settings is what an instance is told of its deployment: the module's part of it, the names by which clients
// call things, and the facts that only a mixer on sockets needs.
type Settings struct {
	Brain          policy.Settings
	Types, Tenants map[string]int
	Shards         int
	OpenMost       int
	Streams        int // parts that one connection carries at once
	Idle           time.Duration
	Connect        time.Duration
	Slack          time.Duration
}

// conf reads settings by path and keeps the first complaint.
type conf struct {
	kv  map[string]string
	err error
}

func (c *conf) fail(path, why string) {
	if c.err == nil {
		c.err = fmt.Errorf("setting %s: %s", path, why)
	}
}

func (c *conf) text(path string) string {
	v, ok := c.kv[path]
	if !ok {
		c.fail(path, "missing")
	}
	return v
}

func (c *conf) float(path string) float64 {
	x, err := Number(c.text(path), 0)
	if err != nil {
		c.fail(path, "unreadable")
	}
	return x
}

func (c *conf) or(path string, absent float64) float64 {
	if _, ok := c.kv[path]; !ok {
		return absent
	}
	return c.float(path)
}

func (c *conf) maybe(path string) float64      { return c.or(path, 0) }
func (c *conf) span(path string) time.Duration { return Span(c.float(path)) }
func (c *conf) int(path string) int            { return int(c.float(path)) }

func (c *conf) bool(path string) bool {
	switch c.text(path) {
	case "true", "1":
		return true
	case "false", "0":
	default:
		c.fail(path, "unreadable")
	}
	return false
}

// on is a switch that may be left out.
func (c *conf) on(path string) bool { return c.kv[path] == "true" || c.kv[path] == "1" }

// nth is one value of a joined list.
func (c *conf) nth(path string, i int) float64 {
	vs := strings.Split(c.text(path), ",")
	if i >= len(vs) {
		c.fail(path, "too short")
		return 0
	}
	x, err := strconv.ParseFloat(vs[i], 64)
	if err != nil {
		c.fail(path, "unreadable")
	}
	return x
}

// above reads a figure that must be more than 0.
func (c *conf) above(path string, absent float64) float64 {
	x := c.or(path, absent)
	if !(x > 0) {
		c.fail(path, "must be above 0")
	}
	return x
}

var effects = map[string]policy.Effect{"free": policy.Idempotent, "guarded": policy.IdempotentByKey, "single_shot": policy.NonIdempotent}

// Read takes settings as path and value, the form of the bench's wire, for an instance with that seed.
func Read(kv map[string]string, seed uint64) (Settings, error) {
	c := &conf{kv: kv}
	s := policy.Settings{Seed: seed, Instance: c.int("me"), Mixers: c.int("balancers"),
		Shards: c.int("domain.places"), ShardSpan: c.int("domain.width"), PartsPerCall: c.int("domain.bundleMax"),
		MaxAttempts: c.int("limits.attemptsCap"),
		MayHedge:    c.bool("limits.secondCopies"), RetryAdvice: c.bool("limits.retryAfter"),
		MayCancel: c.on("limits.cancel"),
		MayGossip: c.on("limits.mayTell"),
		Subscribe: c.text("discovery") == "ask", MaxRetryAfter: c.span("limits.maxRetryAfter"),
		Granularity: c.span("granularity"), ListInterval: c.span("rules.askEvery"),
		WarmUp: c.span("rules.cold"), OverloadSpan: c.span("rules.fall"), ColdShare: c.float("rules.startCapacity"),
		OverloadMultiple: c.float("rules.fallMultiple"), BudgetFree: c.maybe("rules.budgetFree"),
		BudgetShare: c.maybe("rules.resendRatio"), BudgetSpan: Span(c.maybe("rules.resendSpan"))}
	s.Budgeted = s.BudgetSpan > 0
	set := Settings{Types: map[string]int{}, Tenants: map[string]int{},
		Shards: c.int("domain.ranges"), OpenMost: int(c.above("limits.maxOpen", 20000)),
		Streams: int(c.above("limits.streamsPerConn", 32)), Idle: Span(c.above("limits.connIdle", 15000)),
		Connect: Span(c.above("limits.connectTimeout", 250)), Slack: c.span("rules.answerSlack")}
	for i := range c.int("requestClasses.count") {
		at := fmt.Sprintf("requestClasses.%d.", i)
		kind, ok := effects[c.text(at+"semantics")]
		if !ok {
			c.fail(at+"semantics", "unreadable")
		}
		t := policy.TableType{Target: c.span(at + "objective"), Timeout: c.span(at + "deadline"),
			RepeatWindow: Span(c.maybe(at + "keyTtl")), LateShare: c.float(at + "lateWorth"),
			Benefit: c.float(at + "points"), Stretch: c.maybe(at + "aimStretch"), Effect: kind,
			Need: c.nth("domain.wholeAt", i), Floor: c.nth("domain.floorByClass", i),
			SecondStep: int(c.nth("domain.secondStep", i))}
		set.Types[c.text(at+"name")] = i
		s.Types = append(s.Types, t)
	}
	for i := range int(c.maybe("parties.count")) {
		at := fmt.Sprintf("parties.%d.", i)
		set.Tenants[c.text(at+"name")] = i
		s.Quotas = append(s.Quotas, c.float(at+"quotaPerS"))
	}
	if c.err == nil && (s.Shards < 1 || s.ShardSpan < 1 || s.Granularity <= 0) {
		c.fail("domain.places, domain.width or granularity", "must be above 0")
	}
	set.Brain = s
	return set, c.err
}

// Number reads a figure; - stands for the absent one.
func Number(s string, absent float64) (float64, error) {
	if s == "-" {
		return absent, nil
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, fmt.Errorf("unreadable value %.40q", s)
	}
	return x, nil
}

// Span counts whole microseconds, as the wire's clock does.
func Span(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}
