package proxy

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/internal/standin/pipes"
)

// A connection may rest for as long as the configuration of the moment says, also where that has changed since the
// connection came up, and a head may take as long. The code before went by 15 s and 3 s whatever the configuration said.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var head, rest atomic.Int64
		head.Store(int64(3 * time.Second))
		rest.Store(int64(10 * time.Second))
		ln := make(pipes.Listener)
		s := &http.Server{ReadHeaderTimeout: headerTimeoutPlaceholder, IdleTimeout: idleTimeoutPlaceholder, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
		go s.Serve(timeoutListener{ln, func() (time.Duration, time.Duration) {
			return time.Duration(head.Load()), time.Duration(rest.Load())
		}})
		defer s.Close()
		dial := func() (net.Conn, *bufio.Reader) {
			near := ln.Dial()
			return near, bufio.NewReader(near)
		}
		ask := func(c net.Conn, in *bufio.Reader, pause time.Duration) bool {
			c.Write([]byte("GET / HTTP/1.1\r\nHost: "))
			time.Sleep(pause)
			if _, err := c.Write([]byte("h\r\n\r\n")); err != nil {
				return false
			}
			res, err := http.ReadResponse(in, nil)
			return err == nil && res.StatusCode == http.StatusOK
		}
		c, in := dial()
		must.True(t, ask(c, in, 2*time.Second))
		time.Sleep(9 * time.Second)
		must.True(t, ask(c, in, 0))
		rest.Store(int64(time.Minute)) // a new configuration
		must.True(t, ask(c, in, 0))
		time.Sleep(50 * time.Second)
		head.Store(int64(20 * time.Second))
		must.True(t, ask(c, in, 15*time.Second))
		time.Sleep(61 * time.Second)
		must.False(t, ask(c, in, 0))

		c, in = dial()
		must.False(t, ask(c, in, 21*time.Second))
	})
}

// A client that reads nothing of its answer for as long as a connection may rest is left; it held its connection, and what serves
// it, for ever.
func TestClientThatReadsNothingIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rest, size = 10 * time.Second, 100 << 10
		ln := make(pipes.Listener)
		s := &http.Server{ReadHeaderTimeout: headerTimeoutPlaceholder, IdleTimeout: idleTimeoutPlaceholder, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Write(make([]byte, size))
		})}
		go s.Serve(timeoutListener{ln, func() (time.Duration, time.Duration) { return time.Second, rest }})
		defer s.Close()
		ln.ReadsNothing(t, size, rest)
	})
}
