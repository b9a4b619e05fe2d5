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

// failing is a proxy before two searchers that turn everything away, with a budget of a few further dispatches.
func failing(t *testing.T) (*Proxy, *faulty.Ledger) {
	t.Helper()
	const slack = 8 // of which one life of the only mixer may spend half
	q := New(&settings.Settings{RetrySlack: slack, RetryWindow: time.Hour, BeatPeriod: time.Second}, "proxy/front-0/0", &log.Logger{Level: log.PanicLevel})
	config, err := manifest.Parse([]byte(`{"config-version":1,"routes":[{"name":"r","host":"h.example","path-prefix":"/","mode":"idempotent",` +
		`"horizon-ms":2000,"setpoint-ms":200,"plant":"s","retries":2}],"plants":[{"name":"s"}]}`))
	must.NoError(t, err)
	q.config.Store(config)
	ledger := &faulty.Ledger{}
	var searchers []request.Searcher
	for range 2 {
		s, err := faulty.Start(faulty.Options{Ledger: ledger, Script: func(faulty.Call) faulty.Reply { return faulty.Reply{Way: faulty.Refuse} }})
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

// further sends requests and tells how many dispatches past the first of each came of them.
func further(q *Proxy, ledger *faulty.Ledger, name string, requests int) (n int) {
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
		n += max(0, ledger.Arrived(fmt.Sprint(name, i))-1)
	}
	return n
}

// TestFaultKeepsTheBudget: a fault in what decides starts its state anew, and not the retry budget: what was spent still
// counts. The code before gave a new budget with each fault, so that a request that brings one about, sent again and again,
// freed any number of further dispatches.
func TestFaultKeepsTheBudget(t *testing.T) {
	t.Parallel()
	q, ledger := failing(t)
	const requests, allowed = 12, 4
	spent := further(q, ledger, "before-", requests)
	must.Positive(t, spent)
	for i := range 3 {
		q.handle(func() { panic("planted") })
		spent += further(q, ledger, fmt.Sprintf("after-%d-", i), requests)
	}
	must.LessEq(t, allowed, spent)
}
