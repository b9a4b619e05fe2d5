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

// called gives the status of a call of a searcher's.
func statusOf(h *Controller, method, path, body string) int {
	answer := httptest.NewRecorder()
	h.doors().ServeHTTP(answer, httptest.NewRequest(method, path, strings.NewReader(body)))
	return answer.Code
}

// alone is a controller that is all of the core, in contact, and whose disk is written.
func alone(t *testing.T) *Controller {
	t.Helper()
	h := stopped(t, 1)
	h.contact = contact{touch: true, confirmed: true}
	h.running.Go(func() { h.core.write(t.Context()) })
	h.running.Go(func() { h.remember(t.Context()) })
	return h
}

// TestLeavingIsRecordedBeforeItIsAcknowledged: an acknowledgement that a searcher leaves says that the list has it so. The code
// before acknowledged a DELETE that a full list had refused, and a draining beat that counted as late.
func TestLeavingIsRecordedBeforeItIsAcknowledged(t *testing.T) {
	beat := func(state string, calls int) string {
		return fmt.Sprintf(`{"plant":"p","address":"10.8.0.1:80","zone":"z","capacity":1,"state":%q,"call-count":%d}`, state, calls)
	}
	t.Run("late", func(t *testing.T) {
		h := alone(t)
		must.Eq(t, http.StatusOK, statusOf(h, "PUT", "/searchers/i-1", beat("ready", 9)))
		must.Eq(t, http.StatusServiceUnavailable, statusOf(h, "PUT", "/searchers/i-1", beat("draining", 4)))
		must.Eq(t, http.StatusOK, statusOf(h, "PUT", "/searchers/i-1", beat("draining", 10)))
		must.Eq(t, http.StatusOK, statusOf(h, "PUT", "/searchers/i-1", beat("draining", 5))) // it is known to leave
	})
	t.Run("full", func(t *testing.T) {
		h := alone(t)
		h.board.WithRegistry(func(r *registry.Registry) bool {
			for i := 0; ; i++ {
				s := registry.Searcher{ID: fmt.Sprint("s", i), Plant: "p", Address: fmt.Sprint("10.8.0.2:", i), Calls: 1}
				if r.Heartbeat(time.Now(), s).Refused {
					return true
				}
			}
		})
		must.Eq(t, http.StatusServiceUnavailable, statusOf(h, "DELETE", "/searchers/i-1", ""))
	})
}
