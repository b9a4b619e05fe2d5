package controlplane

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/registry"
)

// statusOf returns the status of a searcher's call.
func statusOf(c *Controller, method, path, body string) int {
	answer := httptest.NewRecorder()
	c.handler().ServeHTTP(answer, httptest.NewRequest(method, path, strings.NewReader(body)))
	return answer.Code
}

// singleController returns a controller that is the only member, in contact, and persists its state.
func singleController(t *testing.T) *Controller {
	t.Helper()
	c := stopped(t, 1)
	c.contact = contact{reachable: true, confirmed: true}
	c.running.Go(func() { c.driver.writeLoop(t.Context()) })
	c.running.Go(func() { c.persistLoop(t.Context()) })
	return c
}

// TestLeavingIsRecordedBeforeItIsAcknowledged checks that a searcher's leaving is acknowledged only if the list shows it.
// Earlier code acknowledged a DELETE that a full list had refused, and a draining heartbeat that counted as late.
func TestLeavingIsRecordedBeforeItIsAcknowledged(t *testing.T) {
	heartbeat := func(state string, calls int) string {
		return fmt.Sprintf(`{"plant":"p","address":"10.8.0.1:80","zone":"z","capacity":1,"state":%q,"call-count":%d}`, state, calls)
	}
	t.Run("late", func(t *testing.T) {
		c := singleController(t)
		must.Eq(t, http.StatusOK, statusOf(c, "PUT", "/searchers/i-1", heartbeat("ready", 9)))
		must.Eq(t, http.StatusServiceUnavailable, statusOf(c, "PUT", "/searchers/i-1", heartbeat("draining", 4)))
		must.Eq(t, http.StatusOK, statusOf(c, "PUT", "/searchers/i-1", heartbeat("draining", 10)))
		must.Eq(t, http.StatusOK, statusOf(c, "PUT", "/searchers/i-1", heartbeat("draining", 5))) // already listed as draining
	})
	t.Run("full", func(t *testing.T) {
		c := singleController(t)
		c.replica.WithRegistry(func(r *registry.Registry) bool {
			for i := 0; ; i++ {
				s := registry.Searcher{ID: fmt.Sprint("s", i), Plant: "p", Address: fmt.Sprint("10.8.0.2:", i), Calls: 1}
				if r.Heartbeat(time.Now(), s).Refused {
					return true
				}
			}
		})
		must.Eq(t, http.StatusServiceUnavailable, statusOf(c, "DELETE", "/searchers/i-1", ""))
	})
}

// TestSearcherThatNoHeaderCanNameIsRefused guards against listing a searcher whose id Target-Searcher can't carry: no request would
// ever reach it.
func TestSearcherThatNoHeaderCanNameIsRefused(t *testing.T) {
	c := singleController(t)
	const body = `{"plant":"a,b \"c\"/%","address":"10.8.0.1:80","zone":"z","capacity":1,"state":"ready","call-count":1}`
	for id, want := range map[string]int{"i-1,i-2": 200, "%C3%A9%2F%25": 200, "a%20b": 200, "a%0Ab": 400, "%20a": 400, "a%7F": 400, "%00a": 400} {
		must.Eq(t, want, statusOf(c, "PUT", "/searchers/"+id, body), must.Sprint(id))
	}
}
