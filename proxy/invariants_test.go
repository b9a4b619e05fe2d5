package proxy

import (
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"peathollow/internal/invariant"
	"peathollow/internal/settings"
	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/request"
)

// violation runs a function that must violate an invariant and returns the name of that invariant.
func violation(t *testing.T, run func()) (name invariant.Name) {
	t.Helper()
	defer func() {
		p, ok := recover().(invariant.Panic)
		must.True(t, ok, must.Sprint("no invariant was violated"))
		name = p.Name
	}()
	run()
	return ""
}

func document(t *testing.T, version string) *manifest.Manifest {
	t.Helper()
	m, err := manifest.Parse([]byte(`{"config-version":` + version + `,"routes":[],"plants":[]}`))
	must.NoError(t, err)
	return m
}

// TestVersionsThatFall: the proxy detects a configuration that is older than the one in force, should the replica ever return
// one.
func TestVersionsThatFall(t *testing.T) {
	q := New(&settings.Settings{RetryWindow: time.Second, BeatPeriod: time.Second}, "proxy/front-0/0", &log.Logger{Level: log.PanicLevel})
	q.replica.SetDocument(document(t, "5"))
	q.config.Store(document(t, "9"))
	must.Eq(t, invariant.VersionMonotonic, violation(t, q.onMerge))
}

// TestRequestsLeftAtTheEnd: the proxy detects that it ends with a request in flight.
func TestRequestsLeftAtTheEnd(t *testing.T) {
	q := New(&settings.Settings{RetryWindow: time.Second, BeatPeriod: time.Second}, "proxy/front-0/0", &log.Logger{Level: log.PanicLevel})
	q.checkAnswered()
	q.coordinator.SetSearchers([]request.Searcher{{ID: "i-1", Address: "127.0.0.1:1", Service: "s", State: policy.Ready}})
	q.coordinator.Begin(&request.Request{Route: &manifest.Route{Plant: "s", Horizon: time.Second, Setpoint: time.Second, Retries: 1},
		Deadline: time.Second, Done: func(request.Final) {}})
	must.Eq(t, invariant.AnsweredBeforeExit, violation(t, q.checkAnswered))
}

// TestDeadlinesPastTheClients: the proxy detects a dispatch that would end after its client's deadline.
func TestDeadlinesPastTheClients(t *testing.T) {
	q := New(&settings.Settings{RetryWindow: time.Second, BeatPeriod: time.Second}, "proxy/front-0/0", &log.Logger{Level: log.PanicLevel})
	d := &request.Dispatch{Request: &request.Request{Data: &clientRequest{deadline: q.start.Add(time.Second)}},
		Searcher: &request.Searcher{ID: "i-1", Address: "127.0.0.1:1", State: policy.Ready}, Deadline: 2 * time.Second}
	must.Eq(t, invariant.DeadlineWithinClients, violation(t, func() { q.prepare(d) }))
}
