package distribution

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/registry"
)

// The response is the heartbeat of a connection: changes that carry no updates for the client must not delay it beyond maxWait.
func TestUnrelatedChangesDoNotDelayResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replica := NewReplica(registry.New(registry.Config{Name: "a", Period: time.Second, Start: time.Now()}))
		s := Server{Replica: replica}
		ended := make(chan struct{})
		ticker := time.NewTicker(maxWait / 2)
		time.AfterFunc(responseTimeout, ticker.Stop) // by then the client has closed the connection
		go func() {
			for {
				select {
				case <-ticker.C:
					replica.WithRegistry(func(*registry.Registry) bool { return true })
				case <-ended:
					return
				}
			}
		}()
		start := time.Now()
		s.longPoll(t.Context(), &PullRequest{Peer: true})
		close(ended)
		must.LessEq(t, maxWait+coalesceDelay, time.Since(start))
	})
}

// TestServerWithoutControllersAnswersNothing guards against a server that knows no controllers and answers, at once and each time, a
// client that does: an agent that had just started and its proxy exchanged empty responses without a pause.
func TestServerWithoutControllersAnswersNothing(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			replica := NewReplica(registry.New(registry.Config{Name: "a", Period: time.Second, Start: time.Now()}))
			replica.SetIsolated(isolated)
			request := PullRequest{Core: hashLocations([]Location{{Addr: "10.0.0.1:7080"}}), Alone: isolated}
			start := time.Now()
			(&Server{Replica: replica}).longPoll(t.Context(), &request)
			must.GreaterEq(t, maxWait, time.Since(start))
		})
	}
}
