package proxy

import (
	"net/http"
	"time"

	"peathollow/internal/invariant"
)

// minFlushTime is the least time given to send the last answers, even if the process was paused and resumes late.
const minFlushTime = 100 * time.Millisecond

// shutDown keeps serving until the platform has stopped sending new connections, then until no connection is open. Requests that are
// still in flight shortly before the end of the grace period get a final answer then. Clients that read their answer too slowly, or
// are still sending their request, are cut off.
func (p *Proxy) shutDown(frontServer *http.Server, front *timeoutListener) {
	began := time.Now()
	p.shuttingDown.Store(true)
	p.log.Info().Str("event", "leaving").Int("in-hand", p.inFlight()).Msg("")
	p.handle(func() { p.coordinator.Stop(p.settings.ProxyAnswerTime()) })
	time.Sleep(p.settings.ProxyListenTime())
	p.draining.Store(true)
	answerTime := began.Add(p.settings.ProxyAnswerTime())
	front.drain(answerTime)
	if !front.open.awaitNone(time.Until(answerTime)) {
		p.handle(func() {}) // the timer of the coordinator may be late
		front.open.awaitNone(max(minFlushTime, time.Until(began.Add(p.settings.ProxyExitTime()))))
	}
	frontServer.Close()
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
