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

// caught runs what violates an invariant and gives its name.
func caught(t *testing.T, violate func()) (name invariant.Name) {
	t.Helper()
	defer func() {
		p, ok := recover().(invariant.Panic)
		must.True(t, ok, must.Sprint("nothing was violated"))
		name = p.Name
	}()
	violate()
	return ""
}

func version(t *testing.T, text string) *manifest.Manifest {
	t.Helper()
	m, err := manifest.Parse([]byte(`{"config-version":` + text + `,"routes":[],"plants":[]}`))
	must.NoError(t, err)
	return m
}

// TestVersionsThatFall: an older configuration than the one in force is seen, should the board ever give one.
func TestVersionsThatFall(t *testing.T) {
	q := New(&settings.Settings{RetryWindow: time.Second, BeatPeriod: time.Second}, "proxy/front-0/0", &log.Logger{Level: log.PanicLevel})
	q.replica.SetDocument(version(t, "5"))
	q.config.Store(version(t, "9"))
	must.Eq(t, invariant.VersionRises, caught(t, q.onMerge))
}

// TestDeadlinesPastTheClients: a dispatch that would outlast its client is seen.
func TestDeadlinesPastTheClients(t *testing.T) {
	q := New(&settings.Settings{RetryWindow: time.Second, BeatPeriod: time.Second}, "proxy/front-0/0", &log.Logger{Level: log.PanicLevel})
	d := &request.Dispatch{Request: &request.Request{Data: &clientRequest{deadline: q.start.Add(time.Second)}},
		Searcher: &request.Searcher{ID: "i-1", Address: "127.0.0.1:1", State: policy.Ready}, Deadline: 2 * time.Second}
	must.Eq(t, invariant.DeadlineWithinClients, caught(t, func() { q.prepare(d) }))
}
