package agent

import (
	"sync"
	"time"

	"peathollow/distribution"
)

// proxyIncarnations counts the incarnations of the proxy beside this agent. The retry budget allows for two incarnations of
// a mixer within the time for which attempts are charged, but the list of mixers shows only incarnations of agents. Without
// this count a proxy that restarts alone would receive the slack of the budget again. An agent that has run for less than
// that time can't know of an earlier incarnation of the proxy and so allows for only one.
type proxyIncarnations struct {
	chargeLifetime time.Duration // how long the attempts of an incarnation are charged
	start          time.Time

	mu       sync.Mutex
	lastPull map[string]time.Time // by incarnation
}

func newProxyIncarnations(chargeLifetime time.Duration, start time.Time) *proxyIncarnations {
	return &proxyIncarnations{chargeLifetime: chargeLifetime, start: start, lastPull: map[string]time.Time{}}
}

// maxProxyIncarnations bounds the number of incarnations that are remembered.
const maxProxyIncarnations = 64

// recordPull records a pull request if it comes from a proxy.
func (p *proxyIncarnations) recordPull(now time.Time, request *distribution.PullRequest) {
	if request.Kind != "proxy" || len(request.Life) > 256 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.lastPull[request.Life]; known || len(p.lastPull) < maxProxyIncarnations {
		p.lastPull[request.Life] = now
	}
}

// slackSpent reports whether these incarnations have received all of the slack that this machine may spend in a window.
func (p *proxyIncarnations) slackSpent(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for incarnation, at := range p.lastPull {
		if now.Sub(at) > p.chargeLifetime {
			delete(p.lastPull, incarnation)
		}
	}
	allowed := 2
	if now.Sub(p.start) < p.chargeLifetime {
		allowed = 1
	}
	return len(p.lastPull) > allowed
}
