package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"peathollow/internal/settings"
	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/request"
)

// TestPauseMovesNoDeadline: time that passes between a request's header and its start, because its body arrives slowly or the
// process is paused, counts towards the client's deadline. An earlier version measured the remaining time from the start of the
// request (soak seed 214).
func TestPauseMovesNoDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(&settings.Settings{RetryRatio: 1, RetrySlack: 100, RetryWindow: time.Second, BeatPeriod: time.Second}, "proxy/front-0/0",
			&log.Logger{Level: log.PanicLevel})
		config, err := manifest.Parse([]byte(`{"config-version":1,"routes":[{"name":"r","host":"h.example","path-prefix":"/","mode":"idempotent",` +
			`"horizon-ms":2000,"setpoint-ms":200,"plant":"s","retries":2}],"plants":[{"name":"s"}]}`))
		must.NoError(t, err)
		q.config.Store(config)
		q.decide(func() {
			q.coordinator.SetSearchers([]request.Searcher{{ID: "i-1", Address: "127.0.0.1:1", Service: "s", State: policy.Ready}})
		}, nil)
		body, client := io.Pipe()
		r := httptest.NewRequest(http.MethodPost, "http://h.example/", body)
		r.RequestURI, r.ContentLength = "/", 4
		r.Header.Set(attemptID, "a-1")
		r.Header.Set(deadlineMs, "1000")
		began := time.Now()
		go func() {
			time.Sleep(700 * time.Millisecond)
			client.Write([]byte("body"))
		}()
		q.ServeHTTP(httptest.NewRecorder(), r)
		must.Eq(t, 0, q.observability.restarts.Load())
		must.LessEq(t, time.Second+deadlineSlack, time.Since(began))
	})
}
