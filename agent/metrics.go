package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"peathollow/distribution"
	"peathollow/internal/exporter"
)

// linkStats records the state of the connection to a controller for the metrics.
type linkStats struct {
	faults    atomic.Uint64
	responses atomic.Uint64

	mu         sync.Mutex
	peer       string
	receivedAt time.Time
	isolated   bool
}

func (l *linkStats) recordResponse(peer string, response *distribution.PullResponse, _ time.Time) {
	l.responses.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peer, l.receivedAt, l.isolated = peer, time.Now(), response.Alone
}

// emitMetrics emits the state of the agent's replica and of its connection to a controller.
func (a *Agent) emitMetrics(emit exporter.Emit) {
	emit("link_answers_total", float64(a.link.responses.Load()))
	emit("link_faults_total", float64(a.link.faults.Load()))
	a.link.mu.Lock()
	peer, receivedAt, isolated := a.link.peer, a.link.receivedAt, a.link.isolated
	a.link.mu.Unlock()
	if !receivedAt.IsZero() {
		emit("link_answer_age_seconds", time.Since(receivedAt).Seconds(), exporter.Label{Name: "peer", Value: peer})
		emit("link_peer_alone", exporter.BoolValue(isolated))
	}
	if doc := a.replica.Document(); doc != nil {
		emit("configuration_version", float64(doc.Version))
	}
	emit("mixers_known", float64(a.replica.MixerCount()))
	emit("controllers_known", float64(len(a.replica.Controllers())))
	emit("leaving", exporter.BoolValue(a.leaving.Load()))
	distribution.EmitListMetrics(a.replica, emit)
}
