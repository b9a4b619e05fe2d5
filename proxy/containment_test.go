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

// newTestProxy returns a proxy with two services, "failing" and "healthy". The policy engines call injectFault.
func newTestProxy(t *testing.T, injectFault func(request.Step, []string)) *Proxy {
	t.Helper()
	q := New(&settings.Settings{RetrySlack: 100, RetryRatio: 1, RetryWindow: time.Hour, BeatPeriod: time.Second},
		"proxy/front-0/0", &log.Logger{Level: log.PanicLevel})
	q.injectFault = injectFault
	q.coordinator = q.newCoordinator(nil)
	route := `{"name":%[1]q,"host":"h.example","path-prefix":"/%[1]s/","mode":"idempotent","horizon-ms":20000,"setpoint-ms":200,"plant":%[1]q,"retries":2}`
	config, err := manifest.Parse([]byte(`{"config-version":1,"routes":[` + fmt.Sprintf(route, "failing") + "," +
		fmt.Sprintf(route, "healthy") +
		`],"plants":[{"name":"failing"},{"name":"healthy"}]}`))
	must.NoError(t, err)
	q.config.Store(config)
	var searchers []request.Searcher
	for _, service := range []string{"failing", "healthy"} {
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

// send sends a request and returns the status of its answer.
func send(q *Proxy, service, id string) int {
	r := httptest.NewRequest(http.MethodGet, "http://h.example/"+service+"/", nil)
	r.RequestURI = "/" + service + "/"
	r.Header.Set(attemptID, id)
	recorder := httptest.NewRecorder()
	q.ServeHTTP(recorder, r)
	return recorder.Code
}

// TestFaultIsContained: a panic in the policy engine of one set of services ends the requests on that set, each with an answer,
// and affects no other set. An earlier version ended all requests in flight, and left a request without an answer if a timer of
// another request panicked while it began.
func TestFaultIsContained(t *testing.T) {
	for _, step := range []request.Step{request.StepBegin, request.StepTimer, request.StepReturned} {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			t.Parallel()
			var faulting atomic.Bool
			q := newTestProxy(t, func(at request.Step, services []string) {
				if faulting.Load() && at == step && slices.Contains(services, "failing") {
					panic("injected fault")
				}
			})
			var all sync.WaitGroup
			var healthy, failing [8]int
			for i := range healthy {
				all.Go(func() { healthy[i] = send(q, "healthy", fmt.Sprint("healthy-", i)) })
				all.Go(func() {
					if i == len(failing)/2 {
						faulting.Store(true)
					}
					failing[i] = send(q, "failing", fmt.Sprint("failing-", i))
				})
			}
			all.Wait()
			for i := range healthy {
				must.Eq(t, http.StatusOK, healthy[i])
				must.NotEq(t, 0, failing[i])
			}
			must.Positive(t, q.observability.restarts.Load())
			faulting.Store(false)
			must.Eq(t, http.StatusOK, send(q, "failing", "after"))
			must.Eq(t, 0, q.inFlight())
		})
	}
}
