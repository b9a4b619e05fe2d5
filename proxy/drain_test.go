package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/internal/keepalive"
)

// listenForDrain returns a listener on loopback whose timeouts are longer than any test.
func listenForDrain(t *testing.T) *timeoutListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return newTimeoutListener(ln, func() (time.Duration, time.Duration) { return time.Minute, time.Minute })
}

// TestDrainReadsWhatHasArrived guards against a request that has arrived on a connection and is thrown away unread, because the
// process reads late and the connection is taken for idle. Without a request a connection ends; one that was not used yet does so
// only if it is evicted.
func TestDrainReadsWhatHasArrived(t *testing.T) {
	t.Parallel()
	ln := listenForDrain(t)
	client, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	defer client.Close()
	accepted, err := ln.Accept()
	must.NoError(t, err)
	c := accepted.(*timeoutConn)
	interrupts := func(placeholder time.Duration) bool {
		must.NoError(t, c.SetReadDeadline(time.Now().Add(placeholder)))
		return c.drain.interrupted
	}
	ln.drain(time.Now())
	must.False(t, interrupts(headerTimeoutPlaceholder))
	c.Drain()
	must.True(t, c.drain.interrupted)
	io.WriteString(client, "GET")
	for !keepalive.Readable(c.Conn) {
		time.Sleep(time.Millisecond)
	}
	n, err := c.Read(make([]byte, 9))
	must.NoError(t, err)
	must.Eq(t, 3, n)
	must.False(t, interrupts(headerTimeoutPlaceholder)) // the rest of the request may still come
	must.True(t, interrupts(idleTimeoutPlaceholder))
	_, err = c.Read(make([]byte, 9))
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
	must.False(t, ln.open.awaitNone(0))
	c.Close()
	must.True(t, ln.open.awaitNone(0))
}

// TestDrainUnderLoad: while connections are drained under load, each request that is handled is answered, and all connections end.
func TestDrainUnderLoad(t *testing.T) {
	t.Parallel()
	const clientCount = 40
	ln := listenForDrain(t)
	var handled, answered atomic.Int64
	server := &http.Server{ReadHeaderTimeout: headerTimeoutPlaceholder, IdleTimeout: idleTimeoutPlaceholder,
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) })}
	go server.Serve(ln)
	defer server.Close()
	var clients sync.WaitGroup
	for range clientCount {
		c, err := net.Dial("tcp", ln.Addr().String())
		must.NoError(t, err)
		clients.Go(func() {
			defer c.Close()
			for in := bufio.NewReader(c); ; answered.Add(1) {
				io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				if _, err := http.ReadResponse(in, nil); err != nil {
					return
				}
			}
		})
	}
	for answered.Load() < 10*clientCount {
		time.Sleep(time.Millisecond)
	}
	ln.drain(time.Now())
	clients.Wait()
	must.True(t, ln.open.awaitNone(time.Minute))
	must.Eq(t, handled.Load(), answered.Load())
}

// TestDrainAcceptsWhatWaits guards against connections that are reset by the end of their listener, because a busy process accepts
// late.
func TestDrainAcceptsWhatWaits(t *testing.T) {
	t.Parallel()
	const waiting = 5
	ln := listenForDrain(t)
	for range waiting {
		c, err := net.Dial("tcp", ln.Addr().String())
		must.NoError(t, err)
		defer c.Close()
	}
	accepted := make(chan int)
	go func() {
		n := 0
		for ; ; n++ {
			if _, err := ln.Accept(); err != nil {
				break
			}
			time.Sleep(time.Millisecond)
		}
		accepted <- n
	}()
	ln.drain(time.Now().Add(time.Minute))
	must.Eq(t, waiting, <-accepted)
}
