package proxy

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
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

// startRejecting returns a proxy with two searchers that reject every request, and a small retry budget.
func startRejecting(t *testing.T) (*Proxy, *faulty.Ledger) {
	t.Helper()
	const slack = 8 // one incarnation of the only mixer may spend half of it
	q := New(&settings.Settings{RetrySlack: slack, RetryWindow: time.Hour, BeatPeriod: time.Second},
		"proxy/front-0/0", &log.Logger{Level: log.PanicLevel})
	config, err := manifest.Parse([]byte(`{"config-version":1,"routes":[{"name":"r","host":"h.example","path-prefix":"/","mode":"idempotent",` +
		`"horizon-ms":2000,"setpoint-ms":200,"plant":"s","retries":2}],"plants":[{"name":"s"}]}`))
	must.NoError(t, err)
	q.config.Store(config)
	ledger := &faulty.Ledger{}
	var searchers []request.Searcher
	for range 2 {
		s, err := faulty.Start(faulty.Options{Ledger: ledger, Script: func(faulty.Call) faulty.Reply { return faulty.Reply{Fault: faulty.Refuse} }})
		must.NoError(t, err)
		t.Cleanup(s.Close)
		searchers = append(searchers, request.Searcher{ID: s.ID(), Address: s.Addr(), Service: "s", State: policy.Ready})
	}
	q.handle(func() {
		q.mixerCount, q.searchers = 1, searchers
		q.coordinator.SetMixerCount(1)
		q.coordinator.SetSearchers(searchers)
	})
	return q, ledger
}

// countRetries sends requests and returns how many retries they caused.
func countRetries(q *Proxy, ledger *faulty.Ledger, name string, requests int) (retries int) {
	var all sync.WaitGroup
	for i := range requests {
		id := fmt.Sprint(name, i)
		r := httptest.NewRequest(http.MethodGet, "http://h.example/", nil)
		r.RequestURI = "/"
		r.Header.Set(attemptID, id)
		r.Header.Set(deadlineMs, "400")
		all.Go(func() { q.ServeHTTP(httptest.NewRecorder(), r) })
	}
	all.Wait()
	for i := range requests {
		retries += max(0, ledger.Arrived(fmt.Sprint(name, i))-1)
	}
	return retries
}

// TestFaultKeepsTheBudget: a fault in the coordinator resets its state but not the retry budget: retries made before it still
// count. An earlier version started a new budget after each fault, so that a request that causes a fault, sent repeatedly,
// allowed any number of retries.
func TestFaultKeepsTheBudget(t *testing.T) {
	t.Parallel()
	q, ledger := startRejecting(t)
	const requests, allowed = 12, 4
	spent := countRetries(q, ledger, "before-", requests)
	must.Positive(t, spent)
	for i := range 3 {
		q.handle(func() { panic("injected fault") })
		spent += countRetries(q, ledger, fmt.Sprintf("after-%d-", i), requests)
	}
	must.LessEq(t, allowed, spent)
}
