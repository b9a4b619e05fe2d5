package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"peathollow/internal/standin/pipes"
)

// sendRequest sends a request and waits for its response if one is expected now.
func sendRequest(t *testing.T, c net.Conn, path string, wantResponse bool) {
	t.Helper()
	_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	if wantResponse {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, res.StatusCode)
	}
	synctest.Wait()
}

func isClosed(c net.Conn) bool {
	_, err := c.Write([]byte("G"))
	return err != nil
}

// TestLongestIdleConnectionIsEvicted checks that the longest idle connection is closed for a new one, and that the new
// one is closed if all have a request in progress.
func TestLongestIdleConnectionIsEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unblock := make(chan struct{})
		server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/held" {
				<-unblock
			}
		})}
		limit, ln := New(2), make(pipes.Listener)
		limit.Bind(server)
		go server.Serve(limit.Listen(ln))
		defer server.Close()
		first, second := ln.Dial(), ln.Dial()
		sendRequest(t, first, "/", true)
		sendRequest(t, second, "/", true)
		sendRequest(t, first, "/", true) // now the second has been idle longer
		third := ln.Dial()
		sendRequest(t, third, "/held", false)
		must.True(t, isClosed(second))
		sendRequest(t, first, "/held", false)
		fourth := ln.Dial()
		synctest.Wait()
		must.True(t, isClosed(fourth))
		open, evicted, refused := limit.Counts()
		must.Eq(t, []uint64{2, 1, 1}, []uint64{uint64(open), evicted, refused})
		close(unblock)
		synctest.Wait()
		for _, c := range []net.Conn{third, first} {
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, res.StatusCode)
		}
		first.Close()
		third.Close()
		synctest.Wait()
		open, _, _ = limit.Counts()
		must.Eq(t, 0, open)
	})
}
