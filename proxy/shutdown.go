package proxy

import (
	"context"
	"net/http"
	"time"

	"peathollow/internal/invariant"
)

// minFlushTime is the least time given to send the last answers, even if the process was paused and resumes late.
const minFlushTime = 100 * time.Millisecond

// shutDown keeps serving until the platform has stopped sending new connections, then until no request is in flight. Requests
// that are still in flight shortly before the end of the grace period get a final answer then. Clients that read their answer
// too slowly, or are still sending their request, are cut off.
func (p *Proxy) shutDown(frontServer *http.Server) {
	began := time.Now()
	p.shuttingDown.Store(true)
	p.log.Info().Str("event", "leaving").Int("in-hand", p.inFlight()).Msg("")
	p.handle(func() { p.coordinator.Stop(p.settings.ProxyAnswerTime()) })
	time.Sleep(p.settings.ProxyListenTime())
	if !shutDownWithin(frontServer, time.Until(began.Add(p.settings.ProxyAnswerTime()))) {
		p.handle(func() {}) // the timer of the coordinator may be late
		// A new call: the longer Shutdown waits, the less often it looks whether all connections are idle.
		shutDownWithin(frontServer, max(minFlushTime, time.Until(began.Add(p.settings.ProxyExitTime()))))
	}
	p.checkAnswered()
	p.logCounters()
	p.log.Info().Str("event", "left").Int("in-hand", p.inFlight()).Msg("")
}

// checkAnswered verifies that each request has got its final answer.
func (p *Proxy) checkAnswered() {
	if unanswered := p.inFlight(); unanswered > 0 {
		invariant.Violated(invariant.AnsweredBeforeExit, "%d requests in flight", unanswered)
	}
}

// shutDownWithin reports whether all connections of the server became idle, and were closed, within the given time.
func shutDownWithin(server *http.Server, timeout time.Duration) bool {
	ctx, stop := context.WithTimeout(context.Background(), max(time.Millisecond, timeout))
	defer stop()
	return server.Shutdown(ctx) == nil
}
