package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"peathollow/distribution"
	"peathollow/internal/figures"
)

// link is what the agent remembers of its link to a controller, for its figures.
type link struct {
	faults  atomic.Uint64
	answers atomic.Uint64

	mu    sync.Mutex
	peer  string
	at    time.Time
	alone bool
}

func (l *link) answered(peer string, cargo *distribution.PullResponse, _ time.Time) {
	l.answers.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peer, l.at, l.alone = peer, time.Now(), cargo.Alone
}

// figures tells what the agent knows and from whom.
func (a *Agent) figures(emit figures.Emit) {
	emit("link_answers_total", float64(a.link.answers.Load()))
	emit("link_faults_total", float64(a.link.faults.Load()))
	a.link.mu.Lock()
	peer, at, alone := a.link.peer, a.link.at, a.link.alone
	a.link.mu.Unlock()
	if !at.IsZero() {
		emit("link_answer_age_seconds", time.Since(at).Seconds(), figures.Label{Name: "peer", Value: peer})
		emit("link_peer_alone", figures.Truth(alone))
	}
	if doc := a.board.Document(); doc != nil {
		emit("configuration_version", float64(doc.Version))
	}
	emit("mixers_known", float64(a.board.MixerCount()))
	emit("controllers_known", float64(len(a.board.Controllers())))
	emit("leaving", figures.Truth(a.leaving.Load()))
	distribution.EmitListMetrics(a.board, emit)
}
