package proxy

import (
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"peathollow/internal/settings"
	"peathollow/internal/standin/faulty"
	"peathollow/internal/upstream"
	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/request"
)

// TestPoolsFollow: how many connections a proxy opens to a searcher goes by the count of mixers and the configuration of the moment; the
// code before kept for good what was known when the first request went there, for a proxy that had just started a guess.
func TestPoolsFollow(t *testing.T) {
	t.Parallel()
	q := New(&settings.Settings{RetryWindow: time.Hour, BeatPeriod: time.Second}, "proxy/front-0/0", &log.Logger{Level: log.PanicLevel})
	document := func(text string) {
		config, err := manifest.Parse([]byte(text))
		must.NoError(t, err)
		q.replica.SetDocument(config)
	}
	service := func(number, limit string) string {
		return `{"config-version":` + number + `,"routes":[{"name":"r","host":"h.example","path-prefix":"/","mode":"idempotent","horizon-ms":2000,` +
			`"setpoint-ms":200,"plant":"s","retries":1}],"plants":[{"name":"s","conn-limit":` + limit + `}]}`
	}
	hold, at := make(chan struct{}), make(chan bool)
	s, err := faulty.Start(faulty.Options{Capacity: 100, Script: func(faulty.Call) faulty.Reply { at <- true; return faulty.Reply{Hold: hold} }})
	must.NoError(t, err)
	defer s.Close()
	host := request.Searcher{ID: s.ID(), Address: s.Addr(), Service: "s", State: policy.Ready}
	q.handle(func() {
		q.searchers = []request.Searcher{host}
		q.coordinator.SetSearchers(q.searchers)
	})
	document(service("1", "100"))
	q.onMerge()
	var pool *upstream.Pool
	q.handle(func() { pool = q.pool(&host) })
	answers := make(chan upstream.Response)
	out := 0
	// opens asks until one request more than may be finds no connection, and tells how many there are.
	opens := func() int {
		for {
			go func() {
				answers <- pool.Do(&upstream.Exchange{Request: upstream.Request{Method: "GET", Path: "/", AttemptID: "id"}})
			}()
			select {
			case <-at:
				out++
			case a := <-answers:
				must.ErrorIs(t, a.Err, upstream.ErrFull)
				return out
			}
		}
	}
	must.Eq(t, connShare(100, 0), opens())
	q.replica.SetMixerCount(5)
	q.onMerge()
	must.Eq(t, connShare(100, 5), opens())
	document(service("2", "150"))
	q.onMerge()
	must.Eq(t, connShare(150, 5), opens())
	close(hold)
	for range out {
		<-answers
	}
}
