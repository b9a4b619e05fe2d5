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
	// failureLinesPerSecond limits the log lines for failed requests; the rest are only counted.
	failureLinesPerSecond = 20
	// reasonLinesPerSecond is an additional limit for each reason, so that many failures of one reason do not hide another
	// reason.
	reasonLinesPerSecond = 2
)

// observability holds the log limiters and counters of the proxy. They do not influence its behaviour.
type observability struct {
	failureLines     *logbound.Limiter                    // all failed requests
	reasonLines      map[request.Reason]*logbound.Limiter // additional lines for each reason
	rejectedLines    *logbound.Limiter                    // requests rejected before the coordinator received them
	misdirectedLines *logbound.Limiter                    // searchers whose address belongs to another one
	budgetLines      *logbound.Limiter                    // services whose retry budget is exhausted

	failed               map[request.Reason]*atomic.Uint64 // requests refused or failed, by reason
	rejected             atomic.Uint64                     // requests rejected before the coordinator received them
	clientsLeft          atomic.Uint64                     // clients that disconnected before their answer
	restarts             atomic.Uint64                     // of the coordinator or of a policy engine, after a fault
	agentAnsweredAt      atomic.Int64                      // when the agent last answered, since the start of the proxy
	configuredAt         atomic.Int64
	configurationChanges atomic.Uint64 // number of changes
}

func newObservability() *observability {
	s := &observability{failureLines: &logbound.Limiter{PerSecond: failureLinesPerSecond},
		rejectedLines:    &logbound.Limiter{PerSecond: reasonLinesPerSecond},
		misdirectedLines: &logbound.Limiter{PerSecond: reasonLinesPerSecond}, budgetLines: &logbound.Limiter{PerSecond: reasonLinesPerSecond},
		reasonLines: map[request.Reason]*logbound.Limiter{}, failed: map[request.Reason]*atomic.Uint64{}}
	for _, reason := range []request.Reason{request.NoSearcher, request.Rejected, request.BudgetExhausted, request.NotAdmitted, request.DeadlinePassed,
		request.MayHaveRun, request.NoAttemptLeft, request.Stopping, request.InternalFault} {
		s.failed[reason] = &atomic.Uint64{}
		s.reasonLines[reason] = &logbound.Limiter{PerSecond: reasonLinesPerSecond}
	}
	return s
}

// allowLine reports whether a failure may be logged, and how many were suppressed since the last line within the overall limit.
// The limiter of its reason, if any, allows lines in addition to that limit.
func (s *observability) allowLine(reasonLimiter *logbound.Limiter) (ok bool, suppressed int) {
	now := time.Now()
	if reasonLimiter != nil {
		if ok, _ := reasonLimiter.Allow(now); ok {
			return true, 0
		}
	}
	return s.failureLines.Allow(now)
}

func (s *observability) agentAnswered(now time.Duration) { s.agentAnsweredAt.Store(int64(now)) }

func (s *observability) configurationChanged(now time.Duration) {
	s.configuredAt.Store(int64(now))
	s.configurationChanges.Add(1)
}

func (s *observability) clientLeft() { s.clientsLeft.Add(1) }

// failure describes a request that got no answer from a searcher.
type failure struct {
	attempt, route     string
	version            uint64
	elapsed, remaining time.Duration
}

// recordFailure counts a request that was refused or failed, and logs the reason and the attempts.
func (p *Proxy) recordFailure(failed *failure, final request.Final) {
	if final.Kind != request.Refused && final.Kind != request.Failed {
		return
	}
	if n := p.observability.failed[final.Reason]; n != nil {
		n.Add(1)
	}
	ok, suppressed := p.observability.allowLine(p.observability.reasonLines[final.Reason])
	if !ok {
		return
	}
	status := http.StatusServiceUnavailable
	if final.Kind == request.Failed {
		status = failedStatus(final)
	}
	p.log.Warn().Str("event", "request-failed").Str("attempt-id", failed.attempt).Int("status", status).Str("reason", string(final.Reason)).
		Str("route", failed.route).Uint64("version", failed.version).Int64("age-ms", failed.elapsed.Milliseconds()).
		Int64("deadline-ms", failed.remaining.Milliseconds()).Str("tries", describeAttempts(final.Attempts)).Int("not-logged", suppressed).Msg("")
}

// recordRejected counts and logs a request that was rejected before the coordinator received it.
func (p *Proxy) recordRejected(r *http.Request, status int, reason string) {
	p.observability.rejected.Add(1)
	ok, suppressed := p.observability.allowLine(p.observability.rejectedLines)
	if !ok {
		return
	}
	version := uint64(0)
	if config := p.config.Load(); config != nil {
		version = config.Version
	}
	const maxLength = 200
	p.log.Warn().Str("event", "request-failed").Str("attempt-id", r.Header.Get(attemptID)).Int("status", status).Str("reason", reason).
		Str("host", r.Host[:min(len(r.Host), maxLength)]).Str("path", r.RequestURI[:min(len(r.RequestURI), maxLength)]).
		Uint64("version", version).Int("not-logged", suppressed).Msg("")
}

// maxDescribedAttempts is how many attempts a log line lists.
const maxDescribedAttempts = 24

// describeAttempts formats each attempt as searcher, outcome and duration.
func describeAttempts(attempts []request.Attempt) string {
	if len(attempts) == 0 {
		return "none"
	}
	var text strings.Builder
	for i, attempt := range attempts {
		if i == maxDescribedAttempts {
			text.WriteString(" ...")
			break
		}
		if i > 0 {
			text.WriteByte(' ')
		}
		outcome := outcomeName(attempt.Outcome)
		if attempt.InFlight {
			outcome = "open"
		}
		text.WriteString(attempt.Searcher + ":" + outcome + ":" + attempt.Elapsed.Round(time.Millisecond).String())
	}
	return text.String()
}

var outcomeNames = [policy.Expired + 1]string{policy.Succeeded: "answered", policy.Failed: "bad-answer", policy.Overloaded: "turned-away",
	policy.TimedOut: "too-slow", policy.Unreachable: "unreachable", policy.ConnectionLost: "cut-off",
	policy.Cancelled: "called-off", policy.Expired: "not-sent"}

func outcomeName(o policy.Outcome) string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}
