package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/internal/standin/pipes"
)

// TestLimitsFollowTheConfiguration: the idle and header timeouts follow the current configuration, also when it changes after a
// connection was opened. An earlier version always used 15 s and 3 s.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var header, idle atomic.Int64
		header.Store(int64(3 * time.Second))
		idle.Store(int64(10 * time.Second))
		ln := make(pipes.Listener)
		s := &http.Server{ReadHeaderTimeout: headerTimeoutPlaceholder, IdleTimeout: idleTimeoutPlaceholder,
			Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
		go s.Serve(newTimeoutListener(ln, func() (time.Duration, time.Duration) {
			return time.Duration(header.Load()), time.Duration(idle.Load())
		}))
		defer s.Close()
		dial := func() (net.Conn, *bufio.Reader) {
			conn := ln.Dial()
			return conn, bufio.NewReader(conn)
		}
		get := func(c net.Conn, in *bufio.Reader, pause time.Duration) bool {
			c.Write([]byte("GET / HTTP/1.1\r\nHost: "))
			time.Sleep(pause)
			if _, err := c.Write([]byte("h\r\n\r\n")); err != nil {
				return false
			}
			res, err := http.ReadResponse(in, nil)
			return err == nil && res.StatusCode == http.StatusOK
		}
		c, in := dial()
		must.True(t, get(c, in, 2*time.Second))
		time.Sleep(9 * time.Second)
		must.True(t, get(c, in, 0))
		idle.Store(int64(time.Minute)) // a configuration change
		must.True(t, get(c, in, 0))
		time.Sleep(50 * time.Second)
		header.Store(int64(20 * time.Second))
		must.True(t, get(c, in, 15*time.Second))
		time.Sleep(61 * time.Second)
		must.False(t, get(c, in, 0))

		c, in = dial()
		must.False(t, get(c, in, 21*time.Second))
	})
}

// TestClientThatReadsNothingIsLeft: a client that reads nothing of its answer for the idle timeout is disconnected. Otherwise it
// would hold its connection and the goroutine serving it for ever.
func TestClientThatReadsNothingIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const idle, size = 10 * time.Second, 100 << 10
		ln := make(pipes.Listener)
		s := &http.Server{ReadHeaderTimeout: headerTimeoutPlaceholder, IdleTimeout: idleTimeoutPlaceholder,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Write(make([]byte, size))
			})}
		go s.Serve(newTimeoutListener(ln, func() (time.Duration, time.Duration) { return time.Second, idle }))
		defer s.Close()
		ln.CheckStalledReader(t, size, idle)
	})
}

// TestClientThatReadsNoSecondAnswerIsLeft: the same holds for an answer that comes soon after another one on the same connection.
// net/http removes the write deadline after each request, and an earlier version did not set it again within a second.
func TestClientThatReadsNoSecondAnswerIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const idle, size = 10 * time.Second, 100 << 10
		ln := make(pipes.Listener)
		s := &http.Server{ReadHeaderTimeout: headerTimeoutPlaceholder, IdleTimeout: idleTimeoutPlaceholder,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/large" {
					w.Write(make([]byte, size))
				}
			})}
		go s.Serve(newTimeoutListener(ln, func() (time.Duration, time.Duration) { return time.Second, idle }))
		defer s.Close()
		c := ln.Dial()
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		_, err := http.ReadResponse(bufio.NewReader(c), nil)
		must.NoError(t, err)
		io.WriteString(c, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(idle + time.Second)
		n, err := io.Copy(io.Discard, c)
		must.NoError(t, err)
		must.Less(t, size, n)
	})
}
