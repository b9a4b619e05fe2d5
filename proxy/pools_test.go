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
	"peathollow/registry"
	"peathollow/request"
)

// TestPoolsFollow: the number of connections that a proxy opens to a searcher follows the current mixer count and
// configuration. An earlier version kept for good the values known at the first request, which for a proxy that had just started
// were a guess.
func TestPoolsFollow(t *testing.T) {
	t.Parallel()
	q := New(&settings.Settings{RetryWindow: time.Hour, BeatPeriod: time.Second}, "proxy/front-0/0",
		&log.Logger{Level: log.PanicLevel})
	setConfig := func(text string) {
		config, err := manifest.Parse([]byte(text))
		must.NoError(t, err)
		q.replica.SetDocument(config)
	}
	configText := func(version, limit string) string {
		return `{"config-version":` + version + `,"routes":[{"name":"r","host":"h.example","path-prefix":"/","mode":"idempotent","horizon-ms":2000,` +
			`"setpoint-ms":200,"plant":"s","retries":1}],"plants":[{"name":"s","conn-limit":` + limit + `}]}`
	}
	hold, arrived := make(chan struct{}), make(chan bool)
	s, err := faulty.Start(faulty.Options{Capacity: 100, Script: func(faulty.Call) faulty.Reply {
		arrived <- true
		return faulty.Reply{Hold: hold}
	}})
	must.NoError(t, err)
	defer s.Close()
	searcher := request.Searcher{ID: s.ID(), Address: s.Addr(), Service: "s", State: policy.Ready}
	q.handle(func() {
		q.searchers = []request.Searcher{searcher}
		q.coordinator.SetSearchers(q.searchers)
	})
	setConfig(configText("1", "100"))
	q.onMerge()
	var pool *upstream.Pool
	q.handle(func() { pool = q.pool(&searcher) })
	responses := make(chan upstream.Response)
	open := 0
	// saturate sends requests until one finds no free connection, and returns how many connections are open.
	saturate := func() int {
		for {
			go func() {
				responses <- pool.Do(&upstream.Exchange{Request: upstream.Request{Method: "GET", Path: "/", AttemptID: "id"}})
			}()
			select {
			case <-arrived:
				open++
			case response := <-responses:
				must.ErrorIs(t, response.Err, upstream.ErrFull)
				return open
			}
		}
	}
	must.Eq(t, connShare(100, 0), saturate())
	q.replica.SetMixerCount(5)
	q.onMerge()
	must.Eq(t, connShare(100, 5), saturate())
	setConfig(configText("2", "150"))
	q.onMerge()
	must.Eq(t, connShare(150, 5), saturate())
	close(hold)
	for range open {
		<-responses
	}
}

// Guards against a crashed searcher that stays in the proxy's list until the proxy ends, and costs a dispatch again and again.
func TestCrashedSearcherLeavesTheList(t *testing.T) {
	t.Parallel()
	q := New(&settings.Settings{RetryWindow: time.Hour, BeatPeriod: time.Microsecond}, "proxy/front-0/0",
		&log.Logger{Level: log.PanicLevel})
	q.replica.WithRegistry(func(r *registry.Registry) bool {
		return r.Merge(time.Now(), registry.Delta{For: r.Name(), By: "agent", Next: 2, Upto: registry.Vector{"controller": 2}, Entries: []registry.Entry{
			{Searcher: registry.Searcher{ID: "alive", Plant: "s", Address: "127.0.0.1:1", Calls: 1}, Source: "controller", No: 1},
			{Searcher: registry.Searcher{ID: "crashed", Plant: "s", Address: "127.0.0.1:2", Calls: 1}, Source: "controller", No: 2,
				Silent: true, Age: 2 * time.Minute},
		}})
	})
	q.onMerge()
	must.Len(t, 1, q.searchers)
	must.Eq(t, "alive", q.searchers[0].ID)
}
