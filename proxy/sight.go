package proxy

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"peathollow/internal/logbound"
	"peathollow/policy"
	"peathollow/request"
)

const (
	// failureLines is how many failed requests a second get a line in the log; the rest are counted.
	failureLines = 20
	// reasonLines is how many of each reason get one beside these: a storm of one reason hides no other.
	reasonLines = 2
)

// sight is what the proxy keeps only so that others can see afterwards what it did.
type sight struct {
	lines     *logbound.Limiter                    // of all
	reasons   map[request.Reason]*logbound.Limiter // of each reason, beside
	awayLines *logbound.Limiter                    // the same of requests that were never taken
	strays    *logbound.Limiter                    // of searchers whose address is another's
	exhausted *logbound.Limiter                    // of services whose retry budget is exhausted

	failed        map[request.Reason]*atomic.Uint64 // requests refused or failed
	turnedAway    atomic.Uint64                     // requests that were never taken
	gone          atomic.Uint64                     // clients that left before their answer
	restarts      atomic.Uint64                     // of what decides, after a fault in it
	toldAt        atomic.Int64                      // when the agent last answered, by the proxy's own clock
	configuredAt  atomic.Int64
	configuration atomic.Uint64 // changes of it
}

func newSight() *sight {
	s := &sight{lines: &logbound.Limiter{PerSecond: failureLines}, awayLines: &logbound.Limiter{PerSecond: reasonLines},
		strays: &logbound.Limiter{PerSecond: reasonLines}, exhausted: &logbound.Limiter{PerSecond: reasonLines},
		reasons: map[request.Reason]*logbound.Limiter{}, failed: map[request.Reason]*atomic.Uint64{}}
	for _, reason := range []request.Reason{request.NoSearcher, request.Rejected, request.BudgetExhausted, request.NotAdmitted, request.DeadlinePassed,
		request.MayHaveRun, request.NoAttemptLeft, request.InternalFault} {
		s.failed[reason] = &atomic.Uint64{}
		s.reasons[reason] = &logbound.Limiter{PerSecond: reasonLines}
	}
	return s
}

// line tells whether a failure gets a line, and how many did not since the last one of all; own is the bound of its reason.
func (s *sight) line(own *logbound.Limiter) (ok bool, suppressed int) {
	now := time.Now()
	if own != nil {
		if ok, _ := own.Allow(now); ok {
			return true, 0
		}
	}
	return s.lines.Allow(now)
}

func (s *sight) told(now time.Duration) { s.toldAt.Store(int64(now)) }

func (s *sight) configured(now time.Duration) {
	s.configuredAt.Store(int64(now))
	s.configuration.Add(1)
}

func (s *sight) clientLeft() { s.gone.Add(1) }

// failure is what is known at the door of a request that got no answer of a searcher's.
type failure struct {
	attempt, route string
	version        uint64
	took, left     time.Duration
}

// explain logs why a request was refused or has failed, and what was tried.
func (p *Proxy) explain(r *failure, f request.Final) {
	if f.Kind != request.Refused && f.Kind != request.Failed {
		return
	}
	if n := p.sight.failed[f.Reason]; n != nil {
		n.Add(1)
	}
	ok, suppressed := p.sight.line(p.sight.reasons[f.Reason])
	if !ok {
		return
	}
	status := http.StatusServiceUnavailable
	if f.Kind == request.Failed {
		status = failedStatus(f)
	}
	p.log.Warn().Str("event", "request-failed").Str("attempt-id", r.attempt).Int("status", status).Str("reason", string(f.Reason)).
		Str("route", r.route).Uint64("version", r.version).Int64("age-ms", r.took.Milliseconds()).
		Int64("deadline-ms", r.left.Milliseconds()).Str("tries", describeTries(f.Attempts)).Int("not-logged", suppressed).Msg("")
}

// turnedAway logs a request that was never taken.
func (p *Proxy) turnedAway(r *http.Request, status int, reason string) {
	p.sight.turnedAway.Add(1)
	ok, suppressed := p.sight.line(p.sight.awayLines)
	if !ok {
		return
	}
	version := uint64(0)
	if doc := p.doc.Load(); doc != nil {
		version = doc.Version
	}
	const most = 200
	p.log.Warn().Str("event", "request-failed").Str("attempt-id", r.Header.Get(attemptID)).Int("status", status).Str("reason", reason).
		Str("host", r.Host[:min(len(r.Host), most)]).Str("path", r.RequestURI[:min(len(r.RequestURI), most)]).
		Uint64("version", version).Int("not-logged", suppressed).Msg("")
}

// triesMost is how many tries a line names.
const triesMost = 24

// describeTries gives each try as searcher, outcome and time.
func describeTries(tries []request.Attempt) string {
	if len(tries) == 0 {
		return "none"
	}
	var b strings.Builder
	for i, t := range tries {
		if i == triesMost {
			b.WriteString(" ...")
			break
		}
		if i > 0 {
			b.WriteByte(' ')
		}
		outcome := outcomeName(t.Outcome)
		if t.InFlight {
			outcome = "open"
		}
		b.WriteString(t.Searcher + ":" + outcome + ":" + t.Elapsed.Round(time.Millisecond).String())
	}
	return b.String()
}

var outcomeNames = [policy.Expired + 1]string{policy.Succeeded: "answered", policy.Failed: "bad-answer", policy.Overloaded: "turned-away",
	policy.TimedOut: "too-slow", policy.Unreachable: "unreachable", policy.ConnectionLost: "cut-off", policy.Cancelled: "called-off", policy.Expired: "not-sent"}

func outcomeName(o policy.Outcome) string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}
