package controlplane

import (
	"net/http"
	"testing"
	"testing/synctest"

	"peathollow/internal/standin/pipes"
)

// TestCallerThatReadsNothingIsLeft checks that the connection of a caller that reads nothing of its answer is closed after a
// while. Earlier code kept the connection and its goroutine for as long as the caller stayed.
func TestCallerThatReadsNothingIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 300 << 10 // bytes of a large configuration
		ln := make(pipes.Listener)
		s := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(make([]byte, size)) }))
		go s.Serve(ln)
		defer s.Close()
		ln.CheckStalledReader(t, size, writeTimeout)
	})
}
