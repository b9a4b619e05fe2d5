package controlplane

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

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
		for _, pause := range []time.Duration{answerMost - time.Second, answerMost + time.Second} {
			near := ln.Dial()
			near.Write([]byte("GET /config HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
			time.Sleep(pause)
			n, err := io.Copy(io.Discard, near)
			must.NoError(t, err)
			must.Eq(t, pause < answerMost, n > size, must.Sprint(pause))
		}
	})
}
