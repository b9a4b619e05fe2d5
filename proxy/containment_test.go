package proxy

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"peathollow/internal/settings"
	"peathollow/internal/standin/faulty"
	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/request"
)

// two is a proxy before a sick service, whose module has a fault planted, and a sound one.
func two(t *testing.T, plant func(request.Step, []string)) *Proxy {
	t.Helper()
	q := New(&settings.Settings{RetrySlack: 100, RetryRatio: 1, RetryWindow: time.Hour, BeatPeriod: time.Second}, "proxy/front-0/0", &log.Logger{Level: log.PanicLevel})
	q.injectFault = plant
	q.coordinator = q.newCoordinator(nil)
	route := `{"name":%[1]q,"host":"h.example","path-prefix":"/%[1]s/","mode":"idempotent","horizon-ms":20000,"setpoint-ms":200,"plant":%[1]q,"retries":2}`
	config, err := manifest.Parse([]byte(`{"config-version":1,"routes":[` + fmt.Sprintf(route, "sick") + "," + fmt.Sprintf(route, "sound") +
		`],"plants":[{"name":"sick"},{"name":"sound"}]}`))
	must.NoError(t, err)
	q.config.Store(config)
	var searchers []request.Searcher
	for _, service := range []string{"sick", "sound"} {
		s, err := faulty.Start(faulty.Options{ID: "i-" + service, Script: func(faulty.Call) faulty.Reply { return faulty.Reply{Work: 300 * time.Millisecond} }})
		must.NoError(t, err)
		t.Cleanup(s.Close)
		searchers = append(searchers, request.Searcher{ID: s.ID(), Address: s.Addr(), Service: service, State: policy.Ready})
	}
	q.handle(func() {
		q.searchers = searchers
		q.coordinator.SetSearchers(searchers)
	})
	return q
}

// ask sends a request and gives its status.
func ask(q *Proxy, service, id string) int {
	r := httptest.NewRequest(http.MethodGet, "http://h.example/"+service+"/", nil)
	r.RequestURI = "/" + service + "/"
	r.Header.Set(attemptID, id)
	answer := httptest.NewRecorder()
	q.ServeHTTP(answer, r)
	return answer.Code
}

// TestFaultIsContained: a fault in what decides for one set of services ends the requests on that set, each with its answer, and
// touches no other. The code before ended all that was in hand, and left a request waiting whose taking met a fault of another's
// timer.
func TestFaultIsContained(t *testing.T) {
	for _, step := range []request.Step{request.StepBegin, request.StepTimer, request.StepReturned} {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			t.Parallel()
			var sick atomic.Bool
			q := two(t, func(at request.Step, services []string) {
				if sick.Load() && at == step && slices.Contains(services, "sick") {
					panic("planted")
				}
			})
			var all sync.WaitGroup
			var sound, broken [8]int
			for i := range sound {
				all.Go(func() { sound[i] = ask(q, "sound", fmt.Sprint("sound-", i)) })
				all.Go(func() {
					if i == len(broken)/2 {
						sick.Store(true)
					}
					broken[i] = ask(q, "sick", fmt.Sprint("sick-", i))
				})
			}
			all.Wait()
			for i := range sound {
				must.Eq(t, http.StatusOK, sound[i])
				must.NotEq(t, 0, broken[i])
			}
			must.Positive(t, q.observability.restarts.Load())
			sick.Store(false)
			must.Eq(t, http.StatusOK, ask(q, "sick", "after"))
			must.Eq(t, 0, q.inFlight())
		})
	}
}
