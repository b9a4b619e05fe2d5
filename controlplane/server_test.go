package controlplane

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

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

// TestCallsInFlightAreFinished guards against cutting off calls when their controller is stopped: an order, or the leaving of a
// searcher, had taken effect and was acknowledged nowhere.
func TestCallsInFlightAreFinished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for took, finished := range map[time.Duration]bool{callTimeout: true, time.Hour: false} {
			listener := make(pipes.Listener)
			server := newServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				select {
				case <-time.After(took):
				case <-r.Context().Done():
				}
			}))
			go server.Serve(listener)
			c := listener.Dial()
			_, err := io.WriteString(c, "PUT /config HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
			must.NoError(t, err)
			synctest.Wait()
			started := time.Now()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				finishCalls(server, 10*time.Second)
			}()
			_, err = http.ReadResponse(bufio.NewReader(c), nil)
			must.Eq(t, finished, err == nil, must.Sprint(err))
			must.LessEq(t, lastCallsTimeout, time.Since(started))
			c.Close()
			<-ended
			must.LessEq(t, lastCallsTimeout, time.Since(started))
		}
	})
}
