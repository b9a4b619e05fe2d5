package controlplane

import (
	"net/http"
	"testing"
	"testing/synctest"

	"peathollow/internal/standin/pipes"
)

// TestCallerThatReadsNothingIsLeft: a caller that takes nothing of an answer is left after a while; before, it held the
// connection, and what serves it, for as long as it pleased.
func TestCallerThatReadsNothingIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 300 << 10 // of a large configuration
		ln := make(pipes.Listener)
		s := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(make([]byte, size)) }))
		go s.Serve(ln)
		defer s.Close()
		ln.ReadsNothing(t, size, answerMost)
	})
}
