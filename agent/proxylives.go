package agent

import (
	"sync"
	"time"

	"peathollow/distribution"
)

// proxyLives counts the lives of the proxy beside this agent. The retry budget allows for two lives of a mixer while what they sent counts,
// and the list of mixers shows only those of agents: a proxy that is started again alone must not have the slack of the
// budget anew. An agent that is younger than that can't know of a life before it, and allows for one.
type proxyLives struct {
	countsFor time.Duration // what a life has sent
	start     time.Time

	mu    sync.Mutex
	heard map[string]time.Time // when each life last asked
}

func newProxyLives(countsFor time.Duration, start time.Time) *proxyLives {
	return &proxyLives{countsFor: countsFor, start: start, heard: map[string]time.Time{}}
}

// livesKept bounds the lives that are remembered.
const livesKept = 64

// met notes an ask of a proxy.
func (l *proxyLives) met(now time.Time, a *distribution.PullRequest) {
	if a.Kind != "proxy" || len(a.Life) > 256 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.heard[a.Life]; known || len(l.heard) < livesKept {
		l.heard[a.Life] = now
	}
}

// slackSpent tells whether those lives have had all of the slack that this machine may spend in a window.
func (l *proxyLives) slackSpent(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for life, at := range l.heard {
		if now.Sub(at) > l.countsFor {
			delete(l.heard, life)
		}
	}
	allowed := 2
	if now.Sub(l.start) < l.countsFor {
		allowed = 1
	}
	return len(l.heard) > allowed
}
